package cacheproxy.upstream;

import cacheproxy.common.PrintableText;
import cacheproxy.limits.FailureAttribution;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** This proxy's connections to one endpoint. Used on the event loop only. */
public final class EndpointPool {
    private static final int MAX_IDEMPOTENT_ONLY_IDLE = 8;

    private final EndpointPools pools;
    private final String name;
    private SocketAddress address;
    private long startedUs;
    private boolean restarted;
    /** The endpoint is draining or gone and is sent nothing new: a connection that becomes idle is closed. */
    private boolean drainingOrGone;
    /**
     * Consecutive rejections by this endpoint of requests from clients that were served before (by any endpoint) and
     * that no other endpoint has rejected.
     */
    private int consecutiveRejections;

    private final List<EndpointConnection> connections = new ArrayList<>();
    /** Most recently used last and taken first, so that surplus connections reach the idle timeout and are closed. */
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();
    /** Idle connections that only idempotent requests may use; these prefer them to the others. */
    private final ArrayDeque<EndpointConnection> idempotentOnlyIdle = new ArrayDeque<>();

    private final Map<EndpointConnection, Future<?>> idleTimers = new HashMap<>();

    EndpointPool(EndpointPools pools, String name, SocketAddress address, long startedUs) {
        this.pools = pools;
        this.name = PrintableText.of(name);
        this.address = address;
        this.startedUs = startedUs;
    }

    /** The endpoint's name as printed in the log. */
    public String name() {
        return name;
    }

    SocketAddress address() {
        return address;
    }

    /**
     * Sends an attempt, on a connection of its own while there is capacity. On a shared connection its response would
     * wait behind the other request's response and be lost with the connection.
     */
    public void send(Attempt attempt) {
        boolean idempotent = attempt.request().isIdempotent();
        EndpointConnection connection = takeIdle(idempotent);
        if (connection == null && connections.size() >= pools.connectionsPerEndpoint()) {
            connection = findShareable(idempotent);
        }
        if (connection == null) {
            connection = pools.connect(this);
        }
        if (connection == null) {
            connection = findShareable(idempotent); // no file descriptor is left
        }
        if (connection == null) {
            pools.logNoFileDescriptor(this);
            pools.listener.attemptCompleted(attempt, AttemptCompletion.NO_CAPACITY, null);
            return;
        }
        connection.add(attempt);
    }

    private EndpointConnection takeIdle(boolean idempotent) {
        EndpointConnection idempotentOnly = idempotent ? takeNewest(idempotentOnlyIdle, idempotent) : null;
        return idempotentOnly != null ? idempotentOnly : takeNewest(idle, idempotent);
    }

    private EndpointConnection takeNewest(ArrayDeque<EndpointConnection> candidates, boolean idempotent) {
        while (!candidates.isEmpty()) {
            EndpointConnection connection = candidates.pollLast();
            cancelIdleTimer(connection);
            if (idempotent ? connection.isUsable() : connection.isUsableAfterRead()) {
                return connection;
            }
        }
        return null;
    }

    /** The connection with the fewest attempts on it, if connections may be shared. */
    private EndpointConnection findShareable(boolean idempotent) {
        EndpointConnection best = leastLoaded(idempotent);
        while (best != null && !idempotent && (!best.isUsableAfterRead() || best.isIdempotentOnly())) {
            best = leastLoaded(idempotent); // the read closed that connection or restricted it to idempotent requests
        }
        return best;
    }

    private EndpointConnection leastLoaded(boolean idempotent) {
        EndpointConnection best = null;
        if (pools.streamsPerConnection > 1) {
            for (EndpointConnection connection : connections) {
                if (canShare(connection, idempotent) && (best == null || connection.load() < best.load())) {
                    best = connection;
                }
            }
        }
        return best;
    }

    private boolean canShare(EndpointConnection connection, boolean idempotent) {
        return connection.isUsable()
                && (idempotent || !connection.isIdempotentOnly())
                && connection.load() < pools.streamsPerConnection;
    }

    /**
     * Records that the endpoint served or rejected a request of this client. Returns whether a rejection shows that the
     * endpoint itself is at fault.
     */
    public boolean isAtFault(RejectionEvidence client, boolean rejected) {
        if (!rejected) {
            consecutiveRejections = 0;
            client.requestServed();
        } else if (client.requestRejectedBy(this)) {
            consecutiveRejections++;
        }
        return rejected && FailureAttribution.endpointAtFault(consecutiveRejections);
    }

    void add(EndpointConnection connection) {
        connections.add(connection);
    }

    /** Keeps a connection without attempts for reuse, or closes it. */
    void becameIdle(EndpointConnection connection) {
        if (drainingOrGone) {
            connection.close(UpstreamCloseReason.ENDPOINT_DRAINING_OR_GONE);
            return;
        }
        if (!connection.remoteAddress().equals(address)) {
            connection.close(UpstreamCloseReason.ADDRESS_CHANGED);
            return;
        }
        if (connection.isIdempotentOnly() && idempotentOnlyIdle.size() >= MAX_IDEMPOTENT_ONLY_IDLE) {
            // each busy response to a write leaves one behind; unbounded, they would use up the endpoint's connections
            idempotentOnlyIdle.peekFirst().close(UpstreamCloseReason.EVICTED);
        }
        (connection.isIdempotentOnly() ? idempotentOnlyIdle : idle).addLast(connection);
        // closed before the endpoint closes it: a request written at that moment would end with a reset
        idleTimers.put(
                connection,
                pools.clock.schedule(pools.idleTimeoutUs, () -> connection.close(UpstreamCloseReason.IDLE)));
    }

    /** Whether the connection is kept for reuse. */
    boolean isIdle(EndpointConnection connection) {
        return idleTimers.containsKey(connection);
    }

    private void cancelIdleTimer(EndpointConnection connection) {
        Future<?> timer = idleTimers.remove(connection);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    void remove(EndpointConnection connection) {
        if (connections.remove(connection)) {
            idle.remove(connection);
            idempotentOnlyIdle.remove(connection);
            cancelIdleTimer(connection);
            pools.connectionClosed();
        }
    }

    void onDrainingOrGone() {
        drainingOrGone = true;
        closeIdle();
        dropUnsent();
    }

    /** Completes all attempts that have not begun as not sent. */
    void dropUnsent() {
        List.copyOf(connections).forEach(EndpointConnection::dropUnsent);
    }

    /** Whether an attempt may begin now. */
    boolean acceptsAttempts() {
        return !drainingOrGone && !pools.isSuspended();
    }

    /** The endpoint is listed, possibly with another address or start time. */
    void update(SocketAddress newAddress, long newStartedUs) {
        drainingOrGone = false;
        boolean otherProcess = newStartedUs != startedUs || !address.equals(newAddress);
        restarted |= newStartedUs != startedUs;
        startedUs = newStartedUs;
        address = newAddress;
        if (otherProcess) {
            closeIdle();
        }
    }

    /**
     * The router has been notified of the endpoint list. Attempts that wait to be written to an earlier address, or
     * were routed before the endpoint restarted, are routed again.
     */
    void routerNotified() {
        for (EndpointConnection connection : List.copyOf(connections)) {
            if (restarted || !connection.remoteAddress().equals(address)) {
                connection.dropUnsent();
            }
        }
        restarted = false;
    }

    /** Closes all idle connections, and makes those that are about to become idle close instead. */
    public void closeIdle() {
        while (closeOldestIdle(UpstreamCloseReason.ENDPOINT_DRAINING_OR_GONE)) {
            // repeats until no connection is idle
        }
        connections.forEach(EndpointConnection::closeIfBecomingIdle);
    }

    /** Closes the oldest idle connection that only idempotent requests may use; returns false if there is none. */
    boolean closeOldestIdempotentOnly() {
        EndpointConnection connection = idempotentOnlyIdle.peekFirst();
        if (connection != null) {
            connection.close(UpstreamCloseReason.EVICTED);
        }
        return connection != null;
    }

    /** Closes the oldest idle connection, first of those for idempotent requests; returns false if none is idle. */
    boolean closeOldestIdle(UpstreamCloseReason reason) {
        EndpointConnection connection =
                idempotentOnlyIdle.isEmpty() ? idle.peekFirst() : idempotentOnlyIdle.peekFirst();
        if (connection == null) {
            return false;
        }
        connection.close(reason);
        return true;
    }
}
