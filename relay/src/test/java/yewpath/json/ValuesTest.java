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

/** Objects and empty lines are the same wherever their bytes are cut. */
public final class ValuesTest {
    private static final String TEXT = "\n{\"a\":1}\n\n  {\n  \"b\": [ {\"c\": \"}{\\\"\"},\n\n -1.5e3 ]\r\n}\r\n{}{\"\u00e4\":null}\n\n";
    private static final List<String> CUT = List.of("", "{\"a\":1}", "",
        "{\n  \"b\": [ {\"c\": \"}{\\\"\"},\n\n -1.5e3 ]\r\n}", "{}",
        "{\"\u00e4\":null}", "");

    private final List<String> heard = new ArrayList<>();
    private JsonObjectSplitter values;

    private void begin() {
        heard.clear();
        values = new JsonObjectSplitter(bytes -> heard.add(new String(bytes, StandardCharsets.UTF_8)),
            () -> heard.add(""));
    }

    private void feed(byte[] bytes, int from, int to) {
        values.feed(Arrays.copyOfRange(bytes, from, to), 1_000);
    }

    @Test
    public void areTheSameWhereverTheyAreCut() {
        byte[] text = TEXT.getBytes(StandardCharsets.UTF_8);
        for (int first = 0; first <= text.length; first++) {
            for (int second = first; second <= text.length; second++) {
                begin();
                feed(text, 0, first);
                feed(text, first, second);
                feed(text, second, text.length);
                assertEquals(heard, CUT, "cut at " + first + " and " + second);
                assertFalse(values.isIncomplete());
            }
        }
    }

    @DataProvider
    public Object[][] garbage() {
        return new Object[][]{{"hello"}, {"[1]"}, {"7 "}, {"\"x\" "}, {"{\"a\":1,\n{"}, {"{\"a\":\"x\ny"},
            {"{\"a\" 1"}, {"}"}, {"null "}};
    }

    @Test(dataProvider = "garbage")
    public void whatCanBecomeNoObjectIsToldAtOnce(String text) {
        begin();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        expectThrows(IllegalArgumentException.class, () -> feed(bytes, 0, bytes.length));
        assertTrue(heard.isEmpty());
    }

    @Test
    public void oneThatNeverEndsIsBounded() {
        begin();
        byte[] more = " ".repeat(100).getBytes(StandardCharsets.UTF_8);
        feed("{\"a\":".getBytes(StandardCharsets.UTF_8), 0, 5);
        assertTrue(values.isIncomplete());
        expectThrows(IllegalArgumentException.class, () -> {
            for (int i = 0; i < 20; i++) {
                feed(more, 0, more.length);
            }
        });
    }
}
