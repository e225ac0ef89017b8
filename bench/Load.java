import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Load generator for a proxy that runs as a separate process: one cache node that answers immediately, and closed-loop
 * clients that read values of 100 bytes. Prints the CPU time of the proxy per request and its requests per second. Uses
 * the loopback interface only; the clients end by themselves.
 *
 * <p>{@code java bench/Load.java node PORT} runs the node; {@code java bench/Load.java ask PROXY_PORT PID SECONDS
 * CONNECTIONS} runs the clients.
 */
public final class Load {
    private static final byte[] VALUE = "v".repeat(100).getBytes(StandardCharsets.ISO_8859_1);
    private static final double TICKS_PER_S = 100;

    private Load() {}

    public static void main(String[] args) throws Exception {
        if (args[0].equals("node")) {
            node(Integer.parseInt(args[1]));
        } else {
            runClients(
                    Integer.parseInt(args[1]),
                    Long.parseLong(args[2]),
                    Integer.parseInt(args[3]),
                    Integer.parseInt(args[4]));
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(128);
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    private static void node(int port) throws IOException {
        ServerSocket server = new ServerSocket(port, 64, InetAddress.getLoopbackAddress());
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Thread thread = new Thread(() -> serve(socket));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = readLine(in); line != null; line = readLine(in)) {
                String id = "O";
                for (String token : line.split(" ")) {
                    id = token.startsWith("O") ? token : id;
                }
                ByteArrayOutputStream out = new ByteArrayOutputStream(160);
                out.writeBytes(("VA 100 " + id + " h1 Lutil=0.30\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.writeBytes(VALUE);
                out.writeBytes(new byte[] {'\r', '\n'});
                socket.getOutputStream().write(out.toByteArray());
            }
        } catch (IOException e) {
            // the proxy closed the connection
        }
    }

    /** The CPU time that a process has used, in seconds. */
    private static double cpuSeconds(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_S;
    }

    private static void runClients(int port, long pid, int seconds, int connections) throws Exception {
        AtomicLong served = new AtomicLong();
        AtomicLong notServed = new AtomicLong();
        long warmUpEndNanos = System.nanoTime() + 4_000_000_000L;
        long endNanos = warmUpEndNanos + seconds * 1_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int connection = 0; connection < connections; connection++) {
            int number = connection;
            Thread thread = new Thread(() -> client(port, number, endNanos, served, notServed));
            thread.start();
            threads.add(thread);
        }
        Thread.sleep(4000);
        long servedBefore = served.get();
        double cpuSecondsBefore = cpuSeconds(pid);
        long startNanos = System.nanoTime();
        Thread.sleep(seconds * 1000L - 200);
        long count = served.get() - servedBefore;
        double usedCpuSeconds = cpuSeconds(pid) - cpuSecondsBefore;
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf(
                "%.2f us a request, %.0f requests a second, %d not served%n",
                usedCpuSeconds / count * 1e6, count / elapsedSeconds, notServed.get());
    }

    private static void client(int port, int number, long endNanos, AtomicLong served, AtomicLong notServed) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (long i = 0; System.nanoTime() < endNanos; i++) {
                String command = "mg " + Long.toHexString(number * 1000003L + i % 5000) + " v O" + number + "x" + i
                        + " Pc=read,d=500\r\n";
                out.write(command.getBytes(StandardCharsets.ISO_8859_1));
                String line = readLine(in);
                if (line == null) {
                    return;
                }
                if (line.startsWith("VA ")) {
                    in.skipNBytes(102);
                    served.incrementAndGet();
                } else {
                    notServed.incrementAndGet();
                }
            }
        } catch (IOException e) {
            System.err.println("client " + number + ": " + e);
        }
    }
}
