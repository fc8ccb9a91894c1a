package yewpath.events;

import java.util.EnumMap;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.Logger;
import org.tinylog.TaggedLogger;

/**
 * Logs events by way of tinylog. Callers pass one value for each field of the event, in the order of the
 * fields, and null for an unknown value. All methods but {@link #flush} return at once, and may be called
 * from any thread.
 */
public final class Log {
    /**
     * The loggers are in a class of their own, so that {@link Log#configure} runs before tinylog starts.
     * tinylog creates the writer at the first log call, and the writer reads the size of the queue from Log:
     * if Log's own initializer started tinylog, two threads that each initialize one of the classes would
     * deadlock.
     */
    private static final class Loggers {
        static final Map<Event, TaggedLogger> BY_EVENT = new EnumMap<>(Event.class);

        static {
            for (Event event : Event.values()) {
                BY_EVENT.put(event, Logger.tag(event.label));
            }
        }
    }

    private static final EventRateLimiter RATE_LIMITER = new EventRateLimiter();
    private static volatile Level level = Level.INFO;
    private static volatile boolean json;
    private static volatile int maxLinesPerSecond = 20;
    private static volatile int maxQueuedLines = 4_096;

    private Log() {}

    /**
     * Sets the options of the log.
     *
     * @param minimumLevel the lowest level that is written: error, warn, info or debug
     * @param jsonLines whether lines are JSON instead of text
     * @param maxEventLinesPerSecond lines of one event written per second, at info and above
     * @param queueLines length of the queue; has no effect after the first line
     */
    public static void configure(String minimumLevel, boolean jsonLines, int maxEventLinesPerSecond,
        int queueLines) {
        level = Level.valueOf(minimumLevel.toUpperCase(java.util.Locale.ROOT));
        json = jsonLines;
        maxLinesPerSecond = maxEventLinesPerSecond;
        maxQueuedLines = queueLines;
    }

    static boolean isJson() {
        return json;
    }

    static int maxQueuedLines() {
        return maxQueuedLines;
    }

    /**
     * Whether the event's level is logged; callers check it before they compute values that are expensive.
     */
    public static boolean isEnabled(Event event) {
        return event.level.compareTo(level) >= 0;
    }

    /**
     * Logs an event with a value for each of its fields.
     *
     * @throws IllegalArgumentException if the number of values differs from the number of fields
     */
    public static void log(Event event, Object... values) {
        if (values.length != event.fields.length) {
            throw new IllegalArgumentException(
                event + " has " + event.fields.length + " fields, not " + values.length);
        }
        // Debug lines follow single messages, so none may be suppressed: only the queue limits them.
        if (isEnabled(event)
            && (event.level == Level.DEBUG
                || RATE_LIMITER.tryAcquire(event, maxLinesPerSecond, System.nanoTime()))) {
            write(event, values);
        }
    }

    private static void write(Event event, Object... values) {
        TaggedLogger logger = Loggers.BY_EVENT.get(event);
        String fields = LineFormat.formatFields(event.fields, values);
        switch (event.level) {
            case ERROR -> logger.error(fields);
            case WARN -> logger.warn(fields);
            case INFO -> logger.info(fields);
            default -> logger.debug(fields);
        }
    }

    /**
     * Logs the numbers of suppressed and dropped lines; called by the thread that writes the log.
     *
     * @param immediately whether to report events whose period of one second has not ended, too
     * @param droppedLines lines dropped since the last call
     */
    static void reportUnwrittenLines(boolean immediately, long droppedLines) {
        RATE_LIMITER.reportSuppressed(System.nanoTime(), immediately,
            (event, count) -> write(Event.LOG_SUPPRESSED, event.label, count));
        if (droppedLines > 0) {
            write(Event.LOG_DROPPED, droppedLines);
        }
    }

    /** Returns the lines dropped since the start of the process because the queue was full. */
    public static long droppedLines() {
        return LinesWriter.currentDroppedLines();
    }

    /** Waits until the lines logged so far are written, {@code timeoutMillis} at most. */
    public static void flush(long timeoutMillis) {
        LinesWriter.flushCurrent(timeoutMillis);
    }
}
