import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for discovery and a cache endpoint, and a client, for the proxy whose loaded classes {@code deploy/archive}
 * archives. Together they cause each kind of response at least once. A class that is not loaded here is loaded and
 * linked in service, on the event loop: 50 ms of CPU time for the first call to discovery, 40 ms for the first lambda.
 *
 * <p>{@code java deploy/DiscoveryAndCacheStandIn.java DISCOVERY NODE PROXY}: three ports of 127.0.0.1. The program ends
 * by itself within 20 s.
 */
public final class DiscoveryAndCacheStandIn {
    private static final AtomicInteger COMMANDS_RECEIVED = new AtomicInteger();
    private static final AtomicInteger DISCOVERY_CALLS = new AtomicInteger();
    private static final int REQUESTS = 90;
    private static final int MAX_RUN_SECONDS = 20;

    private DiscoveryAndCacheStandIn() {}

    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    public static void main(String[] ports) throws Exception {
        startDaemon(() -> {
            Thread.sleep(MAX_RUN_SECONDS * 1000L);
            Runtime.getRuntime().halt(1);
        });
        int node = Integer.parseInt(ports[1]);
        listen(Integer.parseInt(ports[0]), socket -> discovery(socket, node));
        listen(node, DiscoveryAndCacheStandIn::node);
        int proxy = Integer.parseInt(ports[2]);
        while (!accepts(proxy)) {
            Thread.sleep(50); // bounded by the halt above
        }
        for (int i = 0; i < REQUESTS; i++) {
            sendRequest(proxy, i);
            Thread.sleep(30);
        }
    }

    private static boolean accepts(int proxy) {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), proxy)) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void startDaemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the peer closed the connection, which is expected
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void listen(int port, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
        startDaemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                startDaemon(() -> {
                    try (socket) {
                        handler.handle(socket);
                    }
                });
            }
        });
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("ended");
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Cycles through four responses: a list (or a short watch), 503, a list or watch again, and no response. */
    private static void discovery(Socket socket, int node) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        String requestLine = readLine(in);
        while (!readLine(in).isEmpty()) {
            // headers
        }
        int call = DISCOVERY_CALLS.getAndIncrement();
        String list = "{\"version\":" + (5 + call) + ",\"full\":true,\"servers\":[" + entry("s-1", node, "SERVING")
                + "," + entry("s-2", 1, "SERVING") + "," + entry("s-3", node, call % 2 == 0 ? "DRAINING" : "SERVING")
                + "]}\n";
        if (call % 4 == 3) {
            return;
        } else if (call % 4 == 1) {
            write(out, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        } else if (requestLine.contains("stream=1")) {
            write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            write(out, Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            Thread.sleep(400);
            write(out, "1\r\n\n\r\n");
            Thread.sleep(400);
            write(out, "0\r\n\r\n");
        } else {
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length() + "\r\n\r\n"
                            + list);
        }
    }

    private static String entry(String id, int port, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":1,\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    private static void node(Socket socket) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            String command = readLine(in);
            if (command.startsWith("ms")) {
                in.readNBytes(7);
            }
            int id = command.indexOf(" O") + 1;
            String opaque = id == 0 ? "" : command.substring(id, (command + " ").indexOf(' ', id));
            switch (COMMANDS_RECEIVED.getAndIncrement() % 12) {
                case 3 -> write(out, "SERVER_ERROR busy\r\n");
                case 5 -> {
                    return;
                }
                case 7 -> write(out, "SERVER_ERROR failed\r\n");
                case 9 -> Thread.sleep(400);
                case 10 -> write(out, "VA 5 O123 h1\r\nhello\r\n");
                case 11 -> {
                    socket.setSoLinger(true, 0);
                    return;
                }
                default ->
                    write(
                            out,
                            command.startsWith("mg")
                                    ? "VA 5 " + opaque + " h1 Lutil=0.4\r\nhello\r\n"
                                    : "HD " + opaque + " cabc\r\n");
            }
        }
    }

    /**
     * Sends a request on its own connection. Every fifth request is abandoned without waiting for the response, one is
     * malformed, and a few are followed by greetings.
     */
    private static void sendRequest(int proxy, int i) throws IOException, InterruptedException {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), proxy)) {
            socket.setSoTimeout(2_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String id = "O" + Integer.toHexString(0xabc000 + i);
            write(
                    socket.getOutputStream(),
                    i == 11
                            ? "nonsense\r\n"
                            : i % 3 == 2
                                    ? "ms k" + i + " 5 " + id + " Pc=write,d=250\r\nhello\r\n"
                                    : "mg k" + i + " v " + id + " Pc=read,d=150\r\n"
                                            + "mn\r\n".repeat(i % 7 == 0 ? 40 : 0));
            if (i % 5 != 4) {
                readLine(in);
            } else {
                Thread.sleep(5);
            }
        } catch (IOException e) {
            Thread.sleep(50); // the proxy is not up yet, or it closed the connection as intended
        }
    }
}
