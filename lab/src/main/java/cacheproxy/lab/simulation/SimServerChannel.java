package cacheproxy.lab.simulation;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelId;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A listening channel of the simulated network; connections accepted by the kernel wait in its queue. */
final class SimServerChannel extends AbstractServerChannel {
    private static final int ACCEPT = 1;
    private static final SimChannelId ID = new SimChannelId(-1);

    private final SimProcess machine;
    private final SimChannelConfig config;
    private final ArrayDeque<SimSocket> accepted = new ArrayDeque<>();
    private final SimEventLoop.Handle handle = new Accepting();
    private final Queue queue = new Queue();
    private SimAddress place;
    private boolean open = true;
    private boolean reads;
    private boolean readPending;

    SimServerChannel(SimProcess machine) {
        this.machine = machine;
        config = new SimChannelConfig(
                this, new ServerChannelRecvByteBufAllocator(), machine.alloc, this::autoReadCleared);
    }

    private void autoReadCleared() {
        readPending = false;
        reads = false;
    }

    @Override
    protected ChannelId newId() {
        return ID; // called before there is a process; its order plays no part
    }

    @Override
    public SimChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && place != null;
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop == machine.loop();
    }

    @Override
    protected SocketAddress localAddress0() {
        return place == null ? null : place.at;
    }

    @Override
    protected void doBind(SocketAddress at) throws Exception {
        place = machine.net().bind(machine.host(), (InetSocketAddress) at, queue);
    }

    /** Resets the connections that were not accepted by the program, as a kernel does. */
    @Override
    protected void doClose() {
        open = false;
        if (place != null && place.acceptor == queue) {
            place.close();
        }
        for (SimSocket s = accepted.poll(); s != null; s = accepted.poll()) {
            s.reset();
        }
    }

    @Override
    protected void doBeginRead() {
        readPending = true;
        reads = true;
        if (!accepted.isEmpty()) {
            loop().ready(handle);
        }
    }

    private SimEventLoop loop() {
        return (SimEventLoop) eventLoop();
    }

    private final class Queue implements SimAddress.Acceptor {
        @Override
        public boolean full() {
            return accepted.size() > config.backlog();
        }

        @Override
        public void accept(SimSocket socket) {
            accepted.add(socket);
            if (reads) {
                loop().ready(handle);
            }
        }

        @Override
        public void gone() {
            // the kernel has closed the waiting connections
        }
    }

    private final class Accepting extends SimEventLoop.Handle {
        @Override
        int ready() {
            return open && reads && !accepted.isEmpty() ? ACCEPT : 0;
        }

        /** Accepts several per iteration, all before the first is announced, as Netty does. */
        @Override
        void process(int ops) {
            if (!open) {
                return;
            }
            RecvByteBufAllocator.Handle most = unsafe().recvBufAllocHandle();
            most.reset(config);
            List<SimChannel> children = new ArrayList<>();
            do {
                SimSocket s = accepted.poll();
                if (s == null) {
                    break;
                }
                children.add(new SimChannel(machine, SimServerChannel.this, s));
                most.incMessagesRead(1);
            } while (most.continueReading());
            for (SimChannel child : children) {
                readPending = false;
                pipeline().fireChannelRead(child);
            }
            most.readComplete();
            pipeline().fireChannelReadComplete();
            if (!readPending && !config.isAutoRead()) {
                reads = false;
            }
        }
    }
}
