package yewpath.lab.world;

import yewpath.lab.scenario.Scenario;

/** A destination: what its endpoints share, that is its limit. */
final class Place {
    private static final long SPAN = 1_000_000;
    final int index;
    private final Scenario s;
    private double tokens;
    private long tokensAt;
    private long spanAt;
    private int inSpan;
    /** Lowered by a trouble; 1 otherwise. */
    double limitFactor = 1;
    int coming;

    Place(int index, Scenario s) {
        this.index = index;
        this.s = s;
        tokens = burst();
    }

    private double burst() {
        return Math.max(1, s.callsPerSecondLimit / 10);
    }

    double limit() {
        return s.callsPerSecondLimit * limitFactor;
    }

    /** Whether a call that arrives now is within the limit. */
    boolean admits(long now) {
        if (s.callsPerSecondLimit <= 0) {
            return true;
        }
        if (s.fixedWindowLimit) {
            if (now - spanAt >= SPAN) {
                spanAt = now - now % SPAN;
                inSpan = 0;
            }
            boolean admitted = inSpan < limit();
            inSpan += admitted || s.rejectedCallsCount ? 1 : 0;
            return admitted;
        }
        tokens = Math.min(burst(), tokens + (now - tokensAt) * limit() / 1e6);
        tokensAt = now;
        boolean admitted = tokens >= 1;
        // Where refused calls count they push the bucket below empty, up to one burst.
        tokens -= admitted ? 1 : s.rejectedCallsCount ? Math.min(1, Math.max(0, tokens + burst())) : 0;
        return admitted;
    }

    /** Part of a second's limit that is free now. */
    double free(long now) {
        if (s.callsPerSecondLimit <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        if (s.fixedWindowLimit) {
            return now - spanAt >= SPAN ? limit() : limit() - inSpan;
        }
        return Math.min(burst(), tokens + (now - tokensAt) * limit() / 1e6);
    }
}
