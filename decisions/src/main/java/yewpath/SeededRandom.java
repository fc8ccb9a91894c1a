package yewpath;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Pseudo-random numbers: checksums of a seed and a counter, so that the same events lead to the same decisions on
 * any machine.
 */
final class SeededRandom {
    /** Checksums are below this. */
    private static final double CHECKSUM_RANGE = 0x1p32;

    private final long seed;
    private long draws;

    SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns the next number, uniform in [0, 1). */
    double next() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(seed).putLong(draws++).flip());
        return crc.getValue() / CHECKSUM_RANGE;
    }
}
