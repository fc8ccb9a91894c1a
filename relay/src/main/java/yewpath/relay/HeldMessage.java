package yewpath.relay;

import yewpath.delivery.Call;
import yewpath.intake.MessageIntake;
import yewpath.ledger.LedgerEntry;

/** One envelope under its index while it is open or a shot of it is out. */
final class HeldMessage {
    final LedgerEntry entry;
    final int index;
    final int key;
    /** Until the client has its answer. */
    MessageIntake.Reply reply;
    boolean over;
    /** Whether the client left without its answer: whatever was to be sent is not. */
    boolean left;
    /** With those of an earlier life, as Logic counts them. */
    int shots;
    int shotsOut;
    /** When the shot that is out must have left, by Logic's word. */
    long leaveBy;
    /** The call that is out, and what of it is this envelope's. */
    Call call;
    Call.Attempt attempt;

    HeldMessage(LedgerEntry entry, int index, int key) {
        this.entry = entry;
        this.index = index;
        this.key = key;
        shots = entry.attempts;
    }
}
