package cacheproxy.agent;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send requests continuously, each over connections to all instances in turn. If a connection is refused
 * or closes without a response, the request is sent to the next instance; the node's count of the request then shows
 * whether it had been forwarded after all. Anything but exactly one correct response is a failure.
 */
final class SteadyLoad implements AutoCloseable {
    private static final int RESPONSE_TIMEOUT_MS = 10_000;
    private static final int REQUEST_INTERVAL_MS = 4;
    private static final int MAX_ATTEMPTS = 2_000;

    private final int[] ports;
    private final StandInCacheNode node;
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final List<String> ids = new CopyOnWriteArrayList<>();
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger resent = new AtomicInteger();
    private final Thread[] threads;
    private volatile boolean stopped;

    /** A connection with its buffered input. */
    private record Connection(Socket socket, InputStream in) {
        static Connection to(int port) throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            return new Connection(socket, new BufferedInputStream(socket.getInputStream()));
        }
    }

    SteadyLoad(int[] ports, StandInCacheNode node, int clients) {
        this.ports = ports;
        this.node = node;
        threads = new Thread[clients];
        for (int client = 0; client < clients; client++) {
            String name = "c" + client;
            int firstInstance = client;
            threads[client] = new Thread(() -> sendRequests(name, firstInstance), "steady");
            threads[client].setDaemon(true);
            threads[client].start();
        }
    }

    private void sendRequests(String name, int firstInstance) {
        Map<Integer, Connection> connections = new HashMap<>();
        int index = firstInstance;
        try {
            for (int number = 0; !stopped; number++) {
                String id = name + "x" + number;
                ids.add(id);
                index = send(id, number, index, connections) + 1;
                Thread.sleep(REQUEST_INTERVAL_MS); // limits the request rate
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            for (Connection connection : connections.values()) {
                try {
                    connection.socket.close();
                } catch (IOException e) {
                    // already closed by the peer
                }
            }
        }
    }

    /** Sends one request until it is answered; returns the index of the instance that answered. */
    private int send(String id, int number, int from, Map<Integer, Connection> connections)
            throws InterruptedException {
        boolean write = number % 2 == 0;
        String command = write
                ? "ms 7f3a9c21e0b4d655 5 O" + id + " Pc=charge,t=acme,d=4000,k=" + Integer.toHexString(id.hashCode())
                        + "\r\nhello\r\n"
                : "mg 7f3a9c21e0b4d655 v O" + id + " Pc=lookup,t=acme,d=4000\r\n";
        int index = from;
        for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++, index++) {
            int port = ports[Math.floorMod(index, ports.length)];
            try {
                if (!connections.containsKey(port)) {
                    connections.put(port, Connection.to(port));
                }
                Connection connection = connections.get(port);
                connection.socket.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
                String answer = StandInCacheNode.readLine(connection.in);
                if (answer != null) {
                    boolean good = answer.equals(write ? "HD O" + id + " c7" : "VA 1 O" + id)
                            && (write || "1".equals(StandInCacheNode.readLine(connection.in)));
                    if (good) {
                        answered.incrementAndGet();
                    } else {
                        failures.add(id + " at " + port + " was answered " + answer);
                    }
                    return index;
                }
            } catch (java.net.SocketTimeoutException e) {
                failures.add(id + " at " + port + " was not answered");
                return index;
            } catch (IOException e) {
                // refused, or closed without a response
            }
            resent.incrementAndGet();
            Connection closed = connections.remove(port);
            if (closed != null) {
                try {
                    closed.socket.close();
                } catch (IOException e) {
                    // already closed by the peer
                }
            }
            if (index - from >= ports.length) {
                Thread.sleep(REQUEST_INTERVAL_MS); // no instance accepts connections
            }
        }
        failures.add(id + " was accepted by no instance");
        return index;
    }

    /** Stops the clients and returns the failures; each request must have one response and reach the node once. */
    List<String> stopAndGetFailures() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
        for (String id : ids) {
            if (node.commandCount(id) != 1) {
                failures.add(id + " reached the node " + node.commandCount(id) + " times");
            }
        }
        if (answered.get() != ids.size()) {
            failures.add(answered.get() + " answers to " + ids.size() + " requests");
        }
        return failures;
    }

    @Override
    public void close() {
        stopped = true;
    }
}
