package cacheproxy.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelConfig;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;
import java.nio.ByteBuffer;

/**
 * Lets all channels of one event loop read into the same direct buffer, one after the other. Direct memory is scarce
 * and shared by the whole process, so a channel must not hold any while it waits for its peer: the first handler of
 * each pipeline copies what it keeps and releases the buffer before it returns.
 */
@SuppressWarnings("deprecation") // DefaultMaxMessagesRecvByteBufAllocator is the only base that limits reads per loop
public final class ReusedReceiveBuffer extends DefaultMaxMessagesRecvByteBufAllocator {
    private final ByteBuf buffer;

    /** @param maxReadBytes the most that one read takes from a socket */
    public ReusedReceiveBuffer(int maxReadBytes) {
        buffer = Unpooled.wrappedBuffer(ByteBuffer.allocateDirect(maxReadBytes));
    }

    @Override
    public Handle newHandle() {
        return new ReadHandle();
    }

    /** Decides for one channel how far a read goes, which by default ends where the buffer was not filled. */
    final class ReadHandle extends MaxMessageHandle {
        private UncheckedBooleanSupplier mayReadFurther;

        /** Makes the current read go on until the socket is empty or closed, as long as {@code mayReadFurther}. */
        void readToEnd(UncheckedBooleanSupplier mayReadFurther) {
            this.mayReadFurther = mayReadFurther;
        }

        @Override
        public void reset(ChannelConfig config) {
            mayReadFurther = null;
            super.reset(config);
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier mayHoldMore) {
            return mayReadFurther == null ? super.continueReading(mayHoldMore) : mayReadFurther.get();
        }

        @Override
        public int guess() {
            return buffer.capacity();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            boolean unused = buffer.refCnt() == 1;
            return unused ? buffer.clear().retain() : allocator.heapBuffer(guess());
        }
    }
}
