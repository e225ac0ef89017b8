package cacheproxy.routing;

/** The actions that a router requests from the proxy that embeds it. Durations are in microseconds. */
public interface RoutingActions {
    /** Addresses all proxies in {@link #sendGossip}. */
    int ALL_PROXIES = 0xffff;

    /** Called just before a final response that no endpoint sent, or instead of a retry; for logging only. */
    default void reportRejectionReason(long request, RejectionReason reason) {
        // logging is optional
    }

    /** Starts the request's next attempt; attempts count from 0. {@code timeoutUs} 0: until the request's deadline. */
    void sendAttempt(long request, int endpoint, long timeoutUs);

    /** Final response: rejected, and a retry is safe. {@code retryAfterUs} 0: no Retry-After. */
    void reject(long request, long retryAfterUs);

    /**
     * As above, but only if the response can be sent to the client before {@code beforeUs}; otherwise the proxy
     * responds as for {@link #fail}. This default ignores {@code beforeUs}.
     */
    default void reject(long request, long retryAfterUs, long beforeUs) {
        reject(request, retryAfterUs);
    }

    /** Final response: failed, with no promise about what was executed. */
    void fail(long request);

    void cancelAttempt(long request, int attempt);

    /** Requests one {@link RequestRouter#onTimer} with this label at or after the delay. */
    void startTimer(long delayUs, long label);

    /** Requests one {@link RequestRouter#onHealthCheck} of this endpoint. Not used by {@link FairRouter}. */
    void checkHealth(int endpoint);

    /** Closes the proxy's idle connections to an endpoint; the next attempt there opens a new one. */
    void closeIdleConnections(int endpoint);

    /** Subscribes to changes of the endpoint list; answered by one {@link RequestRouter#onEndpointList}. */
    void subscribeToEndpoints();

    /**
     * Fetches the full endpoint list once; answered by one {@link RequestRouter#onEndpointList}. Not used by
     * {@link FairRouter}.
     */
    void fetchEndpoints();

    /**
     * Sends up to 256 bytes to another proxy by its index, or to {@link #ALL_PROXIES}. Not used by {@link FairRouter}.
     */
    void sendGossip(int proxy, byte[] data);

    void log(String line);
}
