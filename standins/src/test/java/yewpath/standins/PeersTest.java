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

/** Peers as a plain socket meets them. */
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

    private Endpoint endpoint(String script) {
        Endpoint one = new Endpoint(reactor, new DeliveryReferee(0, 0), "e", 1, "plain", 5, script,
            new SplittableRandom(1), () -> {});
        reactor.call(() -> {
            one.open();
            one.startScript();
            return null;
        });
        return one;
    }

    private static final byte[] CALL = HttpMessage.encode("POST /inbox HTTP/1.1",
        "hi".getBytes(StandardCharsets.UTF_8), "Request-Id: a");

    private static String ask(Endpoint of, byte[] request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", of.address().getPort())) {
            socket.setSoTimeout(300);
            socket.getOutputStream().write(request);
            byte[] answer = new byte[200];
            int length = socket.getInputStream().read(answer);
            return length < 0 ? "" : new String(answer, 0, length, StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    public void eachFaultIsMetAsItsNameSays() throws Exception {
        assertTrue(
            ask(endpoint("0 s: answer 429 wait 0.5 s"), CALL).contains("429 -\r\nRetry-After: 0.5\r\n"));
        expectThrows(SocketTimeoutException.class, () -> ask(endpoint("0 s: silent"), CALL));
        for (String way : new String[]{"reset first", "reset last", "reset midway after 10 ms"}) {
            expectThrows(SocketException.class, () -> ask(endpoint("0 s: " + way), CALL));
        }
        String noise = ask(endpoint("0 s: garble"), CALL);
        assertTrue(!noise.startsWith("HTTP") && noise.length() > 0);
        Endpoint refusing = endpoint("0 s: refuse");
        Thread.sleep(50);
        expectThrows(ConnectException.class, () -> ask(refusing, CALL));
        assertTrue(ask(endpoint(""), "no HTTP at all\r\nx\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
            .contains(" 400 "));
    }

    @Test
    public void aReplacedEndpointIsFoundElsewhereUnderAnotherId() throws Exception {
        Endpoint one = endpoint("10 ms: replaced");
        int port = one.address().getPort();
        for (int i = 0; i < 200 && reactor.call(one::id).equals("e"); i++) {
            Thread.sleep(5);
        }
        assertEquals(reactor.call(one::id), "e-1");
        assertTrue(one.address().getPort() != port);
        expectThrows(ConnectException.class, () -> new Socket("127.0.0.1", port).close());
        Platform platform = new Platform(reactor, new DeliveryReferee(0, 0), List.of(one));
        assertTrue(reactor.call(platform::listJson)
            .contains("\"id\":\"e-1\",\"addr\":\"127.0.0.1:" + one.address().getPort() + '"'));
    }

    @Test
    public void messagesAreReadHoweverTheirBytesCome() {
        HttpParser reader = new HttpParser();
        byte[] two = new String(CALL, StandardCharsets.ISO_8859_1).repeat(2)
            .getBytes(StandardCharsets.ISO_8859_1);
        int whole = 0;
        for (byte b : two) {
            reader.append(ByteBuffer.wrap(new byte[]{b}));
            for (HttpMessage m = reader.nextMessage(); m != null; m = reader.nextMessage()) {
                assertEquals(m.bodyText() + m.header("request-id") + m.method(), "hiaPOST");
                whole++;
            }
        }
        assertEquals(whole, 2);
        reader.append(ByteBuffer
            .wrap("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        expectThrows(IllegalArgumentException.class, reader::nextMessage);
    }

    @Test
    public void oneThreadHoldsTwoThousandConnections() throws Exception {
        int count = 2_000;
        Endpoint one = endpoint("0 s: answer 200 after 50 ms");
        AtomicInteger answered = new AtomicInteger();
        List<Connection> wires = new ArrayList<>();
        reactor.call(() -> {
            for (int i = 0; i < count; i++) {
                Connection wire = reactor.connect(one.address(), new Connection.Handler() {
                    @Override
                    public void received(ByteBuffer bytes) {
                        answered.incrementAndGet();
                    }

                    @Override
                    public void closed(boolean broken) {
                        failures.add(new IOException("ended, broken " + broken));
                    }
                });
                wire.write(CALL);
                wires.add(wire);
            }
            return null;
        });
        for (int i = 0; i < 1_000 && answered.get() < count; i++) {
            Thread.sleep(10);
        }
        assertEquals(answered.get(), count);
        assertEquals((int) reactor.call(one::connectionCount), count);
    }

    @Test
    public void nothingLeavesLoopback() throws Exception {
        InetSocketAddress elsewhere = new InetSocketAddress(InetAddress.getByAddress(new byte[]{10, 0, 0, 1}),
            80);
        expectThrows(IllegalArgumentException.class, () -> reactor.connect(elsewhere, null));
    }
}
