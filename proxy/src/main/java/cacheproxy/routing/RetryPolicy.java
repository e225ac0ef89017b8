package cacheproxy.routing;

/**
 * Whether a request may be retried without the risk that it is executed twice. A request that may have been executed is
 * retried if it is idempotent; if it has an idempotency key, only within the deduplication window of the first attempt
 * that may have been executed and only at endpoints of the same deduplication scope; otherwise never.
 */
final class RetryPolicy {
    /**
     * A client's retry is sent again only this long after its arrival where the deduplication window of the earlier
     * request is not known: the client sent it within that window, which may be about to end.
     */
    private static final long UNKNOWN_WINDOW_US = 50_000;

    private final RoutingSettings settings;

    RetryPolicy(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Whether an attempt may be sent to this endpoint now. */
    boolean maySend(PendingRequest pending, Endpoint endpoint, long nowUs) {
        if (pending.idempotency == Idempotency.IDEMPOTENT) {
            return true;
        }
        KeyedSends.FirstSend first = firstThatMayHaveRun(pending);
        if (first == null) {
            return pending.attempts == 0
                    || !mayHaveRunUnknown(pending)
                    || nowUs - pending.arrivedUs <= UNKNOWN_WINDOW_US;
        }
        if (pending.idempotency == Idempotency.NOT_IDEMPOTENT || nowUs >= windowEndUs(pending, first)) {
            return false;
        }
        return switch (pending.requestClass.deduplicationScope) {
            case ALL -> true;
            case ZONE -> first.endpoint().zone == endpoint.zone;
            case CELL -> first.endpoint().cell == endpoint.cell;
        };
    }

    /**
     * Until when the client may safely retry the request, which a rejection promises. {@code MAX_VALUE}: at any time;
     * {@code MIN_VALUE}: never.
     */
    long clientRetrySafeUntilUs(PendingRequest pending) {
        if (pending.idempotency == Idempotency.IDEMPOTENT) {
            return Long.MAX_VALUE;
        }
        if (mayHaveRunUnknown(pending)) {
            return Long.MIN_VALUE;
        }
        KeyedSends.FirstSend first = firstThatMayHaveRun(pending);
        if (first == null) {
            return Long.MAX_VALUE;
        }
        if (pending.idempotency == Idempotency.NOT_IDEMPOTENT
                || pending.requestClass.deduplicationScope != DeduplicationScope.ALL) {
            return Long.MIN_VALUE;
        }
        return windowEndUs(pending, first);
    }

    /**
     * Whether an earlier request of the client may have been executed at a time that is not known, and its
     * deduplication window may end before the client's last retry. Clients repeat a request that is not idempotent only
     * after a rejection, that is, if it was not executed.
     */
    private boolean mayHaveRunUnknown(PendingRequest pending) {
        return pending.clientRetry
                && pending.idempotency == Idempotency.IDEMPOTENCY_KEY
                && !pending.requestClass.isDeduplicatedUntilDeadline(settings);
    }

    /** The first send, of this request or of an earlier one with its key, that may have been executed; or null. */
    private static KeyedSends.FirstSend firstThatMayHaveRun(PendingRequest pending) {
        if (pending.earlierSend != null) {
            return pending.earlierSend;
        }
        if (pending.mayHaveRun == 0) {
            return null;
        }
        int attempt = pending.firstThatMayHaveRun();
        return new KeyedSends.FirstSend(pending.endpoints[attempt], pending.sentAtUs[attempt]);
    }

    /**
     * Latest time to send a repeat of an attempt. It is earlier than the end of the deduplication window, because a
     * repeat may still wait for a connection and must arrive while endpoints discard repeats.
     */
    private long windowEndUs(PendingRequest pending, KeyedSends.FirstSend first) {
        return first.sentAtUs()
                + pending.requestClass.deduplicationWindowUs
                - 2 * settings.timerGranularityUs
                - settings.latestConnectUs();
    }
}
