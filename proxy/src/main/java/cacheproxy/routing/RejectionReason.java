package cacheproxy.routing;

/**
 * Why no attempt, or no further attempt, of a request is sent, for request tracing. Several may be reported for one
 * decision, usually the cause first: a retry that the budget does not cover also ends as {@link #NO_ENDPOINT}. But
 * {@link #RETRY_BUDGET_EXHAUSTED} comes before {@link #DEADLINE_EXCEEDED} and {@link #ATTEMPTS_EXHAUSTED} even if one
 * of these alone would prevent the retry.
 */
public enum RejectionReason {
    /** The tenant's requests are being rejected with some probability. */
    TENANT_THROTTLED,
    /**
     * None of the best-ranked endpoints of its key is eligible now: each was tried already, is warming up and not
     * admitted by {@link SlowStartLimiter}, is passed over as an outlier, or is excluded by {@link RetryPolicy} because
     * an earlier attempt may have been executed. With cache-aside also: no origin is listed, {@link RetryPolicy}
     * excludes the origin, or a fetch from the origin failed, which is not retried.
     */
    NO_ENDPOINT,
    /** The endpoint list may be out of date: its endpoints may be draining or gone. */
    ENDPOINT_LIST_OUTDATED,
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
