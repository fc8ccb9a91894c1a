package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.ledger.Ledger;
import yewpath.ledger.LedgerEntry;
import yewpath.loop.ClockReading;
import yewpath.standins.process.LoopbackAddresses;

/**
 * Restarts of the process, after a kill or a shutdown: accepted messages, owed notices and possibly executed
 * calls must survive them.
 */
public final class RestartTest extends RelayFixture.RelayTest {
    private static final ClockReading NOW = new ClockReading("boot", 40, 40);

    /**
     * Guards against accepted messages that are lost at a restart, or delivered again by the restart after
     * that.
     */
    @Test
    public void openMessagesAreDeliveredAfterARestart() throws Exception {
        RelayFixture.StubServer unreachable = new RelayFixture.StubServer(request -> OK);
        unreachable.close();
        fixture.listEndpoint("e1", "127.0.0.1:" + unreachable.port(), 1);
        fixture.start();
        assertEquals(fixture.submit("r1", "order", 1, 15000), 202);
        assertEquals(fixture.submit("r2", "status", 1, 7900), 202);
        fixture.kill();
        RelayFixture.StubServer healthy = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        waitUntil("both messages are delivered", 3000, () -> healthy.requests.size() == 2);
        Thread.sleep(300);
        assertTrue(
            healthy.requests.stream()
                .anyMatch(call -> "r1".equals(call.id()) && call.body.equals("body of r1")));
        fixture.kill();
        fixture.start();
        Thread.sleep(500);
        assertEquals(healthy.requests.size(), 2, "delivered messages were sent again");
        assertTrue(fixture.notices.isEmpty());
    }

    /**
     * Guards against restored messages that are sent to endpoints of an outdated list. The endpoint begins
     * to drain while no relay runs, and discovery reports that only after a delay.
     */
    @Test
    public void restoredMessagesWaitForTheCurrentList() throws Exception {
        RelayFixture.StubServer drained = fixture.addEndpoint("e1", 1, "plain", request -> NO_RESPONSE);
        RelayFixture.StubServer other = fixture.addEndpoint("e2", 2, "plain", request -> OK);
        fixture.start();
        assertEquals(fixture.submit("r1", "status", 1, 7900), 202);
        waitUntil("the endpoint received the first attempt", 2000, () -> drained.requests.size() == 1);
        fixture.kill();
        // While no relay runs, the endpoint drains and another replaces it; discovery reports this late.
        fixture.watchDelayMillis = 150;
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e1", drained.address(), 1, "plain", "draining") + ","
            + fixture.listEntry("e3", other.address(), 1, "plain", "up") + "]}";
        fixture.start();
        waitUntil("the message is delivered to the endpoint of the current list", 3000,
            () -> other.requests.size() == 1);
        assertEquals(drained.requests.size(), 1,
            "a message was sent to an endpoint that drained before the start");
    }

    @DataProvider
    public Object[][] discoveryModesAndSignals() {
        return new Object[][]{{"pushed", "KILL"}, {"pushed", "TERM"}, {"on_request", "KILL"},
            {"on_request", "TERM"}};
    }

    /**
     * Guards against messages that are sent by the list of the configuration because discovery does not
     * respond to a new process: meanwhile the endpoint was removed, and its address may belong to another
     * destination.
     */
    @Test(dataProvider = "discoveryModesAndSignals")
    public void nothingIsSentBeforeDiscoveryHasAnswered(String mode, String signal) throws Exception {
        fixture.discoveryMode = mode;
        RelayFixture.StubServer removed = fixture.addEndpoint("e1", 1, "plain",
            request -> "HTTP/1.1 429 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        RelayFixture.StubServer other = fixture.addEndpoint("e2", 2, "plain", request -> OK);
        fixture.start();
        assertEquals(fixture.submit("r1", "order", 1, 18_000), 202);
        waitUntil("the endpoint refused the first attempt", 2000,
            () -> removed.requests.size() == 1 && fixture.statistic("calls_out") == 0);
        fixture.watchDelayMillis = -1;
        fixture.signal(signal);
        fixture.process.waitFor(5, TimeUnit.SECONDS);
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e1", removed.address(), 1, "plain", "removed") + ","
            + fixture.listEntry("e3", other.address(), 1, "plain", "up") + "]}";
        fixture.start();
        assertEquals(fixture.submit("r2", "order", 1, 18_000), 202);
        assertEquals(fixture.submit("r3", "status", 2, 1_200), 202);
        // This is longer than the connect timeout and than the wait that the endpoint advertised.
        RelayFixture.pause(3_500);
        assertEquals(removed.requests.size() + other.requests.size(), 1,
            "a message was sent by the list of the configuration");
        assertTrue(fixture.hasOutcomeNotice("r3", "handed_back"), "an expired message has no outcome");
        fixture.watchDelayMillis = 0;
        waitUntil("the messages are delivered by the current list", 8_000, () -> other.requests.size() == 2);
        assertEquals(removed.requests.size(), 1);
    }

    /**
     * Guards against accepted messages that are dropped, or sent more than once, because the new
     * configuration no longer has the names of their class, tenant, kind and zone. Their delivery semantics
     * are unknown then, so each message gets one attempt at most.
     */
    @Test
    public void messagesOfUnknownClassesGetOneAttempt() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.listDrainingEndpoint(2);
        fixture.start();
        assertEquals(fixture.submit("out", "status", 1, 30_000), 202);
        waitUntil("the endpoint received the first attempt", 2000, () -> endpoint.requests.size() == 1);
        assertEquals(fixture.submit("untried", "order", 2, 30_000), 202);
        assertEquals(fixture.submit("untold", "status", 2, 30_000), 202);
        fixture.kill();
        for (String name : List.of("status", "order", "serial", "acme", "plain", "bundled", "z")) {
            fixture.renamedConfigNames.put(name, "other-" + name);
        }
        RelayFixture.StubServer renamedEndpoint = new RelayFixture.StubServer(
            request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.listEndpoint("e2", renamedEndpoint.address(), 2);
        fixture.start();
        waitUntil("each message without an attempt is sent", 3000,
            () -> renamedEndpoint.requests.size() == 2);
        waitUntil("each of them fails after one attempt", 2000,
            () -> fixture.hasOutcomeNotice("untried", "given_up")
                && fixture.hasOutcomeNotice("untold", "given_up"));
        waitUntil("the message whose outcome is unknown fails", 2000,
            () -> fixture.hasOutcomeNotice("out", "given_up"));
        assertEquals(endpoint.requests.size() + renamedEndpoint.requests.size(), 3);
        assertEquals(fixture.submit("fresh", "other-status", 2, 7900), 202);
        assertEquals(fixture.submit("stale", "status", 2, 7900), 404,
            "a message class of the earlier configuration was accepted");
        renamedEndpoint.close();
    }

    /**
     * Guards against messages of one key that overtake each other: after a restart, the next message may go
     * out only when the platform has acknowledged that the one ahead of it has failed.
     */
    @Test
    public void nextMessageOfAKeyWaitsUntilTheFailureAheadIsAcknowledged() throws Exception {
        fixture.deduplicationMillis = 1_000;
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.start();
        assertEquals(fixture.exchange(RelayFixture.keyedMessageRequest("first", 30_000)).status(), 202);
        waitUntil("the endpoint received the first attempt", 2000, () -> endpoint.requests.size() == 1);
        assertEquals(fixture.exchange(RelayFixture.keyedMessageRequest("second", 30_000)).status(), 202);
        fixture.kill();
        endpoint.responder = request -> OK;
        fixture.noticeStatus = 0;
        RelayFixture.pause(1_000);
        fixture.start();
        waitUntil("the notice was sent and repeated", 4000,
            () -> fixture.discovery.postRequests().size() >= 3);
        assertEquals(endpoint.requests.size(), 1,
            "the second message was sent before the first was completed");
        fixture.noticeStatus = 204;
        waitUntil("the second message is sent after the acknowledgement", 4000,
            () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).id(), "second");
        assertTrue(fixture.hasOutcomeNotice("first", "given_up"));
    }

    /**
     * Guards against an at-most-once message that is sent again after a kill, although the endpoint may have
     * executed the call that was in progress. An idempotent message must be sent again.
     */
    @Test
    public void callInProgressAtAKillMayHaveBeenExecuted() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.start();
        fixture.submit("k1", "order", 1, 15000);
        fixture.submit("k2", "status", 1, 7900);
        waitUntil("both attempts arrive", 2000, () -> endpoint.requests.size() == 2);
        fixture.kill();
        endpoint.responder = request -> OK;
        fixture.start();
        waitUntil("the at-most-once message fails", 2000, () -> fixture.hasOutcomeNotice("k1", "given_up"));
        waitUntil("the idempotent message is sent again", 2000, () -> endpoint.requests.size() == 3);
        Thread.sleep(300);
        assertEquals(endpoint.requests.stream().filter(call -> "k1".equals(call.id())).count(), 1);
        assertEquals(fixture.notices.size(), 1);
    }

    /**
     * Guards against an at-most-once message that fails at a restart although its only attempt was refused,
     * and so certainly not executed.
     */
    @Test
    public void refusedAttemptLeavesNoUncertainty() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1,
            request -> "HTTP/1.1 429 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        fixture.start();
        fixture.submit("k1", "order", 1, 15000);
        waitUntil("the attempt is refused", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        fixture.kill();
        endpoint.responder = request -> OK;
        fixture.start();
        waitUntil("the message is sent again", 4000, () -> endpoint.requests.size() == 2);
        assertTrue(fixture.notices.isEmpty());
    }

    /**
     * Guards against a restored message whose attempt can't be cancelled when its call slot is needed: its
     * endpoint does not respond and all slots are in use.
     */
    @Test
    public void attemptOfARestoredMessageCanBeCancelled() throws Exception {
        String overloaded = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n";
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> overloaded);
        RelayFixture.StubServer other = fixture.addEndpoint(2, request -> NO_RESPONSE);
        RelayFixture.StubServer healthy = fixture.addEndpoint(3, request -> OK);
        fixture.start();
        fixture.submit("k1", "order", 1, 18000);
        waitUntil("the attempt is refused", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        fixture.kill();
        endpoint.responder = request -> NO_RESPONSE;
        fixture.start();
        waitUntil("the message is sent again", 4000, () -> endpoint.requests.size() == 2);
        for (int i = 0; i < 6; i++) {
            fixture.submit("a" + i, "order", 1, 18000);
            fixture.submit("b" + i, "order", 2, 18000);
        }
        waitUntil("all call slots are in use", 6000,
            () -> endpoint.requests.size() + other.requests.size() >= 9);
        fixture.submit("c", "status", 3, 7900);
        waitUntil("the oldest call is cancelled", 8000,
            () -> fixture.hasOutcomeNotice("k1", "given_up") && healthy.requests.size() == 1);
        waitUntil("its connection is closed", 1000, () -> !endpoint.requests.get(1).open);
    }

    /**
     * Guards against messages of one key that are reordered by a restart. After an attempt with unknown
     * outcome, the key also has to pause before its next message is sent.
     */
    @Test
    public void orderOfAKeySurvivesARestart() throws Exception {
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\n";
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.start();
        for (int i = 1; i <= 3; i++) {
            assertEquals(fixture
                .exchange(RelayFixture.messageRequest("s" + i, "serial", 1, 15000, "x").replace("Tenant:",
                    "Affinity-Key: 5c0f6e1a00000001\r\nTenant:"))
                .status(), 202);
        }
        waitUntil("the first message arrives", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(300);
        assertEquals(endpoint.requests.size(), 1);
        fixture.kill();
        endpoint.responder = request -> OK;
        fixture.start();
        waitUntil("all messages are delivered", 5000, () -> endpoint.requests.size() == 4);
        assertEquals(endpoint.requests.stream().map(RelayFixture.ReceivedRequest::id).toList(),
            List.of("s1", "s1", "s2", "s3"));
        assertEquals(endpoint.requests.get(3).headers.get("affinity-key"), "5c0f6e1a00000001");
        // Measured by the relay's log from when it restored the key, however late the first attempt was sent.
        assertTrue(millisOfLogLine("envelope.shot", "s2") - millisOfLogLine("envelope.restored", "s1") >= 300,
            "the key did not pause");
    }

    /** Returns the Unix time in milliseconds of the first log line with this event and message id. */
    private long millisOfLogLine(String event, String id) throws IOException {
        String logLine = fixture.logLines().stream()
            .filter(line -> line.contains(event) && line.contains('"' + id + '"'))
            .findFirst().orElseThrow();
        return LocalDateTime.parse(logLine.substring(0, 23).replace(' ', 'T')).toInstant(ZoneOffset.UTC)
            .toEpochMilli();
    }

    /**
     * Guards against an idempotency key that is lost at a restart, so that the endpoint can't recognise the
     * repeated message, and against one that is made up where the client gave none.
     */
    @Test
    public void idempotencyKeySurvivesARestart() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "plain", request -> NO_RESPONSE);
        RelayFixture.StubServer batchEndpoint = fixture.addEndpoint("e2", 2, "bundled",
            request -> NO_RESPONSE);
        fixture.start();
        String withIdempotencyKey = "Idempotency-Key: 0268084139284ccf896de4ac5653e423\r\nTenant:";
        assertEquals(
            fixture
                .exchange(RelayFixture.messageRequest("t1", "serial", 1, 15000, "x").replace("Tenant:",
                    withIdempotencyKey))
                .status(),
            202);
        waitUntil("the endpoint received the first attempt", 2000, () -> endpoint.requests.size() == 1);
        fixture.kill();
        endpoint.responder = request -> OK;
        fixture.start();
        waitUntil("the message is sent again", 5000, () -> endpoint.requests.size() == 2);
        assertEquals(
            endpoint.requests.stream().map(request -> request.headers.get("idempotency-key")).distinct()
                .toList(),
            List.of("0268084139284ccf896de4ac5653e423"), "the idempotency key was changed");
        assertEquals(fixture.submit("first", "status", 2, 7900), 202);
        waitUntil("the endpoint received a call", 2000, () -> batchEndpoint.requests.size() == 1);
        assertTrue(batchEndpoint.requests.get(0).headers.get("idempotency-key") == null,
            "an idempotency key that no client gave");
    }

    /**
     * Guards against a notice that is lost at a restart before the platform has acknowledged it, or sent
     * again after that.
     */
    @Test
    public void unacknowledgedNoticeIsSentAfterARestart() throws Exception {
        fixture.addEndpoint(1, request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.noticeStatus = 500;
        fixture.start();
        fixture.submit("n1", "order", 1, 5000);
        waitUntil("a notice is sent", 2000, () -> fixture.discovery.postRequests().size() > 0);
        fixture.kill();
        fixture.noticeStatus = 204;
        fixture.start();
        waitUntil("the notice is acknowledged", 2000, () -> fixture.hasOutcomeNotice("n1", "given_up"));
        Thread.sleep(300);
        fixture.kill();
        fixture.start();
        Thread.sleep(300);
        assertEquals(fixture.notices.size(), 1);
    }

    /**
     * Guards against a message that stays open after a restart although its deadline passed while no relay
     * ran.
     */
    @Test
    public void messageThatExpiredMeanwhileHasItsOutcomeAtOnce() throws Exception {
        fixture.listDrainingEndpoint(1);
        fixture.start();
        fixture.submit("e1", "status", 1, 900);
        fixture.kill();
        Thread.sleep(900);
        fixture.start();
        waitUntil("the message is rejected", 1000, () -> fixture.hasOutcomeNotice("e1", "handed_back"));
    }

    /**
     * Guards against a shutdown that accepts new messages, exceeds its time limit, loses open messages, or
     * cuts off the call in progress, so that its message is sent again or fails.
     */
    @Test
    public void shutdownCompletesCallsAndKeepsOpenMessages() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> {
            RelayFixture.pause(1000);
            return OK;
        });
        fixture.listDrainingEndpoint(9);
        fixture.start();
        try (Socket kept = fixture.connect()) {
            assertEquals(RelayFixture.exchange(kept, RelayFixture.messageRequest("s1", "order", 1, 9000, "x"))
                .status(), 202);
            assertEquals(fixture.submit("s2", "status", 9, 7900), 202);
            waitUntil("the call is in progress", 2000, () -> endpoint.requests.size() == 1);
            long startNanos = System.nanoTime();
            fixture.process.destroy();
            Thread.sleep(150);
            assertEquals(fixture.exchange("GET /health/ready HTTP/1.1\r\n\r\n").status(), 503);
            RelayFixture.Response refused = RelayFixture.exchange(kept,
                RelayFixture.messageRequest("s3", "order", 1, 9000, "x"));
            assertEquals(refused.status(), 503);
            assertEquals(refused.headers().get("connection"), "close");
            assertTrue(fixture.process.waitFor(3500, TimeUnit.MILLISECONDS));
            assertTrue(System.nanoTime() - startNanos < 3_500_000_000L);
            assertEquals(fixture.process.exitValue(), 0);
        }
        RelayFixture.StubServer other = fixture.addEndpoint(9, request -> OK);
        fixture.start();
        waitUntil("the remaining message is delivered", 3000, () -> other.requests.size() == 1);
        Thread.sleep(200);
        assertEquals(endpoint.requests.size(), 1);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
    }

    /**
     * Guards against messages that are lost, and at-most-once messages that are sent twice, when the process
     * is killed at any moment, also while it rewrites the ledger.
     */
    @Test
    public void killAtAnyMomentLosesNoMessageAndRepeatsNoAtMostOnceMessage() throws Exception {
        // With a small disk limit the ledger is rewritten often between the kills.
        fixture.extraLimits = ",\"disk_mb\":0.12";
        Function<RelayFixture.ReceivedRequest, String> slow = request -> {
            RelayFixture.pause(5 + Math.floorMod(request.id().hashCode(), 60));
            return OK;
        };
        RelayFixture.StubServer one = fixture.addEndpoint(1, slow);
        RelayFixture.StubServer two = fixture.addEndpoint(2, slow);
        fixture.start();
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        AtomicBoolean running = new AtomicBoolean(true);
        Thread client = new Thread(() -> {
            for (int i = 0; running.get(); i++) {
                String id = "i" + i;
                try {
                    if (fixture.exchange(
                        RelayFixture.messageRequest(id, i % 2 == 0 ? "order" : "status", 1 + i / 2 % 2, 7000,
                            "y".repeat(1500)))
                        .status() == 202) {
                        accepted.add(id);
                    }
                } catch (IOException down) {
                    continue;
                } finally {
                    RelayFixture.pause(4);
                }
            }
        });
        client.start();
        for (int pause : new int[]{420, 133, 677, 251, 319}) {
            Thread.sleep(pause);
            fixture.kill();
            fixture.start();
        }
        Thread.sleep(300);
        running.set(false);
        client.join();
        assertTrue(accepted.size() > 50, accepted.size() + " accepted");
        waitUntil("each accepted message has its outcome", 9000,
            () -> accepted.stream().allMatch(id -> fixture.hasOutcomeNotice(id, "outcome")
                || one.requests.stream().anyMatch(call -> id.equals(call.id()))
                || two.requests.stream().anyMatch(call -> id.equals(call.id()))));
        waitUntil("no message is open and no notice unacknowledged", 9000,
            () -> fixture.statistic("open") == 0 && fixture.statistic("notices_owed") == 0);
        List<RelayFixture.ReceivedRequest> calls = Stream.concat(one.requests.stream(), two.requests.stream())
            .toList();
        for (String id : accepted) {
            long sent = calls.stream().filter(call -> id.equals(call.id())).count();
            boolean atMostOnce = Integer.parseInt(id.substring(1)) % 2 == 0;
            assertTrue(!atMostOnce || sent <= 1, id + " was sent " + sent + " times");
        }
    }

    /**
     * Guards against a ledger that exceeds its disk limit, or drops open messages to stay within it. When it
     * is full, new messages are refused until open ones are delivered.
     */
    @Test
    public void fullLedgerRefusesNewMessagesAndKeepsOpenOnes() throws Exception {
        fixture.extraLimits = ",\"disk_mb\":0.3";
        fixture.listDrainingEndpoint(1);
        fixture.start();
        int accepted = 0;
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            RelayFixture.Response answer = fixture
                .exchange(RelayFixture.messageRequest("f" + i, "status", 1, 7900, "z".repeat(20_000)));
            accepted += answer.status() == 202 ? 1 : 0;
            refused += answer.status() == 503 && "1.000".equals(answer.headers().get("retry-after")) ? 1 : 0;
            assertTrue(stateFolderBytes() <= 0.3 * (1 << 20), stateFolderBytes() + " bytes on disk");
        }
        assertTrue(accepted >= 4 && refused >= 20, accepted + " accepted, " + refused + " refused");
        RelayFixture.StubServer healthy = new RelayFixture.StubServer(request -> OK);
        fixture.publish(true, fixture.listEntry("e1", healthy.address(), 1, "plain", "up"));
        int expected = accepted;
        waitUntil("the open messages are delivered", 7000, () -> healthy.requests.size() == expected);
        assertEquals(fixture.submit("again", "status", 1, 5000), 202);
        healthy.close();
    }

    /**
     * Guards against a disk limit that is checked only once per round of the event loop: the suspended relay
     * finds all messages in one round.
     */
    @Test
    public void manyMessagesInOneRoundStayWithinTheDiskLimit() throws Exception {
        fixture.extraLimits = ",\"disk_mb\":0.3";
        fixture.listDrainingEndpoint(1);
        fixture.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            // The relay is suspended, so that it finds all of them in one round.
            for (int i = 0; i < 40; i++) {
                sockets.add(fixture.connect());
                RelayFixture.exchange(sockets.get(i), "GET /health/live HTTP/1.1\r\n\r\n");
            }
            fixture.signal("STOP");
            for (int i = 0; i < 40; i++) {
                sockets.get(i).getOutputStream()
                    .write(RelayFixture.messageRequest("f" + i, "status", 1, 7900, "z".repeat(20_000))
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
            fixture.signal("CONT");
            int accepted = 0;
            for (Socket socket : sockets) {
                accepted += RelayFixture.readResponse(socket).status() == 202 ? 1 : 0;
            }
            assertTrue(accepted >= 4 && stateFolderBytes() <= 0.3 * (1 << 20),
                accepted + " accepted, " + stateFolderBytes() + " bytes");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Returns the size of the files in the state folder, each rounded up to blocks of 512 bytes. */
    private long stateFolderBytes() throws Exception {
        try (Stream<Path> files = Files.list(fixture.directory.resolve("state"))) {
            return files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    /**
     * Guards against a ledger that can't be opened, or replays a partial or corrupt record, after a write
     * was cut short. The file is cut at every length, and then one byte of it is changed.
     */
    @Test
    public void ledgerTruncatedAtAnyByteOpens() throws Exception {
        Path folder = fixture.directory.resolve("cut");
        Ledger ledger = new Ledger(folder, 400_000, 600_000, 512, NOW);
        int clockLength = (int) Files.size(folder.resolve("ledger"));
        LedgerEntry first = ledger.createEntry("i1", "order", null, "k", "t-1", "7", 99,
            "abc".getBytes(StandardCharsets.UTF_8));
        LedgerEntry second = ledger.createEntry("i2", "order", "t", null, null, "8", 99, new byte[0]);
        ledger.recordAccepted(first);
        ledger.flush();
        long lengthWithFirst = Files.size(folder.resolve("ledger"));
        ledger.recordAccepted(second);
        ledger.recordAttempt(first, 50, "z");
        ledger.recordNoticeOwed(second, true, 1234, 60);
        ledger.flush();
        byte[] complete = Files.readAllBytes(folder.resolve("ledger"));
        for (int length = 0; length <= complete.length; length++) {
            Files.write(folder.resolve("ledger"), Arrays.copyOf(complete, length));
            Ledger truncated = new Ledger(folder, 400_000, 600_000, 512, NOW);
            assertEquals(truncated.size() >= 1, length >= lengthWithFirst, "truncated to length " + length);
            if (length == complete.length) {
                LedgerEntry restored = truncated.entries().iterator().next();
                assertEquals(
                    restored.attempts + " " + restored.uncertainSinceMicros + restored.uncertainZone + " "
                        + new String(restored.body)
                        + restored.idempotencyKey,
                    "1 50z abct-1");
                assertTrue(
                    truncated.entries().stream()
                        .anyMatch(entry -> entry.id.equals("i2") && entry.idempotencyKey == null),
                    "an idempotency key that no client gave");
                assertTrue(
                    truncated.entries().stream()
                        .anyMatch(
                            entry -> entry.noticeOwed && entry.rejected && entry.retryAfterMicros == 1234));
            }
        }
        complete[clockLength + 20] ^= 1;
        Files.write(folder.resolve("ledger"), complete);
        assertEquals(new Ledger(folder, 400_000, 600_000, 512, NOW).size(), 0,
            "a record with a wrong checksum was replayed");
    }

    /**
     * Guards against a reload that interrupts connections and calls, or an invalid configuration that takes
     * effect. A new discovery address must apply to the list and to notices, also to those that the old
     * address has not acknowledged.
     */
    @Test
    public void reloadMovesDiscoveryAndNothingElse() throws Exception {
        RelayFixture.StubServer slow = fixture.addEndpoint(1, request -> {
            RelayFixture.pause(700);
            return OK;
        });
        fixture.addEndpoint(2, request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.environment.put("NODE_DISCOVERY", fixture.discovery.address());
        fixture.noticeStatus = 0;
        fixture.listDrainingEndpoint(9);
        fixture.start();
        try (Socket client = fixture.connect()) {
            assertEquals(RelayFixture
                .exchange(client, RelayFixture.messageRequest("m1", "order", 1, 9000, "x")).status(), 202);
            assertEquals(RelayFixture
                .exchange(client, RelayFixture.messageRequest("m2", "status", 9, 7900, "x")).status(), 202);
            fixture.submit("m3", "order", 2, 9000);
            waitUntil("the old address does not respond to a notice", 2000,
                () -> fixture.discovery.postRequests().size() == 1);
            fixture.reload("{\"discovery\":");
            waitUntil("the relay logs that it refused the invalid file", 2000,
                () -> Files.readString(fixture.directory.resolve("log")).contains("relay.reload_refused"));
            assertEquals(fixture.watchRequests.size(), 1, "an invalid file took effect");
            RelayFixture.StubServer oldDiscovery = fixture.discovery;
            RelayFixture.StubServer newDiscovery = fixture.replaceDiscovery();
            fixture.noticeStatus = 204;
            fixture.reload(fixture.config());
            waitUntil("the list is followed at the new address", 1000,
                () -> fixture.watchRequests.size() == 2);
            assertTrue(fixture.watchRequests.get(1).contains("since=1"), "" + fixture.watchRequests);
            waitUntil("notices go to the new address", 1000,
                () -> fixture.hasOutcomeNotice("m3", "given_up") && newDiscovery.postRequests().size() > 0);
            int oldRequestCount = oldDiscovery.requests.size();
            RelayFixture.StubServer healthy = new RelayFixture.StubServer(request -> OK);
            fixture.publish(false, fixture.listEntry("e9", healthy.address(), 9, "plain", "up"));
            waitUntil("the open message is delivered to the endpoint of the new list", 2000,
                () -> healthy.requests.size() == 1);
            assertEquals(RelayFixture
                .exchange(client, RelayFixture.messageRequest("m4", "status", 9, 7900, "x")).status(), 202);
            waitUntil("the call in progress is completed", 2000, () -> fixture.statistic("open") == 0);
            assertEquals(slow.requests.size() + " " + slow.connections.get(), "1 1");
            assertEquals(oldDiscovery.requests.size(), oldRequestCount,
                "the old address still receives requests");
            healthy.close();
            oldDiscovery.close();
        }
    }

    /**
     * Guards against a notice that waits for a long retry delay of the old address although discovery has a
     * new one.
     */
    @Test
    public void delayedNoticeIsSentAtOnceToANewAddress() throws Exception {
        fixture.operatorConfig = "[discovery]\nretry_first = \"30 s\"\nretry_most = \"30 s\"\n";
        fixture.addEndpoint(1, request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.noticeStatus = 500;
        fixture.start();
        fixture.submit("n1", "order", 1, 9000);
        waitUntil("the retry delay has begun", 2000, () -> fixture.hasLogged("notice.unheard"));
        RelayFixture.StubServer oldDiscovery = fixture.discovery;
        fixture.replaceDiscovery();
        fixture.noticeStatus = 204;
        fixture.reload(fixture.config());
        waitUntil("the notice is sent to the new address", 3000,
            () -> fixture.hasOutcomeNotice("n1", "given_up"));
        assertEquals(oldDiscovery.postRequests().size(), 1);
        oldDiscovery.close();
    }

    /**
     * Guards against a heap that does not fit the configured memory: the start script must read the
     * configuration that a relay gets.
     */
    @Test
    public void heapFollowsTheConfiguredMemory() throws Exception {
        Path java = Files.writeString(fixture.directory.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        for (int memoryMegabytes : new int[]{192, 96}) {
            Path config = Files.writeString(fixture.directory.resolve("c.json"),
                fixture.config().replace(":192", ": " + memoryMegabytes));
            ProcessBuilder run = new ProcessBuilder("sh", "../deploy/run.sh");
            run.environment().put("PATH", fixture.directory + ":" + System.getenv("PATH"));
            run.environment().put("NODE_CONFIG", config.toString());
            String flags = new String(run.start().getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(flags.contains("-Xmx" + memoryMegabytes * 2 / 5 + "m ") && flags.contains("serve"),
                flags);
        }
    }

    /**
     * Guards against a relay that starts with an invalid configuration, or ends with a stack trace instead
     * of one line that names the error.
     */
    @Test
    public void invalidConfigurationEndsWithOneLine() throws Exception {
        String validConfig = fixture.config();
        for (String invalidConfig : new String[]{"{", validConfig.replace("8c1f30d27a5be964", "no"),
            validConfig.replace("\"listen\"", "\"l\""),
            validConfig.replace("request_classes", "classes"),
            validConfig.replace("\"disk_mb\":3", "\"disk_mb\":\"much\""),
            validConfig.replace("\"version\":1,", ""),
            validConfig.replace(LoopbackAddresses.hostAndPort(fixture.relayAddress), "nowhere")}) {
            Path file = Files.writeString(fixture.directory.resolve("bad.json"), invalidConfig);
            Process process = RelayFixture.yewpathCommand("serve", "--config", file.toString()).start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(process.waitFor() != 0, invalidConfig);
            assertEquals(output.lines().count(), 1, output);
        }
        Process version = RelayFixture.yewpathCommand("version").start();
        assertTrue(new String(version.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .startsWith("yewpath"));
    }
}
