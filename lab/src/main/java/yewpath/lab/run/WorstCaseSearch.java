package yewpath.lab.run;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import yewpath.lab.core.RandomStream;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/**
 * Searches for the parameters and faults with which the delivery policy {@code logic} does worst in
 * comparison with simple policies, or violates a rule. It tries random candidates within the ranges of the
 * sweeps, with random faults, then takes small random steps from the worst candidate found (Solis and Wets
 * 1981), and finally removes all faults and parameters that do not matter (Zeller and Hildebrandt 2002, delta
 * debugging). The same seed finds the same candidate.
 */
public final class WorstCaseSearch {
    /** What a search tries: values of the swept parameters by path, and faults. */
    public record Candidate(Map<String, Double> point, List<Scenario.Fault> faults) {}

    /** Rates a candidate. It is called by several threads. */
    public interface LossFunction {
        /**
         * Returns the loss of a candidate, which the search maximizes; {@link #RULE_VIOLATION_LOSS} for a
         * violated rule.
         */
        double loss(Candidate candidate);
    }

    /** The loss of a candidate with which the policy violates a rule. */
    public static final double RULE_VIOLATION_LOSS = 1_000;
    private static final List<String> FAULT_TYPES = List.of("silent", "refuse", "vanish", "slow", "errors",
        "resets", "limit", "partition", "drain",
        "burst", "relay-kill", "relay-lost");
    /** The policies whose results are compared with those of {@code logic}. */
    private static final List<String> RIVAL_POLICIES = List.of("one-try", "fixed", "two-choices",
        "bucket-breaker");

    /** The first round tries random candidates, each further one neighbors of the worst. */
    private static final int ROUNDS = 5;

    private final ScenarioFile file;
    private final Scenario base;
    private final Map<String, double[]> ranges;
    private final LossFunction lossFunction;
    private final RandomStream random;
    private final PrintStream console;
    private final int threads;

    /**
     * Creates a search.
     *
     * @param file scenario file whose sweeps give the ranges
     * @param threads number of candidates rated at a time
     * @param console where the progress is printed
     */
    public WorstCaseSearch(ScenarioFile file, LossFunction lossFunction, long seed, int threads,
        PrintStream console) {
        this.file = file;
        this.lossFunction = lossFunction;
        this.threads = threads;
        this.console = console;
        base = file.base();
        ranges = file.ranges();
        random = new RandomStream(seed, "search");
    }

    /**
     * Returns a loss function that says by how much the service of the best rival policy exceeds that of
     * {@code logic}; it is {@link #RULE_VIOLATION_LOSS} if {@code logic} violates a rule.
     */
    public static LossFunction againstRivals(ScenarioFile file) {
        return candidate -> {
            Scenario strict = scenario(file, candidate);
            strict.strict = true;
            try {
                double service = new World(strict, "logic", strict.seed).run().revenueShare();
                double bestRival = 0;
                for (String rival : RIVAL_POLICIES) {
                    World.RunResult result = new World(scenario(file, candidate), rival, strict.seed).run();
                    // The result of a rival that violates a rule does not count.
                    bestRival = result.violationCount() > 0 ? bestRival
                        : Math.max(bestRival, result.revenueShare());
                }
                return bestRival - service;
            } catch (Referee.RuleViolation violation) {
                return RULE_VIOLATION_LOSS;
            }
        };
    }

    private static Scenario scenario(ScenarioFile file, Candidate candidate) {
        Scenario scenario = file.atPoint(candidate.point);
        scenario.faults = candidate.faults;
        return scenario;
    }

    /**
     * Rates random candidates and about as many near the worst ones, and returns the worst without what does
     * not matter.
     *
     * @param randomCount number of random candidates
     */
    public Candidate find(int randomCount) throws InterruptedException {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < randomCount; i++) {
            candidates.add(randomCandidate());
        }
        Candidate worst = null;
        double worstLoss = Double.NEGATIVE_INFINITY;
        int ratedCount = 0;
        // Each round after the first tries neighbors of the worst candidate of all rounds before.
        for (int round = 0; round < ROUNDS; round++) {
            double[] losses = losses(candidates);
            for (int i = 0; i < losses.length; i++) {
                if (losses[i] > worstLoss) {
                    worstLoss = losses[i];
                    worst = candidates.get(i);
                }
            }
            ratedCount += candidates.size();
            console.printf("%d candidates run, the worst loss is %.3f%n", ratedCount, worstLoss);
            candidates.clear();
            for (int i = 0; i < randomCount / (ROUNDS - 1); i++) {
                candidates.add(neighborOf(worst));
            }
        }
        return simplify(worst, worstLoss);
    }

    private double[] losses(List<Candidate> candidates) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        List<Future<Double>> results = new ArrayList<>();
        for (Candidate candidate : candidates) {
            results.add(pool.submit(() -> lossFunction.loss(candidate)));
        }
        pool.shutdown();
        double[] losses = new double[candidates.size()];
        for (int i = 0; i < losses.length; i++) {
            try {
                losses[i] = results.get(i).get();
            } catch (ExecutionException exception) {
                throw new IllegalStateException(exception.getCause());
            }
        }
        return losses;
    }

    private Candidate randomCandidate() {
        Map<String, Double> point = new LinkedHashMap<>();
        ranges.forEach((path, range) -> point.put(path, drawValue(path, range[0], range[1])));
        List<Scenario.Fault> faults = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            faults.add(randomFault());
        }
        return new Candidate(point, List.copyOf(faults));
    }

    private double drawValue(String path, double minimum, double maximum) {
        double value = minimum + random.uniform() * (maximum - minimum);
        return ScenarioFile.isInteger(path) ? Math.rint(value) : value;
    }

    private Scenario.Fault randomFault() {
        String type = FAULT_TYPES.get(random.nextInt(FAULT_TYPES.size()));
        long startMicros = (long) (random.uniform() * base.lengthMicros * 0.8);
        long durationMicros = 1_000 + (long) (random.uniform() * base.lengthMicros * 0.3);
        double amount = switch (type) {
            case "slow", "burst" -> 1.5 + random.uniform() * 6;
            default -> 0.05 + random.uniform() * 0.6;
        };
        return new Scenario.Fault(startMicros, durationMicros, type, random.uniform(), amount);
    }

    private Candidate neighborOf(Candidate origin) {
        Map<String, Double> point = new LinkedHashMap<>(origin.point);
        ranges.forEach((path, range) -> {
            if (random.nextBoolean(0.5)) {
                double step = (range[1] - range[0]) * 0.15;
                point.put(path, drawValue(path, Math.max(range[0], point.get(path) - step),
                    Math.min(range[1], point.get(path) + step)));
            }
        });
        List<Scenario.Fault> faults = new ArrayList<>(origin.faults);
        if (!faults.isEmpty() && random.nextBoolean(0.4)) {
            faults.set(random.nextInt(faults.size()), randomFault());
        } else if (faults.size() < 6 && random.nextBoolean(0.3)) {
            faults.add(randomFault());
        }
        return new Candidate(point, List.copyOf(faults));
    }

    /**
     * Removes faults one by one, and resets parameters to the values of the file, as long as nine tenths of
     * the loss, or the violation of a rule, remain.
     */
    private Candidate simplify(Candidate candidate, double loss) {
        double requiredLoss = loss >= RULE_VIOLATION_LOSS ? RULE_VIOLATION_LOSS : 0.9 * loss;
        boolean simplified = true;
        Candidate current = candidate;
        while (simplified) {
            simplified = false;
            for (int i = 0; i < current.faults.size() && !simplified; i++) {
                List<Scenario.Fault> fewerFaults = new ArrayList<>(current.faults);
                fewerFaults.remove(i);
                Candidate shorter = new Candidate(current.point, List.copyOf(fewerFaults));
                if (lossFunction.loss(shorter) >= requiredLoss) {
                    current = shorter;
                    simplified = true;
                }
            }
            for (String path : new ArrayList<>(current.point.keySet())) {
                Map<String, Double> fewerValues = new HashMap<>(current.point);
                fewerValues.remove(path);
                Candidate shorter = new Candidate(new LinkedHashMap<>(fewerValues), current.faults);
                if (lossFunction.loss(shorter) >= requiredLoss) {
                    current = shorter;
                    simplified = true;
                }
            }
        }
        console.printf("reduced to %d faults and %d parameters%n", current.faults.size(),
            current.point.size());
        return current;
    }

    /** Returns the text of a scenario file with the values and faults of a candidate. */
    public String toToml(Candidate candidate) {
        return file.toToml(candidate.point, candidate.faults);
    }
}
