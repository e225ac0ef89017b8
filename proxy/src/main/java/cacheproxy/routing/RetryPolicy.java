package cacheproxy.routing;

/**
 * Whether a request may be retried without the risk that it is executed twice. A request that may have been executed is
 * retried if it is idempotent; if it has an idempotency key, only within the deduplication window of the first attempt
 * that may have been executed and only at endpoints of the same deduplication scope; otherwise never.
 */
final class RetryPolicy {
    private final RoutingSettings settings;

    RetryPolicy(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Whether an attempt may be sent to this endpoint now; the first one always may. */
    boolean maySend(PendingRequest pending, Endpoint endpoint, long nowUs) {
        if (pending.idempotency == Idempotency.IDEMPOTENT || pending.mayHaveRun == 0) {
            return true;
        }
        if (pending.idempotency == Idempotency.NOT_IDEMPOTENT) {
            return false;
        }
        int first = pending.firstThatMayHaveRun();
        if (nowUs >= windowEndUs(pending, first)) {
            return false;
        }
        Endpoint executor = pending.endpoints[first];
        return switch (pending.requestClass.deduplicationScope) {
            case ALL -> true;
            case ZONE -> executor.zone == endpoint.zone;
            case CELL -> executor.cell == endpoint.cell;
        };
    }

    /**
     * Until when the client may safely retry the request, which a rejection promises. {@code MAX_VALUE}: at any time;
     * {@code MIN_VALUE}: never.
     */
    long clientRetrySafeUntilUs(PendingRequest pending) {
        if (pending.idempotency == Idempotency.IDEMPOTENT || pending.mayHaveRun == 0) {
            return Long.MAX_VALUE;
        }
        if (pending.idempotency == Idempotency.NOT_IDEMPOTENT
                || pending.requestClass.deduplicationScope != DeduplicationScope.ALL) {
            return Long.MIN_VALUE;
        }
        return windowEndUs(pending, pending.firstThatMayHaveRun());
    }

    /**
     * Latest time to send a repeat of an attempt. It is earlier than the end of the deduplication window, because a
     * repeat may still wait for a connection and must arrive while endpoints discard repeats.
     */
    private long windowEndUs(PendingRequest pending, int attempt) {
        return pending.sentAtUs[attempt]
                + pending.requestClass.deduplicationWindowUs
                - 2 * settings.timerGranularityUs
                - settings.latestConnectUs();
    }
}
