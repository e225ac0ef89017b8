package rev2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A stand-in for discovery, or for the agent that pushes its lists. While it is down as an agent it is silent: calls
 * wait, watches stay open and say nothing. Calls that wait are answered when it is back.
 */
final class Discovery {
    final ServerSocket server;
    private final String name;
    private final Rec rec;
    private final Map<String, Map<String, Object>> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedIn = new LinkedHashMap<>();
    private long version = 40;
    private boolean silent;
    /** List lines (entries) that are sent in a second; 0: at once. */
    volatile int linesPerS;

    /** Whether lists are written with four spaces for each level. */
    volatile boolean indented;
    /** Where set, the weights of the entries: sizes, approximately. */
    volatile boolean rough;

    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

    Discovery(String name, Rec rec) throws IOException {
        this.name = name;
        this.rec = rec;
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Node.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Node.daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static Map<String, Object> entry(String id, String address, String state, long startedMs) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("id", id);
        entry.put("addr", address);
        entry.put("zone", "kannur-town");
        entry.put("kind", "full-node");
        entry.put("cell", 1);
        entry.put("state", state);
        entry.put("weight", 1.0);
        entry.put("started_ms", startedMs);
        return entry;
    }

    void set(Node node, String state, long startedMs) {
        set(Map.of(node.name, node.address()), state, startedMs);
    }

    /** One change of the list, which names these nodes: their addresses by id. */
    synchronized void set(Map<String, String> addresses, String state, long startedMs) {
        version++;
        addresses.forEach((id, address) -> {
            Map<String, Object> entry = entry(id, address, state, startedMs);
            if (rough) {
                entry.put("weight", 1.5 + new java.util.Random(id.hashCode()).nextDouble() / 2);
            }
            entries.put(id, entry);
            changedIn.put(id, version);
        });
        rec.line(
                name,
                "has version " + version + ": "
                        + (addresses.size() == 1 ? addresses.keySet().iterator().next() : addresses.size() + " nodes") + " "
                        + state);
        notifyAll();
    }

    /** As at a new configuration: takes no new connection, and closes the open ones after 1.5 s. */
    void retire() throws IOException {
        rec.line(name, "takes no new connection");
        server.close();
        Node.daemon(() -> {
            Thread.sleep(1500);
            rec.line(name, "closes its connections");
            for (Socket socket : List.copyOf(sockets)) {
                socket.close();
            }
        });
    }

    synchronized void silent(boolean now) {
        silent = now;
        rec.line(name, now ? "is down: silent" : "is back");
        notifyAll();
    }

    /** The whole list. */
    synchronized Map<String, Object> list() {
        return list(0, true);
    }

    private Map<String, Object> list(long after, boolean full) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("version", version);
        list.put("full", full);
        List<Object> servers = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (changedIn.get(id) > after) {
                servers.add(entry);
            }
        });
        list.put("servers", servers);
        return list;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String request = Node.readLine(in);
            for (String header = request; header != null && !header.isEmpty(); header = Node.readLine(in)) {
                // headers are not needed
            }
            if (request == null) {
                return;
            }
            rec.line(name, "is asked: " + request);
            OutputStream out = socket.getOutputStream();
            int index = request.indexOf("index=");
            if (index < 0) {
                awaitVoice();
                byte[] body = Json.of(list()).getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                return;
            }
            watch(out, Long.parseLong(request.substring(index + 6).split("[ &]")[0]));
        } catch (IOException e) {
            // the proxy has ended the call
        }
    }

    private synchronized void awaitVoice() throws InterruptedException {
        while (silent) {
            wait();
        }
    }

    private void watch(OutputStream out, long after) throws Exception {
        long told = after;
        boolean first = true;
        while (true) {
            String text = "\n";
            synchronized (this) {
                long until = System.currentTimeMillis() + 2000;
                while (silent || !first && version == told && System.currentTimeMillis() < until) {
                    wait(silent ? 100 : Math.max(1, until - System.currentTimeMillis()));
                    until = silent ? System.currentTimeMillis() + 2000 : until;
                }
                if (first || version != told) {
                    boolean full = first && (after == 0 || after > version);
                    text = (indented ? Json.indented(list(told, full)) : Json.of(list(told, full))) + "\n";
                    told = version;
                }
            }
            if (first) {
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                first = false;
            }
            write(out, text);
        }
    }

    /** Writes one list, or an empty line, at the pace at which lines are sent. */
    private void write(OutputStream out, String text) throws Exception {
        double beganMs = rec.nowMs();
        int sent = 0;
        int at = 0;
        while (at < text.length()) {
            int end = text.indexOf("},{", at);
            end = end < 0 || linesPerS == 0 ? text.length() : end + 2;
            String part = text.substring(at, end);
            out.write((Integer.toHexString(part.length()) + "\r\n" + part + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
            at = end;
            if (linesPerS > 0 && at < text.length()) {
                sent++;
                Thread.sleep((long) Math.max(0, beganMs + sent * 1000.0 / linesPerS - rec.nowMs()));
            }
        }
        if (text.length() > 1) {
            rec.line(
                    name,
                    "has written "
                            + (text.length() < 1000 ? text.replace("\n", " ").strip() : "a list of " + text.length() + " bytes") + " in "
                            + Math.round(rec.nowMs() - beganMs) + " ms");
        }
    }
}
