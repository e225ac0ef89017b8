package cacheproxy.lab.process;

import cacheproxy.lab.standin.EndpointEntry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The paths between zones on real sockets: each node has a forwarding listener in every other zone, which delays bytes
 * or holds them back while the path is closed. The kernel accepts connections there in any case: a node that is cut off
 * looks silent, not unreachable.
 */
final class Relay implements AutoCloseable {
    /** Buffer limit of one direction, in bytes; reading stops beyond it. */
    private static final int MOST_HELD = 256 << 10;

    private static final long CLOSE_MS = 2_000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relay", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final long delayNs;
    private final Map<String, Way> ways = new HashMap<>();
    /** Local addresses of its connections to nodes, which these see as their peers. */
    private final Set<String> ends = ConcurrentHashMap.newKeySet();

    /** A path from one zone to another. */
    private static final class Way {
        private boolean closed;
        private final java.util.Set<Pipe> held = new java.util.LinkedHashSet<>();
    }

    Relay(double delayMs) {
        delayNs = (long) (delayMs * 1e6);
    }

    /** Opens a listener in a zone that forwards to a node in another, wherever that listens at the time. */
    InetSocketAddress door(String zone, String nodeZone, Supplier<InetSocketAddress> node) {
        Channel ch = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        dial(near, node.get(), zone, nodeZone);
                    }
                })
                .bind(EndpointEntry.address("127.0.5.1:0"))
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) ch.localAddress();
    }

    private void dial(Channel near, InetSocketAddress to, String zone, String nodeZone) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel far) {
                        near.pipeline().addLast(new Pipe(far, way(zone, nodeZone)));
                        far.pipeline().addLast(new Pipe(near, way(nodeZone, zone)));
                    }
                })
                .connect(to)
                .addListener((ChannelFutureListener) f -> {
                    if (f.isSuccess()) {
                        String end = EndpointEntry.text(
                                (InetSocketAddress) f.channel().localAddress());
                        ends.add(end); // before the first byte is forwarded
                        f.channel().closeFuture().addListener(g -> ends.remove(end));
                        near.read();
                        f.channel().read();
                    } else {
                        reset(near);
                    }
                });
    }

    private static void reset(Channel ch) {
        ch.config().setOption(ChannelOption.SO_LINGER, 0);
        ch.close();
    }

    private Way way(String from, String to) {
        return ways.computeIfAbsent(from + " " + to, x -> new Way());
    }

    /** Whether a peer address belongs to another zone; may be called from any thread. */
    boolean brings(String address) {
        return ends.contains(address);
    }

    /**
     * Closes or opens the path between two zones; held bytes are forwarded when it opens. May be called from any
     * thread.
     */
    void closed(String from, String to, boolean now) {
        loop.execute(() -> {
            Way w = way(from, to);
            w.closed = now;
            if (!now) {
                Pipe[] held = w.held.toArray(new Pipe[0]);
                w.held.clear();
                for (Pipe p : held) {
                    p.pump();
                }
            }
        });
    }

    /** One direction of a connection: forwards bytes with a delay. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private static final Object END = new Object();
        private final Channel to;
        private final Way way;
        /** Buffers and their times alternately; END stands for the end of the stream. */
        private final ArrayDeque<Object> queue = new ArrayDeque<>();

        private final ArrayDeque<Long> due = new ArrayDeque<>();
        private ChannelHandlerContext ctx;
        private int held;
        private boolean paused;
        private boolean ended;

        Pipe(Channel to, Way way) {
            this.to = to;
            this.way = way;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            ctx = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            held += ((ByteBuf) message).readableBytes();
            take(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            paused = held >= MOST_HELD;
            if (!paused) {
                ctx.read();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == io.netty.channel.socket.ChannelInputShutdownEvent.INSTANCE) {
                ended = true;
                take(END);
            }
        }

        private void take(Object what) {
            queue.add(what);
            due.add(System.nanoTime() + delayNs);
            loop.schedule(this::pump, delayNs, TimeUnit.NANOSECONDS);
        }

        private void pump() {
            while (!queue.isEmpty() && due.peek() <= System.nanoTime()) {
                if (way.closed) {
                    way.held.add(this);
                    return;
                }
                due.poll();
                Object first = queue.poll();
                if (first == END) {
                    ((io.netty.channel.socket.DuplexChannel) to).shutdownOutput();
                } else {
                    held -= ((ByteBuf) first).readableBytes();
                    to.writeAndFlush(first);
                }
            }
            if (paused && held < MOST_HELD) {
                paused = false;
                ctx.read();
            }
        }

        /** A close follows what was sent; a reset does not wait, not even while the path is closed. */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (ended) {
                return; // closed on both sides: the rest of its bytes is still in flight
            }
            way.held.remove(this);
            queue.forEach(io.netty.util.ReferenceCountUtil::release);
            queue.clear();
            due.clear();
            if (to.isActive()) {
                reset(to);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset(ctx.channel());
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_MS);
    }
}
