package cacheproxy.server;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A list agent on a real socket: answers each watch with its whole list and keeps it open, with an empty line in each
 * interval. During an outage it learns nothing: open watches are silent, and new calls meet what the outage is like.
 */
final class ScriptedAgent implements Closeable {
    /** What a new call meets during an outage. */
    enum Outage {
        SILENT,
        RESETTING,
        HALF_A_LIST,
        EMPTY_LINES
    }

    private static final long HEARTBEAT_MS = 500;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    final Peer.Listener listener = new Peer.Listener();
    private final List<Peer> watches = new ArrayList<>();
    /** Calls that came during the outage and have not been answered. */
    private final List<Peer> waiting = new ArrayList<>();

    private final Thread acceptor = new Thread(this::acceptAll, "agent");
    private final Thread heartbeat = new Thread(this::sendHeartbeats, "agent's heartbeat");
    private String list;
    private Outage outage;

    ScriptedAgent(String list) throws IOException {
        this.list = list;
        for (Thread thread : List.of(acceptor, heartbeat)) {
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** The agent has a new list; {@code sent}: and sends it on its watches, unless there is an outage. */
    synchronized void list(String newList, boolean sent) {
        list = newList;
        if (sent && outage == null) {
            watches.forEach(watch -> send(watch, list));
        }
    }

    synchronized void begin(Outage newOutage) {
        outage = newOutage;
    }

    /** The agent speaks again, also on what stayed open. */
    synchronized void end() {
        outage = null;
        for (Peer call : waiting) {
            sendText(call, HEAD);
        }
        watches.addAll(waiting);
        waiting.clear();
        watches.forEach(watch -> send(watch, list));
    }

    synchronized void resetWatches() throws IOException {
        for (Peer watch : watches) {
            watch.reset();
        }
        watches.clear();
    }

    /** Sends something on the watches that is no list, so that the proxy gives them up. */
    synchronized void sendUnreadableList() {
        watches.forEach(watch -> send(watch, "{}"));
        watches.clear();
    }

    private void acceptAll() {
        try {
            while (true) {
                Peer call = listener.take();
                try {
                    for (String line = call.line(); line != null && !line.isEmpty(); line = call.line()) {
                        // reads the request
                    }
                    answer(call);
                } catch (IOException e) {
                    // the proxy was killed
                }
            }
        } catch (InterruptedException e) {
            // closed by the test
        }
    }

    private synchronized void answer(Peer call) throws IOException {
        if (outage == Outage.RESETTING) {
            call.reset();
        } else if (outage == Outage.HALF_A_LIST) {
            sendText(call, HEAD + Integer.toHexString(list.length()) + "\r\n" + list.substring(0, list.length() / 2));
        } else if (outage == Outage.SILENT) {
            waiting.add(call);
        } else {
            sendText(call, HEAD);
            send(call, outage == null ? list : "");
            watches.add(call);
        }
    }

    private void sendHeartbeats() {
        try {
            while (true) {
                Thread.sleep(HEARTBEAT_MS);
                synchronized (this) {
                    if (outage == null || outage == Outage.EMPTY_LINES) {
                        watches.forEach(watch -> send(watch, ""));
                    }
                }
            }
        } catch (InterruptedException e) {
            // closed by the test
        }
    }

    private static void send(Peer watch, String line) {
        try {
            ProxyFixture.sendChunks(watch, line);
        } catch (IOException e) {
            // closed by the proxy
        }
    }

    private static void sendText(Peer call, String text) {
        try {
            call.send(text);
        } catch (IOException e) {
            // closed by the proxy
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.interrupt();
        heartbeat.interrupt();
        listener.close();
    }
}
