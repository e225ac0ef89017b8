package cacheproxy.control;

import cacheproxy.common.InvalidInputException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The server side of the control protocol ({@link ControlCodec}), on a Unix domain socket or a TCP address. It has an
 * event loop of its own, so that its clients can't slow down the loop that serves requests. Connections, the size of
 * requests and unsent replies are bounded, and idle connections are closed.
 *
 * <p>A Unix domain socket is protected by its folder, which must be accessible to its owner only; a TCP address by a
 * {@link ConnectionGuard}.
 */
public final class ControlServer implements Closeable {
    private static final int MAX_CONNECTIONS = 32;
    private static final int IDLE_TIMEOUT_MS = 60_000;
    private static final int READ_BUFFER_BYTES = 4096;
    private static final int WRITE_HIGH_WATER_BYTES = 16 << 20;
    private static final int BACKLOG = 64;
    private static final Set<PosixFilePermission> GROUP_AND_OTHERS = PosixFilePermissions.fromString("---rwxrwx");

    /** Handles requests; called on the server's event loop, which it must not block. */
    public interface RequestHandler {
        /**
         * Handles a request. The connection's next request is only read after the last reply to this one.
         *
         * @param op the request's operation
         */
        void handle(String op, Map<String, Object> request, Reply reply);

        /** Size limit of a request, in bytes. */
        default int maxRequestBytes() {
            return ControlCodec.MAX_REQUEST_BYTES;
        }
    }

    /** Authenticates connections from other machines. */
    public interface ConnectionGuard {
        /**
         * Adds its handlers before those of the session. Called on the event loop, unless the connection limit is
         * reached.
         */
        void install(Channel connection);

        /** Whether a connection with this first request is accepted. Called on the event loop. */
        boolean admits(Map<String, Object> firstRequest);
    }

    private final SocketAddress address;
    private final RequestHandler handler;
    /** Null for a Unix domain socket. */
    private final ConnectionGuard guard;

    private final Channel channel;
    private int connections;

    private ControlServer(
            EventLoop loop, SocketAddress address, RequestHandler handler, ConnectionGuard guard, int idleTimeoutMs) {
        this.address = address;
        this.handler = handler;
        this.guard = guard;
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(guard == null ? NioServerDomainSocketChannel.class : NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(WRITE_HIGH_WATER_BYTES / 2, WRITE_HIGH_WATER_BYTES))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BUFFER_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        if (guard != null) {
                            if (connections >= MAX_CONNECTIONS) {
                                ch.close(); // without a reply, which would need a TLS handshake
                                return;
                            }
                            guard.install(ch);
                        }
                        ch.pipeline()
                                .addLast(
                                        new IdleStateHandler(0, 0, idleTimeoutMs, TimeUnit.MILLISECONDS),
                                        new LineBasedFrameDecoder(handler.maxRequestBytes(), true, true),
                                        new FlowControlHandler(),
                                        new Session());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String cause = bound.cause().getMessage();
            throw new InvalidInputException("cannot listen on the control socket " + address + ": " + cause);
        }
        channel = bound.channel();
    }

    /**
     * Listens on a Unix domain socket. Blocks, so it must not be called on the event loop.
     *
     * @throws InvalidInputException if the path or its folder is unsuitable, or the socket is in use
     */
    public static ControlServer open(EventLoop loop, Path path, RequestHandler handler) {
        return open(loop, path, handler, IDLE_TIMEOUT_MS);
    }

    /**
     * Listens on an address of this machine. Blocks, so it must not be called on the event loop.
     *
     * @throws InvalidInputException if the address can't be bound
     */
    public static ControlServer open(
            EventLoop loop, InetSocketAddress address, RequestHandler handler, ConnectionGuard guard) {
        return open(loop, address, handler, guard, IDLE_TIMEOUT_MS);
    }

    static ControlServer open(
            EventLoop loop,
            InetSocketAddress address,
            RequestHandler handler,
            ConnectionGuard guard,
            int idleTimeoutMs) {
        return new ControlServer(loop, address, handler, Objects.requireNonNull(guard), idleTimeoutMs);
    }

    static ControlServer open(EventLoop loop, Path path, RequestHandler handler, int idleTimeoutMs) {
        checkSocketPath(path);
        try {
            removeStale(path);
        } catch (IOException e) {
            throw new InvalidInputException("cannot create the control socket " + path + ": " + e);
        }
        return new ControlServer(loop, UnixDomainSocketAddress.of(path), handler, null, idleTimeoutMs);
    }

    /**
     * Checks the length of a socket's path and the mode of its folder, which is created if there is none.
     *
     * @throws InvalidInputException if either is unsuitable
     */
    public static void checkSocketPath(Path path) {
        int length = path.toString().getBytes(StandardCharsets.UTF_8).length;
        if (length > ControlCodec.MAX_SOCKET_PATH_BYTES) {
            throw new InvalidInputException("the path of the control socket is too long, " + length + " bytes, limit "
                    + ControlCodec.MAX_SOCKET_PATH_BYTES + ": " + path);
        }
        try {
            checkFolder(path.toAbsolutePath().getParent());
        } catch (IOException e) {
            throw new InvalidInputException("cannot create the control socket " + path + ": " + e);
        }
    }

    private static void checkFolder(Path folder) throws IOException {
        if (Files.notExists(folder)) {
            Files.createDirectories(
                    folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        }
        Set<PosixFilePermission> mode = Files.getPosixFilePermissions(folder);
        if (mode.stream().anyMatch(GROUP_AND_OTHERS::contains)) {
            throw new InvalidInputException("the folder of the control socket is accessible to other users ("
                    + PosixFilePermissions.toString(mode) + "): " + folder + " must have mode 700");
        }
    }

    /**
     * Removes the socket of a process that has ended: connections to it are refused. A live process may let them time
     * out.
     */
    private static void removeStale(Path path) throws IOException {
        if (Files.notExists(path)) {
            return;
        }
        if (!Files.readAttributes(path, BasicFileAttributes.class).isOther()) {
            throw new InvalidInputException(
                    "cannot create the control socket " + path + ": the existing file is no socket");
        }
        try (SocketChannel probe = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            probe.configureBlocking(false); // the backlog of a stopped process may be full
            probe.connect(UnixDomainSocketAddress.of(path));
        } catch (ConnectException e) {
            Files.deleteIfExists(path);
            return;
        } catch (IOException e) {
            throw new InvalidInputException("cannot check the existing control socket " + path + ": " + e.getMessage());
        }
        throw new InvalidInputException("the control socket " + path + " is in use by another process");
    }

    /** The address that the server listens on. */
    public SocketAddress address() {
        return channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        try {
            if (address instanceof UnixDomainSocketAddress unix) {
                Files.deleteIfExists(unix.getPath());
            }
        } catch (IOException e) {
            // the socket stays behind, as after a crash; the next start removes it
        }
    }

    /** The replies to one request; its methods may be called on any thread. */
    public static final class Reply {
        private final Session session;
        private final Object id;
        private boolean ended;

        private Reply(Session session, Object id) {
            this.session = session;
            this.id = id;
        }

        private void write(boolean ok, boolean end, Map<String, Object> fields) {
            if (ended) {
                return;
            }
            ended = end;
            Map<String, Object> reply = new LinkedHashMap<>();
            reply.put("v", ControlCodec.PROTOCOL_VERSION);
            if (id != null) {
                reply.put("id", id);
            }
            reply.put("ok", ok);
            reply.putAll(fields);
            reply.put("end", end);
            session.write(ControlCodec.encode(reply), end);
        }

        /** Sends one of several replies; {@link #end} or {@link #fail} must follow. */
        public void part(Map<String, Object> fields) {
            session.onLoop(() -> write(true, false, fields));
        }

        /** Sends the last reply. */
        public void end(Map<String, Object> fields) {
            session.onLoop(() -> write(true, true, fields));
        }

        /** Sends an error as the last reply. */
        public void fail(String error) {
            session.onLoop(() -> write(false, true, Map.of("error", error)));
        }

        /** Whether the client is still connected; otherwise further replies are pointless. */
        public boolean isOpen() {
            return session.isOpen();
        }
    }

    /** A connection. The next request is read once the last reply to the previous one has been sent. */
    private final class Session extends SimpleChannelInboundHandler<ByteBuf> {
        private ChannelHandlerContext ctx;
        private boolean replying;
        private boolean rejected;
        private boolean admitted = guard == null;
        private int unsentReplies;
        /** Whether it counts towards the connection limit. */
        private boolean counted;

        @Override
        public void channelActive(ChannelHandlerContext active) {
            ctx = active;
            counted = true;
            if (++connections > MAX_CONNECTIONS) {
                new Reply(this, null).write(false, true, Map.of("error", "too many connections"));
                ctx.flush();
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext gone) {
            if (counted) {
                counted = false;
                connections--;
            }
        }

        private void onLoop(Runnable task) {
            ctx.executor().execute(task);
        }

        private boolean isOpen() {
            return ctx.channel().isActive();
        }

        private void write(String line, boolean end) {
            replying &= !end;
            unsentReplies++;
            ctx.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8))
                    .addListener(f -> {
                        unsentReplies--;
                        if (end && f.isSuccess() && !rejected) {
                            ctx.channel().config().setAutoRead(true);
                        }
                    });
            if (!ctx.channel().isWritable()) {
                ctx.close(); // the client reads too slowly: unsent replies must not use up the memory
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext from, ByteBuf line) {
            if (rejected) {
                return; // sent behind the rejected request
            }
            Map<String, Object> request = ControlCodec.decode(line.toString(StandardCharsets.UTF_8));
            Reply reply = new Reply(this, request == null ? null : request.get("id"));
            if (request == null || !(request.get("op") instanceof String op)) {
                reject(reply, "not a JSON object with an op");
            } else if (!(request.get("v") instanceof Number v) || v.doubleValue() != ControlCodec.PROTOCOL_VERSION) {
                reject(
                        reply,
                        "version " + request.get("v") + " is not spoken here, only " + ControlCodec.PROTOCOL_VERSION);
            } else if (!admitted && !guard.admits(request)) {
                reject(reply, Map.of("error", "the token is missing or wrong", "gate", true));
            } else {
                admitted = true;
                ctx.channel().config().setAutoRead(false);
                replying = true;
                handler.handle(op, request, reply);
            }
        }

        /** Replies and closes: a client that sends malformed requests in a row would keep this loop busy. */
        private void reject(Reply reply, String error) {
            reject(reply, Map.of("error", error));
        }

        private void reject(Reply reply, Map<String, Object> fields) {
            rejected = true;
            reply.write(false, true, fields);
            ctx.channel().config().setAutoRead(false);
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                reject(new Reply(this, null), "a request of more than " + handler.maxRequestBytes() + " bytes");
            } else {
                ctx.close();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext from, Object event) {
            if (event instanceof IdleStateEvent) {
                if (!replying || unsentReplies > 0) {
                    ctx.close();
                } else {
                    // the handler is still replying: a read shows whether the client has gone, its data is held back
                    ctx.pipeline().context(FlowControlHandler.class).read();
                }
            }
        }
    }
}
