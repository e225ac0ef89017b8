package cacheproxy.lab.load;

import cacheproxy.lab.verification.RecordedEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.ByteProcessor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;

/** One connection of the load generator; responses arrive in command order. */
final class LoadConnection extends ByteToMessageDecoder {
    private static final int LONGEST_LINE = 2_048;

    /** A request in flight. */
    record Sent(long id, long dueNs, boolean counts) {}

    private final LoadLoop loop;
    final int number;
    private final ArrayDeque<Sent> out = new ArrayDeque<>();
    private Channel channel;
    private long link;
    boolean touched;
    /** Bytes of the current value still expected, with the line end; -1 for none. */
    private int value = -1;

    private boolean right;

    LoadConnection(LoadLoop loop, int number) {
        this.loop = loop;
        this.number = number;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (ctx.channel().localAddress().equals(ctx.channel().remoteAddress())) {
            ctx.close(); // nobody listens, and the kernel connected the socket to itself
            loop.deaf(this);
            return;
        }
        channel = ctx.channel();
        if (loop.judged()) {
            link = loop.link();
            InetSocketAddress to = (InetSocketAddress) channel.remoteAddress();
            loop.note(RecordedEvent.Kind.DIAL, link, null, to.getAddress().getHostAddress() + ":" + to.getPort());
        }
        loop.up(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (loop.judged() && message instanceof ByteBuf b) {
            loop.note(RecordedEvent.Kind.ARRIVED, link, ByteBufUtil.getBytes(b), null);
        }
        super.channelRead(ctx, message);
    }

    int open() {
        return out.size();
    }

    boolean takes(int pipeline) {
        return channel != null && out.size() < pipeline;
    }

    void send(ByteBuf command, Sent sent) {
        out.add(sent);
        if (loop.judged()) {
            loop.note(RecordedEvent.Kind.SENT, link, ByteBufUtil.getBytes(command), null);
        }
        channel.write(command, channel.voidPromise());
    }

    void flush() {
        if (channel != null) {
            channel.flush();
        }
    }

    ByteBuf buffer() {
        return channel.alloc().buffer(128);
    }

    /** The oldest request timed out: closes the connection. */
    void expire(long beforeNs) {
        if (!out.isEmpty() && out.peek().dueNs < beforeNs && channel != null) {
            close();
        }
    }

    void close() {
        if (channel != null) {
            if (loop.judged()) {
                out.forEach(s -> loop.note(RecordedEvent.Kind.FACT, 0, null, "gone " + Long.toHexString(s.id)));
                loop.note(RecordedEvent.Kind.END_SENT, link, null, null);
            }
            channel.close();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> none) {
        while (in.isReadable()) {
            if (value >= 0) {
                if (in.readableBytes() < value) {
                    return;
                }
                in.skipBytes(value);
                value = -1;
                end(right ? LoadResult.End.SERVED : LoadResult.End.WRONG);
                continue;
            }
            int length = in.forEachByte(ByteProcessor.FIND_LF) - in.readerIndex();
            if (length < 0) {
                if (in.readableBytes() > LONGEST_LINE) {
                    ctx.close();
                }
                return;
            }
            String line = in.toString(in.readerIndex(), Math.max(0, length - 1), StandardCharsets.ISO_8859_1);
            in.skipBytes(length + 1);
            if (out.isEmpty()) {
                loop.stray();
                ctx.close();
                return;
            }
            answer(ctx, line);
        }
    }

    private void answer(ChannelHandlerContext ctx, String line) {
        if (line.startsWith("SERVER_ERROR busy")) {
            end(LoadResult.End.REFUSED);
            return;
        }
        boolean va = line.startsWith("VA ");
        if (!va && !line.startsWith("HD ")) {
            end(LoadResult.End.FAILED);
            return;
        }
        int at = line.indexOf(" O");
        int to = at < 0 ? -1 : line.indexOf(' ', at + 2);
        right = at >= 0 && line.substring(at + 2, to < 0 ? line.length() : to).equals(Long.toHexString(out.peek().id));
        if (!va) {
            end(right ? LoadResult.End.SERVED : LoadResult.End.WRONG);
            return;
        }
        try {
            value = Integer.parseInt(line.substring(3, line.indexOf(' ', 3))) + 2;
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            ctx.close();
        }
    }

    private void end(LoadResult.End how) {
        loop.ended(out.poll(), how);
        loop.free(this);
    }

    /** All reads are processed: flushes pending commands in one write per connection. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        loop.freed();
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        if (channel == null) {
            return; // never established: the dialler is notified and retries once
        }
        channel = null;
        if (loop.judged()) {
            loop.note(RecordedEvent.Kind.END_ARRIVED, link, null, null);
        }
        loop.down(this, out);
        out.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
