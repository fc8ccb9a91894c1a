package yewpath.loop;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Times are converted by the monotonic clock within one boot, and by the wall clock across boots. */
public final class ClockReadingTest {
    private static final long HOUR_MICROS = 3_600_000_000L;
    private static final ClockReading EARLIER = new ClockReading("boot", 1_000, 2 * HOUR_MICROS);

    @Test
    public void withinOneBootTheOffsetIsTheStepOfTheWallClock() {
        assertEquals(new ClockReading("boot", 1_500, 2 * HOUR_MICROS + 500).offsetMicrosFrom(EARLIER), 0);
        assertEquals(new ClockReading("boot", 1_500, 3 * HOUR_MICROS + 500).offsetMicrosFrom(EARLIER),
            HOUR_MICROS);
        assertEquals(new ClockReading("boot", 1_500, HOUR_MICROS + 500).offsetMicrosFrom(EARLIER),
            -HOUR_MICROS);
    }

    @Test
    public void acrossBootsTheOffsetIsNeverPositive() {
        assertEquals(new ClockReading("next", 5_000, 3 * HOUR_MICROS).offsetMicrosFrom(EARLIER), 0);
        assertEquals(new ClockReading("next", 5_000, HOUR_MICROS).offsetMicrosFrom(EARLIER), -HOUR_MICROS);
        assertEquals(new ClockReading("boot", 500, HOUR_MICROS).offsetMicrosFrom(EARLIER), -HOUR_MICROS);
    }

    @Test
    public void twoUnknownBootsAreNotTheSameBoot() {
        ClockReading earlier = new ClockReading(ClockReading.UNKNOWN_BOOT, 1_000, 2 * HOUR_MICROS);
        ClockReading later = new ClockReading(ClockReading.UNKNOWN_BOOT, 1_500, 3 * HOUR_MICROS);
        assertEquals(later.offsetMicrosFrom(earlier), 0);
    }
}
