package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.OK;
import static yewpath.Stand.SILENCE;
import static yewpath.Stand.until;

import org.testng.annotations.Test;

/** The wall clock is stepped by an hour: what was promised is measured in real time all the same. */
public final class WallClockTest extends Stand.Tests {
    private static final long HOUR = 3_600;

    @Test
    public void anHourForwardAcrossARestartGivesNothingUp() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        for (int i = 0; i < 5; i++) {
            assertEquals(stand.handIn("m" + i, "order", 1, 15_000), 202);
        }
        stand.kill();
        shim.stepWallClock(HOUR);
        Stand.Server endpoint = stand.endpoint(1, got -> OK);
        stand.start();
        until("all delivered", 4_000, () -> endpoint.got.size() == 5);
        assertTrue(stand.notices.isEmpty(), "" + stand.notices);
    }

    @Test
    public void anHourBackAcrossARestartKeepsDeadlines() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 3_000), 202);
        stand.kill();
        shim.stepWallClock(-HOUR);
        stand.start();
        until("it has its end in time", 3_300, () -> stand.ended("m1", "outcome"));
    }

    /** A repeat that comes when its first attempt is forgotten has its effect twice. */
    @Test
    public void anHourBackAcrossARestartKeepsTheWindowForRepeats() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.memoryMs = 1_500;
        Stand.Server endpoint = stand.endpoint(1, got -> SILENCE);
        stand.start();
        assertEquals(stand.handIn("t1", "serial", 1, 15_000), 202);
        until("it is out", 2_000, () -> endpoint.got.size() == 1);
        stand.kill();
        shim.stepWallClock(-HOUR);
        Stand.pause(1_500);
        stand.start();
        until("it has its end", 3_000, () -> stand.ended("t1", "outcome"));
        assertEquals(endpoint.got.size(), 1, "sent again after its window");
    }

    @Test
    public void stepsUnderARunningRelayChangeNothing() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 2_000), 202);
        shim.stepWallClock(HOUR);
        Stand.pause(600);
        assertTrue(stand.notices.isEmpty(), "" + stand.notices);
        shim.stepWallClock(-HOUR);
        until("it has its end in time", 1_800, () -> stand.ended("m1", "outcome"));
    }
}
