package yewpath.lab.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.lab.core.RandomStream;

/** All policies by the names that scenarios and results use. */
public final class Policies {
    /**
     * What a policy is created from. {@code freeCapacity} returns the true free capacity of an endpoint, in
     * calls; only the oracle may use it.
     */
    public record Context(PolicySettings settings, long seed, PolicyActions actions, RandomStream random,
        long nowMicros, IntToDoubleFunction freeCapacity) {}

    private interface Factory {
        Policy create(Context context);
    }

    private static final Map<String, Factory> FACTORIES = new LinkedHashMap<>();

    static {
        FACTORIES.put("logic", context -> new DeliveryPolicyAdapter(context.settings, context.seed,
            context.actions, context.nowMicros));
        FACTORIES.put("one-try", SingleAttempt::new);
        FACTORIES.put("fixed", FixedLimit::new);
        FACTORIES.put("aimd", Aimd::new);
        FACTORIES.put("gradient", Gradient::new);
        FACTORIES.put("bucket-breaker", BucketBreaker::new);
        FACTORIES.put("two-choices", TwoChoices::new);
        FACTORIES.put("retry-budget", RetryBudget::new);
        FACTORIES.put("oracle", Oracle::new);
    }

    private Policies() {}

    /** The names of all policies. */
    public static List<String> names() {
        return List.copyOf(FACTORIES.keySet());
    }

    /** Creates the policy of this name, which must be one of {@link #names()}. */
    public static Policy create(String name, Context context) {
        return FACTORIES.get(name).create(context);
    }

    /** One attempt for each message, at once, whatever its outcome: the lower bound of all comparisons. */
    private static class SingleAttempt extends BaselinePolicy {
        SingleAttempt(Context context) {
            super(context.settings, context.actions, context.random, context.nowMicros);
        }

        @Override
        int maxAttemptsOut(DestinationState destination) {
            return Integer.MAX_VALUE;
        }

        @Override
        boolean shouldRetry(QueuedMessage message) {
            return false;
        }
    }

    /**
     * At most eight attempts out to a destination, and exponential backoff: the default of most client
     * libraries.
     */
    private static final class FixedLimit extends BaselinePolicy {
        private static final int LIMIT = 8;

        FixedLimit(Context context) {
            super(context.settings, context.actions, context.random, context.nowMicros);
        }

        @Override
        int maxAttemptsOut(DestinationState destination) {
            return LIMIT;
        }
    }

    /** Limits the attempts out by a number that changes with their outcomes. */
    private abstract static class AdaptiveLimitPolicy extends BaselinePolicy {
        private final int initialLimit;

        AdaptiveLimitPolicy(Context context, int initialLimit) {
            super(context.settings, context.actions, context.random, context.nowMicros);
            this.initialLimit = initialLimit;
        }

        @Override
        int maxAttemptsOut(DestinationState destination) {
            destination.limit = Double.isNaN(destination.limit) ? initialLimit : destination.limit;
            return (int) destination.limit;
        }
    }

    /** Additive increase, multiplicative decrease of the attempts out (Chiu and Jain 1989). */
    private static class Aimd extends AdaptiveLimitPolicy {
        private static final int INITIAL_LIMIT = 8;
        private static final int MAX_LIMIT = 1_000;
        /**
         * About one round trip: the attempts of one burst fail for one cause and reduce the limit only once.
         */
        private static final long MIN_DECREASE_INTERVAL_MICROS = 100_000;

        Aimd(Context context) {
            super(context, INITIAL_LIMIT);
        }

        @Override
        void onOutcome(DestinationState destination, int outcome, long elapsedMicros) {
            if (outcome == PolicyActions.DELIVERED) {
                destination.limit = Math.min(MAX_LIMIT,
                    destination.limit + 1 / Math.max(1, destination.limit));
            } else if (outcome != PolicyActions.NOT_EXECUTED && outcome != PolicyActions.CANCELLED
                && nowMicros - destination.changedAtMicros > MIN_DECREASE_INTERVAL_MICROS) {
                destination.limit = Math.max(1, destination.limit / 2);
                destination.changedAtMicros = nowMicros;
            }
        }
    }

    /**
     * The limit follows the ratio of the long-term to the short-term mean delay (the Gradient2 limiter of
     * Netflix's concurrency-limits, 2018).
     */
    private static final class Gradient extends AdaptiveLimitPolicy {
        private static final int INITIAL_LIMIT = 20;
        private static final int MAX_LIMIT = 1_000;

        Gradient(Context context) {
            super(context, INITIAL_LIMIT);
        }

        /**
         * Keeps the long-term mean delay in {@code firstFigure} and the short-term mean in
         * {@code secondFigure}.
         */
        @Override
        void onOutcome(DestinationState destination, int outcome, long elapsedMicros) {
            if (outcome == PolicyActions.DELIVERED) {
                destination.firstFigure = destination.firstFigure == 0 ? elapsedMicros
                    : destination.firstFigure + (elapsedMicros - destination.firstFigure) / 100;
                destination.secondFigure = destination.secondFigure == 0 ? elapsedMicros
                    : destination.secondFigure + (elapsedMicros - destination.secondFigure) / 10;
                double gradient = Math.max(0.5,
                    Math.min(1, 1.5 * destination.firstFigure / destination.secondFigure));
                if (destination.attemptsOut >= destination.limit / 2) {
                    double target = destination.limit * gradient + Math.sqrt(destination.limit);
                    destination.limit = Math.max(1,
                        Math.min(MAX_LIMIT, destination.limit * 0.8 + target * 0.2));
                }
            } else if (outcome == PolicyActions.OVERLOADED || outcome == PolicyActions.TIMEOUT) {
                destination.limit = Math.max(1, destination.limit * 0.9);
            }
        }
    }

    /**
     * A token bucket filled at this relay's share of the listed rate, and a circuit breaker (Nygard, Release
     * It!, 2007) that opens for one second after five failures in a row.
     */
    private static final class BucketBreaker extends BaselinePolicy {
        private static final int FAILURES_TO_OPEN = 5;
        private static final long OPEN_MICROS = 1_000_000;
        private final PolicySettings settings;
        private final java.util.Map<Integer, Double> listedRates = new java.util.HashMap<>();

        BucketBreaker(Context context) {
            super(context.settings, context.actions, context.random, context.nowMicros);
            settings = context.settings;
        }

        @Override
        public void endpointListed(int endpoint, int zone, int kind, int destination, int phase,
            double callsPerSecond, long sinceMicros) {
            listedRates.put(endpoint, callsPerSecond);
            super.endpointListed(endpoint, zone, kind, destination, phase, callsPerSecond, sinceMicros);
        }

        /**
         * Keeps the time of the last refill in {@code firstFigure} and the tokens in {@code secondFigure}.
         */
        @Override
        int maxAttemptsOut(DestinationState destination) {
            if (destination.failuresInARow >= FAILURES_TO_OPEN) {
                // After a second the breaker is half open: one attempt decides whether it closes.
                return nowMicros - destination.changedAtMicros > OPEN_MICROS ? 1 : 0;
            }
            double rate = listedRates.getOrDefault(destination.endpoints.get(0), 10.0)
                / Math.max(1, settings.relayCount);
            destination.secondFigure += (nowMicros - (long) destination.firstFigure) * rate / 1e6;
            destination.secondFigure = Math.min(destination.secondFigure, Math.max(1, rate / 5));
            destination.firstFigure = nowMicros;
            if (destination.secondFigure < 1) {
                return 0;
            }
            destination.secondFigure--;
            return Integer.MAX_VALUE;
        }

        @Override
        void onOutcome(DestinationState destination, int outcome, long elapsedMicros) {
            if (outcome == PolicyActions.DELIVERED) {
                destination.failuresInARow = 0;
            } else if (outcome != PolicyActions.NOT_EXECUTED
                && ++destination.failuresInARow >= FAILURES_TO_OPEN) {
                destination.changedAtMicros = nowMicros;
            }
        }
    }

    /**
     * The endpoint with fewer calls out of two drawn at random (Mitzenmacher 2001), with the limit of AIMD.
     */
    private static final class TwoChoices extends Aimd {
        TwoChoices(Context context) {
            super(context);
        }

        @Override
        int chooseEndpoint(List<Integer> endpoints) {
            int first = super.chooseEndpoint(endpoints);
            int second = super.chooseEndpoint(endpoints);
            return callsOut[second] < callsOut[first] ? second : first;
        }
    }

    /**
     * Retries only while retries stay below a fifth of the attempts (the retry budget of Finagle and the SRE
     * book, 2016), with the limit of AIMD.
     */
    private static final class RetryBudget extends Aimd {
        private static final double MAX_BUDGET = 100;
        private static final double BUDGET_PER_ATTEMPT = 0.2;
        private double budget = 10;

        RetryBudget(Context context) {
            super(context);
        }

        @Override
        void onOutcome(DestinationState destination, int outcome, long elapsedMicros) {
            super.onOutcome(destination, outcome, elapsedMicros);
            budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_ATTEMPT);
        }

        @Override
        boolean shouldRetry(QueuedMessage message) {
            if (budget < 1 || !super.shouldRetry(message)) {
                return false;
            }
            budget--;
            return true;
        }
    }

    /**
     * Sees each endpoint's true free capacity at the moment of sending, which no relay can. It is an upper
     * bound where only the free capacity matters. In overload the choice of what to reject matters, and there
     * it is a heuristic like the others.
     */
    private static final class Oracle extends BaselinePolicy {
        private static final long RETRY_DELAY_MICROS = 1_000;
        /** How many messages at the head of the queue are compared. */
        private static final int MAX_COMPARED = 64;
        private final IntToDoubleFunction freeCapacity;

        Oracle(Context context) {
            super(context.settings, context.actions, context.random, context.nowMicros);
            freeCapacity = context.freeCapacity;
        }

        @Override
        int maxAttemptsOut(DestinationState destination) {
            double free = 0;
            for (int endpoint : destination.endpoints) {
                free = Math.max(free, freeCapacity.applyAsDouble(endpoint));
            }
            return free >= 1 ? destination.attemptsOut + 1 : 0;
        }

        @Override
        int chooseEndpoint(List<Integer> endpoints) {
            int best = endpoints.get(0);
            for (int endpoint : endpoints) {
                best = freeCapacity.applyAsDouble(endpoint) > freeCapacity.applyAsDouble(best) ? endpoint
                    : best;
            }
            return best;
        }

        @Override
        long retryDelayMicros(QueuedMessage message) {
            return RETRY_DELAY_MICROS;
        }

        /** Messages that are not late go first, and among equals the one with the highest revenue. */
        @Override
        QueuedMessage removeNext(DestinationState destination) {
            QueuedMessage best = null;
            int compared = 0;
            for (QueuedMessage message : destination.queue) {
                boolean better = best == null || isLate(best) && !isLate(message)
                    || isLate(best) == isLate(message)
                        && settings.messageClasses[message.messageClass]
                            .revenue() > settings.messageClasses[best.messageClass].revenue();
                best = better ? message : best;
                if (++compared == MAX_COMPARED) {
                    break;
                }
            }
            destination.queue.remove(best);
            return best;
        }
    }
}
