package cacheproxy.server;

import cacheproxy.eventloop.EventLoopClock;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * How long the connections that are accepted may have waited in the listener's backlog. The event loop accepts only
 * some of them at a time, and none for a while without a free file descriptor. Used on the event loop only.
 */
final class AcceptBacklog extends ChannelInboundHandlerAdapter {
    private static final long NOBODY_WAITS = -1;

    private final EventLoopClock clock;
    private int acceptedInBatch;
    private long waitingSinceUs = NOBODY_WAITS;

    AcceptBacklog(EventLoopClock clock) {
        this.clock = clock;
    }

    /** The time after which the connections that are being accepted have been made, in microseconds. */
    long waitingSinceUs() {
        return waitingSinceUs == NOBODY_WAITS ? clock.allReadUntilUs(clock.nowUs()) : waitingSinceUs;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        acceptedInBatch++;
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean mayHoldMore = acceptedInBatch >= maxBatch(ctx);
        acceptedInBatch = 0;
        waitingSinceUs = mayHoldMore ? waitingSinceUs() : NOBODY_WAITS;
        ctx.fireChannelReadComplete();
    }

    @SuppressWarnings("deprecation") // the only way to ask a channel for this limit
    private static int maxBatch(ChannelHandlerContext ctx) {
        return ctx.channel().config().getMaxMessagesPerRead();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        waitingSinceUs = waitingSinceUs(); // no file descriptor: the rest of the batch waits
        ctx.fireExceptionCaught(cause);
    }
}
