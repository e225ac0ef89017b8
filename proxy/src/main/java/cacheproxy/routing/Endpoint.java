package cacheproxy.routing;

/** A cache endpoint or the origin, with what this proxy has observed of it. */
final class Endpoint {
    private static final double UTILIZATION_TIME_CONSTANT_US = 10e6;
    private static final long NO_IDLE_CONNECTION = Long.MIN_VALUE;

    final int id;
    int cell;
    int zone;
    int kind;
    double weight;
    EndpointState state;
    long startedUs = Long.MIN_VALUE;
    /** Attempts of this proxy in flight. */
    int inFlight;

    final FailureProbability failureProbability = new FailureProbability();
    /** As last reported, or estimated from latencies. */
    final DecayingCounter cpuUtilization = new DecayingCounter(UTILIZATION_TIME_CONSTANT_US);
    /** When an attempt of this proxy last ended and left its connection idle. */
    long idleSinceUs = NO_IDLE_CONNECTION;

    /** State of {@link SlowStartLimiter}: the endpoint's start from which its permits are counted. */
    long permitsSinceUs = Long.MIN_VALUE;

    double permits;
    double permitsPerUs;
    long permitsIssuedUs;
    double lastUsedPermit;

    Endpoint(int id) {
        this.id = id;
    }

    boolean hasIdleConnection() {
        return idleSinceUs != NO_IDLE_CONNECTION;
    }

    void clearIdleConnection() {
        idleSinceUs = NO_IDLE_CONNECTION;
    }
}
