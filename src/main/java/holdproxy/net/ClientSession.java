package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** One client connection: its requests in order, each with one answer, written in that order. */
final class ClientSession extends SimpleChannelInboundHandler<Object> {
    /** So many unanswered requests and the connection is not read on until some are answered. */
    private static final int MOST_WAITING = 128;
    private static final int LINGER_MS = 500;

    /** A request's place in the order of answers. */
    static final class Slot {
        private ByteBuf answer;
        private Exchange exchange;
    }

    private final Proxy proxy;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private Channel channel;
    private boolean unread;
    private boolean closing;
    private boolean refusing;
    private boolean ending;

    ClientSession(Proxy proxy) {
        this.proxy = proxy;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        proxy.opened(this);
    }

    boolean idle() {
        return slots.isEmpty();
    }

    /** No place is left for this connection: its requests are refused, and it ends after the first. */
    void refuse() {
        refusing = true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (unread) {
            return; // behind a lost framing, or after the end of our sending: the client asks again elsewhere
        }
        Slot slot = new Slot();
        slots.add(slot);
        proxy.busy(this);
        if (refusing && !(message instanceof Command.Fault)) {
            closing = true;
            answer(slot, proxy.busy());
        } else if (message instanceof Command c) {
            slot.exchange = proxy.request(this, slot, c);
        } else if (message instanceof Command.Greeting) {
            answer(slot, "MN");
        } else if (message instanceof Command.Fault f) {
            unread |= f.close();
            closing |= f.close();
            answer(slot, f.line());
        }
        throttle();
    }

    /** Bounded memory: a client that asks without end or does not read its answers is not read from. */
    private void throttle() {
        boolean room = !closing && slots.size() < MOST_WAITING && channel.isWritable();
        channel.config().setAutoRead(unread || room);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        throttle();
    }

    void answer(Slot slot, String line) {
        answer(slot, Unpooled.copiedBuffer(line + "\r\n", StandardCharsets.ISO_8859_1));
    }

    /** The one answer of this place; it goes out once those before it have. */
    void answer(Slot slot, ByteBuf answer) {
        if (slot.answer != null || !channel.isActive()) {
            answer.release();
            return;
        }
        slot.answer = answer;
        slot.exchange = null;
        proxy.untaken(answer.readableBytes());
        if (proxy.tooMuchUntaken()) {
            channel.close(); // clients that do not take their answers must not fill our memory with them
            return;
        }
        boolean any = false;
        while (!slots.isEmpty() && slots.peek().answer != null) {
            ByteBuf next = slots.poll().answer;
            int size = next.readableBytes();
            channel.write(next).addListener(f -> proxy.untaken(-size));
            any = true;
        }
        if (any) {
            channel.flush();
            throttle();
        }
        if (slots.isEmpty()) {
            if (closing) {
                end();
            } else {
                proxy.idle(this);
            }
        }
    }

    void abort() {
        channel.close();
    }

    /** Ends the connection once what was read from it is answered; nothing more is read. */
    void close() {
        closing = true;
        throttle();
        if (slots.isEmpty()) {
            end();
        }
    }

    /**
     * Closing with bytes unread would make the kernel send a reset, which can overtake the last answer: the
     * sending is ended first, and the connection closed when the client has ended its own or been given time.
     */
    private void end() {
        if (ending || !channel.isActive()) {
            return;
        }
        ending = true;
        unread = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
            .addListener(f -> ((SocketChannel) channel).shutdownOutput());
        throttle();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        proxy.closed(this);
        for (Slot s : slots) {
            if (s.answer != null) {
                proxy.untaken(-s.answer.readableBytes());
                s.answer.release();
            } else if (s.exchange != null) {
                proxy.clientGone(s.exchange);
            }
        }
        slots.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // a broken client connection ends alone
    }
}
