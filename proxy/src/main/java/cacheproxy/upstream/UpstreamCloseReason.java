package cacheproxy.upstream;

/** Why a connection to an endpoint was closed, for the log. */
enum UpstreamCloseReason {
    IDLE("idle timeout"),
    ADDRESS_CHANGED("the endpoint's address changed"),
    ENDPOINT_DRAINING_OR_GONE(
            "the endpoint is draining, gone or at another address, or its idle connections are no longer trusted"),
    EVICTED("evicted to make room for another connection"),
    CONNECTED_TOO_LATE("connected too late to be used"),
    CONNECT_TIMEOUT("connect timeout"),
    ATTEMPT_ABANDONED("its attempt timed out or was cancelled"),
    UNEXPECTED_BYTES("received bytes that belong to no request"),
    PROTOCOL_ERROR("protocol error in a response"),
    AMBIGUOUS_RESPONSE("received a response without an id that may belong to another request"),
    RETIRED("no longer accepts attempts"),
    ERROR("error on the connection"),
    CONNECT_FAILED("connect failed"),
    CLOSED_BY_PEER("closed by the endpoint");

    final String text;

    UpstreamCloseReason(String text) {
        this.text = text;
    }
}
