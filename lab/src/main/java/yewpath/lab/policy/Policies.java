package yewpath.lab.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.lab.core.RandomStream;

/** All policies by name. */
public final class Policies {
    /** What a policy is made from; {@code truth} gives the true room of an endpoint, for the oracle alone. */
    public record Given(PolicySettings settings, long seed, PolicyActions out, RandomStream chance, long now,
        IntToDoubleFunction truth) {}

    private interface Maker {
        Policy make(Given given);
    }

    private static final Map<String, Maker> ALL = new LinkedHashMap<>();

    static {
        ALL.put("logic", g -> new LogicPolicy(g.settings, g.seed, g.out, g.now));
        ALL.put("one-try", OneTry::new);
        ALL.put("fixed", Fixed::new);
        ALL.put("aimd", Aimd::new);
        ALL.put("gradient", Gradient::new);
        ALL.put("bucket-breaker", BucketBreaker::new);
        ALL.put("two-choices", TwoChoices::new);
        ALL.put("retry-budget", RetryBudget::new);
        ALL.put("oracle", Oracle::new);
    }

    private Policies() {}

    public static List<String> names() {
        return List.copyOf(ALL.keySet());
    }

    public static Policy make(String name, Given given) {
        return ALL.get(name).make(given);
    }

    /** Each envelope one shot at once, whatever comes of it: the floor of all comparisons. */
    private static class OneTry extends Textbook {
        OneTry(Given g) {
            super(g.settings, g.out, g.chance, g.now);
        }

        @Override
        int room(Lane lane) {
            return Integer.MAX_VALUE;
        }

        @Override
        boolean triesAgain(Held one) {
            return false;
        }
    }

    /** Eight shots out a destination and exponential backoff: what most clients are shipped with. */
    private static final class Fixed extends Textbook {
        Fixed(Given g) {
            super(g.settings, g.out, g.chance, g.now);
        }

        @Override
        int room(Lane lane) {
            return 8;
        }
    }

    /** Additive increase, multiplicative decrease of the shots out (Chiu and Jain 1989). */
    private static class Aimd extends Textbook {
        Aimd(Given g) {
            super(g.settings, g.out, g.chance, g.now);
        }

        @Override
        int room(Lane lane) {
            lane.limit = Double.isNaN(lane.limit) ? 8 : lane.limit;
            return (int) lane.limit;
        }

        @Override
        void learn(Lane lane, int outcome, long elapsed) {
            if (outcome == PolicyActions.DELIVERED) {
                lane.limit = Math.min(1_000, lane.limit + 1 / Math.max(1, lane.limit));
            } else if (outcome != PolicyActions.NOT_EXECUTED && outcome != PolicyActions.CANCELLED
                && now - lane.since > 100_000) {
                // Once a round trip or so: the shots of one burst fail for one cause.
                lane.limit = Math.max(1, lane.limit / 2);
                lane.since = now;
            }
        }
    }

    /** The limit follows the gradient of long to short delay (the Gradient2 limiter of Netflix's concurrency-limits, 2018). */
    private static final class Gradient extends Textbook {
        Gradient(Given g) {
            super(g.settings, g.out, g.chance, g.now);
        }

        @Override
        int room(Lane lane) {
            lane.limit = Double.isNaN(lane.limit) ? 20 : lane.limit;
            return (int) lane.limit;
        }

        @Override
        void learn(Lane lane, int outcome, long elapsed) {
            if (outcome == PolicyActions.DELIVERED) {
                lane.figure = lane.figure == 0 ? elapsed : lane.figure + (elapsed - lane.figure) / 100;
                lane.second = lane.second == 0 ? elapsed : lane.second + (elapsed - lane.second) / 10;
                double gradient = Math.max(0.5, Math.min(1, 1.5 * lane.figure / lane.second));
                if (lane.out >= lane.limit / 2) {
                    double wanted = lane.limit * gradient + Math.sqrt(lane.limit);
                    lane.limit = Math.max(1, Math.min(1_000, lane.limit * 0.8 + wanted * 0.2));
                }
            } else if (outcome == PolicyActions.OVERLOADED || outcome == PolicyActions.TIMEOUT) {
                lane.limit = Math.max(1, lane.limit * 0.9);
            }
        }
    }

    /** A token bucket at the listed rate's part, and a circuit breaker (Nygard, Release It!, 2007): open for 1 s after five failures. */
    private static final class BucketBreaker extends Textbook {
        private static final int RUN = 5;
        private final PolicySettings settings;
        private final java.util.Map<Integer, Double> rates = new java.util.HashMap<>();

        BucketBreaker(Given g) {
            super(g.settings, g.out, g.chance, g.now);
            settings = g.settings;
        }

        @Override
        public void listed(int endpoint, int zone, int kind, int destination, int phase, double rate,
            long since) {
            rates.put(endpoint, rate);
            super.listed(endpoint, zone, kind, destination, phase, rate, since);
        }

        @Override
        int room(Lane lane) {
            if (lane.run >= RUN) {
                // Half open after a second: one shot tells.
                return now - lane.since > 1_000_000 ? 1 : 0;
            }
            double rate = rates.getOrDefault(lane.endpoints.get(0), 10.0) / Math.max(1, settings.relayCount);
            lane.second += (now - (long) lane.figure) * rate / 1e6;
            lane.second = Math.min(lane.second, Math.max(1, rate / 5));
            lane.figure = now;
            if (lane.second < 1) {
                return 0;
            }
            lane.second--;
            return Integer.MAX_VALUE;
        }

        @Override
        void learn(Lane lane, int outcome, long elapsed) {
            if (outcome == PolicyActions.DELIVERED) {
                lane.run = 0;
            } else if (outcome != PolicyActions.NOT_EXECUTED && ++lane.run >= RUN) {
                lane.since = now;
            }
        }
    }

    /** Least outstanding of two drawn at random (Mitzenmacher 2001), over AIMD's limit. */
    private static final class TwoChoices extends Aimd {
        TwoChoices(Given g) {
            super(g);
        }

        @Override
        int choose(List<Integer> endpoints) {
            int one = super.choose(endpoints);
            int other = super.choose(endpoints);
            return calls[other] < calls[one] ? other : one;
        }
    }

    /** Tries again only while tries stay under a fifth of the first shots (the retry budget of Finagle and the SRE book, 2016). */
    private static final class RetryBudget extends Aimd {
        private double budget = 10;

        RetryBudget(Given g) {
            super(g);
        }

        @Override
        void learn(Lane lane, int outcome, long elapsed) {
            super.learn(lane, outcome, elapsed);
            budget = Math.min(100, budget + 0.2);
        }

        @Override
        boolean triesAgain(Held one) {
            if (budget < 1 || !super.triesAgain(one)) {
                return false;
            }
            budget--;
            return true;
        }
    }

    /**
     * Sees each endpoint's true free room at the moment it sends, which no relay can. A bound where room is what decides; over
     * capacity, what to refuse decides, and there it is a heuristic like the others.
     */
    private static final class Oracle extends Textbook {
        private final IntToDoubleFunction truth;

        Oracle(Given g) {
            super(g.settings, g.out, g.chance, g.now);
            truth = g.truth;
        }

        @Override
        int room(Lane lane) {
            double room = 0;
            for (int endpoint : lane.endpoints) {
                room = Math.max(room, truth.applyAsDouble(endpoint));
            }
            return room >= 1 ? lane.out + 1 : 0;
        }

        @Override
        int choose(List<Integer> endpoints) {
            int best = endpoints.get(0);
            for (int endpoint : endpoints) {
                best = truth.applyAsDouble(endpoint) > truth.applyAsDouble(best) ? endpoint : best;
            }
            return best;
        }

        @Override
        long pause(Held one) {
            return 1_000;
        }

        /** Those in time go first, dearest of the next few ahead; the late have what is left. */
        @Override
        Held next(Lane lane) {
            Held best = null;
            int looked = 0;
            for (Held one : lane.line) {
                boolean better = best == null || isLate(best) && !isLate(one) || isLate(best) == isLate(one)
                    && settings.messageClasses[one.offering]
                        .revenue() > settings.messageClasses[best.offering]
                            .revenue();
                best = better ? one : best;
                if (++looked == 64) {
                    break;
                }
            }
            lane.line.remove(best);
            return best;
        }
    }
}
