package cacheproxy.discovery;

import java.util.SplittableRandom;

/**
 * Computes the delay before a failed call is retried. While there is a deadline by which a call must succeed, the delay
 * is a fraction of the time left: at an overloaded service, the callers with the least time left retry most often.
 * Without a deadline the delay doubles with each consecutive failure. Both are bounded, and the delay is drawn at
 * random between half and one and a half times the computed value, so that proxies whose calls failed together do not
 * retry together.
 */
final class BackoffPolicy {
    /** Limits the shift; the delay has reached its bound long before. */
    private static final int MAX_DOUBLINGS = 16;

    /** How many delays fit into the time left before the deadline. */
    private static final int DELAYS_IN_TIME_LEFT = 4;

    private final int initialDelayMs;
    private final int maxDelayMs;
    private final SplittableRandom random;
    private int consecutiveFailures;

    /** {@code maxDelayMs} bounds the delay before the random draw, which returns at most one and a half times that. */
    BackoffPolicy(int initialDelayMs, int maxDelayMs, SplittableRandom random) {
        this.initialDelayMs = initialDelayMs;
        this.maxDelayMs = maxDelayMs;
        this.random = random;
    }

    /** Records a failure and returns the delay in milliseconds, where there is no deadline. */
    int nextDelayMs(long callDurationMs) {
        return nextDelayMs(callDurationMs, 0);
    }

    /**
     * Records a failure and returns the delay in milliseconds, with {@code timeLeftMs} left until the deadline; 0 or
     * less means that there is no deadline, or that it has passed. The duration of the failed call is subtracted, but
     * not below the initial delay: a call that an overloaded service has kept waiting is retried soon.
     */
    int nextDelayMs(long callDurationMs, long timeLeftMs) {
        int delayMs = withJitter(Math.min(maxDelayMs, timeLeftMs > 0 ? fractionOf(timeLeftMs) : doubledDelayMs()));
        long remainingMs = delayMs - Math.max(0, callDurationMs);
        return (int) Math.max(remainingMs, withJitter(Math.min(maxDelayMs, initialDelayMs)));
    }

    private long fractionOf(long timeLeftMs) {
        consecutiveFailures = 0;
        return Math.max(initialDelayMs, timeLeftMs / DELAYS_IN_TIME_LEFT);
    }

    private long doubledDelayMs() {
        long delayMs = (long) initialDelayMs << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        consecutiveFailures++;
        return delayMs;
    }

    private int withJitter(long delayMs) {
        int meanMs = (int) Math.max(1, delayMs);
        // At least 1 ms, or a call that fails at once would be retried in a busy loop.
        return Math.max(1, meanMs / 2 + random.nextInt(meanMs));
    }

    /** Starts over: the next failure counts as the first. */
    void reset() {
        consecutiveFailures = 0;
    }
}
