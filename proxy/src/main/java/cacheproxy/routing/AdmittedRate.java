package cacheproxy.routing;

/**
 * The rate of requests that this proxy admits. Counts decay over {@link #WINDOW_US}; until the proxy has run for that
 * long they cover a shorter time, {@link #observedUs}.
 */
final class AdmittedRate {
    static final double WINDOW_US = 10e6;
    /** Added to the observed time, because the first second says little about a rate. */
    private static final double START_ALLOWANCE_US = 1e6;

    private final DecayingCounter admitted = new DecayingCounter(WINDOW_US);
    /** Arrival of the first request; MIN_VALUE: none yet. */
    private long startedUs = Long.MIN_VALUE;

    void recordArrival(long nowUs) {
        startedUs = startedUs == Long.MIN_VALUE ? nowUs : startedUs;
    }

    void recordAdmitted(long nowUs) {
        admitted.increment(nowUs);
    }

    /** The time that counts cover, in microseconds. */
    double observedUs(long nowUs) {
        return startedUs == Long.MIN_VALUE ? 0 : WINDOW_US * (1 - Math.exp((startedUs - nowUs) / WINDOW_US));
    }

    double perSecond(long nowUs) {
        return perSecond(admitted, nowUs);
    }

    /** {@code counter}: decays over {@link #WINDOW_US} as well. */
    double perSecond(DecayingCounter counter, long nowUs) {
        return counter.get(nowUs) / (observedUs(nowUs) + START_ALLOWANCE_US) * 1e6;
    }
}
