package yewpath.relay;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import yewpath.ledger.LedgerEntry;
import yewpath.ledger.Ledger;
import yewpath.loop.EventLoop;

/** Writes the ledger's records, and holds back ends that could not be written down while the folder fails. */
final class LedgerWriter {
    private static final long MILLISECOND = 1_000;
    private static final long WRITE_AGAIN_AFTER = 50 * MILLISECOND;
    /** Writing a large log in vain leaves most of the time for other work. */
    private static final long PAUSE_PER_ATTEMPT = 10;
    private static final long FOLDER_CHECK_EVERY = 100 * MILLISECOND;

    private final EventLoop loop;
    private final Ledger ledger;
    private final Consumer<LedgerEntry> tell;
    private final Set<LedgerEntry> unwrittenEnds = new LinkedHashSet<>();
    private long writeAgainAt;

    /** {@code tell} is handed the ends that may be told. */
    LedgerWriter(EventLoop loop, Ledger ledger, Consumer<LedgerEntry> tell) {
        this.loop = loop;
        this.ledger = ledger;
        this.tell = tell;
        loop.schedule(FOLDER_CHECK_EVERY, this::checkFolder);
    }

    /** Whether all records are written; while the folder fails it is tried again from time to time only. */
    boolean flush() {
        boolean failedBefore = !ledger.isWritable();
        long begun = loop.nowMicros();
        if (failedBefore && begun < writeAgainAt) {
            return false;
        }
        if (!ledger.flush()) {
            writeAgainLater(loop.nowMicros() - begun);
            return false;
        }
        if (failedBefore) {
            unwrittenEnds.forEach(tell);
            unwrittenEnds.clear();
            loop.requestRound();
        }
        return true;
    }

    private void writeAgainLater(long attemptTook) {
        long pause = Math.max(WRITE_AGAIN_AFTER, PAUSE_PER_ATTEMPT * attemptTook);
        writeAgainAt = loop.nowMicros() + pause;
        loop.schedule(pause, loop::requestRound);
    }

    /**
     * An end that is not written down could be forgotten by a restart, and the message tried after its end was told; once
     * its time is up nobody tries it any more.
     */
    void tellOnceWritten(LedgerEntry entry) {
        if (ledger.isWritable()) {
            tell.accept(entry);
            return;
        }
        unwrittenEnds.add(entry);
        loop.schedule(entry.deadlineMicros - loop.nowMicros(), () -> {
            if (unwrittenEnds.remove(entry)) {
                tell.accept(entry);
            }
        });
    }

    private void checkFolder() {
        ledger.checkFileReplaced();
        if (!ledger.isWritable()) {
            loop.requestRound();
        }
        loop.schedule(FOLDER_CHECK_EVERY, this::checkFolder);
    }
}
