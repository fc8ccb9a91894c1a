package yewpath.events;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * tinylog's writer "lines": a bounded queue and one thread that empties it onto standard error. Guards against a
 * reader of the log that is slow or gone holding up whoever logs.
 */
public final class LinesWriter implements Writer {
    private static final long EVERY = 500_000_000L;
    private static volatile LinesWriter current;

    private final ArrayBlockingQueue<String> waiting = new ArrayBlockingQueue<>(Log.queueMost());
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private final OutputStream out;
    private long toldOfDropped;
    private long summedAt = System.nanoTime();
    private volatile boolean hurried;

    /** As tinylog makes it. */
    public LinesWriter(Map<String, String> properties) {
        this(new FileOutputStream(FileDescriptor.err));
        current = this;
    }

    LinesWriter(OutputStream out) {
        this.out = out;
        Thread thread = new Thread(this::empty, "yewpath-log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.TAG, LogEntryValue.MESSAGE,
            LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        String event = entry.getTag();
        String fields = entry.getMessage();
        if (event == null) {
            event = Event.LIBRARY.label;
            fields = LineFormat.fields(Event.LIBRARY.fields, entry.getMessage(), entry.getException());
        }
        Instant at = entry.getTimestamp() == null ? Instant.now() : entry.getTimestamp().toInstant();
        put(LineFormat.of(Log.isJson(), at, entry.getLevel(), event, fields));
    }

    void put(String line) {
        if (waiting.offer(line)) {
            accepted.incrementAndGet();
        } else {
            dropped.incrementAndGet();
        }
    }

    private void empty() {
        while (true) {
            try {
                String line = waiting.poll(hurried ? 10 : 500, TimeUnit.MILLISECONDS);
                if (line != null) {
                    out.write(line.getBytes(StandardCharsets.US_ASCII));
                    written.incrementAndGet();
                }
            } catch (IOException gone) {
                // Nobody reads any more; there is no other place to say so.
                written.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            if (this == current && now - summedAt > EVERY && waiting.remainingCapacity() > 1) {
                summedAt = now;
                long lost = dropped.get();
                Log.sumUp(false, lost - toldOfDropped);
                toldOfDropped = lost;
            }
        }
    }

    long droppedSoFar() {
        return dropped.get();
    }

    boolean isEmpty() {
        return written.get() >= accepted.get();
    }

    static long droppedEver() {
        LinesWriter writer = current;
        return writer == null ? 0 : writer.droppedSoFar();
    }

    static void flushAll(long most) {
        LinesWriter writer = current;
        if (writer == null) {
            return;
        }
        Log.sumUp(true, 0);
        writer.hurried = true;
        long end = System.nanoTime() + most * 1_000_000;
        while (!writer.isEmpty() && System.nanoTime() < end) {
            try {
                Thread.sleep(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
