package cacheproxy.server;

import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.logging.Log;
import cacheproxy.routing.RequestRouter;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * A complete proxy without its own process, for embedding; the lab runs thousands in one JVM. The caller provides the
 * event loop, the sockets and the time, and calls every method on that event loop. No thread is started. The
 * {@code serve} command does not load this class.
 */
public final class EmbeddedProxy {
    /** What the embedding host provides: the event loop, socket factories, and the Unix time in milliseconds. */
    public record Host(
            EventLoop loop,
            ChannelFactory<? extends Channel> outgoing,
            ChannelFactory<? extends ServerChannel> listening,
            LongSupplier unixMs) {}

    private final Map<String, String> env;
    private final Log log;
    private final ProxyServer proxy;
    private final ProxyConfiguration configuration;

    /**
     * @param logLines receives each log line
     * @param wrap wraps the router in tests; the identity function otherwise
     */
    public EmbeddedProxy(
            Map<String, String> env,
            String json,
            Host host,
            Consumer<String> logLines,
            UnaryOperator<RequestRouter> wrap) {
        this.env = env;
        configuration = ProxyConfiguration.parse(env, json);
        log = new Log(() -> host.loop().ticker().nanoTime(), logLines);
        HostEnvironment environment = new HostEnvironment(host.outgoing(), host.listening(), host.unixMs());
        proxy = new ProxyServer(configuration, host.loop(), environment, log, wrap);
    }

    /** Starts the proxy; completes once it listens. */
    public Future<Void> begin() {
        return proxy.begin();
    }

    /** The address that the proxy listens on. */
    public InetSocketAddress address() {
        return proxy.address();
    }

    /** Shuts down as on SIGTERM; completes once all requests are answered and all client connections are closed. */
    public Future<Void> end() {
        return proxy.drain(ProxyProcess.DRAIN_OPEN_MS);
    }

    /** Reloads as on SIGHUP, with the given text instead of the configuration file. */
    public void reload(String json) {
        ConfigurationReloader.apply(ProxyConfiguration.parseReload(env, json), configuration, log, proxy::reload);
    }

    /** Amounts of reserved resources by name; all zero when no connection or request is open. */
    public Map<String, Long> reserved() {
        return proxy.reserved();
    }
}
