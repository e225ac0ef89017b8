package cacheproxy.lab.process;

import cacheproxy.lab.simulation.Link;
import cacheproxy.lab.standin.EndpointEntry;
import cacheproxy.lab.verification.RecordedEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;

/** A stand-in's end of a loopback connection. */
final class LoopbackLink extends ChannelDuplexHandler implements Link {
    private final LoopbackNetwork net;
    private final Channel channel;
    private final String who;
    private final long id;
    private final Handler handler;
    private boolean up;
    private boolean dead;
    /** Whether nothing more is recorded of it. */
    private boolean silent;

    private boolean reads = true;
    /** Whether its path is cut: nothing is read, and operations wait in order. */
    private boolean held;

    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private boolean ending;
    private boolean endSent;
    private boolean endTold;

    LoopbackLink(LoopbackNetwork net, Channel channel, String who, long id, Handler handler) {
        this.net = net;
        this.channel = channel;
        this.who = who;
        this.id = id;
        this.handler = handler;
    }

    /** The peer address: on real sockets hosts have no names. */
    @Override
    public String peer() {
        return channel.remoteAddress() instanceof InetSocketAddress far ? EndpointEntry.text(far) : "";
    }

    @Override
    public long id() {
        return id;
    }

    /** Recorded once the kernel has all bytes. */
    @Override
    public void send(byte[] bytes) {
        if (!open() || ending || bytes.length == 0) {
            return;
        }
        byte[] kept = bytes.clone();
        onceHeard(() -> write(kept));
    }

    private void write(byte[] kept) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(kept)).addListener(f -> {
            if (f.isSuccess()) {
                net.record(RecordedEvent.Kind.SENT, id, who, kept, null);
            }
        });
    }

    @Override
    public void end() {
        if (open() && !ending) {
            ending = true;
            onceHeard(this::writeEnd);
        }
    }

    private void writeEnd() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) f -> {
            if (f.isSuccess() && !dead) {
                endSent = true;
                net.record(RecordedEvent.Kind.END_SENT, id, who, null, null);
                ((DuplexChannel) channel).shutdownOutput();
                closeIfOver();
            }
        });
    }

    private void onceHeard(Runnable what) {
        if (held) {
            waiting.add(what);
        } else {
            what.run();
        }
    }

    /** Cuts its path, or restores it and lets waiting bytes through in both directions. */
    void hold(boolean now) {
        if (held == now) {
            return;
        }
        held = now;
        channel.config().setAutoRead(reads && !held);
        while (!held && !waiting.isEmpty()) {
            waiting.poll().run();
        }
    }

    void onClose(Runnable what) {
        channel.closeFuture().addListener(f -> what.run());
    }

    boolean touches(Object place) {
        return who.equals(place) || place.equals(channel.localAddress()) || place.equals(channel.remoteAddress());
    }

    private void closeIfOver() {
        if (endSent && endTold) {
            dead = true;
            silent = true;
            channel.close();
        }
    }

    @Override
    public void reset() {
        if (open()) {
            dead = true;
            silent = true;
            onceHeard(() -> {
                net.record(RecordedEvent.Kind.RESET_SENT, id, who, null, "");
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            });
        }
    }

    @Override
    public void reading(boolean on) {
        reads = on;
        channel.config().setAutoRead(reads && !held);
    }

    @Override
    public boolean open() {
        return up && !dead && channel.isOpen();
    }

    /** Bound before connecting, so that its address is known before the peer accepts. */
    @Override
    public void connect(ChannelHandlerContext ctx, SocketAddress to, SocketAddress from, ChannelPromise p) {
        ctx.connect(to, from, p);
        if (channel.localAddress() instanceof InetSocketAddress mine) {
            net.dialled(mine, who);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        net.up(this);
        onceHeard(() -> {
            up = true;
            net.guarded(() -> handler.opened(this));
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf b = (ByteBuf) message;
        byte[] bytes = ByteBufUtil.getBytes(b);
        b.release();
        net.came(this, RecordedEvent.Kind.ARRIVED, bytes);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            net.came(this, RecordedEvent.Kind.END_ARRIVED, null);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken();
    }

    /** Also called if a write failed. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broken();
    }

    private void broken() {
        if (!dead) {
            dead = true;
            channel.close();
            net.came(this, RecordedEvent.Kind.RESET_ARRIVED, null);
        }
    }

    /** Records and delivers what was received. */
    void take(RecordedEvent.Kind kind, byte[] bytes) {
        if (silent || kind == RecordedEvent.Kind.END_ARRIVED && endTold) {
            return;
        }
        net.record(kind, id, who, bytes, null);
        switch (kind) {
            case ARRIVED -> net.guarded(() -> handler.received(this, bytes));
            case END_ARRIVED -> {
                endTold = true;
                net.guarded(() -> handler.ended(this));
                closeIfOver();
            }
            default -> {
                silent = true;
                net.guarded(() -> handler.broken(this, "reset"));
            }
        }
    }
}
