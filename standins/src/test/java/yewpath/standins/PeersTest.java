package yewpath.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Endpoint;
import yewpath.standins.peer.Platform;
import yewpath.standins.referee.DeliveryReferee;

/** Checks the test servers through plain sockets. */
public final class PeersTest {
    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private Reactor reactor;

    @BeforeMethod
    public void start() throws IOException {
        failures.clear();
        reactor = new Reactor(failures::add);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        reactor.close();
        assertEquals(failures, List.of());
    }

    private Endpoint startEndpoint(String script) {
        Endpoint endpoint = new Endpoint(reactor, new DeliveryReferee(0, 0), "e", 1, "plain", 5, script,
            new SplittableRandom(1), () -> {});
        reactor.call(() -> {
            endpoint.open();
            endpoint.startScript();
            return null;
        });
        return endpoint;
    }

    private static final byte[] CALL = HttpMessage.encode("POST /inbox HTTP/1.1",
        "hi".getBytes(StandardCharsets.UTF_8), "Request-Id: a");

    private static String sendRequest(Endpoint endpoint, byte[] request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", endpoint.address().getPort())) {
            socket.setSoTimeout(300);
            socket.getOutputStream().write(request);
            byte[] answer = new byte[200];
            int length = socket.getInputStream().read(answer);
            return length < 0 ? "" : new String(answer, 0, length, StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    public void eachFaultBehavesAsItsScriptWordSays() throws Exception {
        assertTrue(
            sendRequest(startEndpoint("0 s: answer 429 wait 0.5 s"), CALL)
                .contains("429 -\r\nRetry-After: 0.5\r\n"));
        expectThrows(SocketTimeoutException.class, () -> sendRequest(startEndpoint("0 s: silent"), CALL));
        for (String fault : new String[]{"reset first", "reset last", "reset midway after 10 ms"}) {
            expectThrows(SocketException.class, () -> sendRequest(startEndpoint("0 s: " + fault), CALL));
        }
        String garbage = sendRequest(startEndpoint("0 s: garble"), CALL);
        assertTrue(!garbage.startsWith("HTTP") && garbage.length() > 0);
        Endpoint refusing = startEndpoint("0 s: refuse");
        Thread.sleep(50);
        expectThrows(ConnectException.class, () -> sendRequest(refusing, CALL));
        assertTrue(
            sendRequest(startEndpoint(""), "no HTTP at all\r\nx\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
                .contains(" 400 "));
    }

    @Test
    public void replacedEndpointHasAnotherIdAndPort() throws Exception {
        Endpoint endpoint = startEndpoint("10 ms: replaced");
        int port = endpoint.address().getPort();
        for (int i = 0; i < 200 && reactor.call(endpoint::id).equals("e"); i++) {
            Thread.sleep(5);
        }
        assertEquals(reactor.call(endpoint::id), "e-1");
        assertTrue(endpoint.address().getPort() != port);
        expectThrows(ConnectException.class, () -> new Socket("127.0.0.1", port).close());
        Platform platform = new Platform(reactor, new DeliveryReferee(0, 0), List.of(endpoint));
        assertTrue(reactor.call(platform::listJson)
            .contains("\"id\":\"e-1\",\"addr\":\"127.0.0.1:" + endpoint.address().getPort() + '"'));
    }

    @Test
    public void parserAcceptsMessagesByteByByte() {
        HttpParser parser = new HttpParser();
        byte[] twoMessages = new String(CALL, StandardCharsets.ISO_8859_1).repeat(2)
            .getBytes(StandardCharsets.ISO_8859_1);
        int messageCount = 0;
        for (byte singleByte : twoMessages) {
            parser.append(ByteBuffer.wrap(new byte[]{singleByte}));
            for (HttpMessage message = parser.nextMessage(); message != null; message = parser
                .nextMessage()) {
                assertEquals(message.bodyText() + message.header("request-id") + message.method(), "hiaPOST");
                messageCount++;
            }
        }
        assertEquals(messageCount, 2);
        parser.append(ByteBuffer
            .wrap("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        expectThrows(IllegalArgumentException.class, parser::nextMessage);
    }

    @Test
    public void oneThreadServesTwoThousandConnections() throws Exception {
        int count = 2_000;
        Endpoint endpoint = startEndpoint("0 s: answer 200 after 50 ms");
        AtomicInteger answered = new AtomicInteger();
        List<Connection> connections = new ArrayList<>();
        reactor.call(() -> {
            for (int i = 0; i < count; i++) {
                Connection connection = reactor.connect(endpoint.address(), new Connection.Handler() {
                    @Override
                    public void received(ByteBuffer bytes) {
                        answered.incrementAndGet();
                    }

                    @Override
                    public void closed(boolean abnormal) {
                        failures.add(new IOException("connection closed, abnormal: " + abnormal));
                    }
                });
                connection.write(CALL);
                connections.add(connection);
            }
            return null;
        });
        for (int i = 0; i < 1_000 && answered.get() < count; i++) {
            Thread.sleep(10);
        }
        assertEquals(answered.get(), count);
        assertEquals((int) reactor.call(endpoint::connectionCount), count);
    }

    @Test
    public void connectOutsideLoopbackIsRefused() throws Exception {
        InetSocketAddress remoteAddress = new InetSocketAddress(
            InetAddress.getByAddress(new byte[]{10, 0, 0, 1}),
            80);
        expectThrows(IllegalArgumentException.class, () -> reactor.connect(remoteAddress, null));
    }
}
