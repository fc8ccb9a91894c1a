package yewpath;

import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays a mix of faults drawn from a seed while clients submit messages: duplicate responses, failures of
 * the state folder, kills, shutdowns, suspensions and steps of the wall clock. A seed repeats the plan of
 * faults, but not the exact timing, which depends on the scheduler.
 */
public final class FaultSoakTest extends RelayFixture.RelayTest {
    private static final int CLIENT_COUNT = 4;
    private static final long FAULT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(8);
    /** On a busy machine the faults go on until enough messages were accepted under them. */
    private static final long MAX_FAULT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MIN_ACCEPTED = 50;
    private static final long HOUR_SECONDS = 3_600;
    private static final String[][] DISK_FAULTS = {{"write=5"}, {"write=28", "partial=1"}, {"open=28"},
        {"write=5", "rename=5"}, {"write=5", "truncate=5", "partial=1"}};

    private SoakOutcomes outcomes;
    private Random random;
    private FaultShim shim;
    private volatile boolean clientsRunning;

    /** {@code -Dsoak.seeds} seeds from {@code -Dsoak.first} on. */
    @DataProvider
    public Object[][] seeds() {
        return SoakOutcomes.seeds(2);
    }

    /**
     * Guards against faults that violate a delivery rule only in combination: each accepted message must
     * have one outcome in time, and no at-most-once message may be executed twice.
     */
    @Test(dataProvider = "seeds")
    public void mixedFaultsViolateNoRule(long seed) throws Exception {
        prepare(seed);
        fixture.start();
        outcomes.relayReady(0);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Random choices = new Random(random.nextLong());
            clients.add(new Thread(() -> submitUntilStopped(choices)));
        }
        clients.forEach(Thread::start);
        long startNanos = System.nanoTime();
        while (System.nanoTime() < startNanos + FAULT_PERIOD_NANOS
            || System.nanoTime() < startNanos + MAX_FAULT_PERIOD_NANOS
                && outcomes.acceptedCount() <= MIN_ACCEPTED) {
            RelayFixture.pause(100 + random.nextInt(600));
            playFault();
        }
        clientsRunning = false;
        for (Thread client : clients) {
            client.join();
        }
        shim.clearFaults();
        outcomes.check(seed, MIN_ACCEPTED);
    }

    private void prepare(long seed) throws Exception {
        outcomes = new SoakOutcomes(1);
        random = new Random(seed);
        shim = new FaultShim(fixture);
        fixture.maxOpenMessages = 400;
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\n";
        fixture.extraLimits = ",\"disk_mb\":0.5";
        CopyingEndpoint.addTo(fixture, "e1", 1, "plain", random.nextLong(), outcomes.rules);
        CopyingEndpoint.addTo(fixture, "e2", 2, "bundled", random.nextLong(), outcomes.rules);
        fixture.noticeResponder = outcomes::receiveNotices;
        clientsRunning = true;
    }

    private void submitUntilStopped(Random choices) {
        while (clientsRunning) {
            try (Socket socket = fixture.connect()) {
                while (clientsRunning) {
                    outcomes.submit(socket, 0, 1 + choices.nextInt(2), "x".repeat(choices.nextInt(2_000)));
                    RelayFixture.pause(5 + choices.nextInt(40));
                }
            } catch (IOException down) {
                RelayFixture.pause(20);
            }
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
        outcomes.relayReady(0);
    }
}
