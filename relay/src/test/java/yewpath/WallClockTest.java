package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.waitUntil;

import org.testng.annotations.Test;

/**
 * Steps the relay's wall clock by an hour, while it runs or between two processes. Deadlines and
 * deduplication windows must still be measured in elapsed time.
 */
public final class WallClockTest extends RelayFixture.RelayTest {
    private static final long HOUR_SECONDS = 3_600;

    /**
     * Guards against open messages that fail at a restart because their deadlines are compared with a wall
     * clock that was stepped forward.
     */
    @Test
    public void forwardStepAcrossARestartFailsNoMessage() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        for (int i = 0; i < 5; i++) {
            assertEquals(fixture.submit("m" + i, "order", 1, 15_000), 202);
        }
        fixture.kill();
        shim.stepWallClock(HOUR_SECONDS);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        waitUntil("all messages are delivered", 4_000, () -> endpoint.requests.size() == 5);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
    }

    /**
     * Guards against a message that stays open for another hour because the wall clock was stepped back
     * before the restart.
     */
    @Test
    public void backwardStepAcrossARestartKeepsDeadlines() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 3_000), 202);
        fixture.kill();
        shim.stepWallClock(-HOUR_SECONDS);
        fixture.start();
        waitUntil("the message has its outcome by its deadline", 3_300,
            () -> fixture.hasOutcomeNotice("m1", "outcome"));
    }

    /**
     * Guards against an attempt after the end of the deduplication window, which the endpoint would process
     * a second time. The wall clock is stepped back while no relay runs, so that the window seems to last
     * longer.
     */
    @Test
    public void backwardStepAcrossARestartKeepsTheDeduplicationWindow() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.deduplicationMillis = 1_500;
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.start();
        assertEquals(fixture.submit("t1", "serial", 1, 15_000), 202);
        waitUntil("the endpoint received the first attempt", 2_000, () -> endpoint.requests.size() == 1);
        fixture.kill();
        shim.stepWallClock(-HOUR_SECONDS);
        RelayFixture.pause(1_500);
        fixture.start();
        waitUntil("the message has its outcome", 3_000, () -> fixture.hasOutcomeNotice("t1", "outcome"));
        assertEquals(endpoint.requests.size(), 1, "sent again after the deduplication window");
    }

    /**
     * Guards against a running relay that uses the wall clock for deadlines: a message would expire too
     * early after a step forward, and too late after a step back.
     */
    @Test
    public void stepsWhileRunningChangeNoDeadline() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 2_000), 202);
        shim.stepWallClock(HOUR_SECONDS);
        RelayFixture.pause(600);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
        shim.stepWallClock(-HOUR_SECONDS);
        waitUntil("the message has its outcome by its deadline", 1_800,
            () -> fixture.hasOutcomeNotice("m1", "outcome"));
    }
}
