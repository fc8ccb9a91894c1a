package yewpath.events;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.tinylog.Level;

/** Lines that hold whatever a client sent, floods, and a reader of the log that does not read. */
public final class EventsTest {
    private static final String[] ONE = {"id"};

    @Test
    public void whatComesFromOutsideStaysOneLineOfReadableJson() throws IOException {
        String bad = "a\"b\\c\n\r\u0000\u001b[2J\u007f\u0085\u2028\ud800x\u00e9";
        for (boolean json : new boolean[]{true, false}) {
            String line = LineFormat.of(json, Instant.EPOCH, Level.INFO, "envelope.taken",
                LineFormat.fields(ONE, bad));
            assertEquals(line.indexOf('\n'), line.length() - 1, line);
            assertTrue(line.chars().allMatch(c -> c == '\n' || c >= ' ' && c < 127), line);
            try (JsonParser at = new JsonFactory().createParser(line.substring(line.indexOf('{')))) {
                String id = null;
                while (at.nextToken() != null) {
                    id = "id".equals(at.currentName()) ? at.getText() : id;
                }
                assertEquals(id, bad);
            }
        }
    }

    @Test
    public void longTextsAreCut() {
        assertTrue(LineFormat.fields(ONE, "x".repeat(100_000)).length() < 300);
    }

    @Test
    public void aFloodIsCountedAndSummedUpAndOtherEventsGoOn() {
        EventRateLimiter flood = new EventRateLimiter();
        int written = 0;
        for (int i = 0; i < 1000; i++) {
            written += flood.admits(Event.CLIENT_EVICTED, 20, 1_000_000L * i / 2) ? 1 : 0;
        }
        assertEquals(written, 20);
        assertTrue(flood.admits(Event.ENDPOINT_UNHEALTHY, 20, 500_000_000L));
        List<String> told = new ArrayList<>();
        flood.sums(900_000_000L, false, (event, count) -> told.add(event.label + " " + count));
        assertEquals(told, List.of(), "its second is not over");
        flood.sums(1_000_000_000L, false, (event, count) -> told.add(event.label + " " + count));
        assertEquals(told, List.of("client.evicted 980"));
        assertTrue(flood.admits(Event.CLIENT_EVICTED, 20, 1_000_000_001L), "the next second begins anew");
    }

    @Test
    public void aReaderThatDoesNotReadHoldsNobodyUpAndWhatIsDroppedIsCounted() throws Exception {
        CountDownLatch reads = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        OutputStream stuck = new OutputStream() {
            @Override
            public void write(int b) {
                throw new UnsupportedOperationException();
            }

            @Override
            public void write(byte[] bytes) throws IOException {
                try {
                    reads.await(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                read.write(bytes);
            }
        };
        LinesWriter writer = new LinesWriter(stuck);
        int said = 3 * Log.queueMost();
        for (int i = 0; i < said; i++) {
            writer.put("line\n");
        }
        assertFalse(writer.isEmpty());
        long dropped = writer.droppedSoFar();
        assertTrue(dropped >= said - Log.queueMost() - 1, "dropped " + dropped);
        reads.countDown();
        while (!writer.isEmpty()) {
            Thread.sleep(5);
        }
        assertEquals(read.size() / 5 + dropped, said, "each line is written or counted");
    }
}
