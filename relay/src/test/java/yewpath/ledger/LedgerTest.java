package yewpath.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import yewpath.loop.ClockReading;

/** What the ledger file holds after a flush and after it was rewritten. */
public final class LedgerTest {
    private static final ClockReading NOW = new ClockReading("boot", 40, 40);

    private Path folder;
    private Path file;

    @BeforeMethod
    public void prepareFolder() throws IOException {
        folder = Files.createTempDirectory("ledger");
        file = folder.resolve("ledger");
    }

    private Ledger open() throws IOException {
        return new Ledger(folder, 400_000, 600_000, 512, NOW);
    }

    private static LedgerEntry accept(Ledger ledger, String id) {
        LedgerEntry entry = ledger.createEntry(id, "order", null, null, null, "7", 99, new byte[20]);
        ledger.recordAccepted(entry);
        return entry;
    }

    @Test
    public void recordsOfOneFlushAreReplayedTogetherOrNotAtAll() throws IOException {
        Ledger ledger = open();
        int lengthBefore = (int) Files.size(file);
        accept(ledger, "a");
        accept(ledger, "b");
        assertTrue(ledger.flush());
        byte[] complete = Files.readAllBytes(file);
        for (int length = lengthBefore; length <= complete.length; length++) {
            Files.write(file, Arrays.copyOf(complete, length));
            assertEquals(open().size(), length == complete.length ? 2 : 0,
                "truncated to length " + length);
        }
    }

    @Test
    public void discardedEntriesAreNotWritten() throws IOException {
        Ledger ledger = open();
        LedgerEntry refused = accept(ledger, "refused");
        accept(ledger, "kept");
        ledger.discard(refused);
        assertTrue(ledger.flush());
        assertEquals(open().entries().iterator().next().id, "kept");
        assertEquals(open().size(), 1);
    }

    /** Earlier versions skip batch records, so a shutdown must leave a file without them. */
    @Test
    public void compactedFileHoldsNoBatchRecord() throws IOException {
        Ledger ledger = open();
        accept(ledger, "a");
        accept(ledger, "b");
        ledger.flush();
        assertTrue(hasBatchRecord());
        ledger.compact();
        assertFalse(hasBatchRecord());
        assertEquals(open().size(), 2);
    }

    private boolean hasBatchRecord() throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        int position = 0;
        while (position < bytes.length) {
            if (bytes[position + RecordFormat.HEADER_BYTES] == Ledger.TYPE_BATCH) {
                return true;
            }
            position += RecordFormat.HEADER_BYTES + ByteBuffer.wrap(bytes).getInt(position);
        }
        return false;
    }
}
