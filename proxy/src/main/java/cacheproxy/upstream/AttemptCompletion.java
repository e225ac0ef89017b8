package cacheproxy.upstream;

import cacheproxy.memcache.ResponseStatus;
import cacheproxy.routing.AttemptOutcome;

/**
 * All ways in which an attempt can end. This is the only place that decides which outcome the router is given and
 * whether the connection may be reused, by the section "Proxies to cache nodes" of the protocol specification. An
 * attempt is reported as never executed only if that is certain, because the router then retries or rejects even a
 * request that is not idempotent.
 *
 * <p>A response without an id may be a duplicate of the previous one. After such a response only idempotent requests
 * may use the connection ({@link Reuse#IDEMPOTENT_ONLY}). Closing it instead would cost a handshake for each
 * {@code busy} response of an overloaded endpoint.
 */
public enum AttemptCompletion {
    /** {@code VA} with the request's id, for a read; {@code HD} with the request's id and a receipt, for a write. */
    SERVED(AttemptOutcome.OK, Reuse.ANY),
    /** {@code EN}: the endpoint does not fetch from the origin and has no value for the key. */
    MISS(AttemptOutcome.MISS, Reuse.IDEMPOTENT_ONLY),
    /** {@code SERVER_ERROR busy} that cannot belong to another request: never executed. */
    BUSY(AttemptOutcome.OVERLOADED, Reuse.IDEMPOTENT_ONLY),
    /** {@code SERVER_ERROR} with any other text: possibly executed. */
    FAILED(AttemptOutcome.ERROR, Reuse.IDEMPOTENT_ONLY),
    /** {@code CLIENT_ERROR}: no endpoint can use the request. The endpoint may have lost the framing. */
    REJECTED(AttemptOutcome.CANCELLED, Reuse.CLOSE),
    /**
     * The response is malformed or incomplete, is of the wrong kind, has the id of another request or lacks the receipt
     * (a plain {@code HD}); or it has no id, may belong to another request, and this request is not idempotent.
     * Possibly executed; says nothing about load.
     */
    MALFORMED(AttemptOutcome.RESET, Reuse.CLOSE),
    /** The connection was lost after the last byte of the request was written: possibly executed. */
    CONNECTION_LOST(AttemptOutcome.RESET, Reuse.CLOSE),
    /** Not connected, or the connection was lost before the last byte was written: never executed. */
    NOT_WRITTEN(AttemptOutcome.CONNECT_FAILED, Reuse.CLOSE),
    /** No response before the timeout, but the last byte was written: possibly executed, now or later. */
    TIMED_OUT(AttemptOutcome.TIMEOUT, Reuse.CLOSE),
    /** The router cancelled it. Possibly executed. */
    CANCELLED(AttemptOutcome.CANCELLED, Reuse.CLOSE),
    /**
     * The event loop stalled during the attempt, so the outcome says nothing about the endpoint. Replaces other
     * completions, including a {@code busy} that came after the timeout. Always reported as possibly executed, which is
     * the safe assumption.
     */
    LOOP_STALLED(AttemptOutcome.CANCELLED, Reuse.CLOSE),
    /** No file descriptor was left for a connection; says nothing about the endpoint. Never executed. */
    NO_CAPACITY(AttemptOutcome.NOT_SENT, Reuse.ANY),
    /** Timed out with a client deadline that no endpoint could have met. Possibly executed. */
    UNMEETABLE_DEADLINE(AttemptOutcome.CANCELLED, Reuse.CLOSE),
    /** Never sent: request answered, deadline passed, endpoint no longer listed, or no attempt left. */
    NOT_SENT(AttemptOutcome.NOT_SENT, Reuse.ANY);

    /** Which requests may use the connection afterwards. */
    enum Reuse {
        ANY,
        IDEMPOTENT_ONLY,
        CLOSE
    }

    private final AttemptOutcome outcome;
    private final Reuse reuse;

    AttemptCompletion(AttemptOutcome outcome, Reuse reuse) {
        this.outcome = outcome;
        this.reuse = reuse;
    }

    /** The outcome reported to the router; see {@link AttemptOutcome#provesNotExecuted} for whether a retry is safe. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    Reuse reuse() {
        return reuse;
    }

    static AttemptCompletion of(ResponseStatus status) {
        return switch (status) {
            case SERVED -> SERVED;
            case MISS -> MISS;
            case BUSY -> BUSY;
            case FAILED -> FAILED;
            case REJECTED -> REJECTED;
            case MALFORMED -> MALFORMED;
        };
    }
}
