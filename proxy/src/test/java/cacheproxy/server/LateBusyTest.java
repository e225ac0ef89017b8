package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Error lines have no id, so a late duplicate could be taken for the response to the next request on the connection. A
 * duplicate 'busy' would then cause that request to be retried or rejected although it was executed.
 */
@Timeout(60)
class LateBusyTest {
    private static final String BUSY = "SERVER_ERROR busy\r\n";
    private static final String FAILED = "SERVER_ERROR failed\r\n";
    private static final String KEY = "7f3a9c21e0b4d655";
    private static final String LOOKUP = ProxyFixture.readCommand("?", 4000);
    private static final String CHARGE = ProxyFixture.writeCommand("charge", "?", 4000);
    private static final String SUBMIT = ProxyFixture.writeCommand("submit", "?", 4000);

    /** A request that reached a node: the node's end of the connection and the request's id. */
    private record ForwardedRequest(Peer node, String id) {
        void serve(Peer client) throws Exception {
            boolean read = id.startsWith("Oa");
            node.send(read ? "VA 1 " + id + "\r\n1\r\n" : "HD " + id + " c7\r\n");
            client.expect(read ? new String[] {"VA 1 " + id, "1"} : new String[] {"HD " + id + " c7"});
        }
    }

    /**
     * Allows hedged requests. Without them a second busy on a connection closes it, because it may be a duplicate of
     * the first and the attempt may still be in flight.
     */
    private static ProxyFixture hedgingFixture(int nodes) throws Exception {
        return new ProxyFixture(nodes, s -> s.replace("\"secondCopies\":false", "\"secondCopies\":true"), 1024);
    }

    private static ProxyFixture sharedConnectionFixture(int nodes) throws Exception {
        return new ProxyFixture(
                nodes,
                s -> s.replace("\"multiplex\":1", "\"multiplex\":4")
                        .replace("\"secondCopies\":false", "\"secondCopies\":true"),
                1024);
    }

    /** Serves requests first, so that one failure has little weight; each key occurs once, so that none is hot. */
    private static void serveRequests(Peer client, CommandArrivals arrivals) throws Exception {
        for (int i = 0; i < 30; i++) {
            client.send(LOOKUP.replace("?", "a-" + i).replace(KEY, "a" + i));
            Peer node = arrivals.next();
            new ForwardedRequest(node, CommandArrivals.readCommandId(node)).serve(client);
        }
    }

    /** Sends requests until one reaches a node: after a failure the proxy may reject some immediately. */
    private static ForwardedRequest sendUntilForwarded(Peer client, CommandArrivals arrivals, String id, String command)
            throws Exception {
        for (int i = 0; i < 50; i++) {
            client.send(command.replace("?", id + "-" + i));
            Peer readyPeer = arrivals.nextAtNodeOrClient(client);
            if (readyPeer != client) {
                assertEquals("O" + id + "-" + i, CommandArrivals.readCommandId(readyPeer));
                return new ForwardedRequest(readyPeer, "O" + id + "-" + i);
            }
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
        }
        throw new AssertionError("rejected each time");
    }

    /** Sends a lookup that the only node answers with an error line; returns its connection, which is idle then. */
    private static Peer failLookup(Peer client, CommandArrivals arrivals, String id, String line) throws Exception {
        Peer node = sendUntilForwarded(client, arrivals, id, LOOKUP).node();
        node.send(line);
        assertTrue(client.line().startsWith("SERVER_ERROR busy"));
        return node;
    }

    @Test
    void lateDuplicateBusyDoesNotRetryNextCharge() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            serveRequests(client, arrivals);
            ForwardedRequest lookup = sendUntilForwarded(client, arrivals, "a", LOOKUP);
            lookup.node().send(BUSY);
            Peer otherConnection = arrivals.next();
            assertEquals(lookup.id(), CommandArrivals.readCommandId(otherConnection));
            new ForwardedRequest(otherConnection, lookup.id()).serve(client);
            ForwardedRequest charge = sendUntilForwarded(client, arrivals, "c", CHARGE);
            lookup.node().send(BUSY);
            charge.node().send("HD " + charge.id() + " c7\r\n");
            assertSame(client, arrivals.nextAtNodeOrClient(client), "sent to a second node");
            client.expect("HD " + charge.id() + " c7");
        }
    }

    @Test
    void lateDuplicateBusyDoesNotRejectNextCharge() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            serveRequests(client, arrivals);
            Peer errorConnection = failLookup(client, arrivals, "a", BUSY);
            ForwardedRequest charge = sendUntilForwarded(client, arrivals, "c", CHARGE);
            errorConnection.send(BUSY);
            charge.serve(client);
        }
    }

    /** Any line without an id may be duplicated; a duplicate 'failed' would fail a request that was served. */
    @Test
    void lateDuplicateFailedDoesNotFailNextCharge() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            serveRequests(client, arrivals);
            Peer errorConnection = failLookup(client, arrivals, "a", FAILED);
            ForwardedRequest charge = sendUntilForwarded(client, arrivals, "c", CHARGE);
            errorConnection.send(FAILED);
            charge.serve(client);
        }
    }

    /** A keyed write that is wrongly reported as busy would be retried outside its deduplication scope. */
    @Test
    void writesAvoidConnectionAfterErrorLine() throws Exception {
        for (String line : new String[] {BUSY, FAILED}) {
            for (String command : new String[] {CHARGE, SUBMIT}) {
                try (ProxyFixture fixture = new ProxyFixture(1)) {
                    CommandArrivals arrivals = new CommandArrivals(fixture);
                    Peer client = fixture.client();
                    serveRequests(client, arrivals);
                    Peer errorConnection = failLookup(client, arrivals, "a", line);
                    ForwardedRequest write = sendUntilForwarded(client, arrivals, "c", command);
                    assertNotSame(errorConnection, write.node(), line.strip() + ", then " + command.split("\r")[0]);
                    write.serve(client);
                    assertEquals(2, fixture.nodes.get(0).count());
                }
            }
        }
    }

    /** An overloaded node answers busy all the time, and each new connection would cost it a handshake. */
    @Test
    void lookupsReuseConnectionAfterBusy() throws Exception {
        try (ProxyFixture fixture = hedgingFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            serveRequests(client, arrivals);
            for (int i = 0; i < 10; i++) {
                failLookup(client, arrivals, "ab" + i, BUSY);
                sendUntilForwarded(client, arrivals, "a" + i, LOOKUP).serve(client);
            }
            assertEquals(1, fixture.nodes.get(0).count());
        }
    }

    /**
     * If lookups used unrestricted connections first, they would restrict them, and each charge would need a new one.
     */
    @Test
    void chargesReuseConnectionsAmongBusyLookups() throws Exception {
        try (ProxyFixture fixture = hedgingFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            serveRequests(client, arrivals);
            for (int i = 0; i < 10; i++) {
                failLookup(client, arrivals, "a" + i, BUSY);
                sendUntilForwarded(client, arrivals, "c" + i, CHARGE).serve(client);
            }
            int count = fixture.nodes.get(0).count();
            assertTrue(count <= 3, count + " connections for 10 lookups rejected as busy and 10 charges");
        }
    }

    @Test
    void retriesChargeAfterUnambiguousBusy() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            serveRequests(client, arrivals);
            ForwardedRequest charge = sendUntilForwarded(client, arrivals, "c", CHARGE);
            assertEquals(
                    1, fixture.nodes.get(arrivals.nodeIndex(charge.node())).count(), "expected a reused connection");
            charge.node().send(BUSY);
            Peer second = arrivals.next();
            assertNotSame(charge.node(), second);
            assertEquals(charge.id(), CommandArrivals.readCommandId(second));
            new ForwardedRequest(second, charge.id()).serve(client);
        }
    }

    /** Two busy lines arrive for the lookup in front: the second is for the charge behind it, or a duplicate. */
    @Test
    void ambiguousBusyOnSharedConnectionDoesNotRetryCharge() throws Exception {
        try (ProxyFixture fixture = sharedConnectionFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer reader = fixture.client();
            Peer otherClient = fixture.client();
            Peer writer = fixture.client();
            serveRequests(reader, arrivals);
            ForwardedRequest front = sendUntilForwarded(reader, arrivals, "a", LOOKUP);
            // balances the requests in flight
            ForwardedRequest elsewhere = sendUntilForwarded(otherClient, arrivals, "ab", LOOKUP);
            ForwardedRequest charge = sendUntilForwarded(writer, arrivals, "c", CHARGE);
            assertNotSame(front.node(), elsewhere.node());
            assertSame(front.node(), charge.node(), "lookup and charge share a connection");
            front.node().send(BUSY + BUSY);
            assertSame(elsewhere.node(), arrivals.next(), "the lookup is retried on the other node");
            assertEquals(front.id(), CommandArrivals.readCommandId(elsewhere.node()));
            assertSame(writer, arrivals.nextAtNodeOrClient(writer), "sent to a second node");
            writer.expect("SERVER_ERROR failed");
            elsewhere.serve(otherClient);
            new ForwardedRequest(elsewhere.node(), front.id()).serve(reader);
            assertFalse(elsewhere.node().ready());
        }
    }

    @Test
    void ambiguousBusyOnSharedConnectionDoesNotRejectCharge() throws Exception {
        try (ProxyFixture fixture = sharedConnectionFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer reader = fixture.client();
            Peer writer = fixture.client();
            serveRequests(reader, arrivals);
            ForwardedRequest front = sendUntilForwarded(reader, arrivals, "a", LOOKUP);
            ForwardedRequest charge = sendUntilForwarded(writer, arrivals, "c", CHARGE);
            assertSame(front.node(), charge.node());
            front.node().send(BUSY + BUSY);
            assertTrue(reader.line().startsWith("SERVER_ERROR busy"));
            writer.expect("SERVER_ERROR failed");
        }
    }

    /** A charge must open a new connection, and not share one on which an error line was received. */
    @Test
    void chargesDoNotShareConnectionAfterBusy() throws Exception {
        try (ProxyFixture fixture = sharedConnectionFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            serveRequests(client, arrivals);
            Peer errorConnection = failLookup(client, arrivals, "a", BUSY);
            ForwardedRequest reading = sendUntilForwarded(client, arrivals, "ab", LOOKUP);
            assertSame(errorConnection, reading.node(), "lookups keep using the connection");
            Peer writer = fixture.client();
            ForwardedRequest charge = sendUntilForwarded(writer, arrivals, "c", CHARGE);
            assertNotSame(errorConnection, charge.node());
            charge.serve(writer);
            reading.serve(client);
        }
    }
}
