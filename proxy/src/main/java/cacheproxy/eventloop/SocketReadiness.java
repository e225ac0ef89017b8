package cacheproxy.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.util.UncheckedBooleanSupplier;

/** Reads sockets before the selector reports them as readable. */
public final class SocketReadiness {
    private SocketReadiness() {}

    /**
     * Reads the data that the kernel holds for this channel and fires its events immediately. Called on the event loop
     * before a decision that depends on whether the peer has sent data or closed the connection, because the selector
     * decides the order of events within one iteration of the loop. Returns whether the kernel may hold more.
     */
    public static boolean readNow(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return mayHoldMore(channel);
    }

    /**
     * Makes the read that is under way go on until the socket is empty or closed, as long as {@code mayReadFurther}:
     * the read of a short message does not show the close behind it. Returns whether this channel can do so.
     */
    public static boolean readToEnd(Channel channel, UncheckedBooleanSupplier mayReadFurther) {
        if (channel.unsafe().recvBufAllocHandle() instanceof ReusedReceiveBuffer.ReadHandle handle) {
            handle.readToEnd(mayReadFurther);
            return true;
        }
        return false;
    }

    /** Whether the last read has found the socket empty, so that the peer had not closed the connection by then. */
    public static boolean foundNothing(Channel channel) {
        boolean socket = channel.unsafe() instanceof AbstractNioChannel.NioUnsafe;
        return !socket || channel.unsafe().recvBufAllocHandle().lastBytesRead() == 0;
    }

    /** Whether the last read has found that the peer has closed the connection, which is acted on after the read. */
    public static boolean foundClose(Channel channel) {
        boolean socket = channel.unsafe() instanceof AbstractNioChannel.NioUnsafe;
        return socket && channel.unsafe().recvBufAllocHandle().lastBytesRead() < 0;
    }

    /** Whether the kernel may hold data of this channel behind what its last read has taken. */
    public static boolean mayHoldMore(Channel channel) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe)) {
            return false;
        }
        RecvByteBufAllocator.Handle lastRead = channel.unsafe().recvBufAllocHandle();
        return lastRead.lastBytesRead() > 0 && lastRead.lastBytesRead() >= lastRead.attemptedBytesRead();
    }
}
