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

/** Log lines with hostile content, rate limiting of events, and a standard error that nobody reads. */
public final class EventsTest {
    private static final String[] ID_FIELD = {"id"};

    @Test
    public void hostileContentStaysOneLineOfValidJson() throws IOException {
        String hostileId = "a\"b\\c\n\r\u0000\u001b[2J\u007f\u0085\u2028\ud800x\u00e9";
        for (boolean json : new boolean[]{true, false}) {
            String line = LineFormat.formatLine(json, Instant.EPOCH, Level.INFO, "envelope.taken",
                LineFormat.formatFields(ID_FIELD, hostileId));
            assertEquals(line.indexOf('\n'), line.length() - 1, line);
            assertTrue(
                line.chars().allMatch(character -> character == '\n' || character >= ' ' && character < 127),
                line);
            try (JsonParser parser = new JsonFactory().createParser(line.substring(line.indexOf('{')))) {
                String id = null;
                while (parser.nextToken() != null) {
                    id = "id".equals(parser.currentName()) ? parser.getText() : id;
                }
                assertEquals(id, hostileId);
            }
        }
    }

    @Test
    public void longTextsAreTruncated() {
        assertTrue(LineFormat.formatFields(ID_FIELD, "x".repeat(100_000)).length() < 300);
    }

    @Test
    public void frequentEventIsSuppressedAndCountedWithoutAffectingOthers() {
        EventRateLimiter limiter = new EventRateLimiter();
        int written = 0;
        for (int i = 0; i < 1000; i++) {
            written += limiter.tryAcquire(Event.CLIENT_EVICTED, 20, 1_000_000L * i / 2) ? 1 : 0;
        }
        assertEquals(written, 20);
        assertTrue(limiter.tryAcquire(Event.ENDPOINT_UNHEALTHY, 20, 500_000_000L));
        List<String> reported = new ArrayList<>();
        limiter.reportSuppressed(900_000_000L, false,
            (event, count) -> reported.add(event.label + " " + count));
        assertEquals(reported, List.of(), "the second of the event has not ended");
        limiter.reportSuppressed(1_000_000_000L, false,
            (event, count) -> reported.add(event.label + " " + count));
        assertEquals(reported, List.of("client.evicted 980"));
        assertTrue(limiter.tryAcquire(Event.CLIENT_EVICTED, 20, 1_000_000_001L),
            "the next second allows lines again");
    }

    @Test
    public void blockedOutputDoesNotBlockLoggingAndDroppedLinesAreCounted() throws Exception {
        CountDownLatch outputUnblocked = new CountDownLatch(1);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        OutputStream blockedOutput = new OutputStream() {
            @Override
            public void write(int singleByte) {
                throw new UnsupportedOperationException();
            }

            @Override
            public void write(byte[] bytes) throws IOException {
                try {
                    outputUnblocked.await(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                output.write(bytes);
            }
        };
        LinesWriter writer = new LinesWriter(blockedOutput);
        int queued = 3 * Log.maxQueuedLines();
        for (int i = 0; i < queued; i++) {
            writer.enqueue("line\n");
        }
        assertFalse(writer.isEmpty());
        long dropped = writer.droppedLines();
        assertTrue(dropped >= queued - Log.maxQueuedLines() - 1, "dropped " + dropped);
        outputUnblocked.countDown();
        while (!writer.isEmpty()) {
            Thread.sleep(5);
        }
        assertEquals(output.size() / 5 + dropped, queued,
            "each line is either written or counted as dropped");
    }
}
