package cacheproxy.routing;

/** When a request is given up, and what Retry-After a rejection carries. */
final class DeadlinePolicy {
    /** A shorter Retry-After is not worth sending. */
    static final long MIN_RETRY_AFTER_US = 20_000;

    /** The least Retry-After, as a share of the maximum. */
    private static final double MIN_RETRY_AFTER_SHARE = 0.2;
    /** Largest share of the remaining time that Retry-After takes; the rest is for clients that retry late. */
    private static final double RETRY_AFTER_SHARE = 0.6;
    /**
     * The rejection must be sent to the client while at least this share of the remaining time is left; if Retry-After
     * is limited by its maximum, this share of the time of which it is {@link #RETRY_AFTER_SHARE}.
     */
    private static final double LATEST_NOTIFICATION_SHARE = 0.8;

    private final RoutingSettings settings;

    DeadlinePolicy(RoutingSettings settings) {
        this.settings = settings;
    }

    /**
     * The deadline, or the latency objective where later responses have no value. An attempt gets all the time until
     * then, so one that times out leaves no time for a retry; {@link HedgingPolicy} deals with slow endpoints instead.
     */
    long giveUpAtUs(PendingRequest pending) {
        if (pending.requestClass.lateResponseValue > 0) {
            return pending.deadlineAtUs;
        }
        long objectiveAtUs = pending.arrivedUs + pending.requestClass.latencyObjectiveUs;
        return Math.min(pending.deadlineAtUs, objectiveAtUs - 2 * settings.timerGranularityUs);
    }

    /** The latest time at which the client may retry: its class's deadline, or its own deadline if that is later. */
    long lastClientRetryUs(PendingRequest pending) {
        long waitUs = pending.deadlineAtUs - pending.arrivedUs;
        return pending.arrivedUs + Math.max(pending.requestClass.deadlineUs, waitUs);
    }

    /**
     * Retry-After of a rejection in microseconds, whatever its reason: longer if the tenant is more likely to be
     * rejected again. 0: none.
     */
    long retryAfterUs(double rejectionProbability) {
        if (!settings.retryAfterAllowed) {
            return 0;
        }
        return (long) (settings.maxRetryAfterUs * Math.max(MIN_RETRY_AFTER_SHARE, rejectionProbability));
    }

    /** Retry-After of a rejection after which a retry is safe only for the remaining time. */
    long boundedRetryAfterUs(long retryAfterUs, long remainingUs) {
        return settings.retryAfterAllowed ? Math.min(retryAfterUs, (long) (RETRY_AFTER_SHARE * remainingUs)) : 0;
    }

    /**
     * The latest time to send a rejection with a bounded Retry-After, so that the client's retry arrives before
     * {@code untilUs}.
     */
    long notifyBeforeUs(long untilUs, long retryAfterUs) {
        return untilUs - (long) (retryAfterUs / RETRY_AFTER_SHARE * LATEST_NOTIFICATION_SHARE);
    }
}
