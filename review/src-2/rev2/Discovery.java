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
    /** How long a call waits for its first byte. */
    volatile long answerAfterMs;

    Discovery(String name, Rec rec) throws IOException {
        this.name = name;
        this.rec = rec;
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Node.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Node.daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    static Map<String, Object> entry(Node node, String state, long startedMs) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("id", node.name);
        entry.put("addr", node.address());
        entry.put("zone", "kannur-town");
        entry.put("kind", "full-node");
        entry.put("cell", 1);
        entry.put("state", state);
        entry.put("weight", 1.0);
        entry.put("started_ms", startedMs);
        return entry;
    }

    synchronized void set(Node node, String state, long startedMs) {
        version++;
        entries.put(node.name, entry(node, state, startedMs));
        changedIn.put(node.name, version);
        rec.line(name, "has version " + version + ": " + node.name + " " + state);
        notifyAll();
    }

    synchronized void setAt(Node node, String address, String state) {
        set(node, state, 0);
        entries.get(node.name).put("addr", address);
    }

    synchronized void silent(boolean now) {
        silent = now;
        rec.line(name, now ? "is down: silent" : "is back");
        notifyAll();
    }

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
            if (answerAfterMs > 0) {
                Thread.sleep(answerAfterMs);
            }
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
                    text = Json.of(list(told, full)) + "\n";
                    told = version;
                }
            }
            if (first) {
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                first = false;
            }
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(body.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            if (body.length > 1) {
                rec.line(name, "writes " + text.strip());
            }
        }
    }
}
