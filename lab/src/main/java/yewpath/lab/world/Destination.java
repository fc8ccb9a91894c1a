package yewpath.lab.world;

import yewpath.lab.scenario.Scenario;

/** A destination: holds the rate limit that its endpoints share. */
final class Destination {
    private static final long WINDOW_MICROS = 1_000_000;
    final int index;
    private final Scenario scenario;
    private double tokens;
    private long tokensUpdatedMicros;
    private long windowStartMicros;
    private int countInWindow;
    /** Factor on the limit; below 1 while a fault lowers it. */
    double limitFactor = 1;
    /** Calls on their way that have not arrived at an endpoint yet. */
    int callsInTransit;

    Destination(int index, Scenario scenario) {
        this.index = index;
        this.scenario = scenario;
        tokens = burst();
    }

    private double burst() {
        return Math.max(1, scenario.callsPerSecondLimit / 10);
    }

    double limit() {
        return scenario.callsPerSecondLimit * limitFactor;
    }

    /** Counts a call that arrives now, and returns whether it is within the limit. */
    boolean admits(long nowMicros) {
        if (scenario.callsPerSecondLimit <= 0) {
            return true;
        }
        if (scenario.fixedWindowLimit) {
            if (nowMicros - windowStartMicros >= WINDOW_MICROS) {
                windowStartMicros = nowMicros - nowMicros % WINDOW_MICROS;
                countInWindow = 0;
            }
            boolean admitted = countInWindow < limit();
            countInWindow += admitted || scenario.rejectedCallsCount ? 1 : 0;
            return admitted;
        }
        tokens = Math.min(burst(), tokens + (nowMicros - tokensUpdatedMicros) * limit() / 1e6);
        tokensUpdatedMicros = nowMicros;
        boolean admitted = tokens >= 1;
        // If refused calls count, they take the bucket below zero, by at most one burst.
        tokens -= admitted ? 1 : scenario.rejectedCallsCount ? Math.min(1, Math.max(0, tokens + burst())) : 0;
        return admitted;
    }

    /** Calls that the limit admits now; infinite without a limit. */
    double freeCalls(long nowMicros) {
        if (scenario.callsPerSecondLimit <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        if (scenario.fixedWindowLimit) {
            return nowMicros - windowStartMicros >= WINDOW_MICROS ? limit() : limit() - countInWindow;
        }
        return Math.min(burst(), tokens + (nowMicros - tokensUpdatedMicros) * limit() / 1e6);
    }
}
