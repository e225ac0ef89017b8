package cacheproxy.routing;

/** A client's request as it arrives. */
public final class RoutingRequest {
    /** Unique for the lifetime of the router, at least 0 and below 2^52. */
    public long id;
    /** Index into {@link RoutingSettings#requestClasses}. */
    public int requestClass;
    /** Index into {@link RoutingSettings#tenants}. */
    public int tenant;
    /** Hash of the cache key; 0: no key. */
    public long key;
    /**
     * Time at which the final response must be written: from the deadline that the client states or else that of its
     * class, less the time for which the request has waited unread and a few milliseconds of transit.
     */
    public long deadlineAtUs;
    /** Expected work in microseconds on a standard core; 0 where unknown. */
    public double expectedWorkUs;
    /** Size of the value in bytes; 0 where unknown. */
    public double sizeBytes;
    /** The client marks this request as a retry of an earlier one. */
    public boolean clientRetry;

    public boolean write;
    /** Hash of the idempotency key; 0: none, or it is not known. */
    public long idempotencyKey;
    /** The request has no idempotency key although its class expects one: it is treated as not idempotent. */
    public boolean withoutIdempotencyKey;
}
