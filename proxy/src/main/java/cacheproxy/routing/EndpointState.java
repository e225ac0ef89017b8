package cacheproxy.routing;

/**
 * State of an endpoint in the endpoint list. The list itself contains SERVING, DRAINING or DELETED; the control channel
 * uses {@code serving} and {@code draining}.
 */
public enum EndpointState {
    /** Takes requests. */
    READY,
    /** Completes requests in flight and takes no new ones. */
    DRAINING,
    /** No longer listed. */
    GONE
}
