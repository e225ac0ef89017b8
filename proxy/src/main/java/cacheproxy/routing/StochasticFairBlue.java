package cacheproxy.routing;

import java.util.Arrays;

/**
 * The bucket table of stochastic fair BLUE (Feng et al.), as used by "FAIR: Allocating Resources Fairly at Scale" (M.
 * Sathe): each id hashes to one bucket on every level, and its value is the minimum over the levels, so that ids that
 * collide on one level only do not share a value. Values decay exponentially. Times are in microseconds.
 */
final class StochasticFairBlue {
    /** Upper bound of a probability, so that a few requests are still sent and detect a recovery. */
    static final double MAX_PROBABILITY = 0.98;

    /** Each level uses its own hash bits; deriving them from another level's would make common collisions likely. */
    private static final int HASH_BITS_PER_LEVEL = 20;

    private final int levels;
    private final int buckets;
    private double timeConstantUs;
    private final float[] values;
    private final long[] updatedUs;
    private long seed;

    /** {@code buckets}: buckets per level, a power of two. */
    StochasticFairBlue(int levels, int buckets, double timeConstantUs, long seed) {
        this.levels = levels;
        this.buckets = buckets;
        this.timeConstantUs = timeConstantUs;
        this.seed = seed;
        values = new float[levels * buckets];
        updatedUs = new long[levels * buckets];
    }

    private int bucket(long hash, int level) {
        return level * buckets + ((int) (hash >>> level * HASH_BITS_PER_LEVEL) & buckets - 1);
    }

    /** The least value among the id's buckets. */
    double min(long id, long nowUs) {
        long hash = SplitMix64.mix(id ^ seed);
        double minimum = Double.MAX_VALUE;
        for (int level = 0; level < levels && minimum > 0; level++) {
            int bucket = bucket(hash, level);
            double value = DecayingCounter.decayed(values[bucket], updatedUs[bucket], nowUs, timeConstantUs);
            minimum = Math.min(minimum, value);
        }
        return minimum;
    }

    /** Adds a step, up or down, to the id's bucket of each level, within 0 and {@code max}. */
    void add(long id, double step, double max, long nowUs) {
        long hash = SplitMix64.mix(id ^ seed);
        for (int level = 0; level < levels; level++) {
            int bucket = bucket(hash, level);
            double value = DecayingCounter.decayed(values[bucket], updatedUs[bucket], nowUs, timeConstantUs) + step;
            values[bucket] = (float) Math.max(0, Math.min(max, value));
            updatedUs[bucket] = nowUs;
        }
    }

    /** Applies from each bucket's last update on. */
    void setTimeConstant(double us) {
        timeConstantUs = us;
    }

    /** Clears all values and changes the hash function. */
    void reset(long newSeed) {
        Arrays.fill(values, 0);
        seed = newSeed;
    }
}
