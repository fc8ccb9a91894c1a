package yewpath.relay;

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
    /** Sends the response to the client; null once it is sent, and for restored messages. */
    MessageIntake.Reply reply;
    /** Whether the message has ended; an attempt may still be in flight. */
    boolean ended;
    /**
     * Whether the message is withdrawn: its client disconnected before the message was confirmed, or the
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
}
