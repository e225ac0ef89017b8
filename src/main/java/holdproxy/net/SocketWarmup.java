package holdproxy.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs the code of accepting, connecting, reading, writing and closing before the proxy listens: most of what
 * a first burst of new connections finds uncompiled. Over a Unix domain socket, since that code is the same
 * and the proxy is to listen on no other address than its own.
 */
final class SocketWarmup {
    static final int ROUNDS = 35;
    private static final int MOST_MS = 2_000;

    private final EventLoop loop;
    private final UnixDomainSocketAddress at;
    private final Promise<Void> done;
    private int rounds;

    private SocketWarmup(EventLoop loop, Path file) {
        this.loop = loop;
        at = UnixDomainSocketAddress.of(file);
        done = loop.newPromise();
    }

    /** Not on the loop: waits for it. Without such sockets the proxy only starts slower. */
    static void run(EventLoop loop, ChannelHandler clients, Log log) throws InterruptedException {
        try {
            Path folder = Files.createTempDirectory("holdproxy");
            Path file = folder.resolve("warmup");
            try {
                new SocketWarmup(loop, file).rounds(clients);
            } finally {
                Files.deleteIfExists(file);
                Files.delete(folder);
            }
        } catch (IOException | UnsupportedOperationException e) {
            log.line("starting without a warm-up of sockets: " + e);
        }
    }

    private void rounds(ChannelHandler clients) throws InterruptedException, IOException {
        var bound = new ServerBootstrap().group(loop, loop).channel(NioServerDomainSocketChannel.class)
            .childHandler(clients).bind(at).await();
        if (!bound.isSuccess()) {
            throw new IOException(bound.cause());
        }
        loop.execute(this::round);
        done.await(MOST_MS);
        bound.channel().close().await();
    }

    private void round() {
        if (rounds++ == ROUNDS) {
            done.setSuccess(null);
            return;
        }
        new Bootstrap().group(loop).channel(NioDomainSocketChannel.class).handler(new Client()).connect(at)
            .addListener((ChannelFutureListener) f -> f.channel().writeAndFlush(
                Unpooled.copiedBuffer("mn\r\n", StandardCharsets.ISO_8859_1)));
    }

    /** Asks once and closes at the answer, which begins the next round. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf answer) {
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            loop.execute(SocketWarmup.this::round);
        }
    }
}
