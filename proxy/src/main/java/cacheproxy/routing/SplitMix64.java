package cacheproxy.routing;

/** The SplitMix64 generator: all randomness of a router, from its seed alone. */
final class SplitMix64 {
    private static final long GAMMA = 0x9e3779b97f4a7c15L;

    private long state;

    SplitMix64(long seed) {
        state = seed;
    }

    long next() {
        state += GAMMA;
        return mix(state);
    }

    /** Uniform in [0, 1). */
    double nextDouble() {
        return toUnitInterval(next());
    }

    /** The finalizer of SplitMix64, used as a 64-bit hash. */
    static long mix(long h) {
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }

    /** Maps the upper 53 bits of a hash to [0, 1). */
    static double toUnitInterval(long hash) {
        return (hash >>> 11) * 0x1p-53;
    }
}
