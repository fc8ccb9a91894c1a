package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.waitUntil;

import org.testng.annotations.Test;

/** The wall clock is stepped by an hour: what was promised is measured in real time all the same. */
public final class WallClockTest extends RelayFixture.RelayTest {
    private static final long HOUR = 3_600;

    @Test
    public void anHourForwardAcrossARestartGivesNothingUp() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        for (int i = 0; i < 5; i++) {
            assertEquals(fixture.submit("m" + i, "order", 1, 15_000), 202);
        }
        fixture.kill();
        shim.stepWallClock(HOUR);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        waitUntil("all delivered", 4_000, () -> endpoint.requests.size() == 5);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
    }

    @Test
    public void anHourBackAcrossARestartKeepsDeadlines() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 3_000), 202);
        fixture.kill();
        shim.stepWallClock(-HOUR);
        fixture.start();
        waitUntil("it has its end in time", 3_300, () -> fixture.hasOutcomeNotice("m1", "outcome"));
    }

    /** A repeat that comes when its first attempt is forgotten has its effect twice. */
    @Test
    public void anHourBackAcrossARestartKeepsTheWindowForRepeats() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.deduplicationMillis = 1_500;
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.start();
        assertEquals(fixture.submit("t1", "serial", 1, 15_000), 202);
        waitUntil("it is out", 2_000, () -> endpoint.requests.size() == 1);
        fixture.kill();
        shim.stepWallClock(-HOUR);
        RelayFixture.pause(1_500);
        fixture.start();
        waitUntil("it has its end", 3_000, () -> fixture.hasOutcomeNotice("t1", "outcome"));
        assertEquals(endpoint.requests.size(), 1, "sent again after its window");
    }

    @Test
    public void stepsUnderARunningRelayChangeNothing() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 2_000), 202);
        shim.stepWallClock(HOUR);
        RelayFixture.pause(600);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
        shim.stepWallClock(-HOUR);
        waitUntil("it has its end in time", 1_800, () -> fixture.hasOutcomeNotice("m1", "outcome"));
    }
}
