package cacheproxy.client;

import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.limits.ByteBudget;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Shares memory among the values that clients are in the middle of sending. Above {@link #TARGET_BYTES} the values that
 * the proxy has waited for the longest are given up, but only those of clients that stop or trickle. Where that does
 * not free enough at once, further values stay unread up to the time by which such clients can be told from the others,
 * so that no client that sends as fast as it is read loses its value to them. Used on the event loop only.
 */
final class IncomingValueLimiter {
    /** Bytes of incoming values above which those of slow clients are given up. */
    private static final long TARGET_BYTES = 4L << 20;
    /** Bytes of incoming values that the heap has room for. */
    private static final long MAX_BYTES = 16L << 20;
    /** A client that was waited for this long in the middle of one value counts as slow. */
    private static final long SLOW_CLIENT_WAIT_US = 100_000;

    private static final long CHECK_INTERVAL_US = 10_000;
    /** Room that a waiting session is resumed for: what a decoder reserves at a time at the most. */
    private static final long MIN_ROOM_BYTES = 64L << 10;

    private final EventLoopClock clock;
    private final Supplier<Stream<ClientSession>> openSessions;
    private final ByteBudget budget = new ByteBudget(MAX_BYTES);
    /** Sessions whose values have no room, first the one that waits the longest. */
    private final Set<ClientSession> waiting = new LinkedHashSet<>();

    private boolean checkScheduled;

    /** {@code openSessions}: supplies the connections that are open. */
    IncomingValueLimiter(EventLoopClock clock, Supplier<Stream<ClientSession>> openSessions) {
        this.clock = clock;
        this.openSessions = openSessions;
    }

    /** The budget that the decoders of all clients reserve from. */
    ByteBudget budget() {
        return budget;
    }

    /** Resumes the session once there may be room for its value. */
    void await(ClientSession session) {
        waiting.add(session);
        scheduleCheck(0);
    }

    /** Called after a read that ended in the middle of a value. */
    void valueIncomplete() {
        if (exceedsTarget()) {
            scheduleCheck(0);
        }
    }

    void closed(ClientSession session) {
        waiting.remove(session);
    }

    private boolean exceedsTarget() {
        return budget.reservedBytes() > TARGET_BYTES;
    }

    private void scheduleCheck(long delayUs) {
        if (!checkScheduled) {
            checkScheduled = true;
            clock.schedule(delayUs, this::check);
        }
    }

    private void check() {
        try {
            giveUpSlowValues();
            resumeWaiting();
        } finally {
            checkScheduled = false; // last: a session that goes on waiting must not cause a check at once
            if (exceedsTarget() || !waiting.isEmpty()) {
                scheduleCheck(CHECK_INTERVAL_US);
            }
        }
    }

    private void giveUpSlowValues() {
        if (!exceedsTarget()) {
            return;
        }
        long now = clock.nowUs();
        List<ClientSession> slowestFirst = openSessions
                .get()
                .filter(session -> session.awaitedForValueUs(now) > SLOW_CLIENT_WAIT_US)
                .sorted(Comparator.comparingLong((ClientSession session) -> session.awaitedForValueUs(now))
                        .reversed())
                .toList();
        for (ClientSession session : slowestFirst) {
            if (!exceedsTarget()) {
                return;
            }
            session.discardValue();
        }
    }

    private void resumeWaiting() {
        Iterator<ClientSession> next = List.copyOf(waiting).iterator();
        while (next.hasNext() && MAX_BYTES - budget.reservedBytes() >= MIN_ROOM_BYTES) {
            ClientSession session = next.next();
            waiting.remove(session);
            session.resumeValue();
        }
    }
}
