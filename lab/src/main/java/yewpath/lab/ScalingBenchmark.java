package yewpath.lab;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import yewpath.configuration.ConfigurationException;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/**
 * Measures the time and the heap that emulated runs of growing size take, and the part of the delivery policy
 * in that time. The times depend on the machine; result tables do not contain them.
 */
final class ScalingBenchmark {
    private static final int RUN_SECONDS = 20;
    private static final String BASE_SCENARIO = "[run]\nlength = \"20 s\"\n"
        + "[world]\nhold = 100000\nslots = 10000\nendpoints = 1\n"
        + "[endpoint]\nservice = \"20 ms\"\ncapacity = 1000\n";
    private final PrintStream output;

    ScalingBenchmark(PrintStream output) {
        this.output = output;
    }

    /** Prints a table of runs up to these numbers of messages and destinations, and returns the exit code. */
    int run(long maxMessages, int maxDestinations) throws ConfigurationException {
        output.println(
            "| envelopes | destinations | relays | seconds | events a second "
                + "| Logic us an envelope | heap MB after |\n"
                + "| --- | --- | --- | --- | --- | --- | --- |");
        // This run only gives the JIT compiler time; it is not printed.
        measure(20_000, 100, 4, false);
        for (long messages = 1_000; messages <= maxMessages; messages *= 10) {
            measure(messages, 100, 4, true);
        }
        for (int destinations = 100; destinations <= maxDestinations; destinations *= 10) {
            measure(100_000, destinations, 1, true);
        }
        for (int relays : List.of(10, 100, 1_000)) {
            measure(100_000, 100, relays, true);
        }
        return 0;
    }

    /** Plays a run of this size and prints its row if {@code isPrinted} is set. */
    private void measure(long messages, int destinations, int relays, boolean isPrinted)
        throws ConfigurationException {
        Scenario scenario = ScenarioFile.parse("sizes", BASE_SCENARIO)
            .atPoint(Map.of("load.rate", messages / (double) RUN_SECONDS, "world.destinations",
                (double) destinations,
                "world.relays", (double) relays));
        System.gc();
        long startNanos = System.nanoTime();
        World world = new World(scenario, "logic", 1);
        World.RunResult result = world.run();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        if (isPrinted) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            output.printf(Locale.ROOT, "| %d | %d | %d | %.2f | %.0f | %.2f | %d |%n", result.requests(),
                destinations, relays, seconds,
                result.eventCount() / seconds, result.decisionMicrosPerMessage(),
                (runtime.totalMemory() - runtime.freeMemory()) >> 20);
        }
        // Keeps the world reachable until its heap has been measured.
        if (world.hashCode() == 0) {
            output.println();
        }
    }
}
