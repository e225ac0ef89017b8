package cacheproxy.routing;

/**
 * Why no attempt, or no further attempt, of a request is sent, for request tracing. Several may be reported for one
 * decision, the first of them being its cause: a retry that the budget does not cover also ends as
 * {@link #NO_ENDPOINT}.
 */
public enum RejectionReason {
    /** The tenant's requests are being rejected with some probability. */
    TENANT_THROTTLED,
    /**
     * None of the best-ranked endpoints of its key is eligible now: each is tried already, warming up, an outlier, or
     * excluded by {@link RetryPolicy} because an earlier attempt may have been executed.
     */
    NO_ENDPOINT,
    /** The retry budget is used up. */
    RETRY_BUDGET_EXHAUSTED,
    /**
     * A write to the origin may not be retried: an earlier attempt may have been executed, and {@link RetryPolicy} no
     * longer allows a retry.
     */
    NOT_IDEMPOTENT,
    /** The origin is overloaded. */
    ORIGIN_OVERLOADED,
    /** All attempts that the settings allow were made. */
    ATTEMPTS_EXHAUSTED,
    /** The deadline, or the latency objective where later responses have no value, has passed. */
    DEADLINE_EXCEEDED
}
