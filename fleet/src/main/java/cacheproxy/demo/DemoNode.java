package cacheproxy.demo;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in cache node of a local site. It generates a missing value from the key, stores written values, and answers in
 * the proxy's memcached-style protocol. Intended for trying out a site, not for measurements.
 */
public final class DemoNode {
    private static final int MAX_CONNECTIONS = 256;
    private static final int MAX_KEYS = 10_000;
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_VALUE_BYTES = 64 << 10;

    private final Map<String, byte[]> values = Collections.synchronizedMap(new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, byte[]> eldest) {
            return size() > MAX_KEYS;
        }
    });
    private final AtomicLong lastReceipt = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();

    private DemoNode() {}

    /** Serves until the process ends. */
    public static void run(Map<String, String> env) throws IOException {
        DemoControl.openIfConfigured(env);
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(DemoControl.listen(env));
        DemoNode node = new DemoNode();
        while (true) {
            Socket socket = server.accept();
            if (node.connections.get() >= MAX_CONNECTIONS) {
                socket.close();
                continue;
            }
            Thread thread = new Thread(() -> node.serve(socket));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void serve(Socket socket) {
        connections.incrementAndGet();
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = readLine(in); line != null; line = readLine(in)) {
                answer(line, in, socket.getOutputStream());
            }
        } catch (IOException e) {
            // the proxy closed the connection
        } finally {
            connections.decrementAndGet();
        }
    }

    private void answer(String line, InputStream in, OutputStream out) throws IOException {
        String[] tokens = line.split(" ");
        String id = "";
        for (String token : tokens) {
            id = token.startsWith("O") ? token : id;
        }
        if (tokens[0].equals("mg") && tokens.length > 2) {
            byte[] value = values.get(tokens[1]);
            boolean hit = value != null;
            if (!hit) {
                value = ("a phrase for " + tokens[1]).getBytes(StandardCharsets.UTF_8);
                values.put(tokens[1], value);
            }
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            response.writeBytes(("VA " + value.length + " " + id + (hit ? " h1" : " h0") + " Lutil=0.10\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            response.writeBytes(value);
            response.writeBytes(new byte[] {'\r', '\n'});
            out.write(response.toByteArray());
        } else if (tokens[0].equals("ms")
                && tokens.length > 3
                && tokens[2].matches("\\d{1,5}")
                && Integer.parseInt(tokens[2]) <= MAX_VALUE_BYTES) {
            byte[] value = in.readNBytes(Integer.parseInt(tokens[2]));
            in.skipNBytes(2);
            values.put(tokens[1], value);
            writeLine(out, "HD " + id + " c" + Long.toHexString(lastReceipt.incrementAndGet()));
        } else if (tokens[0].equals("mn")) {
            writeLine(out, "MN");
        } else {
            writeLine(out, "CLIENT_ERROR bad command");
        }
    }

    private static void writeLine(OutputStream out, String line) throws IOException {
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(128);
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0 || line.size() > MAX_LINE_BYTES) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }
}
