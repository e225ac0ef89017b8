package rev2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a cache node: reads commands in order and answers each as its behaviour says. */
final class Node {
    /** One whole command, begun when its last byte has come. */
    record Command(Node node, String line, String verb, String key, String id, String fields, byte[] value, double atMs) {
        /** A field of the P list; null if it is not there. */
        String field(String name) {
            for (String pair : fields.split(",")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return null;
        }
    }

    /** Returns the bytes of the answer, null to reset the connection. May sleep. */
    interface Behaviour {
        byte[] answer(Command command) throws InterruptedException;
    }

    final String name;
    private final String host;
    private static Selector selector;
    final ServerSocketChannel server;
    private final Rec rec;
    private final Behaviour behaviour;
    private final AtomicInteger receipts = new AtomicInteger();

    Node(String name, Rec rec, Behaviour behaviour) throws IOException {
        this(name, "127.0.0.1", rec, behaviour);
    }

    /** A node at a loopback address of its own. */
    Node(String name, String host, Rec rec, Behaviour behaviour) throws IOException {
        this.name = name;
        this.host = host;
        this.rec = rec;
        this.behaviour = behaviour;
        server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(host, 0), 128);
        server.configureBlocking(false);
        synchronized (Node.class) {
            if (selector == null) {
                selector = Selector.open();
                daemon(Node::acceptAll);
            }
        }
        server.register(selector, SelectionKey.OP_ACCEPT, this);
        selector.wakeup();
    }

    /** One thread accepts for all nodes, since a case may have a thousand of them. */
    private static void acceptAll() throws IOException {
        while (true) {
            selector.select(100);
            for (SelectionKey key : selector.selectedKeys()) {
                SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                if (channel != null) {
                    channel.configureBlocking(true);
                    Socket socket = channel.socket();
                    socket.setTcpNoDelay(true);
                    daemon(() -> ((Node) key.attachment()).serve(socket));
                }
            }
            selector.selectedKeys().clear();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the other side or the case has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return host + ":" + server.socket().getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (String line = readLine(in); line != null; line = readLine(in)) {
                Command command = command(line, in);
                if (command.verb.equals("mn")) {
                    out.write("MN\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                rec.line(name, "runs " + line);
                byte[] answer = behaviour.answer(command);
                if (answer == null) {
                    socket.setSoLinger(true, 0); // a reset
                    return;
                }
                out.write(answer);
                out.flush();
            }
        }
    }

    private Command command(String line, InputStream in) throws IOException {
        String[] tokens = line.split(" ");
        String id = "";
        String fields = "";
        byte[] value = null;
        for (String token : tokens) {
            id = token.startsWith("O") ? token : id;
            fields = token.startsWith("P") ? token.substring(1) : fields;
        }
        if (tokens[0].equals("ms")) {
            value = in.readNBytes(Integer.parseInt(tokens[2]));
            in.skipNBytes(2);
        }
        return new Command(
                this, line, tokens[0], tokens.length > 1 ? tokens[1] : "", id, fields, value, rec.nowMs());
    }

    /** The answer of a served command: the value for a read, a receipt for a write. */
    byte[] served(Command command, byte[] value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(value.length + 64);
        if (command.verb.equals("mg")) {
            out.writeBytes(("VA " + value.length + " " + command.id + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(value);
            out.writeBytes(new byte[] {'\r', '\n'});
        } else {
            out.writeBytes(("HD " + command.id + " c" + name.replaceAll("[^0-9a-z]", "") + "x"
                            + receipts.incrementAndGet() + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        return out.toByteArray();
    }

    static byte[] line(String text) {
        return (text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(128);
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
