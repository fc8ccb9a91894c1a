package yewpath;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.FleetSimulation.Overload;
import yewpath.FleetSimulation.Scenario;
import yewpath.FleetSimulation.Symptom;

/**
 * Tests that all relays of a fleet together don't make a destination collapse again that returns after an
 * outage of 14 s: in any collapse window it may get N + 2 sqrt(N) + 2 calls at most, where N is the number
 * that the settings allow.
 */
public final class FleetReturnTest {
    private static final long OUTAGE_MICROS = 14 * FleetSimulation.SECOND;
    private static final int SEEDS = 4;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][]{
            // relays, endpoints, calls per second that the destination accepts, messages submitted as a
            // multiple of that, whether connects are refused at once during the outage, messages that a call
            // may carry
            {6, 1, 40, 0.9, true, 1}, {20, 1, 40, 0.9, true, 1}, {30, 1, 20, 0.9, true, 1},
            {24, 2, 60, 1.2, true, 1},
            {100, 1, 40, 0.9, true, 1}, {20, 1, 40, 1.3, false, 1}, {30, 2, 40, 0.9, false, 1},
            {100, 2, 120, 0.9, false, 1}, {110, 1, 12, 0.7, true, 1},
            {2, 1, 40, 2.5, true, 20}, {14, 2, 50, 2.5, true, 20}, {14, 2, 50, 2.5, false, 20},
            {30, 1, 40, 1.5, true, 5},
            {30, 2, 60, 2.5, false, 20}, {120, 2, 120, 2.5, true, 20},
        };
    }

    @Test(dataProvider = "fleets")
    public void callsAfterTheReturnStayBelowTheCollapseLimit(int relays, int endpoints, double callsPerSecond,
        double load, boolean refusesAtOnce, int maxBatchSize) {
        Scenario scenario = new Scenario(relays, endpoints, callsPerSecond, load,
            refusesAtOnce ? Symptom.CONNECT_REFUSED : Symptom.CONNECT_TIMED_OUT, OUTAGE_MICROS, maxBatchSize,
            Scenario.NO_RESTART, false);
        double worst = Double.NEGATIVE_INFINITY;
        int deliveredMessages = 0;
        StringBuilder report = new StringBuilder();
        for (int seed = 1; seed <= SEEDS; seed++) {
            FleetSimulation simulation = FleetSimulation.run(scenario, seed);
            Overload largest = simulation.largestOverload();
            report.append("seed ").append(seed).append(": ").append(largest).append("; ");
            worst = Math.max(worst, largest == null ? worst : largest.excess());
            deliveredMessages = simulation.deliveredMessages();
        }

        assertTrue(worst <= 0, report.toString());
        assertTrue(deliveredMessages > 0.3 * callsPerSecond * FleetSimulation.OBSERVED_MICROS
            / FleetSimulation.SECOND, deliveredMessages + " delivered after the return");
    }
}
