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
import yewpath.ledger.LedgerEntry;
import yewpath.ledger.Ledger;
import yewpath.loop.ClockReading;

/** What a relay has taken on outlives its process. */
public final class RestartTest extends Stand.Tests {
    private static final ClockReading NOW = new ClockReading("boot", 40, 40);

    @Test
    public void whatWasHeldIsDeliveredByTheNextLife() throws Exception {
        Stand.Server gone = new Stand.Server(got -> OK);
        gone.close();
        stand.listed("e1", "127.0.0.1:" + gone.port(), 1);
        stand.start();
        assertEquals(stand.handIn("r1", "order", 1, 15000), 202);
        assertEquals(stand.handIn("r2", "status", 1, 7900), 202);
        stand.kill();
        Stand.Server up = stand.endpoint(1, got -> OK);
        stand.start();
        until("both delivered", 3000, () -> up.got.size() == 2);
        Thread.sleep(300);
        assertTrue(up.got.stream().anyMatch(g -> "r1".equals(g.id()) && g.body.equals("body of r1")));
        stand.kill();
        stand.start();
        Thread.sleep(500);
        assertEquals(up.got.size(), 2, "delivered envelopes are over for good");
        assertTrue(stand.notices.isEmpty());
    }

    @Test
    public void whatIsRestoredWaitsForTheListOfNow() throws Exception {
        Stand.Server drained = stand.endpoint("e1", 1, "plain", got -> SILENCE);
        Stand.Server other = stand.endpoint("e2", 2, "plain", got -> OK);
        stand.start();
        assertEquals(stand.handIn("r1", "status", 1, 7900), 202);
        until("it is out", 2000, () -> drained.got.size() == 1);
        stand.kill();
        // While no process runs the endpoint drains and another takes its place; discovery is slow to say so.
        stand.newsAfter = 150;
        stand.news = "{\"version\":2,\"full\":false,\"servers\":["
            + stand.entry("e1", drained.address(), 1, "plain", "draining") + ","
            + stand.entry("e3", other.address(), 1, "plain", "up") + "]}";
        stand.start();
        until("it is delivered where the list of now says", 3000, () -> other.got.size() == 1);
        assertEquals(drained.got.size(), 1, "nothing goes where a drain had begun before the start");
    }

    @Test
    public void whereDiscoveryIsSilentTheOldListHasToDo() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> SILENCE);
        stand.start();
        assertEquals(stand.handIn("r1", "status", 1, 7900), 202);
        until("it is out", 2000, () -> endpoint.got.size() == 1);
        stand.kill();
        endpoint.answer = got -> OK;
        stand.newsAfter = -1;
        stand.start();
        until("it goes again all the same", 5000, () -> endpoint.got.size() == 2);
    }

    /** The settings of the next life are another deployment's: no class, tenant, kind or zone has a name of before. */
    @Test
    public void whatWasTakenOnUnderNamesNowUnknownIsStillTriedOnce() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> SILENCE);
        stand.closed(2);
        stand.start();
        assertEquals(stand.handIn("out", "status", 1, 30_000), 202);
        until("it is out", 2000, () -> endpoint.got.size() == 1);
        assertEquals(stand.handIn("untried", "order", 2, 30_000), 202);
        assertEquals(stand.handIn("untold", "status", 2, 30_000), 202);
        stand.kill();
        for (String name : List.of("status", "order", "serial", "acme", "plain", "bundled", "z")) {
            stand.renamed.put(name, "other-" + name);
        }
        Stand.Server there = new Stand.Server(got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.listed("e2", there.address(), 2);
        stand.start();
        until("each untried one is tried", 3000, () -> there.got.size() == 2);
        until("once, for all that is known of it", 2000,
            () -> stand.ended("untried", "given_up") && stand.ended("untold", "given_up"));
        until("what was out may have run", 2000, () -> stand.ended("out", "given_up"));
        assertEquals(endpoint.got.size() + there.got.size(), 3);
        assertEquals(stand.handIn("fresh", "other-status", 2, 7900), 202);
        assertEquals(stand.handIn("stale", "status", 2, 7900), 404, "a name of the deployment before");
        there.close();
    }

    /** Nothing goes on a key before the platform has heard that the one ahead of it has ended. */
    @Test
    public void whatFollowsOnAKeyWaitsUntilTheEndAheadOfItIsHeard() throws Exception {
        stand.memoryMs = 1_000;
        Stand.Server endpoint = stand.endpoint(1, got -> SILENCE);
        stand.start();
        assertEquals(stand.ask(keyed("first", 30_000)).status(), 202);
        until("it is out", 2000, () -> endpoint.got.size() == 1);
        assertEquals(stand.ask(keyed("second", 30_000)).status(), 202);
        stand.kill();
        endpoint.answer = got -> OK;
        stand.noticeStatus = 0;
        Stand.pause(1_000);
        stand.start();
        until("its end was told, and again", 4000, () -> stand.discovery.posts().size() >= 3);
        assertEquals(endpoint.got.size(), 1, "it went while the first was not over");
        stand.noticeStatus = 204;
        until("it goes once that is heard", 4000, () -> endpoint.got.size() == 2);
        assertEquals(endpoint.got.get(1).id(), "second");
        assertTrue(stand.ended("first", "given_up"));
    }

    private static String keyed(String id, int withinMs) {
        return Stand.envelope(id, "serial", 1, withinMs, "x").replaceFirst("\r\n",
            "\r\nAffinity-Key: doc\r\n");
    }

    @Test
    public void aCallThatWasOutMayHaveRun() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> SILENCE);
        stand.start();
        stand.handIn("k1", "order", 1, 15000);
        stand.handIn("k2", "status", 1, 7900);
        until("both out", 2000, () -> endpoint.got.size() == 2);
        stand.kill();
        endpoint.answer = got -> OK;
        stand.start();
        until("a once-only one is given up", 2000, () -> stand.ended("k1", "given_up"));
        until("a repeatable one goes again", 2000, () -> endpoint.got.size() == 3);
        Thread.sleep(300);
        assertEquals(endpoint.got.stream().filter(g -> "k1".equals(g.id())).count(), 1);
        assertEquals(stand.notices.size(), 1);
    }

    @Test
    public void aCallThatWasTurnedAwayLeavesNoDoubt() throws Exception {
        Stand.Server endpoint = stand.endpoint(1,
            got -> "HTTP/1.1 429 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        stand.start();
        stand.handIn("k1", "order", 1, 15000);
        until("turned away", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(100);
        stand.kill();
        endpoint.answer = got -> OK;
        stand.start();
        until("sent again", 4000, () -> endpoint.got.size() == 2);
        assertTrue(stand.notices.isEmpty());
    }

    @Test
    public void aShotOfARestoredEnvelopeCanBeCalledOff() throws Exception {
        String full = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n";
        Stand.Server endpoint = stand.endpoint(1, got -> full);
        Stand.Server other = stand.endpoint(2, got -> SILENCE);
        Stand.Server healthy = stand.endpoint(3, got -> OK);
        stand.start();
        stand.handIn("k1", "order", 1, 18000);
        until("turned away", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(100);
        stand.kill();
        endpoint.answer = got -> SILENCE;
        stand.start();
        until("sent again", 4000, () -> endpoint.got.size() == 2);
        for (int i = 0; i < 6; i++) {
            stand.handIn("a" + i, "order", 1, 18000);
            stand.handIn("b" + i, "order", 2, 18000);
        }
        until("all slots taken", 6000, () -> endpoint.got.size() + other.got.size() >= 9);
        stand.handIn("c", "status", 3, 7900);
        until("the oldest call makes room", 8000,
            () -> stand.ended("k1", "given_up") && healthy.got.size() == 1);
        until("its connection is closed", 1000, () -> !endpoint.got.get(1).open);
    }

    @Test
    public void theOrderOfAKeyOutlivesTheProcess() throws Exception {
        stand.operator = "[log]\nlevel = \"debug\"\n";
        Stand.Server endpoint = stand.endpoint(1, got -> SILENCE);
        stand.start();
        for (int i = 1; i <= 3; i++) {
            assertEquals(stand.ask(Stand.envelope("s" + i, "serial", 1, 15000, "x").replace("Tenant:",
                "Affinity-Key: 5c0f6e1a00000001\r\nTenant:")).status(), 202);
        }
        until("the first is out", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(300);
        assertEquals(endpoint.got.size(), 1);
        stand.kill();
        endpoint.answer = got -> OK;
        stand.start();
        until("all delivered", 5000, () -> endpoint.got.size() == 4);
        assertEquals(endpoint.got.stream().map(Stand.Got::id).toList(), List.of("s1", "s1", "s2", "s3"));
        assertEquals(endpoint.got.get(3).headers.get("affinity-key"), "5c0f6e1a00000001");
        // By the relay's own clock, from when it took the key up again: how soon the first went out doesn't matter.
        assertTrue(millisOf("envelope.shot", "s2") - millisOf("envelope.restored", "s1") >= 300,
            "the key did not rest");
    }

    private long millisOf(String event, String id) throws IOException {
        String line = stand.log().stream().filter(l -> l.contains(event) && l.contains('"' + id + '"'))
            .findFirst().orElseThrow();
        return LocalDateTime.parse(line.substring(0, 23).replace(' ', 'T')).toInstant(ZoneOffset.UTC)
            .toEpochMilli();
    }

    @Test
    public void theTagOfAnEnvelopeIsPassedOnInEveryLife() throws Exception {
        Stand.Server endpoint = stand.endpoint("e1", 1, "plain", got -> SILENCE);
        Stand.Server bundles = stand.endpoint("e2", 2, "bundled", got -> SILENCE);
        stand.start();
        String tagged = "Idempotency-Key: 0268084139284ccf896de4ac5653e423\r\nTenant:";
        assertEquals(
            stand.ask(Stand.envelope("t1", "serial", 1, 15000, "x").replace("Tenant:", tagged)).status(),
            202);
        until("it is out", 2000, () -> endpoint.got.size() == 1);
        stand.kill();
        endpoint.answer = got -> OK;
        stand.start();
        until("it goes again", 5000, () -> endpoint.got.size() == 2);
        assertEquals(endpoint.got.stream().map(got -> got.headers.get("idempotency-key")).distinct().toList(),
            List.of("0268084139284ccf896de4ac5653e423"), "the endpoint can't know it again");
        assertEquals(stand.handIn("first", "status", 2, 7900), 202);
        until("a call is out", 2000, () -> bundles.got.size() == 1);
        assertTrue(bundles.got.get(0).headers.get("idempotency-key") == null, "a tag nobody gave");
    }

    @Test
    public void aNoticeOwedIsToldByTheNextLife() throws Exception {
        stand.endpoint(1, got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.noticeStatus = 500;
        stand.start();
        stand.handIn("n1", "order", 1, 5000);
        until("tried", 2000, () -> stand.discovery.posts().size() > 0);
        stand.kill();
        stand.noticeStatus = 204;
        stand.start();
        until("told", 2000, () -> stand.ended("n1", "given_up"));
        Thread.sleep(300);
        stand.kill();
        stand.start();
        Thread.sleep(300);
        assertEquals(stand.notices.size(), 1);
    }

    @Test
    public void whatExpiredMeanwhileHasItsEndAtOnce() throws Exception {
        stand.closed(1);
        stand.start();
        stand.handIn("e1", "status", 1, 900);
        stand.kill();
        Thread.sleep(900);
        stand.start();
        until("ended", 1000, () -> stand.ended("e1", "handed_back"));
    }

    @Test
    public void endsInOrderWhenAsked() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> {
            Stand.pause(1000);
            return OK;
        });
        stand.closed(9);
        stand.start();
        try (Socket kept = stand.connect()) {
            assertEquals(Stand.ask(kept, Stand.envelope("s1", "order", 1, 9000, "x")).status(), 202);
            assertEquals(stand.handIn("s2", "status", 9, 7900), 202);
            until("out", 2000, () -> endpoint.got.size() == 1);
            long start = System.nanoTime();
            stand.process.destroy();
            Thread.sleep(150);
            assertEquals(stand.ask("GET /health/ready HTTP/1.1\r\n\r\n").status(), 503);
            Stand.Answer refused = Stand.ask(kept, Stand.envelope("s3", "order", 1, 9000, "x"));
            assertEquals(refused.status(), 503);
            assertEquals(refused.headers().get("connection"), "close");
            assertTrue(stand.process.waitFor(3500, TimeUnit.MILLISECONDS));
            assertTrue(System.nanoTime() - start < 3_500_000_000L);
            assertEquals(stand.process.exitValue(), 0);
        }
        Stand.Server other = stand.endpoint(9, got -> OK);
        stand.start();
        until("what was left is delivered", 3000, () -> other.got.size() == 1);
        Thread.sleep(200);
        assertEquals(endpoint.got.size(), 1);
        assertTrue(stand.notices.isEmpty(), "" + stand.notices);
    }

    @Test
    public void killedAtAnyMomentNothingIsLostAndNothingRunsTwice() throws Exception {
        // A small disk, so that the ledger is written anew again and again between the kills.
        stand.limits = ",\"disk_mb\":0.12";
        Function<Stand.Got, String> slow = got -> {
            Stand.pause(5 + Math.floorMod(got.id().hashCode(), 60));
            return OK;
        };
        Stand.Server one = stand.endpoint(1, slow);
        Stand.Server two = stand.endpoint(2, slow);
        stand.start();
        Set<String> taken = ConcurrentHashMap.newKeySet();
        AtomicBoolean on = new AtomicBoolean(true);
        Thread client = new Thread(() -> {
            for (int i = 0; on.get(); i++) {
                String id = "i" + i;
                try {
                    if (stand.ask(Stand.envelope(id, i % 2 == 0 ? "order" : "status", 1 + i / 2 % 2, 7000,
                        "y".repeat(1500))).status() == 202) {
                        taken.add(id);
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
        on.set(false);
        client.join();
        assertTrue(taken.size() > 50, taken.size() + " taken");
        until("each has its end", 9000, () -> taken.stream().allMatch(id -> stand.ended(id, "outcome")
            || one.got.stream().anyMatch(g -> id.equals(g.id()))
            || two.got.stream().anyMatch(g -> id.equals(g.id()))));
        until("nothing is owed any more", 9000,
            () -> stand.figure("open") == 0 && stand.figure("notices_owed") == 0);
        List<Stand.Got> calls = Stream.concat(one.got.stream(), two.got.stream()).toList();
        for (String id : taken) {
            long sent = calls.stream().filter(g -> id.equals(g.id())).count();
            boolean onceOnly = Integer.parseInt(id.substring(1)) % 2 == 0;
            assertTrue(!onceOnly || sent <= 1, id + " was sent " + sent + " times");
        }
    }

    @Test
    public void aFullLedgerRefusesNewOnesAndKeepsTheOld() throws Exception {
        stand.limits = ",\"disk_mb\":0.3";
        stand.closed(1);
        stand.start();
        int taken = 0;
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            Stand.Answer answer = stand.ask(Stand.envelope("f" + i, "status", 1, 7900, "z".repeat(20_000)));
            taken += answer.status() == 202 ? 1 : 0;
            refused += answer.status() == 503 && "1.000".equals(answer.headers().get("retry-after")) ? 1 : 0;
            assertTrue(folderBytes() <= 0.3 * (1 << 20), folderBytes() + " bytes on disk");
        }
        assertTrue(taken >= 4 && refused >= 20, taken + " taken, " + refused + " refused");
        Stand.Server up = new Stand.Server(got -> OK);
        stand.tell(true, stand.entry("e1", up.address(), 1, "plain", "up"));
        int all = taken;
        until("the old ones are delivered", 7000, () -> up.got.size() == all);
        assertEquals(stand.handIn("again", "status", 1, 5000), 202);
        up.close();
    }

    @Test
    public void aRushAtOneMomentKeepsWithinTheDisk() throws Exception {
        stand.limits = ",\"disk_mb\":0.3";
        stand.closed(1);
        stand.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            // Stopped meanwhile, the relay finds all of them in one round.
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
            int taken = 0;
            for (Socket socket : sockets) {
                taken += Stand.answer(socket).status() == 202 ? 1 : 0;
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
        try (Stream<Path> files = Files.list(stand.folder.resolve("state"))) {
            return files.mapToLong(f -> (f.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    @Test
    public void aLedgerCutAtAnyByteOpens() throws Exception {
        Path folder = stand.folder.resolve("cut");
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
        Stand.Server slow = stand.endpoint(1, got -> {
            Stand.pause(700);
            return OK;
        });
        stand.endpoint(2, got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.environment.put("NODE_DISCOVERY", stand.discovery.address());
        stand.noticeStatus = 0;
        stand.closed(9);
        stand.start();
        try (Socket client = stand.connect()) {
            assertEquals(Stand.ask(client, Stand.envelope("m1", "order", 1, 9000, "x")).status(), 202);
            assertEquals(Stand.ask(client, Stand.envelope("m2", "status", 9, 7900, "x")).status(), 202);
            stand.handIn("m3", "order", 2, 9000);
            until("the old address leaves a notice without answer", 2000,
                () -> stand.discovery.posts().size() == 1);
            stand.reload("{\"discovery\":");
            until("a bad file is told", 2000,
                () -> Files.readString(stand.folder.resolve("log")).contains("relay.reload_refused"));
            assertEquals(stand.watched.size(), 1, "a bad file had effect");
            Stand.Server old = stand.discovery;
            Stand.Server moved = stand.moveDiscovery();
            stand.noticeStatus = 204;
            stand.reload(stand.config());
            until("the list is followed there", 1000, () -> stand.watched.size() == 2);
            assertTrue(stand.watched.get(1).contains("since=1"), "" + stand.watched);
            until("notices go there", 1000, () -> stand.ended("m3", "given_up") && moved.posts().size() > 0);
            int before = old.got.size();
            Stand.Server up = new Stand.Server(got -> OK);
            stand.tell(false, stand.entry("e9", up.address(), 9, "plain", "up"));
            until("what was held is delivered where the new one says", 2000, () -> up.got.size() == 1);
            assertEquals(Stand.ask(client, Stand.envelope("m4", "status", 9, 7900, "x")).status(), 202);
            until("the call that was out came to its end", 2000, () -> stand.figure("open") == 0);
            assertEquals(slow.got.size() + " " + slow.connections.get(), "1 1");
            assertEquals(old.got.size(), before, "the old address is still asked");
            up.close();
            old.close();
        }
    }

    @Test
    public void aNoticeInAPauseGoesAtOnceWhereDiscoveryMoves() throws Exception {
        stand.operator = "[discovery]\nretry_first = \"30 s\"\nretry_most = \"30 s\"\n";
        stand.endpoint(1, got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.noticeStatus = 500;
        stand.start();
        stand.handIn("n1", "order", 1, 9000);
        until("its pause has begun", 2000, () -> stand.hasLogged("notice.unheard"));
        Stand.Server old = stand.discovery;
        stand.moveDiscovery();
        stand.noticeStatus = 204;
        stand.reload(stand.config());
        until("it goes to the new address", 3000, () -> stand.ended("n1", "given_up"));
        assertEquals(old.posts().size(), 1);
        old.close();
    }

    @Test
    public void theHeapFollowsTheMemoryThatIsConfigured() throws Exception {
        Path java = Files.writeString(stand.folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        for (int told : new int[]{192, 96}) {
            Path config = Files.writeString(stand.folder.resolve("c.json"),
                stand.config().replace(":192", ": " + told));
            ProcessBuilder run = new ProcessBuilder("sh", "../deploy/run.sh");
            run.environment().put("PATH", stand.folder + ":" + System.getenv("PATH"));
            run.environment().put("NODE_CONFIG", config.toString());
            String flags = new String(run.start().getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(flags.contains("-Xmx" + told * 2 / 5 + "m ") && flags.contains("serve"), flags);
        }
    }

    @Test
    public void badConfigurationEndsWithOneLine() throws Exception {
        String good = stand.config();
        for (String bad : new String[]{"{", good.replace("8c1f30d27a5be964", "no"),
            good.replace("\"listen\"", "\"l\""),
            good.replace("request_classes", "classes"), good.replace("\"disk_mb\":3", "\"disk_mb\":\"much\""),
            good.replace("\"version\":1,", ""), good.replace(Stand.RELAY + ":" + stand.port, "nowhere")}) {
            Path file = Files.writeString(stand.folder.resolve("bad.json"), bad);
            Process process = Stand.yewpath("serve", "--config", file.toString()).start();
            String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(process.waitFor() != 0, bad);
            assertEquals(said.lines().count(), 1, said);
        }
        Process version = Stand.yewpath("version").start();
        assertTrue(new String(version.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .startsWith("yewpath"));
    }
}
