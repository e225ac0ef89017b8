package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * An older endpoint list must not replace a newer one, or draining nodes would come back and new nodes would be lost.
 * And a proxy delays its answer to {@code mn}, with which the front end checks whether it is ready, until it has a list
 * to serve with, but not without limit.
 */
@Timeout(60)
class EndpointListOrderTest {
    private static final String EMPTY_LIST = ProxyFixture.endpointList(1, true);

    private static ProxyFixture withoutKnownNodes(int nodes) throws Exception {
        return new ProxyFixture(nodes, settings -> settings, 1024, created -> EMPTY_LIST);
    }

    /** Reads {@code keys} keys and returns the number of requests by node; each ready node receives a share. */
    private static int[] requestsByNode(ProxyFixture fixture, CommandArrivals arrivals, String idPrefix, int keys)
            throws Exception {
        int[] requests = new int[fixture.nodes.size()];
        Peer client = fixture.client();
        for (int i = 0; i < keys; i++) {
            String id = idPrefix + i;
            client.send(ProxyFixture.readCommand(id, 4000).replace("7f3a9c21e0b4d655", id));
            Peer node = arrivals.next();
            assertEquals("O" + id, CommandArrivals.readCommandId(node));
            requests[arrivals.nodeIndex(node)]++;
            node.send("VA 1 O" + id + "\r\n1\r\n");
            client.expect("VA 1 O" + id, "1");
        }
        return requests;
    }

    /**
     * The JIT warm-up takes longer than the first response of discovery: the empty list of the configuration was
     * formerly applied after the list of discovery and replaced it.
     */
    @Test
    void keepsListReceivedBeforeStartIsComplete() throws Exception {
        try (Peer.Listener discovery = new Peer.Listener();
                Peer.Listener node = new Peer.Listener();
                ProxyChildProcess child = new ProxyChildProcess.Start().with(discovery, EMPTY_LIST)) {
            Peer watch = ProxyFixture.watch(discovery);
            ProxyFixture.sendListsAndAwaitClose(
                    watch, ProxyFixture.endpointList(2, true, ProxyFixture.listEntry(0, "SERVING", node)));
            Peer client = child.connectWhenReady();
            client.send(ProxyFixture.readCommand("a1", 4000));
            child.await("to serve instead of staying busy", () -> node.count() > 0 || hasInput(client));
            assertEquals(1, node.count(), () -> "rejected although discovery has sent a node");
            Peer connection = node.next();
            assertEquals("Oa1", CommandArrivals.readCommandId(connection));
            connection.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
        }
    }

    private static boolean hasInput(Peer peer) {
        try {
            return peer.ready();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * The list of the configuration has the node as ready. If it were applied after the list of discovery, the node
     * would receive requests although it drains.
     */
    @Test
    void sendsNothingToNodeThatDrainsBeforeStartIsComplete() throws Exception {
        try (Peer.Listener discovery = new Peer.Listener();
                Peer.Listener drainingNode = new Peer.Listener();
                Peer.Listener node = new Peer.Listener();
                ProxyChildProcess child = new ProxyChildProcess.Start()
                        .with(
                                discovery,
                                ProxyFixture.endpointList(
                                        1,
                                        true,
                                        ProxyFixture.listEntry(0, "SERVING", drainingNode),
                                        ProxyFixture.listEntry(1, "SERVING", node)))) {
            Peer watch = ProxyFixture.watch(discovery);
            ProxyFixture.sendListsAndAwaitClose(
                    watch, ProxyFixture.endpointList(2, false, ProxyFixture.listEntry(0, "DRAINING", drainingNode)));
            Peer client = child.connectWhenReady();
            Peer connection = null;
            for (int i = 0; i < 20; i++) { // the first node would receive half of these keys
                client.send(ProxyFixture.readCommand("a" + i, 4000).replace("7f3a9c21e0b4d655", "a" + i));
                Peer openConnection = connection;
                child.await(
                        "to forward the request",
                        () -> drainingNode.count() > 0
                                || (openConnection == null ? node.count() > 0 : hasInput(openConnection)));
                assertEquals(0, drainingNode.count(), "request sent to a draining node");
                connection = openConnection == null ? node.next() : openConnection;
                assertEquals("Oa" + i, CommandArrivals.readCommandId(connection));
                connection.send("VA 1 Oa" + i + "\r\n1\r\n");
                client.expect("VA 1 Oa" + i, "1");
            }
        }
    }

    /** A lagging replica of discovery, or a delayed line, would bring back nodes that are gone. */
    @Test
    void rejectsOlderFullListOnSameWatch() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(5, true, fixture.listEntry(1, "SERVING")),
                    ProxyFixture.endpointList(
                            4, true, fixture.listEntry(0, "SERVING"), fixture.listEntry(1, "SERVING")));
            assertEquals(
                    0,
                    requestsByNode(fixture, new CommandArrivals(fixture), "a", 20)[0],
                    "request sent to a node that is gone");
        }
    }

    @Test
    void rejectsOlderChangesOnSameWatch() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(5, false, fixture.listEntry(0, "DRAINING")),
                    ProxyFixture.endpointList(4, false, fixture.listEntry(0, "SERVING")));
            assertEquals(
                    0,
                    requestsByNode(fixture, new CommandArrivals(fixture), "a", 20)[0],
                    "request sent to a draining node");
        }
    }

    /** The list of the configuration has a version too, which a list of discovery must not fall below. */
    @Test
    void rejectsListOlderThanKnownList() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                2,
                settings -> settings,
                1024,
                created -> ProxyFixture.endpointList(
                        7, true, created.listEntry(0, "DRAINING"), created.listEntry(1, "SERVING")))) {
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(
                            6, true, fixture.listEntry(0, "SERVING"), fixture.listEntry(1, "SERVING")));
            assertEquals(
                    0,
                    requestsByNode(fixture, new CommandArrivals(fixture), "a", 20)[0],
                    "request sent to a draining node");
        }
    }

    /** Otherwise no list of a service that has lost its version count would be accepted again, and drains be missed. */
    @Test
    void acceptsOlderVersionsOnceServiceCountsAsRestarted() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(), ProxyFixture.endpointList(50, true, fixture.listEntry(1, "SERVING")));
            for (int call = 1; call <= 2; call++) {
                Peer watch = nextCall(fixture);
                assertEquals("GET /registry/instances?stream=1&index=50 HTTP/1.1", watch.line());
                startResponse(watch);
                ProxyFixture.sendListsAndAwaitClose(
                        watch, ProxyFixture.endpointList(call, true, fixture.listEntry(0, "SERVING")));
                assertEquals(
                        0,
                        requestsByNode(fixture, arrivals, "a" + call, 5)[0],
                        "older list accepted after " + call + " calls");
            }
            int[] requests = {0, 0};
            long startNs = System.nanoTime();
            for (int call = 3; requests[0] == 0; call++) {
                assertTrue(System.nanoTime() - startNs < 20_000_000_000L, "older versions were never accepted");
                Peer watch = nextCall(fixture);
                watch.line();
                startResponse(watch);
                ProxyFixture.sendListsAndAwaitClose(
                        watch, ProxyFixture.endpointList(call, true, fixture.listEntry(0, "SERVING")));
                requests = requestsByNode(fixture, arrivals, "a" + call, 5);
            }
            assertTrue(System.nanoTime() - startNs > 5_000_000_000L, "the lists of a lagging replica were accepted");
            assertEquals(5, requests[0], "only a part of the list was applied");
        }
    }

    /** Waits up to 20 s for the next call, longer than other tests; the backoff of DiscoveryClient is at most 1.5 s. */
    private static Peer nextCall(ProxyFixture fixture) throws Exception {
        long deadlineNs = System.nanoTime() + 20_000_000_000L;
        Peer call = fixture.discovery.poll();
        for (; call == null; call = fixture.discovery.poll()) {
            assertTrue(System.nanoTime() < deadlineNs, "discovery was not called again");
            Thread.sleep(1);
        }
        return call;
    }

    private static void startResponse(Peer call) throws Exception {
        while (!call.line().isEmpty()) {
            // the rest of the request
        }
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /**
     * Sends two requests in turn on another connection, which must be rejected for lack of a node. All that the proxy
     * received before the second one has been handled then.
     */
    private static void expectNoNode(ProxyFixture fixture, String id) throws Exception {
        Peer otherClient = fixture.client();
        for (int i = 0; i < 2; i++) {
            otherClient.send(ProxyFixture.readCommand(id + i, 4000));
            assertTrue(otherClient.line().startsWith("SERVER_ERROR busy"), "the proxy has no node");
        }
    }

    /** The front end sends clients to a proxy that answers MN; without a node it would reject all their requests. */
    @Test
    void answersMnOnceThereIsReadyNode() throws Exception {
        try (ProxyFixture fixture = withoutKnownNodes(1)) {
            Peer frontEnd = fixture.client();
            frontEnd.send("mn\r\n");
            expectNoNode(fixture, "a");
            assertFalse(frontEnd.ready(), "MN before there is a ready node");
            Peer watch = fixture.watch();
            ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(2, true, fixture.listEntry(0, "DRAINING")), "");
            expectNoNode(fixture, "b");
            assertFalse(frontEnd.ready(), "MN before there is a ready node");
            ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(3, true, fixture.listEntry(0, "SERVING")));
            frontEnd.expect("MN");
            frontEnd.send("mn\r\n" + ProxyFixture.readCommand("c1", 4000));
            frontEnd.expect("MN");
            assertEquals(
                    "Oc1", CommandArrivals.readCommandId(fixture.nodes.get(0).next()));
        }
    }

    /** While discovery is down, proxies without a known node would never count as ready. */
    @Test
    void answersMnAfterTimeoutWithoutReadyNode() throws Exception {
        long startNs = System.nanoTime();
        try (ProxyFixture fixture = withoutKnownNodes(1)) {
            Peer frontEnd = fixture.client();
            frontEnd.send("mn\r\n" + ProxyFixture.readCommand("a1", 4000) + "mn\r\n");
            frontEnd.expect("MN");
            assertTrue(System.nanoTime() - startNs > 1_500_000_000L, "answered before the timeout");
            assertTrue(
                    frontEnd.line().startsWith("SERVER_ERROR busy"), "responses are sent in the order of the requests");
            frontEnd.expect("MN");
            frontEnd.send("mn\r\n");
            frontEnd.expect("MN");
        }
    }

    /**
     * Changes of the list while this process was down count as notified to it too: a client that was served by the list
     * of the configuration was formerly sent to a node that was gone (incident 33).
     */
    @Test
    void holdsMnUntilFirstListDespiteKnownNode() throws Exception {
        try (ProxyFixture fixture = ProxyFixture.awaitingFirstList(1)) {
            Peer frontEnd = fixture.client();
            frontEnd.send("mn\r\n");
            Peer watch = fixture.watch();
            ProxyFixture.sendChunks(watch, "");
            try (Peer barrier = Peer.to(fixture.proxy.address())) {
                barrier.send("nonsense\r\n");
                assertTrue(barrier.line().contains("ERROR"));
            }
            assertFalse(frontEnd.ready(), "MN before discovery has sent a list");
            ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(1, false));
            frontEnd.expect("MN");
        }
    }

    /** While discovery is down, proxies that waited for it during their start would take the fleet out of service. */
    @Test
    void answersMnFromKnownListIfDiscoveryRefusesConnections() throws Exception {
        long startNs = System.nanoTime();
        try (ProxyFixture fixture = ProxyFixture.awaitingFirstList(1)) {
            fixture.discovery.close();
            Peer frontEnd = fixture.client();
            frontEnd.send("mn\r\n");
            frontEnd.expect("MN");
            long heldUs = (System.nanoTime() - startNs) / 1000;
            assertTrue(heldUs < ProxyServer.READINESS_TIMEOUT_US, "held for " + heldUs + " us");
        }
    }

    /** While discovery accepts connections but never responds, the same applies. */
    @Test
    void answersMnFromKnownListAfterTimeoutIfDiscoveryIsSilent() throws Exception {
        try (ProxyFixture fixture = ProxyFixture.awaitingFirstList(1)) {
            Peer frontEnd = fixture.client();
            frontEnd.send("mn\r\n");
            frontEnd.expect("MN");
        }
    }
}
