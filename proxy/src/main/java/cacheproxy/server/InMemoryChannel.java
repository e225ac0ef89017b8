package cacheproxy.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.FileRegion;
import io.netty.channel.nio.AbstractNioByteChannel;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.Pipe;

/**
 * A connection within the process over two pipes. It is selected, read and written like a socket, but has no address
 * that other processes could reach. Connecting succeeds at once and sets up the pipeline of the accepting end.
 *
 * <p>Only for small messages that are read promptly: a full pipe fails the connection.
 */
final class InMemoryChannel extends AbstractNioByteChannel implements DuplexChannel {
    private static final SocketAddress PIPE_ADDRESS = InetSocketAddress.createUnresolved("pipe", 0);

    private final ChannelConfig config = new DefaultChannelConfig(this);
    private final Pipe.SourceChannel source;
    private final Pipe.SinkChannel sink;
    /** Handler for the pipeline of the accepting end; null if this is the accepting end. */
    private final ChannelHandler acceptHandler;

    private final InMemoryChannel acceptor;
    private boolean connected;
    private boolean outputShutDown;

    private InMemoryChannel(Pipe in, Pipe out, ChannelHandler acceptHandler, InMemoryChannel acceptor)
            throws IOException {
        super(null, in.source());
        source = in.source();
        sink = out.sink();
        sink.configureBlocking(false);
        this.acceptHandler = acceptHandler;
        this.acceptor = acceptor;
        connected = acceptHandler == null;
    }

    /** Creates a channel that can connect to any address; {@code acceptHandler} handles the accepting end. */
    static InMemoryChannel connectingTo(ChannelHandler acceptHandler) {
        try {
            Pipe inbound = Pipe.open();
            Pipe outbound = Pipe.open();
            return new InMemoryChannel(
                    inbound, outbound, acceptHandler, new InMemoryChannel(outbound, inbound, null, null));
        } catch (IOException e) {
            throw new IllegalStateException("cannot open a pipe: " + e.getMessage());
        }
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) {
        connected = true;
        acceptor.pipeline().addLast(acceptHandler);
        eventLoop().register(acceptor);
        return true;
    }

    @Override
    protected void doFinishConnect() {
        throw new UnsupportedOperationException("a pipe connects immediately");
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        unsafe().recvBufAllocHandle().attemptedBytesRead(buffer.writableBytes());
        return buffer.writeBytes(source, buffer.writableBytes());
    }

    @Override
    protected int doWriteBytes(ByteBuf buffer) throws Exception {
        int written = buffer.readBytes(sink, buffer.readableBytes());
        if (written <= 0) {
            throw new IOException("the pipe is full");
        }
        return written;
    }

    @Override
    protected long doWriteFileRegion(FileRegion region) {
        throw new UnsupportedOperationException("file regions are not supported");
    }

    @Override
    protected void doClose() throws Exception {
        super.doClose();
        source.close();
        sink.close();
        if (acceptHandler != null && !connected) {
            acceptor.source.close();
            acceptor.sink.close();
        }
    }

    @Override
    protected void doBind(SocketAddress local) {
        throw new UnsupportedOperationException("a pipe has no address");
    }

    @Override
    protected void doDisconnect() throws Exception {
        doClose();
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isActive() {
        return connected && source.isOpen();
    }

    @Override
    protected SocketAddress localAddress0() {
        return PIPE_ADDRESS;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return PIPE_ADDRESS;
    }

    @Override
    public boolean isInputShutdown() {
        return !source.isOpen();
    }

    @Override
    public ChannelFuture shutdownInput() {
        return close();
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        return close(promise);
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShutDown;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        outputShutDown = true;
        try {
            sink.close();
            return promise.setSuccess();
        } catch (IOException e) {
            return promise.setFailure(e);
        }
    }

    @Override
    public boolean isShutdown() {
        return outputShutDown && isInputShutdown();
    }

    @Override
    public ChannelFuture shutdown() {
        return close();
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        return close(promise);
    }
}
