package cacheproxy.discovery;

import cacheproxy.eventloop.EventLoopClock;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection on which nothing is received within a timeout, but only after the event loop has read once more:
 * after a stall of the loop, timers may run before data is read that arrived in time.
 */
final class ReadSilenceHandler extends ReadTimeoutHandler {
    private final EventLoopClock clock;
    private long messagesRead;

    ReadSilenceHandler(EventLoopClock clock, int timeoutMs) {
        super(timeoutMs, TimeUnit.MILLISECONDS);
        this.clock = clock;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        messagesRead++;
        super.channelRead(ctx, message);
    }

    @Override
    protected void readTimedOut(ChannelHandlerContext ctx) {
        long messagesReadBefore = messagesRead;
        clock.scheduleAfterRead(() -> {
            if (messagesRead == messagesReadBefore && ctx.channel().isActive()) {
                ctx.fireExceptionCaught(ReadTimeoutException.INSTANCE);
                ctx.close();
            }
        });
    }
}
