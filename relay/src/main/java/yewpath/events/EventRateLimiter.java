package yewpath.events;

import java.util.function.BiConsumer;

/** Limits how many lines of each event are written per second, and counts the suppressed ones. */
final class EventRateLimiter {
    private static final long PERIOD_NANOS = 1_000_000_000L;
    private final long[] periodStartNanos = new long[Event.values().length];
    private final int[] written = new int[periodStartNanos.length];
    private final long[] suppressed = new long[periodStartNanos.length];

    /**
     * Whether another line of this event may be written; counts it as written or suppressed. Once lines were
     * suppressed, a new period begins only after {@link #reportSuppressed} has reported them.
     *
     * @param maxLines lines of one event allowed per second
     * @param nowNanos a monotonic time in nanoseconds
     */
    synchronized boolean tryAcquire(Event event, int maxLines, long nowNanos) {
        int index = event.ordinal();
        if (suppressed[index] == 0 && nowNanos - periodStartNanos[index] >= PERIOD_NANOS
            || written[index] == 0) {
            periodStartNanos[index] = nowNanos;
            written[index] = 0;
        }
        if (written[index] < maxLines) {
            written[index]++;
            return true;
        }
        suppressed[index]++;
        return false;
    }

    /**
     * Passes the number of suppressed lines of each event to {@code reporter} and resets it.
     *
     * @param nowNanos a monotonic time in nanoseconds
     * @param immediately whether to report events whose period of one second has not ended, too
     */
    synchronized void reportSuppressed(long nowNanos, boolean immediately, BiConsumer<Event, Long> reporter) {
        for (Event event : Event.values()) {
            int index = event.ordinal();
            if (suppressed[index] > 0
                && (immediately || nowNanos - periodStartNanos[index] >= PERIOD_NANOS)) {
                long count = suppressed[index];
                suppressed[index] = 0;
                written[index] = 0;
                reporter.accept(event, count);
            }
        }
    }
}
