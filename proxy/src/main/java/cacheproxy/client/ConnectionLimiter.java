package cacheproxy.client;

import cacheproxy.eventloop.EventLoopClock;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides which client connections stay open: limits their number, and closes those that send nothing or stop in the
 * middle of a command. One periodic sweep checks the oldest of each kind. A read timeout per connection would not do,
 * because every single byte would restart it.
 */
final class ConnectionLimiter {
    /** Clients must get an error or a close within 3 s of connecting; the rest is left for the sweep and a stall. */
    private static final long FIRST_COMMAND_TIMEOUT_US = 2_000_000;

    /** Same bound for a command that has begun; see {@link #FIRST_COMMAND_TIMEOUT_US}. */
    private static final long COMMAND_TIMEOUT_US = 2_000_000;

    private static final long IDLE_TIMEOUT_US = 10_000_000;
    /** Idle timeout of connections that were used once, while there are too many established connections. */
    private static final long SCARCE_IDLE_TIMEOUT_US = 80_000;

    private static final long SWEEP_INTERVAL_US = 200_000;

    private final ClientConnections connections;
    private final EventLoopClock clock;
    private final int maxConnections;
    private final int maxEstablished;
    private boolean trimScheduled;
    private final Set<ClientSession> all = new LinkedHashSet<>();
    /** Connections without a complete valid command yet, oldest first; the first to be closed to make room. */
    private final Set<ClientSession> unestablished = new LinkedHashSet<>();
    /** Connections between requests, longest idle first; the second set holds those that were used only once. */
    private final Set<ClientSession> idle = new LinkedHashSet<>();

    private final Set<ClientSession> idleUsedOnce = new LinkedHashSet<>();
    /** Connections being closed to make room. Their descriptors count until they are closed. */
    private final Set<ClientSession> closing = new HashSet<>();
    /** Connections in the middle of a command, in the order in which the commands began. */
    private final Set<ClientSession> insideCommand = new LinkedHashSet<>();

    ConnectionLimiter(ClientConnections connections, EventLoopClock clock, int maxConnections, int maxEstablished) {
        this.connections = connections;
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.maxEstablished = maxEstablished;
        clock.schedule(SWEEP_INTERVAL_US, this::sweep);
    }

    void opened(ClientSession session) {
        all.add(session);
        session.openedUs = clock.nowUs();
        if (all.size() > maxConnections && !makeRoom()) {
            session.rejectRequests();
            if (all.size() > maxConnections + ClientConnections.MAX_REJECTING) {
                session.closeImmediately(); // else no descriptor would be left to connect to endpoints
                return;
            }
        }
        unestablished.add(session);
    }

    /** Closes an idle connection; those that never sent a command are closed first. */
    private boolean makeRoom() {
        for (ClientSession session = firstToClose(); session != null; session = firstToClose()) {
            if (session.closeIfIdle()) {
                closed(session); // deregister at once: the next connection of a burst must not pick the same one
                return true;
            }
            unestablished.remove(session);
            removeIdle(session);
        }
        return false;
    }

    private ClientSession firstToClose() {
        if (!unestablished.isEmpty()) {
            return first(unestablished);
        }
        ClientSession usedOnce = first(idleUsedOnce);
        return usedOnce != null ? usedOnce : first(idle);
    }

    /** Called when the session has sent its first complete valid command. */
    void established(ClientSession session) {
        unestablished.remove(session);
    }

    void busy(ClientSession session) {
        session.reused |= idle.remove(session);
        idleUsedOnce.remove(session);
    }

    /**
     * Called when the session has no unanswered request; it may never send another. Above {@code maxEstablished}
     * connections that have sent a command, idle ones that were used only once are closed: clients that send one
     * request and stay connected would use that number up long before {@code maxConnections} is reached.
     */
    void idle(ClientSession session) {
        session.idleSinceUs = clock.nowUs();
        idle.remove(session);
        if (unestablished.contains(session)) {
            return;
        }
        idle.add(session);
        if (!session.reused) {
            idleUsedOnce.add(session);
        }
        if (hasTooManyEstablished() && !trimScheduled) {
            trimScheduled = true;
            clock.schedule(0, this::trim); // deferred: the decoder may still hold commands of the current read
        }
    }

    private boolean hasTooManyEstablished() {
        return all.size() - unestablished.size() - closing.size() > maxEstablished;
    }

    /** Spares connections that were reused: a new connection per request would cost more than this frees. */
    private void trim() {
        trimScheduled = false;
        long now = clock.nowUs();
        ClientSession session = first(idleUsedOnce);
        while (session != null && hasTooManyEstablished() && now - session.idleSinceUs > SCARCE_IDLE_TIMEOUT_US) {
            removeIdle(session);
            closing.add(session);
            session.drain();
            session = first(idleUsedOnce);
        }
    }

    private void removeIdle(ClientSession session) {
        idle.remove(session);
        idleUsedOnce.remove(session);
    }

    /** Called after each read: whether it ended inside a command, and whether it completed a command. */
    void readCompleted(ClientSession session, boolean endedInsideCommand, boolean commandCompleted) {
        if (!endedInsideCommand || commandCompleted) {
            insideCommand.remove(session);
        }
        if (endedInsideCommand && insideCommand.add(session)) {
            session.commandBegunUs = clock.nowUs();
        }
    }

    void closed(ClientSession session) {
        all.remove(session);
        unestablished.remove(session);
        removeIdle(session);
        closing.remove(session);
        insideCommand.remove(session);
    }

    int count() {
        return all.size();
    }

    /** The registered connections that are not being closed. */
    Stream<ClientSession> openSessions() {
        return all.stream().filter(ClientSession::isOpen);
    }

    List<ClientSession> all() {
        return List.copyOf(all);
    }

    private void sweep() {
        clock.schedule(SWEEP_INTERVAL_US, this::sweep); // first, so that an exception below does not end the sweeps
        trim();
        all.forEach(ClientSession::awaitTurnIfSuspended); // others may have released what it waits for
        long now = clock.nowUs();
        logStuck(now);
        failIncompleteCommands(now);
        closeWithoutCommand(now);
        closeIdle(now);
    }

    private void logStuck(long now) {
        int stuck = 0;
        for (ClientSession session : all) {
            stuck += session.isStuck(now) ? 1 : 0;
        }
        connections.logStuck(stuck);
    }

    private void failIncompleteCommands(long now) {
        for (ClientSession session = first(insideCommand);
                session != null && now - session.commandBegunUs > COMMAND_TIMEOUT_US;
                session = first(insideCommand)) {
            session.readArrived();
            if (now - session.commandBegunUs > COMMAND_TIMEOUT_US && insideCommand.remove(session)) {
                session.commandTimedOut();
            }
        }
    }

    private void closeWithoutCommand(long now) {
        for (ClientSession session = first(unestablished);
                session != null && now - session.openedUs > FIRST_COMMAND_TIMEOUT_US;
                session = first(unestablished)) {
            unestablished.remove(session);
            session.closeIfIdle();
        }
    }

    private void closeIdle(long now) {
        for (ClientSession session = first(idle);
                session != null && now - session.idleSinceUs > IDLE_TIMEOUT_US;
                session = first(idle)) {
            removeIdle(session);
            session.drain();
        }
    }

    private static ClientSession first(Set<ClientSession> sessions) {
        Iterator<ClientSession> iterator = sessions.iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }
}
