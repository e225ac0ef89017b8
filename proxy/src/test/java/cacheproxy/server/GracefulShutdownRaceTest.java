package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a drain (SIGTERM) answers every complete command that was received before it closes the connection. */
@Timeout(60)
class GracefulShutdownRaceTest {

    private static void drainAndAwaitIdleClose(ProxyFixture fixture) throws Exception {
        Peer idle = fixture.client();
        idle.send("mn\r\n");
        idle.expect("MN");
        fixture.loop.submit(() -> fixture.proxy.drain(0)).get();
        idle.expectEnd(); // idle connections are closed after the listener
    }

    private static void serveRead(Peer client, Peer node, String id) throws Exception {
        assertEquals("O" + id, CommandArrivals.readCommandId(node));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
    }

    /**
     * The last response is sent while commands that were already read still wait to be processed. The connection must
     * not be closed with that response, which would leave them unanswered.
     */
    @Test
    void answersCommandsReadBeforeLastResponse() throws Exception {
        for (int noOpCount : new int[] {0, 1, 40, 300}) {
            try (ProxyFixture fixture = new ProxyFixture(1)) {
                Peer client = fixture.client();
                client.send(ProxyFixture.readCommand("a1", 4000));
                Peer node = fixture.nodes.get(0).next();
                assertEquals("Oa1", CommandArrivals.readCommandId(node));
                drainAndAwaitIdleClose(fixture);
                try (BlockedEventLoop heldLoop = new BlockedEventLoop(fixture.loop)) {
                    client.send("mn\r\n".repeat(noOpCount) + ProxyFixture.readCommand("a2", 4000));
                    node.send("VA 1 Oa1\r\n1\r\n");
                }
                client.expect("VA 1 Oa1", "1");
                for (int i = 0; i < noOpCount; i++) {
                    client.expect("MN");
                }
                serveRead(client, new CommandArrivals(fixture).nextAtNodeOrClient(null, node), "a2");
                client.expectEnd();
            }
        }
    }

    /** Like the previous test, but the response is read before the commands, which had arrived and were unread. */
    @Test
    void answersCommandsUnreadAtLastResponse() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            assertEquals("Oa1", CommandArrivals.readCommandId(node));
            drainAndAwaitIdleClose(fixture);
            try (BlockedEventLoop heldLoop = new BlockedEventLoop(fixture.loop)) {
                node.send("VA 1 Oa1\r\n1\r\n");
                client.send(ProxyFixture.readCommand("a2", 4000) + "mn\r\n" + ProxyFixture.readCommand("a3", 4000));
            }
            client.expect("VA 1 Oa1", "1");
            CommandArrivals arrivals = new CommandArrivals(fixture);
            for (int i = 0; i < 2; i++) {
                Peer next = arrivals.nextAtNodeOrClient(null, node);
                String id = CommandArrivals.readCommandId(next);
                next.send("VA 1 " + id + "\r\n1\r\n");
            }
            client.expect("VA 1 Oa2", "1", "MN", "VA 1 Oa3", "1");
            client.expectEnd();
        }
    }

    /**
     * Several commands of one read are answered one after the other; the connection must not be closed after the first
     * of these responses.
     */
    @Test
    void sendsAllResponsesOfOneReadBeforeClosing() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            assertEquals("Oa1", CommandArrivals.readCommandId(node));
            drainAndAwaitIdleClose(fixture);
            try (BlockedEventLoop heldLoop = new BlockedEventLoop(fixture.loop)) {
                node.send("VA 1 Oa1\r\n1\r\n");
                client.send("mn\r\nmn\r\nmn\r\n");
            }
            client.expect("VA 1 Oa1", "1", "MN", "MN", "MN");
            client.expectEnd();
        }
    }

    /**
     * SIGTERM arrives in the middle of a command. The connection must not be treated as idle: the client may not be
     * able to send the command again.
     */
    @Test
    void answersPartlyReceivedCommand() throws Exception {
        for (String command :
                new String[] {ProxyFixture.readCommand("a1", 4000), ProxyFixture.writeCommand("charge", "a1", 4000)}) {
            for (int splitIndex : new int[] {1, 30, command.length() - 1}) {
                for (boolean unread : new boolean[] {false, true}) {
                    try (ProxyFixture fixture = new ProxyFixture(1)) {
                        Peer client = fixture.client();
                        Peer idleClient = fixture.client();
                        idleClient.send("mn\r\n");
                        idleClient.expect("MN");
                        client.send("mn\r\n" + (unread ? "" : command.substring(0, splitIndex)));
                        client.expect("MN");
                        try (BlockedEventLoop heldLoop = new BlockedEventLoop(fixture.loop)) {
                            fixture.loop.submit(() -> fixture.proxy.drain(0));
                            client.send(unread ? command.substring(0, splitIndex) : "");
                        }
                        idleClient.expectEnd(); // all idle connections are closed by now
                        client.send(command.substring(splitIndex));
                        Peer node = fixture.nodes.get(0).next();
                        assertEquals("Oa1", CommandArrivals.readCommandId(node));
                        String answer = command.startsWith("mg") ? "VA 1 Oa1\r\n1" : "HD Oa1 c7";
                        node.send(answer + "\r\n");
                        client.expect(answer.split("\r\n"));
                        client.expectEnd();
                    }
                }
            }
        }
    }

    /** A command that is never completed must not delay the shutdown. */
    @Test
    void rejectsIncompleteCommandBeforeClosing() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send("mn\r\n" + ProxyFixture.readCommand("a1", 4000).substring(0, 30));
            client.expect("MN");
            Future<Void> drainDone =
                    fixture.loop.submit(() -> fixture.proxy.drain(0)).get();
            client.expect("CLIENT_ERROR the command does not end");
            client.expectEnd();
            client.close();
            assertTrue(drainDone.await(3, TimeUnit.SECONDS));
        }
    }

    /**
     * A connection is evicted to make room for a new one while a request on it is unread. Closing it with unread bytes
     * would reset it and leave the request unanswered.
     */
    @Test
    void doesNotEvictConnectionWithUnreadRequest() throws Exception {
        for (boolean newClients : new boolean[] {true, false}) {
            try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 40 of the sockets are for clients
                List<Peer> clients = new ArrayList<>();
                for (int i = 0; i < 40; i++) {
                    Peer client = fixture.client();
                    clients.add(client);
                    // clients with several requests are evicted last
                    for (int request = 0; request < 2 && !newClients; request++) {
                        client.send("mn\r\n");
                        client.expect("MN");
                    }
                }
                while (fixture.loop
                        .submit(() -> fixture.proxy.clients.count() != 40)
                        .get()) {
                    Thread.onSpinWait();
                }
                Peer freshPeer;
                try (BlockedEventLoop heldLoop = new BlockedEventLoop(fixture.loop)) {
                    freshPeer = fixture.client(); // accepted before the request is read
                    clients.get(0).send(ProxyFixture.readCommand("a1", 4000));
                }
                serveRead(clients.get(0), fixture.nodes.get(0).next(), "a1");
                clients.get(1).expectEnd(); // another connection was evicted
                freshPeer.send("mn\r\n");
                freshPeer.expect("MN");
            }
        }
    }

    /**
     * A client that was silent for the allowed 2 s sends its first request just before they end, while the event loop
     * is stalled. The connection must not be closed over the unread request.
     */
    @Test
    void doesNotCloseSilentConnectionWithUnreadFirstRequest() throws Exception {
        RequestBlockingRouter heldRequest = new RequestBlockingRouter();
        try (ProxyFixture fixture =
                new ProxyFixture(1, s -> s, 1024, ProxyFixture::listOfAllNodes, heldRequest::wrap)) {
            Peer silentClient = fixture.client();
            while (fixture.loop.submit(() -> fixture.proxy.clients.count() != 1).get()) {
                Thread.onSpinWait();
            }
            long openedNanos = System.nanoTime();
            // not forwarded: its wait is 0
            fixture.client()
                    .send(ProxyFixture.readCommand("b1", 0)
                            .replace("d=", RequestBlockingRouter.BLOCKED_REQUEST_FIELD + "d="));
            heldRequest.await();
            silentClient.send(ProxyFixture.readCommand("a1", 4000));
            while (System.nanoTime() - openedNanos < 2_300_000_000L) {
                Thread.onSpinWait(); // until the timeout has passed
            }
            heldRequest.release();
            serveRead(silentClient, fixture.nodes.get(0).next(), "a1");
        }
    }

    /** Like the previous test, within a command: if its rest has arrived, it must not be rejected as incomplete. */
    @Test
    void doesNotRejectCommandWhoseRestIsUnread() throws Exception {
        RequestBlockingRouter heldRequest = new RequestBlockingRouter();
        try (ProxyFixture fixture =
                new ProxyFixture(1, s -> s, 1024, ProxyFixture::listOfAllNodes, heldRequest::wrap)) {
            Peer slowClient = fixture.client();
            slowClient.send("mn\r\nmg 7f3a9c21e0b4d655 v O");
            slowClient.expect("MN");
            long startedNanos = System.nanoTime();
            // not forwarded: its wait is 0
            fixture.client()
                    .send(ProxyFixture.readCommand("b1", 0)
                            .replace("d=", RequestBlockingRouter.BLOCKED_REQUEST_FIELD + "d="));
            heldRequest.await();
            slowClient.send("a1 Pc=lookup,t=acme,d=4000\r\n");
            while (System.nanoTime() - startedNanos < 2_300_000_000L) {
                Thread.onSpinWait(); // until the timeout has passed
            }
            heldRequest.release();
            serveRead(slowClient, fixture.nodes.get(0).next(), "a1");
        }
    }

    /** A request whose deadline is after the shutdown notice must get a response before the process ends. */
    @Test
    void failsRequestWithDeadlineAfterShutdownNotice() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(1, s -> s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0"), 1024)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 60_000) + ProxyFixture.readCommand("a1", 60_000));
            Peer node = fixture.nodes.get(0).next();
            CommandArrivals.readCommandId(node);
            CommandArrivals.readCommandId(fixture.nodes.get(0).next());
            Future<Void> drainDone =
                    fixture.loop.submit(() -> fixture.proxy.drain(0)).get();
            client.expect("SERVER_ERROR failed", "SERVER_ERROR failed");
            client.expectEnd();
            client.close();
            assertTrue(drainDone.await(3, TimeUnit.SECONDS));
            assertEquals(0L, fixture.proxy.reserved().get("requests"));
        }
    }

    /**
     * After an invalid line the proxy reads nothing more from a connection for half a second. Requests received behind
     * that line must be answered even if the process ends within that time.
     */
    @Test
    void answersRequestsBehindInvalidLineBeforeShutdown() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send("nonsense\r\n" + ProxyFixture.readCommand("a1", 4000));
            client.expect("ERROR");
            fixture.loop.submit(() -> fixture.proxy.sendLastResponses()).get();
            try (Peer barrier = fixture.client()) {
                barrier.send("mn\r\n");
                barrier.expect("MN");
            }
            assertTrue(client.ready());
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            client.send("nonsense\r\n" + ProxyFixture.readCommand("a2", 4000));
            client.expect("ERROR");
            try (Peer barrier = fixture.client()) {
                barrier.send("mn\r\n");
                barrier.expect("MN");
            }
            assertTrue(client.ready(), "not answered before the shutdown");
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
        }
    }

    /**
     * The notice period follows the settings: the longest deadline (at most 3 s) plus 0.6 s, which is 0.1 s before
     * SIGKILL, so that the process exits by itself.
     */
    @Test
    void shutdownNoticeFollowsLongestDeadline() throws Exception {
        for (double[] deadlineAndNoticeMs : new double[][] {{300, 900}, {2500, 3100}, {60_000, 3600}, {0, 3600}}) {
            try (ProxyFixture fixture = new ProxyFixture(
                    1, s -> s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":" + deadlineAndNoticeMs[0]), 1024)) {
                assertEquals(deadlineAndNoticeMs[1] * 1000, fixture.proxy.shutdownNoticeUs());
            }
        }
    }

    /**
     * More connections wait to be accepted than one iteration of the event loop accepts. The others must not be reset,
     * with their requests, when the listener closes.
     */
    @Test
    void answersConnectionsWaitingToBeAccepted() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            List<Peer> clients = new ArrayList<>();
            try (BlockedEventLoop heldLoop = new BlockedEventLoop(fixture.loop)) {
                fixture.loop.submit(() -> fixture.proxy.drain(0)); // runs once the loop is released
                for (int i = 0; i < 300; i++) {
                    Peer client = fixture.client();
                    client.send("mn\r\n");
                    clients.add(client);
                }
            }
            for (Peer client : clients) {
                client.expect("MN");
                client.expectEnd();
            }
        }
    }

    /**
     * A node closes an idle connection just as the proxy is about to use it. A request that is not idempotent must not
     * be written after a close that is still unread: it would be possibly executed and have to fail.
     */
    @Test
    void doesNotWriteNonIdempotentRequestAfterUnreadClose() throws Exception {
        for (String requestClass : new String[] {"charge", "submit"}) {
            for (boolean reset : new boolean[] {false, true}) {
                RequestBlockingRouter heldRequest = new RequestBlockingRouter();
                try (ProxyFixture fixture =
                        new ProxyFixture(1, x -> x, 1024, ProxyFixture::listOfAllNodes, heldRequest::wrap)) {
                    Peer client = fixture.client();
                    client.send(ProxyFixture.writeCommand(requestClass, "c1", 4000));
                    Peer node = fixture.nodes.get(0).next();
                    assertEquals("Oc1", CommandArrivals.readCommandId(node));
                    node.send("HD Oc1 c7\r\n");
                    client.expect("HD Oc1 c7");
                    client.send(ProxyFixture.writeCommand(requestClass, "c2", 4000)
                            .replace("d=", RequestBlockingRouter.BLOCKED_REQUEST_FIELD + "d="));
                    heldRequest.await(); // the request is routed after the node has closed the connection
                    if (reset) {
                        node.reset();
                    } else {
                        node.close();
                    }
                    heldRequest.release();
                    Peer freshPeer = fixture.nodes.get(0).next();
                    assertEquals("Oc2", CommandArrivals.readCommandId(freshPeer));
                    freshPeer.send("HD Oc2 c8\r\n");
                    client.expect("HD Oc2 c8");
                }
            }
        }
    }

    /**
     * A node restarts, cold, while a request that was routed before waits for a connection to it. The request must be
     * routed again, because it would exceed the slow start limit of a cold node.
     */
    @Test
    void reroutesRequestWaitingForConnectionWhenNodeRestarts() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> s.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":9000.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":18000.0")
                                .replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0"),
                        1024);
                Peer.UnresponsiveListener unresponsive = new Peer.UnresponsiveListener()) {
            String previousEntry = fixture.listEntry(0, "SERVING")
                    .replace("s-0", "s-9")
                    .replace(fixture.nodes.get(0).address(), unresponsive.address());
            ProxyFixture.sendListsAndAwaitClose(fixture.watch(), ProxyFixture.endpointList(2, true, previousEntry));
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 60_000));
            while (fixture.loop
                    .submit(() -> fixture.proxy.reserved().get("requests") == 0)
                    .get()) {
                Thread.onSpinWait();
            }
            // listed again unchanged: the request keeps waiting
            ProxyFixture.sendListsAndAwaitClose(fixture.watch(), ProxyFixture.endpointList(3, false, previousEntry));
            assertFalse(client.ready());
            ProxyFixture.sendListsAndAwaitClose(
                    fixture.watch(),
                    ProxyFixture.endpointList(
                            4,
                            false,
                            previousEntry.replace("\"started_ms\":0", "\"started_ms\":" + System.currentTimeMillis())));
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            Peer node = unresponsive.accept();
            client.send("mn\r\n");
            client.expect("MN");
            assertFalse(node.ready());
        }
    }

    /** A request that waits for a connection must not be sent to an address that no longer belongs to the node. */
    @Test
    void doesNotSendWaitingRequestToPreviousAddress() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> s.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":9000.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":18000.0"),
                        1024);
                Peer.UnresponsiveListener unresponsive = new Peer.UnresponsiveListener()) {
            String currentEntry = fixture.listEntry(0, "SERVING").replace("s-0", "s-9");
            String previousEntry = currentEntry.replace(fixture.nodes.get(0).address(), unresponsive.address());
            ProxyFixture.sendListsAndAwaitClose(fixture.watch(), ProxyFixture.endpointList(2, true, previousEntry));
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4900));
            while (fixture.loop
                    .submit(() -> fixture.proxy.reserved().get("requests") == 0)
                    .get()) {
                Thread.onSpinWait();
            }
            ProxyFixture.sendListsAndAwaitClose(fixture.watch(), ProxyFixture.endpointList(3, true, currentEntry));
            assertTrue(client.line().startsWith("SERVER_ERROR busy")); // not sent to any node
            unresponsive.accept().expectEnd();
            client.send(ProxyFixture.readCommand("a1", 4000));
            serveRead(client, fixture.nodes.get(0).next(), "a1");
            assertFalse(client.ready());
        }
    }

    /**
     * During a drain a client stops in the middle of a command and reads its last responses slowly, so that the proxy
     * doesn't read from it. Its connection must not be taken for one without a partial command, which would stay open
     * until the process is killed.
     */
    @Test
    void closesSlowReaderWithIncompleteCommand() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000) + ProxyFixture.readCommand("a2", 4000)
                    + ProxyFixture.readCommand("a3", 4000) + ProxyFixture.readCommand("a4", 4000)
                    + ProxyFixture.readCommand("a5", 4000) + ProxyFixture.readCommand("a6", 4000) + "mg 7f3a");
            CommandArrivals arrivals = new CommandArrivals(fixture);
            String largeValue = "0123456789".repeat(100_000);
            for (int i = 0; i < 6; i++) {
                Peer node = arrivals.next();
                node.send("VA " + largeValue.length() + " " + CommandArrivals.readCommandId(node) + "\r\n" + largeValue
                        + "\r\n");
            }
            while (fixture.loop
                            .submit(() -> fixture.proxy.reserved().get("requests"))
                            .get()
                    > 0) {
                Thread.onSpinWait();
            }
            drainAndAwaitIdleClose(fixture);
            for (int i = 1; i <= 6; i++) {
                client.expect("VA " + largeValue.length() + " Oa" + i);
                assertEquals(largeValue.length(), client.line().length());
            }
            client.expect("CLIENT_ERROR the command does not end");
            client.expectEnd();
        }
    }
}
