package yewpath.lab;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import yewpath.configuration.ConfigurationException;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/** What a run costs by its size, and Logic's own share of that. Times are of this machine and not part of any table. */
final class ScalingBenchmark {
    private static final String BASE = "[run]\nlength = \"20 s\"\n[world]\nhold = 100000\nslots = 10000\nendpoints = 1\n[endpoint]\nservice = \"20 ms\"\n"
        + "capacity = 1000\n";
    private final PrintStream say;

    ScalingBenchmark(PrintStream say) {
        this.say = say;
    }

    int run(long mostEnvelopes, int mostDestinations) throws ConfigurationException {
        say.println(
            "| envelopes | destinations | relays | seconds | events a second | Logic us an envelope | heap MB after |\n"
                + "| --- | --- | --- | --- | --- | --- | --- |");
        // The first plays only for the compiler.
        one(20_000, 100, 4, false);
        for (long envelopes = 1_000; envelopes <= mostEnvelopes; envelopes *= 10) {
            one(envelopes, 100, 4, true);
        }
        for (int destinations = 100; destinations <= mostDestinations; destinations *= 10) {
            one(100_000, destinations, 1, true);
        }
        for (int relays : List.of(10, 100, 1_000)) {
            one(100_000, 100, relays, true);
        }
        return 0;
    }

    private void one(long envelopes, int destinations, int relays, boolean told)
        throws ConfigurationException {
        Scenario s = ScenarioFile.parse("sizes", BASE)
            .atPoint(Map.of("load.rate", envelopes / 20.0, "world.destinations", (double) destinations,
                "world.relays", (double) relays));
        System.gc();
        long begun = System.nanoTime();
        World world = new World(s, "logic", 1);
        World.RunResult outcome = world.run();
        double seconds = (System.nanoTime() - begun) / 1e9;
        if (told) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            say.printf(Locale.ROOT, "| %d | %d | %d | %.2f | %.0f | %.2f | %d |%n", outcome.requests(),
                destinations, relays, seconds,
                outcome.eventCount() / seconds, outcome.decisionMicrosPerMessage(),
                (runtime.totalMemory() - runtime.freeMemory()) >> 20);
        }
        // Kept reachable while its heap was counted.
        if (world.hashCode() == 0) {
            say.println();
        }
    }
}
