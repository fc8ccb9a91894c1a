package yewpath.loop;

/**
 * One moment as a process told it: by its own Unix time, and by the monotonic clock, which all processes share from one
 * boot of the machine to the next.
 */
public record ClockReading(String bootId, long monotonicMicros, long unixMicros) {
    /** The boot id where the system does not tell one; never the same boot as any other. */
    public static final String UNKNOWN_BOOT = "";

    /**
     * Returns what to add to a Unix time of the process that took the earlier reading to have it in the time of this one.
     * Within one boot the monotonic clock tells; across boots only the wall clock is left, and time never runs back.
     */
    public long offsetMicrosFrom(ClockReading earlier) {
        long passed = monotonicMicros - earlier.monotonicMicros;
        if (!bootId.equals(UNKNOWN_BOOT) && bootId.equals(earlier.bootId) && passed >= 0) {
            return unixMicros - (earlier.unixMicros + passed);
        }
        return Math.min(0, unixMicros - earlier.unixMicros);
    }
}
