package yewpath;

import static org.testng.Assert.assertEquals;
import static yewpath.FleetSimulation.MILLISECOND;
import static yewpath.FleetSimulation.SECOND;
import static yewpath.FleetSimulation.Scenario.NO_RESTART;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.FleetSimulation.Overload;
import yewpath.FleetSimulation.Scenario;
import yewpath.FleetSimulation.Symptom;

/**
 * Tests that relays which have had only a few failures each, or whose processes are new, don't make a
 * destination collapse at its return from an outage.
 */
public final class OutageReturnTest {
    private static final int SEEDS = Integer.getInteger("return.seeds", 8);
    /** The share of the calls of an overload from which on it counts against the relays that had noticed. */
    private static final double NOTIFIED_SHARE = 2 / 3.0;

    @DataProvider
    public Object[][] outages() {
        return new Object[][]{
            // relays, endpoints, calls per second, load, symptom, outage, process starts before the return
            {41, 1, 4, 0.8, Symptom.CONNECT_REFUSED, 3 * SECOND, NO_RESTART},
            {41, 1, 4, 0.8, Symptom.CONNECT_REFUSED, 11_576 * MILLISECOND, NO_RESTART},
            {41, 2, 8, 0.8, Symptom.CONNECT_REFUSED, 3 * SECOND, NO_RESTART},
            {25, 2, 3, 0.9, Symptom.CONNECT_REFUSED, 10 * SECOND, NO_RESTART},
            {41, 1, 40, 0.9, Symptom.CONNECT_REFUSED, 3 * SECOND, NO_RESTART},
            {41, 1, 20, 0.8, Symptom.CONNECT_REFUSED, 11_576 * MILLISECOND, NO_RESTART},
            {100, 1, 40, 0.9, Symptom.CONNECT_REFUSED, 3 * SECOND, NO_RESTART},
            {20, 1, 40, 0.9, Symptom.CONNECT_REFUSED, SECOND, NO_RESTART},
            {120, 1, 12, 0.8, Symptom.CONNECT_REFUSED, 5 * SECOND, NO_RESTART},
            {6, 1, 40, 0.9, Symptom.CONNECT_REFUSED, 14 * SECOND, 600 * MILLISECOND},
            {41, 1, 4, 0.8, Symptom.CONNECT_REFUSED, 14 * SECOND, 600 * MILLISECOND},
            // Killed while probing, and while the destination warms up.
            {41, 1, 40, 0.9, Symptom.CONNECT_REFUSED, 14 * SECOND, 600 * MILLISECOND},
            {41, 1, 40, 0.9, Symptom.CONNECT_REFUSED, 14 * SECOND, -2 * SECOND},
            {6, 1, 40, 0.9, Symptom.CONNECT_REFUSED, 14 * SECOND, -2 * SECOND},
            {20, 1, 40, 0.9, Symptom.RESET, 1_500 * MILLISECOND, NO_RESTART},
            {20, 1, 40, 0.9, Symptom.RESET, 6 * SECOND, NO_RESTART},
            {41, 1, 4, 0.8, Symptom.RESET, 6 * SECOND, NO_RESTART},
            {20, 1, 40, 0.9, Symptom.RESET_AT_ONCE, 6 * SECOND, NO_RESTART},
            {41, 1, 4, 0.8, Symptom.RESET_AT_ONCE, 6 * SECOND, NO_RESTART},
            {100, 2, 8, 0.8, Symptom.RESET, 8 * SECOND, NO_RESTART},
            {20, 1, 40, 0.9, Symptom.ERROR, 3 * SECOND, NO_RESTART},
            {41, 1, 4, 0.8, Symptom.ERROR, 6 * SECOND, NO_RESTART},
            {25, 1, 5, 0.9, Symptom.ERROR, 10 * SECOND, NO_RESTART},
            {20, 1, 40, 0.9, Symptom.SILENCE, 6 * SECOND, NO_RESTART},
            {41, 1, 4, 0.8, Symptom.SILENCE, 6 * SECOND, NO_RESTART},
            {20, 1, 40, 0.9, Symptom.SHUT, 6 * SECOND, NO_RESTART},
            {41, 1, 4, 0.8, Symptom.SHUT, 6 * SECOND, NO_RESTART},
            {20, 1, 40, 0.9, Symptom.SHUT_WITH_WAIT, 6 * SECOND, NO_RESTART},
            {41, 1, 4, 0.8, Symptom.SHUT_WITH_WAIT, 6 * SECOND, NO_RESTART},
        };
    }

    @Test(dataProvider = "outages")
    public void firstFailuresBoundTheCallsAfterTheReturn(int relays, int endpoints, double callsPerSecond,
        double load, Symptom symptom, long outageMicros, long restartLeadMicros) {
        Scenario scenario = new Scenario(relays, endpoints, callsPerSecond, load, symptom, outageMicros, 1,
            restartLeadMicros, true);
        List<String> broken = new ArrayList<>();
        int deliveredMessages = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            FleetSimulation simulation = FleetSimulation.run(scenario, seed);
            Overload collapse = simulation.firstCollapse();
            deliveredMessages += simulation.deliveredMessages();
            if (collapse != null && collapse.shareOfNotifiedRelays() > NOTIFIED_SHARE) {
                broken.add("seed " + seed + ": " + collapse);
            }
        }
        assertEquals(broken, List.of(),
            "of " + SEEDS + " seeds, " + deliveredMessages + " messages delivered");
    }
}
