package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how connections to nodes are opened, reused, shared and closed. */
@Timeout(60)
class NodeLinkTest {

    private static Peer sendAndAwaitArrival(Peer client, CommandArrivals arrivals, String command) throws Exception {
        client.send(command);
        return arrivals.next();
    }

    private static void serveRead(Peer client, Peer node, String id) throws Exception {
        assertEquals("O" + id, CommandArrivals.readCommandId(node));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
    }

    /** The response to a request that reuses an id must not be discarded as a duplicate of the previous response. */
    @Test
    void answersEachRequestThatReusesId() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            for (int i = 0; i < 3; i++) {
                serveRead(client, sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a1", 4000)), "a1");
            }
            assertEquals(1, fixture.nodes.get(0).count(), "on one connection");
        }
    }

    /** A partial line on an idle connection would be taken for the beginning of the next response. */
    @Test
    void closesIdleConnectionAfterPartialLine() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Peer node = sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a1", 4000));
            serveRead(client, node, "a1");
            node.send("VA 1 O");
            node.expectEnd();
            Peer next = sendAndAwaitArrival(client, arrivals, ProxyFixture.writeCommand("charge", "c1", 4000));
            assertNotSame(node, next);
            assertEquals("Oc1", CommandArrivals.readCommandId(next));
            next.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }

    /** The old address of a node may belong to nobody or to another node. */
    @Test
    void sendsToCurrentAddressOfNode() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(2, s -> s, 1024, x -> ProxyFixture.endpointList(1, true, x.listEntry(0, "SERVING")))) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Peer oldAddressPeer = sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a1", 4000));
            serveRead(client, oldAddressPeer, "a1");
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(2, true, ProxyFixture.listEntry(0, "SERVING", fixture.nodes.get(1))));
            oldAddressPeer.expectEnd(); // an idle connection to the previous address is closed
            Peer currentAddressPeer = sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a2", 4000));
            assertEquals(1, arrivals.nodeIndex(currentAddressPeer));
            serveRead(client, currentAddressPeer, "a2");
        }
    }

    /** A node that is listed again unchanged, as in every full list, keeps its connections. */
    @Test
    void keepsConnectionWhenNodeIsListedAgain() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Peer node = sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a1", 4000));
            serveRead(client, node, "a1");
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(), ProxyFixture.endpointList(2, true, fixture.listEntry(0, "SERVING")));
            assertSame(node, sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a2", 4000)));
            serveRead(client, node, "a2");
        }
    }

    /** With 24 connections allowed, the 25th charge is rejected, not failed, because it was not sent. */
    @Test
    void evictsIdleConnectionsAndRejectsWhenNoneIsLeft() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(2, s -> s, 128, x -> ProxyFixture.endpointList(1, true, x.listEntry(0, "SERVING")))) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            List<Peer> clients = new ArrayList<>();
            List<Peer> nodes = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                clients.add(fixture.client());
                nodes.add(sendAndAwaitArrival(
                        clients.get(i), arrivals, ProxyFixture.writeCommand("charge", "c" + i, 4900)));
                assertEquals("Oc" + i, CommandArrivals.readCommandId(nodes.get(i)));
            }
            Peer lateClient = fixture.client();
            lateClient.send(ProxyFixture.writeCommand("charge", "d1", 4900));
            assertTrue(lateClient.line().startsWith("SERVER_ERROR busy"));
            for (int i = 0; i < 24; i++) {
                nodes.get(i).send("HD Oc" + i + " c7\r\n");
                clients.get(i).expect("HD Oc" + i + " c7");
            }
            // all are idle connections to the first node now; one is evicted for a connection to the second
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(
                            2, true, fixture.listEntry(0, "SERVING"), fixture.listEntry(1, "SERVING")));
            boolean reachedSecondNode = false;
            for (int i = 0; i < 40 && !reachedSecondNode; i++) {
                String id = "e" + i;
                lateClient.send(ProxyFixture.readCommand(id, 4000).replace("7f3a9c21e0b4d655", id));
                Peer node = arrivals.nextAtNodeOrClient(lateClient);
                if (node == lateClient) {
                    assertTrue(lateClient.line().startsWith("SERVER_ERROR busy"));
                    continue;
                }
                reachedSecondNode = arrivals.nodeIndex(node) == 1;
                serveRead(lateClient, node, id);
            }
            assertTrue(reachedSecondNode, "no request reached the second node");
            nodes.get(0).expectEnd();
        }
    }

    /** If late responses have no value, the router's timeout bounds the attempt, not the client's deadline. */
    @Test
    void cancelsAttemptAtRouterTimeout() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(1, s -> s.replace("\"lateWorth\":0.5", "\"lateWorth\":0.0"), 1024)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Future<?> limit = fixture.loop.schedule(() -> {}, 2000, TimeUnit.MILLISECONDS);
            Peer node = sendAndAwaitArrival(client, arrivals, ProxyFixture.writeCommand("charge", "c1", 4900));
            assertEquals("Oc1", CommandArrivals.readCommandId(node));
            client.expect("SERVER_ERROR failed");
            assertTrue(!limit.isDone(), "the latency objective is 0.75 s, the deadline 4.9 s");
            node.expectEnd();
        }
    }

    /** Without a configured connect timeout and drain grace, the connect timeout is 1 s. */
    @Test
    void connectTimeoutDefaultsToOneSecond() throws Exception {
        try (Peer.UnresponsiveListener unresponsive = new Peer.UnresponsiveListener();
                ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> s.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":0.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":0.0"),
                        1024,
                        x -> ProxyFixture.endpointList(
                                1,
                                true,
                                x.listEntry(0, "SERVING").replace(x.nodes.get(0).address(), unresponsive.address())))) {
            Peer client = fixture.client();
            Future<?> minDelay = fixture.loop.schedule(() -> {}, 900, TimeUnit.MILLISECONDS);
            Future<?> maxDelay = fixture.loop.schedule(() -> {}, 3000, TimeUnit.MILLISECONDS);
            client.send(ProxyFixture.writeCommand("charge", "c1", 4900));
            assertTrue(client.line().startsWith("SERVER_ERROR busy "));
            assertTrue(minDelay.isDone() && !maxDelay.isDone(), "after 0.9 s and before 3");
        }
    }

    /** A held {@code mn} of a client that disconnects is not a request and must not be counted as one. */
    @Test
    void clientMayDisconnectWhileItsNoOpIsHeld() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 1024, x -> ProxyFixture.endpointList(1, true))) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer disconnecting = fixture.client();
            disconnecting.send("mn\r\n");
            Peer client = fixture.client();
            client.send("mn\r\n");
            fixture.loop.schedule(() -> {}, 100, TimeUnit.MILLISECONDS).sync(); // both commands were read
            disconnecting.reset();
            fixture.loop.schedule(() -> {}, 100, TimeUnit.MILLISECONDS).sync();
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(), ProxyFixture.endpointList(2, true, fixture.listEntry(0, "SERVING")));
            client.expect("MN");
            serveRead(client, sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a1", 4000)), "a1");
        }
    }

    /** If the invalid line were just ignored, the client would wait until its deadline. */
    @Test
    void failsRequestImmediatelyAfterInvalidLine() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            Future<?> limit = fixture.loop.schedule(() -> {}, 3000, TimeUnit.MILLISECONDS);
            Peer node = sendAndAwaitArrival(client, arrivals, ProxyFixture.writeCommand("charge", "c1", 4900));
            assertEquals("Oc1", CommandArrivals.readCommandId(node));
            node.send("NS\r\n");
            client.expect("SERVER_ERROR failed");
            node.expectEnd();
            assertTrue(!limit.isDone(), "expected before the deadline");
        }
    }

    /** Nothing of the request was written, so it is rejected, and the client may retry it; it must not fail. */
    @Test
    void rejectsRequestWhoseDeadlinePassesWhileConnecting() throws Exception {
        try (Peer.UnresponsiveListener unresponsive = new Peer.UnresponsiveListener();
                ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> s,
                        1024,
                        x -> ProxyFixture.endpointList(
                                1,
                                true,
                                x.listEntry(0, "SERVING").replace(x.nodes.get(0).address(), unresponsive.address())))) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 150)); // shorter than the connect timeout
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
        }
    }

    /** The router may ask to close idle connections while a response is delivered, before the connection is idle. */
    @Test
    void closesConnectionOnRouterRequestAfterResponse() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(1, s -> s.replace("\"idleCloseMs\":30000.0", "\"idleCloseMs\":800.0"), 1024)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            // the router expects no further request within 0.8 s
            Peer node = sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a1", 4000));
            Future<?> idleTimeout = fixture.loop.schedule(() -> {}, 600, TimeUnit.MILLISECONDS);
            serveRead(client, node, "a1");
            node.expectEnd();
            assertTrue(!idleTimeout.isDone(), "closed only by the idle timeout");
        }
    }

    /** A machine can't be shut down before its last connections are closed. */
    @Test
    void closesConnectionsOfDrainingOrDeletedNode() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            String[] leavingEntries = {
                fixture.listEntry(0, "DRAINING"), fixture.listEntry(0, "DELETED"), fixture.listEntry(0, "DRAINING")
            };
            Peer watch = fixture.watch();
            for (int i = 0; i < leavingEntries.length; i++) {
                Peer node = sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("a" + i, 4000));
                serveRead(client, node, "a" + i);
                ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(2 + 2 * i, false, leavingEntries[i]));
                node.expectEnd();
                node.close();
                ProxyFixture.sendChunks(
                        watch, ProxyFixture.endpointList(3 + 2 * i, false, fixture.listEntry(0, "SERVING")));
                fixture.loop.schedule(() -> {}, 100, TimeUnit.MILLISECONDS).sync(); // the list was read
            }
            serveRead(client, sendAndAwaitArrival(client, arrivals, ProxyFixture.readCommand("b", 4000)), "b");
        }
    }
}
