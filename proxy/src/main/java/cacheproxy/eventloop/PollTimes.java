package cacheproxy.eventloop;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import io.netty.util.concurrent.Ticker;
import java.nio.channels.spi.SelectorProvider;

/**
 * When an event loop last began to poll its sockets. Each poll reports everything that had come before it, and all that
 * it reports is read before the next one. So what is read after a poll arrived after the poll before that had begun,
 * however long the loop took in between and whatever held it up.
 *
 * <p>One instance belongs to one event loop and is used on that loop only. Costs no system call.
 */
public final class PollTimes implements SelectStrategy {
    private final Ticker ticker = Ticker.systemTicker();
    private final long createdNs = ticker.nanoTime();
    private long lastPollNs = createdNs;
    private long secondLastPollNs = createdNs;

    /** The I/O handler factory of the event loop whose polls are recorded. */
    public IoHandlerFactory recordedIo() {
        return NioIoHandler.newFactory(SelectorProvider.provider(), () -> this);
    }

    /** Called by the event loop before each poll; selects as Netty does by default. */
    @Override
    public int calculateStrategy(IntSupplier pollNow, boolean hasTasks) throws Exception {
        secondLastPollNs = lastPollNs;
        lastPollNs = ticker.nanoTime();
        return hasTasks ? pollNow.get() : SelectStrategy.SELECT;
    }

    /** The time, by the event loop's ticker, before which everything that arrived has been read by now. */
    public long allReadUntilNs() {
        return secondLastPollNs;
    }
}
