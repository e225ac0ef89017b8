package cacheproxy.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Abusive clients: a number of connections of one kind, each reopened when it closes. Loopback only. */
public final class Attack implements AutoCloseable {
    /** The kinds of abuse. */
    public enum Kind {
        /** Line ends as fast as possible. */
        NEWLINES,
        /** {@code mn} as fast as possible; responses are read. */
        GREETINGS,
        /** Half a command and nothing more. */
        HALF,
        /** The command line of a 64 KiB write and nothing more. */
        ANNOUNCED,
        /** The same with all bytes of the value but the last. */
        ALMOST,
        /** 400 pipelined reads at once, repeated once all are answered. */
        PIPELINE,
        /** A read, after which the connection is closed immediately. */
        LEAVERS,
        /** Reads in another tenant's name with a timeout of 20 ms, 100 a second on each connection. */
        HASTE,
        /** Reads marked as retries, 100 a second on each connection. */
        MARKS,
        /** Reads whose responses are never read. */
        DEAF,
        /** Connections closed immediately, one after the other. */
        RECONNECT
    }

    private static final int PIECE = 1 << 16;
    private static final int PIPELINED = 400;
    private static final long AGAIN_MS = 1;
    private static final long TICK_MS = 10;
    private final Kind kind;
    private final InetSocketAddress to;
    private final String own;
    private final String other;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final AtomicLong ids = new AtomicLong(1L << 40);
    private final AtomicLong dials = new AtomicLong();
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean over;

    /** Opens the connections; {@code own} is the tenant they state, {@code other} the one in whose name some send. */
    public Attack(Kind kind, InetSocketAddress to, int connections, String own, String other) {
        if (!to.getAddress().isLoopbackAddress()) {
            throw new IllegalArgumentException("only loopback addresses are loaded, not " + to);
        }
        this.kind = kind;
        this.to = to;
        this.own = own;
        this.other = other;
        for (int i = 0; i < connections; i++) {
            dial(group.next());
        }
    }

    private void dial(EventLoop loop) {
        if (over) {
            return;
        }
        dials.incrementAndGet();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        open.add(ch);
                        ch.pipeline().addLast(new Line());
                    }
                })
                .connect(to)
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        loop.schedule(() -> dial(loop), 10 * AGAIN_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Number of connections opened so far. */
    public long dials() {
        return dials.get();
    }

    private ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private String read(String tenant, int waitMs, String more) {
        long id = ids.incrementAndGet();
        return "mg " + Long.toHexString(id * 0x9e3779b97f4a7c15L) + " v O" + Long.toHexString(id)
                + " Pc=phrase-lookup,t=" + tenant + ",d=" + waitMs + more + "\r\n";
    }

    private String write() {
        return "ms 5f3a 65536 O" + Long.toHexString(ids.incrementAndGet()) + " Pc=phrase-submit,t=" + own + ",d=1500,k="
                + ids.get() + "\r\n";
    }

    private final class Line extends ChannelInboundHandlerAdapter {
        private long answers;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            switch (kind) {
                case NEWLINES -> flood(ctx, "\n".repeat(PIECE));
                case GREETINGS -> flood(ctx, "mn\r\n".repeat(PIECE / 4));
                case HALF -> ctx.writeAndFlush(text("mg 5f3a v O1 Pc=phr"));
                case ANNOUNCED -> ctx.writeAndFlush(text(write()));
                case ALMOST -> ctx.writeAndFlush(text(write() + "v".repeat(65_535)));
                case PIPELINE -> pipeline(ctx);
                case LEAVERS -> ctx.writeAndFlush(text(read(own, 1_500, ""))).addListener(f -> ctx.close());
                case HASTE, MARKS -> tick(ctx);
                case DEAF -> {
                    ctx.channel().config().setAutoRead(false);
                    flood(ctx, null);
                }
                case RECONNECT -> ctx.close();
                default -> throw new IllegalStateException(kind.toString());
            }
        }

        private void flood(ChannelHandlerContext ctx, String piece) {
            while (ctx.channel().isActive() && ctx.channel().isWritable() && !over) {
                ctx.writeAndFlush(text(piece == null ? read(own, 1_500, "") : piece));
            }
        }

        private void pipeline(ChannelHandlerContext ctx) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < PIPELINED; i++) {
                all.append(read(own, 1_500, ""));
            }
            answers = 0;
            ctx.writeAndFlush(text(all.toString()));
        }

        private void tick(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive() && !over) {
                ctx.writeAndFlush(text(kind == Kind.HASTE ? read(other, 20, "") : read(own, 1_500, ",r=1")));
                ctx.executor().schedule(() -> tick(ctx), TICK_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (kind == Kind.NEWLINES) {
                flood(ctx, "\n".repeat(PIECE));
            } else if (kind == Kind.GREETINGS) {
                flood(ctx, "mn\r\n".repeat(PIECE / 4));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (kind == Kind.PIPELINE && message instanceof ByteBuf b) {
                int from = b.readerIndex();
                for (int i = from; i < b.writerIndex(); i++) {
                    // the first of the two lines of a value has the id
                    answers += b.getByte(i) == 'O' || b.getByte(i) == 'R' ? 1 : 0;
                }
                if (answers >= PIPELINED) {
                    pipeline(ctx);
                }
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            EventLoop loop = ctx.channel().eventLoop();
            loop.schedule(() -> dial(loop), AGAIN_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        over = true;
        open.close().awaitUninterruptibly(2_000);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3_000);
    }
}
