package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The fields of a list entry besides the address, which are start time, zone and cell, affect routing. */
@Timeout(60)
class EndpointAttributesTest {
    private static final String KEY = "7f3a9c21e0b4d655";

    private static void serveRead(Peer client, CommandArrivals arrivals, String id, int[] requestsByNode)
            throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000).replace(KEY, id));
        Peer node = arrivals.next();
        assertEquals("O" + id, CommandArrivals.readCommandId(node));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        requestsByNode[arrivals.nodeIndex(node)]++;
    }

    private static int requestsToFirstNode(ProxyFixture fixture) throws Exception {
        CommandArrivals arrivals = new CommandArrivals(fixture);
        Peer client = fixture.client();
        int[] requestsByNode = new int[2];
        for (int i = 0; i < 40; i++) {
            serveRead(client, arrivals, "a" + i, requestsByNode);
        }
        return requestsByNode[0];
    }

    private static String listOfTwo(ProxyFixture fixture, int version, long startedMs) {
        return ProxyFixture.endpointList(
                version,
                true,
                fixture.listEntry(0, "SERVING").replace("\"started_ms\":0", "\"started_ms\":" + startedMs),
                fixture.listEntry(1, "SERVING"));
    }

    /** Without slow start, a node that has just started would receive the load of a warm one and be overloaded. */
    @Test
    void sendsFewKeysToNodeThatHasJustStartedByConfiguration() throws Exception {
        long now = System.currentTimeMillis();
        try (ProxyFixture fixture =
                new ProxyFixture(2, settings -> settings, 1024, created -> listOfTwo(created, 1, now))) {
            int requests = requestsToFirstNode(fixture);
            assertTrue(requests <= 8, requests + " of 40");
        }
    }

    @Test
    void sendsFewKeysToNodeThatHasJustStartedByDiscovery() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            ProxyFixture.sendListsAndAwaitClose(fixture.watch(), listOfTwo(fixture, 2, System.currentTimeMillis()));
            int requests = requestsToFirstNode(fixture);
            assertTrue(requests <= 8, requests + " of 40");
        }
    }

    /** A start time that is compared with a different clock would make a warm node look cold. */
    @Test
    void sendsFullShareToNodeThatStartedLongAgo() throws Exception {
        long startedMs = System.currentTimeMillis() - 25_000; // warm after 24 s
        try (ProxyFixture fixture =
                new ProxyFixture(2, settings -> settings, 1024, created -> listOfTwo(created, 1, startedMs))) {
            int requests = requestsToFirstNode(fixture);
            assertTrue(requests >= 10 && requests <= 30, requests + " of 40");
        }
    }

    /**
     * Keyed writes whose connections break are retried, but only within the deduplication scope: nodes outside it do
     * not recognize a repeated idempotency key. If the zone or cell of nodes were lost, all nodes would count as one
     * scope.
     */
    private static void assertRetriesStayInScope(String scope, IntFunction<String> entry) throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                6,
                settings -> settings.replace("\"token\",\"group\":\"all\"", "\"token\",\"group\":\"" + scope + "\""),
                1024,
                created -> ProxyFixture.endpointList(
                        1,
                        true,
                        created.listEntry(0, "SERVING") + "," + created.listEntry(1, "SERVING") + ","
                                + created.listEntry(2, "SERVING") + ","
                                + entry.apply(3)
                                        .replace("AT", created.nodes.get(3).address()) + ","
                                + entry.apply(4)
                                        .replace("AT", created.nodes.get(4).address()) + ","
                                + entry.apply(5)
                                        .replace("AT", created.nodes.get(5).address())))) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            int retries = 0;
            for (int i = 0; i < 16; i++) {
                for (int reads = 0; reads < 5; reads++) {
                    serveRead(client, arrivals, "a" + i + reads, new int[6]); // adds to the retry budget
                }
                client.send(ProxyFixture.writeCommand("submit", "c" + i, 4000).replace(KEY, "c" + i));
                Peer first = arrivals.next();
                assertEquals("Oc" + i, CommandArrivals.readCommandId(first));
                first.reset();
                Peer second = arrivals.nextAtNodeOrClient(client);
                if (second == client) {
                    client.expect("SERVER_ERROR failed"); // no node of the scope was left; it is never rejected as busy
                    continue;
                }
                assertEquals("Oc" + i, CommandArrivals.readCommandId(second));
                assertSame(
                        arrivals.nodeIndex(first) < 3,
                        arrivals.nodeIndex(second) < 3,
                        "from " + arrivals.nodeIndex(first) + " to " + arrivals.nodeIndex(second) + ", another "
                                + scope);
                retries++;
                second.send("HD Oc" + i + " c7\r\n");
                client.expect("HD Oc" + i + " c7");
            }
            assertTrue(retries >= 6, "retried " + retries + " times");
        }
    }

    private static String entryOfOtherScope(int node) {
        return "{\"id\":\"s-" + node + "\",\"addr\":\"AT\",\"zone\":\"east\",\"kind\":\"full\",\"cell\":1,"
                + "\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}";
    }

    @Test
    void retriesKeyedWriteOnlyWithinItsZone() throws Exception {
        assertRetriesStayInScope("zone", node -> entryOfOtherScope(node).replace("\"east\"", "\"west\""));
    }

    @Test
    void retriesKeyedWriteOnlyWithinItsCell() throws Exception {
        assertRetriesStayInScope("cell", node -> entryOfOtherScope(node).replace("\"cell\":1", "\"cell\":2"));
    }

    /**
     * A list with two entries for one node must not leave it without traffic, and must not leave its open connections
     * without an owner.
     */
    @Test
    void appliesLaterOfTwoEntriesForOneNode() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(
                            2, false, fixture.listEntry(0, "DELETED"), fixture.listEntry(0, "SERVING")));
            serveRead(fixture.client(), new CommandArrivals(fixture), "a1", new int[1]);
        }
    }

    /** The connection in use while the address changes must not be pooled among those of the new address. */
    @Test
    void sendsToNewAddressAfterNodeMovedDuringRequest() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer oldConnection = fixture.nodes.get(0).next();
            assertEquals("Oa1", CommandArrivals.readCommandId(oldConnection));
            fixture.nodes.add(new Peer.Listener());
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(2, false, ProxyFixture.listEntry(0, "SERVING", fixture.nodes.get(1))));
            oldConnection.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            client.send(ProxyFixture.readCommand("a2", 4000));
            assertEquals(
                    "Oa2", CommandArrivals.readCommandId(fixture.nodes.get(1).next()));
            oldConnection.expectEnd();
        }
    }
}
