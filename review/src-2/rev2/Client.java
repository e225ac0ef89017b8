package rev2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One client connection to a proxy. */
final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffL);
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Client(Proxy proxy) throws IOException {
        this(new Socket("127.0.0.1", proxy.port));
    }

    Client(Socket connected) throws IOException {
        socket = connected;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        out = socket.getOutputStream();
    }

    static String newId() {
        return String.format("O%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static byte[] read(String key, String id, String fields) {
        return ("mg " + key + " v " + id + " P" + fields + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] write(String key, String id, String fields, byte[] value) {
        byte[] head = ("ms " + key + " " + value.length + " " + id + " P" + fields + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + value.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(value, 0, all, head.length, value.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        return all;
    }

    /** The line of a command, for the record. */
    static String firstLine(byte[] command) {
        return new String(command, StandardCharsets.ISO_8859_1).split("\r\n")[0];
    }

    /** The first line of the next answer, its value read as well; null at the end of the connection. */
    String answer() throws IOException {
        String line = Node.readLine(in);
        if (line != null && line.startsWith("VA ")) {
            int length = Integer.parseInt(line.split(" ")[1]);
            byte[] value = in.readNBytes(length + 2);
            if (value.length < length + 2) {
                return null;
            }
        }
        return line;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
