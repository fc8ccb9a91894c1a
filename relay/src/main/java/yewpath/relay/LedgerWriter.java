package yewpath.relay;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import yewpath.ledger.Ledger;
import yewpath.ledger.LedgerEntry;
import yewpath.loop.EventLoop;

/**
 * Writes the ledger's records. While the state folder can't be written, it withholds the outcomes that are
 * not in the ledger yet.
 */
final class LedgerWriter {
    private static final long MICROS_PER_MILLISECOND = 1_000;
    private static final long RETRY_DELAY_MICROS = 50 * MICROS_PER_MILLISECOND;
    /**
     * A failed write delays the next one by this multiple of its duration, so that failing writes of a
     * large ledger leave most of the time for other work.
     */
    private static final long RETRY_DELAY_PER_WRITE_TIME = 10;
    private static final long FOLDER_CHECK_INTERVAL_MICROS = 100 * MICROS_PER_MILLISECOND;

    private final EventLoop loop;
    private final Ledger ledger;
    private final Consumer<LedgerEntry> outcomeConsumer;
    private final Set<LedgerEntry> unwrittenOutcomes = new LinkedHashSet<>();
    private long retryAtMicros;

    /**
     * Creates a writer and starts to check the state folder.
     *
     * @param outcomeConsumer receives the entries whose outcomes may be sent
     */
    LedgerWriter(EventLoop loop, Ledger ledger, Consumer<LedgerEntry> outcomeConsumer) {
        this.loop = loop;
        this.ledger = ledger;
        this.outcomeConsumer = outcomeConsumer;
        loop.schedule(FOLDER_CHECK_INTERVAL_MICROS, this::checkFolder);
    }

    /**
     * Writes the pending records. After a failure it writes again only after a delay.
     *
     * @return whether all records are written
     */
    boolean flush() {
        boolean failedBefore = !ledger.isWritable();
        long startMicros = loop.nowMicros();
        if (failedBefore && startMicros < retryAtMicros) {
            return false;
        }
        if (!ledger.flush()) {
            scheduleRetry(loop.nowMicros() - startMicros);
            return false;
        }
        if (failedBefore) {
            unwrittenOutcomes.forEach(outcomeConsumer);
            unwrittenOutcomes.clear();
            loop.requestRound();
        }
        return true;
    }

    private void scheduleRetry(long writeMicros) {
        long delayMicros = Math.max(RETRY_DELAY_MICROS, RETRY_DELAY_PER_WRITE_TIME * writeMicros);
        retryAtMicros = loop.nowMicros() + delayMicros;
        loop.schedule(delayMicros, loop::requestRound);
    }

    /**
     * Passes on the outcome of a message when it is written, or at the message's deadline. A restart could
     * forget an outcome that is not written, and the message would be attempted after its outcome was
     * reported; after the deadline it is not attempted any more.
     */
    void notifyOnceWritten(LedgerEntry entry) {
        if (ledger.isWritable()) {
            outcomeConsumer.accept(entry);
            return;
        }
        unwrittenOutcomes.add(entry);
        loop.schedule(entry.deadlineMicros - loop.nowMicros(), () -> {
            if (unwrittenOutcomes.remove(entry)) {
                outcomeConsumer.accept(entry);
            }
        });
    }

    /**
     * Checks regularly whether the ledger file was replaced, and whether a failed folder can be written
     * again.
     */
    private void checkFolder() {
        ledger.checkFileReplaced();
        if (!ledger.isWritable()) {
            loop.requestRound();
        }
        loop.schedule(FOLDER_CHECK_INTERVAL_MICROS, this::checkFolder);
    }
}
