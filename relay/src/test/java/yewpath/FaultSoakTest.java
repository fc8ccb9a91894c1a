package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.waitUntil;

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
public final class FaultSoakTest extends RelayFixture.RelayTest {
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
        fixture.start();
        readyAt = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Random choices = new Random(random.nextLong());
            clients.add(new Thread(() -> handIn(choices)));
        }
        clients.forEach(Thread::start);
        long until = System.nanoTime() + PLAY_NANOS;
        while (System.nanoTime() < until) {
            RelayFixture.pause(100 + random.nextInt(600));
            playFault();
        }
        playing = false;
        for (Thread client : clients) {
            client.join();
        }
        shim.clearFaults();
        waitUntil("each message has its end", 12_000, () -> ends.keySet().containsAll(deadlines.keySet()));
        deadlines.forEach(this::checkEnd);
        assertEquals(rules.violations, List.of(), "seed " + seed);
        assertTrue(deadlines.size() > 50, "only " + deadlines.size() + " taken on");
    }

    private void prepare(long seed) throws Exception {
        deadlines.clear();
        ends.clear();
        messages.set(0);
        rules = new MessageRules() {
            @Override
            void messageDelivered(String id) {
                super.messageDelivered(id);
                ends.putIfAbsent(id, System.nanoTime());
            }
        };
        random = new Random(seed);
        shim = new FaultShim(fixture);
        fixture.maxOpenMessages = 400;
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\n";
        fixture.extraLimits = ",\"disk_mb\":0.5";
        CopyingEndpoint.addTo(fixture, "e1", 1, "plain", random.nextLong(), rules);
        CopyingEndpoint.addTo(fixture, "e2", 2, "bundled", random.nextLong(), rules);
        fixture.noticeResponder = this::hearNotices;
        playing = true;
    }

    private String hearNotices(RelayFixture.ReceivedRequest got) {
        for (Matcher notice = NOTICE.matcher(got.body); notice.find();) {
            if (notice.group(2).equals("handed_back") && !ends.containsKey(notice.group(1))) {
                rules.messageRejected(notice.group(1));
            }
            ends.putIfAbsent(notice.group(1), System.nanoTime());
        }
        return "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n";
    }

    private void handIn(Random choices) {
        while (playing) {
            try (Socket socket = fixture.connect()) {
                while (playing) {
                    handInOne(socket, choices);
                    RelayFixture.pause(5 + choices.nextInt(40));
                }
            } catch (IOException down) {
                RelayFixture.pause(20);
            }
        }
    }

    private void handInOne(Socket socket, Random choices) throws IOException {
        int number = messages.incrementAndGet();
        String id = "m" + number;
        long at = System.nanoTime();
        int status = RelayFixture
            .exchange(socket, RelayFixture.messageRequest(id, number % 2 == 0 ? "order" : "status",
                1 + choices.nextInt(2), WITHIN_MS, "x".repeat(choices.nextInt(2_000))))
            .status();
        if (status == 202) {
            deadlines.put(id, at + TimeUnit.MILLISECONDS.toNanos(WITHIN_MS));
        } else {
            rules.refusedToClients.add(id);
        }
    }

    private void playFault() throws Exception {
        assertTrue(fixture.process.isAlive(), "the relay ended by itself");
        switch (random.nextInt(6)) {
            case 0, 1 -> {
                shim.failSystemCalls(DISK_FAULTS[random.nextInt(DISK_FAULTS.length)]);
                RelayFixture.pause(50 + random.nextInt(600));
                assertTrue(fixture.process.isAlive(), "the relay ended as its folder failed");
                shim.clearFaults();
            }
            case 2 -> {
                fixture.kill();
                restart();
            }
            case 3 -> {
                fixture.signal("TERM");
                fixture.process.waitFor(3_700, TimeUnit.MILLISECONDS);
                fixture.kill();
                restart();
            }
            case 4 -> {
                fixture.signal("STOP");
                RelayFixture.pause(150);
                fixture.signal("CONT");
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
            shim.failSystemCalls(DISK_FAULTS[random.nextInt(DISK_FAULTS.length)]);
        }
        RelayFixture.pause(random.nextInt(600));
        fixture.startProcess();
        if (folderFails) {
            RelayFixture.pause(300 + random.nextInt(1_500));
            shim.clearFaults();
        }
        waitUntil("it is ready again", 10_000, () -> fixture.isReady());
        readyAt = System.nanoTime();
    }

    private void checkEnd(String id, long deadline) {
        long late = ends.get(id) - Math.max(deadline + END_SLACK_NANOS, readyAt + RESTART_SLACK_NANOS);
        if (late > 0) {
            rules.violations.add(id + " had its end " + TimeUnit.NANOSECONDS.toMillis(late) + " ms late");
        }
    }
}
