package cacheproxy.client;

import cacheproxy.eventloop.EventLoopClock;

/**
 * How long the proxy has waited for the bytes of one command, in microseconds: neither the time for which the proxy
 * left the client unread counts, nor the lateness of the event loop. A client that sends as fast as it is read is
 * hardly waited for, however long its command is; one that stops or trickles is waited for nearly all the time.
 */
final class ClientWait {
    private final EventLoopClock clock;
    private long completedUs;
    private boolean waiting;
    private long sinceUs;
    private long loopLateAtStartUs;

    ClientWait(EventLoopClock clock) {
        this.clock = clock;
    }

    boolean isWaiting() {
        return waiting;
    }

    /** Ends the current wait, if any, and begins the next one if {@code waits}. */
    void restart(boolean waits) {
        long now = clock.nowUs();
        completedUs = totalUs(now);
        waiting = waits;
        sinceUs = now;
        loopLateAtStartUs = clock.totalLatenessUs(now);
    }

    /** Forgets all waits: a new command begins. */
    void reset() {
        completedUs = 0;
        waiting = false;
    }

    /** The sum of all waits until {@code now}. */
    long totalUs(long now) {
        if (!waiting) {
            return completedUs;
        }
        long loopLateUs = clock.totalLatenessUs(now) - loopLateAtStartUs;
        return completedUs + Math.max(0, now - sinceUs - loopLateUs);
    }
}
