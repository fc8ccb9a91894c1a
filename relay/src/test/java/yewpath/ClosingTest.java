package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.OK;
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

/**
 * Shutdown of a relay: each client that has connected gets a response, and no peer delays the exit beyond
 * its limit.
 */
public final class ClosingTest extends RelayFixture.RelayTest {
    private SuspendedRelay suspended;

    private final List<Socket> sockets = new ArrayList<>();

    private Socket connect() throws IOException {
        Socket socket = fixture.connect();
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Sends SIGTERM and stops the process with SIGSTOP as soon as the shutdown has begun, so that the relay
     * finds everything that arrives meanwhile at once. The configured minimum duration of the shutdown
     * ensures that the process is stopped before its exit is due, even on a busy machine. Returns the time
     * of the SIGTERM in nanoseconds.
     */
    private long terminateAndSuspend() throws Exception {
        long terminatedNanos = System.nanoTime();
        fixture.process.destroy();
        waitUntil("the shutdown begins", 2000, () -> fixture.hasLogged("relay.closing"));
        suspended = new SuspendedRelay(fixture);
        return terminatedNanos;
    }

    /**
     * Resumes the process once the minimum duration of the shutdown is over, so that its exit is due at
     * once.
     */
    private void resumeWhenExitIsDue(long terminatedNanos) throws Exception {
        waitUntil("the exit is due", 3000, () -> System.nanoTime() - terminatedNanos > 1_200_000_000L);
        suspended.resume();
    }

    private void assertExitsInTime() throws Exception {
        assertTrue(fixture.process.waitFor(3_600, TimeUnit.MILLISECONDS),
            "the relay runs longer than the shutdown limit");
        assertEquals(fixture.process.exitValue(), 0);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /**
     * Guards against clients that get a reset instead of a response, because the relay exits while
     * connections still wait to be accepted or requests to be read. Covers idle, new and incomplete requests
     * at the moment when the exit is due.
     */
    @Test
    public void everyConnectedClientIsAnsweredWhenExitIsDue() throws Exception {
        fixture.operatorConfig = "[closing]\nleast = \"1 s\"\n";
        fixture.addEndpoint(1, request -> OK);
        fixture.start();
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            idle.add(connect());
            assertEquals(
                RelayFixture
                    .exchange(idle.get(i), RelayFixture.messageRequest("before" + i, "status", 1, 7900, "x"))
                    .status(),
                202);
        }
        long terminatedNanos = terminateAndSuspend();
        List<Socket> clients = new ArrayList<>(idle);
        // Too many to be accepted all at once before an exit that is due.
        for (int i = 0; i < 400; i++) {
            clients.add(connect());
        }
        Socket incomplete = connect();
        String whole = RelayFixture.messageRequest("half", "status", 1, 7900, "in two parts");
        send(incomplete, whole.substring(0, whole.length() - 5));
        for (int i = 0; i < clients.size(); i++) {
            send(clients.get(i),
                RelayFixture.messageRequest("late" + i, "status", 1, 7900, "y".repeat(i % 2 * 3000)));
        }
        resumeWhenExitIsDue(terminatedNanos);
        for (int i = 0; i < clients.size(); i++) {
            RelayFixture.Response answer = RelayFixture.readResponse(clients.get(i));
            assertEquals(answer.status(), 503, "connection " + i);
            assertEquals(answer.headers().get("connection"), "close");
        }
        send(incomplete, whole.substring(whole.length() - 5));
        assertEquals(RelayFixture.readResponse(incomplete).status(), 503);
        assertExitsInTime();
    }

    /**
     * Guards against a reset or an unsolicited response on an idle connection: the relay must close it,
     * before the process ends, while a call is still in progress.
     */
    @Test
    public void idleConnectionsAreClosedCleanlyBeforeExit() throws Exception {
        fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.start();
        Socket idle = connect();
        assertEquals(
            RelayFixture.exchange(idle, RelayFixture.messageRequest("out", "order", 1, 9000, "x")).status(),
            202);
        waitUntil("the call is in progress", 2000, () -> fixture.statistic("calls_out") == 1);
        fixture.process.destroy();
        assertEquals(idle.getInputStream().read(), -1, "unsolicited bytes on the idle connection");
        assertTrue(fixture.process.isAlive(), "the connection was closed by the end of the process");
        assertEquals(fixture.exchange(RelayFixture.messageRequest("again", "status", 1, 7900, "x")).status(),
            503,
            "a new request is refused");
        assertExitsInTime();
    }

    /**
     * Guards against a shutdown that a client delays without limit: one never reads its responses, one never
     * completes its request, one sends invalid bytes.
     */
    @Test
    public void clientsThatNeverFinishDelayTheExitOnlyUpToTheLimit() throws Exception {
        fixture.operatorConfig = "[closing]\nleast = \"2 s\"\n";
        fixture.addEndpoint(1, request -> OK);
        fixture.start();
        Socket notReading = connect();
        notReading.setSoTimeout(100);
        AtomicBoolean isBlocked = new AtomicBoolean();
        Thread sender = new Thread(() -> {
            try {
                OutputStream out = notReading.getOutputStream();
                byte[] requests = "GET /stats HTTP/1.1\r\n\r\n".repeat(400)
                    .getBytes(StandardCharsets.ISO_8859_1);
                for (int i = 0; i < 200; i++) {
                    out.write(requests);
                    isBlocked.set(i >= 20);
                }
            } catch (IOException over) {
                isBlocked.set(true);
            }
        });
        sender.setDaemon(true);
        sender.start();
        waitUntil("many responses are pending for it", 5000, isBlocked::get);
        Socket incomplete = connect();
        send(incomplete, "POST /status HTTP/1.1\r\nContent-Le");
        Socket invalid = connect();
        send(invalid, "\0\1\2 garbage\r\n\r\n");
        Socket valid = connect();
        fixture.process.destroy();
        waitUntil("the shutdown begins", 2000, () -> fixture.hasLogged("relay.closing"));
        assertEquals(RelayFixture.exchange(valid, RelayFixture.messageRequest("good", "status", 1, 7900, "x"))
            .status(), 503);
        assertExitsInTime();
    }

    /**
     * Guards against a message without an outcome whose deadline passes during the shutdown, when no attempt
     * may start any more. The platform must be notified at once, since no later process is certain to run.
     */
    @Test
    public void messageThatExpiresDuringShutdownHasItsOutcome() throws Exception {
        fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.listDrainingEndpoint(2);
        fixture.start();
        assertEquals(fixture.submit("out", "order", 1, 9000), 202);
        waitUntil("the call is in progress", 2000, () -> fixture.statistic("calls_out") == 1);
        assertEquals(fixture.submit("held", "status", 2, 2600), 202);
        fixture.process.destroy();
        waitUntil("the platform is notified", 3300, () -> fixture.hasOutcomeNotice("held", "handed_back"));
        assertExitsInTime();
    }

    /**
     * Guards against accepted messages that are lost, and connections without a response, when SIGTERM
     * arrives during the start. The relay is started and terminated again and again, with a growing delay,
     * while a client submits messages.
     */
    @Test
    public void terminationAtAnyMomentOfAStartLosesNoAcceptedMessage() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        AtomicBoolean running = new AtomicBoolean(true);
        Thread client = new Thread(() -> {
            for (int i = 0; running.get(); i++) {
                String id = "s" + i;
                try (Socket socket = fixture.connect()) {
                    if (RelayFixture
                        .exchange(socket, RelayFixture.messageRequest(id, "status", 1, 30_000, "x"))
                        .status() == 202) {
                        accepted.add(id);
                    }
                } catch (SocketTimeoutException timeout) {
                    accepted.add(id + " got no response");
                } catch (IOException down) {
                    RelayFixture.pause(1);
                }
            }
        });
        client.start();
        for (int delayMillis = 40; delayMillis < 900; delayMillis += 70) {
            fixture.startProcess();
            fixture.process.waitFor(delayMillis, TimeUnit.MILLISECONDS);
            fixture.process.destroy();
            assertTrue(fixture.process.waitFor(4, TimeUnit.SECONDS),
                "not terminated; SIGTERM was sent after " + delayMillis + " ms");
        }
        running.set(false);
        client.join();
        fixture.start();
        waitUntil("each accepted message is delivered", 8000,
            () -> accepted.stream()
                .allMatch(id -> endpoint.requests.stream().anyMatch(call -> id.equals(call.id()))));
    }
}
