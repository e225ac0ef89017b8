package cacheproxy.lab.process;

import cacheproxy.lab.simulation.EventRecord;
import cacheproxy.lab.simulation.Link;
import cacheproxy.lab.simulation.Listener;
import cacheproxy.lab.simulation.Network;
import cacheproxy.lab.verification.RecordedEvent;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** A network of stand-ins on loopback sockets, on one thread; only their own sides are recorded. */
public final class LoopbackNetwork implements Network, AutoCloseable {
    /** Buffer of a simulated direction in bytes; kernels hold a little more. */
    private static final int WINDOW = 256 << 10;

    private static final int DIAL_MS = 3_000;
    private static final int BACKLOG = 512;
    private static final int LOOK_MS = 1;
    private static final long CLOSE_MS = 5_000;
    private static final long BEAT_MS = 50;
    /** A stall of this thread beyond this many ms makes observed delays unreliable. */
    private static final long BLIND_MS = 250;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("stand-ins", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Came> came = new ArrayList<>();
    private final Set<LoopbackLink> links = new LinkedHashSet<>();
    private final Set<Object> cut = new HashSet<>();
    private final long origin = System.nanoTime();
    private final long unixAtOrigin = System.currentTimeMillis();
    private final EventRecord record = new EventRecord();
    private final Set<Channel> open = new LinkedHashSet<>();
    /** Diallers by local address, for the accepting side. */
    private final Map<InetSocketAddress, String> diallers = new HashMap<>();

    private Throwable fault;
    private long nextLink = 1;
    private long beatNs = nowNs();

    public LoopbackNetwork() {
        loop.scheduleWithFixedDelay(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Records stalls of this thread, so that programs are not blamed for what it observed late. */
    private void beat() {
        long now = nowNs();
        long late = now - beatNs - BEAT_MS * 1_000_000;
        if (late > BLIND_MS * 1_000_000) {
            fact("stand-ins", "blind", Long.toString(late));
        }
        beatNs = now;
    }

    @Override
    public long nowNs() {
        return System.nanoTime() - origin;
    }

    @Override
    public long unixMs() {
        return unixAtOrigin + nowNs() / 1_000_000;
    }

    @Override
    public void after(long delayNs, Runnable task) {
        loop.schedule(() -> guarded(task), Math.max(0, delayNs), TimeUnit.NANOSECONDS);
    }

    /** Exceptions of stand-ins fail the calls that wait. */
    void guarded(Runnable task) {
        try {
            task.run();
        } catch (Throwable t) {
            if (fault == null) {
                fault = t;
            }
        }
    }

    @Override
    public Listener listen(String who, InetSocketAddress at, Supplier<Link.Handler> handlers) {
        ServerSocketChannel bound;
        InetSocketAddress address;
        try {
            bound = ServerSocketChannel.open();
            bound.socket().setReuseAddress(true);
            bound.socket().setReceiveBufferSize(WINDOW);
            bound.bind(at, BACKLOG); // here, so that the address is known immediately
            address = (InetSocketAddress) bound.getLocalAddress();
        } catch (IOException e) {
            throw new UncheckedIOException(who + " cannot listen on " + at, e);
        }
        ChannelFuture listening = new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> new NioServerSocketChannel(bound))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, WINDOW)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        InetSocketAddress from = (InetSocketAddress) ch.remoteAddress();
                        LoopbackLink link = new LoopbackLink(LoopbackNetwork.this, ch, who, nextLink++, handlers.get());
                        record(RecordedEvent.Kind.OPEN, link.id(), who, null, diallers.getOrDefault(from, shown(from)));
                        keep(ch);
                        ch.pipeline().addLast(link);
                    }
                })
                .register();
        Channel channel = listening.channel();
        on(() -> keep(channel));
        return new Listener() {
            @Override
            public InetSocketAddress address() {
                return address;
            }

            @Override
            public void close() {
                channel.close();
                try {
                    bound.close(); // immediately, on any thread
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        };
    }

    @Override
    public void dial(String who, InetSocketAddress to, Link.Handler handler) {
        long id = nextLink++;
        record(RecordedEvent.Kind.DIAL, id, who, null, shown(to));
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, WINDOW)
                .option(ChannelOption.SO_RCVBUF, WINDOW)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        keep(ch);
                        ch.pipeline().addLast(new LoopbackLink(LoopbackNetwork.this, ch, who, id, handler));
                    }
                })
                .connect(to, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .addListener((ChannelFutureListener) f -> {
                    if (!f.isSuccess()) {
                        record(
                                RecordedEvent.Kind.REFUSED,
                                id,
                                who,
                                null,
                                f.cause().getClass().getSimpleName());
                        guarded(() -> handler.broken(null, "refused"));
                    }
                });
    }

    @Override
    public void fact(String who, String what, String detail) {
        record(RecordedEvent.Kind.FACT, 0, who, null, detail.isEmpty() ? what : what + " " + detail);
    }

    void dialled(InetSocketAddress from, String who) {
        diallers.put(from, who);
    }

    private void keep(Channel ch) {
        open.add(ch);
        ch.closeFuture().addListener(f -> {
            open.remove(ch);
            diallers.remove(ch.localAddress());
        });
    }

    /**
     * Isolates a stand-in, by its name, or a program, by its listen address, or restores it. Nothing is read from it or
     * written to it; kernels continue to accept connections and some bytes.
     */
    void isolate(Object place, boolean on) {
        if (on) {
            cut.add(place);
        } else {
            cut.remove(place);
        }
        List.copyOf(links).forEach(this::holdIfCut);
    }

    private void holdIfCut(LoopbackLink l) {
        l.hold(cut.stream().anyMatch(l::touches));
    }

    /** Handles an established connection. */
    void up(LoopbackLink l) {
        links.add(l);
        l.onClose(() -> links.remove(l));
        holdIfCut(l);
    }

    /** Queues what was received, to be recorded and delivered in order. */
    private record Came(LoopbackLink link, RecordedEvent.Kind kind, byte[] bytes) {}

    void came(LoopbackLink link, RecordedEvent.Kind kind, byte[] bytes) {
        if (came.isEmpty()) {
            loop.execute(this::take);
        }
        came.add(new Came(link, kind, bytes));
    }

    /**
     * Reads all unread bytes first and delivers closed connections before open ones: a program may close a connection
     * and then send elsewhere, and in selector order the close, which follows bytes, would be observed after the send,
     * as if two attempts had been in flight.
     */
    private void take() {
        for (Channel ch : List.copyOf(open)) {
            if (ch instanceof NioSocketChannel
                    && ch.isActive()
                    && ch.config().isAutoRead()
                    && ch.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
                socket.read(); // an end of stream after bytes is not read with them
            }
        }
        List<Came> all = List.copyOf(came);
        came.clear();
        Set<LoopbackLink> over = new HashSet<>();
        all.stream().filter(c -> c.kind != RecordedEvent.Kind.ARRIVED).forEach(c -> over.add(c.link));
        all.stream().filter(c -> over.contains(c.link)).forEach(c -> c.link.take(c.kind, c.bytes));
        all.stream().filter(c -> !over.contains(c.link)).forEach(c -> c.link.take(c.kind, c.bytes));
    }

    private static String shown(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    /** Facts may be added from the driver's thread. */
    void record(RecordedEvent.Kind kind, long link, String who, byte[] data, String note) {
        synchronized (record) {
            record.add(new RecordedEvent(nowNs(), kind, link, who, data, note));
        }
    }

    // ---- for the driver, from its own thread ----

    /** The record so far. */
    List<RecordedEvent> events() {
        synchronized (record) {
            return List.copyOf(record.events());
        }
    }

    /** Runs a task on the network's thread and waits for its result. */
    public <T> T call(Callable<T> task) {
        if (loop.inEventLoop()) {
            throw new IllegalStateException("already on the net's thread");
        }
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new AssertionError(e.getCause());
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    public void run(Runnable task) {
        call(() -> {
            task.run();
            return null;
        });
    }

    private void on(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    /** Waits until a condition holds on the network's thread; returns false on timeout. */
    public boolean await(BooleanSupplier holds, long limitMs) {
        long limit = System.nanoTime() + limitMs * 1_000_000;
        while (true) {
            boolean held = call(() -> {
                if (fault != null) {
                    throw new AssertionError("a stand-in failed", fault);
                }
                return holds.getAsBoolean();
            });
            if (held || System.nanoTime() > limit) {
                return held;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Closes all connections and listeners and waits for it. */
    @Override
    public void close() {
        run(() -> List.copyOf(open).forEach(Channel::close));
        group.shutdownGracefully(0, CLOSE_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_MS);
    }
}
