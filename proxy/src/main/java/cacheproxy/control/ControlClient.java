package cacheproxy.control;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A client of the control protocol. Calls block the calling thread, each for a stated time at most, since a stopped
 * process accepts connections but never answers. Not thread-safe.
 */
public final class ControlClient implements Closeable {
    private static final int READ_BUFFER_BYTES = 1 << 13;

    /**
     * A connection. Its calls return by {@code deadlineNs}, a value of {@link System#nanoTime}, or throw an exception
     * with the given message.
     */
    interface Connection extends Closeable {
        void write(ByteBuffer out, long deadlineNs, String timeoutMessage) throws IOException;

        /** Reads at least one byte; negative if the other side has closed. */
        int read(ByteBuffer in, long deadlineNs, String timeoutMessage) throws IOException;
    }

    private final Connection connection;
    /** Sent with the first request; null if there is none or it was sent. */
    private String token;

    private final ByteBuffer in = ByteBuffer.allocate(READ_BUFFER_BYTES).flip();

    /** Connects; throws IOException if nothing listens at this path. */
    public ControlClient(Path path) throws IOException {
        this(new UnixConnection(path), null);
    }

    ControlClient(Connection connection, String token) {
        this.connection = connection;
        this.token = token;
    }

    /** Sends one request and returns its only reply. */
    public static Map<String, Object> call(Path path, Map<String, Object> request, long timeoutMs) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try (ControlClient client = new ControlClient(path)) {
            return client.exchange(request, deadlineNs);
        }
    }

    /** Sends one request and returns its only reply, by the deadline. */
    Map<String, Object> exchange(Map<String, Object> request, long deadlineNs) throws IOException {
        send(request, Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime())));
        return next(Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime())));
    }

    /** Sends a request; throws IOException if the other side doesn't read it in time. */
    public void send(Map<String, Object> request, long timeoutMs) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        Map<String, Object> sent = request;
        if (token != null) {
            sent = new LinkedHashMap<>(request);
            sent.put("token", token);
            token = null;
        }
        ByteBuffer out = ByteBuffer.wrap((ControlCodec.encode(sent) + "\n").getBytes(StandardCharsets.UTF_8));
        connection.write(out, deadlineNs, "request not sent in time");
    }

    /** The next reply; throws IOException if there is none in time, it is malformed, or the other side has closed. */
    public Map<String, Object> next(long timeoutMs) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            while (in.hasRemaining()) {
                byte b = in.get();
                if (b == '\n') {
                    Map<String, Object> reply = ControlCodec.decode(line.toString(StandardCharsets.UTF_8));
                    if (reply == null) {
                        throw new IOException("a reply that is no JSON object");
                    }
                    return reply;
                }
                line.write(b);
                if (line.size() > ControlCodec.MAX_REPLY_BYTES) {
                    throw new IOException("a reply of more than " + ControlCodec.MAX_REPLY_BYTES + " bytes");
                }
            }
            in.clear();
            int read = -1;
            try {
                read = connection.read(in, deadlineNs, "no reply in time");
            } finally {
                in.flip();
            }
            if (read < 0) {
                throw new IOException("the other side has ended the connection");
            }
        }
    }

    @Override
    public void close() throws IOException {
        connection.close();
    }

    /** A Unix domain socket. */
    private static final class UnixConnection implements Connection {
        private final SocketChannel channel;
        private final Selector selector;

        UnixConnection(Path path) throws IOException {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            try {
                channel.configureBlocking(false); // if the backlog is full, connecting fails at once
                channel.connect(UnixDomainSocketAddress.of(path));
                selector = Selector.open();
                channel.register(selector, SelectionKey.OP_READ);
            } catch (IOException | RuntimeException e) {
                channel.close();
                throw e;
            }
        }

        @Override
        public void write(ByteBuffer out, long deadlineNs, String timeoutMessage) throws IOException {
            SelectionKey key = channel.keyFor(selector);
            while (true) {
                channel.write(out);
                if (!out.hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ);
                    return;
                }
                key.interestOps(SelectionKey.OP_WRITE);
                await(deadlineNs, timeoutMessage);
            }
        }

        @Override
        public int read(ByteBuffer in, long deadlineNs, String timeoutMessage) throws IOException {
            while (true) {
                int read = channel.read(in);
                if (read != 0) {
                    return read;
                }
                await(deadlineNs, timeoutMessage);
            }
        }

        private void await(long deadlineNs, String timeoutMessage) throws IOException {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
            if (remainingMs <= 0 || selector.select(remainingMs) == 0 && System.nanoTime() >= deadlineNs) {
                throw new IOException(timeoutMessage);
            }
            selector.selectedKeys().clear();
        }

        @Override
        public void close() throws IOException {
            selector.close();
            channel.close();
        }
    }
}
