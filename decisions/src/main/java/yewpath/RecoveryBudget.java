package yewpath;

/**
 * How many calls a destination that returns from an outage may get. It collapses again if all relays together send
 * more in a window than a multiple of the capacity that it has while it warms up, plus an allowance for chance.
 */
final class RecoveryBudget {
    private static final long SECOND_MICROS = 1_000_000;
    private static final double DEFAULT_WARM_UP_INITIAL_SHARE = 0.2;
    private static final long DEFAULT_WARM_UP_MICROS = 15 * SECOND_MICROS;
    private static final double DEFAULT_COLLAPSE_MULTIPLE = 2;
    private static final long DEFAULT_COLLAPSE_WINDOW_MICROS = 3 * SECOND_MICROS;
    /** The least part of the collapse multiple that all relays together send. */
    private static final double MIN_SENT_PART = 0.85;
    /**
     * By how many standard deviations the mean of the calls of all relays stays below the budget; more the larger
     * the budget is, since a small destination has few messages waiting.
     */
    private static final double MIN_MARGIN_DEVIATIONS = 2;
    private static final double MAX_MARGIN_DEVIATIONS = 3;
    /** Budgets are N + 3 sqrt(N) + 3 below this, and N + 2 sqrt(N) + 2 from this on. */
    private static final double LARGE_BUDGET_CALLS = 30;
    /** The smallest number of calls in a window that is calculated with. */
    private static final double MIN_COUNTED_CALLS = 0.25;

    private final double warmUpInitialShare;
    private final long warmUpMicros;
    private final double collapseMultiple;
    private final long windowMicros;
    private final int relayCount;

    /** Creates the budget of a fleet; settings that are not positive have defaults. */
    RecoveryBudget(PolicySettings settings, int relayCount) {
        warmUpInitialShare = settings.warmUpInitialShare > 0 ? settings.warmUpInitialShare
            : DEFAULT_WARM_UP_INITIAL_SHARE;
        warmUpMicros = settings.warmUpMicros > 0 ? settings.warmUpMicros : DEFAULT_WARM_UP_MICROS;
        collapseMultiple = settings.collapseMultiple > 0 ? settings.collapseMultiple
            : DEFAULT_COLLAPSE_MULTIPLE;
        windowMicros = settings.collapseWindowMicros > 0 ? settings.collapseWindowMicros
            : DEFAULT_COLLAPSE_WINDOW_MICROS;
        this.relayCount = relayCount;
    }

    /** Whether a destination that returned this long ago has its full capacity. */
    boolean isWarm(long recoveringForMicros) {
        return recoveringForMicros > warmUpMicros;
    }

    /** Returns the share of its capacity that a destination has the given time after its return. */
    double warmUpShare(long recoveringForMicros) {
        return warmUpInitialShare
            + (1 - warmUpInitialShare)
                * Math.max(0, Math.min(1, recoveringForMicros / (double) warmUpMicros));
    }

    /**
     * Returns what all relays together send to a recovering destination by themselves, as a multiple of its full
     * capacity: half of what leaves a margin for chance below the budget. Arriving messages earn as much again.
     *
     * @param capacity the calls per second that the destination accepts once it is warm
     */
    double sentMultiple(double capacity, long recoveringForMicros) {
        // The budget of a window depends on the capacity at its beginning, so calls follow the capacity half a window
        // later.
        double multiple = collapseMultiple * warmUpShare(recoveringForMicros - windowMicros / 2);
        double calls = Math.max(MIN_COUNTED_CALLS, callsInWindow(multiple, capacity));
        return multiple * Math.max(MIN_SENT_PART, meanCallsWithinBudget(calls) / calls) / 2;
    }

    /**
     * Returns the calls in a window that are one relay's even share at a cold destination.
     *
     * @param capacity the calls per second that the destination accepts once it is warm
     */
    double callsPerRelay(double capacity) {
        return meanCallsWithinBudget(callsInWindow(collapseMultiple * warmUpInitialShare, capacity))
            / relayCount;
    }

    private double callsInWindow(double multiple, double capacity) {
        return multiple * capacity * windowMicros / SECOND_MICROS;
    }

    /**
     * Returns the mean of a random number of calls that stays within the budget.
     *
     * @param calls the calls that the settings allow in a window without the allowance for chance
     */
    private static double meanCallsWithinBudget(double calls) {
        double root = Math.sqrt(calls);
        double budget = calls < LARGE_BUDGET_CALLS ? calls + 3 * root + 3 : calls + 2 * root + 2;
        double deviations = MIN_MARGIN_DEVIATIONS
            + (MAX_MARGIN_DEVIATIONS - MIN_MARGIN_DEVIATIONS) * Math.min(1, calls / LARGE_BUDGET_CALLS);
        // Solves mean + deviations * sqrt(mean) = budget.
        double rootOfMean = (Math.sqrt(deviations * deviations + 4 * budget) - deviations) / 2;
        return rootOfMean * rootOfMean;
    }
}
