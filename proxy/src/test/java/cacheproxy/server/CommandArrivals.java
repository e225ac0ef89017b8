package cacheproxy.server;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Finds the connection on which the next command arrives, whichever node and connection the proxy chooses. */
final class CommandArrivals {
    private static final long TIMEOUT_NS = 10_000_000_000L;

    private final ProxyFixture fixture;
    private final Map<Peer, Integer> nodeByConnection = new LinkedHashMap<>();

    CommandArrivals(ProxyFixture fixture) {
        this.fixture = fixture;
    }

    /** Waits for bytes at any node. */
    Peer next() throws IOException {
        return nextAtNodeOrClient(null);
    }

    /** Waits for bytes at any node or at this client, and returns the one that received them. */
    Peer nextAtNodeOrClient(Peer client) throws IOException {
        for (long deadlineNs = System.nanoTime() + TIMEOUT_NS; System.nanoTime() < deadlineNs; Thread.onSpinWait()) {
            for (int nodeIndex = 0; nodeIndex < fixture.nodes.size(); nodeIndex++) {
                for (Peer connection = fixture.nodes.get(nodeIndex).poll();
                        connection != null;
                        connection = fixture.nodes.get(nodeIndex).poll()) {
                    nodeByConnection.put(connection, nodeIndex);
                }
            }
            for (Peer connection : nodeByConnection.keySet()) {
                if (!connection.socket.isClosed() && connection.ready()) {
                    return connection;
                }
            }
            if (client != null && client.ready()) {
                return client;
            }
        }
        throw new AssertionError("no command arrived at any node");
    }

    /** Same as above, also for a node's connection that the test has accepted itself. */
    Peer nextAtNodeOrClient(Peer client, Peer acceptedConnection) throws IOException {
        nodeByConnection.put(acceptedConnection, 0);
        return nextAtNodeOrClient(client);
    }

    /** The index of the node that accepted this connection. */
    int nodeIndex(Peer connection) {
        return nodeByConnection.get(connection);
    }

    /** Reads a complete command and returns its opaque id token, such as {@code Oa1}. */
    static String readCommandId(Peer node) throws IOException {
        String line = node.line();
        if (line == null) {
            throw new AssertionError("the connection was closed before a command arrived");
        }
        if (line.startsWith("ms ")) {
            node.line(); // skips the value, which never contains a line end in these tests
        }
        return line.split(" ")[3];
    }
}
