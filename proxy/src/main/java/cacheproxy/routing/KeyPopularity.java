package cacheproxy.routing;

/**
 * Counts requests by key and determines over how many endpoint pairs a key is spread. Only a key that would overload
 * its endpoints by itself is spread, over as many pairs as it needs. The hashed table of {@link StochasticFairBlue}
 * holds the counts here; nothing is rejected.
 */
final class KeyPopularity {
    private static final double TIME_CONSTANT_US = 20e6;
    private static final int LEVELS = 3;
    private static final int BUCKETS_PER_LEVEL = 256;
    /** Below this many earlier requests, decayed, a key is not popular. */
    private static final double MIN_EARLIER_REQUESTS = 0.3;
    /** A key is spread if its requests alone reach this share of an endpoint's average requests. */
    private static final double POPULAR_ENDPOINT_SHARE = 0.5;

    private final StochasticFairBlue countsByKey;
    private final DecayingCounter total = new DecayingCounter(TIME_CONSTANT_US);

    KeyPopularity(long seed) {
        countsByKey = new StochasticFairBlue(LEVELS, BUCKETS_PER_LEVEL, TIME_CONSTANT_US, seed);
    }

    void record(long key, long nowUs) {
        countsByKey.add(key, 1, Double.MAX_VALUE, nowUs);
        total.increment(nowUs);
    }

    /** Number of endpoint pairs over which the key is spread; to be called after {@link #record}. */
    int pairs(long key, int readyEndpoints, long nowUs) {
        double all = total.get(nowUs);
        // without this request and the expected hash collisions
        double earlier = countsByKey.min(key, nowUs) - 1 - all / BUCKETS_PER_LEVEL;
        double pairs = 1;
        if (earlier >= MIN_EARLIER_REQUESTS) {
            pairs = 1 + earlier / all * readyEndpoints / POPULAR_ENDPOINT_SHARE;
        }
        return (int) Math.min(readyEndpoints, pairs);
    }
}
