package yewpath.lab.core;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers of one cause. Each cause has a stream of its own, seeded by the run's seed and its name, so that a
 * change of one part does not shift the others. Transforms use StrictMath: the same bytes on any machine.
 */
public final class RandomStream {
    private final UniformRandomProvider source;
    private double spare = Double.NaN;

    public RandomStream(long seed, String cause) {
        long mixed = seed;
        for (int i = 0; i < cause.length(); i++) {
            mixed = mixed * 1_099_511_628_211L ^ cause.charAt(i);
        }
        source = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[]{seed, mixed});
    }

    /** Uniform in [0, 1). */
    public double uniform() {
        return source.nextDouble();
    }

    public int nextInt(int bound) {
        return source.nextInt(bound);
    }

    public boolean nextBoolean(double share) {
        return share > 0 && source.nextDouble() < share;
    }

    /** Exponential with this mean: the gaps of a Poisson stream. */
    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - source.nextDouble());
    }

    /** Log-normal with this mean; {@code sigma} of the logarithm, 0 for always the mean. */
    public double logNormal(double mean, double sigma) {
        return sigma == 0 ? mean : mean * StrictMath.exp(sigma * normal() - sigma * sigma / 2);
    }

    /** Box and Muller 1958, both numbers used. */
    private double normal() {
        if (!Double.isNaN(spare)) {
            double kept = spare;
            spare = Double.NaN;
            return kept;
        }
        double radius = StrictMath.sqrt(-2 * StrictMath.log(1 - source.nextDouble()));
        double angle = 2 * StrictMath.PI * source.nextDouble();
        spare = radius * StrictMath.sin(angle);
        return radius * StrictMath.cos(angle);
    }
}
