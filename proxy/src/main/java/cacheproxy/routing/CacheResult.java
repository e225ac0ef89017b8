package cacheproxy.routing;

/** What a response says about the endpoint's cache. */
public enum CacheResult {
    /** The response does not say. */
    NONE,
    /** The value was cached. */
    HIT,
    /** The value was fetched from the origin for this request. */
    MISS,
    /** The value was not cached, and a fetch for another request was already in flight. */
    MISS_FETCH_IN_FLIGHT
}
