package yewpath.relay;

import java.util.Arrays;
import yewpath.boot.KeyTable;
import yewpath.boot.NameTable;
import yewpath.ledger.LedgerEntry;

/**
 * The messages in this process, under small indices. An index is reused once its message has ended and no
 * attempt is in flight.
 */
final class MessageTable {
    private final NameTable ids = new NameTable();
    private final KeyTable keys;
    private TrackedMessage[] messages = new TrackedMessage[64];
    private int openCount;

    /**
     * Creates an empty table.
     *
     * @param settleAfterUncertainMicros how long a key is paused after an attempt with unknown outcome; a
     *     key keeps its index longer than that
     */
    MessageTable(long settleAfterUncertainMicros) {
        keys = new KeyTable(settleAfterUncertainMicros);
    }

    /** Returns the number of messages that have not ended. */
    int openCount() {
        return openCount;
    }

    /** Returns the message with this id, also an ended one with an attempt in flight; null if there is none. */
    TrackedMessage find(String id) {
        int index = ids.find(id);
        return index < 0 ? null : messages[index];
    }

    /** Returns the message under an index, or null. */
    TrackedMessage get(int index) {
        return messages[index];
    }

    /** Adds an open message. */
    TrackedMessage add(LedgerEntry entry, long nowMicros) {
        int index = ids.getOrAdd(entry.id);
        messages = index >= messages.length ? Arrays.copyOf(messages, index * 2) : messages;
        messages[index] = new TrackedMessage(entry, index,
            entry.key == null ? -1 : keys.acquire(entry.key, nowMicros));
        openCount++;
        return messages[index];
    }

    /** Marks a message as ended, and frees its index if possible. */
    void end(TrackedMessage message, long nowMicros) {
        openCount -= message.ended ? 0 : 1;
        message.ended = true;
        release(message, nowMicros);
    }

    /** Frees the index of a message if the message has ended and no attempt can report to it any more. */
    void release(TrackedMessage message, long nowMicros) {
        if (message.ended && message.attemptsInFlight == 0 && messages[message.index] == message) {
            keys.release(message.keyIndex, nowMicros);
            messages[message.index] = null;
            ids.release(message.index);
        }
    }
}
