package yewpath.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;
import yewpath.ledger.FinishedMessages.FinishedMessage;
import yewpath.loop.ClockReading;

/** How long and how many finished messages are known, in one process and over a restart. */
public final class FinishedMessagesTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long MAX_LIVE_BYTES = 400_000;
    private static final long COMPACT_AT_BYTES = 600_000;
    private static final ClockReading FIRST_CLOCK = new ClockReading("boot", 5 * SECOND_MICROS,
        5 * SECOND_MICROS);

    static Ledger open(Path folder, ClockReading clock) throws IOException {
        return new Ledger(folder, MAX_LIVE_BYTES, COMPACT_AT_BYTES, 512, clock);
    }

    private static LedgerEntry accept(Ledger ledger, String id) {
        LedgerEntry entry = ledger.createEntry(id, "order", null, null, null, "7", 99, new byte[20]);
        ledger.recordAccepted(entry);
        return entry;
    }

    @Test
    public void messageIsKnownUntilItsRetentionEnds() {
        FinishedMessages messages = new FinishedMessages(10_000);
        messages.add(new FinishedMessage("a", 100, false, ContentFingerprint.UNKNOWN));
        assertNotNull(messages.find("a", 99 + FinishedMessages.RETENTION_MICROS));
        assertNull(messages.find("a", 100 + FinishedMessages.RETENTION_MICROS));
    }

    /** Guards against an id that is used again after its retention and not known after its second end. */
    @Test
    public void idThatIsUsedAgainAfterItsRetentionIsKnownAgain() {
        FinishedMessages messages = new FinishedMessages(10_000);
        messages.add(new FinishedMessage("a", 100, true, ContentFingerprint.UNKNOWN));
        long secondEndMicros = 100 + FinishedMessages.RETENTION_MICROS;
        messages.add(new FinishedMessage("a", secondEndMicros, false, ContentFingerprint.UNKNOWN));
        assertEquals(messages.find("a", secondEndMicros + 1),
            new FinishedMessage("a", secondEndMicros, false, ContentFingerprint.UNKNOWN));
    }

    /** Guards against a table that grows without limit, or that drops the messages that ended last. */
    @Test
    public void oldestMessagesAreDroppedBeyondTheMaximumSize() {
        FinishedMessages messages = new FinishedMessages(10 * (FinishedMessages.HEAP_BYTES_PER_MESSAGE + 2));
        for (int i = 10; i < 30; i++) {
            messages.add(new FinishedMessage("" + i, i, false, ContentFingerprint.UNKNOWN));
        }
        for (int i = 10; i < 30; i++) {
            assertEquals(messages.find("" + i, 30) != null, i >= 20, "message " + i);
        }
    }

    /** Guards against messages that are forgotten when the ledger is rewritten at a restart. */
    @Test
    public void messagesAreKnownAfterTwoRestartsAndAClockStep() throws IOException {
        Path folder = Files.createTempDirectory("finished");
        Ledger first = open(folder, FIRST_CLOCK);
        LedgerEntry delivered = accept(first, "delivered");
        first.recordDelivered(delivered, 6 * SECOND_MICROS);
        first.recordNoticeOwed(accept(first, "rejected"), true, 0, 6 * SECOND_MICROS);
        first.recordCompleted(accept(first, "withdrawn"));
        assertTrue(first.flush());
        open(folder, new ClockReading("boot", 8 * SECOND_MICROS, 8 * SECOND_MICROS));
        long hourMicros = 3_600 * SECOND_MICROS;
        FinishedMessages last = open(folder,
            new ClockReading("boot", 9 * SECOND_MICROS, hourMicros + 9 * SECOND_MICROS)).finishedMessages();
        assertEquals(last.find("delivered", hourMicros + 9 * SECOND_MICROS),
            new FinishedMessage("delivered", hourMicros + 6 * SECOND_MICROS, false,
                delivered.contentFingerprint));
        assertTrue(last.find("rejected", hourMicros + 9 * SECOND_MICROS).rejected());
        assertNull(last.find("withdrawn", hourMicros + 9 * SECOND_MICROS));
    }

    /** Guards against a file that is rewritten again and again because finished messages fill it. */
    @Test
    public void rewrittenFileLeavesRoomForNewRecords() throws IOException {
        Path folder = Files.createTempDirectory("finished");
        Ledger ledger = open(folder, FIRST_CLOCK);
        for (int i = 0; i < 5_000; i++) {
            ledger.recordDelivered(accept(ledger, "message-number-" + i), 6 * SECOND_MICROS);
            assertTrue(ledger.flush());
        }
        ledger.compact();
        assertTrue(ledger.fileBytes() <= COMPACT_AT_BYTES - MAX_LIVE_BYTES, ledger.fileBytes() + " bytes");
        FinishedMessages known = open(folder, FIRST_CLOCK).finishedMessages();
        assertNotNull(known.find("message-number-4999", 6 * SECOND_MICROS));
    }

    /**
     * Guards against a rewritten file that does not fit beside the old one: live and finished messages
     * together may only take the part of the disk that is meant for live ones.
     */
    @Test
    public void rewrittenFileIsNoLargerThanTheLimitOfLiveEntries() throws IOException {
        Ledger ledger = open(Files.createTempDirectory("finished"), FIRST_CLOCK);
        for (int i = 0; i < 5_000; i++) {
            ledger.recordDelivered(accept(ledger, "message-number-" + i), 6 * SECOND_MICROS);
            assertTrue(ledger.flush());
        }
        LedgerEntry large = largeEntry(ledger);
        while (ledger.hasRoomFor(large)) {
            ledger.recordAccepted(large);
            assertTrue(ledger.flush());
            large = largeEntry(ledger);
        }
        ledger.compact();
        assertTrue(ledger.fileBytes() <= MAX_LIVE_BYTES, ledger.fileBytes() + " bytes");
    }

    private static LedgerEntry largeEntry(Ledger ledger) {
        return ledger.createEntry("large", "order", null, null, null, "7", 99, new byte[20_000]);
    }
}
