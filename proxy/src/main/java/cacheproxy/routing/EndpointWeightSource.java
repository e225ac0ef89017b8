package cacheproxy.routing;

/** What the weights of the endpoint list are based on. */
public enum EndpointWeightSource {
    /** Nothing: all endpoints weigh the same. */
    NONE,
    /** The registered size. */
    NOMINAL,
    /** An approximation of the size. */
    ROUGH,
    /** The size less the present load. */
    LIVE
}
