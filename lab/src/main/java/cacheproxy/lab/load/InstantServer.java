package cacheproxy.lab.load;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.ByteProcessor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A server that answers every meta command immediately with a value or a receipt, to measure the load generator itself.
 */
public final class InstantServer implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group;
    private final Channel listening;
    /** Time of {@link System#nanoTime} until which it does not answer. */
    private volatile long stillUntil = System.nanoTime();
    /** Responds with wrong ids from now on. */
    private volatile boolean confused;

    private volatile String chatter = "";
    private volatile boolean cutting;

    /** Listens on a free loopback port with this many threads. */
    public InstantServer(int threads) throws InterruptedException {
        group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        listening = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new Line());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
    }

    /** The listen address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Stalls all its threads. */
    public void standStill(long ms) {
        stillUntil = System.nanoTime() + ms * 1_000_000;
    }

    /** Sends this text unsolicited after each response. */
    public void say(String line) {
        chatter = line;
    }

    /** Closes each connection in the middle of a response. */
    public void cut() {
        cutting = true;
    }

    /** Whether its responses have unknown ids. */
    public void confuse() {
        confused = true;
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly(); // first: without its loop a port may stay open and accept
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).awaitUninterruptibly(3_000);
    }

    private final class Line extends ByteToMessageDecoder {
        private int skip;

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> none) {
            long still = stillUntil - System.nanoTime();
            if (still > 0) {
                java.util.concurrent.locks.LockSupport.parkNanos(still);
            }
            ByteBuf out = ctx.alloc().buffer(in.readableBytes());
            while (in.isReadable()) {
                if (skip > 0) {
                    if (in.readableBytes() < skip) {
                        break;
                    }
                    in.skipBytes(skip);
                    skip = 0;
                    continue;
                }
                int length = in.forEachByte(ByteProcessor.FIND_LF) - in.readerIndex();
                if (length < 0) {
                    break;
                }
                answer(in.readCharSequence(length, StandardCharsets.US_ASCII).toString(), out);
                in.skipBytes(1);
            }
            if (cutting && out.isReadable()) {
                ctx.writeAndFlush(out.slice(0, out.readableBytes() / 2)).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            ctx.writeAndFlush(out, ctx.voidPromise());
        }

        private void answer(String line, ByteBuf out) {
            int at = line.indexOf(" O");
            if (at < 0) {
                ByteBufUtil.writeAscii(out, "MN\r\n");
                return;
            }
            int to = line.indexOf(' ', at + 1);
            String id = confused ? " Onone" : line.substring(at, to < 0 ? line.length() - 1 : to);
            if (line.startsWith("ms ")) {
                skip = Integer.parseInt(line.substring(line.indexOf(' ', 3) + 1, at)) + 2;
                ByteBufUtil.writeAscii(out, "HD" + id + " c1\r\n");
            } else {
                ByteBufUtil.writeAscii(out, "VA 5" + id + "\r\nvalue\r\n");
            }
            ByteBufUtil.writeAscii(out, chatter);
        }
    }
}
