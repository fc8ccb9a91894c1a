package yewpath.loop;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;

/**
 * The clock of one process. It reads the wall clock once and adds the time of the monotonic clock, so later
 * changes of the system time do not affect it.
 */
public final class Clock {
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /**
     * Unix time at which the monotonic clock would read 0, by the wall clock as it was at the start of the
     * process.
     */
    private final long monotonicOriginUnixMicros;

    /** Creates a clock that starts at the current wall-clock time. */
    public Clock() {
        Instant wallClock = Instant.now();
        monotonicOriginUnixMicros = wallClock.getEpochSecond() * 1_000_000 + wallClock.getNano() / 1000
            - monotonicMicros();
    }

    private static long monotonicMicros() {
        return System.nanoTime() / 1000;
    }

    /** Returns the time of this clock in microseconds of Unix time. */
    public long nowMicros() {
        return monotonicOriginUnixMicros + monotonicMicros();
    }

    /** Returns a reading with which another process can convert times of this clock to its own time. */
    public ClockReading read() {
        long monotonic = monotonicMicros();
        return new ClockReading(bootId(), monotonic, monotonicOriginUnixMicros + monotonic);
    }

    private static String bootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip();
        } catch (IOException exception) {
            return ClockReading.UNKNOWN_BOOT;
        }
    }
}
