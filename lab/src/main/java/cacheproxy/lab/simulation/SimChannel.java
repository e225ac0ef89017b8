package cacheproxy.lab.simulation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AbstractChannel;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.FileRegion;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.AlreadyConnectedException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ConnectionPendingException;
import java.nio.channels.WritableByteChannel;
import java.util.concurrent.TimeUnit;

/**
 * A connection of the simulated network as a Netty channel, dialled or accepted. Its behaviour towards handlers is that
 * of Netty's NIO channel: reads per event-loop iteration, completion of writes, half close, reset and failed connects.
 */
final class SimChannel extends AbstractChannel implements DuplexChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);
    private static final int CONNECT = 1;
    private static final int WRITE = 2;
    private static final int READ = 4;

    private final SimProcess machine;
    private final SimChannelConfig config;
    private final SimEventLoop.Handle handle = new Selected();
    private final Gather gather = new Gather();
    private SimSocket socket;
    private boolean open = true;
    private boolean connected;
    private boolean answered;
    private String refused;
    private boolean reads;
    private boolean readPending;
    /** Whether the send buffer was full, so that a write is pending. */
    private boolean writes;

    private boolean inputShut;
    private boolean inputShutTold;
    private boolean outputShut;
    private ChannelPromise connectPromise;
    private Future<?> connectTimeout;

    SimChannel(SimProcess machine) {
        this(machine, null, null);
    }

    SimChannel(SimProcess machine, Channel parent, SimSocket accepted) {
        super(parent, machine.channelId());
        this.machine = machine;
        config = new SimChannelConfig(this, new AdaptiveRecvByteBufAllocator(), machine.alloc, this::autoReadCleared);
        if (accepted != null) {
            socket = accepted;
            connected = true;
            accepted.user(new Kernel());
        }
    }

    private void autoReadCleared() {
        readPending = false;
        reads = false;
    }

    private SimEventLoop loop() {
        return (SimEventLoop) eventLoop();
    }

    /** Events of the kernel for the next iteration of the event loop. */
    private final class Kernel implements SimSocket.User {
        @Override
        public void connected(String why) {
            answered = true;
            refused = why;
            loop().ready(handle);
        }

        @Override
        public void readable() {
            if (reads || writes) {
                loop().ready(handle);
            }
        }

        @Override
        public void writable() {
            loop().ready(handle);
        }
    }

    private final class Selected extends SimEventLoop.Handle {
        @Override
        int ready() {
            if (!open || socket == null) {
                return 0;
            }
            if (!connected) {
                return answered ? CONNECT : 0;
            }
            return (writes && (socket.roomy() || socket.wasReset()) ? WRITE : 0)
                    | (reads && (socket.readable() || inputShut) ? READ : 0);
        }

        @Override
        void process(int ops) {
            if (!open) {
                return;
            }
            SimUnsafe unsafe = (SimUnsafe) unsafe();
            if ((ops & CONNECT) != 0) {
                unsafe.finishConnect();
            }
            if ((ops & WRITE) != 0 && open) {
                unsafe.forceFlush();
            }
            if ((ops & READ) != 0 && open) {
                unsafe.read();
            }
        }
    }

    // ---- the state ----

    @Override
    public SimChannelConfig config() {
        return config;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && connected;
    }

    /** The number of the connection in the record. */
    long link() {
        return socket.id();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop == machine.loop();
    }

    @Override
    protected SocketAddress localAddress0() {
        return socket == null ? null : socket.local;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return connected ? socket.remote : null;
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new SimUnsafe();
    }

    @Override
    protected void doBind(SocketAddress at) {
        throw new UnsupportedOperationException("a bound client");
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        open = false;
        ChannelPromise promise = connectPromise;
        if (promise != null) {
            promise.tryFailure(new ClosedChannelException());
            connectPromise = null;
        }
        if (connectTimeout != null) {
            connectTimeout.cancel(false);
            connectTimeout = null;
        }
        if (socket != null) {
            if (config.linger() == 0) {
                socket.reset();
            } else {
                socket.close();
            }
        }
    }

    @Override
    protected void doBeginRead() {
        readPending = true;
        reads = true;
        if (handle.ready() != 0) {
            loop().ready(handle);
        }
    }

    // ---- half close ----

    @Override
    public boolean isInputShutdown() {
        return inputShut || !isActive();
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShut || !isActive();
    }

    @Override
    public boolean isShutdown() {
        return inputShut && outputShut || !isActive();
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        inputShut = true;
        return promise.setSuccess();
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        ((SimUnsafe) unsafe()).shutdownOutput(promise);
        return promise;
    }

    @Override
    protected void doShutdownOutput() throws IOException {
        if (!isActive()) {
            throw new ClosedChannelException();
        }
        if (socket.wasReset()) {
            throw new IOException("Transport endpoint is not connected");
        }
        outputShut = true;
        socket.end();
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        shutdownOutput().addListener(out -> {
            shutdownInput();
            if (out.isSuccess()) {
                promise.setSuccess();
            } else {
                promise.setFailure(out.cause());
            }
        });
        return promise;
    }

    // ---- writing ----

    @Override
    protected Object filterOutboundMessage(Object message) {
        if (message instanceof ByteBuf || message instanceof FileRegion) {
            return message;
        }
        throw new UnsupportedOperationException(
                "unsupported message type: " + message.getClass().getName());
    }

    /** Writes as much as the send buffer takes; the promises of what was taken succeed at once. */
    @Override
    protected void doWrite(ChannelOutboundBuffer in) throws Exception {
        while (!in.isEmpty()) {
            if (!open) {
                throw new ClosedChannelException();
            }
            if (in.current() instanceof FileRegion region) {
                region.transferTo(new Room(), region.transferred());
                if (region.transferred() >= region.count()) {
                    in.remove();
                    continue;
                }
                writes = true;
                socket.awaitRoom();
                return;
            }
            int room = socket.room();
            gather.count(in, room);
            if (gather.total == 0) {
                in.remove(); // empty buffers precede the rest
                continue;
            }
            if (socket.wasReset()) {
                throw new IOException("Broken pipe");
            }
            if (room <= 0) {
                writes = true;
                socket.awaitRoom();
                return;
            }
            byte[] data = gather.copy(in);
            socket.write(data);
            in.removeBytes(data.length);
        }
        writes = false;
    }

    /** Writes a file region as far as the send buffer takes it. */
    private final class Room implements WritableByteChannel {
        @Override
        public int write(ByteBuffer from) throws IOException {
            if (socket.wasReset()) {
                throw new IOException("Broken pipe");
            }
            byte[] data = new byte[Math.max(0, Math.min(socket.room(), from.remaining()))];
            if (data.length > 0) {
                from.get(data);
                socket.write(data);
            }
            return data.length;
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void close() {
            throw new UnsupportedOperationException("whoever writes to it does not own it");
        }
    }

    /** Gathers flushed buffers up to the free send buffer or the next file region. */
    private static final class Gather implements ChannelOutboundBuffer.MessageProcessor {
        private int most;
        private int total;
        private byte[] into;
        private int at;

        void count(ChannelOutboundBuffer in, int room) throws Exception {
            total = 0;
            most = Math.max(1, room);
            into = null;
            in.forEachFlushedMessage(this);
        }

        byte[] copy(ChannelOutboundBuffer in) throws Exception {
            byte[] all = new byte[total];
            into = all;
            at = 0;
            in.forEachFlushedMessage(this);
            into = null;
            return all;
        }

        @Override
        public boolean processMessage(Object message) {
            if (!(message instanceof ByteBuf b)) {
                return false;
            }
            if (into == null) {
                total = (int) Math.min(most, (long) total + b.readableBytes());
                return total < most;
            }
            int part = Math.min(b.readableBytes(), into.length - at);
            b.getBytes(b.readerIndex(), into, at, part);
            at += part;
            return at < into.length;
        }
    }

    // ---- connecting and reading: as in Netty's AbstractNioChannel and AbstractNioByteChannel ----

    private final class SimUnsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            if (promise.isDone() || !ensureOpen(promise)) {
                return;
            }
            if (connectPromise != null) {
                promise.tryFailure(new ConnectionPendingException());
                return;
            }
            if (socket != null) {
                promise.tryFailure(new AlreadyConnectedException());
                return;
            }
            connectPromise = promise;
            InetSocketAddress to = (InetSocketAddress) remote;
            socket = machine.net().dial(machine.host(), machine.ip(), to, new Kernel());
            int ms = config().getConnectTimeoutMillis();
            if (ms > 0) {
                connectTimeout = eventLoop()
                        .schedule(
                                () -> {
                                    ChannelPromise p = connectPromise;
                                    if (p != null
                                            && !p.isDone()
                                            && p.tryFailure(new ConnectTimeoutException(
                                                    "connection timed out after " + ms + " ms: " + remote))) {
                                        close(voidPromise());
                                    }
                                },
                                ms,
                                TimeUnit.MILLISECONDS);
            }
            promise.addListener((ChannelFutureListener) f -> {
                if (f.isCancelled()) {
                    if (connectTimeout != null) {
                        connectTimeout.cancel(false);
                    }
                    connectPromise = null;
                    close(voidPromise());
                }
            });
        }

        void finishConnect() {
            ChannelPromise promise = connectPromise;
            if (refused == null) {
                connected = true;
                loop().passes(SimEventLoop.Point.WITHIN);
                boolean active = isActive();
                boolean set = promise != null && promise.trySuccess();
                if (promise != null && active) {
                    pipeline().fireChannelActive();
                }
                if (promise != null && !set) {
                    close(voidPromise());
                }
            } else {
                open = false; // uses the state of the socket at that time
                if (promise != null) {
                    String why = "timed out".equals(refused) ? "Connection timed out" : "Connection refused";
                    promise.tryFailure(annotateConnectException(new ConnectException(why), socket.remote));
                    closeIfClosed();
                }
            }
            if (connectTimeout != null) {
                connectTimeout.cancel(false);
            }
            connectPromise = null;
        }

        @Override
        protected void flush0() {
            if (!writes) { // pending bytes are written first, once there is room
                super.flush0();
            }
        }

        void forceFlush() {
            super.flush0();
        }

        private void closeOnRead(ChannelPipeline pipeline) {
            if (!isInputShutdown()) {
                if (config.isAllowHalfClosure()) {
                    shutdownInput();
                    pipeline.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
                } else {
                    close(voidPromise());
                }
            } else if (!inputShutTold) {
                inputShutTold = true;
                pipeline.fireUserEventTriggered(ChannelInputShutdownReadComplete.INSTANCE);
            }
        }

        void read() {
            if (isInputShutdown() && (inputShutTold || !config.isAllowHalfClosure())) {
                autoReadCleared();
                return;
            }
            ChannelPipeline pipeline = pipeline();
            ByteBufAllocator allocator = config.getAllocator();
            RecvByteBufAllocator.Handle most = recvBufAllocHandle();
            most.reset(config);
            ByteBuf buffer = null;
            boolean over = false;
            try {
                do {
                    buffer = most.allocate(allocator);
                    most.attemptedBytesRead(buffer.writableBytes());
                    most.lastBytesRead(receive(buffer));
                    if (most.lastBytesRead() <= 0) {
                        buffer.release();
                        buffer = null;
                        over = most.lastBytesRead() < 0;
                        if (over) {
                            readPending = false;
                        }
                        break;
                    }
                    most.incMessagesRead(1);
                    readPending = false;
                    loop().passes(SimEventLoop.Point.WITHIN);
                    pipeline.fireChannelRead(buffer);
                    buffer = null;
                } while (most.continueReading());
                most.readComplete();
                pipeline.fireChannelReadComplete();
                if (over) {
                    closeOnRead(pipeline);
                }
            } catch (Throwable t) {
                if (buffer != null) {
                    buffer.release();
                }
                most.readComplete();
                pipeline.fireChannelReadComplete();
                pipeline.fireExceptionCaught(t);
                if (over || t instanceof IOException) {
                    closeOnRead(pipeline);
                }
            } finally {
                if (!readPending && !config.isAutoRead()) {
                    reads = false;
                }
            }
        }

        /** Like read(2): the number of bytes, 0 if none are available, -1 at the end of the stream. */
        private int receive(ByteBuf into) throws IOException {
            if (!open) {
                throw new ClosedChannelException();
            }
            if (inputShut) {
                return -1;
            }
            int n = socket.read(into, into.writableBytes());
            if (n > 0) {
                return n;
            }
            if (socket.ended()) {
                return -1; // a reset after it is noticed by a write
            }
            if (socket.wasReset()) {
                throw new SocketException("Connection reset");
            }
            return 0;
        }
    }
}
