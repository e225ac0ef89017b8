package cacheproxy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

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
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A control channel client that sends arbitrary text and reads replies only when the test calls for them. */
public final class RawClient implements Closeable {
    private static final long TIMEOUT_NS = 20_000_000_000L;

    private final SocketChannel channel;
    private final Selector selector;
    private final SelectionKey key;
    private final ByteBuffer in = ByteBuffer.allocate(1 << 16).flip();

    /** Connects; retries while the server's backlog is full. */
    public RawClient(Path path) throws IOException {
        channel = connectWithRetries(path);
        selector = Selector.open();
        key = channel.register(selector, SelectionKey.OP_READ);
    }

    private static SocketChannel connectWithRetries(Path path) throws IOException {
        for (long end = System.nanoTime() + TIMEOUT_NS; ; Thread.yield()) {
            SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX); // closed below if connecting fails
            channel.configureBlocking(false);
            try {
                channel.connect(UnixDomainSocketAddress.of(path));
                return channel;
            } catch (IOException e) {
                channel.close();
                if (!String.valueOf(e.getMessage()).contains("temporarily") || System.nanoTime() > end) {
                    throw e;
                }
            }
        }
    }

    /** Sends all of the text, blocking while the other side doesn't read. */
    public void send(String text) throws IOException {
        ByteBuffer out = StandardCharsets.UTF_8.encode(text);
        for (long end = System.nanoTime() + TIMEOUT_NS; out.hasRemaining(); ) {
            if (channel.write(out) == 0) {
                await(SelectionKey.OP_WRITE, end);
            }
        }
    }

    /** Sends as much as possible without blocking; the rest stays in the buffer. */
    public int offer(ByteBuffer out) throws IOException {
        return channel.write(out);
    }

    /** Shuts down the output; replies can still be read. */
    public void endSending() throws IOException {
        channel.shutdownOutput();
    }

    /** The next line without its end; null at the end of the stream. */
    public String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (long end = System.nanoTime() + TIMEOUT_NS; ; ) {
            while (in.hasRemaining()) {
                byte b = in.get();
                if (b == '\n') {
                    return line.toString(StandardCharsets.UTF_8);
                }
                line.write(b);
            }
            in.clear();
            int read = channel.read(in);
            in.flip();
            if (read < 0) {
                assertEquals("", line.toString(StandardCharsets.UTF_8), "end of stream inside a line");
                return null;
            }
            if (read == 0) {
                await(SelectionKey.OP_READ, end);
            }
        }
    }

    public Map<String, Object> reply() throws IOException {
        String line = line();
        assertNotNull(line, "the connection has ended");
        Map<String, Object> reply = ControlCodec.decode(line);
        assertNotNull(reply, line);
        return reply;
    }

    public Map<String, Object> ask(String request) throws IOException {
        send(request + "\n");
        return reply();
    }

    /** Waits for the end of the stream; fails if anything is received before it. */
    public void expectEnd() throws IOException {
        try {
            assertEquals(null, line());
        } catch (java.net.SocketException e) {
            assertEquals("Connection reset", e.getMessage()); // the other side closed with unread input
        }
    }

    private void await(int ops, long endNs) throws IOException {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(endNs - System.nanoTime());
        if (leftMs <= 0) {
            throw new AssertionError(
                    ops == SelectionKey.OP_READ ? "nothing was received in time" : "nothing could be sent in time");
        }
        key.interestOps(ops);
        selector.select(leftMs);
        selector.selectedKeys().clear();
    }

    @Override
    public void close() throws IOException {
        selector.close();
        channel.close();
    }
}
