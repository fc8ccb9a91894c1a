package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.until;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Copies of answers, a folder that fails, kills, shutdowns, stops and steps of the wall clock, all drawn from a seed while
 * clients hand in messages. The scheduler adds to it: a seed plays the same plan, not the same interleaving.
 */
public final class FaultSoakTest extends Stand.Tests {
    private static final int CLIENTS = 4;
    private static final int WITHIN_MS = 3_000;
    private static final long PLAY_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long END_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long RESTART_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);
    private static final long HOUR = 3_600;
    private static final Pattern NOTICE = Pattern
        .compile("\"message\":\"([^\"]+)\",\"outcome\":\"([^\"]+)\"");
    private static final String[][] DISK_FAULTS = {{"write=5"}, {"write=28", "partial=1"}, {"open=28"},
        {"write=5", "rename=5"}, {"write=5", "truncate=5", "partial=1"}};

    private final Map<String, Long> deadlines = new ConcurrentHashMap<>();
    private final Map<String, Long> ends = new ConcurrentHashMap<>();
    private final AtomicInteger messages = new AtomicInteger();
    private MessageRules rules;
    private Random random;
    private FaultShim shim;
    private volatile boolean playing;
    private volatile long readyAt;

    /** As many as {@code -Dsoak.seeds} asks for, from {@code -Dsoak.first} on. */
    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 2))
            .mapToObj(seed -> new Object[]{seed})
            .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void mixedFaultsBreakNoRule(long seed) throws Exception {
        prepare(seed);
        stand.start();
        readyAt = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Random choices = new Random(random.nextLong());
            clients.add(new Thread(() -> handIn(choices)));
        }
        clients.forEach(Thread::start);
        long until = System.nanoTime() + PLAY_NANOS;
        while (System.nanoTime() < until) {
            Stand.pause(100 + random.nextInt(600));
            playFault();
        }
        playing = false;
        for (Thread client : clients) {
            client.join();
        }
        shim.heal();
        until("each message has its end", 12_000, () -> ends.keySet().containsAll(deadlines.keySet()));
        deadlines.forEach(this::checkEnd);
        assertEquals(rules.broken, List.of(), "seed " + seed);
        assertTrue(deadlines.size() > 50, "only " + deadlines.size() + " taken on");
    }

    private void prepare(long seed) throws Exception {
        deadlines.clear();
        ends.clear();
        messages.set(0);
        rules = new MessageRules() {
            @Override
            void delivers(String id) {
                super.delivers(id);
                ends.putIfAbsent(id, System.nanoTime());
            }
        };
        random = new Random(seed);
        shim = new FaultShim(stand);
        stand.holdMost = 400;
        stand.operator = "[log]\nlevel = \"debug\"\n";
        stand.limits = ",\"disk_mb\":0.5";
        CopyingEndpoint.listed(stand, "e1", 1, "plain", random.nextLong(), rules);
        CopyingEndpoint.listed(stand, "e2", 2, "bundled", random.nextLong(), rules);
        stand.onNotice = this::hearNotices;
        playing = true;
    }

    private String hearNotices(Stand.Got got) {
        for (Matcher notice = NOTICE.matcher(got.body); notice.find();) {
            if (notice.group(2).equals("handed_back") && !ends.containsKey(notice.group(1))) {
                rules.handedBack(notice.group(1));
            }
            ends.putIfAbsent(notice.group(1), System.nanoTime());
        }
        return "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n";
    }

    private void handIn(Random choices) {
        while (playing) {
            try (Socket socket = stand.connect()) {
                while (playing) {
                    handInOne(socket, choices);
                    Stand.pause(5 + choices.nextInt(40));
                }
            } catch (IOException down) {
                Stand.pause(20);
            }
        }
    }

    private void handInOne(Socket socket, Random choices) throws IOException {
        int number = messages.incrementAndGet();
        String id = "m" + number;
        long at = System.nanoTime();
        int status = Stand.ask(socket, Stand.envelope(id, number % 2 == 0 ? "order" : "status",
            1 + choices.nextInt(2), WITHIN_MS, "x".repeat(choices.nextInt(2_000)))).status();
        if (status == 202) {
            deadlines.put(id, at + TimeUnit.MILLISECONDS.toNanos(WITHIN_MS));
        } else {
            rules.refusedToClients.add(id);
        }
    }

    private void playFault() throws Exception {
        assertTrue(stand.process.isAlive(), "the relay ended by itself");
        switch (random.nextInt(6)) {
            case 0, 1 -> {
                shim.fail(DISK_FAULTS[random.nextInt(DISK_FAULTS.length)]);
                Stand.pause(50 + random.nextInt(600));
                assertTrue(stand.process.isAlive(), "the relay ended as its folder failed");
                shim.heal();
            }
            case 2 -> {
                stand.kill();
                restart();
            }
            case 3 -> {
                stand.signal("TERM");
                stand.process.waitFor(3_700, TimeUnit.MILLISECONDS);
                stand.kill();
                restart();
            }
            case 4 -> {
                stand.signal("STOP");
                Stand.pause(150);
                stand.signal("CONT");
            }
            default -> shim.stepWallClock((random.nextInt(3) - 1) * HOUR);
        }
    }

    private void restart() throws Exception {
        if (random.nextBoolean()) {
            shim.stepWallClock((random.nextInt(3) - 1) * HOUR);
        }
        boolean folderFails = random.nextInt(3) == 0;
        if (folderFails) {
            shim.fail(DISK_FAULTS[random.nextInt(DISK_FAULTS.length)]);
        }
        Stand.pause(random.nextInt(600));
        stand.launch();
        if (folderFails) {
            Stand.pause(300 + random.nextInt(1_500));
            shim.heal();
        }
        until("it is ready again", 10_000, () -> stand.isReady());
        readyAt = System.nanoTime();
    }

    private void checkEnd(String id, long deadline) {
        long late = ends.get(id) - Math.max(deadline + END_SLACK_NANOS, readyAt + RESTART_SLACK_NANOS);
        if (late > 0) {
            rules.broken.add(id + " had its end " + TimeUnit.NANOSECONDS.toMillis(late) + " ms late");
        }
    }
}
