package cacheproxy.routing;

/**
 * Admits or rejects requests by tenant: stochastic fair BLUE after "FAIR: Allocating Resources Fairly at Scale" (M.
 * Sathe). A request is rejected with its tenant's probability, the minimum over the levels of a hashed table. Failures
 * raise the probability, successes lower it, and it decays so that a rejected tenant is tried again within seconds. A
 * standby table records the same outcomes with another hash seed and periodically replaces the active one, so that
 * tenants whose buckets collide do not share them for long.
 *
 * <p>Differences from FAIR: steps depend on the tenant's request rate; a failure is weighted by how far the tenant
 * exceeds its quota, compared with the mean request at this proxy; decay slows down while failures continue without a
 * success.
 *
 * <p>A step is the change of the probability (0 to 1) by one outcome; a bucket is saturated at its maximum.
 */
final class TenantAdmission {
    /** Two tenants share the buckets of all levels with probability 64^-3. */
    private static final int LEVELS = 3;

    private static final int BUCKETS_PER_LEVEL = 64;
    private static final double TIME_CONSTANT_US = 3e6;
    /** Several time constants, so that the standby table holds what the active one does when it replaces it. */
    private static final long ROTATION_PERIOD_US = 60_000_000;

    private static final double MIN_STEP = 0.002;
    /** Larger steps overshoot where few requests are admitted. */
    private static final double MAX_STEP = 0.2;
    /** A success lowers the probability by this fraction of a step. */
    private static final double SUCCESS_STEP_FRACTION = 0.01;
    /** Seconds of a tenant's failures that saturate a bucket, if late responses of the class keep their full value. */
    private static final double SECONDS_TO_SATURATION = 5;

    private static final double MIN_SECONDS_TO_SATURATION = 0.16;
    /**
     * Multiple of a step while the probability is below the one that brings the tenant down to its quota, if responses
     * beyond the quota have no value.
     */
    private static final double OVER_QUOTA_STEP_MULTIPLE = 10;
    /** A deadline sooner than this share of the latency objective cannot be met: the request is not demand. */
    private static final double UNMEETABLE_DEADLINE_SHARE = 0.2;
    /** Client retries expected after a rejected or failed request. Below 1, because not every client retries. */
    private static final double EXPECTED_RETRIES_PER_REJECTION = 0.8;

    private static final double MAX_EXPECTED_RETRIES = 1e6;
    /** Uncertainty of the demand and of the quota when they are compared, in requests. */
    private static final double QUOTA_UNCERTAINTY_REQUESTS = 3;

    private static final double MAX_QUOTA_WEIGHT = 4;
    private static final double MEAN_LEARNING_RATE = 1.0 / 64;
    /** Consecutive failures that prove the cache endpoints saturated. */
    private static final double FAILURES_PROVING_OVERLOAD = 3;

    private static final double MAX_OVERLOAD_CERTAINTY = 4;
    /**
     * Largest factor by which decay slows down, which it does because requests that many proxies admit on trial keep
     * saturated endpoints from recovering.
     */
    private static final double MAX_DECAY_SLOWDOWN = 8;

    private final RoutingSettings settings;
    private final SplitMix64 random;
    private final AdmittedRate admittedRate;
    private StochasticFairBlue active;
    private StochasticFairBlue standby;
    private long rotateAtUs;
    /** Requests by tenant, without expected retries and requests whose deadline cannot be met. */
    private final DecayingCounter[] demand;

    private final DecayingCounter[] expectedRetries;
    private final DecayingCounter[] admitted;
    private double meanQuotaRatio = 1;
    private double consecutiveFailures;

    TenantAdmission(
            RoutingSettings settings,
            AdmittedRate admittedRate,
            long activeSeed,
            long standbySeed,
            SplitMix64 random,
            long nowUs) {
        this.settings = settings;
        this.admittedRate = admittedRate;
        this.random = random;
        active = new StochasticFairBlue(LEVELS, BUCKETS_PER_LEVEL, TIME_CONSTANT_US, activeSeed);
        standby = new StochasticFairBlue(LEVELS, BUCKETS_PER_LEVEL, TIME_CONSTANT_US, standbySeed);
        rotateAtUs = nowUs + (long) (ROTATION_PERIOD_US * (0.5 + 0.5 * random.nextDouble()));
        int tenants = Math.max(1, settings.tenants.length);
        demand = DecayingCounter.array(tenants, AdmittedRate.WINDOW_US);
        expectedRetries = DecayingCounter.array(tenants, AdmittedRate.WINDOW_US);
        admitted = DecayingCounter.array(tenants, AdmittedRate.WINDOW_US);
    }

    /** The request's tenant; an unknown one counts as the first. */
    int tenantOf(RoutingRequest request) {
        return request.tenant >= 0 && request.tenant < demand.length ? request.tenant : 0;
    }

    /** To be called for each request, before {@link #rejects}. */
    void recordArrival(RoutingRequest request, int tenant, RequestClass requestClass, long nowUs) {
        if (nowUs >= rotateAtUs) {
            rotate(nowUs);
        }
        admittedRate.recordArrival(nowUs);
        boolean expectedRetry = consumeExpectedRetry(request, tenant, nowUs);
        boolean meetable = request.deadlineAtUs - nowUs >= UNMEETABLE_DEADLINE_SHARE * requestClass.latencyObjectiveUs;
        if (!expectedRetry && meetable) {
            demand[tenant].increment(nowUs);
        }
        meanQuotaRatio += (quotaRatio(tenant, nowUs) - meanQuotaRatio) * MEAN_LEARNING_RATE;
    }

    private void rotate(long nowUs) {
        StochasticFairBlue previous = active;
        active = standby;
        previous.reset(random.next());
        standby = previous;
        rotateAtUs = nowUs + ROTATION_PERIOD_US;
    }

    /**
     * Whether a request is a client's retry of one that was rejected here, which is not additional demand. Marked
     * retries are accepted only up to the number expected after rejections; otherwise a tenant could hide its demand by
     * marking every request.
     */
    private boolean consumeExpectedRetry(RoutingRequest request, int tenant, long nowUs) {
        if (!request.clientRetry || expectedRetries[tenant].get(nowUs) < 1) {
            return false;
        }
        expectedRetries[tenant].add(-1, MAX_EXPECTED_RETRIES, nowUs);
        return true;
    }

    /** The probability with which the tenant's requests are rejected. */
    double rejectionProbability(int tenant, long nowUs) {
        return active.min(tenant, nowUs);
    }

    /** Whether to reject one request: a random draw with {@link #rejectionProbability}. */
    boolean rejects(int tenant, long nowUs) {
        double probability = rejectionProbability(tenant, nowUs);
        return probability > 0 && random.nextDouble() < probability;
    }

    void recordAdmitted(int tenant, long nowUs) {
        admitted[tenant].increment(nowUs);
        admittedRate.recordAdmitted(nowUs);
    }

    /** Records that a request ended without a response that its client can use: the client may retry. */
    void expectClientRetry(int tenant, long nowUs) {
        expectedRetries[tenant].add(EXPECTED_RETRIES_PER_REJECTION, MAX_EXPECTED_RETRIES, nowUs);
    }

    double consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Counts consecutive failures of cache endpoints; while they go on, rejection probabilities decay more slowly. */
    void recordEndpointOutcome(boolean failure, boolean success) {
        if (failure) {
            consecutiveFailures++;
        } else if (success) {
            consecutiveFailures = 0;
        }
        double slowdown = Math.min(MAX_DECAY_SLOWDOWN, 1 + consecutiveFailures / FAILURES_PROVING_OVERLOAD);
        active.setTimeConstant(TIME_CONSTANT_US * slowdown);
        standby.setTimeConstant(TIME_CONSTANT_US * slowdown);
    }

    /**
     * Whether the tenant's demand, as a multiple of its quota, exceeds the mean of that multiple over recent requests,
     * where each request counts with its tenant's multiple.
     */
    boolean exceedsQuotaMoreThanMean(int tenant, long nowUs) {
        return quotaRatio(tenant, nowUs) > meanQuotaRatio;
    }

    /**
     * Applies one outcome to both tables; a request counts as one failure at most. {@code tenantShare}: share of the
     * failure that is not explained by a faulty endpoint or origin.
     */
    void recordOutcome(PendingRequest pending, boolean failure, boolean success, double tenantShare, long nowUs) {
        if (failure ? pending.failureRecorded : !success) {
            return;
        }
        pending.failureRecorded |= failure;
        double step = step(pending, nowUs);
        if (failure) {
            step = failureStep(pending.tenant, step, tenantShare, nowUs);
        } else {
            step *= -SUCCESS_STEP_FRACTION;
        }
        active.add(pending.tenant, step, StochasticFairBlue.MAX_PROBABILITY, nowUs);
        standby.add(pending.tenant, step, StochasticFairBlue.MAX_PROBABILITY, nowUs);
    }

    /** Inversely proportional to the rate: fixed steps would add up faster than they decay at a busy proxy. */
    private double step(PendingRequest pending, long nowUs) {
        double requestsPerSecond = admittedRate.perSecond(admitted[pending.tenant], nowUs);
        double seconds =
                Math.max(MIN_SECONDS_TO_SATURATION, SECONDS_TO_SATURATION * pending.requestClass.lateResponseValue);
        return Math.max(MIN_STEP, Math.min(MAX_STEP, 1 / (requestsPerSecond * seconds + 1e-9)));
    }

    private double failureStep(int tenant, double step, double tenantShare, long nowUs) {
        double stepToQuota = excessShare(tenant, nowUs) - active.min(tenant, nowUs);
        double quotaWeight = quotaWeight(tenant, nowUs);
        double tenantStep = step * tenantShare;
        double multiple = 1 + (OVER_QUOTA_STEP_MULTIPLE - 1) * (1 - settings.overQuotaValue);
        return Math.max(tenantStep * quotaWeight, Math.min(tenantStep * multiple, stepToQuota));
    }

    /**
     * Weight of a failure. Overload makes requests of every tenant fail; the weight grows with the square of how far a
     * tenant exceeds its quota, compared with the mean request, so that tenants over their quota are rejected first.
     */
    private double quotaWeight(int tenant, long nowUs) {
        double ratio = quotaRatio(tenant, nowUs) / Math.max(1e-3, meanQuotaRatio);
        double load = Math.min(1, meanQuotaRatio);
        double certainty = Math.min(MAX_OVERLOAD_CERTAINTY, consecutiveFailures / FAILURES_PROVING_OVERLOAD);
        return Math.min(MAX_QUOTA_WEIGHT, ratio * ratio) * Math.max(load * load, certainty);
    }

    /** Demand as a multiple of the quota; 1 where no quota is set. */
    private double quotaRatio(int tenant, long nowUs) {
        double quota = quotaRequests(tenant, nowUs);
        return quota == 0
                ? 1
                : (demand[tenant].get(nowUs) + QUOTA_UNCERTAINTY_REQUESTS) / (quota + QUOTA_UNCERTAINTY_REQUESTS);
    }

    /** The share of a tenant's demand beyond its quota that is more than one standard error. */
    private double excessShare(int tenant, long nowUs) {
        double quota = quotaRequests(tenant, nowUs);
        double certainDemand = demand[tenant].get(nowUs);
        certainDemand -= Math.sqrt(certainDemand) + QUOTA_UNCERTAINTY_REQUESTS;
        return quota == 0 || certainDemand <= quota ? 0 : 1 - quota / certainDemand;
    }

    /** Requests within the tenant's quota at this proxy, in the observed time; 0: no quota is set. */
    private double quotaRequests(int tenant, long nowUs) {
        if (tenant >= settings.tenants.length || !(settings.tenants[tenant].requestsPerSecond > 0)) {
            return 0;
        }
        return settings.tenants[tenant].requestsPerSecond / settings.proxyCount * admittedRate.observedUs(nowUs) / 1e6;
    }
}
