package cacheproxy.upstream;

import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.eventloop.EventLoopListeners;
import cacheproxy.eventloop.ReusedReceiveBuffer;
import cacheproxy.limits.ByteBudget;
import cacheproxy.logging.Log;
import cacheproxy.memcache.MetaResponseDecoder;
import cacheproxy.routing.RoutingSettings;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ChannelFactory;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannelConfig;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The connection pools of all endpoints, by the number that the router gave the endpoint. One limit on file descriptors
 * applies to all of them together. Used on the event loop only.
 */
public final class EndpointPools {
    /** An idle connection is closed this fraction (1/n) of the idle timeout before the endpoint would close it. */
    private static final long IDLE_MARGIN_DIVISOR = 5;

    /** The most that one read takes from an endpoint. */
    private static final int MAX_READ_BYTES = 64 << 10;

    private static final long MAX_INCOMING_RESPONSE_BYTES = 12L << 20;

    final EventLoopClock clock;
    final Log log;
    final AttemptListener listener;
    final boolean hedging;
    /** How many requests may share one connection at a time. */
    final int streamsPerConnection;
    /** How long an unused connection is kept, in microseconds. */
    final long idleTimeoutUs;
    /** How long connecting may take, not counting the event loop's lateness, in microseconds. */
    final long connectTimeoutUs;
    /** A connection that took longer, lateness included, is not used: the endpoint may be draining by then. */
    final long maxConnectUs;

    private final int maxConnections;
    private final int maxConnectionsPerEndpoint;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<Integer, EndpointPool> poolsByNumber = new HashMap<>();
    private final ByteBudget incomingBytes = new ByteBudget(MAX_INCOMING_RESPONSE_BYTES);
    private int connections;
    /** Whether no attempt may begin at any endpoint. */
    private boolean suspended;

    /**
     * @param channels creates the channel of a new connection
     * @param maxConnections file descriptors for all endpoints together
     * @param maxConnectionsPerEndpoint before requests share connections; 0 for an equal share of maxConnections
     */
    public EndpointPools(
            RoutingSettings settings,
            EventLoop loop,
            EventLoopClock clock,
            ChannelFactory<? extends Channel> channels,
            Log log,
            AttemptListener listener,
            int maxConnections,
            int maxConnectionsPerEndpoint) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
        this.maxConnections = maxConnections;
        this.maxConnectionsPerEndpoint = maxConnectionsPerEndpoint;
        hedging = settings.hedgingAllowed;
        // an abandoned attempt stays in flight on a shared connection; its retry would be a hedged request
        streamsPerConnection = hedging ? settings.streamsPerConnection : 1;
        idleTimeoutUs = settings.idleTimeoutUs - settings.idleTimeoutUs / IDLE_MARGIN_DIVISOR;
        connectTimeoutUs = settings.effectiveConnectTimeoutUs();
        maxConnectUs = settings.latestConnectUs();
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ReusedReceiveBuffer(MAX_READ_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0); // EndpointConnection's own timer allows for stalls
    }

    /** Adds or updates an endpoint that is listed as serving or draining at this address. */
    public void put(int endpoint, String name, SocketAddress address, long startedUs) {
        EndpointPool pool = poolsByNumber.get(endpoint);
        if (pool == null) {
            poolsByNumber.put(endpoint, new EndpointPool(this, name, address, startedUs));
        } else {
            pool.update(address, startedUs);
        }
    }

    /** The router has been notified of a list in which the endpoint may have a new address or start time. */
    public void routerNotified(int endpoint) {
        EndpointPool pool = poolsByNumber.get(endpoint);
        if (pool != null) {
            pool.routerNotified();
        }
    }

    /** The endpoint is draining, or was removed from the list. */
    public void drainOrRemove(int endpoint, boolean removed) {
        EndpointPool pool = poolsByNumber.get(endpoint);
        if (pool != null) {
            pool.onDrainingOrGone();
            if (removed) {
                poolsByNumber.remove(endpoint);
            }
        }
    }

    /** From now on no attempt begins; those that have not begun are completed as not sent. Connections are kept. */
    public void suspend() {
        suspended = true;
        List.copyOf(poolsByNumber.values()).forEach(EndpointPool::dropUnsent);
    }

    /** Attempts may begin again. */
    public void resume() {
        suspended = false;
    }

    boolean isSuspended() {
        return suspended;
    }

    /** The number of attempts that the connections of all endpoints have room for. */
    public int maxAttempts() {
        return maxConnections * streamsPerConnection;
    }

    /** The pool of a listed endpoint; null if the endpoint is not listed. */
    public EndpointPool get(int endpoint) {
        return poolsByNumber.get(endpoint);
    }

    /** The bytes reserved for responses that are being received. */
    public long incomingBytes() {
        return incomingBytes.reservedBytes();
    }

    /** How many connections an endpoint may have before requests share them. */
    int connectionsPerEndpoint() {
        return maxConnectionsPerEndpoint > 0
                ? maxConnectionsPerEndpoint
                : Math.max(1, maxConnections / Math.max(1, poolsByNumber.size()));
    }

    void logNoFileDescriptor(EndpointPool pool) {
        log.line("no file descriptor left for a connection to endpoint " + pool.name());
    }

    /** Opens a new connection; null if no file descriptor is left for it. */
    EndpointConnection connect(EndpointPool pool) {
        if (connections >= maxConnections && !evictIdleConnection()) {
            return null;
        }
        connections++;
        MetaResponseDecoder decoder = new MetaResponseDecoder(incomingBytes);
        EndpointConnection connection = new EndpointConnection(this, pool, pool.address(), decoder);
        pool.add(connection);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (channel.config() instanceof SocketChannelConfig tcp) {
                            tcp.setTcpNoDelay(true);
                        }
                        if (channel instanceof CheckedSocketChannel checked) {
                            checked.mayBegin(connection::mayBeginNow);
                        }
                        channel.pipeline().addLast(decoder, connection);
                    }
                })
                .connect(pool.address())
                .addListener(EventLoopListeners.onLoop(loop, connection::connectCompleted));
        connection.startConnectTimer();
        return connection;
    }

    private boolean evictIdleConnection() {
        return poolsByNumber.values().stream().anyMatch(EndpointPool::closeOldestIdempotentOnly)
                || poolsByNumber.values().stream().anyMatch(pool -> pool.closeOldestIdle(UpstreamCloseReason.EVICTED));
    }

    void connectionClosed() {
        connections--;
    }
}
