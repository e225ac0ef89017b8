package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests with plain memcached nodes, which don't fetch from the origin: a miss is {@code EN} and not a failure. */
@Timeout(60)
class PlainMemcachedTest {
    private static final String KEY = "7f3a9c21e0b4d655";

    /** Sends a read for a unique key; returns the node's end of the connection on which the read arrived. */
    private static Peer forwardRead(Peer client, CommandArrivals arrivals, String id) throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000).replace(KEY, id));
        Peer node = arrivals.nextAtNodeOrClient(client);
        assertNotSame(client, node, () -> "answered before the node received the read");
        assertEquals("O" + id, CommandArrivals.readCommandId(node));
        return node;
    }

    private static void serveMiss(Peer client, CommandArrivals arrivals, String id) throws Exception {
        forwardRead(client, arrivals, id).send("EN\r\n");
        client.expect("EN");
    }

    private static void serveHit(Peer client, CommandArrivals arrivals, String id) throws Exception {
        forwardRead(client, arrivals, id).send("VA 5 O" + id + "\r\nhello\r\n");
        client.expect("VA 5 O" + id, "hello");
    }

    /** When misses were reported as connection failures, 43 of them caused 8 of the next 20 hits to be rejected. */
    @Test
    void forwardsMissAndKeepsConnection() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            for (int i = 0; i < 43; i++) {
                serveMiss(client, arrivals, "a" + i);
            }
            for (int i = 0; i < 20; i++) {
                serveHit(client, arrivals, "b" + i);
            }
            assertEquals(1, fixture.nodes.get(0).count(), "misses closed connections");
        }
    }

    @Test
    void doesNotRetryMissOnAnotherNode() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Peer node = forwardRead(client, arrivals, "a1");
            node.send("EN\r\n");
            assertEquals(client, arrivals.nextAtNodeOrClient(client), "retried");
            client.expect("EN");
        }
    }

    /** EN has no id, so a late duplicate could be taken for the response to the next request on the connection. */
    @Test
    void sendsChargeOnAnotherConnectionAfterMiss() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Peer missConnection = forwardRead(client, arrivals, "a1");
            missConnection.send("EN\r\n");
            client.expect("EN");
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer node = arrivals.next();
            assertEquals("Oc1", CommandArrivals.readCommandId(node));
            missConnection.send("EN\r\n");
            node.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }

    /** EN is not a response to a write, which was possibly executed and must be neither retried nor rejected. */
    @Test
    void failsWriteAnsweredWithMiss() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer node = arrivals.next();
            assertEquals("Oc1", CommandArrivals.readCommandId(node));
            node.send("EN\r\n");
            assertEquals(client, arrivals.nextAtNodeOrClient(client), "retried on another node");
            client.expect("SERVER_ERROR failed");
            node.expectEnd();
        }
    }

    /** A hit without a value, from a node that doesn't support {@code v}, must not be served as a value. */
    @Test
    void doesNotServeReadAnsweredWithoutValue() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Peer node = forwardRead(client, arrivals, "a1");
            node.send("HD\r\n");
            assertTrue(client.line().startsWith("SERVER_ERROR "));
            node.expectEnd();
        }
    }

    /** A node that doesn't support the command would otherwise fail all requests while it stays in use. */
    @Test
    void retriesReadThatNodeDoesNotSupport() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Peer node = forwardRead(client, arrivals, "a1");
            node.send("ERROR\r\n");
            Peer other = arrivals.next();
            assertNotSame(node, other);
            assertEquals("Oa1", CommandArrivals.readCommandId(other));
            other.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            node.expectEnd(); // the node may have read only a part of the command
        }
    }

    /** It is not known whether the write was executed, so it is neither retried nor rejected. */
    @Test
    void failsWriteThatNodeDoesNotSupport() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer node = arrivals.next();
            assertEquals("Oc1", CommandArrivals.readCommandId(node));
            node.send("ERROR\r\n");
            assertEquals(client, arrivals.nextAtNodeOrClient(client), "retried on another node");
            client.expect("SERVER_ERROR failed");
        }
    }
}
