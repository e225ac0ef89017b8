package cacheproxy.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection in three steps: shuts down the output, discards input for {@link #LINGER_MS}, closes. A client
 * whose certificate is rejected still writes the rest of its handshake; if the connection were closed at once, that
 * would fail with a broken pipe and the client would never see the alert with the reason.
 */
final class LingeringClose extends ChannelDuplexHandler {
    private static final int LINGER_MS = 500;

    private boolean closing;

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        if (closing || !ctx.channel().isActive()) {
            ctx.channel().closeFuture().addListener(f -> promise.trySuccess());
            if (!closing) {
                ctx.close();
            }
            return;
        }
        closing = true;
        ctx.read(); // only reads here: auto-read would also resume the session's pipeline
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
            if (f.isSuccess()) {
                ((DuplexChannel) ctx.channel()).shutdownOutput();
            }
        });
        ctx.executor().schedule(() -> ctx.close(promise), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (closing) {
            ctx.read();
        } else {
            ctx.fireChannelReadComplete();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else {
            ctx.fireChannelRead(message);
        }
    }
}
