package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** The end of a relay: whoever reaches it has an answer, and nobody holds it past its time. */
public final class ClosingTest extends RelayFixture.RelayTest {
    private final List<Socket> sockets = new ArrayList<>();

    private Socket connected() throws IOException {
        Socket socket = fixture.connect();
        sockets.add(socket);
        return socket;
    }

    private static void say(Socket socket, String words) throws IOException {
        socket.getOutputStream().write(words.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Asked to end, the relay is held still as soon as it has begun to: what follows all finds it at one moment. It stays
     * for as long as told in any case, so that it is held before its end is due however busy the machine.
     */
    private long terminateAndHold() throws Exception {
        long asked = System.nanoTime();
        fixture.process.destroy();
        waitUntil("it begins to close", 2000, () -> fixture.hasLogged("relay.closing"));
        fixture.signal("STOP");
        return asked;
    }

    /** Past that time, so that its end is due when it goes on. */
    private void goOnAtItsEnd(long asked) throws Exception {
        waitUntil("its end is due", 3000, () -> System.nanoTime() - asked > 1_200_000_000L);
        fixture.signal("CONT");
    }

    private void endsInTime() throws Exception {
        assertTrue(fixture.process.waitFor(3_600, TimeUnit.MILLISECONDS), "it stays past its bound");
        assertEquals(fixture.process.exitValue(), 0);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @Test
    public void whoeverHasConnectedWhenItsEndIsDueIsAnswered() throws Exception {
        fixture.operatorConfig = "[closing]\nleast = \"1 s\"\n";
        fixture.addEndpoint(1, got -> OK);
        fixture.start();
        List<Socket> resting = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            resting.add(connected());
            assertEquals(
                RelayFixture.exchange(resting.get(i),
                    RelayFixture.messageRequest("before" + i, "status", 1, 7900, "x")).status(),
                202);
        }
        long asked = terminateAndHold();
        List<Socket> asking = new ArrayList<>(resting);
        // So many that they can't all be let in before an end that is due at once.
        for (int i = 0; i < 400; i++) {
            asking.add(connected());
        }
        Socket half = connected();
        String whole = RelayFixture.messageRequest("half", "status", 1, 7900, "in two parts");
        say(half, whole.substring(0, whole.length() - 5));
        for (int i = 0; i < asking.size(); i++) {
            say(asking.get(i),
                RelayFixture.messageRequest("late" + i, "status", 1, 7900, "y".repeat(i % 2 * 3000)));
        }
        goOnAtItsEnd(asked);
        for (int i = 0; i < asking.size(); i++) {
            RelayFixture.Response answer = RelayFixture.readResponse(asking.get(i));
            assertEquals(answer.status(), 503, "connection " + i);
            assertEquals(answer.headers().get("connection"), "close");
        }
        say(half, whole.substring(whole.length() - 5));
        assertEquals(RelayFixture.readResponse(half).status(), 503);
        endsInTime();
    }

    @Test
    public void whatRestsIsClosedInOrderBeforeTheRelayGoes() throws Exception {
        fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.start();
        Socket resting = connected();
        assertEquals(RelayFixture.exchange(resting, RelayFixture.messageRequest("out", "order", 1, 9000, "x"))
            .status(), 202);
        waitUntil("its call is out", 2000, () -> fixture.statistic("calls_out") == 1);
        fixture.process.destroy();
        assertEquals(resting.getInputStream().read(), -1, "a reset, or a word that nobody asked for");
        assertTrue(fixture.process.isAlive(), "it is closed with the process, not by the relay's will");
        assertEquals(fixture.exchange(RelayFixture.messageRequest("again", "status", 1, 7900, "x")).status(),
            503,
            "who comes again is told");
        endsInTime();
    }

    @Test
    public void thoseThatNeverReadOrNeverEndTheirRequestHoldItNoLongerThanItsBound() throws Exception {
        fixture.operatorConfig = "[closing]\nleast = \"2 s\"\n";
        fixture.addEndpoint(1, got -> OK);
        fixture.start();
        Socket deaf = connected();
        deaf.setSoTimeout(100);
        AtomicBoolean full = new AtomicBoolean();
        Thread asks = new Thread(() -> {
            try {
                OutputStream out = deaf.getOutputStream();
                byte[] asked = "GET /stats HTTP/1.1\r\n\r\n".repeat(400)
                    .getBytes(StandardCharsets.ISO_8859_1);
                for (int i = 0; i < 200; i++) {
                    out.write(asked);
                    full.set(i >= 20);
                }
            } catch (IOException over) {
                full.set(true);
            }
        });
        asks.setDaemon(true);
        asks.start();
        waitUntil("much is owed to it", 5000, full::get);
        Socket half = connected();
        say(half, "POST /status HTTP/1.1\r\nContent-Le");
        Socket garbage = connected();
        say(garbage, "\0\1\2 garbage\r\n\r\n");
        Socket good = connected();
        fixture.process.destroy();
        waitUntil("it closes", 2000, () -> fixture.hasLogged("relay.closing"));
        assertEquals(
            RelayFixture.exchange(good, RelayFixture.messageRequest("good", "status", 1, 7900, "x")).status(),
            503);
        endsInTime();
    }

    /** Its time is up when shots no longer begin: it is owed its end all the same, and no later life is sure to come. */
    @Test
    public void whatRunsOutWhileTheRelayClosesHasItsEnd() throws Exception {
        fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.listDrainingEndpoint(2);
        fixture.start();
        assertEquals(fixture.submit("out", "order", 1, 9000), 202);
        waitUntil("its call is out", 2000, () -> fixture.statistic("calls_out") == 1);
        assertEquals(fixture.submit("held", "status", 2, 2600), 202);
        fixture.process.destroy();
        waitUntil("the platform is told", 3300, () -> fixture.hasOutcomeNotice("held", "handed_back"));
        endsInTime();
    }

    @Test
    public void askedToEndAtAnyMomentOfAStartNothingTakenIsLost() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        Set<String> taken = ConcurrentHashMap.newKeySet();
        AtomicBoolean on = new AtomicBoolean(true);
        Thread client = new Thread(() -> {
            for (int i = 0; on.get(); i++) {
                String id = "s" + i;
                try (Socket socket = new Socket(RelayFixture.RELAY_ADDRESS, fixture.port)) {
                    socket.setSoTimeout(5_000);
                    if (RelayFixture
                        .exchange(socket, RelayFixture.messageRequest(id, "status", 1, 30_000, "x"))
                        .status() == 202) {
                        taken.add(id);
                    }
                } catch (SocketTimeoutException silent) {
                    taken.add(id + " was left without a word");
                } catch (IOException down) {
                    RelayFixture.pause(1);
                }
            }
        });
        client.start();
        for (int after = 40; after < 900; after += 70) {
            fixture.startProcess();
            fixture.process.waitFor(after, TimeUnit.MILLISECONDS);
            fixture.process.destroy();
            assertTrue(fixture.process.waitFor(4, TimeUnit.SECONDS), "asked to end after " + after + " ms");
        }
        on.set(false);
        client.join();
        fixture.start();
        waitUntil("each that was taken on is delivered", 8000,
            () -> taken.stream().allMatch(id -> endpoint.requests.stream().anyMatch(g -> id.equals(g.id()))));
    }
}
