package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The remote end of a proxy connection, controlled by a test, and a listener that accepts such connections. */
final class Peer implements Closeable {
    private static final int WAIT_MS = 10_000;

    final Socket socket;
    private final InputStream in;
    private int rest;

    Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(WAIT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Peer to(InetSocketAddress address) throws IOException {
        return new Peer(new Socket(address.getAddress(), address.getPort()));
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Whether received bytes are waiting to be read. */
    boolean ready() throws IOException {
        return in.available() > 0;
    }

    /** How many bytes followed the last complete line at the end of the stream. */
    int rest() {
        return rest;
    }

    /** Reads the next line, without its line end; null at the end of the stream. */
    String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                rest = line.size();
                return null;
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    void expect(String... lines) throws IOException {
        for (String line : lines) {
            assertEquals(line, line());
        }
    }

    /** Waits for the proxy to close the connection; fails if anything else is received first. */
    void expectEnd() throws IOException {
        try {
            assertEquals(null, line());
        } catch (java.net.SocketException e) {
            assertEquals("Connection reset", e.getMessage());
        }
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A listening socket that accepts connections and queues them for the test. */
    static final class Listener implements Closeable {
        private final ServerSocket server;
        private final Thread thread;
        private final BlockingQueue<Peer> accepted = new LinkedBlockingQueue<>();
        private final List<Peer> all = new CopyOnWriteArrayList<>();

        Listener() throws IOException {
            this(0);
        }

        /** {@code receiveBufferBytes}: approximate size of the kernel's receive buffer; 0 for the kernel's default. */
        Listener(int receiveBufferBytes) throws IOException {
            server = new ServerSocket();
            if (receiveBufferBytes > 0) {
                server.setReceiveBufferSize(receiveBufferBytes);
            }
            // backlog for all connects of a test at once: one that the kernel drops is retried a second later
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
            thread = new Thread(this::accept, "listener");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Peer connection = new Peer(server.accept());
                    accepted.add(connection);
                    all.add(connection); // counted only once it can be taken
                }
            } catch (IOException e) {
                // closed by the test
            }
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        Peer next() throws InterruptedException {
            Peer connection = accepted.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            if (connection == null) {
                throw new AssertionError("no connection was accepted");
            }
            return connection;
        }

        /** An accepted connection, or null. */
        Peer poll() {
            return accepted.poll();
        }

        /** The next connection, however long it takes: for threads that serve until they are interrupted. */
        Peer take() throws InterruptedException {
            return accepted.take();
        }

        int count() {
            return all.size();
        }

        @Override
        public void close() throws IOException {
            server.close();
            try {
                thread.join(); // until then the thread may still accept a connection and leave it open
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (Peer connection : all) {
                connection.close();
            }
        }
    }

    /** A listening socket whose backlog is full, so that further connects to it don't complete. */
    static final class UnresponsiveListener implements Closeable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> queued = new CopyOnWriteArrayList<>();

        UnresponsiveListener() throws IOException {
            for (int i = 0; i < 16; i++) {
                Socket pending = new Socket();
                queued.add(pending);
                try {
                    pending.connect(server.getLocalSocketAddress(), 300);
                } catch (java.net.SocketTimeoutException e) {
                    return;
                }
            }
            throw new AssertionError("the backlog does not fill");
        }

        /** Accepts connections until one is not of those that filled the backlog, and returns that one. */
        Peer accept() throws IOException {
            server.setSoTimeout(WAIT_MS);
            while (true) {
                Socket accepted = server.accept();
                if (queued.stream().noneMatch(q -> q.getLocalPort() == accepted.getPort())) {
                    return new Peer(accepted);
                }
            }
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (Socket pending : queued) {
                pending.close();
            }
            server.close();
        }
    }
}
