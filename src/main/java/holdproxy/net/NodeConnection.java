package holdproxy.net;

import holdproxy.Router;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;

/** One connection to a cache node, with the attempts on it in the order of their answers. */
final class NodeConnection extends SimpleChannelInboundHandler<Answer> {
    final NodePool pool;
    private final ArrayDeque<Attempt> line = new ArrayDeque<>();
    private Channel channel;
    private boolean up;
    private boolean closed;
    /** An attempt on it was given up: what went on it now would wait behind that one's answer. */
    private boolean retired;

    NodeConnection(NodePool pool) {
        this.pool = pool;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    int load() {
        return line.size();
    }

    boolean usable() {
        return !closed && !retired && (!up || channel.isActive());
    }

    void add(Attempt a) {
        a.connection = this;
        line.add(a);
        if (up) {
            write(a);
        }
    }

    private void write(Attempt a) {
        long waitUs = a.waitUs - (pool.pools.proxy.now() - a.sentUs);
        channel.writeAndFlush(a.exchange.command.encode(channel.alloc(), waitUs))
            .addListener(f -> a.written = f.isSuccess());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        up = true;
        for (Attempt a : line) {
            write(a);
        }
    }

    void dialed(ChannelFuture f) {
        if (!f.isSuccess()) {
            gone();
        }
    }

    /**
     * The wait for an attempt is over. With no other live attempt in line the connection is closed, which
     * tells the node. Otherwise it takes nothing new, and the late answer is read and thrown away in its
     * turn: taken for the next attempt's it would serve a client another's value. Returns whether the attempt
     * may run or have run. If not it may be sent elsewhere, so its bytes must not go out from here later.
     */
    boolean giveUp(Attempt a) {
        a.over = true;
        if (!up) {
            line.remove(a);
            if (line.isEmpty()) {
                close();
            }
            return false;
        }
        retired = true;
        if (line.stream().anyMatch(other -> !other.over)) {
            return true;
        }
        boolean written = a.written;
        close();
        return written;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Answer answer) {
        Attempt a = line.peek();
        if (a == null || closed) {
            close(); // an answer to nothing
            return;
        }
        if (answer.broken || !a.written || answer.outcome == Router.Outcome.OK && !fits(answer, a)) {
            pool.pools.log.line("node " + pool.name + " broke the protocol"
                + (answer.broken ? ": " + Config.shown(answer.receipt) : ""));
            line.poll();
            end(a, Router.Outcome.ERROR, null);
            close(); // whose its further answers are cannot be told
            return;
        }
        line.poll();
        if (line.isEmpty() && !retired) {
            pool.idle(this);
        }
        if (!a.over) {
            end(a, answer.outcome, answer);
        }
        if (retired && line.stream().allMatch(o -> o.over)) {
            close();
        }
    }

    /** Whether an answer is of the kind and bears the id of the attempt that is due one. */
    private static boolean fits(Answer answer, Attempt a) {
        Command c = a.exchange.command;
        return c.opaque.equals(answer.opaque) && c.write == (answer.value == null);
    }

    private void end(Attempt a, Router.Outcome outcome, Answer answer) {
        if (!a.over) {
            a.over = true;
            pool.pools.proxy.ended(a, outcome, answer);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gone();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }

    /** The bytes of what is still in line were either written, and may run, or never will be. */
    void close() {
        if (!closed) {
            channel.close();
        }
        gone();
    }

    private void gone() {
        if (closed) {
            return;
        }
        closed = true;
        pool.removed(this);
        while (!line.isEmpty()) {
            Attempt a = line.poll();
            end(a, a.broken(), null);
        }
    }
}
