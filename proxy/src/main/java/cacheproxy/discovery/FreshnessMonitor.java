package cacheproxy.discovery;

import cacheproxy.eventloop.EventLoopClock;
import io.netty.util.concurrent.Future;

/**
 * Notifies the {@link EndpointListListener} when the endpoint list becomes outdated and when it is up to date again.
 * Used on the event loop only.
 */
final class FreshnessMonitor {
    private final ListFreshness freshness;
    private final EventLoopClock clock;
    private final EndpointListListener listener;
    private boolean notifiedOutdated;
    /** The timer of the time at which the list becomes outdated; null if there is none. */
    private Future<?> timer;

    private long timerAtUs;

    FreshnessMonitor(ListFreshness freshness, EventLoopClock clock, EndpointListListener listener) {
        this.freshness = freshness;
        this.clock = clock;
        this.listener = listener;
    }

    /** To be called after each change of the {@link ListFreshness}. */
    void update() {
        long nowUs = clock.nowUs();
        boolean outdated = freshness.mayBeOutdated(nowUs);
        if (outdated != notifiedOutdated) {
            notifiedOutdated = outdated;
            listener.endpointListOutdated(outdated);
        }
        schedule(outdated ? ListFreshness.NEVER : freshness.outdatedAtUs(), nowUs);
    }

    private void schedule(long atUs, long nowUs) {
        if (timer != null && timerAtUs == atUs) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        if (atUs != ListFreshness.NEVER) {
            timerAtUs = atUs;
            timer = clock.schedule(atUs - nowUs, this::expired);
        }
    }

    /** After a stall, a list that has arrived in time is read first. */
    private void expired() {
        timer = null;
        clock.scheduleAfterRead(this::update);
    }
}
