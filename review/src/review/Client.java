package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client. */
final class Client implements AutoCloseable {
    final Socket socket;
    private final LineReader in;

    /** {@code receiveBuffer}: 0 for the system's usual one. */
    Client(String address, int receiveBuffer) throws IOException {
        int colon = address.lastIndexOf(':');
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                5000);
        in = new LineReader(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The first line of the next answer, read with its value; null: the connection has ended without one. */
    String answer() throws IOException {
        String line = in.line();
        if (line != null && line.startsWith("VA ")) {
            in.skip(Integer.parseInt(line.split(" ")[1]) + 2);
        }
        return line;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Greets until the proxy answers {@code MN}; returns when it did, by {@link System#nanoTime}. */
    static long greet(String address, long withinMs) throws InterruptedException, IOException {
        long endNs = System.nanoTime() + withinMs * 1_000_000;
        while (System.nanoTime() < endNs) {
            try (Client client = new Client(address, 0)) {
                client.socket.setSoTimeout((int) Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
                client.send("mn\r\n");
                if ("MN".equals(client.answer())) {
                    return System.nanoTime();
                }
            } catch (IOException e) {
                // not there yet
            }
            Thread.sleep(50);
        }
        throw new IOException("the proxy did not answer mn with MN in time");
    }
}
