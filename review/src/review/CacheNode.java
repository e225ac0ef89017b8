package review;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A sound cache node: takes commands on connections that carry one at a time, and answers each after some time. */
final class CacheNode {
    /** A command as it came. */
    record Arrival(CacheNode node, long firstByteNs, long lastByteNs, String line, String opaque, int waitMs) {}

    /** What the node does with a command: how long it takes, and how long the value of a read is. */
    interface Behaviour {
        long serviceMs(Arrival arrival);

        int valueBytes(Arrival arrival);

        /** Called when a command has come; true: the node turns it away ({@code busy}). */
        boolean onArrival(Arrival arrival);

        /** Spoilt answers: after how long a second answer follows, {@code SERVER_ERROR busy}; -1: none does. */
        default long secondAnswerAfterMs(Arrival arrival) {
            return -1;
        }
    }

    final String id;
    private final ServerSocket listener;
    private final Behaviour behaviour;

    CacheNode(String id, String address, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 512);
        Threads.start("node " + id, this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Threads.start("node " + id, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            LineReader in = new LineReader(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
            for (String line = in.line(); line != null; line = in.line()) {
                String[] tokens = line.split(" ");
                boolean write = tokens[0].equals("ms");
                if (write) {
                    in.skip(Integer.parseInt(tokens[2]) + 2);
                }
                Arrival arrival = new Arrival(
                        this, in.lineStartNs(), System.nanoTime(), line, Fields.opaque(line), Fields.waitMs(line));
                String answer = "SERVER_ERROR busy";
                byte[] value = null;
                if (!behaviour.onArrival(arrival)) {
                    Thread.sleep(behaviour.serviceMs(arrival));
                    value = write ? null : new byte[behaviour.valueBytes(arrival)];
                    answer = write
                            ? "HD " + arrival.opaque + " c" + arrival.opaque.substring(1)
                            : "VA " + value.length + " " + arrival.opaque + " h1";
                }
                write(out, answer, value);
                long secondAfterMs = behaviour.secondAnswerAfterMs(arrival);
                if (secondAfterMs >= 0) {
                    Threads.start("second answer", () -> {
                        Thread.sleep(secondAfterMs);
                        try {
                            write(out, "SERVER_ERROR busy", null);
                        } catch (IOException e) {
                            // the proxy has ended the connection meanwhile
                        }
                    });
                }
            }
        } catch (IOException e) {
            // the proxy has ended the connection, which gives up what is on it
        }
    }

    private static void write(OutputStream out, String line, byte[] value) throws IOException {
        synchronized (out) {
            out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            if (value != null) {
                Arrays.fill(value, (byte) 'v');
                out.write(value);
                out.write('\r');
                out.write('\n');
            }
            out.flush();
        }
    }
}
