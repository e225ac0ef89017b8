package cacheproxy.server;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A discovery service on a real socket: it rejects as many calls as the test sets, and responds to each further watch
 * immediately with its current list.
 */
final class DiscoveryStandIn implements Closeable {
    final Peer.Listener listener = new Peer.Listener();
    private final AtomicInteger callsToReject = new AtomicInteger();
    private final AtomicInteger rejectedCalls = new AtomicInteger();
    private final Thread acceptor = new Thread(this::acceptAll, "discovery");
    private volatile String list;

    DiscoveryStandIn(String list) throws IOException {
        this.list = list;
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Sets the list that later watches receive; open watches are not notified. */
    void setList(String newList) {
        list = newList;
    }

    /** Rejects the next {@code calls} calls with 503. */
    void rejectNextCalls(int calls) {
        callsToReject.set(calls);
    }

    int rejectedCalls() {
        return rejectedCalls.get();
    }

    private void acceptAll() {
        try {
            while (true) {
                respond(listener.take());
            }
        } catch (InterruptedException e) {
            // closed by the test
        }
    }

    private void respond(Peer call) {
        try {
            for (String line = call.line(); line != null && !line.isEmpty(); line = call.line()) {
                // reads the lines of the request
            }
            if (callsToReject.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
                rejectedCalls.incrementAndGet();
                call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            ProxyFixture.sendChunks(call, list);
        } catch (IOException e) {
            // the proxy was killed
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.interrupt();
        listener.close();
    }
}
