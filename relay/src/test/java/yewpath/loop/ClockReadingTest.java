package yewpath.loop;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Times are taken over by the monotonic clock within a boot, and by the wall clock across boots. */
public final class ClockReadingTest {
    private static final long HOUR = 3_600_000_000L;
    private static final ClockReading EARLIER = new ClockReading("boot", 1_000, 2 * HOUR);

    @Test
    public void withinABootAStepOfTheWallClockIsTheOffset() {
        assertEquals(new ClockReading("boot", 1_500, 2 * HOUR + 500).offsetMicrosFrom(EARLIER), 0);
        assertEquals(new ClockReading("boot", 1_500, 3 * HOUR + 500).offsetMicrosFrom(EARLIER), HOUR);
        assertEquals(new ClockReading("boot", 1_500, HOUR + 500).offsetMicrosFrom(EARLIER), -HOUR);
    }

    @Test
    public void acrossBootsTimeDoesNotRunBack() {
        assertEquals(new ClockReading("next", 5_000, 3 * HOUR).offsetMicrosFrom(EARLIER), 0);
        assertEquals(new ClockReading("next", 5_000, HOUR).offsetMicrosFrom(EARLIER), -HOUR);
        assertEquals(new ClockReading("boot", 500, HOUR).offsetMicrosFrom(EARLIER), -HOUR);
    }

    @Test
    public void twoBootsThatAreNotToldAreNotOne() {
        ClockReading earlier = new ClockReading(ClockReading.UNKNOWN_BOOT, 1_000, 2 * HOUR);
        ClockReading later = new ClockReading(ClockReading.UNKNOWN_BOOT, 1_500, 3 * HOUR);
        assertEquals(later.offsetMicrosFrom(earlier), 0);
    }
}
