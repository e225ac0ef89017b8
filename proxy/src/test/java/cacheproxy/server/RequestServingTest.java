package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** One proxy with scripted clients and cache nodes: responses, their order, and the handling of failures. */
@Timeout(60)
class RequestServingTest {

    /** The next command at a node without its waiting time, which is checked to be between 1 and the given maximum. */
    private static String command(Peer node, int maxWaitMs) throws IOException {
        String line = node.line();
        assertTrue(line != null && line.contains(",d="), line);
        int waitStart = line.indexOf(",d=") + 3;
        int end = line.indexOf(',', waitStart);
        int waitMs = Integer.parseInt(line.substring(waitStart, end < 0 ? line.length() : end));
        assertTrue(waitMs >= 1 && waitMs <= maxWaitMs, line);
        return line.substring(0, waitStart) + (end < 0 ? "" : line.substring(end));
    }

    @Test
    void forwardsReadUnchangedAndReturnsValueWithoutLoadReport() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send("mg 7f3a9c21e0b4d655 v Oa1 Pc=lookup,t=acme,d=4000,r=1,size=12\r\n");
            Peer node = fixture.nodes.get(0).next();
            assertEquals("mg 7f3a9c21e0b4d655 v Oa1 Pc=lookup,t=acme,d=,r=1,size=12", command(node, 4000));
            node.send("VA 5 Oa1 h1 Lbusy=0.61\r\nhel\nl\r\n");
            client.expect("VA 5 Oa1", "hel", "l");
        }
    }

    @Test
    void forwardsWriteWithValueAndIdempotencyKeyAndReturnsResponse() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("submit", "b2", 4000));
            Peer node = fixture.nodes.get(0).next();
            assertEquals("ms 7f3a9c21e0b4d655 5 Ob2 Pc=submit,t=acme,d=,k=5c0f", command(node, 4000));
            node.expect("hello");
            node.send("HD Ob2 c77\r\n");
            client.expect("HD Ob2 c77");
        }
    }

    @Test
    void sendsResponsesInOrderOfCommands() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000) + ProxyFixture.readCommand("a2", 4000) + "mn\r\nmg x\r\n");
            Peer first = fixture.nodes.get(0).next();
            Peer second = fixture.nodes.get(0).next();
            boolean swapped = command(first, 4000).contains("Oa2");
            command(second, 4000);
            (swapped ? first : second).send("VA 1 Oa2\r\n2\r\n");
            (swapped ? second : first).send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1", "VA 1 Oa2", "2", "MN", "CLIENT_ERROR O and P are needed");
        }
    }

    @Test
    void reusesEndpointConnection() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            command(node, 4000);
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            client.send(ProxyFixture.readCommand("a2", 4000));
            command(node, 4000);
            node.send("VA 1 Oa2\r\n2\r\n");
            client.expect("VA 1 Oa2", "2");
            assertEquals(1, fixture.nodes.get(0).count());
        }
    }

    @Test
    void answersInvalidCommandsWithErrorAndClosesOnlyAfterLostFraming() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send("get x\r\nmg k v Oa Pc=nobody,t=acme,d=9\r\nms k 3 Ob Pc=charge,t=acme,d=x\r\nabc\r\nmn\r\n");
            client.expect(
                    "ERROR",
                    "CLIENT_ERROR c, t or d is not known here",
                    "CLIENT_ERROR c, t or d is not known here",
                    "MN");
            client.send("ms k 65537 Oc Pc=charge,t=acme,d=900,k=1\r\n");
            client.expect("CLIENT_ERROR object too large");
            client.expectEnd();
            Peer other = fixture.client();
            other.send("m".repeat(5000));
            other.expect("CLIENT_ERROR line too long");
            other.expectEnd();
            Peer third = fixture.client();
            third.send("ms k 3 Od Pc=charge,t=acme,d=900,k=1\r\nabcdefg\r\n");
            third.expect("CLIENT_ERROR bad data chunk");
            third.expectEnd();
            Peer last = fixture.client();
            last.send("mn\r\n");
            last.expect("MN");
            assertEquals(0, fixture.nodes.get(0).count());
        }
    }

    @Test
    void failsUnsafeRequestWithoutRetryWhenConnectionBreaksAfterWrite() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer node = nextConnection(fixture, 0);
            command(node, 4000);
            node.expect("hello");
            node.reset();
            client.expect("SERVER_ERROR failed");
            assertEquals(1, fixture.nodes.get(0).count() + fixture.nodes.get(1).count());
        }
    }

    /** The next connection to either of two nodes, which together have accepted {@code connectionsBefore} so far. */
    private static Peer nextConnection(ProxyFixture fixture, int connectionsBefore) throws Exception {
        long end = System.nanoTime() + 10_000_000_000L;
        while (fixture.nodes.get(0).count() + fixture.nodes.get(1).count() <= connectionsBefore) {
            assertTrue(System.nanoTime() < end, "no connection came");
            Thread.onSpinWait();
        }
        for (Peer.Listener listener : fixture.nodes) {
            Peer connection = listener.poll();
            if (connection != null) {
                return connection;
            }
        }
        throw new AssertionError("no connection came");
    }

    @Test
    void rejectsUnsafeRequestWithRetryAfterWhenNoNodeAcceptsConnections() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.nodes.get(0).close();
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            String line = client.line();
            assertTrue(line.matches("SERVER_ERROR busy [1-9][0-9]*"), line);
        }
    }

    @Test
    void retriesUnsafeRequestThatANodeRejectedAsBusy() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer node = nextConnection(fixture, 0);
            command(node, 4000);
            node.expect("hello");
            node.send("SERVER_ERROR busy Lbusy=1.0\r\n");
            Peer second = nextConnection(fixture, 1);
            assertEquals("ms 7f3a9c21e0b4d655 5 Oc1 Pc=charge,t=acme,d=,k=5c0f", command(second, 4000));
            second.expect("hello");
            second.send("HD Oc1 c9\r\n");
            client.expect("HD Oc1 c9");
        }
    }

    @Test
    void rejectsUnsafeRequestWhoseConnectionIsNeverEstablished() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                Peer.UnresponsiveListener deaf = new Peer.UnresponsiveListener()) {
            replaceEndpointsBy(fixture, deaf);
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 200));
            assertTrue(client.line().startsWith("SERVER_ERROR busy "));
        }
    }

    @Test
    void doesNotWriteTimedOutAttemptWhenItsConnectionIsEstablishedForAnother() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> s.replace("\"multiplex\":1", "\"multiplex\":4")
                                .replace("\"secondCopies\":false", "\"secondCopies\":true")
                                .replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":9000.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":18000.0"),
                        1024);
                Peer.UnresponsiveListener deaf = new Peer.UnresponsiveListener()) {
            replaceEndpointsBy(fixture, deaf);
            Peer client = fixture.client();
            Peer patient = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 400));
            patient.send(ProxyFixture.writeCommand("charge", "c2", 4900));
            assertTrue(client.line().startsWith("SERVER_ERROR busy ")); // promises that it never runs
            Peer node = deaf.accept();
            assertEquals("ms 7f3a9c21e0b4d655 5 Oc2 Pc=charge,t=acme,d=,k=5c0f", command(node, 4900));
            node.expect("hello");
            node.send("HD Oc2 c2\r\n");
            patient.expect("HD Oc2 c2");
        }
    }

    /** Sends a list with this node as the only endpoint, and waits until the proxy has processed it. */
    private static void replaceEndpointsBy(ProxyFixture fixture, Peer.UnresponsiveListener node) throws Exception {
        Peer watch = fixture.watch();
        String entry = fixture.listEntry(0, "SERVING")
                .replace("s-0", "s-9")
                .replace(fixture.nodes.get(0).address(), node.address());
        ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(2, true, entry));
        ProxyFixture.sendChunks(watch, "{}"); // invalid: ends the watch after the list before it was processed
        watch.expectEnd();
    }

    @Test
    void failsUnansweredRequestAtItsDeadlineAndClosesEndpointConnection() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 300));
            Peer node = fixture.nodes.get(0).next();
            command(node, 300);
            node.expect("hello");
            client.expect("SERVER_ERROR failed");
            node.expectEnd();
        }
    }

    @Test
    void rejectsRequestWithoutRemainingTimeAndDoesNotForwardIt() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 0) + "mn\r\n");
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            client.expect("MN");
            assertEquals(0, fixture.nodes.get(0).count());
        }
    }

    @Test
    void rejectsRequestWhoseDeadlinePassedDuringEventLoopStall() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send("mn\r\n");
            client.expect("MN");
            CountDownLatch loopBlocked = new CountDownLatch(1);
            CompletableFuture<Long> blockedUntilNs = new CompletableFuture<>();
            fixture.loop.execute(() -> {
                loopBlocked.countDown();
                for (long end = blockedUntilNs.join(); System.nanoTime() < end; ) {
                    Thread.onSpinWait();
                }
            });
            loopBlocked.await();
            client.send(ProxyFixture.writeCommand("charge", "c1", 300));
            blockedUntilNs.complete(System.nanoTime() + 500_000_000L);
            assertTrue(client.line().startsWith("SERVER_ERROR busy "));
            assertEquals(0, fixture.nodes.get(0).count());
        }
    }

    @Test
    void doesNotMistakeLateResponseOnSharedConnectionForTheNextOne() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                1,
                s -> s.replace("\"multiplex\":1", "\"multiplex\":4")
                        .replace("\"secondCopies\":false", "\"secondCopies\":true"),
                1024)) {
            Peer client = fixture.client();
            Peer patient = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 300));
            Peer node = fixture.nodes.get(0).next();
            command(node, 300);
            node.expect("hello");
            patient.send(ProxyFixture.writeCommand("charge", "c2", 4000));
            command(node, 4000);
            node.expect("hello");
            client.expect("SERVER_ERROR failed");
            node.send("HD Oc1 c1\r\nHD Oc2 c2\r\n");
            patient.expect("HD Oc2 c2");
            node.expectEnd();
        }
    }

    @Test
    void failsRequestAndClosesEndpointConnectionOnResponseWithWrongId() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer node = fixture.nodes.get(0).next();
            command(node, 4000);
            node.expect("hello");
            node.send("HD Osomebody c1\r\n");
            client.expect("SERVER_ERROR failed");
            node.expectEnd();
        }
    }

    @Test
    void cancelsAttemptWhenClientCloses() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            command(node, 4000);
            client.close();
            node.expectEnd();
        }
    }

    @Test
    void closesIdleClientConnectionForNewOneAtConnectionLimit() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // allows 40 client connections
            Peer oldest = fixture.client();
            oldest.send("mn\r\n");
            oldest.expect("MN");
            for (int i = 0; i < 40; i++) {
                Peer connection = fixture.client();
                connection.send("mn\r\n");
                connection.expect("MN");
            }
            oldest.expectEnd();
        }
    }

    @Test
    void rejectsNewConnectionWhenAllAreBusyAtConnectionLimit() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                1,
                s -> s.replace("\"multiplex\":1", "\"multiplex\":64")
                        .replace("\"secondCopies\":false", "\"secondCopies\":true"),
                128)) { // allows 40 client connections
            for (int i = 0; i < 40; i++) {
                fixture.client().send(ProxyFixture.readCommand("a" + i, 4900));
            }
            Peer node = fixture.nodes.get(0).next();
            for (int i = 0; i < 40; i++) {
                command(node, 4900);
            }
            Peer excessClient = fixture.client();
            excessClient.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            assertTrue(excessClient.line().startsWith("SERVER_ERROR busy "));
            excessClient.expectEnd();
        }
    }

    @Test
    void gracefulShutdownAnswersOpenRequestsBeforeClosingConnections() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            InetSocketAddress address = fixture.proxy.address();
            Peer waiting = fixture.client();
            Peer idle = fixture.client();
            idle.send("mn\r\n");
            idle.expect("MN");
            waiting.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            command(node, 4000);
            Future<Void> end =
                    fixture.loop.submit(() -> fixture.proxy.drain(1500)).get();
            Peer lateClient = fixture.client(); // still accepted, since load balancers learn of the shutdown only later
            lateClient.send("mn\r\n");
            lateClient.expect("MN");
            idle.expectEnd();
            assertFalse(end.isDone());
            node.send("VA 1 Oa1\r\n1\r\n");
            waiting.expect("VA 1 Oa1", "1");
            waiting.expectEnd();
            lateClient.close();
            idle.close();
            waiting.close();
            assertTrue(end.await(3, TimeUnit.SECONDS));
            try (Peer refused = Peer.to(address)) {
                throw new AssertionError("still listening");
            } catch (ConnectException e) {
                assertTrue(e.getMessage().contains("refused"));
            }
        }
    }
}
