package cacheproxy.replication.node;

import cacheproxy.common.InvalidInputException;
import cacheproxy.replication.Message;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Connections between members. A member opens one to each peer that it sends to; peers send on connections that they
 * open. A frame is its length (4 bytes) and a message. Messages for a peer that is unreachable or doesn't read are
 * dropped: anti-entropy makes up for them. All methods but {@link #listen} are called on the event loop.
 */
final class PeerConnections {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int MAX_INBOUND_CONNECTIONS = 4_096;
    /** Unsent bytes of a connection above which messages are dropped. */
    private static final int WRITE_HIGH_WATER_BYTES = 2 << 20;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long MIN_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 5_000;
    /** A connection that nothing was sent on for this long is closed. */
    private static final long IDLE_TIMEOUT_MS = 30_000;

    /** The connection to one peer. */
    private final class OutboundConnection {
        private final InetSocketAddress address;
        private Channel channel;
        private boolean connecting;
        private long retryAtMs;
        private long backoffMs = MIN_BACKOFF_MS;
        private long lastUsedMs;

        OutboundConnection(InetSocketAddress address) {
            this.address = address;
        }

        void send(Message message) {
            long now = nowMs();
            lastUsedMs = now;
            if (channel != null && channel.isActive()) {
                if (channel.isWritable()) {
                    channel.writeAndFlush(Unpooled.wrappedBuffer(PeerCodec.encodeMessage(message)));
                } else {
                    droppedMessages++;
                }
                return;
            }
            droppedMessages++;
            if (!connecting && now >= retryAtMs) {
                connect();
            }
        }

        private void connect() {
            connecting = true;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(
                            ChannelOption.WRITE_BUFFER_WATER_MARK,
                            new WriteBufferWaterMark(WRITE_HIGH_WATER_BYTES / 2, WRITE_HIGH_WATER_BYTES))
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
                        }
                    })
                    .connect(address)
                    .addListener((ChannelFuture f) -> onConnectResult(f));
        }

        private void onConnectResult(ChannelFuture result) {
            connecting = false;
            if (result.isSuccess()) {
                channel = result.channel();
                backoffMs = MIN_BACKOFF_MS;
            } else {
                retryAtMs = nowMs() + backoffMs;
                backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
            }
        }

        void closeIfIdle(long nowMs) {
            if (channel != null && nowMs - lastUsedMs > IDLE_TIMEOUT_MS) {
                channel.close();
                channel = null;
            }
        }
    }

    private final EventLoop loop;
    private final Consumer<Message> receiver;
    private final Map<String, OutboundConnection> outbound = new HashMap<>();
    private int inboundConnections;
    private long droppedMessages;
    private long malformedFrames;

    /** {@code receiver}: called with each message, on the event loop. */
    PeerConnections(EventLoop loop, Map<String, InetSocketAddress> peers, Consumer<Message> receiver) {
        this.loop = loop;
        this.receiver = receiver;
        peers.forEach((name, address) -> outbound.put(name, new OutboundConnection(address)));
        loop.scheduleAtFixedRate(this::closeIdle, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime());
    }

    private void closeIdle() {
        long now = nowMs();
        outbound.values().forEach(c -> c.closeIfIdle(now));
    }

    /**
     * Listens for peers. Blocks, so it must not be called on the event loop.
     *
     * @throws InvalidInputException if the address can't be bound
     */
    void listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initInbound(ch);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new InvalidInputException(
                    "listen: " + address + " cannot be bound: " + bound.cause().getMessage());
        }
    }

    private void initInbound(Channel ch) {
        if (inboundConnections >= MAX_INBOUND_CONNECTIONS) {
            ch.close();
            return;
        }
        inboundConnections++;
        ch.closeFuture().addListener(f -> inboundConnections--);
        ch.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
                        new InboundHandler());
    }

    /** Sends a message if the peer is connected, else drops it and connects. */
    void send(String peer, Message message) {
        OutboundConnection connection = outbound.get(peer);
        if (connection != null) {
            connection.send(message);
        }
    }

    /** Messages that were dropped because they could not be sent at once. */
    long droppedMessages() {
        return droppedMessages;
    }

    /** Frames that could not be decoded. */
    long malformedFrames() {
        return malformedFrames;
    }

    private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            Message message;
            try {
                message = PeerCodec.decodeMessage(ByteBufUtil.getBytes(frame));
            } catch (IllegalArgumentException e) {
                malformedFrames++;
                ctx.close(); // later frames of this connection can't be trusted either
                return;
            }
            receiver.accept(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
