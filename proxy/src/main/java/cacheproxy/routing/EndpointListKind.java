package cacheproxy.routing;

/** What an endpoint list event carries. */
public enum EndpointListKind {
    /** Only the endpoints that changed. */
    DELTA,
    /** All endpoints, from service discovery. */
    FULL,
    /** All endpoints as last known, for example from the configuration; possibly out of date. */
    CACHED,
    /** No endpoints: the call to service discovery failed. */
    FAILED
}
