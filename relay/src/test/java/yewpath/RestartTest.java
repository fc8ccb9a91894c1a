package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
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
import org.testng.annotations.Test;
import yewpath.ledger.LedgerEntry;
import yewpath.ledger.Ledger;
import yewpath.loop.ClockReading;

/** What a relay has taken on outlives its process. */
public final class RestartTest extends RelayFixture.RelayTest {
    private static final ClockReading NOW = new ClockReading("boot", 40, 40);

    @Test
    public void whatWasHeldIsDeliveredByTheNextLife() throws Exception {
        RelayFixture.StubServer gone = new RelayFixture.StubServer(got -> OK);
        gone.close();
        fixture.listEndpoint("e1", "127.0.0.1:" + gone.port(), 1);
        fixture.start();
        assertEquals(fixture.submit("r1", "order", 1, 15000), 202);
        assertEquals(fixture.submit("r2", "status", 1, 7900), 202);
        fixture.kill();
        RelayFixture.StubServer up = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        waitUntil("both delivered", 3000, () -> up.requests.size() == 2);
        Thread.sleep(300);
        assertTrue(up.requests.stream().anyMatch(g -> "r1".equals(g.id()) && g.body.equals("body of r1")));
        fixture.kill();
        fixture.start();
        Thread.sleep(500);
        assertEquals(up.requests.size(), 2, "delivered envelopes are over for good");
        assertTrue(fixture.notices.isEmpty());
    }

    @Test
    public void whatIsRestoredWaitsForTheListOfNow() throws Exception {
        RelayFixture.StubServer drained = fixture.addEndpoint("e1", 1, "plain", got -> NO_RESPONSE);
        RelayFixture.StubServer other = fixture.addEndpoint("e2", 2, "plain", got -> OK);
        fixture.start();
        assertEquals(fixture.submit("r1", "status", 1, 7900), 202);
        waitUntil("it is out", 2000, () -> drained.requests.size() == 1);
        fixture.kill();
        // While no process runs the endpoint drains and another takes its place; discovery is slow to say so.
        fixture.watchDelayMillis = 150;
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e1", drained.address(), 1, "plain", "draining") + ","
            + fixture.listEntry("e3", other.address(), 1, "plain", "up") + "]}";
        fixture.start();
        waitUntil("it is delivered where the list of now says", 3000, () -> other.requests.size() == 1);
        assertEquals(drained.requests.size(), 1, "nothing goes where a drain had begun before the start");
    }

    @Test
    public void whereDiscoveryIsSilentTheOldListHasToDo() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.start();
        assertEquals(fixture.submit("r1", "status", 1, 7900), 202);
        waitUntil("it is out", 2000, () -> endpoint.requests.size() == 1);
        fixture.kill();
        endpoint.responder = got -> OK;
        fixture.watchDelayMillis = -1;
        fixture.start();
        waitUntil("it goes again all the same", 5000, () -> endpoint.requests.size() == 2);
    }

    /** The settings of the next life are another deployment's: no class, tenant, kind or zone has a name of before. */
    @Test
    public void whatWasTakenOnUnderNamesNowUnknownIsStillTriedOnce() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.listDrainingEndpoint(2);
        fixture.start();
        assertEquals(fixture.submit("out", "status", 1, 30_000), 202);
        waitUntil("it is out", 2000, () -> endpoint.requests.size() == 1);
        assertEquals(fixture.submit("untried", "order", 2, 30_000), 202);
        assertEquals(fixture.submit("untold", "status", 2, 30_000), 202);
        fixture.kill();
        for (String name : List.of("status", "order", "serial", "acme", "plain", "bundled", "z")) {
            fixture.renamedConfigNames.put(name, "other-" + name);
        }
        RelayFixture.StubServer there = new RelayFixture.StubServer(
            got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.listEndpoint("e2", there.address(), 2);
        fixture.start();
        waitUntil("each untried one is tried", 3000, () -> there.requests.size() == 2);
        waitUntil("once, for all that is known of it", 2000,
            () -> fixture.hasOutcomeNotice("untried", "given_up")
                && fixture.hasOutcomeNotice("untold", "given_up"));
        waitUntil("what was out may have run", 2000, () -> fixture.hasOutcomeNotice("out", "given_up"));
        assertEquals(endpoint.requests.size() + there.requests.size(), 3);
        assertEquals(fixture.submit("fresh", "other-status", 2, 7900), 202);
        assertEquals(fixture.submit("stale", "status", 2, 7900), 404, "a name of the deployment before");
        there.close();
    }

    /** Nothing goes on a key before the platform has heard that the one ahead of it has ended. */
    @Test
    public void whatFollowsOnAKeyWaitsUntilTheEndAheadOfItIsHeard() throws Exception {
        fixture.deduplicationMillis = 1_000;
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.start();
        assertEquals(fixture.exchange(keyed("first", 30_000)).status(), 202);
        waitUntil("it is out", 2000, () -> endpoint.requests.size() == 1);
        assertEquals(fixture.exchange(keyed("second", 30_000)).status(), 202);
        fixture.kill();
        endpoint.responder = got -> OK;
        fixture.noticeStatus = 0;
        RelayFixture.pause(1_000);
        fixture.start();
        waitUntil("its end was told, and again", 4000, () -> fixture.discovery.postRequests().size() >= 3);
        assertEquals(endpoint.requests.size(), 1, "it went while the first was not over");
        fixture.noticeStatus = 204;
        waitUntil("it goes once that is heard", 4000, () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).id(), "second");
        assertTrue(fixture.hasOutcomeNotice("first", "given_up"));
    }

    private static String keyed(String id, int withinMs) {
        return RelayFixture.messageRequest(id, "serial", 1, withinMs, "x").replaceFirst("\r\n",
            "\r\nAffinity-Key: doc\r\n");
    }

    @Test
    public void aCallThatWasOutMayHaveRun() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.start();
        fixture.submit("k1", "order", 1, 15000);
        fixture.submit("k2", "status", 1, 7900);
        waitUntil("both out", 2000, () -> endpoint.requests.size() == 2);
        fixture.kill();
        endpoint.responder = got -> OK;
        fixture.start();
        waitUntil("a once-only one is given up", 2000, () -> fixture.hasOutcomeNotice("k1", "given_up"));
        waitUntil("a repeatable one goes again", 2000, () -> endpoint.requests.size() == 3);
        Thread.sleep(300);
        assertEquals(endpoint.requests.stream().filter(g -> "k1".equals(g.id())).count(), 1);
        assertEquals(fixture.notices.size(), 1);
    }

    @Test
    public void aCallThatWasTurnedAwayLeavesNoDoubt() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1,
            got -> "HTTP/1.1 429 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        fixture.start();
        fixture.submit("k1", "order", 1, 15000);
        waitUntil("turned away", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        fixture.kill();
        endpoint.responder = got -> OK;
        fixture.start();
        waitUntil("sent again", 4000, () -> endpoint.requests.size() == 2);
        assertTrue(fixture.notices.isEmpty());
    }

    @Test
    public void aShotOfARestoredEnvelopeCanBeCalledOff() throws Exception {
        String full = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n";
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> full);
        RelayFixture.StubServer other = fixture.addEndpoint(2, got -> NO_RESPONSE);
        RelayFixture.StubServer healthy = fixture.addEndpoint(3, got -> OK);
        fixture.start();
        fixture.submit("k1", "order", 1, 18000);
        waitUntil("turned away", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        fixture.kill();
        endpoint.responder = got -> NO_RESPONSE;
        fixture.start();
        waitUntil("sent again", 4000, () -> endpoint.requests.size() == 2);
        for (int i = 0; i < 6; i++) {
            fixture.submit("a" + i, "order", 1, 18000);
            fixture.submit("b" + i, "order", 2, 18000);
        }
        waitUntil("all slots taken", 6000, () -> endpoint.requests.size() + other.requests.size() >= 9);
        fixture.submit("c", "status", 3, 7900);
        waitUntil("the oldest call makes room", 8000,
            () -> fixture.hasOutcomeNotice("k1", "given_up") && healthy.requests.size() == 1);
        waitUntil("its connection is closed", 1000, () -> !endpoint.requests.get(1).open);
    }

    @Test
    public void theOrderOfAKeyOutlivesTheProcess() throws Exception {
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\n";
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.start();
        for (int i = 1; i <= 3; i++) {
            assertEquals(fixture
                .exchange(RelayFixture.messageRequest("s" + i, "serial", 1, 15000, "x").replace("Tenant:",
                    "Affinity-Key: 5c0f6e1a00000001\r\nTenant:"))
                .status(), 202);
        }
        waitUntil("the first is out", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(300);
        assertEquals(endpoint.requests.size(), 1);
        fixture.kill();
        endpoint.responder = got -> OK;
        fixture.start();
        waitUntil("all delivered", 5000, () -> endpoint.requests.size() == 4);
        assertEquals(endpoint.requests.stream().map(RelayFixture.ReceivedRequest::id).toList(),
            List.of("s1", "s1", "s2", "s3"));
        assertEquals(endpoint.requests.get(3).headers.get("affinity-key"), "5c0f6e1a00000001");
        // By the relay's own clock, from when it took the key up again: how soon the first went out doesn't matter.
        assertTrue(millisOf("envelope.shot", "s2") - millisOf("envelope.restored", "s1") >= 300,
            "the key did not rest");
    }

    private long millisOf(String event, String id) throws IOException {
        String line = fixture.logLines().stream().filter(l -> l.contains(event) && l.contains('"' + id + '"'))
            .findFirst().orElseThrow();
        return LocalDateTime.parse(line.substring(0, 23).replace(' ', 'T')).toInstant(ZoneOffset.UTC)
            .toEpochMilli();
    }

    @Test
    public void theTagOfAnEnvelopeIsPassedOnInEveryLife() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "plain", got -> NO_RESPONSE);
        RelayFixture.StubServer bundles = fixture.addEndpoint("e2", 2, "bundled", got -> NO_RESPONSE);
        fixture.start();
        String tagged = "Idempotency-Key: 0268084139284ccf896de4ac5653e423\r\nTenant:";
        assertEquals(
            fixture
                .exchange(
                    RelayFixture.messageRequest("t1", "serial", 1, 15000, "x").replace("Tenant:", tagged))
                .status(),
            202);
        waitUntil("it is out", 2000, () -> endpoint.requests.size() == 1);
        fixture.kill();
        endpoint.responder = got -> OK;
        fixture.start();
        waitUntil("it goes again", 5000, () -> endpoint.requests.size() == 2);
        assertEquals(
            endpoint.requests.stream().map(got -> got.headers.get("idempotency-key")).distinct().toList(),
            List.of("0268084139284ccf896de4ac5653e423"), "the endpoint can't know it again");
        assertEquals(fixture.submit("first", "status", 2, 7900), 202);
        waitUntil("a call is out", 2000, () -> bundles.requests.size() == 1);
        assertTrue(bundles.requests.get(0).headers.get("idempotency-key") == null, "a tag nobody gave");
    }

    @Test
    public void aNoticeOwedIsToldByTheNextLife() throws Exception {
        fixture.addEndpoint(1, got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.noticeStatus = 500;
        fixture.start();
        fixture.submit("n1", "order", 1, 5000);
        waitUntil("tried", 2000, () -> fixture.discovery.postRequests().size() > 0);
        fixture.kill();
        fixture.noticeStatus = 204;
        fixture.start();
        waitUntil("told", 2000, () -> fixture.hasOutcomeNotice("n1", "given_up"));
        Thread.sleep(300);
        fixture.kill();
        fixture.start();
        Thread.sleep(300);
        assertEquals(fixture.notices.size(), 1);
    }

    @Test
    public void whatExpiredMeanwhileHasItsEndAtOnce() throws Exception {
        fixture.listDrainingEndpoint(1);
        fixture.start();
        fixture.submit("e1", "status", 1, 900);
        fixture.kill();
        Thread.sleep(900);
        fixture.start();
        waitUntil("ended", 1000, () -> fixture.hasOutcomeNotice("e1", "handed_back"));
    }

    @Test
    public void endsInOrderWhenAsked() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> {
            RelayFixture.pause(1000);
            return OK;
        });
        fixture.listDrainingEndpoint(9);
        fixture.start();
        try (Socket kept = fixture.connect()) {
            assertEquals(RelayFixture.exchange(kept, RelayFixture.messageRequest("s1", "order", 1, 9000, "x"))
                .status(), 202);
            assertEquals(fixture.submit("s2", "status", 9, 7900), 202);
            waitUntil("out", 2000, () -> endpoint.requests.size() == 1);
            long start = System.nanoTime();
            fixture.process.destroy();
            Thread.sleep(150);
            assertEquals(fixture.exchange("GET /health/ready HTTP/1.1\r\n\r\n").status(), 503);
            RelayFixture.Response refused = RelayFixture.exchange(kept,
                RelayFixture.messageRequest("s3", "order", 1, 9000, "x"));
            assertEquals(refused.status(), 503);
            assertEquals(refused.headers().get("connection"), "close");
            assertTrue(fixture.process.waitFor(3500, TimeUnit.MILLISECONDS));
            assertTrue(System.nanoTime() - start < 3_500_000_000L);
            assertEquals(fixture.process.exitValue(), 0);
        }
        RelayFixture.StubServer other = fixture.addEndpoint(9, got -> OK);
        fixture.start();
        waitUntil("what was left is delivered", 3000, () -> other.requests.size() == 1);
        Thread.sleep(200);
        assertEquals(endpoint.requests.size(), 1);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
    }

    @Test
    public void killedAtAnyMomentNothingIsLostAndNothingRunsTwice() throws Exception {
        // A small disk, so that the ledger is written anew again and again between the kills.
        fixture.extraLimits = ",\"disk_mb\":0.12";
        Function<RelayFixture.ReceivedRequest, String> slow = got -> {
            RelayFixture.pause(5 + Math.floorMod(got.id().hashCode(), 60));
            return OK;
        };
        RelayFixture.StubServer one = fixture.addEndpoint(1, slow);
        RelayFixture.StubServer two = fixture.addEndpoint(2, slow);
        fixture.start();
        Set<String> taken = ConcurrentHashMap.newKeySet();
        AtomicBoolean on = new AtomicBoolean(true);
        Thread client = new Thread(() -> {
            for (int i = 0; on.get(); i++) {
                String id = "i" + i;
                try {
                    if (fixture.exchange(
                        RelayFixture.messageRequest(id, i % 2 == 0 ? "order" : "status", 1 + i / 2 % 2, 7000,
                            "y".repeat(1500)))
                        .status() == 202) {
                        taken.add(id);
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
        on.set(false);
        client.join();
        assertTrue(taken.size() > 50, taken.size() + " taken");
        waitUntil("each has its end", 9000,
            () -> taken.stream().allMatch(id -> fixture.hasOutcomeNotice(id, "outcome")
                || one.requests.stream().anyMatch(g -> id.equals(g.id()))
                || two.requests.stream().anyMatch(g -> id.equals(g.id()))));
        waitUntil("nothing is owed any more", 9000,
            () -> fixture.statistic("open") == 0 && fixture.statistic("notices_owed") == 0);
        List<RelayFixture.ReceivedRequest> calls = Stream.concat(one.requests.stream(), two.requests.stream())
            .toList();
        for (String id : taken) {
            long sent = calls.stream().filter(g -> id.equals(g.id())).count();
            boolean onceOnly = Integer.parseInt(id.substring(1)) % 2 == 0;
            assertTrue(!onceOnly || sent <= 1, id + " was sent " + sent + " times");
        }
    }

    @Test
    public void aFullLedgerRefusesNewOnesAndKeepsTheOld() throws Exception {
        fixture.extraLimits = ",\"disk_mb\":0.3";
        fixture.listDrainingEndpoint(1);
        fixture.start();
        int taken = 0;
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            RelayFixture.Response answer = fixture
                .exchange(RelayFixture.messageRequest("f" + i, "status", 1, 7900, "z".repeat(20_000)));
            taken += answer.status() == 202 ? 1 : 0;
            refused += answer.status() == 503 && "1.000".equals(answer.headers().get("retry-after")) ? 1 : 0;
            assertTrue(folderBytes() <= 0.3 * (1 << 20), folderBytes() + " bytes on disk");
        }
        assertTrue(taken >= 4 && refused >= 20, taken + " taken, " + refused + " refused");
        RelayFixture.StubServer up = new RelayFixture.StubServer(got -> OK);
        fixture.publish(true, fixture.listEntry("e1", up.address(), 1, "plain", "up"));
        int all = taken;
        waitUntil("the old ones are delivered", 7000, () -> up.requests.size() == all);
        assertEquals(fixture.submit("again", "status", 1, 5000), 202);
        up.close();
    }

    @Test
    public void aRushAtOneMomentKeepsWithinTheDisk() throws Exception {
        fixture.extraLimits = ",\"disk_mb\":0.3";
        fixture.listDrainingEndpoint(1);
        fixture.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            // Stopped meanwhile, the relay finds all of them in one round.
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
            int taken = 0;
            for (Socket socket : sockets) {
                taken += RelayFixture.readResponse(socket).status() == 202 ? 1 : 0;
            }
            assertTrue(taken >= 4 && folderBytes() <= 0.3 * (1 << 20),
                taken + " taken, " + folderBytes() + " bytes");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private long folderBytes() throws Exception {
        try (Stream<Path> files = Files.list(fixture.directory.resolve("state"))) {
            return files.mapToLong(f -> (f.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    @Test
    public void aLedgerCutAtAnyByteOpens() throws Exception {
        Path folder = fixture.directory.resolve("cut");
        Ledger ledger = new Ledger(folder, 400_000, 600_000, 512, NOW);
        int clockLength = (int) Files.size(folder.resolve("ledger"));
        LedgerEntry first = ledger.createEntry("i1", "order", null, "k", "t-1", "7", 99,
            "abc".getBytes(StandardCharsets.UTF_8));
        LedgerEntry second = ledger.createEntry("i2", "order", "t", null, null, "8", 99, new byte[0]);
        ledger.recordAccepted(first);
        ledger.flush();
        long one = Files.size(folder.resolve("ledger"));
        ledger.recordAccepted(second);
        ledger.recordAttempt(first, 50, "z");
        ledger.recordNoticeOwed(second, true, 1234);
        ledger.flush();
        byte[] whole = Files.readAllBytes(folder.resolve("ledger"));
        for (int length = 0; length <= whole.length; length++) {
            Files.write(folder.resolve("ledger"), Arrays.copyOf(whole, length));
            Ledger cut = new Ledger(folder, 400_000, 600_000, 512, NOW);
            assertEquals(cut.size() >= 1, length >= one, "cut at " + length);
            if (length == whole.length) {
                LedgerEntry back = cut.entries().iterator().next();
                assertEquals(
                    back.attempts + " " + back.uncertainSinceMicros + back.uncertainZone + " "
                        + new String(back.body)
                        + back.idempotencyKey,
                    "1 50z abct-1");
                assertTrue(
                    cut.entries().stream().anyMatch(e -> e.id.equals("i2") && e.idempotencyKey == null),
                    "a tag nobody gave");
                assertTrue(
                    cut.entries().stream()
                        .anyMatch(e -> e.noticeOwed && e.rejected && e.retryAfterMicros == 1234));
            }
        }
        whole[clockLength + 20] ^= 1;
        Files.write(folder.resolve("ledger"), whole);
        assertEquals(new Ledger(folder, 400_000, 600_000, 512, NOW).size(), 0,
            "a record with a wrong sum was read");
    }

    @Test
    public void aNewConfigurationMovesDiscoveryAndNothingElse() throws Exception {
        RelayFixture.StubServer slow = fixture.addEndpoint(1, got -> {
            RelayFixture.pause(700);
            return OK;
        });
        fixture.addEndpoint(2, got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
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
            waitUntil("the old address leaves a notice without answer", 2000,
                () -> fixture.discovery.postRequests().size() == 1);
            fixture.reload("{\"discovery\":");
            waitUntil("a bad file is told", 2000,
                () -> Files.readString(fixture.directory.resolve("log")).contains("relay.reload_refused"));
            assertEquals(fixture.watchRequests.size(), 1, "a bad file had effect");
            RelayFixture.StubServer old = fixture.discovery;
            RelayFixture.StubServer moved = fixture.replaceDiscovery();
            fixture.noticeStatus = 204;
            fixture.reload(fixture.config());
            waitUntil("the list is followed there", 1000, () -> fixture.watchRequests.size() == 2);
            assertTrue(fixture.watchRequests.get(1).contains("since=1"), "" + fixture.watchRequests);
            waitUntil("notices go there", 1000,
                () -> fixture.hasOutcomeNotice("m3", "given_up") && moved.postRequests().size() > 0);
            int before = old.requests.size();
            RelayFixture.StubServer up = new RelayFixture.StubServer(got -> OK);
            fixture.publish(false, fixture.listEntry("e9", up.address(), 9, "plain", "up"));
            waitUntil("what was held is delivered where the new one says", 2000,
                () -> up.requests.size() == 1);
            assertEquals(RelayFixture
                .exchange(client, RelayFixture.messageRequest("m4", "status", 9, 7900, "x")).status(), 202);
            waitUntil("the call that was out came to its end", 2000, () -> fixture.statistic("open") == 0);
            assertEquals(slow.requests.size() + " " + slow.connections.get(), "1 1");
            assertEquals(old.requests.size(), before, "the old address is still asked");
            up.close();
            old.close();
        }
    }

    @Test
    public void aNoticeInAPauseGoesAtOnceWhereDiscoveryMoves() throws Exception {
        fixture.operatorConfig = "[discovery]\nretry_first = \"30 s\"\nretry_most = \"30 s\"\n";
        fixture.addEndpoint(1, got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.noticeStatus = 500;
        fixture.start();
        fixture.submit("n1", "order", 1, 9000);
        waitUntil("its pause has begun", 2000, () -> fixture.hasLogged("notice.unheard"));
        RelayFixture.StubServer old = fixture.discovery;
        fixture.replaceDiscovery();
        fixture.noticeStatus = 204;
        fixture.reload(fixture.config());
        waitUntil("it goes to the new address", 3000, () -> fixture.hasOutcomeNotice("n1", "given_up"));
        assertEquals(old.postRequests().size(), 1);
        old.close();
    }

    @Test
    public void theHeapFollowsTheMemoryThatIsConfigured() throws Exception {
        Path java = Files.writeString(fixture.directory.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        for (int told : new int[]{192, 96}) {
            Path config = Files.writeString(fixture.directory.resolve("c.json"),
                fixture.config().replace(":192", ": " + told));
            ProcessBuilder run = new ProcessBuilder("sh", "../deploy/run.sh");
            run.environment().put("PATH", fixture.directory + ":" + System.getenv("PATH"));
            run.environment().put("NODE_CONFIG", config.toString());
            String flags = new String(run.start().getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(flags.contains("-Xmx" + told * 2 / 5 + "m ") && flags.contains("serve"), flags);
        }
    }

    @Test
    public void badConfigurationEndsWithOneLine() throws Exception {
        String good = fixture.config();
        for (String bad : new String[]{"{", good.replace("8c1f30d27a5be964", "no"),
            good.replace("\"listen\"", "\"l\""),
            good.replace("request_classes", "classes"), good.replace("\"disk_mb\":3", "\"disk_mb\":\"much\""),
            good.replace("\"version\":1,", ""),
            good.replace(RelayFixture.RELAY_ADDRESS + ":" + fixture.port, "nowhere")}) {
            Path file = Files.writeString(fixture.directory.resolve("bad.json"), bad);
            Process process = RelayFixture.yewpathCommand("serve", "--config", file.toString()).start();
            String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(process.waitFor() != 0, bad);
            assertEquals(said.lines().count(), 1, said);
        }
        Process version = RelayFixture.yewpathCommand("version").start();
        assertTrue(new String(version.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .startsWith("yewpath"));
    }
}
