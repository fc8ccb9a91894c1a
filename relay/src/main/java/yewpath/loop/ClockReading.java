package yewpath.loop;

/**
 * A moment as read by one process: on its own Unix-time clock, and on the monotonic clock, which all
 * processes share during one boot of the machine.
 *
 * @param bootId identifies the boot of the machine, or {@link #UNKNOWN_BOOT}
 * @param monotonicMicros the monotonic clock in microseconds
 * @param unixMicros the clock of the process in microseconds of Unix time
 */
public record ClockReading(String bootId, long monotonicMicros, long unixMicros) {
    /** The boot id if the system does not provide one; it never counts as the same boot as any other. */
    public static final String UNKNOWN_BOOT = "";

    /**
     * Returns the microseconds to add to a time of the process that took the earlier reading, to convert it
     * to the time of the process that took this reading. Within one boot the offset follows from the
     * monotonic clock. Across boots only the wall clock is available; the offset is then at most 0, and such
     * that the earlier reading, once converted, is not later than this one.
     */
    public long offsetMicrosFrom(ClockReading earlier) {
        long elapsedMicros = monotonicMicros - earlier.monotonicMicros;
        if (!bootId.equals(UNKNOWN_BOOT) && bootId.equals(earlier.bootId) && elapsedMicros >= 0) {
            return unixMicros - (earlier.unixMicros + elapsedMicros);
        }
        return Math.min(0, unixMicros - earlier.unixMicros);
    }
}
