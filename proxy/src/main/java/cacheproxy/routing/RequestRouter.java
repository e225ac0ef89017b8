package cacheproxy.routing;

/**
 * The routing decisions of one proxy in front of a set of cache endpoints: events in, {@link RoutingActions} out.
 *
 * <p>Units: every time and duration is in microseconds; event times are readings of one monotonic clock of the caller's
 * choosing and never go back. Ordering: events are delivered one at a time, in order of arrival; actions take effect in
 * the order in which they are called. Threading: none; one router belongs to one thread at a time. Event objects are
 * only read during the call and may be reused by the caller.
 *
 * <p>Obligations of the caller: exactly one {@link #onOutcome} for each {@link RoutingActions#sendAttempt}; a
 * {@link #onTimer} at or after each requested time, never from within the call that requested it; an
 * {@link #onEndpointList} for each subscription or fetch; {@link #onClientGone} when the client disconnects. The first
 * successful outcome of a request is the client's response, delivered by the caller, which then reports it with
 * {@code concluded}.
 */
public interface RequestRouter {
    /**
     * An endpoint list, changes of it, or a failed call, as {@code kind} says. The first event of a router is the list
     * as last known. Only the first {@code count} entries are read.
     */
    void onEndpointList(long nowUs, EndpointListKind kind, EndpointInfo[] endpoints, int count, RoutingActions actions);

    /**
     * The endpoint list may be out of date, so that no attempt may begin ({@code outdated}), or is up to date again. A
     * router begins with a list that is up to date.
     */
    void onEndpointListOutdated(long nowUs, boolean outdated);

    void onRequest(long nowUs, RoutingRequest request, RoutingActions actions);

    /**
     * Whether a request that the caller itself has no capacity for may be rejected, which promises that it was not
     * executed and may be sent again at any time; otherwise it is to be failed. The router does not see the request
     * again.
     */
    boolean mayReject(long nowUs, RoutingRequest request);

    /** {@code concluded}: the client has received its final response, from this attempt or an earlier one. */
    void onOutcome(
            long nowUs,
            long request,
            int attempt,
            AttemptOutcome outcome,
            long latencyUs,
            boolean concluded,
            CacheResult cacheResult,
            LoadReport report,
            RoutingActions actions);

    /** A streamed response has begun: the router does no more for the request. Only the simulator sends this. */
    void onStreamStarted(long nowUs, long request, int attempt, RoutingActions actions);

    /** The client has disconnected; no response is due any more. */
    void onClientGone(long nowUs, long request, RoutingActions actions);

    void onTimer(long nowUs, long label, RoutingActions actions);

    /** Result of a {@link RoutingActions#checkHealth}. */
    void onHealthCheck(
            long nowUs,
            int endpoint,
            AttemptOutcome outcome,
            long latencyUs,
            LoadReport report,
            RoutingActions actions);

    /** A message that another proxy sent with {@link RoutingActions#sendGossip}; it may be late or lost. */
    void onGossip(long nowUs, int proxy, byte[] data, RoutingActions actions);
}
