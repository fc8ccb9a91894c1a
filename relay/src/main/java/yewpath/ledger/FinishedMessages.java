package yewpath.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The messages that ended recently, by their ids. A request that repeats the id of an open message may be
 * read only after that message has ended, and must not be accepted as a new message then.
 */
public final class FinishedMessages {
    /**
     * A message that has ended.
     *
     * @param id the request id that the client gave the message
     * @param finishedMicros when it ended, in Unix microseconds by the clock of this process
     * @param rejected whether it was rejected, so that the client may submit it again under another id
     * @param contentFingerprint see {@link ContentFingerprint}
     */
    public record FinishedMessage(String id, long finishedMicros, boolean rejected, int contentFingerprint) {
        private int heapBytes() {
            return HEAP_BYTES_PER_MESSAGE + id.length();
        }
    }

    /** Longer than a request can wait in a connection before it is read. */
    static final long RETENTION_MICROS = 60_000_000;
    /** The size of a message in the heap without the characters of its id. */
    static final int HEAP_BYTES_PER_MESSAGE = 160;

    private final Map<String, FinishedMessage> messages = new LinkedHashMap<>();
    private final long maxHeapBytes;
    private long heapBytes;

    /**
     * Creates an empty table.
     *
     * @param maxHeapBytes the size beyond which the messages that ended first are dropped before their time
     */
    FinishedMessages(long maxHeapBytes) {
        this.maxHeapBytes = maxHeapBytes;
    }

    /** Returns the message that ended recently under this id, or null. */
    public FinishedMessage find(String id, long nowMicros) {
        FinishedMessage message = messages.get(id);
        return message == null || isExpired(message, nowMicros) ? null : message;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Adds a message; one that is known under its id already stays as it is. */
    void add(FinishedMessage message) {
        removeOldestWhile(oldest -> isExpired(oldest, message.finishedMicros));
        if (messages.putIfAbsent(message.id, message) == null) {
            heapBytes += message.heapBytes();
            removeOldestWhile(oldest -> heapBytes > maxHeapBytes);
        }
    }

    private void removeOldestWhile(Predicate<FinishedMessage> condition) {
        Iterator<FinishedMessage> oldestFirst = messages.values().iterator();
        while (oldestFirst.hasNext()) {
            FinishedMessage oldest = oldestFirst.next();
            if (!condition.test(oldest)) {
                return;
            }
            oldestFirst.remove();
            heapBytes -= oldest.heapBytes();
        }
    }

    private static boolean isExpired(FinishedMessage message, long nowMicros) {
        return message.finishedMicros + RETENTION_MICROS <= nowMicros;
    }

    /** Converts the times of messages that another process added, by adding the difference of the clocks. */
    void shiftTimes(long offsetMicros) {
        messages.replaceAll((id, message) -> new FinishedMessage(id, message.finishedMicros + offsetMicros,
            message.rejected, message.contentFingerprint));
    }

    /**
     * Returns the records of the messages that ended last, in the order of their ends.
     *
     * @param maxBytes the limit on the size of all records together
     */
    Collection<byte[]> records(long maxBytes) {
        return LatestRecords.within(maxBytes, new ArrayList<>(messages.values()), RecordFormat::finished);
    }
}
