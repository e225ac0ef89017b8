package cacheproxy.routing;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint responded with success. */
    OK(false),
    /** The endpoint responded with an error. */
    ERROR(false),
    /** The endpoint rejected the attempt because it has no capacity left. */
    OVERLOADED(true),
    /** No response arrived in time. */
    TIMEOUT(false),
    /** No connection could be established. */
    CONNECT_FAILED(true),
    /** The connection broke with the attempt in flight. */
    RESET(false),
    /** The router cancelled the attempt. */
    CANCELLED(false),
    /** The caller could not send the attempt, for a reason that says nothing about the endpoint. */
    NOT_SENT(true),
    /** Cache-aside only: the endpoint does not have the key. */
    MISS(true);

    /** Whether this outcome proves that the endpoint did not execute the request. */
    public final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
