package cacheproxy.server;

import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.discovery.ListedEndpoint;
import cacheproxy.logging.Log;
import cacheproxy.memcache.RequestNames;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.RequestClass;
import cacheproxy.routing.TenantQuota;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Makes the JIT compiler compile the request path before the proxy listens: a second proxy on the same event loop, with
 * the same settings and its own router, serves generated clients from stand-in endpoints. Without it the first burst of
 * requests is interpreted, at about 5 ms of CPU time each, and times out.
 *
 * <p>The connections are pipes ({@link InMemoryChannel}): they run nearly the same code for selecting, reading and
 * writing as sockets, and no additional address is opened. Unix domain sockets are not available everywhere. The
 * warm-up does not touch discovery, real endpoints or the log.
 */
final class JitWarmUp {
    /**
     * More than 60, the number of calls after which the JVM, with the flags set in the deploy file, compiles a method;
     * so code that only some requests run is compiled too.
     */
    static final int REQUESTS = 84;

    private static final int CLIENTS = 4;
    /** A client opens a new connection after this many requests. */
    private static final int REQUESTS_PER_CONNECTION = 4;

    private static final int ENDPOINTS = 3;
    private static final int TIMEOUT_MS = 2_000;
    /** One in this many requests is answered {@code busy} by its endpoint and retried on another. */
    private static final int BUSY_INTERVAL = 30;

    private final EventLoop loop;
    private final ProxyServer proxy;
    /** Request classes whose names fit into a command; requests of other classes would be rejected. */
    private final List<RequestClass> classes;

    private final List<TenantQuota> tenants;
    private final boolean hasUsableNames;
    /** Placeholder address; nothing connects to it over the network. */
    private final SocketAddress placeholderAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final Promise<Void> done;
    private ChannelHandler acceptInitializer;
    private final List<Channel> open = new ArrayList<>();
    private int sentRequests;
    private int answered;
    private int endpointRequests;

    private JitWarmUp(ProxyConfiguration config, EventLoop loop) {
        this.loop = loop;
        classes = Arrays.stream(config.settings.requestClasses)
                .filter(c -> RequestNames.fitsCommandLine(c.name))
                .toList();
        tenants = Arrays.stream(config.settings.tenants)
                .filter(t -> RequestNames.fitsCommandLine(t.name))
                .toList();
        hasUsableNames = !classes.isEmpty() && (!tenants.isEmpty() || config.settings.tenants.length == 0);
        done = loop.newPromise();
        HostEnvironment host = new HostEnvironment(
                () -> InMemoryChannel.connectingTo(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        open.add(channel);
                        channel.pipeline().addLast(new StandInEndpoint());
                    }
                }),
                NioServerSocketChannel::new, // no server socket is created: the warm-up proxy never listens
                System::currentTimeMillis);
        proxy = new ProxyServer(config, loop, host, new Log(System::nanoTime, line -> {}), router -> router);
    }

    /**
     * Blocks until the warm-up has ended, for 2 s at most per step; must not be called on the event loop. A failure is
     * logged and does not stop the start; the first requests are then slow or time out.
     *
     * @return how many requests were answered
     */
    static int run(ProxyConfiguration config, EventLoop loop, Log log) throws InterruptedException {
        try {
            int answered = run(config.forWarmUp(), loop);
            if (answered < REQUESTS / 2) {
                log.line("JIT warm-up incomplete: " + answered + " of " + REQUESTS + " requests answered");
            }
            return answered;
        } catch (IOException | UnsupportedOperationException e) {
            log.line("JIT warm-up failed: " + e);
            return 0;
        }
    }

    private static int run(ProxyConfiguration config, EventLoop loop) throws InterruptedException, IOException {
        Future<JitWarmUp> created = loop.submit(() -> new JitWarmUp(config, loop));
        if (!created.await(TIMEOUT_MS) || !created.isSuccess()) {
            throw new IOException(created.cause());
        }
        JitWarmUp warmUp = created.getNow();
        try {
            loop.submit(() -> {
                        warmUp.begin();
                        return null;
                    })
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            warmUp.done.tryFailure(f.cause());
                        }
                    });
            warmUp.done.await(TIMEOUT_MS);
        } finally {
            loop.submit(warmUp::end).await(TIMEOUT_MS);
        }
        if (warmUp.done.isDone() && !warmUp.done.isSuccess()) {
            throw new IOException(warmUp.done.cause());
        }
        return warmUp.answered;
    }

    private void begin() throws IOException {
        if (!hasUsableNames) {
            throw new IOException("no request class or no tenant has a name that a command can hold");
        }
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            EndpointInfo endpointInfo = new EndpointInfo();
            endpointInfo.id = i;
            endpoints.add(new ListedEndpoint(endpointInfo, "warm-up-" + i, placeholderAddress));
        }
        acceptInitializer = proxy.serveWarmUp(endpoints);
        for (int i = 0; i < CLIENTS; i++) {
            connect();
        }
    }

    private void connect() {
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> InMemoryChannel.connectingTo(acceptInitializer))
                .handler(new Client())
                .connect(placeholderAddress);
    }

    private void end() {
        proxy.retire();
        List.copyOf(open).forEach(Channel::close); // which also closes the proxy's ends of the pipes
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** Cycles through the request classes, with an {@code mn} no-op now and then. */
    private String command() {
        int number = sentRequests++;
        if (number % 7 == 6) {
            return "mn\r\n";
        }
        RequestClass requestClass = classes.get(number % classes.size());
        String tenant =
                tenants.isEmpty() ? "" : ",t=" + RequestNames.inCommandLine(tenants.get(number % tenants.size()).name);
        long deadlineMs = Math.max(1, requestClass.deadlineUs / 1000);
        String fields = "O" + (1000 + number) + " Pc=" + RequestNames.inCommandLine(requestClass.name) + tenant + ",d="
                + deadlineMs;
        return requestClass.idempotency == Idempotency.IDEMPOTENT
                ? "mg 0123456789abcde" + number % 10 + " v " + fields + "\r\n"
                : "ms 0123456789abcde" + number % 10 + " 5 " + fields + ",k=" + number + "\r\nhello\r\n";
    }

    /** Sends a few requests per connection until enough were sent in all. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        private int sentOnConnection;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(ctx.channel());
            sendNext(ctx);
        }

        private void sendNext(ChannelHandlerContext ctx) {
            if (sentRequests >= REQUESTS) {
                done.trySuccess(null);
            } else if (sentOnConnection++ < REQUESTS_PER_CONNECTION) {
                ctx.writeAndFlush(bytes(command()));
            } else {
                ctx.close();
                connect();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf response) {
            // responses are small and written in one piece, so each arrives in one read
            answered += response.getByte(response.readerIndex()) == 'S' ? 0 : 1;
            sendNext(ctx);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A stand-in endpoint; each command arrives in one read. */
    private final class StandInEndpoint extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf command) {
            String text = command.toString(StandardCharsets.ISO_8859_1);
            int id = text.indexOf(" O") + 1;
            String opaque = text.substring(id, text.indexOf(' ', id));
            if (endpointRequests++ % BUSY_INTERVAL == BUSY_INTERVAL - 1) {
                ctx.writeAndFlush(bytes("SERVER_ERROR busy\r\n"));
            } else if (text.startsWith("mg")) {
                ctx.writeAndFlush(bytes("VA 5 " + opaque + " h1\r\nhello\r\n"));
            } else {
                ctx.writeAndFlush(bytes("HD " + opaque + " cabc\r\n"));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
