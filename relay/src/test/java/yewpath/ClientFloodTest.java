package yewpath;

import static org.testng.Assert.assertEquals;
import static yewpath.RelayFixture.uniqueOk;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a relay with little memory answers its usual clients while others strain it. */
public final class ClientFloodTest extends RelayFixture.RelayTest {
    private static final int CLIENTS = 300;
    /** How long a client waits for an answer. */
    private static final int CLIENT_WAIT_MILLIS = 400;
    /** Within this time after its connect, each client is owed an answer or a close. */
    private static final int OWED_ANSWER_MILLIS = 3_000;
    /** The heap that {@code deploy/run.sh} gives a relay with {@code memory_mb} 64. */
    private static final String SMALL_HEAP = "-Xmx25m";

    /** A client that writes a request as fast as the relay reads it, and reads no answer. */
    private static final class WritingClient implements AutoCloseable {
        private final SocketChannel channel;
        private final ByteBuffer request;

        WritingClient(InetSocketAddress relay, byte[] request) throws IOException {
            channel = SocketChannel.open(relay);
            channel.configureBlocking(false);
            this.request = ByteBuffer.wrap(request);
        }

        /** Writes what the connection accepts; does nothing once the relay has closed it. */
        void write() {
            try {
                channel.write(request);
            } catch (IOException closed) {
                request.position(request.limit());
            }
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    /**
     * Guards against a relay that runs out of memory and answers nobody any more: many clients send heads of
     * the maximum size that consist of very short headers.
     */
    @Test
    public void headsOfManyShortHeadersLeaveRoomForOthers() throws Exception {
        startWithSmallHeap();
        byte[] head = ("POST /status HTTP/1.1\r\n" + "a:b\r\n".repeat(1_630))
            .getBytes(StandardCharsets.ISO_8859_1);
        assertUsualClientsAreAnsweredDuring(CLIENTS, head);
    }

    @DataProvider
    public Object[][] floods() {
        byte[] statistics = "GET /stats HTTP/1.1\r\n\r\n".repeat(3_000).getBytes(StandardCharsets.ISO_8859_1);
        byte[] chunks = ("POST /status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "1\r\nz\r\n".repeat(20_000))
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] manyStatistics = "GET /stats HTTP/1.1\r\n\r\n".repeat(1_000_000)
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] halfOfALargeRequest = RelayFixture
            .messageRequest("half", "status", 1, 7_900, "z".repeat(65_000)).substring(0, 60_000)
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] newNames = IntStream.range(0, 100_000)
            .mapToObj(i -> RelayFixture.messageRequest("n" + i, "status", 100 + i, 7_900, "x"))
            .collect(Collectors.joining()).getBytes(StandardCharsets.ISO_8859_1);
        return new Object[][]{{"unread responses", CLIENTS, statistics}, {"bytes in chunks", CLIENTS, chunks},
            {"half of a large request", CLIENTS, halfOfALargeRequest}, {"one client", 1, manyStatistics},
            {"one client with ever new names", 1, newNames}};
    }

    /**
     * Guards against clients that delay the answers to all others: by requests that they send at full speed, by
     * responses that they do not read, by bodies of very small chunks, or by large ones that they do not complete.
     */
    @Test(dataProvider = "floods")
    public void requestsAtFullSpeedLeaveTimeForOthers(String name, int clients, byte[] request)
        throws Exception {
        startWithSmallHeap();
        assertUsualClientsAreAnsweredDuring(clients, request);
    }

    /**
     * Guards against a relay that accepts no connection for some 10 s: more clients than it has places connect while
     * it stands still, hand in one message each and keep their connections.
     */
    @Test
    public void clientsThatKeepTheirConnectionsLeaveRoomForOthers() throws Exception {
        startWithSmallHeap();
        List<Socket> keeping = new ArrayList<>();
        SuspendedRelay suspended = new SuspendedRelay(fixture);
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = fixture.connect();
            keeping.add(socket);
            socket.getOutputStream().write(RelayFixture.messageRequest("k" + i, "status", 1, 7_900, "x")
                .getBytes(StandardCharsets.ISO_8859_1));
        }
        suspended.resume();
        RelayFixture.pause(OWED_ANSWER_MILLIS);
        try (Socket socket = fixture.connect()) {
            socket.setSoTimeout(OWED_ANSWER_MILLIS);
            assertEquals(RelayFixture.exchange(socket, "GET /health/ready HTTP/1.1\r\n\r\n").status(), 200);
        }
        for (Socket socket : keeping) {
            socket.close();
        }
    }

    private void startWithSmallHeap() throws Exception {
        fixture.addEndpoint(1, request -> uniqueOk());
        fixture.maxHeapFlag = SMALL_HEAP;
        fixture.startProcess();
        waitUntil("the relay is ready", 10_000, fixture::isReady);
    }

    /** Submits messages while other clients write the request, and after that. */
    private void assertUsualClientsAreAnsweredDuring(int clients, byte[] request) throws Exception {
        List<WritingClient> others = new ArrayList<>();
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            others.add(new WritingClient(fixture.relayAddress, request));
        }
        Thread writer = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                others.forEach(WritingClient::write);
                RelayFixture.pause(5);
            }
        });
        writer.start();
        for (int i = 0; i < 40; i++) {
            answers.add(submit("during-" + i));
            RelayFixture.pause(50);
        }
        writer.interrupt();
        writer.join();
        for (WritingClient other : others) {
            other.close();
        }
        for (int i = 0; i < 10; i++) {
            answers.add(submit("after-" + i));
        }
        assertEquals(answers.stream().filter(answer -> !answer.equals("202")).toList(), List.of());
    }

    private String submit(String id) {
        try (Socket socket = new Socket()) {
            socket.connect(fixture.relayAddress,
                CLIENT_WAIT_MILLIS);
            socket.setSoTimeout(CLIENT_WAIT_MILLIS);
            return String.valueOf(RelayFixture
                .exchange(socket, RelayFixture.messageRequest(id, "status", 1, 7_900, "x")).status());
        } catch (IOException exception) {
            return id + ": " + exception.getMessage();
        }
    }
}
