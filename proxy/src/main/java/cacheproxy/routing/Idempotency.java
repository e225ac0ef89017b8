package cacheproxy.routing;

/** Whether executing a request twice has the same effect as executing it once. */
public enum Idempotency {
    /** Idempotent, as a read is: may be sent again at any time. */
    IDEMPOTENT,
    /** Carries an idempotency key: endpoints of its {@link DeduplicationScope} discard repeats for a while. */
    IDEMPOTENCY_KEY,
    /** Not idempotent: sent again only if no earlier attempt can have been executed. */
    NOT_IDEMPOTENT
}
