package cacheproxy.routing;

/**
 * When a hedged request is sent: once an attempt exceeds the mean latency of reads by four mean deviations, as in the
 * calculation of TCP's retransmission timeout, within bounds given by the latency objective.
 */
final class HedgingPolicy {
    /** Bounds of the delay, as shares of the latency objective. */
    static final double MIN_OBJECTIVE_SHARE = 0.3;

    private static final double MAX_OBJECTIVE_SHARE = 0.6;
    private static final double DEVIATIONS = 4;
    private static final double SMOOTHING_DIVISOR = 8;

    private double meanLatencyUs;
    private double meanDeviationUs;

    /** Records the latency of a successful read. */
    void recordLatency(long latencyUs) {
        meanDeviationUs += (Math.abs(latencyUs - meanLatencyUs) - meanDeviationUs) / SMOOTHING_DIVISOR;
        meanLatencyUs += (latencyUs - meanLatencyUs) / SMOOTHING_DIVISOR;
    }

    long delayUs(RequestClass requestClass) {
        double objectiveUs = requestClass.latencyObjectiveUs;
        double expectedUs = meanLatencyUs + DEVIATIONS * meanDeviationUs;
        return (long)
                Math.max(MIN_OBJECTIVE_SHARE * objectiveUs, Math.min(MAX_OBJECTIVE_SHARE * objectiveUs, expectedUs));
    }
}
