package cacheproxy.server;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;

/** A stand-in cache node on a real socket that serves every command immediately and counts them. */
final class ServingNode implements Closeable {
    final Peer.Listener listener;
    private final LongConsumer onCommand;
    private final AtomicInteger served = new AtomicInteger();
    private final Thread acceptor = new Thread(this::acceptAll, "serving node");

    ServingNode() throws IOException {
        this(new Peer.Listener());
    }

    /** Serves what is accepted by this listener, and closes it in the end. */
    ServingNode(Peer.Listener listener) {
        this(listener, atNs -> {});
    }

    /** {@code onCommand} receives the time at which each command was read; called on the connections' threads. */
    ServingNode(Peer.Listener listener, LongConsumer onCommand) {
        this.listener = listener;
        this.onCommand = onCommand;
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** The number of commands received. */
    int served() {
        return served.get();
    }

    private void acceptAll() {
        try {
            while (true) {
                Peer connection = listener.take();
                Thread server = new Thread(() -> serve(connection), "serving node's connection");
                server.setDaemon(true);
                server.start();
            }
        } catch (InterruptedException e) {
            // closed by the test
        }
    }

    private void serve(Peer connection) {
        try {
            connection.socket.setSoTimeout(0);
            for (String line = connection.line(); line != null; line = connection.line()) {
                onCommand.accept(System.nanoTime());
                served.incrementAndGet();
                boolean write = line.startsWith("ms ");
                if (write) {
                    connection.line(); // the value, which never contains a line end in these tests
                }
                String id = line.split(" ")[3];
                connection.send(write ? "HD " + id + " c1\r\n" : "VA 1 " + id + "\r\n1\r\n");
            }
        } catch (IOException e) {
            // closed by the proxy or by the test
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.interrupt();
        listener.close();
    }
}
