package cacheproxy.client;

import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.eventloop.ReusedReceiveBuffer;
import cacheproxy.limits.DeficitRoundRobin;
import cacheproxy.limits.DynamicThreshold;
import cacheproxy.logging.Log;
import cacheproxy.memcache.MetaCommandDecoder;
import cacheproxy.memcache.RequestNames;
import io.netty.channel.Channel;
import java.util.List;

/**
 * All client connections of the proxy and what they share: the bound on their number, the byte budgets, and the fair
 * order in which their commands are decoded. Used on the event loop only.
 */
public final class ClientConnections {
    /** Connections above the limit that still receive an error response before they are closed. */
    public static final int MAX_REJECTING = 16;

    private static final long MAX_UNWRITTEN_RESPONSE_BYTES = 12L << 20;
    /** The most that one read takes from a client, all of which may stay undecoded while its reading is suspended. */
    private static final int MAX_READ_BYTES = 8 << 10;
    /** Undecoded bytes of all suspended connections up to which one may be read far ahead. */
    private static final long MAX_READ_AHEAD_BYTES = 4L << 20;
    /** A connection may be read ahead as far as 1/n of what is left of these bytes. */
    private static final int READ_AHEAD_DIVISOR = 2;

    /** Work of one scheduling turn in the cost units of {@link ClientSession}: four requests, or sixteen no-ops. */
    private static final double TURN_QUANTUM = 16;

    private static final int TURNS_PER_ROUND = 3;

    private final EventLoopClock clock;
    private final Log log;
    private final RequestNames names;
    private final RequestHandler handler;
    private final ConnectionLimiter limiter;
    private final ReusedReceiveBuffer receiveBuffer = new ReusedReceiveBuffer(MAX_READ_BYTES);
    private final DynamicThreshold readAhead = new DynamicThreshold(MAX_READ_AHEAD_BYTES, READ_AHEAD_DIVISOR);
    /** Connections with bytes that are waiting to be decoded as commands. */
    private final DeficitRoundRobin<ClientSession> turns = new DeficitRoundRobin<>(TURN_QUANTUM);

    private final RequestShares shares;
    private final IncomingValueLimiter incomingValues;
    private final UnwrittenResponseLimiter unwrittenResponses;

    private boolean roundScheduled;
    private long unwrittenResponseBytes;
    private long readAheadBytes;
    /** Run once all connections are closed; null until they are to be closed. */
    private Runnable onAllClosed;

    /**
     * @param maxConnections number of open connections above which new ones are rejected
     * @param maxEstablished number of connections that have sent a command above which those that were used only once
     *     are closed when idle
     * @param maxRequests requests that can be in progress at a time
     * @param maxValueBytes bytes of values of open requests
     */
    public ClientConnections(
            EventLoopClock clock,
            Log log,
            RequestNames names,
            RequestHandler handler,
            int maxConnections,
            int maxEstablished,
            int maxRequests,
            long maxValueBytes) {
        this.clock = clock;
        this.log = log;
        this.names = names;
        this.handler = handler;
        limiter = new ConnectionLimiter(this, clock, maxConnections, maxEstablished);
        shares = new RequestShares(maxRequests, maxValueBytes);
        unwrittenResponses = new UnwrittenResponseLimiter(limiter::openSessions);
        incomingValues = new IncomingValueLimiter(clock, limiter::openSessions);
    }

    /**
     * Adds the handlers of a client connection to a new channel's pipeline.
     *
     * @param waitingSinceUs the time after which the client has connected
     */
    public void initialize(Channel channel, long waitingSinceUs) {
        MetaCommandDecoder decoder = new MetaCommandDecoder(names, incomingValues.budget());
        channel.config().setRecvByteBufAllocator(receiveBuffer);
        channel.pipeline().addLast(decoder, new ClientSession(this, decoder, waitingSinceUs));
    }

    /** How many connections are open. */
    public int count() {
        return limiter.count();
    }

    /** A copy of the list of open connections. */
    public List<ClientSession> all() {
        return limiter.all();
    }

    /**
     * Closes each connection, present or future, as soon as it has no unanswered request. Runs {@code onAllClosed} when
     * no connection is left.
     */
    public void closeAll(Runnable onAllClosed) {
        this.onAllClosed = onAllClosed;
        limiter.all().forEach(ClientSession::drain);
        notifyIfAllClosed();
    }

    /** Decodes and answers everything already read without waiting for a turn, because the process is about to end. */
    public void decodeAllNow() {
        limiter.all().forEach(ClientSession::decodeNow);
    }

    /** Bytes of values that clients are in the middle of sending. */
    public long incomingValueBytes() {
        return incomingValues.budget().reservedBytes();
    }

    /** Undecoded bytes of connections whose reading is suspended. */
    public long readAheadBytes() {
        return readAheadBytes;
    }

    /** Bytes of responses that have not been written to the clients' sockets yet. */
    public long unwrittenResponseBytes() {
        return unwrittenResponseBytes;
    }

    EventLoopClock clock() {
        return clock;
    }

    RequestHandler handler() {
        return handler;
    }

    RequestShares shares() {
        return shares;
    }

    ConnectionLimiter limiter() {
        return limiter;
    }

    IncomingValueLimiter incomingValues() {
        return incomingValues;
    }

    void addReadAheadBytes(int change) {
        readAheadBytes += change;
    }

    /** How many undecoded bytes one suspended connection may hold. */
    long readAheadLimit() {
        return readAhead.limit(readAheadBytes);
    }

    void addUnwrittenResponseBytes(int change) {
        unwrittenResponseBytes += change;
    }

    /** Keeps the unwritten responses of all connections within their limit. */
    void limitUnwrittenResponses() {
        if (unwrittenResponseBytes > MAX_UNWRITTEN_RESPONSE_BYTES) {
            unwrittenResponses.reduce(clock.nowUs(), () -> unwrittenResponseBytes > MAX_UNWRITTEN_RESPONSE_BYTES);
        }
    }

    void connectionIdle(ClientSession session) {
        limiter.idle(session);
        if (onAllClosed != null) {
            session.drain();
        }
    }

    void connectionClosed(ClientSession session) {
        limiter.closed(session);
        incomingValues.closed(session);
        notifyIfAllClosed();
    }

    private void notifyIfAllClosed() {
        if (onAllClosed != null && limiter.count() == 0) {
            onAllClosed.run();
        }
    }

    /** Must be called before the connection is closed, while its remote address is still known. */
    void logClose(Channel channel, String reason) {
        if (log.tracesRequests()) {
            log.line(Log.Topic.REQUESTS, "client connection " + channel.remoteAddress() + " closed: " + reason);
        }
    }

    /** Logs the number of connections whose responses or commands are waiting for the proxy itself. */
    void logStuck(int connections) {
        if (connections > 0) {
            log.line(connections + " client connections have had responses or commands waiting in the proxy for over"
                    + " 0.1 s");
        }
    }

    // ---- fair scheduling of command decoding ----

    void beginRead(DeficitRoundRobin.FlowState flowState) {
        turns.onWorkArrived(flowState);
    }

    /** Queues a session that has undecoded commands for its next turn. */
    void awaitTurn(ClientSession session, DeficitRoundRobin.FlowState flowState) {
        turns.enqueue(session, flowState);
        scheduleRound();
    }

    /** Uses a timer, because tasks that submit one another would keep the event loop from polling its sockets. */
    private void scheduleRound() {
        if (!roundScheduled) {
            roundScheduled = true;
            clock.schedule(0, this::runRound);
        }
    }

    /** Runs a few turns, then lets the event loop poll its sockets, so that sessions with few commands do not wait. */
    private void runRound() {
        roundScheduled = false; // cleared first: a session that does not finish in its turn schedules the next
        for (int turnsLeft = Math.min(TURNS_PER_ROUND, turns.queuedFlows()); turnsLeft > 0; turnsLeft--) {
            turns.next().resumeDecoding();
        }
        if (turns.queuedFlows() > 0) {
            scheduleRound();
        }
    }
}
