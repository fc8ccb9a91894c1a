package yewpath.json;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Objects and empty lines are found in the same way however the stream is divided into chunks. */
public final class JsonObjectSplitterTest {
    private static final String STREAM = "\n{\"a\":1}\n\n  {\n  \"b\": [ {\"c\": \"}{\\\"\"},\n\n -1.5e3 ]\r\n}\r\n"
        + "{}{\"\u00e4\":null}\n\n";
    /** The objects of the stream; an empty line is an empty string. */
    private static final List<String> EXPECTED = List.of("", "{\"a\":1}", "",
        "{\n  \"b\": [ {\"c\": \"}{\\\"\"},\n\n -1.5e3 ]\r\n}", "{}",
        "{\"\u00e4\":null}", "");

    private final List<String> received = new ArrayList<>();
    private JsonObjectSplitter splitter;

    private void createSplitter() {
        received.clear();
        splitter = new JsonObjectSplitter(bytes -> received.add(new String(bytes, StandardCharsets.UTF_8)),
            () -> received.add(""));
    }

    private void feed(byte[] bytes, int start, int end) {
        splitter.feed(Arrays.copyOfRange(bytes, start, end), 1_000);
    }

    @Test
    public void resultDoesNotDependOnChunkBoundaries() {
        byte[] stream = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int first = 0; first <= stream.length; first++) {
            for (int second = first; second <= stream.length; second++) {
                createSplitter();
                feed(stream, 0, first);
                feed(stream, first, second);
                feed(stream, second, stream.length);
                assertEquals(received, EXPECTED, "chunks end at " + first + " and " + second);
                assertFalse(splitter.isIncomplete());
            }
        }
    }

    @DataProvider
    public Object[][] invalidStreams() {
        return new Object[][]{{"hello"}, {"[1]"}, {"7 "}, {"\"x\" "}, {"{\"a\":1,\n{"}, {"{\"a\":\"x\ny"},
            {"{\"a\" 1"}, {"}"}, {"null "}};
    }

    @Test(dataProvider = "invalidStreams")
    public void invalidStreamIsRejectedImmediately(String text) {
        createSplitter();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        expectThrows(IllegalArgumentException.class, () -> feed(bytes, 0, bytes.length));
        assertTrue(received.isEmpty());
    }

    @Test
    public void lengthOfUnfinishedObjectIsLimited() {
        createSplitter();
        byte[] more = " ".repeat(100).getBytes(StandardCharsets.UTF_8);
        feed("{\"a\":".getBytes(StandardCharsets.UTF_8), 0, 5);
        assertTrue(splitter.isIncomplete());
        expectThrows(IllegalArgumentException.class, () -> {
            for (int i = 0; i < 20; i++) {
                feed(more, 0, more.length);
            }
        });
    }
}
