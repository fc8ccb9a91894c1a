package yewpath.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.standins.script.Script;
import yewpath.standins.script.Step;

/** Checks the meaning of script lines and the errors for lines that are not valid. */
public final class ScriptTest {
    private static final long MS = 1_000, S = 1_000_000;
    private final SplittableRandom random = new SplittableRandom(1);

    @Test
    public void lastLineInForceDecides() {
        Script script = Script
            .parse("0 s: answer 200 after 5ms\n\n1s-2s: silent # now\n1500 ms - 2 s: answer 429 wait 0.5 s");
        assertEquals(script.nextStep(999 * MS, random), new Step(Step.Action.ANSWER, 200, 5 * MS, 0));
        assertEquals(script.nextStep(1 * S, random).action(), Step.Action.SILENT);
        assertEquals(script.nextStep(1_500 * MS, random), new Step(Step.Action.ANSWER, 429, 0, 500 * MS));
        assertEquals(script.nextStep(2 * S, random).status(), 200);
        assertEquals(Script.parse("").nextStep(0, random), new Step(Step.Action.ANSWER, 200, 0, 0));
    }

    @Test
    public void shareAndEveryApplyToTheirPartOfTheCalls() {
        Script everySeventh = Script.parse("0 s: reset last every 7");
        List<Integer> resetCalls = IntStream.range(0, 21)
            .filter(call -> everySeventh.nextStep(0, random).action() == Step.Action.RESET_LAST).boxed()
            .toList();
        assertEquals(resetCalls, List.of(6, 13, 20));
        Script shareOfCalls = Script.parse("0 s: garble share 0.2");
        long garbled = IntStream.range(0, 10_000)
            .filter(call -> shareOfCalls.nextStep(0, random).action() == Step.Action.GARBLE)
            .count();
        assertTrue(garbled > 1_800 && garbled < 2_200, "garbled " + garbled);
        Script delayRange = Script.parse("0 s: answer 200 after 10 ms to 20 ms");
        assertTrue(IntStream.range(0, 1_000).mapToLong(call -> delayRange.nextStep(0, random).delayMicros())
            .allMatch(delay -> delay >= 10 * MS && delay < 20 * MS));
    }

    @Test
    public void statesBeginAndEndAtTheirTimes() {
        Script script = Script.parse("1 s - 2 s: refuse\n3 s: drain\n4 s: gone\n0 s: answer 503");
        assertEquals(script.stateChangeTimes(), List.of(1 * S, 2 * S, 3 * S, 4 * S));
        assertTrue(script.isInState(Step.Action.REFUSE, 1 * S) && !script.isInState(Step.Action.REFUSE, 2 * S)
            && script.isInState(Step.Action.DRAIN, 9 * S));
        assertTrue(!script.nextStep(0, random).takesEffect()
            && !Script.parse("0 s: reset midway").nextStep(0, random).takesEffect()
            && Script.parse("0 s: answer 500").nextStep(0, random).takesEffect());
    }

    @DataProvider
    public Object[][] invalidLines() {
        return new Object[][]{
            {"0 s answer 200", "colon"}, {"0: silent", "unit|too soon|us, ms and s"},
            {"1 h: silent", "us, ms and s"},
            {"2 s - 1 s: silent", "ends before it begins"}, {"0 s: sulk", "unknown act sulk"},
            {"0 s: reset twice", "unknown act reset twice"},
            {"0 s: answer", "too soon"}, {"0 s: answer 99", "not a number from"},
            {"0 s: answer 200 share 1.5", "not a number from"},
            {"0 s: answer 200 every 0", "not a number from"},
            {"0 s: answer 200 after 3 ms to 2 ms", "less than the first"},
            {"0 s: drain share 0.5", "nothing follows drain"},
            {"0 s: silent quickly", "unknown word quickly"},
        };
    }

    @Test(dataProvider = "invalidLines")
    public void errorNamesTheInvalidLine(String line, String expectedText) {
        String message = expectThrows(IllegalArgumentException.class,
            () -> Script.parse("0 s: silent\n" + line))
            .getMessage();
        assertTrue(message.startsWith("line 2: ") && message.matches("(?s).*(" + expectedText + ").*"),
            message);
    }
}
