package cacheproxy.routing;

/**
 * Admits or rejects requests to the origin by a {@link FailureProbability} that all requests share. A class is rejected
 * with that probability to the power of its priority weight, so that classes of higher priority are rejected last.
 */
final class OriginAdmission {
    /** Share of all requests that reach the origin; only the size of steps depends on it. */
    private static final double ORIGIN_REQUEST_SHARE = 0.1;
    /** Multiple of a failure's usual step: above 1, because all proxies share the origin. */
    private static final double FAILURE_WEIGHT = 3;
    /** A write still in flight is weaker evidence than a failed one. */
    private static final double SLOW_WRITE_WEIGHT = FAILURE_WEIGHT * 0.5;

    private static final double MIN_PRIORITY_WEIGHT = 1e-6;

    private final FailureProbability overload = new FailureProbability();
    private final AdmittedRate admittedRate;
    private final SplitMix64 random;
    private final double leastPriorityWeight;

    OriginAdmission(RoutingSettings settings, AdmittedRate admittedRate, SplitMix64 random) {
        this.admittedRate = admittedRate;
        this.random = random;
        double minimum = Double.MAX_VALUE;
        for (RequestClass requestClass : settings.requestClasses) {
            minimum = Math.min(minimum, requestClass.priorityWeight);
        }
        leastPriorityWeight = Math.max(MIN_PRIORITY_WEIGHT, minimum);
    }

    double overloadProbability(long nowUs) {
        return overload.get(nowUs);
    }

    /** Whether to reject one request: a random draw with the probability of its class. */
    boolean rejects(PendingRequest pending, long nowUs) {
        double probability = overload.get(nowUs);
        if (probability == 0) {
            return false;
        }
        double exponent = pending.requestClass.priorityWeight / leastPriorityWeight;
        return random.nextDouble() < Math.pow(probability, exponent);
    }

    void recordOutcome(boolean failure, long nowUs) {
        overload.record(failure, requestsPerSecond(nowUs), FAILURE_WEIGHT, nowUs);
    }

    /** Records a write still in flight when its hedge timer fires, which shows a slow origin before timeouts do. */
    void recordSlowWrite(long nowUs) {
        overload.record(true, requestsPerSecond(nowUs), SLOW_WRITE_WEIGHT, nowUs);
    }

    private double requestsPerSecond(long nowUs) {
        return admittedRate.perSecond(nowUs) * ORIGIN_REQUEST_SHARE;
    }
}
