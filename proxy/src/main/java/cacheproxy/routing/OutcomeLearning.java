package cacheproxy.routing;

/**
 * Passes the outcome of an attempt to the policies that adapt to it, and attributes a failure to the origin, to the
 * endpoint or, as overload, to the tenant.
 */
final class OutcomeLearning {
    private final RoutingSettings settings;
    private final EndpointTable table;
    private final TenantAdmission tenants;
    private final OriginAdmission origin;
    private final OutlierDetector outliers;
    private final SlowStartLimiter slowStart;
    private final HedgingPolicy hedging;
    private final RetryBudget retryBudget;

    OutcomeLearning(
            RoutingSettings settings,
            EndpointTable table,
            TenantAdmission tenants,
            OriginAdmission origin,
            OutlierDetector outliers,
            SlowStartLimiter slowStart,
            HedgingPolicy hedging,
            RetryBudget retryBudget) {
        this.settings = settings;
        this.table = table;
        this.tenants = tenants;
        this.origin = origin;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.hedging = hedging;
        this.retryBudget = retryBudget;
    }

    /** Records an attempt that was sent and not cancelled. {@code latencyUs}: the time it took. */
    void record(
            PendingRequest pending,
            Endpoint endpoint,
            AttemptOutcome outcome,
            CacheResult cacheResult,
            long latencyUs,
            long nowUs) {
        boolean fromOrigin = table.isOrigin(endpoint);
        boolean responded = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.MISS;
        boolean missesObjective = latencyUs > pending.requestClass.latencyObjectiveUs;
        boolean fetched = !settings.cacheAside
                && !pending.write
                && cacheResult != CacheResult.HIT
                && cacheResult != CacheResult.NONE;
        if (fromOrigin || fetched) {
            origin.recordOutcome(!responded || fetched && missesObjective, nowUs);
        }
        if (!fromOrigin && (responded || !fetched)) {
            boolean weakEvidence = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.OK;
            double weight = weakEvidence ? OutlierDetector.WEAK_EVIDENCE_WEIGHT : 1;
            outliers.recordOutcome(endpoint, !responded || missesObjective && !fetched, weight, nowUs);
        }
        if (outcome == AttemptOutcome.OK) {
            learnFromSuccess(pending, endpoint, fromOrigin, latencyUs, nowUs);
        }
        if (!pending.concluded) {
            learnAboutTenant(pending, endpoint, outcome, fromOrigin, fetched, nowUs);
        }
    }

    private void learnFromSuccess(
            PendingRequest pending, Endpoint endpoint, boolean fromOrigin, long latencyUs, long nowUs) {
        if (!fromOrigin && !table.isWarmingUp(endpoint, nowUs)) {
            slowStart.recordServedByWarm(nowUs);
        }
        if (!pending.write) {
            hedging.recordLatency(latencyUs);
        }
        retryBudget.earn();
    }

    private void learnAboutTenant(
            PendingRequest pending,
            Endpoint endpoint,
            AttemptOutcome outcome,
            boolean fromOrigin,
            boolean fetched,
            long nowUs) {
        boolean success = outcome == AttemptOutcome.OK;
        boolean failure = isTenantFailure(pending, outcome, nowUs);
        if (!fromOrigin) {
            tenants.recordEndpointOutcome(failure, success);
        }
        double tenantShare = 1 - Math.max(0, explainedShare(pending, endpoint, fromOrigin || fetched, nowUs));
        outliers.updateMean(endpoint, nowUs);
        tenants.recordOutcome(pending, failure, success, tenantShare, nowUs);
    }

    /** Whether an outcome shows overload. With cache-aside, errors do not: they are attributed to the endpoint. */
    private boolean isTenantFailure(PendingRequest pending, AttemptOutcome outcome, long nowUs) {
        return switch (outcome) {
            case OK, MISS -> nowUs - pending.arrivedUs > pending.requestClass.latencyObjectiveUs;
            case TIMEOUT, OVERLOADED -> true;
            case ERROR -> !settings.cacheAside;
            default -> false;
        };
    }

    /**
     * The share of a failure that is explained by an overloaded origin or by an endpoint that fails more than others,
     * and is not attributed to the tenant. A tenant that exceeds its quota more than the mean is charged in full for
     * failures at endpoints.
     */
    private double explainedShare(PendingRequest pending, Endpoint endpoint, boolean byOrigin, long nowUs) {
        if (byOrigin) {
            return origin.overloadProbability(nowUs);
        }
        if (tenants.exceedsQuotaMoreThanMean(pending.tenant, nowUs)) {
            return 0;
        }
        return outliers.excessProbability(endpoint, nowUs);
    }
}
