package yewpath.events;

import java.util.EnumMap;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.Logger;
import org.tinylog.TaggedLogger;

/**
 * Says an event, by way of tinylog. Values come in the order of the event's fields, null for one that is not known.
 * Returns at once whatever becomes of the line. May be called from any thread.
 */
public final class Log {
    /**
     * Apart, so that what is set here is set before tinylog starts: it makes the writer at its first use, which reads
     * it, and two classes that start each other from two threads would wait for each other for good.
     */
    private static final class Loggers {
        static final Map<Event, TaggedLogger> OF = new EnumMap<>(Event.class);

        static {
            for (Event event : Event.values()) {
                OF.put(event, Logger.tag(event.label));
            }
        }
    }

    private static final EventRateLimiter FLOOD = new EventRateLimiter();
    private static volatile Level level = Level.INFO;
    private static volatile boolean json;
    private static volatile int floodAfter = 20;
    private static volatile int queue = 4_096;

    private Log() {}

    /** {@code queueMost} counts only before the first line. */
    public static void configure(String leastLevel, boolean asJson, int floodAfterLines, int queueMost) {
        level = Level.valueOf(leastLevel.toUpperCase(java.util.Locale.ROOT));
        json = asJson;
        floodAfter = floodAfterLines;
        queue = queueMost;
    }

    static boolean isJson() {
        return json;
    }

    static int queueMost() {
        return queue;
    }

    /** Guards the work of putting values together where nobody would read them. */
    public static boolean isEnabled(Event event) {
        return event.level.compareTo(level) >= 0;
    }

    /** Writes an event with a value for each of its fields. */
    public static void log(Event event, Object... values) {
        if (values.length != event.fields.length) {
            throw new IllegalArgumentException(
                event + " has " + event.fields.length + " fields, not " + values.length);
        }
        // Debug is asked for envelope by envelope: only the queue bounds it.
        if (isEnabled(event)
            && (event.level == Level.DEBUG || FLOOD.admits(event, floodAfter, System.nanoTime()))) {
            write(event, values);
        }
    }

    private static void write(Event event, Object... values) {
        TaggedLogger logger = Loggers.OF.get(event);
        String fields = LineFormat.fields(event.fields, values);
        switch (event.level) {
            case ERROR -> logger.error(fields);
            case WARN -> logger.warn(fields);
            case INFO -> logger.info(fields);
            default -> logger.debug(fields);
        }
    }

    /** What the thread that writes has to say itself. */
    static void sumUp(boolean atOnce, long dropped) {
        FLOOD.sums(System.nanoTime(), atOnce,
            (event, count) -> write(Event.LOG_SUPPRESSED, event.label, count));
        if (dropped > 0) {
            write(Event.LOG_DROPPED, dropped);
        }
    }

    /** Lines dropped since the start. */
    public static long droppedLines() {
        return LinesWriter.droppedEver();
    }

    /** Waits until what was said is written, {@code most} milliseconds at the longest. */
    public static void flush(long most) {
        LinesWriter.flushAll(most);
    }
}
