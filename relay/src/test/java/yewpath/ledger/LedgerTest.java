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

/** What a flush and a rewrite leave in the file. */
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

    private static LedgerEntry take(Ledger ledger, String id) {
        LedgerEntry entry = ledger.createEntry(id, "order", null, null, null, "7", 99, new byte[20]);
        ledger.recordAccepted(entry);
        return entry;
    }

    @Test
    public void whatOneFlushWritesIsReadBackWholeOrNotAtAll() throws IOException {
        Ledger ledger = open();
        int before = (int) Files.size(file);
        take(ledger, "a");
        take(ledger, "b");
        assertTrue(ledger.flush());
        byte[] whole = Files.readAllBytes(file);
        for (int length = before; length <= whole.length; length++) {
            Files.write(file, Arrays.copyOf(whole, length));
            assertEquals(open().size(), length == whole.length ? 2 : 0, "cut at " + length);
        }
    }

    @Test
    public void whatWasDiscardedIsNotWritten() throws IOException {
        Ledger ledger = open();
        LedgerEntry refused = take(ledger, "refused");
        take(ledger, "kept");
        ledger.discard(refused);
        assertTrue(ledger.flush());
        assertEquals(open().entries().iterator().next().id, "kept");
        assertEquals(open().size(), 1);
    }

    /** Earlier versions pass over batches: a shutdown leaves a file that they can take up. */
    @Test
    public void aCompactedFileHoldsNoBatch() throws IOException {
        Ledger ledger = open();
        take(ledger, "a");
        take(ledger, "b");
        ledger.flush();
        assertTrue(hasBatch());
        ledger.compact();
        assertFalse(hasBatch());
        assertEquals(open().size(), 2);
    }

    private boolean hasBatch() throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        int at = 0;
        while (at < bytes.length) {
            if (bytes[at + RecordFormat.FRAME] == Ledger.BATCH) {
                return true;
            }
            at += RecordFormat.FRAME + ByteBuffer.wrap(bytes).getInt(at);
        }
        return false;
    }
}
