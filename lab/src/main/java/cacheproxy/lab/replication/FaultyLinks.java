package cacheproxy.lab.replication;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * TCP links between member processes, one per pair and direction, that can be made faulty. A link forwards frames (four
 * bytes of length, then the body) and may drop, hold, delay, duplicate or reorder them, or reset its connections. It
 * accepts connections even while it is cut, so that a connect succeeds and nothing comes back. Methods may be called
 * from any thread.
 */
public final class FaultyLinks implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int MAX_HELD_FRAMES = 4_096;

    /** The state of one link; used on the event loop only. */
    public static final class Link {
        private boolean cut;
        private boolean hold;
        private double loss;
        private double duplication;
        private double reordering;
        private long delayMs;
        private InetSocketAddress target;
        private InetSocketAddress listenAddress;
        private final ArrayDeque<Runnable> heldFrames = new ArrayDeque<>();
        private final List<Channel> connections = new ArrayList<>();
        private long forwardedFrames;
        private long droppedFrames;
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("faulty-links", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SplittableRandom random;
    private final Map<String, Link> links = new HashMap<>();

    public FaultyLinks(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Adds a link to a member that listens at this address; the address that the sender has to connect to. */
    public InetSocketAddress addLink(String from, String to, InetSocketAddress listens) {
        Link link = new Link();
        link.target = listens;
        Channel ch = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel inbound) {
                        link.connections.add(inbound);
                        inbound.closeFuture().addListener(f -> link.connections.remove(inbound));
                        inbound.pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 0),
                                        new ForwardingHandler(link));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
        link.listenAddress = (InetSocketAddress) ch.localAddress();
        loop.submit(() -> links.put(from + ">" + to, link)).syncUninterruptibly();
        return link.listenAddress;
    }

    private void update(String from, String to, java.util.function.Consumer<Link> change) {
        loop.submit(() -> {
                    Link link = links.get(from + ">" + to);
                    if (link != null) {
                        change.accept(link);
                    }
                })
                .syncUninterruptibly();
    }

    /** Drops all frames. */
    public void cut(String from, String to, boolean active) {
        update(from, to, link -> link.cut = active);
    }

    /** Holds frames back, or forwards all held ones at once. */
    public void hold(String from, String to, boolean active) {
        update(from, to, link -> {
            link.hold = active;
            while (!active && !link.heldFrames.isEmpty()) {
                link.heldFrames.poll().run();
            }
        });
    }

    /** Resets the connections of the link. */
    public void reset(String from, String to) {
        update(
                from,
                to,
                link -> List.copyOf(link.connections).forEach(ch -> {
                    ch.config().setOption(ChannelOption.SO_LINGER, 0);
                    ch.close();
                }));
    }

    /** Sets the probabilities of loss, duplication and reordering, and the delay, of all links. */
    public void degradeAll(double loss, double duplication, double reordering, long delayMs) {
        loop.submit(() -> links.values().forEach(link -> {
                    link.loss = loss;
                    link.duplication = duplication;
                    link.reordering = reordering;
                    link.delayMs = delayMs;
                }))
                .syncUninterruptibly();
    }

    /** Ends all faults and forwards all held frames. */
    public void heal() {
        degradeAll(0, 0, 0, 0);
        loop.submit(() -> links.forEach((name, link) -> {
                    link.cut = false;
                    link.hold = false;
                    while (!link.heldFrames.isEmpty()) {
                        link.heldFrames.poll().run();
                    }
                }))
                .syncUninterruptibly();
    }

    /** The numbers of forwarded and of dropped frames. */
    public long[] frameCounts() {
        long[] counts = new long[2];
        loop.submit(() -> links.values().forEach(link -> {
                    counts[0] += link.forwardedFrames;
                    counts[1] += link.droppedFrames;
                }))
                .syncUninterruptibly();
        return counts;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Forwards the frames of one connection to the receiver, over a connection of its own. */
    private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Link link;
        private Channel outbound;
        private final List<ByteBuf> beforeConnect = new ArrayList<>();

        ForwardingHandler(Link link) {
            this.link = link;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                                @Override
                                public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
                                    from.close(); // members send on connections of their own: only its end arrives here
                                }
                            });
                        }
                    })
                    .connect(link.target)
                    .addListener((ChannelFuture f) -> {
                        if (!f.isSuccess()) {
                            ctx.close();
                            return;
                        }
                        outbound = f.channel();
                        outbound.closeFuture().addListener(g -> ctx.close());
                        beforeConnect.forEach(outbound::write);
                        outbound.flush();
                        beforeConnect.clear();
                    });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf frame = (ByteBuf) message;
            if (link.cut || random.nextDouble() < link.loss) {
                link.droppedFrames++;
                frame.release();
                return;
            }
            if (random.nextDouble() < link.duplication) {
                forward(frame.retainedDuplicate());
            }
            forward(frame);
        }

        private void forward(ByteBuf frame) {
            link.forwardedFrames++;
            if (link.hold) {
                if (link.heldFrames.size() < MAX_HELD_FRAMES) {
                    link.heldFrames.add(() -> write(frame));
                } else {
                    frame.release();
                }
                return;
            }
            long delayMs = random.nextDouble() < link.reordering ? link.delayMs + random.nextLong(5, 60) : link.delayMs;
            if (delayMs > 0) {
                loop.schedule(() -> write(frame), delayMs, TimeUnit.MILLISECONDS);
            } else {
                write(frame);
            }
        }

        private void write(ByteBuf frame) {
            if (outbound != null && outbound.isActive() && outbound.isWritable()) {
                outbound.writeAndFlush(frame);
            } else if (outbound == null && beforeConnect.size() < 64) {
                beforeConnect.add(frame);
            } else {
                frame.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            beforeConnect.forEach(ByteBuf::release);
            beforeConnect.clear();
            if (outbound != null) {
                outbound.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
