package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** One client connection: its requests in order, each with one answer, written in that order. */
final class ClientSession extends SimpleChannelInboundHandler<Object> {
    /** So many unanswered requests and the connection is not read on until some are answered. */
    private static final int MOST_WAITING = 128;
    private static final int LINGER_MS = 500;
    private static final int PAUSE_MS = 500;

    /** A request's place in the order of answers. */
    static final class Slot {
        private ByteBuf answer;
        private Exchange exchange;
        /** Written later than this, a refusal has become a failure: what it promises no longer holds. */
        private long beforeUs = Long.MAX_VALUE;

        private ByteBuf inTime(ClientSession s) {
            if (s.proxy.now() <= beforeUs) {
                return answer;
            }
            s.proxy.untaken(-answer.readableBytes());
            answer.release();
            ByteBuf failed = s.line(Proxy.FAILED);
            s.proxy.untaken(failed.readableBytes());
            return failed;
        }
    }

    private ByteBuf line(String line) {
        return Unpooled.copiedBuffer(line + "\r\n", StandardCharsets.ISO_8859_1);
    }

    /** Kept for {@link Admission}: when it was opened, became idle and began the command that it is in. */
    long openedUs;
    long idleUs;
    long halfSaidUs;
    boolean askedAgain;
    private long acceptLateUs;
    private boolean readOnce;
    private final Proxy proxy;
    private final Command.Decoder decoder;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private Channel channel;
    private boolean unread;
    private boolean closing;
    private boolean leaving;
    private boolean refusing;
    private boolean ending;
    /** A whole command has come in this read. */
    private boolean whole;
    private boolean known;
    private boolean paused;
    private boolean lost;

    ClientSession(Proxy proxy, Command.Decoder decoder) {
        this.proxy = proxy;
        this.decoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /**
     * For how long what it sends first may have waited before it is read: with the kernel until it was
     * accepted, and since. After its first read 0.
     */
    long acceptedLateUs(long now) {
        return readOnce || acceptLateUs == 0 ? 0 : acceptLateUs + now - openedUs;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        proxy.admission.opened(this);
        acceptLateUs = proxy.stoodStillUs(openedUs);
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
        whole = true;
        if (!known && !(message instanceof Command.Fault)) {
            known = true;
            proxy.admission.known(this);
        }
        proxy.admission.busy(this);
        if (refusing && !(message instanceof Command.Fault)) {
            closing = true;
            answer(slot, proxy.busy());
        } else if (message instanceof Command c) {
            slot.exchange = proxy.request(this, slot, c);
        } else if (message instanceof Command.Greeting) {
            proxy.greet(this, slot);
        } else if (message instanceof Command.Fault f) {
            fault(slot, f);
        }
        throttle();
    }

    /**
     * What can't be read has its error line at once, and is then not read from for a while: clients that
     * send the same again as soon as they are answered or turned away, or go on with 60 MB after a line,
     * would take the time of all others. Where framing is lost the connection ends after that while.
     */
    private void fault(Slot slot, Command.Fault f) {
        lost |= f.close();
        unread |= f.close();
        closing |= f.close();
        paused = true;
        channel.eventLoop().schedule(() -> {
            paused = false;
            throttle();
        }, PAUSE_MS, TimeUnit.MILLISECONDS);
        answer(slot, f.line());
    }

    /** It is in the middle of a command for too long: told so, and ended. */
    void fail(String line) {
        Slot slot = new Slot();
        slots.add(slot);
        closing = true;
        answer(slot, line);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        readOnce = true;
        boolean reading = !unread && channel.config().isAutoRead(); // else what is missing may be with us
        proxy.admission.said(this, reading && decoder.partial(), whole);
        whole = false;
    }

    /** Bounded memory: a client that asks without end or does not read its answers is not read from. */
    private void throttle() {
        boolean room = !closing && slots.size() < MOST_WAITING && channel.isWritable();
        channel.config().setAutoRead(!paused && !lost && (unread || room));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        throttle();
    }

    /** A refusal that holds only if it goes out before this time. */
    void answer(Slot slot, String line, long beforeUs) {
        slot.beforeUs = beforeUs;
        answer(slot, line);
    }

    void answer(Slot slot, String line) {
        answer(slot, line(line));
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
            ByteBuf next = slots.poll().inTime(this);
            int size = next.readableBytes();
            channel.write(next).addListener(f -> proxy.untaken(-size));
            any = true;
        }
        if (any) {
            channel.flush();
            throttle();
        }
        if (slots.isEmpty()) {
            if (lost) {
                channel.eventLoop().schedule(() -> channel.close(), PAUSE_MS, TimeUnit.MILLISECONDS);
            } else if (closing || leaving) {
                end();
            } else {
                proxy.idle(this);
            }
        }
    }

    void abort() {
        channel.close();
    }

    /**
     * Ends the connection once it has nothing to answer. Until then it is read on: its client goes on using
     * it for as long as it is open, and what the kernel has taken counts as taken.
     */
    void close() {
        leaving = true;
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
            .addListener(f -> ((DuplexChannel) channel).shutdownOutput());
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
