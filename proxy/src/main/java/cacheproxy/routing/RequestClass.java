package cacheproxy.routing;

/** A class of requests: its idempotency, its deadlines and its priority weight. */
public final class RequestClass {
    public String name = "";
    public Idempotency idempotency = Idempotency.NOT_IDEMPOTENT;
    public DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    /** A response within this time of the request's arrival earns its full value. */
    public long latencyObjectiveUs;
    /**
     * The latency objective of a request grows by this multiple of its own work, up to the deadline; {@link FairRouter}
     * does not use it and applies {@link #latencyObjectiveUs} alone.
     */
    public double latencyObjectiveStretch;
    /** The longest time that a client of this class waits, over all its retries. */
    public long deadlineUs;
    /** For idempotency keys: how long endpoints discard repeats, from the first attempt that may have run. */
    public long deduplicationWindowUs;
    /** Share of the value that a response after the latency objective still earns, from 0 to 1. */
    public double lateResponseValue;
    /** Value of a response in time, compared with other classes. */
    public double priorityWeight = 1;

    public boolean streaming;

    /**
     * False only for idempotency keys whose window may end before the client's deadline plus the time to connect; a
     * client's retry is then failed, not rejected. True for IDEMPOTENT, and for NOT_IDEMPOTENT, which clients repeat
     * only after a rejection, that is, if it was not executed. The deduplication scope is not considered.
     */
    public boolean isDeduplicatedUntilDeadline(RoutingSettings settings) {
        return idempotency != Idempotency.IDEMPOTENCY_KEY
                || deduplicationWindowUs >= deadlineUs + settings.latestConnectUs();
    }
}
