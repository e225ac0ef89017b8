package cacheproxy.configuration;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.LongSupplier;

/**
 * The parts of the host that a proxy uses besides its event loop, whose ticker is the monotonic clock: sockets and the
 * time of day. Passed in, so that a whole proxy can run on simulated ones.
 *
 * @param outgoing creates the channels for connections to endpoints and to discovery
 * @param listening creates the channel that accepts clients
 * @param unixMs the Unix time in milliseconds
 * @param allReadUntilNs the time, by the event loop's ticker, before which everything that arrived has been read; null
 *     if the polls of the loop are not recorded
 */
public record HostEnvironment(
        ChannelFactory<? extends Channel> outgoing,
        ChannelFactory<? extends ServerChannel> listening,
        LongSupplier unixMs,
        LongSupplier allReadUntilNs) {

    /** An environment of an event loop whose polls are not recorded. */
    public HostEnvironment(
            ChannelFactory<? extends Channel> outgoing,
            ChannelFactory<? extends ServerChannel> listening,
            LongSupplier unixMs) {
        this(outgoing, listening, unixMs, null);
    }

    /** Real sockets and the system clock. */
    public static HostEnvironment real() {
        return new HostEnvironment(NioSocketChannel::new, NioServerSocketChannel::new, System::currentTimeMillis);
    }

    /** The same environment of an event loop whose polls are recorded. */
    public HostEnvironment with(LongSupplier readUntilNs) {
        return new HostEnvironment(outgoing, listening, unixMs, readUntilNs);
    }
}
