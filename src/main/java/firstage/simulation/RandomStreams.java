package firstage.simulation;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A stream of chance for each actor, told by its kind and number: adding an actor shifts no other's
 * draws, so two choices played on one seed meet the same traffic and the same faults (common random
 * numbers).
 */
public final class RandomStreams {
    private static final RandomGeneratorFactory<RandomGenerator> KIND =
            RandomGeneratorFactory.of("L64X128MixRandom");
    private final long seed;

    public RandomStreams(long seed) {
        this.seed = seed;
    }

    public RandomGenerator stream(String kind, long number) {
        return KIND.create(mix(mix(seed) ^ kind.hashCode()) ^ mix(number + 0x9E3779B97F4A7C15L));
    }

    /** A seed for another such set. */
    public long seed(String kind, long number) {
        return stream(kind, number).nextLong();
    }

    /** The finalizer of SplitMix64: one bit in changes half of those out. */
    private static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ a >>> 27) * 0x94D049BB133111EBL;
        return b ^ b >>> 31;
    }
}
