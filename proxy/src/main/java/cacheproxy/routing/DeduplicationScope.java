package cacheproxy.routing;

/** The endpoints that discard repeats of a request with an idempotency key, seen from the one that executed it. */
public enum DeduplicationScope {
    /** Every endpoint. */
    ALL,
    /** Endpoints of the same zone. */
    ZONE,
    /** Endpoints of the same cell. */
    CELL
}
