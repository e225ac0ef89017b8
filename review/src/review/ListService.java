package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Discovery, or the agent that lists are pushed by: answers {@code GET /registry/instances} and keeps watches open. An
 * empty line goes out on each watch every 2 s. While it is silent, it takes connections and says nothing. Open watches
 * can also be made to fall silent alone, for ever; later ones are served.
 */
final class ListService {
    private final Record record;
    private final String name;
    private final ServerSocket listener;
    private int version;
    private String list;
    private boolean silent;
    private long silencedBefore = Long.MIN_VALUE;
    /** How many of the next calls wait too long, and are answered with 503. */
    private int turnedAway;

    ListService(Record record, String name, String address) throws IOException {
        this.record = record;
        this.name = name;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 64);
        Threads.start(name, this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    synchronized void list(int newVersion, String newList) {
        version = newVersion;
        list = newList;
        record.say("%s has version %d", name, newVersion);
        notifyAll();
    }

    synchronized void silent(boolean newSilent) {
        silent = newSilent;
        record.say("%s %s", name, newSilent ? "is silent from here on" : "speaks again");
        notifyAll();
    }

    /** All watches that are open now say nothing more. */
    synchronized void silenceOpenWatches() {
        silencedBefore = System.nanoTime();
        record.say("%s: open watches have fallen silent", name);
    }

    /** The next calls are answered with 503 after 2 s each, as by a crowded service whose calls wait too long. */
    synchronized void turnAwayNext(int calls) {
        turnedAway = calls;
        record.say("%s turns away the next %d calls, each after 2 s", name, calls);
    }

    private synchronized boolean turnsAway() {
        return turnedAway > 0 && turnedAway-- > 0;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Threads.start(name, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            LineReader in = new LineReader(socket.getInputStream());
            String request = in.line();
            for (String line = request; line != null && !line.isEmpty(); ) {
                line = in.line();
            }
            if (request == null) {
                return;
            }
            record.line("%s: %s", name, request);
            if (turnsAway()) {
                Thread.sleep(2000);
                write(socket.getOutputStream(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                record.line("%s: that call waited too long, 503", name);
            } else if (request.contains("stream=1")) {
                watch(socket, request);
            } else {
                String body = next(-1, Long.MAX_VALUE);
                write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            }
        } catch (IOException e) {
            // the proxy has closed its call
        }
    }

    private void watch(Socket socket, String request) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        next(-1, Long.MAX_VALUE);
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        long openedNs = System.nanoTime();
        int told = -1;
        while (true) {
            String body = next(told, System.nanoTime() + 2_000_000_000L);
            synchronized (this) {
                while (openedNs < silencedBefore) {
                    wait();
                }
                if (body != null) {
                    told = version;
                    record.line("%s: version %d written to a watch", name, version);
                }
            }
            String line = (body == null ? "" : body) + "\n";
            write(out, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        }
    }

    /** Waits until it may speak and holds another version than {@code told}; null: nothing new until that time. */
    private synchronized String next(int told, long untilNs) throws InterruptedException {
        while (silent || list == null || version == told) {
            long leftMs = untilNs == Long.MAX_VALUE ? 1000 : (untilNs - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0 && !silent) {
                return null;
            }
            wait(Math.max(1, Math.min(leftMs, 1000)));
        }
        return list;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
