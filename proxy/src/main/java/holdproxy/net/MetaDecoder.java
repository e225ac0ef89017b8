package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Lines, each perhaps with a block of bytes after it: the framing of the memcache text protocol. */
abstract class MetaDecoder extends ByteToMessageDecoder {
    static final int LONGEST_LINE = 2048;
    static final int NO_BLOCK = -1;

    private final int largest;
    private final Budget budget;
    /** The block that is coming, null between blocks, and how much of it has come. */
    private byte[] block;
    private int filled;
    private boolean lost;

    /** {@code largest}: the longest block; {@code budget}: for all that come on connections like this. */
    MetaDecoder(int largest, Budget budget) {
        this.largest = largest;
        this.budget = budget;
    }

    /** Whether a message has begun to come and has not ended. */
    final boolean partial() {
        return !lost && (block != null || actualReadableBytes() > 0);
    }

    /** A line without its end; returns the length of the block that follows, or {@link #NO_BLOCK}. */
    abstract int line(String line, List<Object> out);

    abstract void block(byte[] value, List<Object> out);

    /** The peer no longer keeps to the framing: what it sends from here on is thrown away. */
    abstract void broken(String why, List<Object> out);

    @Override
    protected final void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (lost) {
            in.skipBytes(in.readableBytes());
        } else if (block != null) {
            decodeBlock(in, out);
        } else {
            decodeLine(in, out);
        }
    }

    /** A block is filled as it comes: gathered first, it would be held twice and more. */
    private void decodeBlock(ByteBuf in, List<Object> out) {
        int some = Math.min(in.readableBytes(), block.length - filled);
        in.readBytes(block, filled, some);
        filled += some;
        if (filled < block.length || in.readableBytes() < 2) {
            return;
        }
        byte[] value = block;
        release();
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            lose("bad data chunk", out);
            return;
        }
        block(value, out);
    }

    private void decodeLine(ByteBuf in, List<Object> out) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        int length = (end < 0 ? in.writerIndex() : end) - in.readerIndex();
        if (length > LONGEST_LINE) {
            lose("line too long", out); // or memory would grow with what a peer likes to send
        } else if (end >= 0) {
            String line = in.readString(length, StandardCharsets.ISO_8859_1);
            in.skipBytes(1);
            int follows = line(line.endsWith("\r") ? line.substring(0, length - 1) : line, out);
            if (follows > largest) {
                lose("object too large", out);
            } else if (follows != NO_BLOCK && follows < 0) {
                lose("bad data length", out);
            } else if (follows != NO_BLOCK && !budget.take(follows)) {
                lose("too much is coming at once", out);
            } else if (follows != NO_BLOCK) {
                block = new byte[follows];
                filled = 0;
            }
        }
    }

    private void lose(String why, List<Object> out) {
        lost = true;
        release();
        broken(why, out);
    }

    private void release() {
        if (block != null) {
            budget.give(block.length);
            block = null;
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        release();
    }

    /** A decimal number of at most nine digits, or a negative one where it is none. */
    static int number(String text) {
        if (text.isEmpty() || text.length() > 9) {
            return -2;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -2;
            }
        }
        return Integer.parseInt(text);
    }
}
