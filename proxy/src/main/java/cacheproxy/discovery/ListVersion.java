package cacheproxy.discovery;

import java.util.concurrent.TimeUnit;

/**
 * The version of the endpoint list held; decides whether another list may replace it.
 *
 * <p>An older list is rejected, because it would bring back endpoints that are draining or gone. A service that lost
 * its version count in a restart would then never be accepted again. So if several consecutive calls return older
 * lists, for longer than a replica of the service may lag, the service counts as restarted and its versions are
 * accepted.
 */
final class ListVersion {
    /** The result of checking a list. */
    enum Check {
        ACCEPT,
        /** Older than the list held. */
        STALE,
        /** Older than the list held, but from a service that has restarted. */
        RESTARTED
    }

    /** Fewer consecutive calls with stale lists may all have reached a replica that lags. */
    private static final int MIN_STALE_CALLS_BEFORE_RESTARTED = 3;

    private static final long MIN_STALE_TIME_BEFORE_RESTARTED_NS =
            TimeUnit.MILLISECONDS.toNanos(WatchTimeouts.MIN_STALE_TIME_MS);

    private long held;
    private int consecutiveStaleCalls;
    private long staleSinceNs;

    ListVersion(long initial) {
        held = initial;
    }

    long held() {
        return held;
    }

    void hold(long version) {
        held = version;
    }

    /** Checks the version of a list that was received at {@code nowNs}, a monotonic time in nanoseconds. */
    Check check(long received, long nowNs) {
        if (received >= held) {
            resetStaleCalls();
            return Check.ACCEPT;
        }
        staleSinceNs = consecutiveStaleCalls == 0 ? nowNs : staleSinceNs;
        consecutiveStaleCalls++;
        boolean restarted = consecutiveStaleCalls >= MIN_STALE_CALLS_BEFORE_RESTARTED
                && nowNs - staleSinceNs > MIN_STALE_TIME_BEFORE_RESTARTED_NS;
        return restarted ? Check.RESTARTED : Check.STALE;
    }

    /** Forgets the stale lists so far, because a list was accepted. */
    void resetStaleCalls() {
        consecutiveStaleCalls = 0;
    }
}
