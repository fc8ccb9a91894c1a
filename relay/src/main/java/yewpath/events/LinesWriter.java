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
 * The tinylog writer "lines": a bounded queue and a thread that writes its lines to standard error. A slow or
 * stopped reader of standard error therefore never blocks the threads that log.
 */
public final class LinesWriter implements Writer {
    private static final long REPORT_INTERVAL_NANOS = 500_000_000L;
    private static volatile LinesWriter current;

    private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(Log.maxQueuedLines());
    private final AtomicLong droppedLines = new AtomicLong();
    private final AtomicLong acceptedLines = new AtomicLong();
    private final AtomicLong writtenLines = new AtomicLong();
    private final OutputStream output;
    private long reportedDroppedLines;
    private long lastReportNanos = System.nanoTime();
    private volatile boolean flushing;

    /** Creates the writer of standard error; called by tinylog. */
    public LinesWriter(Map<String, String> properties) {
        this(new FileOutputStream(FileDescriptor.err));
        current = this;
    }

    LinesWriter(OutputStream output) {
        this.output = output;
        Thread thread = new Thread(this::writeQueuedLines, "yewpath-log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.TAG, LogEntryValue.MESSAGE,
            LogEntryValue.EXCEPTION);
    }

    /** Queues an entry; an entry without a tag comes from a library instead of {@link Log}. */
    @Override
    public void write(LogEntry entry) {
        String event = entry.getTag();
        String fields = entry.getMessage();
        if (event == null) {
            event = Event.LIBRARY.label;
            fields = LineFormat.formatFields(Event.LIBRARY.fields, entry.getMessage(), entry.getException());
        }
        Instant time = entry.getTimestamp() == null ? Instant.now() : entry.getTimestamp().toInstant();
        enqueue(LineFormat.formatLine(Log.isJson(), time, entry.getLevel(), event, fields));
    }

    /** Adds a line to the queue, or drops and counts it if the queue is full. */
    void enqueue(String line) {
        if (queue.offer(line)) {
            acceptedLines.incrementAndGet();
        } else {
            droppedLines.incrementAndGet();
        }
    }

    private void writeQueuedLines() {
        while (true) {
            try {
                String line = queue.poll(flushing ? 10 : 500, TimeUnit.MILLISECONDS);
                if (line != null) {
                    output.write(line.getBytes(StandardCharsets.US_ASCII));
                    writtenLines.incrementAndGet();
                }
            } catch (IOException readerClosed) {
                // Standard error has no reader any more, and there is no other place to report that.
                writtenLines.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            if (this == current && now - lastReportNanos > REPORT_INTERVAL_NANOS
                && queue.remainingCapacity() > 1) {
                lastReportNanos = now;
                long dropped = droppedLines.get();
                Log.reportUnwrittenLines(false, dropped - reportedDroppedLines);
                reportedDroppedLines = dropped;
            }
        }
    }

    long droppedLines() {
        return droppedLines.get();
    }

    /** Whether every line that entered the queue has been written. */
    boolean isEmpty() {
        return writtenLines.get() >= acceptedLines.get();
    }

    /** Returns the lines that tinylog's writer has dropped; 0 before the first line. */
    static long currentDroppedLines() {
        LinesWriter writer = current;
        return writer == null ? 0 : writer.droppedLines();
    }

    /** Waits until tinylog's writer has written all lines of its queue, {@code timeoutMillis} at most. */
    static void flushCurrent(long timeoutMillis) {
        LinesWriter writer = current;
        if (writer == null) {
            return;
        }
        Log.reportUnwrittenLines(true, 0);
        writer.flushing = true;
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!writer.isEmpty() && System.nanoTime() < deadlineNanos) {
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
