package cacheproxy.routing;

/**
 * Avoids cache endpoints that fail more than others. Each endpoint has a {@link FailureProbability}; it is passed over
 * for the keys whose hash falls below that probability. The hash depends on the key and the endpoint alone, so that all
 * proxies move the same keys first, and move them to the same endpoint.
 */
final class OutlierDetector {
    /** A timeout, a late response or an attempt still in flight is weaker evidence than an error or a reset. */
    static final double WEAK_EVIDENCE_WEIGHT = 0.5;

    /** At a proxy with few requests, a probability persists for about this many requests to the endpoint. */
    private static final double REMEMBERED_REQUESTS = 2;

    private static final double MAX_TIME_CONSTANT_US = 60e6;
    private static final double MEAN_LEARNING_RATE = 1.0 / 64;

    private final EndpointTable table;
    private final AdmittedRate admittedRate;
    private double meanProbability;

    OutlierDetector(EndpointTable table, AdmittedRate admittedRate) {
        this.table = table;
        this.admittedRate = admittedRate;
    }

    void recordOutcome(Endpoint endpoint, boolean failure, double failureWeight, long nowUs) {
        double requestsPerSecond = admittedRate.perSecond(nowUs) / Math.max(1, table.readyCount);
        endpoint.failureProbability.record(failure, requestsPerSecond, failureWeight, nowUs);
        double timeConstantUs = Math.min(MAX_TIME_CONSTANT_US, REMEMBERED_REQUESTS / requestsPerSecond * 1e6);
        endpoint.failureProbability.setTimeConstant(Math.max(FailureProbability.TIME_CONSTANT_US, timeConstantUs));
    }

    boolean passesOver(Endpoint endpoint, long key, long nowUs) {
        double probability = endpoint.failureProbability.get(nowUs);
        if (probability == 0) {
            return false;
        }
        return SplitMix64.toUnitInterval(SplitMix64.mix(key - 31 * SplitMix64.mix(endpoint.id))) < probability;
    }

    /**
     * The endpoint's failure probability less the mean over recent outcomes, where each outcome counts with the
     * probability of its endpoint; negative if this endpoint fails less.
     */
    double excessProbability(Endpoint endpoint, long nowUs) {
        return endpoint.failureProbability.get(nowUs) - meanProbability;
    }

    /** Includes an outcome at this endpoint in the mean. */
    void updateMean(Endpoint endpoint, long nowUs) {
        meanProbability += (endpoint.failureProbability.get(nowUs) - meanProbability) * MEAN_LEARNING_RATE;
    }
}
