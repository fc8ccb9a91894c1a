package yewpath.events;

import java.util.function.BiConsumer;

/** Counts lines of each event by the second and tells which are too many. The clock is handed in, in nanoseconds. */
final class EventRateLimiter {
    private static final long WINDOW = 1_000_000_000L;
    private final long[] since = new long[Event.values().length];
    private final int[] written = new int[since.length];
    private final long[] leftOut = new long[since.length];

    /** Whether one more may be written. */
    synchronized boolean admits(Event event, int most, long now) {
        int at = event.ordinal();
        if (leftOut[at] == 0 && now - since[at] >= WINDOW || written[at] == 0) {
            since[at] = now;
            written[at] = 0;
        }
        if (written[at] < most) {
            written[at]++;
            return true;
        }
        leftOut[at]++;
        return false;
    }

    /** Tells of each event whose second is over how many were left out; of all of them where {@code atOnce}. */
    synchronized void sums(long now, boolean atOnce, BiConsumer<Event, Long> told) {
        for (Event event : Event.values()) {
            int at = event.ordinal();
            if (leftOut[at] > 0 && (atOnce || now - since[at] >= WINDOW)) {
                long count = leftOut[at];
                leftOut[at] = 0;
                written[at] = 0;
                told.accept(event, count);
            }
        }
    }
}
