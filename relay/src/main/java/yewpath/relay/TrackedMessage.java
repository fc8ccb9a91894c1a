package yewpath.relay;

import java.util.ArrayList;
import java.util.List;
import yewpath.delivery.Call;
import yewpath.intake.MessageIntake;
import yewpath.ledger.LedgerEntry;

/**
 * A message and its state in this process. It is kept while the message is open or an attempt is in
 * flight.
 */
final class TrackedMessage {
    final LedgerEntry entry;
    /** The index under which the policy knows the message. */
    final int index;
    /** The index of the affinity key in the key table; -1 if the message has none. */
    final int keyIndex;
    /** The clients that wait for the answer whether the message is accepted; empty for restored messages. */
    final List<MessageIntake.Reply> replies = new ArrayList<>(1);
    /** Whether the message has ended; an attempt may still be in flight. */
    boolean ended;
    /**
     * Whether the message is withdrawn: its clients disconnected before the message was confirmed, or the
     * ledger could not be written. A withdrawn message is not sent any more.
     */
    boolean withdrawn;
    /** The number of attempts, including those of earlier processes, as the policy counts them. */
    int attemptCount;
    int attemptsInFlight;
    /** The time by which the current attempt must be sent completely, set by the policy. */
    long sendByMicros;
    /** The call in flight, or null. */
    Call call;
    /** The message's latest attempt, or null. */
    Call.Attempt attempt;

    TrackedMessage(LedgerEntry entry, int index, int keyIndex) {
        this.entry = entry;
        this.index = index;
        this.keyIndex = keyIndex;
        attemptCount = entry.attempts;
    }

    /** Whether no client has been told yet whether the message is accepted. */
    boolean isAnswerPending() {
        return !replies.isEmpty();
    }

    /** Answers all clients that wait; returns whether one of them is still connected. */
    boolean answer(int status, long retryAfterMicros) {
        // Nobody waits any more, whatever happens below: the outcome of the message is reported by a notice.
        List<MessageIntake.Reply> waiting = List.copyOf(replies);
        replies.clear();
        boolean anyConnected = false;
        for (MessageIntake.Reply reply : waiting) {
            anyConnected |= reply.send(status, retryAfterMicros);
        }
        return anyConnected;
    }
}
