package yewpath.lab.core;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of random numbers for one purpose of a run, such as network delays. Each stream is seeded by the
 * seed of the run and by its name, so that a change in how one part of the emulator draws numbers does not
 * shift the numbers of the others. The transforms use {@link StrictMath}, which gives the same results on
 * every machine. Not thread-safe.
 */
public final class RandomStream {
    /** Multiplier of the FNV-1 hash with 64 bits. */
    private static final long HASH_MULTIPLIER = 1_099_511_628_211L;

    private final UniformRandomProvider source;
    /** Second number of the last Box-Muller pair, or NaN if it has been used. */
    private double spareNormal = Double.NaN;

    public RandomStream(long seed, String name) {
        long nameHash = seed;
        for (int i = 0; i < name.length(); i++) {
            nameHash = nameHash * HASH_MULTIPLIER ^ name.charAt(i);
        }
        source = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[]{seed, nameHash});
    }

    /** Returns a number uniformly distributed in [0, 1). */
    public double uniform() {
        return source.nextDouble();
    }

    /** Returns an integer uniformly distributed from 0 (inclusive) to {@code bound} (exclusive). */
    public int nextInt(int bound) {
        return source.nextInt(bound);
    }

    /** Returns true with this probability; draws no number if the probability is 0. */
    public boolean nextBoolean(double probability) {
        return probability > 0 && source.nextDouble() < probability;
    }

    /**
     * Returns an exponentially distributed number, such as the time between two arrivals of a Poisson
     * process.
     */
    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - source.nextDouble());
    }

    /**
     * Returns a log-normally distributed number.
     *
     * @param sigma standard deviation of the logarithm; 0 returns {@code mean} and draws no number
     */
    public double logNormal(double mean, double sigma) {
        return sigma == 0 ? mean : mean * StrictMath.exp(sigma * normal() - sigma * sigma / 2);
    }

    /**
     * Returns a number of the standard normal distribution (Box and Muller 1958, both numbers of a pair are
     * used).
     */
    private double normal() {
        if (!Double.isNaN(spareNormal)) {
            double spare = spareNormal;
            spareNormal = Double.NaN;
            return spare;
        }
        double radius = StrictMath.sqrt(-2 * StrictMath.log(1 - source.nextDouble()));
        double angle = 2 * StrictMath.PI * source.nextDouble();
        spareNormal = radius * StrictMath.sin(angle);
        return radius * StrictMath.cos(angle);
    }
}
