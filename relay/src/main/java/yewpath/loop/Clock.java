package yewpath.loop;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;

/** The time of one process: Unix time as read at its start, from then on steady whatever is done to the wall clock. */
public final class Clock {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    private final long origin;

    /** Reads the wall clock, once. */
    public Clock() {
        Instant wall = Instant.now();
        origin = wall.getEpochSecond() * 1_000_000 + wall.getNano() / 1000 - monotonicMicros();
    }

    private static long monotonicMicros() {
        return System.nanoTime() / 1000;
    }

    /** Microseconds of Unix time. */
    public long nowMicros() {
        return origin + monotonicMicros();
    }

    /** Returns what another process needs to tell the time by this clock. */
    public ClockReading read() {
        long monotonic = monotonicMicros();
        return new ClockReading(bootId(), monotonic, origin + monotonic);
    }

    private static String bootId() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException e) {
            return ClockReading.UNKNOWN_BOOT;
        }
    }
}
