package cacheproxy.routing;

/**
 * The settings of one router, fixed for its lifetime. Durations are in microseconds. Fields whose names end in
 * {@code Price} or {@code Weight} describe the score that a deployment is measured by: a weight is one part's share of
 * the score, a price the share lost for the amount that its comment states.
 */
public final class RoutingSettings {
    /** Added to the connect timeout for connections that opened late because the proxy itself was paused. */
    private static final long LATE_CONNECT_ALLOWANCE_US = 200_000;

    /** This proxy's index among {@link #proxyCount}. */
    public int proxyIndex;

    public int proxyCount = 1;
    public int zone;
    public RequestClass[] requestClasses = new RequestClass[0];
    public TenantQuota[] tenants = new TenantQuota[0];
    /** True: a miss is reported and the router sends to the origin; false: endpoints fetch for themselves. */
    public boolean cacheAside;
    /** Cache-aside: the endpoint kind that marks the origin; -1 where there is none. */
    public int originKind = -1;
    /** True: the endpoint list is received only after a subscription or a fetch. */
    public boolean subscribeRequired;

    public boolean cancellationAllowed;
    public boolean healthChecksAllowed;
    /** Whether a second attempt may be sent while the first is in flight. */
    public boolean hedgingAllowed;

    public boolean retryAfterAllowed;
    public long maxRetryAfterUs;
    /** Most attempts of one request. */
    public int maxAttempts = 1;
    /** Most requests in progress at the same time. */
    public int maxOpenRequests = Integer.MAX_VALUE;
    /** Granularity of timers. */
    public long timerGranularityUs;
    /** The proxy closes a connection after this long without use. */
    public long idleTimeoutUs = 5_000_000;
    /** An attempt without an open connection after this long fails as CONNECT_FAILED; 0: not set. */
    public long connectTimeoutUs;
    /** Attempts that one connection carries at the same time. */
    public int streamsPerConnection = 1;

    public EndpointWeightSource weightSource = EndpointWeightSource.NOMINAL;
    public LoadReportSource loadReportSource = LoadReportSource.NONE;
    /** True: clients mark retries. */
    public boolean clientsMarkRetries;
    /** Whether {@link RoutingActions#sendGossip} may be used. */
    public boolean gossipAllowed;
    /** True: the value of a response counts for each unit of work; false: for each request. */
    public boolean valueByWork;
    /** Value of a response beyond the tenant's quota, as a share of the value of one within the quota. */
    public double overQuotaValue = 1;
    /** The origin collapses when sent this multiple of its capacity for {@link #originCollapseUs}; 0: never. */
    public double originCollapseMultiple;

    public long originCollapseUs;
    /** A final response still counts this long after the request's deadline. */
    public long responseGraceUs;
    /** CPU microseconds that a request with its outcomes may take; 0: not limited. */
    public double cpuUsPerRequest;
    /** CPU microseconds that a second may take; 0: not limited. */
    public double cpuUsPerSecond;
    /** Price if all attempts cross zones. */
    public double crossZonePrice;
    /** Price if all work of endpoints is wasted. */
    public double wastedWorkPrice;
    /** Price if all value is earned after the latency objective. */
    public double lateResponsePrice;
    /** Price of 100 lines of endpoint lists per request. */
    public double endpointListPrice;
    /** Price of 100 open connections per endpoint. */
    public double connectionPrice;
    /** Price of one health check per request. */
    public double healthCheckPrice;
    /** Price of one gossip message of 256 bytes per request. */
    public double gossipPrice;
    /** Price of one fetch from the origin per request. */
    public double originFetchPrice;
    /** Price of one new connection per request. */
    public double handshakePrice;

    public double wholeRunWeight = 1;
    /** Weight of the worst 10 seconds. */
    public double worstWindowWeight;

    public double worstClassWeight;
    public double worstTenantWeight;
    /** Weight of the tail latency, while few requests miss their objective; 0 where it does not count. */
    public double tailLatencyWeight;
    /** Share of requests that may miss the latency objective; those rejected within it do not count. */
    public double allowedMissShare = 1;
    /** The first subscription to the endpoint list must be made within this time of the start. */
    public long subscribeWithinUs = 10_000_000;
    /** Capacity of an endpoint that has just started, as a share of its full capacity. */
    public double slowStartInitialCapacity = 1;
    /** Time in which an endpoint warms up to its full capacity. */
    public long slowStartUs;
    /** How long a draining endpoint still completes requests that arrive. */
    public long drainGraceUs;
    /** An endpoint collapses when sent this multiple of its capacity for {@link #collapseUs}; 0: never. */
    public double collapseMultiple;

    public long collapseUs;

    /** How long a connection may take to open: at most half the drain grace. 0: not limited. */
    public long effectiveConnectTimeoutUs() {
        return drainGraceUs > 0 ? Math.min(connectTimeoutUs, drainGraceUs / 2) : connectTimeoutUs;
    }

    /**
     * Time after which a connection that opened late is not used any more. It exceeds
     * {@link #effectiveConnectTimeoutUs} by a little, because a pause of the proxy itself is not the endpoint's fault,
     * and not by more, because the endpoint may have begun to drain and because deduplication windows are shortened by
     * this time. 0: not limited.
     */
    public long latestConnectUs() {
        long timeoutUs = effectiveConnectTimeoutUs();
        long latestUs = timeoutUs == 0 ? 0 : timeoutUs + LATE_CONNECT_ALLOWANCE_US;
        return drainGraceUs > 0 ? Math.max(timeoutUs, Math.min(latestUs, drainGraceUs / 2)) : latestUs;
    }

    /** Throws {@link IllegalArgumentException} that names the first setting that is invalid. */
    public void check() {
        reject(requestClasses.length == 0, "requestClasses (grades) is empty: at least one request class is needed");
        for (RequestClass requestClass : requestClasses) {
            reject(
                    requestClass.latencyObjectiveUs <= 0,
                    "class '" + requestClass.name + "' needs a latency objective above 0, not "
                            + requestClass.latencyObjectiveUs);
        }
        reject(proxyCount < 1, "proxyCount (balancers) must be at least 1, not " + proxyCount);
        reject(maxAttempts < 1, "maxAttempts (caps.maxAttempts) must be at least 1, not " + maxAttempts);
        reject(
                cacheAside && originKind < 0,
                "cache-aside mode needs originKind (familyInfo.originKind), the kind of the origin");
        reject(
                !(slowStartInitialCapacity > 0 && slowStartInitialCapacity <= 1),
                "slowStartInitialCapacity (rules.coldFrom) must be above 0 and up to 1, not "
                        + slowStartInitialCapacity);
    }

    private static void reject(boolean invalid, String message) {
        if (invalid) {
            throw new IllegalArgumentException(message);
        }
    }
}
