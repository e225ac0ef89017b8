package cacheproxy.routing;

/**
 * Limits the requests to an endpoint that is warming up. Two limits apply together:
 *
 * <ul>
 *   <li>Keys: all proxies admit the same growing share of the endpoint's keys, because each miss costs it extra work.
 *       Popular keys and retries are excluded, because they would be added to that share.
 *   <li>Rate: permits bound the requests whatever their keys, because a client may request only the admitted keys.
 * </ul>
 *
 * <p>An endpoint collapses when all proxies together send it {@code collapseMultiple} times its present capacity for
 * {@code collapseUs}. Its capacity is its weight's share of all tenants' quotas, or of what warm endpoints served here
 * where no quotas are set. Each proxy issues its own share of the permits from the settings alone, without knowing what
 * others send. A permit expires after {@code collapseUs}; otherwise unused permits of all proxies could be used at the
 * same time. The proxies' permits are staggered, so that the total also holds where one proxy's share is less than one
 * request. Times are in microseconds.
 */
final class SlowStartLimiter {
    /** Share of the collapse multiple that is permitted; unexpired permits can double it within one window. */
    private static final double PERMITTED_SHARE = 0.35;
    /** Share of the capacity that the admitted keys may use at the start. */
    private static final double INITIAL_KEY_SHARE = 0.4;

    private static final double SERVED_WINDOW_US = 10e6;

    private final boolean rateLimited;
    private final double permitMultiple;
    private final double collapseUs;
    private final double slowStartUs;
    private final double initialCapacity;
    /** Staggers the permits of the proxies: this proxy's offset in permits, at least 0 and below 1. */
    private final double staggerOffset;

    private final double quotaPerUs;
    private final double minPermitsPerUs;
    private final DecayingCounter servedByWarm = new DecayingCounter(SERVED_WINDOW_US);

    SlowStartLimiter(RoutingSettings settings) {
        rateLimited = settings.collapseMultiple > 0 && settings.collapseUs > 0 && settings.slowStartUs > 0;
        permitMultiple = PERMITTED_SHARE * settings.collapseMultiple;
        collapseUs = settings.collapseUs;
        slowStartUs = settings.slowStartUs;
        initialCapacity = settings.slowStartInitialCapacity;
        staggerOffset = (double) settings.proxyIndex / settings.proxyCount;
        double quotas = 0;
        for (TenantQuota tenant : settings.tenants) {
            quotas += tenant.requestsPerSecond;
        }
        quotaPerUs = quotas / settings.proxyCount / 1e6;
        minPermitsPerUs = rateLimited ? 1 / (collapseUs * settings.proxyCount) : 0;
    }

    /** Records that a warm endpoint has served a request. */
    void recordServedByWarm(long nowUs) {
        servedByWarm.increment(nowUs);
    }

    /** Whether an endpoint that is warming up may be sent this request. */
    boolean admits(Endpoint endpoint, PendingRequest pending, long key, double totalWeight, long nowUs) {
        if (pending.popular || pending.attempts > 0 || !hasPermit(endpoint, totalWeight, nowUs)) {
            return false;
        }
        double warmUpProgress = warmUpProgress(endpoint, nowUs);
        double keyShare = INITIAL_KEY_SHARE + (1 - INITIAL_KEY_SHARE) * warmUpProgress;
        double hash = SplitMix64.toUnitInterval(SplitMix64.mix(key + 31 * SplitMix64.mix(endpoint.id)));
        return hash < capacity(warmUpProgress) * keyShare;
    }

    /** Whether an endpoint that is warming up may be sent one more request. */
    boolean hasPermit(Endpoint endpoint, double totalWeight, long nowUs) {
        if (!rateLimited) {
            return true;
        }
        issuePermits(endpoint, totalWeight, nowUs);
        return nextPermit(endpoint) <= Math.floor(endpoint.permits + staggerOffset);
    }

    /** Records that a request is sent to the endpoint, after {@link #hasPermit}. */
    void usePermit(Endpoint endpoint) {
        endpoint.lastUsedPermit = nextPermit(endpoint);
    }

    private double nextPermit(Endpoint endpoint) {
        double expired = Math.floor(endpoint.permits - endpoint.permitsPerUs * collapseUs + staggerOffset);
        return Math.max(endpoint.lastUsedPermit, expired) + 1;
    }

    /** Permits are numbered by the integral of their rate since the endpoint's start. */
    private void issuePermits(Endpoint endpoint, double totalWeight, long nowUs) {
        if (endpoint.permitsSinceUs != endpoint.startedUs) {
            endpoint.permitsSinceUs = endpoint.startedUs;
            endpoint.permitsIssuedUs = endpoint.startedUs; // the same for all proxies, which staggers their permits
            endpoint.permits = 0;
            endpoint.lastUsedPermit = 0;
        }
        double capacity = capacity(warmUpProgress(endpoint, nowUs));
        double totalPerUs = quotaPerUs > 0 ? quotaPerUs : servedByWarm.get(nowUs) / SERVED_WINDOW_US;
        double weightShare = endpoint.weight / Math.max(endpoint.weight, totalWeight);
        endpoint.permitsPerUs = Math.max(minPermitsPerUs, permitMultiple * capacity * totalPerUs * weightShare);
        endpoint.permits += endpoint.permitsPerUs * Math.max(0, nowUs - endpoint.permitsIssuedUs);
        endpoint.permitsIssuedUs = Math.max(endpoint.permitsIssuedUs, nowUs);
    }

    /** From 0 at the endpoint's start to 1 after the slow-start time. */
    private double warmUpProgress(Endpoint endpoint, long nowUs) {
        return Math.min(1, Math.max(0, (nowUs - endpoint.startedUs) / slowStartUs));
    }

    /** Present capacity as a share of the full capacity. */
    private double capacity(double warmUpProgress) {
        return initialCapacity + (1 - initialCapacity) * warmUpProgress;
    }
}
