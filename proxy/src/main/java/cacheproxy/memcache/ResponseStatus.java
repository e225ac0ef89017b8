package cacheproxy.memcache;

/** The kind of a response of an endpoint. */
public enum ResponseStatus {
    /** {@code VA} with a value or {@code HD} with the receipt of a write. */
    SERVED,
    /** {@code EN}: no value for the key. */
    MISS,
    /** {@code SERVER_ERROR busy}: rejected before it was executed. */
    BUSY,
    /** {@code SERVER_ERROR} with any other text: possibly executed. */
    FAILED,
    /** {@code CLIENT_ERROR}: the endpoint cannot use the request. */
    REJECTED,
    /** A line or block that violates the protocol. */
    MALFORMED
}
