package cacheproxy.memcache;

import cacheproxy.limits.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * The framing of the memcached text protocol: lines, some of them followed by a data block. Subclasses turn lines and
 * blocks into messages. One instance serves one connection, on its event loop. Memory is bounded: a line by
 * {@link #MAX_LINE_BYTES}, a block by the given maximum, the blocks of all connections of a kind by a shared budget.
 * Undecoded bytes are copied to the heap, in a buffer of their size, so that no connection holds the receive buffer.
 */
public abstract class MetaProtocolDecoder extends ByteToMessageDecoder {
    /** The longest line, without its line end. */
    public static final int MAX_LINE_BYTES = 2048;
    /** Returned by {@link #onLine} when no data block follows. */
    protected static final int NO_BLOCK = -1;
    /** Returned by {@link #parseNumber} for text that is not a number; as a block length it loses the framing. */
    protected static final int NOT_A_NUMBER = -2;

    /** Reserved for an announced block before its data arrives, so that a silent peer can't use up the budget. */
    private static final int INITIAL_BLOCK_BYTES = 4 << 10;

    /** A block that outgrows its initial size is reserved whole up to this size, and doubles from there. */
    private static final int MIN_GROWN_BLOCK_BYTES = 64 << 10;

    private static final byte[] NOTHING_RESERVED = {};

    /** A buffer up to this size is not worth copying when most of it is decoded. */
    private static final int MIN_COMPACTED_BYTES = 512;

    private static final int MAX_NUMBER_DIGITS = 9;
    private static final int LINE_END_BYTES = 2;

    /** The owner's control over decoding; after either method has stopped it, the owner calls {@link #resume} later. */
    public interface ReadGate {
        /** Whether to keep all bytes undecoded until the owner calls {@link #resume}, those of a block as well. */
        default boolean keepsAll() {
            return false;
        }

        /** Decides before each message whether to decode it now. */
        boolean mayRead();

        /**
         * The budget has no room for more of a block. Returns whether to wait for room; without it, framing is lost.
         */
        default boolean awaitBudget() {
            return false;
        }
    }

    private final int maxBlockBytes;
    private final ByteBudget budget;
    /** The part of the current block that is allocated so far; null between blocks. */
    private byte[] block;

    private int blockFilled;
    private int blockLength;
    /** How many bytes of a discarded block are still to come, with its line end. */
    private int bytesToSkip;

    private boolean framingLost;
    /** Whether the undecoded bytes are being copied, during which nothing is decoded. */
    private boolean compacting;

    private long receivedBytes;

    private ReadGate gate = () -> true;
    private ChannelHandlerContext context;

    /** {@code budget}: for blocks being received, shared by the decoders of all connections of this kind. */
    protected MetaProtocolDecoder(int maxBlockBytes, ByteBudget budget) {
        this.maxBlockBytes = maxBlockBytes;
        this.budget = budget;
        setCumulator(this::copyUndecoded);
    }

    /** Sets the gate; without one, every message is decoded as soon as it arrives. */
    public final void gate(ReadGate gate) {
        this.gate = gate;
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Whether there are received bytes that wait to be decoded as messages. */
    public final boolean hasUndecodedBytes() {
        return !framingLost && block == null && bytesToSkip == 0 && actualReadableBytes() > 0;
    }

    /** The number of bytes received so far. */
    public final long receivedBytes() {
        return receivedBytes;
    }

    /** The number of received bytes that wait to be decoded. */
    public final int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Whether received bytes are not decoded yet: a part of a message, or messages that the gate holds back. */
    public final boolean isInsideMessage() {
        return !framingLost && (block != null || bytesToSkip > 0 || actualReadableBytes() > 0);
    }

    /** Whether a block was announced that has not arrived completely and is kept. */
    public final boolean isReceivingBlock() {
        return block != null;
    }

    /** Whether the rest of a discarded block is awaited. */
    public final boolean isSkippingBlock() {
        return bytesToSkip > 0;
    }

    /** Resumes decoding after the gate had stopped it. */
    public final void resume() throws Exception {
        channelRead(context, Unpooled.EMPTY_BUFFER);
        channelReadComplete(context);
    }

    /** Overridden because Netty's implementation would continue to read although auto-read is off. */
    @Override
    public final void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        releaseDecodedBytes();
        ctx.fireChannelReadComplete();
    }

    private void releaseDecodedBytes() throws Exception {
        if (actualReadableBytes() > 0 && isMostlyDecoded(internalBuffer())) {
            compacting = true;
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } finally {
                compacting = false;
            }
        }
    }

    private static boolean isMostlyDecoded(ByteBuf bytes) {
        return bytes.capacity() > MIN_COMPACTED_BYTES && bytes.readableBytes() < bytes.capacity() / 2;
    }

    /** Returns all undecoded bytes in a heap buffer of their size; releases the buffers that they came in. */
    private ByteBuf copyUndecoded(ByteBufAllocator allocator, ByteBuf undecoded, ByteBuf received) {
        if (!received.isReadable() && !isMostlyDecoded(undecoded)) {
            received.release();
            return undecoded;
        }
        receivedBytes += received.readableBytes();
        try {
            return allocator
                    .heapBuffer(undecoded.readableBytes() + received.readableBytes())
                    .writeBytes(undecoded)
                    .writeBytes(received);
        } finally {
            undecoded.release();
            received.release();
        }
    }

    /**
     * Releases the received part of the current block and skips the rest as it arrives; the messages behind it are
     * decoded as usual. Returns false if there is no block.
     */
    public final boolean discardBlock() {
        if (block == null) {
            return false;
        }
        bytesToSkip = blockLength - blockFilled + LINE_END_BYTES;
        releaseBlock();
        return true;
    }

    /** Decodes a line, given without its end. Returns the length of the block that follows, or {@link #NO_BLOCK}. */
    protected abstract int onLine(String line, List<Object> out);

    /** Decodes the block that the last line announced. */
    protected abstract void onBlock(byte[] bytes, List<Object> out);

    /** The input violates the framing; all further input is ignored. */
    protected abstract void onFramingLost(String reason, List<Object> out);

    @Override
    protected final void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (compacting || gate.keepsAll()) {
            return;
        }
        if (framingLost) {
            in.skipBytes(in.readableBytes());
        } else if (bytesToSkip > 0) {
            skipDiscardedBlock(in, out);
        } else if (block != null) {
            decodeBlock(in, out);
        } else if (gate.mayRead()) {
            decodeLine(in, out);
        }
    }

    private void skipDiscardedBlock(ByteBuf in, List<Object> out) {
        int ofBlock = Math.min(in.readableBytes(), bytesToSkip - LINE_END_BYTES);
        in.skipBytes(ofBlock);
        bytesToSkip -= ofBlock;
        if (bytesToSkip == LINE_END_BYTES && in.readableBytes() >= LINE_END_BYTES) {
            bytesToSkip = 0;
            readBlockEnd(in, out);
        }
    }

    /** Fills the block as its bytes arrive; accumulating them first would hold them in memory twice. */
    private void decodeBlock(ByteBuf in, List<Object> out) {
        if (blockFilled == block.length && blockFilled < blockLength && !growBlock()) {
            if (!gate.awaitBudget()) {
                loseFraming("too much is coming at once", out);
            }
            return;
        }
        int count = Math.min(in.readableBytes(), block.length - blockFilled);
        in.readBytes(block, blockFilled, count);
        blockFilled += count;
        if (blockFilled < blockLength || in.readableBytes() < LINE_END_BYTES) {
            return;
        }
        byte[] bytes = block;
        releaseBlock();
        if (readBlockEnd(in, out)) {
            onBlock(bytes, out);
        }
    }

    private boolean readBlockEnd(ByteBuf in, List<Object> out) {
        boolean valid = in.readByte() == '\r' && in.readByte() == '\n';
        if (!valid) {
            loseFraming("bad data chunk", out);
        }
        return valid;
    }

    private boolean growBlock() {
        int size = block.length < INITIAL_BLOCK_BYTES
                ? INITIAL_BLOCK_BYTES
                : Math.max(MIN_GROWN_BLOCK_BYTES, block.length * 2);
        size = Math.min(size, blockLength);
        if (!budget.reserve(size - block.length)) {
            return false;
        }
        block = Arrays.copyOf(block, size);
        return true;
    }

    private void decodeLine(ByteBuf in, List<Object> out) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        int length = (end < 0 ? in.writerIndex() : end) - in.readerIndex();
        if (length > MAX_LINE_BYTES) {
            in.skipBytes(in.readableBytes()); // ByteToMessageDecoder rejects output without input read
            loseFraming("line too long", out);
        } else if (end >= 0) {
            String line = in.readString(length, StandardCharsets.ISO_8859_1);
            in.skipBytes(1);
            int announcedBytes = onLine(line.endsWith("\r") ? line.substring(0, length - 1) : line, out);
            if (announcedBytes != NO_BLOCK) {
                beginBlock(announcedBytes, out);
            }
        }
    }

    private void beginBlock(int length, List<Object> out) {
        if (length > maxBlockBytes) {
            loseFraming("object too large", out);
        } else if (length < 0) {
            loseFraming("bad data length", out);
        } else if (budget.reserve(Math.min(length, INITIAL_BLOCK_BYTES))) {
            beginBlock(length, new byte[Math.min(length, INITIAL_BLOCK_BYTES)]);
        } else if (gate.awaitBudget()) {
            beginBlock(length, NOTHING_RESERVED);
        } else {
            loseFraming("too much is coming at once", out);
        }
    }

    private void beginBlock(int length, byte[] reserved) {
        block = reserved;
        blockLength = length;
        blockFilled = 0;
    }

    private void loseFraming(String reason, List<Object> out) {
        framingLost = true;
        bytesToSkip = 0;
        releaseBlock();
        onFramingLost(reason, out);
    }

    private void releaseBlock() {
        if (block != null) {
            budget.release(block.length);
            block = null;
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        releaseBlock();
    }

    /** A decimal number of at most nine digits, or {@link #NOT_A_NUMBER}. */
    protected static int parseNumber(String text) {
        if (text.isEmpty() || text.length() > MAX_NUMBER_DIGITS) {
            return NOT_A_NUMBER;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return NOT_A_NUMBER;
            }
        }
        return Integer.parseInt(text);
    }
}
