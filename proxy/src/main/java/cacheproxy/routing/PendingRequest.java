package cacheproxy.routing;

/** A request that is not concluded yet, or has attempts in flight. Times are in microseconds. */
final class PendingRequest {
    /** Most attempts of one request, whatever the settings allow. */
    static final int MAX_ATTEMPTS = 8;
    /** In {@link #idledUs}: the attempt had no idle connection to use. */
    static final long NEW_CONNECTION = -1;

    final long id;
    final long key;
    final long arrivedUs;
    final long deadlineAtUs;
    final RequestClass requestClass;
    final Idempotency idempotency;
    /** Hash of the idempotency key; 0 where unknown. */
    final long idempotencyKey;
    /** The client marks it as a retry: an earlier request of its may have been executed, here or at another proxy. */
    final boolean clientRetry;

    final int tenant;
    final double expectedWorkUs;
    final boolean write;
    /** The key is spread over several pairs of endpoints. */
    boolean popular;

    boolean sentToOrigin;
    boolean concluded;
    /** The first send of an earlier request with the same idempotency key by this proxy; null: none is known. */
    KeyedSends.FirstSend earlierSend;
    /** A failure of this request was counted against its tenant. */
    boolean failureRecorded;

    int attempts;
    /** One bit for each attempt in flight. */
    int inFlight;
    /** One bit for each attempt that may have been executed, because its outcome does not rule that out. */
    int mayHaveRun;

    final Endpoint[] endpoints = new Endpoint[MAX_ATTEMPTS];
    /** How long the attempt's connection had idled, or {@link #NEW_CONNECTION}. */
    final long[] idledUs = new long[MAX_ATTEMPTS];

    final long[] sentAtUs = new long[MAX_ATTEMPTS];

    PendingRequest(RoutingRequest request, RequestClass requestClass, int tenant, long nowUs) {
        id = request.id;
        key = request.key;
        arrivedUs = nowUs;
        deadlineAtUs = request.deadlineAtUs;
        this.requestClass = requestClass;
        boolean keyMissing = requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY && request.withoutIdempotencyKey;
        idempotency = keyMissing ? Idempotency.NOT_IDEMPOTENT : requestClass.idempotency;
        idempotencyKey = request.idempotencyKey;
        clientRetry = request.clientRetry;
        this.tenant = tenant;
        expectedWorkUs = request.expectedWorkUs;
        write = request.write;
    }

    /** Latency beyond the request's expected work, as a share of its latency objective. */
    double excessLatency(long latencyUs) {
        return Math.max(0, latencyUs - expectedWorkUs) / requestClass.latencyObjectiveUs;
    }

    void recordSend(Endpoint endpoint, long nowUs) {
        endpoints[attempts] = endpoint;
        idledUs[attempts] = endpoint.hasIdleConnection() ? nowUs - endpoint.idleSinceUs : NEW_CONNECTION;
        sentAtUs[attempts] = nowUs;
        inFlight |= 1 << attempts;
        mayHaveRun |= 1 << attempts;
        attempts++;
        endpoint.inFlight++;
    }

    boolean isInFlight(int attempt) {
        return attempt < attempts && (inFlight & 1 << attempt) != 0;
    }

    void recordEnd(int attempt, boolean provenNotExecuted) {
        inFlight &= ~(1 << attempt);
        endpoints[attempt].inFlight--;
        if (provenNotExecuted) {
            mayHaveRun &= ~(1 << attempt);
        }
    }

    int firstInFlight() {
        return Integer.numberOfTrailingZeros(inFlight);
    }

    int firstThatMayHaveRun() {
        return Integer.numberOfTrailingZeros(mayHaveRun);
    }

    boolean hasTried(Endpoint endpoint) {
        for (int i = 0; i < attempts; i++) {
            if (endpoints[i] == endpoint) {
                return true;
            }
        }
        return false;
    }
}
