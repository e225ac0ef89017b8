package cacheproxy.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads sockets before the selector reports them as readable. */
public final class SocketReadiness {
    private SocketReadiness() {}

    /**
     * Reads the data that the kernel holds for this channel and fires its events immediately. Called on the event loop
     * before a decision that depends on whether the peer has sent data or closed the connection, because the selector
     * decides the order of events within one iteration of the loop.
     */
    public static void readNow(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }
}
