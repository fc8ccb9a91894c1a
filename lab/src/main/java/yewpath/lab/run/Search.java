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
 * Looks for the day on which Logic loses most, or breaks a rule: at random within the ranges that the sweeps span, with
 * troubles drawn besides, then by small steps from the worst found (Solis and Wets 1981), and last with everything
 * taken away that does not matter (Zeller and Hildebrandt 2002, delta debugging). The same seed finds the same day.
 */
public final class Search {
    /** One day: a point within the ranges, and troubles. */
    public record Day(Map<String, Double> point, List<Scenario.Fault> troubles) {}

    /** What a day is worth finding; more is worse, and from {@link #BROKEN} on a rule is broken. */
    public interface Judge {
        double loss(Day day);
    }

    public static final double BROKEN = 1_000;
    private static final List<String> KINDS = List.of("silent", "refuse", "vanish", "slow", "errors",
        "resets", "limit", "partition", "drain",
        "burst", "relay-kill", "relay-lost");
    /** Those that a textbook policy of the same world is asked to beat. */
    private static final List<String> RIVALS = List.of("one-try", "fixed", "two-choices", "bucket-breaker");

    private final ScenarioFile file;
    private final Scenario base;
    private final Map<String, double[]> ranges;
    private final Judge judge;
    private final RandomStream chance;
    private final PrintStream say;
    private final int threads;

    public Search(ScenarioFile file, Judge judge, long seed, int threads, PrintStream say) {
        this.file = file;
        this.judge = judge;
        this.threads = threads;
        this.say = say;
        base = file.base();
        ranges = file.ranges();
        chance = new RandomStream(seed, "search");
    }

    /** By how much the best rival does better than Logic on a day, or {@link #BROKEN} where Logic breaks a rule. */
    public static Judge againstRivals(ScenarioFile file) {
        return day -> {
            Scenario strict = scenario(file, day);
            strict.strict = true;
            try {
                double own = new World(strict, "logic", strict.seed).run().revenueShare();
                double best = 0;
                for (String rival : RIVALS) {
                    World.RunResult outcome = new World(scenario(file, day), rival, strict.seed).run();
                    // One that breaks rules has won nothing.
                    best = outcome.violationCount() > 0 ? best : Math.max(best, outcome.revenueShare());
                }
                return best - own;
            } catch (Referee.RuleViolation broken) {
                return BROKEN;
            }
        };
    }

    private static Scenario scenario(ScenarioFile file, Day day) {
        Scenario s = file.atPoint(day.point);
        s.faults = day.troubles;
        return s;
    }

    /** Plays {@code rounds} days at random and as many near the worst, and returns that one cut down. */
    public Day find(int rounds) throws InterruptedException {
        List<Day> days = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            days.add(anywhere());
        }
        Day worst = null;
        double loss = Double.NEGATIVE_INFINITY;
        int played = 0;
        // Near the worst in several goes, each from the worst of the one before.
        for (int go = 0; go < 5; go++) {
            double[] losses = judge(days);
            for (int i = 0; i < losses.length; i++) {
                if (losses[i] > loss) {
                    loss = losses[i];
                    worst = days.get(i);
                }
            }
            played += days.size();
            say.printf("%d days played, the worst loses %.3f%n", played, loss);
            days.clear();
            for (int i = 0; i < rounds / 4; i++) {
                days.add(near(worst));
            }
        }
        return cutDown(worst, loss);
    }

    private double[] judge(List<Day> days) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        List<Future<Double>> losses = new ArrayList<>();
        for (Day day : days) {
            losses.add(pool.submit(() -> judge.loss(day)));
        }
        pool.shutdown();
        double[] all = new double[days.size()];
        for (int i = 0; i < all.length; i++) {
            try {
                all[i] = losses.get(i).get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
        return all;
    }

    private Day anywhere() {
        Map<String, Double> point = new LinkedHashMap<>();
        ranges.forEach((path, range) -> point.put(path, draw(path, range[0], range[1])));
        List<Scenario.Fault> troubles = new ArrayList<>();
        for (int i = chance.nextInt(5); i > 0; i--) {
            troubles.add(trouble());
        }
        return new Day(point, List.copyOf(troubles));
    }

    private double draw(String path, double least, double most) {
        double drawn = least + chance.uniform() * (most - least);
        return ScenarioFile.isInteger(path) ? Math.rint(drawn) : drawn;
    }

    private Scenario.Fault trouble() {
        String what = KINDS.get(chance.nextInt(KINDS.size()));
        long at = (long) (chance.uniform() * base.lengthMicros * 0.8);
        long length = 1_000 + (long) (chance.uniform() * base.lengthMicros * 0.3);
        double amount = switch (what) {
            case "slow", "burst" -> 1.5 + chance.uniform() * 6;
            default -> 0.05 + chance.uniform() * 0.6;
        };
        return new Scenario.Fault(at, length, what, chance.uniform(), amount);
    }

    private Day near(Day from) {
        Map<String, Double> point = new LinkedHashMap<>(from.point);
        ranges.forEach((path, range) -> {
            if (chance.nextBoolean(0.5)) {
                double step = (range[1] - range[0]) * 0.15;
                point.put(path, draw(path, Math.max(range[0], point.get(path) - step),
                    Math.min(range[1], point.get(path) + step)));
            }
        });
        List<Scenario.Fault> troubles = new ArrayList<>(from.troubles);
        if (!troubles.isEmpty() && chance.nextBoolean(0.4)) {
            troubles.set(chance.nextInt(troubles.size()), trouble());
        } else if (troubles.size() < 6 && chance.nextBoolean(0.3)) {
            troubles.add(trouble());
        }
        return new Day(point, List.copyOf(troubles));
    }

    /** Takes away one trouble after another, and brings figures back to the file's own, as long as nine tenths of the loss stay. */
    private Day cutDown(Day day, double loss) {
        double least = loss >= BROKEN ? BROKEN : 0.9 * loss;
        boolean less = true;
        Day now = day;
        while (less) {
            less = false;
            for (int i = 0; i < now.troubles.size() && !less; i++) {
                List<Scenario.Fault> fewer = new ArrayList<>(now.troubles);
                fewer.remove(i);
                Day tried = new Day(now.point, List.copyOf(fewer));
                if (judge.loss(tried) >= least) {
                    now = tried;
                    less = true;
                }
            }
            for (String path : new ArrayList<>(now.point.keySet())) {
                Map<String, Double> fewer = new HashMap<>(now.point);
                fewer.remove(path);
                Day tried = new Day(new LinkedHashMap<>(fewer), now.troubles);
                if (judge.loss(tried) >= least) {
                    now = tried;
                    less = true;
                }
            }
        }
        say.printf("cut down to %d troubles and %d figures%n", now.troubles.size(), now.point.size());
        return now;
    }

    /** The day as a scenario of its own. */
    public String text(Day day) {
        return file.toToml(day.point, day.troubles);
    }
}
