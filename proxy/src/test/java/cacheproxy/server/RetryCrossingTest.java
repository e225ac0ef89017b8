package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests races between the end of an attempt and its timeout, its connection's close or its deduplication window. */
@Timeout(60)
class RetryCrossingTest {
    private static final int LONG_DEADLINE_MS = 60_000;

    /** Also extends the latency objective: after a part of it the router would blame the node and avoid it. */
    private static String withLongDeadlines(String settings) {
        return settings.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":" + LONG_DEADLINE_MS + ".0")
                .replace("\"targetMs\":750.0", "\"targetMs\":40000.0");
    }

    private static String withSharedConnections(String settings) {
        return withLongDeadlines(settings)
                .replace("\"multiplex\":1", "\"multiplex\":100")
                .replace("\"secondCopies\":false", "\"secondCopies\":true");
    }

    private static void awaitRequests(ProxyFixture fixture, long requests) throws Exception {
        while (fixture.loop
                .submit(() -> fixture.proxy.reserved().get("requests") != requests)
                .get()) {
            Thread.onSpinWait();
        }
    }

    /**
     * The event loop stalls while it reads; a response arrives, then the timeout passes. Timers run before the loop
     * reads again, and would fail a charge that was executed.
     */
    @Test
    void readsReceivedResponseBeforeTimeout() throws Exception {
        for (String requestClass : new String[] {"lookup", "charge", "submit"}) {
            RequestBlockingRouter heldRequest = new RequestBlockingRouter();
            try (ProxyFixture fixture =
                    new ProxyFixture(1, s -> s, 1024, ProxyFixture::listOfAllNodes, heldRequest::wrap)) {
                Peer client = fixture.client();
                Peer other = fixture.client();
                client.send(
                        requestClass.equals("lookup")
                                ? ProxyFixture.readCommand("a1", 400)
                                : ProxyFixture.writeCommand(requestClass, "a1", 400));
                Peer node = fixture.nodes.get(0).next();
                assertEquals("Oa1", CommandArrivals.readCommandId(node));
                other.send(ProxyFixture.readCommand("b1", 4000)
                        .replace("d=", RequestBlockingRouter.BLOCKED_REQUEST_FIELD + "d="));
                heldRequest.await();
                long sentNanos = System.nanoTime();
                node.send(requestClass.equals("lookup") ? "VA 1 Oa1\r\n1\r\n" : "HD Oa1 c7\r\n");
                while (System.nanoTime() - sentNanos < 450_000_000L) {
                    Thread.onSpinWait(); // until the timeout has passed
                }
                heldRequest.release();
                client.expect(requestClass.equals("lookup") ? "VA 1 Oa1" : "HD Oa1 c7");
            }
        }
    }

    /** Like the previous test, with a response that pauses in the middle and continues as the stall timeout passes. */
    @Test
    void readsRestOfResponseBeforeStallTimeout() throws Exception {
        for (String requestClass : new String[] {"lookup", "charge", "submit"}) {
            RequestBlockingRouter heldRequest = new RequestBlockingRouter();
            try (ProxyFixture fixture =
                    new ProxyFixture(1, s -> s, 1024, ProxyFixture::listOfAllNodes, heldRequest::wrap)) {
                Peer client = fixture.client();
                Peer other = fixture.client();
                client.send(
                        requestClass.equals("lookup")
                                ? ProxyFixture.readCommand("a1", 4000)
                                : ProxyFixture.writeCommand(requestClass, "a1", 4000));
                Peer node = fixture.nodes.get(0).next();
                assertEquals("Oa1", CommandArrivals.readCommandId(node));
                node.send(requestClass.equals("lookup") ? "VA 1 Oa1" : "HD Oa1");
                other.send("mn\r\n");
                other.expect("MN"); // the first part was read
                other.send(ProxyFixture.readCommand("b1", 4000)
                        .replace("d=", RequestBlockingRouter.BLOCKED_REQUEST_FIELD + "d="));
                heldRequest.await();
                long stalledNanos = System.nanoTime();
                node.send(requestClass.equals("lookup") ? "\r\n1\r\n" : " c7\r\n");
                while (System.nanoTime() - stalledNanos < 350_000_000L) {
                    Thread.onSpinWait(); // until the timeout has passed
                }
                heldRequest.release();
                client.expect(requestClass.equals("lookup") ? "VA 1 Oa1" : "HD Oa1 c7");
            }
        }
    }

    /**
     * A node closes a shared connection just as a charge is about to be written to it. Written after a close that is
     * still unread, the charge would be possibly executed and have to fail.
     */
    @Test
    void nonIdempotentRequestDoesNotShareConnectionWithUnreadClose() throws Exception {
        for (String requestClass : new String[] {"charge", "submit"}) {
            for (boolean reset : new boolean[] {false, true}) {
                RequestBlockingRouter heldRequest = new RequestBlockingRouter();
                try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        RetryCrossingTest::withSharedConnections,
                        1024,
                        ProxyFixture::listOfAllNodes,
                        heldRequest::wrap)) {
                    Peer client = fixture.client();
                    Peer other = fixture.client();
                    other.send(ProxyFixture.readCommand("b1", LONG_DEADLINE_MS));
                    Peer node = fixture.nodes.get(0).next();
                    assertEquals("Ob1", CommandArrivals.readCommandId(node));
                    client.send(ProxyFixture.writeCommand(requestClass, "c1", 4000)
                            .replace("d=", RequestBlockingRouter.BLOCKED_REQUEST_FIELD + "d="));
                    heldRequest.await();
                    if (reset) {
                        node.reset();
                    } else {
                        node.close();
                    }
                    heldRequest.release();
                    Peer freshPeer = fixture.nodes.get(0).next();
                    assertEquals("Oc1", CommandArrivals.readCommandId(freshPeer));
                    freshPeer.send("HD Oc1 c7\r\n");
                    client.expect("HD Oc1 c7");
                }
            }
        }
    }

    /**
     * Like the previous test, with an unread response without an id. A duplicate of it could be taken for the charge's
     * response, and after a busy the charge would be retried or rejected.
     */
    @Test
    void nonIdempotentRequestDoesNotShareConnectionWithUnreadErrorLine() throws Exception {
        for (String requestClass : new String[] {"charge", "submit"}) {
            RequestBlockingRouter heldRequest = new RequestBlockingRouter();
            try (ProxyFixture fixture = new ProxyFixture(
                    1,
                    RetryCrossingTest::withSharedConnections,
                    1024,
                    ProxyFixture::listOfAllNodes,
                    heldRequest::wrap)) {
                Peer client = fixture.client();
                Peer other = fixture.client();
                other.send(ProxyFixture.readCommand("b1", LONG_DEADLINE_MS));
                Peer node = fixture.nodes.get(0).next();
                assertEquals("Ob1", CommandArrivals.readCommandId(node));
                client.send(ProxyFixture.writeCommand(requestClass, "c1", 4000)
                        .replace("d=", RequestBlockingRouter.BLOCKED_REQUEST_FIELD + "d="));
                heldRequest.await();
                node.send("SERVER_ERROR failed\r\n");
                heldRequest.release();
                Peer freshPeer = fixture.nodes.get(0).next();
                assertEquals("Oc1", CommandArrivals.readCommandId(freshPeer));
                freshPeer.send("HD Oc1 c7\r\n");
                client.expect("HD Oc1 c7");
            }
        }
    }

    /**
     * The retry of a keyed write that was possibly executed waits behind data that its node does not read. Written when
     * the node reads again, it could arrive after the deduplication window and be executed twice.
     */
    @Test
    void doesNotWriteRetryAfterDeduplicationWindow() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                2,
                s -> withSharedConnections(s).replace("\"repeatWindowMs\":5000.0", "\"repeatWindowMs\":1500.0"),
                1024,
                self -> ProxyFixture.endpointList(1, true, self.listEntry(1, "SERVING")))) {
            Peer blocking = fixture.client();
            blocking.send(ProxyFixture.readCommand("b1", LONG_DEADLINE_MS));
            Peer notReading = fixture.nodes.get(1).next();
            assertEquals("Ob1", CommandArrivals.readCommandId(notReading));
            String value = "v".repeat(64 << 10);
            for (int i = 0; i < 90; i++) { // 5.9 MB: more than the kernel buffers for a peer that does not read
                fixture.client()
                        .send("ms 7f3a9c21e0b4d655 " + value.length() + " Oc" + i + " Pc=charge,t=acme,d="
                                + LONG_DEADLINE_MS + ",k=5c0f\r\n" + value + "\r\n");
                awaitRequests(fixture, i + 2);
            }
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(), ProxyFixture.endpointList(2, false, fixture.listEntry(0, "SERVING")));
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("submit", "k1", LONG_DEADLINE_MS));
            Peer firstPeer = fixture.nodes.get(0).next(); // the less loaded node
            assertEquals("Ok1", CommandArrivals.readCommandId(firstPeer));
            firstPeer.send("SERVER_ERROR failed\r\n");
            Peer windowProbe = fixture.client();
            windowProbe.send(ProxyFixture.readCommand("a1", 2500));
            assertEquals("Oa1", CommandArrivals.readCommandId(firstPeer));
            assertTrue(windowProbe.line().startsWith("SERVER_ERROR busy")); // the deduplication window has passed
            for (int i = 0; i < 90; i++) {
                assertEquals("Oc" + i, CommandArrivals.readCommandId(notReading));
            }
            client.expect("SERVER_ERROR failed");
            for (Peer peer : fixture.clients) {
                peer.close();
            }
            notReading.expectEnd();
        }
    }

    private static final int SOCKET_BUFFER_BYTES = 4096;
    private static final String LARGE_VALUE = "v".repeat(64 << 10);

    private static String largeWrite(String requestClass, String id) {
        return "ms 7f3a9c21e0b4d655 " + LARGE_VALUE.length() + " O" + id + " Pc=" + requestClass + ",t=acme,d="
                + LONG_DEADLINE_MS + ",k=5c0f\r\n" + LARGE_VALUE + "\r\n";
    }

    private static void expectCommandLine(Peer node, String id) throws Exception {
        String line = node.line();
        assertTrue(line.contains(" O" + id + " "), line); // the value stays unread
    }

    /** Expects the connection to end before the value is complete. */
    private static void expectIncompleteValue(Peer node) throws Exception {
        assertTrue(node.line() == null && node.rest() < LARGE_VALUE.length(), "the complete value was received");
    }

    /**
     * A node stops reading while the retry of a keyed write that was possibly executed is being written. If the channel
     * wrote the rest when the node reads again, after the deduplication window, the write could be executed twice.
     */
    @Test
    void doesNotCompleteRetryAfterDeduplicationWindow() throws Exception {
        try (Peer.Listener hungNode = new Peer.Listener(SOCKET_BUFFER_BYTES);
                ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> withLongDeadlines(s).replace("\"repeatWindowMs\":5000.0", "\"repeatWindowMs\":1500.0"),
                        1024,
                        ProxyFixture::listOfAllNodes,
                        module -> module,
                        ProxyFixture.withSmallSendBuffer(SOCKET_BUFFER_BYTES))) {
            Peer client = fixture.client();
            client.send(largeWrite("submit", "k1"));
            Peer firstPeer = fixture.nodes.get(0).next();
            assertEquals("Ok1", CommandArrivals.readCommandId(firstPeer));
            long startedNanos = System.nanoTime();
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(2, false, ProxyFixture.listEntry(1, "SERVING", hungNode)));
            firstPeer.send("SERVER_ERROR failed\r\n");
            Peer hungPeer = hungNode.next();
            expectCommandLine(hungPeer, "k1");
            while (System.nanoTime() - startedNanos < 1_600_000_000L) {
                Thread.onSpinWait(); // until the deduplication window has passed
            }
            expectIncompleteValue(hungPeer);
            client.expect("SERVER_ERROR failed");
        }
    }

    /** The opposite order: the node continues to read in time, and the retry is written completely. */
    @Test
    void completesRetryWithinDeduplicationWindow() throws Exception {
        try (Peer.Listener slowNode = new Peer.Listener(SOCKET_BUFFER_BYTES);
                ProxyFixture fixture = new ProxyFixture(
                        1,
                        RetryCrossingTest::withLongDeadlines,
                        1024,
                        ProxyFixture::listOfAllNodes,
                        module -> module,
                        ProxyFixture.withSmallSendBuffer(SOCKET_BUFFER_BYTES))) {
            Peer client = fixture.client();
            client.send(largeWrite("submit", "k1"));
            Peer firstPeer = fixture.nodes.get(0).next();
            assertEquals("Ok1", CommandArrivals.readCommandId(firstPeer));
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(2, false, ProxyFixture.listEntry(1, "SERVING", slowNode)));
            firstPeer.send("SERVER_ERROR failed\r\n");
            Peer retryPeer = slowNode.next();
            expectCommandLine(retryPeer, "k1");
            assertTrue(LARGE_VALUE.equals(retryPeer.line()), "the complete value is received");
            retryPeer.send("HD Ok1 c7\r\n");
            client.expect("HD Ok1 c7");
        }
    }
}
