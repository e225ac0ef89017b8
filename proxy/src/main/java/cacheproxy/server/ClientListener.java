package cacheproxy.server;

import cacheproxy.client.ClientConnections;
import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.eventloop.EventLoopClock;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Accepts client connections. At shutdown it goes on accepting for a while, then closes each connection once its
 * requests are answered. Used on the event loop only.
 */
final class ClientListener {
    private static final int BACKLOG = 512;

    /** After a restart the previous process may hold the address a moment longer, so binding is retried. */
    private static final int MAX_BIND_ATTEMPTS = 30;

    private static final int BIND_RETRY_MS = 100;
    /** Rounds of accepting connections that arrived before the shutdown; each round takes at least 2 ms. */
    private static final int MAX_ACCEPT_ROUNDS = 50;

    private final ClientConnections clients;
    private final EventLoopClock clock;
    private final ProxyConfiguration configuration;
    private final EventLoop loop;
    private final HostEnvironment host;
    private AcceptBacklog backlog;
    private final Promise<Void> open;
    private final Promise<Void> drained;
    private Channel channel;
    private int accepted;
    private int acceptRounds;
    private int bindRetries;
    private boolean draining;

    ClientListener(
            ClientConnections clients,
            EventLoopClock clock,
            ProxyConfiguration configuration,
            EventLoop loop,
            HostEnvironment host) {
        this.clients = clients;
        this.clock = clock;
        this.configuration = configuration;
        this.loop = loop;
        this.host = host;
        backlog = new AcceptBacklog(clock);
        open = loop.newPromise();
        drained = loop.newPromise();
    }

    /** Starts listening; fails if the address cannot be bound. Never completes if the shutdown begins first. */
    Future<Void> open() {
        if (draining) {
            return open;
        }
        backlog = new AcceptBacklog(clock); // another one for each channel
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(host.listening())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(backlog)
                .childHandler(clientInitializer())
                .bind(configuration.listen);
        channel = bound.channel();
        bound.addListener((ChannelFutureListener) this::onBound);
        return open;
    }

    private void onBound(ChannelFuture bound) {
        if (bound.isSuccess() && draining) {
            channel.close();
        } else if (bound.isSuccess()) {
            open.setSuccess(null);
        } else if (bound.cause() instanceof BindException && bindRetries++ < MAX_BIND_ATTEMPTS) {
            loop.schedule(this::open, BIND_RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            open.setFailure(bound.cause());
        }
    }

    /** Sets up the pipeline of each accepted connection. */
    ChannelInitializer<Channel> clientInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel client) {
                accepted++;
                clients.initialize(client, backlog.waitingSinceUs());
            }
        };
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    boolean isListening() {
        return open.isSuccess();
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Accepts connections for another {@code acceptMs}, then closes each once its requests are answered. Completes when
     * no connection is left.
     */
    Future<Void> drain(long acceptMs) {
        draining = true;
        if (!open.isSuccess()) {
            return drained.setSuccess(null); // not listening yet, so no client has connected
        }
        loop.schedule(this::stopAccepting, acceptMs, TimeUnit.MILLISECONDS);
        return drained;
    }

    /** Stops once a round accepts no connection: after a stall the kernel holds many, and a round takes only a few. */
    private void stopAccepting() {
        int acceptedBefore = accepted;
        clock.scheduleAfterRead(() -> {
            if (accepted != acceptedBefore && acceptRounds++ < MAX_ACCEPT_ROUNDS) {
                stopAccepting(); // closing the listener now would reset the connections that are not accepted yet
            } else {
                channel.close();
                clock.scheduleAfterRead(this::closeAll);
            }
        });
    }

    private void closeAll() {
        clients.closeAll(() -> drained.trySuccess(null));
    }
}
