package firstage.simulation;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Independent random number generators, one for each actor, identified by kind and number. Adding
 * an actor changes no draw of another one, so two policies simulated with one seed get the same
 * traffic and the same faults (common random numbers).
 */
public final class RandomStreams {
    private static final RandomGeneratorFactory<RandomGenerator> ALGORITHM =
            RandomGeneratorFactory.of("L64X128MixRandom");
    private final long seed;

    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** Returns a new generator at the start of this actor's stream. */
    public RandomGenerator stream(String kind, long number) {
        return ALGORITHM.create(
                mix(mix(seed) ^ kind.hashCode()) ^ mix(number + 0x9E3779B97F4A7C15L));
    }

    /** Returns a seed drawn from the stream of this actor. */
    public long seed(String kind, long number) {
        return stream(kind, number).nextLong();
    }

    /**
     * Applies the finalizer of SplitMix64: each input bit changes about half of the output bits.
     */
    private static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ a >>> 27) * 0x94D049BB133111EBL;
        return b ^ b >>> 31;
    }
}
