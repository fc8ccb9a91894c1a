package yewpath;

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
 * Plays a mix of faults drawn from a seed while clients submit messages: duplicate responses, failures of
 * the state folder, kills, shutdowns, suspensions and steps of the wall clock. A seed repeats the plan of
 * faults, but not the exact timing, which depends on the scheduler.
 */
public final class FaultSoakTest extends RelayFixture.RelayTest {
    private static final int CLIENT_COUNT = 4;
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final long FAULT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long OUTCOME_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long RESTART_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);
    private static final long HOUR_SECONDS = 3_600;
    private static final Pattern NOTICE = Pattern
        .compile("\"message\":\"([^\"]+)\",\"outcome\":\"([^\"]+)\"");
    private static final String[][] DISK_FAULTS = {{"write=5"}, {"write=28", "partial=1"}, {"open=28"},
        {"write=5", "rename=5"}, {"write=5", "truncate=5", "partial=1"}};

    private final Map<String, Long> deadlineNanosById = new ConcurrentHashMap<>();
    private final Map<String, Long> outcomeNanosById = new ConcurrentHashMap<>();
    private final AtomicInteger messageCount = new AtomicInteger();
    private MessageRules rules;
    private Random random;
    private FaultShim shim;
    private volatile boolean clientsRunning;
    private volatile long readyNanos;

    /** {@code -Dsoak.seeds} seeds from {@code -Dsoak.first} on. */
    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 2))
            .mapToObj(seed -> new Object[]{seed})
            .toArray(Object[][]::new);
    }

    /**
     * Guards against faults that violate a delivery rule only in combination: each accepted message must
     * have one outcome in time, and no at-most-once message may be executed twice.
     */
    @Test(dataProvider = "seeds")
    public void mixedFaultsViolateNoRule(long seed) throws Exception {
        prepare(seed);
        fixture.start();
        readyNanos = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Random choices = new Random(random.nextLong());
            clients.add(new Thread(() -> submitUntilStopped(choices)));
        }
        clients.forEach(Thread::start);
        long endNanos = System.nanoTime() + FAULT_PERIOD_NANOS;
        while (System.nanoTime() < endNanos) {
            RelayFixture.pause(100 + random.nextInt(600));
            playFault();
        }
        clientsRunning = false;
        for (Thread client : clients) {
            client.join();
        }
        shim.clearFaults();
        waitUntil("each accepted message has its outcome", 12_000,
            () -> outcomeNanosById.keySet().containsAll(deadlineNanosById.keySet()));
        deadlineNanosById.forEach(this::checkOutcomeInTime);
        assertTrue(rules.violations.isEmpty(), "seed " + seed + ": " + rules.violations);
        assertTrue(deadlineNanosById.size() > 50,
            "only " + deadlineNanosById.size() + " messages were accepted");
    }

    private void prepare(long seed) throws Exception {
        deadlineNanosById.clear();
        outcomeNanosById.clear();
        messageCount.set(0);
        rules = new MessageRules() {
            @Override
            void messageDelivered(String id) {
                super.messageDelivered(id);
                outcomeNanosById.putIfAbsent(id, System.nanoTime());
            }
        };
        random = new Random(seed);
        shim = new FaultShim(fixture);
        fixture.maxOpenMessages = 400;
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\n";
        fixture.extraLimits = ",\"disk_mb\":0.5";
        CopyingEndpoint.addTo(fixture, "e1", 1, "plain", random.nextLong(), rules);
        CopyingEndpoint.addTo(fixture, "e2", 2, "bundled", random.nextLong(), rules);
        fixture.noticeResponder = this::receiveNotices;
        clientsRunning = true;
    }

    /** Records the outcomes that the platform is notified of, and acknowledges the notices. */
    private String receiveNotices(RelayFixture.ReceivedRequest request) {
        for (Matcher notice = NOTICE.matcher(request.body); notice.find();) {
            if (notice.group(2).equals("handed_back") && !outcomeNanosById.containsKey(notice.group(1))) {
                rules.messageRejected(notice.group(1));
            }
            outcomeNanosById.putIfAbsent(notice.group(1), System.nanoTime());
        }
        return "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n";
    }

    private void submitUntilStopped(Random choices) {
        while (clientsRunning) {
            try (Socket socket = fixture.connect()) {
                while (clientsRunning) {
                    submitOne(socket, choices);
                    RelayFixture.pause(5 + choices.nextInt(40));
                }
            } catch (IOException down) {
                RelayFixture.pause(20);
            }
        }
    }

    private void submitOne(Socket socket, Random choices) throws IOException {
        int number = messageCount.incrementAndGet();
        String id = "m" + number;
        long submittedNanos = System.nanoTime();
        int status = RelayFixture
            .exchange(socket, RelayFixture.messageRequest(id, number % 2 == 0 ? "order" : "status",
                1 + choices.nextInt(2), TIMEOUT_MILLIS, "x".repeat(choices.nextInt(2_000))))
            .status();
        if (status == 202) {
            deadlineNanosById.put(id, submittedNanos + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
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
                assertTrue(fixture.process.isAlive(), "the relay ended when its folder failed");
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
            default -> shim.stepWallClock((random.nextInt(3) - 1) * HOUR_SECONDS);
        }
    }

    /**
     * Starts the relay again, in some cases after a step of the wall clock or with a folder that fails for a
     * while.
     */
    private void restart() throws Exception {
        if (random.nextBoolean()) {
            shim.stepWallClock((random.nextInt(3) - 1) * HOUR_SECONDS);
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
        waitUntil("the relay is ready again", 10_000, () -> fixture.isReady());
        readyNanos = System.nanoTime();
    }

    /**
     * Records a violation if the outcome came later than the tolerance after the deadline, and after the
     * last restart.
     */
    private void checkOutcomeInTime(String id, long deadlineNanos) {
        long lateNanos = outcomeNanosById.get(id)
            - Math.max(deadlineNanos + OUTCOME_TOLERANCE_NANOS, readyNanos + RESTART_TOLERANCE_NANOS);
        if (lateNanos > 0) {
            rules.violations
                .add(id + " had its outcome " + TimeUnit.NANOSECONDS.toMillis(lateNanos) + " ms late");
        }
    }
}
