package cacheproxy.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A migration to another discovery service: calls the new service, with a backoff after each failure, until it has sent
 * its first list. Used on the event loop only.
 */
final class ServiceMigration {
    private final EventLoop eventLoop;
    private final boolean agentPushesLists;
    private final BackoffPolicy backoff;
    /** Used after a list that was given up. */
    private final BackoffPolicy listBackoff;

    private final Supplier<DiscoveryCall> startCall;
    /** The call to the new service; null if there is none. */
    private DiscoveryCall successor;
    /** The timer of the next call; null if there is none. */
    private Future<?> retryTimer;

    private long startTimeNs;

    /**
     * @param agentPushesLists see {@link DiscoveryClient}; if true, a call has no deadline by which it must succeed
     * @param listBackoff the backoff after a list that was given up because of its time or its size
     * @param startCall starts a watch for all endpoints at the new service
     */
    ServiceMigration(
            EventLoop eventLoop,
            boolean agentPushesLists,
            BackoffPolicy backoff,
            BackoffPolicy listBackoff,
            Supplier<DiscoveryCall> startCall) {
        this.eventLoop = eventLoop;
        this.agentPushesLists = agentPushesLists;
        this.backoff = backoff;
        this.listBackoff = listBackoff;
        this.startCall = startCall;
    }

    /** Starts a migration and cancels the one in progress, if any. */
    void begin() {
        cancel();
        backoff.reset();
        listBackoff.reset();
        startTimeNs = eventLoop.ticker().nanoTime();
        callService();
    }

    /** Ends the migration in progress, if any, and stays with the old service. */
    void cancel() {
        if (successor != null) {
            successor.close("discovery moves again to another service");
            successor = null;
        }
        if (retryTimer != null) {
            retryTimer.cancel(false);
            retryTimer = null;
        }
    }

    private void callService() {
        retryTimer = null;
        successor = startCall.get();
    }

    boolean isActive() {
        return successor != null || retryTimer != null;
    }

    boolean isSuccessor(DiscoveryCall call) {
        return call == successor;
    }

    /** Handles a failure of the call to the new service: retries it after a backoff. */
    void callFailed() {
        long elapsedMs = successor.elapsedMs();
        boolean listGivenUp = successor.listWasGivenUp();
        successor = null;
        if (listGivenUp) {
            retryAfter(listBackoff.nextDelayMs(0));
            return;
        }
        long migrationMs = TimeUnit.NANOSECONDS.toMillis(eventLoop.ticker().nanoTime() - startTimeNs);
        long timeLeftMs = agentPushesLists ? 0 : WatchTimeouts.MIGRATION_NOTIFIED_MS - migrationMs;
        retryAfter(backoff.nextDelayMs(elapsedMs, timeLeftMs));
    }

    private void retryAfter(int delayMs) {
        retryTimer = eventLoop.schedule(this::callService, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Ends the migration, because the new service has sent its first list. */
    void completed() {
        successor = null;
    }
}
