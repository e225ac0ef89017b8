package cacheproxy.agent;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in cache node that answers each command after a fixed delay and counts the commands by id. */
final class StandInCacheNode implements Closeable {
    private static final long SERVICE_MS = 8;

    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> commandCounts = new ConcurrentHashMap<>();

    StandInCacheNode() throws IOException {
        startThread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    connections.add(socket);
                    startThread(() -> serve(socket));
                }
            } catch (IOException e) {
                // closed by the test
            }
        });
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** How often the command with this id was received. */
    int commandCount(String id) {
        return commandCounts.getOrDefault(id, 0);
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = readLine(in); line != null; line = readLine(in)) {
                String answer = answer(line, in);
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // the proxy has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String answer(String line, InputStream in) throws IOException, InterruptedException {
        String[] words = line.split(" ");
        if (words.length < 4) {
            return "MN\r\n";
        }
        String id = words[3].substring(1);
        boolean isWrite = words[0].equals("ms");
        if (isWrite) {
            readLine(in);
        }
        commandCounts.merge(id, 1, Integer::sum);
        Thread.sleep(SERVICE_MS);
        return isWrite ? "HD O" + id + " c7\r\n" : "VA 1 O" + id + "\r\n1\r\n";
    }

    /** The next line; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
