package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.OK;
import static yewpath.Stand.SILENCE;
import static yewpath.Stand.until;

import org.testng.annotations.Test;

/**
 * Steps the relay's wall clock by an hour, while it runs or between two processes. Deadlines and
 * deduplication windows must still be measured in elapsed time.
 */
public final class WallClockTest extends Stand.Tests {
    private static final long HOUR_SECONDS = 3_600;

    /**
     * Guards against open messages that fail at a restart because their deadlines are compared with a wall
     * clock that was stepped forward.
     */
    @Test
    public void forwardStepAcrossARestartFailsNoMessage() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        for (int i = 0; i < 5; i++) {
            assertEquals(stand.handIn("m" + i, "order", 1, 15_000), 202);
        }
        stand.kill();
        shim.stepWallClock(HOUR_SECONDS);
        Stand.Server endpoint = stand.endpoint(1, request -> OK);
        stand.start();
        until("all messages are delivered", 4_000, () -> endpoint.got.size() == 5);
        assertTrue(stand.notices.isEmpty(), "" + stand.notices);
    }

    /**
     * Guards against a message that stays open for another hour because the wall clock was stepped back
     * before the restart.
     */
    @Test
    public void backwardStepAcrossARestartKeepsDeadlines() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 3_000), 202);
        stand.kill();
        shim.stepWallClock(-HOUR_SECONDS);
        stand.start();
        until("the message has its outcome by its deadline", 3_300, () -> stand.ended("m1", "outcome"));
    }

    /**
     * Guards against an attempt after the end of the deduplication window, which the endpoint would process
     * a second time. The wall clock is stepped back while no relay runs, so that the window seems to last
     * longer.
     */
    @Test
    public void backwardStepAcrossARestartKeepsTheDeduplicationWindow() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.memoryMs = 1_500;
        Stand.Server endpoint = stand.endpoint(1, request -> SILENCE);
        stand.start();
        assertEquals(stand.handIn("t1", "serial", 1, 15_000), 202);
        until("the endpoint received the first attempt", 2_000, () -> endpoint.got.size() == 1);
        stand.kill();
        shim.stepWallClock(-HOUR_SECONDS);
        Stand.pause(1_500);
        stand.start();
        until("the message has its outcome", 3_000, () -> stand.ended("t1", "outcome"));
        assertEquals(endpoint.got.size(), 1, "sent again after the deduplication window");
    }

    /**
     * Guards against a running relay that uses the wall clock for deadlines: a message would expire too
     * early after a step forward, and too late after a step back.
     */
    @Test
    public void stepsWhileRunningChangeNoDeadline() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 2_000), 202);
        shim.stepWallClock(HOUR_SECONDS);
        Stand.pause(600);
        assertTrue(stand.notices.isEmpty(), "" + stand.notices);
        shim.stepWallClock(-HOUR_SECONDS);
        until("the message has its outcome by its deadline", 1_800, () -> stand.ended("m1", "outcome"));
    }
}
