package cacheproxy.discovery;

/**
 * The timeouts of the next call to discovery, in milliseconds. They are raised after the service was slow to connect or
 * to respond, and lowered again once it connects and responds in time.
 */
final class CallTimeouts {
    /** The service counts as unreachable after this many consecutive failures to connect. */
    private static final int UNREACHABLE_AFTER_FAILURES = 3;

    private final boolean agentPushesLists;
    private final int pushTimeoutMs;
    private int consecutiveConnectFailures;
    /** Whether the last call that connected received no response in time. */
    private boolean lastCallUnanswered;

    /**
     * @param agentPushesLists see {@link DiscoveryClient}
     * @param pushTimeoutMs see {@link WatchTimeouts#pushTimeoutMs}
     */
    CallTimeouts(boolean agentPushesLists, int pushTimeoutMs) {
        this.agentPushesLists = agentPushesLists;
        this.pushTimeoutMs = pushTimeoutMs;
    }

    int connectTimeoutMs() {
        if (agentPushesLists) {
            return pushTimeoutMs;
        }
        return consecutiveConnectFailures < UNREACHABLE_AFTER_FAILURES
                ? WatchTimeouts.CONNECT_TIMEOUT_MS
                : WatchTimeouts.SLOW_CONNECT_TIMEOUT_MS;
    }

    /** The time from the connection to the first byte of the response. */
    int firstByteTimeoutMs() {
        return lastCallUnanswered && !agentPushesLists
                ? WatchTimeouts.SLOW_FIRST_BYTE_TIMEOUT_MS
                : WatchTimeouts.FIRST_BYTE_TIMEOUT_MS;
    }

    void connected() {
        consecutiveConnectFailures = 0;
    }

    /** Records a failure to connect; returns true for the failure from which on the service counts as unreachable. */
    boolean connectFailed() {
        consecutiveConnectFailures++;
        return consecutiveConnectFailures == UNREACHABLE_AFTER_FAILURES;
    }

    void responded() {
        lastCallUnanswered = false;
    }

    void responseTimedOut() {
        lastCallUnanswered = true;
    }
}
