package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.OK;
import static yewpath.Stand.SILENCE;
import static yewpath.Stand.until;

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
import org.testng.annotations.Test;
import yewpath.ledger.Ledger;
import yewpath.ledger.LedgerEntry;
import yewpath.loop.ClockReading;

/**
 * Restarts of the process, after a kill or a shutdown: accepted messages, owed notices and possibly executed
 * calls must survive them.
 */
public final class RestartTest extends Stand.Tests {
    private static final ClockReading NOW = new ClockReading("boot", 40, 40);

    /**
     * Guards against accepted messages that are lost at a restart, or delivered again by the restart after
     * that.
     */
    @Test
    public void openMessagesAreDeliveredAfterARestart() throws Exception {
        Stand.Server unreachable = new Stand.Server(request -> OK);
        unreachable.close();
        stand.listed("e1", "127.0.0.1:" + unreachable.port(), 1);
        stand.start();
        assertEquals(stand.handIn("r1", "order", 1, 15000), 202);
        assertEquals(stand.handIn("r2", "status", 1, 7900), 202);
        stand.kill();
        Stand.Server healthy = stand.endpoint(1, request -> OK);
        stand.start();
        until("both messages are delivered", 3000, () -> healthy.got.size() == 2);
        Thread.sleep(300);
        assertTrue(
            healthy.got.stream().anyMatch(call -> "r1".equals(call.id()) && call.body.equals("body of r1")));
        stand.kill();
        stand.start();
        Thread.sleep(500);
        assertEquals(healthy.got.size(), 2, "delivered messages were sent again");
        assertTrue(stand.notices.isEmpty());
    }

    /**
     * Guards against restored messages that are sent to endpoints of an outdated list. The endpoint begins
     * to drain while no relay runs, and discovery reports that only after a delay.
     */
    @Test
    public void restoredMessagesWaitForTheCurrentList() throws Exception {
        Stand.Server drained = stand.endpoint("e1", 1, "plain", request -> SILENCE);
        Stand.Server other = stand.endpoint("e2", 2, "plain", request -> OK);
        stand.start();
        assertEquals(stand.handIn("r1", "status", 1, 7900), 202);
        until("the endpoint received the first attempt", 2000, () -> drained.got.size() == 1);
        stand.kill();
        // While no relay runs, the endpoint drains and another replaces it; discovery reports this late.
        stand.newsAfter = 150;
        stand.news = "{\"version\":2,\"full\":false,\"servers\":["
            + stand.entry("e1", drained.address(), 1, "plain", "draining") + ","
            + stand.entry("e3", other.address(), 1, "plain", "up") + "]}";
        stand.start();
        until("the message is delivered to the endpoint of the current list", 3000,
            () -> other.got.size() == 1);
        assertEquals(drained.got.size(), 1,
            "a message was sent to an endpoint that drained before the start");
    }

    /**
     * Guards against restored messages that wait forever for a current list because discovery does not
     * respond.
     */
    @Test
    public void withoutDiscoveryTheStoredListIsUsed() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, request -> SILENCE);
        stand.start();
        assertEquals(stand.handIn("r1", "status", 1, 7900), 202);
        until("the endpoint received the first attempt", 2000, () -> endpoint.got.size() == 1);
        stand.kill();
        endpoint.answer = request -> OK;
        stand.newsAfter = -1;
        stand.start();
        until("the message is sent again", 5000, () -> endpoint.got.size() == 2);
    }

    /**
     * Guards against accepted messages that are dropped, or sent more than once, because the new
     * configuration no longer has the names of their class, tenant, kind and zone. Their delivery semantics
     * are unknown then, so each message gets one attempt at most.
     */
    @Test
    public void messagesOfUnknownClassesGetOneAttempt() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, request -> SILENCE);
        stand.closed(2);
        stand.start();
        assertEquals(stand.handIn("out", "status", 1, 30_000), 202);
        until("the endpoint received the first attempt", 2000, () -> endpoint.got.size() == 1);
        assertEquals(stand.handIn("untried", "order", 2, 30_000), 202);
        assertEquals(stand.handIn("untold", "status", 2, 30_000), 202);
        stand.kill();
        for (String name : List.of("status", "order", "serial", "acme", "plain", "bundled", "z")) {
            stand.renamed.put(name, "other-" + name);
        }
        Stand.Server renamedEndpoint = new Stand.Server(
            request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.listed("e2", renamedEndpoint.address(), 2);
        stand.start();
        until("each message without an attempt is sent", 3000, () -> renamedEndpoint.got.size() == 2);
        until("each of them fails after one attempt", 2000,
            () -> stand.ended("untried", "given_up") && stand.ended("untold", "given_up"));
        until("the message whose outcome is unknown fails", 2000, () -> stand.ended("out", "given_up"));
        assertEquals(endpoint.got.size() + renamedEndpoint.got.size(), 3);
        assertEquals(stand.handIn("fresh", "other-status", 2, 7900), 202);
        assertEquals(stand.handIn("stale", "status", 2, 7900), 404,
            "a message class of the earlier configuration was accepted");
        renamedEndpoint.close();
    }

    /**
     * Guards against messages of one key that overtake each other: after a restart, the next message may go
     * out only when the platform has acknowledged that the one ahead of it has failed.
     */
    @Test
    public void nextMessageOfAKeyWaitsUntilTheFailureAheadIsAcknowledged() throws Exception {
        stand.memoryMs = 1_000;
        Stand.Server endpoint = stand.endpoint(1, request -> SILENCE);
        stand.start();
        assertEquals(stand.ask(messageWithKey("first", 30_000)).status(), 202);
        until("the endpoint received the first attempt", 2000, () -> endpoint.got.size() == 1);
        assertEquals(stand.ask(messageWithKey("second", 30_000)).status(), 202);
        stand.kill();
        endpoint.answer = request -> OK;
        stand.noticeStatus = 0;
        Stand.pause(1_000);
        stand.start();
        until("the notice was sent and repeated", 4000, () -> stand.discovery.posts().size() >= 3);
        assertEquals(endpoint.got.size(), 1, "the second message was sent before the first was completed");
        stand.noticeStatus = 204;
        until("the second message is sent after the acknowledgement", 4000, () -> endpoint.got.size() == 2);
        assertEquals(endpoint.got.get(1).id(), "second");
        assertTrue(stand.ended("first", "given_up"));
    }

    private static String messageWithKey(String id, int withinMillis) {
        return Stand.envelope(id, "serial", 1, withinMillis, "x").replaceFirst("\r\n",
            "\r\nAffinity-Key: doc\r\n");
    }

    /**
     * Guards against an at-most-once message that is sent again after a kill, although the endpoint may have
     * executed the call that was in progress. An idempotent message must be sent again.
     */
    @Test
    public void callInProgressAtAKillMayHaveBeenExecuted() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, request -> SILENCE);
        stand.start();
        stand.handIn("k1", "order", 1, 15000);
        stand.handIn("k2", "status", 1, 7900);
        until("both attempts arrive", 2000, () -> endpoint.got.size() == 2);
        stand.kill();
        endpoint.answer = request -> OK;
        stand.start();
        until("the at-most-once message fails", 2000, () -> stand.ended("k1", "given_up"));
        until("the idempotent message is sent again", 2000, () -> endpoint.got.size() == 3);
        Thread.sleep(300);
        assertEquals(endpoint.got.stream().filter(call -> "k1".equals(call.id())).count(), 1);
        assertEquals(stand.notices.size(), 1);
    }

    /**
     * Guards against an at-most-once message that fails at a restart although its only attempt was refused,
     * and so certainly not executed.
     */
    @Test
    public void refusedAttemptLeavesNoUncertainty() throws Exception {
        Stand.Server endpoint = stand.endpoint(1,
            request -> "HTTP/1.1 429 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        stand.start();
        stand.handIn("k1", "order", 1, 15000);
        until("the attempt is refused", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(100);
        stand.kill();
        endpoint.answer = request -> OK;
        stand.start();
        until("the message is sent again", 4000, () -> endpoint.got.size() == 2);
        assertTrue(stand.notices.isEmpty());
    }

    /**
     * Guards against a restored message whose attempt can't be cancelled when its call slot is needed: its
     * endpoint does not respond and all slots are in use.
     */
    @Test
    public void attemptOfARestoredMessageCanBeCancelled() throws Exception {
        String overloaded = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n";
        Stand.Server endpoint = stand.endpoint(1, request -> overloaded);
        Stand.Server other = stand.endpoint(2, request -> SILENCE);
        Stand.Server healthy = stand.endpoint(3, request -> OK);
        stand.start();
        stand.handIn("k1", "order", 1, 18000);
        until("the attempt is refused", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(100);
        stand.kill();
        endpoint.answer = request -> SILENCE;
        stand.start();
        until("the message is sent again", 4000, () -> endpoint.got.size() == 2);
        for (int i = 0; i < 6; i++) {
            stand.handIn("a" + i, "order", 1, 18000);
            stand.handIn("b" + i, "order", 2, 18000);
        }
        until("all call slots are in use", 6000, () -> endpoint.got.size() + other.got.size() >= 9);
        stand.handIn("c", "status", 3, 7900);
        until("the oldest call is cancelled", 8000,
            () -> stand.ended("k1", "given_up") && healthy.got.size() == 1);
        until("its connection is closed", 1000, () -> !endpoint.got.get(1).open);
    }

    /**
     * Guards against messages of one key that are reordered by a restart. After an attempt with unknown
     * outcome, the key also has to pause before its next message is sent.
     */
    @Test
    public void orderOfAKeySurvivesARestart() throws Exception {
        stand.operator = "[log]\nlevel = \"debug\"\n";
        Stand.Server endpoint = stand.endpoint(1, request -> SILENCE);
        stand.start();
        for (int i = 1; i <= 3; i++) {
            assertEquals(stand.ask(Stand.envelope("s" + i, "serial", 1, 15000, "x").replace("Tenant:",
                "Affinity-Key: 5c0f6e1a00000001\r\nTenant:")).status(), 202);
        }
        until("the first message arrives", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(300);
        assertEquals(endpoint.got.size(), 1);
        stand.kill();
        endpoint.answer = request -> OK;
        stand.start();
        until("all messages are delivered", 5000, () -> endpoint.got.size() == 4);
        assertEquals(endpoint.got.stream().map(Stand.Got::id).toList(), List.of("s1", "s1", "s2", "s3"));
        assertEquals(endpoint.got.get(3).headers.get("affinity-key"), "5c0f6e1a00000001");
        // Measured by the relay's log from when it restored the key, however late the first attempt was sent.
        assertTrue(millisOfLogLine("envelope.shot", "s2") - millisOfLogLine("envelope.restored", "s1") >= 300,
            "the key did not pause");
    }

    /** Returns the Unix time in milliseconds of the first log line with this event and message id. */
    private long millisOfLogLine(String event, String id) throws IOException {
        String logLine = stand.log().stream()
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
        Stand.Server endpoint = stand.endpoint("e1", 1, "plain", request -> SILENCE);
        Stand.Server batchEndpoint = stand.endpoint("e2", 2, "bundled", request -> SILENCE);
        stand.start();
        String withIdempotencyKey = "Idempotency-Key: 0268084139284ccf896de4ac5653e423\r\nTenant:";
        assertEquals(
            stand.ask(Stand.envelope("t1", "serial", 1, 15000, "x").replace("Tenant:", withIdempotencyKey))
                .status(),
            202);
        until("the endpoint received the first attempt", 2000, () -> endpoint.got.size() == 1);
        stand.kill();
        endpoint.answer = request -> OK;
        stand.start();
        until("the message is sent again", 5000, () -> endpoint.got.size() == 2);
        assertEquals(
            endpoint.got.stream().map(request -> request.headers.get("idempotency-key")).distinct().toList(),
            List.of("0268084139284ccf896de4ac5653e423"), "the idempotency key was changed");
        assertEquals(stand.handIn("first", "status", 2, 7900), 202);
        until("the endpoint received a call", 2000, () -> batchEndpoint.got.size() == 1);
        assertTrue(batchEndpoint.got.get(0).headers.get("idempotency-key") == null,
            "an idempotency key that no client gave");
    }

    /**
     * Guards against a notice that is lost at a restart before the platform has acknowledged it, or sent
     * again after that.
     */
    @Test
    public void unacknowledgedNoticeIsSentAfterARestart() throws Exception {
        stand.endpoint(1, request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.noticeStatus = 500;
        stand.start();
        stand.handIn("n1", "order", 1, 5000);
        until("a notice is sent", 2000, () -> stand.discovery.posts().size() > 0);
        stand.kill();
        stand.noticeStatus = 204;
        stand.start();
        until("the notice is acknowledged", 2000, () -> stand.ended("n1", "given_up"));
        Thread.sleep(300);
        stand.kill();
        stand.start();
        Thread.sleep(300);
        assertEquals(stand.notices.size(), 1);
    }

    /**
     * Guards against a message that stays open after a restart although its deadline passed while no relay
     * ran.
     */
    @Test
    public void messageThatExpiredMeanwhileHasItsOutcomeAtOnce() throws Exception {
        stand.closed(1);
        stand.start();
        stand.handIn("e1", "status", 1, 900);
        stand.kill();
        Thread.sleep(900);
        stand.start();
        until("the message is rejected", 1000, () -> stand.ended("e1", "handed_back"));
    }

    /**
     * Guards against a shutdown that accepts new messages, exceeds its time limit, loses open messages, or
     * cuts off the call in progress, so that its message is sent again or fails.
     */
    @Test
    public void shutdownCompletesCallsAndKeepsOpenMessages() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, request -> {
            Stand.pause(1000);
            return OK;
        });
        stand.closed(9);
        stand.start();
        try (Socket kept = stand.connect()) {
            assertEquals(Stand.ask(kept, Stand.envelope("s1", "order", 1, 9000, "x")).status(), 202);
            assertEquals(stand.handIn("s2", "status", 9, 7900), 202);
            until("the call is in progress", 2000, () -> endpoint.got.size() == 1);
            long startNanos = System.nanoTime();
            stand.process.destroy();
            Thread.sleep(150);
            assertEquals(stand.ask("GET /health/ready HTTP/1.1\r\n\r\n").status(), 503);
            Stand.Answer refused = Stand.ask(kept, Stand.envelope("s3", "order", 1, 9000, "x"));
            assertEquals(refused.status(), 503);
            assertEquals(refused.headers().get("connection"), "close");
            assertTrue(stand.process.waitFor(3500, TimeUnit.MILLISECONDS));
            assertTrue(System.nanoTime() - startNanos < 3_500_000_000L);
            assertEquals(stand.process.exitValue(), 0);
        }
        Stand.Server other = stand.endpoint(9, request -> OK);
        stand.start();
        until("the remaining message is delivered", 3000, () -> other.got.size() == 1);
        Thread.sleep(200);
        assertEquals(endpoint.got.size(), 1);
        assertTrue(stand.notices.isEmpty(), "" + stand.notices);
    }

    /**
     * Guards against messages that are lost, and at-most-once messages that are sent twice, when the process
     * is killed at any moment, also while it rewrites the ledger.
     */
    @Test
    public void killAtAnyMomentLosesNoMessageAndRepeatsNoAtMostOnceMessage() throws Exception {
        // With a small disk limit the ledger is rewritten often between the kills.
        stand.limits = ",\"disk_mb\":0.12";
        Function<Stand.Got, String> slow = request -> {
            Stand.pause(5 + Math.floorMod(request.id().hashCode(), 60));
            return OK;
        };
        Stand.Server one = stand.endpoint(1, slow);
        Stand.Server two = stand.endpoint(2, slow);
        stand.start();
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        AtomicBoolean running = new AtomicBoolean(true);
        Thread client = new Thread(() -> {
            for (int i = 0; running.get(); i++) {
                String id = "i" + i;
                try {
                    if (stand.ask(Stand.envelope(id, i % 2 == 0 ? "order" : "status", 1 + i / 2 % 2, 7000,
                        "y".repeat(1500))).status() == 202) {
                        accepted.add(id);
                    }
                } catch (IOException down) {
                    continue;
                } finally {
                    Stand.pause(4);
                }
            }
        });
        client.start();
        for (int pause : new int[]{420, 133, 677, 251, 319}) {
            Thread.sleep(pause);
            stand.kill();
            stand.start();
        }
        Thread.sleep(300);
        running.set(false);
        client.join();
        assertTrue(accepted.size() > 50, accepted.size() + " accepted");
        until("each accepted message has its outcome", 9000,
            () -> accepted.stream().allMatch(id -> stand.ended(id, "outcome")
                || one.got.stream().anyMatch(call -> id.equals(call.id()))
                || two.got.stream().anyMatch(call -> id.equals(call.id()))));
        until("no message is open and no notice unacknowledged", 9000,
            () -> stand.figure("open") == 0 && stand.figure("notices_owed") == 0);
        List<Stand.Got> calls = Stream.concat(one.got.stream(), two.got.stream()).toList();
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
        stand.limits = ",\"disk_mb\":0.3";
        stand.closed(1);
        stand.start();
        int accepted = 0;
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            Stand.Answer answer = stand.ask(Stand.envelope("f" + i, "status", 1, 7900, "z".repeat(20_000)));
            accepted += answer.status() == 202 ? 1 : 0;
            refused += answer.status() == 503 && "1.000".equals(answer.headers().get("retry-after")) ? 1 : 0;
            assertTrue(stateFolderBytes() <= 0.3 * (1 << 20), stateFolderBytes() + " bytes on disk");
        }
        assertTrue(accepted >= 4 && refused >= 20, accepted + " accepted, " + refused + " refused");
        Stand.Server healthy = new Stand.Server(request -> OK);
        stand.tell(true, stand.entry("e1", healthy.address(), 1, "plain", "up"));
        int expected = accepted;
        until("the open messages are delivered", 7000, () -> healthy.got.size() == expected);
        assertEquals(stand.handIn("again", "status", 1, 5000), 202);
        healthy.close();
    }

    /**
     * Guards against a disk limit that is checked only once per round of the event loop: the suspended relay
     * finds all messages in one round.
     */
    @Test
    public void manyMessagesInOneRoundStayWithinTheDiskLimit() throws Exception {
        stand.limits = ",\"disk_mb\":0.3";
        stand.closed(1);
        stand.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            // The relay is suspended, so that it finds all of them in one round.
            for (int i = 0; i < 40; i++) {
                sockets.add(stand.connect());
                Stand.ask(sockets.get(i), "GET /health/live HTTP/1.1\r\n\r\n");
            }
            stand.signal("STOP");
            for (int i = 0; i < 40; i++) {
                sockets.get(i).getOutputStream()
                    .write(Stand.envelope("f" + i, "status", 1, 7900, "z".repeat(20_000))
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
            stand.signal("CONT");
            int accepted = 0;
            for (Socket socket : sockets) {
                accepted += Stand.answer(socket).status() == 202 ? 1 : 0;
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
        try (Stream<Path> files = Files.list(stand.folder.resolve("state"))) {
            return files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    /**
     * Guards against a ledger that can't be opened, or replays a partial or corrupt record, after a write
     * was cut short. The file is cut at every length, and then one byte of it is changed.
     */
    @Test
    public void ledgerTruncatedAtAnyByteOpens() throws Exception {
        Path folder = stand.folder.resolve("cut");
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
        ledger.recordNoticeOwed(second, true, 1234);
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
        Stand.Server slow = stand.endpoint(1, request -> {
            Stand.pause(700);
            return OK;
        });
        stand.endpoint(2, request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.environment.put("NODE_DISCOVERY", stand.discovery.address());
        stand.noticeStatus = 0;
        stand.closed(9);
        stand.start();
        try (Socket client = stand.connect()) {
            assertEquals(Stand.ask(client, Stand.envelope("m1", "order", 1, 9000, "x")).status(), 202);
            assertEquals(Stand.ask(client, Stand.envelope("m2", "status", 9, 7900, "x")).status(), 202);
            stand.handIn("m3", "order", 2, 9000);
            until("the old address does not respond to a notice", 2000,
                () -> stand.discovery.posts().size() == 1);
            stand.reload("{\"discovery\":");
            until("the relay logs that it refused the invalid file", 2000,
                () -> Files.readString(stand.folder.resolve("log")).contains("relay.reload_refused"));
            assertEquals(stand.watched.size(), 1, "an invalid file took effect");
            Stand.Server oldDiscovery = stand.discovery;
            Stand.Server newDiscovery = stand.moveDiscovery();
            stand.noticeStatus = 204;
            stand.reload(stand.config());
            until("the list is followed at the new address", 1000, () -> stand.watched.size() == 2);
            assertTrue(stand.watched.get(1).contains("since=1"), "" + stand.watched);
            until("notices go to the new address", 1000,
                () -> stand.ended("m3", "given_up") && newDiscovery.posts().size() > 0);
            int oldRequestCount = oldDiscovery.got.size();
            Stand.Server healthy = new Stand.Server(request -> OK);
            stand.tell(false, stand.entry("e9", healthy.address(), 9, "plain", "up"));
            until("the open message is delivered to the endpoint of the new list", 2000,
                () -> healthy.got.size() == 1);
            assertEquals(Stand.ask(client, Stand.envelope("m4", "status", 9, 7900, "x")).status(), 202);
            until("the call in progress is completed", 2000, () -> stand.figure("open") == 0);
            assertEquals(slow.got.size() + " " + slow.connections.get(), "1 1");
            assertEquals(oldDiscovery.got.size(), oldRequestCount, "the old address still receives requests");
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
        stand.operator = "[discovery]\nretry_first = \"30 s\"\nretry_most = \"30 s\"\n";
        stand.endpoint(1, request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.noticeStatus = 500;
        stand.start();
        stand.handIn("n1", "order", 1, 9000);
        until("the retry delay has begun", 2000, () -> stand.hasLogged("notice.unheard"));
        Stand.Server oldDiscovery = stand.discovery;
        stand.moveDiscovery();
        stand.noticeStatus = 204;
        stand.reload(stand.config());
        until("the notice is sent to the new address", 3000, () -> stand.ended("n1", "given_up"));
        assertEquals(oldDiscovery.posts().size(), 1);
        oldDiscovery.close();
    }

    /**
     * Guards against a heap that does not fit the configured memory: the start script must read the
     * configuration that a relay gets.
     */
    @Test
    public void heapFollowsTheConfiguredMemory() throws Exception {
        Path java = Files.writeString(stand.folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        for (int memoryMegabytes : new int[]{192, 96}) {
            Path config = Files.writeString(stand.folder.resolve("c.json"),
                stand.config().replace(":192", ": " + memoryMegabytes));
            ProcessBuilder run = new ProcessBuilder("sh", "../deploy/run.sh");
            run.environment().put("PATH", stand.folder + ":" + System.getenv("PATH"));
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
        String validConfig = stand.config();
        for (String invalidConfig : new String[]{"{", validConfig.replace("8c1f30d27a5be964", "no"),
            validConfig.replace("\"listen\"", "\"l\""),
            validConfig.replace("request_classes", "classes"),
            validConfig.replace("\"disk_mb\":3", "\"disk_mb\":\"much\""),
            validConfig.replace("\"version\":1,", ""),
            validConfig.replace(Stand.RELAY + ":" + stand.port, "nowhere")}) {
            Path file = Files.writeString(stand.folder.resolve("bad.json"), invalidConfig);
            Process process = Stand.yewpath("serve", "--config", file.toString()).start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(process.waitFor() != 0, invalidConfig);
            assertEquals(output.lines().count(), 1, output);
        }
        Process version = Stand.yewpath("version").start();
        assertTrue(new String(version.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .startsWith("yewpath"));
    }
}
