package cacheproxy.eventloop;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/** Creates listeners of channel futures that run on the event loop. */
public final class EventLoopListeners {
    private EventLoopListeners() {}

    /**
     * Returns a listener that always runs on {@code eventLoop}. Without a free file descriptor, Netty cannot create a
     * channel and notifies of the failure on another thread.
     */
    public static ChannelFutureListener onLoop(EventLoop eventLoop, Consumer<ChannelFuture> listener) {
        return future -> {
            if (eventLoop.inEventLoop()) {
                listener.accept(future);
            } else {
                eventLoop.execute(() -> listener.accept(future));
            }
        };
    }
}
