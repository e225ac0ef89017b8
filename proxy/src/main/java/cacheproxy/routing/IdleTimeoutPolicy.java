package cacheproxy.routing;

/**
 * How long a connection may be idle before it is no longer used. Two kinds of failure each reduce this timeout by a
 * factor of e: an attempt on a connection that had idled has no response when its hedge timer fires (the connection may
 * have been dropped silently; not detected where hedging is not allowed), and an endpoint that accepts no new
 * connections (idle ones may take up all that it allows). The reduction decays, and a successful use after idling
 * undoes one factor. A connection that would exceed the timeout before its next use is closed at once, which frees its
 * place at the endpoint. A crashed endpoint fails in the same way and costs some extra handshakes. The origin is
 * exempt, because handshakes cost it most when it is slow.
 */
final class IdleTimeoutPolicy {
    /** Steps and the maximum are exponents of e. */
    private static final double STEP = 1;
    /** Keeps the timeout above the idle time of connections in regular use; otherwise no success could undo it. */
    private static final double MAX_REDUCTION = 4;

    private static final double TIME_CONSTANT_US = 60e6;
    /** A use counts as one after idling if the connection idled for more than this share of the timeout. */
    private static final double IDLED_SHARE = 0.25;

    private final RoutingSettings settings;
    private final EndpointTable table;
    private final AdmittedRate admittedRate;
    private final DecayingCounter reduction = new DecayingCounter(TIME_CONSTANT_US);

    IdleTimeoutPolicy(RoutingSettings settings, EndpointTable table, AdmittedRate admittedRate) {
        this.settings = settings;
        this.table = table;
        this.admittedRate = admittedRate;
    }

    private double timeoutUs(long nowUs) {
        return settings.idleTimeoutUs * Math.exp(-reduction.get(nowUs));
    }

    /** Whether the endpoint's idle connection is too old to carry the next attempt. */
    boolean isExpired(Endpoint endpoint, long nowUs) {
        return endpoint.hasIdleConnection() && nowUs - endpoint.idleSinceUs > timeoutUs(nowUs);
    }

    /** Records the end of an attempt. Returns whether the endpoint's idle connections are to be closed. */
    boolean recordOutcome(PendingRequest pending, int attempt, AttemptOutcome outcome, long nowUs) {
        Endpoint endpoint = pending.endpoints[attempt];
        double timeoutUs = timeoutUs(nowUs);
        if (table.isOrigin(endpoint)) {
            return false;
        }
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            reduction.add(STEP, MAX_REDUCTION, nowUs);
            return false;
        }
        if (outcome == AttemptOutcome.RESET) {
            endpoint.clearIdleConnection();
            return false;
        }
        if (outcome == AttemptOutcome.OK && pending.idledUs[attempt] > timeoutUs * IDLED_SHARE) {
            reduction.add(-STEP, MAX_REDUCTION, nowUs);
        }
        endpoint.idleSinceUs = nowUs;
        return outcome == AttemptOutcome.TIMEOUT || closesEarly(timeoutUs) && timeToNextUseUs(nowUs) > timeoutUs;
    }

    /** Where handshakes have a price, connections are closed early only after failures of idle ones. */
    private boolean closesEarly(double timeoutUs) {
        return settings.handshakePrice == 0 || timeoutUs < settings.idleTimeoutUs / 2.0;
    }

    private double timeToNextUseUs(long nowUs) {
        return table.readyCount / admittedRate.perSecond(nowUs) * 1e6;
    }

    /** Records a slow attempt. Returns whether its connection had idled, so that idle ones are to be closed. */
    boolean recordSlowAttempt(PendingRequest pending, int attempt, long nowUs) {
        double shortestTimeoutUs = settings.idleTimeoutUs * Math.exp(-MAX_REDUCTION);
        if (pending.idledUs[attempt] <= shortestTimeoutUs * IDLED_SHARE) {
            return false;
        }
        reduction.add(STEP, MAX_REDUCTION, nowUs);
        return true;
    }
}
