package cacheproxy.limits;

/**
 * A token bucket: allows a burst of up to its capacity, then a steady rate. Initially full. The caller passes the time
 * in microseconds; a clock that jumps forward adds at most the capacity, one that goes backward adds nothing.
 */
public final class TokenBucket {
    private static final double US_PER_S = 1e6;

    private final double tokensPerS;
    private final double capacity;
    private double tokens;
    private long lastRefillUs;

    public TokenBucket(double tokensPerS, double capacity, long nowUs) {
        this.tokensPerS = tokensPerS;
        this.capacity = capacity;
        tokens = capacity;
        lastRefillUs = nowUs;
    }

    /** Takes a token; returns false if there is none. */
    public boolean tryConsume(long nowUs) {
        tokens = Math.min(capacity, tokens + Math.max(0, nowUs - lastRefillUs) / US_PER_S * tokensPerS);
        lastRefillUs = Math.max(lastRefillUs, nowUs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
