package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients whose behaviour must not harm other clients. */
@Timeout(60)
class ClientIsolationTest {
    private static final String LARGE = "0123456789".repeat(100_000);

    private static void assertServed(CommandArrivals arrivals, Peer client, String id) throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        Peer node = arrivals.nextAtNodeOrClient(client);
        assertTrue(node != client, "not forwarded to a node");
        assertEquals("O" + id, CommandArrivals.readCommandId(node));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
    }

    /**
     * Guards against reserving the announced length of a value at once: 64 clients that announce 64 KB each and send
     * nothing more would use up the budget of 4 MB, so that no other client could write. The test opens 100 such
     * clients.
     */
    @Test
    void announcedValueLengthsReserveLittleMemory() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            for (int i = 0; i < 100; i++) {
                fixture.client().send("ms 7f3a9c21e0b4d655 65536 Ox" + i + " Pc=charge,t=acme,d=4000,k=1\r\n");
            }
            Peer client = fixture.client();
            String value = "v".repeat(60_000);
            for (int i = 0; i < 5; i++) {
                client.send("ms 7f3a9c21e0b4d655 60000 Oa" + i + " Pc=charge,t=acme,d=4000,k=1\r\n" + value + "\r\n");
                Peer node = arrivals.nextAtNodeOrClient(client);
                assertTrue(node != client, "rejected: " + (node == client ? client.line() : ""));
                assertEquals("Oa" + i, CommandArrivals.readCommandId(node));
                node.send("HD Oa" + i + " c1\r\n");
                client.expect("HD Oa" + i + " c1");
            }
        }
    }

    /** Guards against clients that use up the budget for values by sending all but the last byte of a value. */
    @Test
    void discardsLongestIncomingValueToMakeRoom() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            String most = "v".repeat(65_000);
            List<Peer> slow = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                Peer connection = fixture.client();
                connection.send("ms 7f3a9c21e0b4d655 65536 Ox" + i + " Pc=charge,t=acme,d=4000,k=1\r\n" + most);
                slow.add(connection);
            }
            Peer client = fixture.client();
            client.send("ms 7f3a9c21e0b4d655 65000 Oa Pc=charge,t=acme,d=4000,k=1\r\n" + most + "\r\n");
            Peer node = arrivals.nextAtNodeOrClient(client);
            assertTrue(node != client, "rejected: " + (node == client ? client.line() : ""));
            assertEquals("Oa", CommandArrivals.readCommandId(node));
            node.send("HD Oa c1\r\n");
            client.expect("HD Oa c1");
            slow.get(0).expect("CLIENT_ERROR the value comes too slowly");
        }
    }

    /** Guards against a flood of invalid lines or of {@code mn} that uses up the event loop's time. */
    @Test
    void closesFloodOfInvalidLinesAndServesOthersDuringFloodOfNoOps() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer otherClient = fixture.client();
            assertServed(arrivals, otherClient, "a0");
            Peer invalidClient = fixture.client();
            Thread flood = new Thread(() -> {
                try {
                    OutputStream out = invalidClient.socket.getOutputStream();
                    byte[] lines = "\n".repeat(1 << 16).getBytes(StandardCharsets.US_ASCII);
                    for (int i = 0; i < 10_000; i++) {
                        out.write(lines);
                    }
                } catch (java.io.IOException e) {
                    // the proxy closed the connection
                }
            });
            flood.start();
            int errors = 0;
            try {
                for (String line = invalidClient.line(); line != null; line = invalidClient.line()) {
                    assertEquals("ERROR", line);
                    errors++;
                }
            } catch (SocketException e) {
                // reset, because the client goes on sending
            }
            flood.join();
            assertTrue(errors <= 8, errors + " invalid lines were answered");
            Peer noOpClient = fixture.client();
            int noOps = 60_000;
            int[] answeredNoOps = {0};
            Thread reader = new Thread(() -> {
                try {
                    for (; answeredNoOps[0] < noOps; answeredNoOps[0]++) {
                        noOpClient.expect("MN");
                    }
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            reader.start();
            byte[] all = "mn\r\n".repeat(noOps).getBytes(StandardCharsets.US_ASCII);
            Thread writer = new Thread(() -> {
                try {
                    noOpClient.socket.getOutputStream().write(all);
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            writer.start();
            int servedMeanwhile = 0;
            for (int i = 1; reader.isAlive(); i++, servedMeanwhile++) {
                assertServed(arrivals, otherClient, "a" + i);
            }
            reader.join();
            writer.join();
            assertEquals(noOps, answeredNoOps[0]);
            assertTrue(
                    servedMeanwhile > 3,
                    "only " + servedMeanwhile + " other requests were served while 60,000 no-ops were answered");
        }
    }

    /** Guards against decoding all of 400 requests of one read, beyond the limit of unanswered requests. */
    @Test
    void limitsUnansweredRequestsOfOneRead() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 400; i++) {
                all.append(ProxyFixture.readCommand("p" + i, 4000));
            }
            client.send(all.toString());
            while (fixture.nodes.get(0).count() < 128) {
                Thread.onSpinWait();
            }
            long open = fixture.loop
                    .submit(() -> fixture.proxy.reserved().get("requests"))
                    .get();
            assertTrue(open <= 128, open + " requests are open at once");
        }
    }

    /**
     * Guards against decoding beyond the limit of unanswered requests, which uses up the descriptors, and against
     * counting the shortage as a failure of the nodes.
     */
    @Test
    void servesOthersAfterLongPipelineWithDescriptorShortage() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // allows 24 connections to nodes
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 400; i++) {
                all.append(ProxyFixture.readCommand("p" + i, 4000));
            }
            client.send(all.toString());
            long most = 0;
            for (int i = 0; i < 400; i++) {
                most = Math.max(
                        most,
                        fixture.loop
                                .submit(() -> fixture.proxy.reserved().get("requests"))
                                .get());
                if (client.ready()) {
                    break; // rejected for lack of capacity
                }
                Peer node = arrivals.nextAtNodeOrClient(client);
                if (node == client) {
                    break;
                }
                String id = CommandArrivals.readCommandId(node);
                node.send("VA 1 " + id + "\r\n1\r\n");
            }
            assertTrue(most <= 128, most + " requests were open at once");
            Peer otherClient = fixture.client();
            otherClient.send(ProxyFixture.readCommand("u", 4000));
            while (true) {
                Peer node = arrivals.nextAtNodeOrClient(otherClient);
                if (node == otherClient) {
                    break;
                }
                String id = CommandArrivals.readCommandId(node);
                node.send("VA 1 " + id + "\r\n1\r\n");
            }
            otherClient.expect("VA 1 Ou", "1");
        }
    }

    /**
     * Guards against closing accepted connections to make room for later ones when all clients reconnect at once after
     * a restart.
     */
    @Test
    void servesConnectionBurstAndClientBesideLongPipeline() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            List<Peer> all = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                Peer connection = fixture.client();
                connection.send("mn\r\n");
                all.add(connection);
            }
            for (Peer connection : all) {
                connection.expect("MN");
            }
            // one well-behaved client that sends 100 reads at once, and one with a very long pipeline
            Peer pipeliningClient = fixture.client();
            Peer wellBehaved = fixture.client();
            StringBuilder noOps = new StringBuilder();
            for (int i = 0; i < 1_000; i++) {
                noOps.append("mn\r\nmg x\r\n".repeat(i % 5 == 0 ? 1 : 0)).append("mn\r\n".repeat(20));
            }
            pipeliningClient.send(noOps.toString());
            StringBuilder reads = new StringBuilder();
            for (int i = 0; i < 100; i++) {
                reads.append(ProxyFixture.readCommand("h" + i, 4000));
            }
            wellBehaved.send(reads.toString());
            int answered = 0;
            while (answered < 100) {
                Peer node = arrivals.nextAtNodeOrClient(wellBehaved);
                if (node != wellBehaved) {
                    String id = CommandArrivals.readCommandId(node);
                    node.send("VA 1 " + id + "\r\n1\r\n");
                    continue;
                }
                String line = wellBehaved.line();
                assertEquals("VA 1 Oh" + answered++, line);
                wellBehaved.expect("1");
            }
        }
    }

    /**
     * Guards against adding up the waiting times of a client that sends continuously, until all its requests are
     * rejected as too late.
     */
    @Test
    void doesNotAddUpWaitingTimesOfContinuousCommandStream() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            String noOpLines = "mn\r\n".repeat(40); // more than one scheduling turn
            long end = System.nanoTime() + 900_000_000L;
            int sent = 0;
            client.send(noOpLines + "m");
            while (System.nanoTime() < end) {
                for (int i = 0; i < 40; i++) {
                    client.expect("MN");
                }
                client.send("n\r\n" + noOpLines + "m");
                client.expect("MN");
                sent++;
            }
            for (int i = 0; i < 40; i++) {
                client.expect("MN");
            }
            client.send("g" + ProxyFixture.readCommand("last", 400).substring(2));
            Peer node = arrivals.nextAtNodeOrClient(client);
            assertTrue(node != client, "after " + sent + " pieces: " + (node == client ? client.line() : ""));
            assertEquals("Olast", CommandArrivals.readCommandId(node));
            node.send("VA 1 Olast\r\n1\r\n");
            client.expect("VA 1 Olast", "1");
        }
    }

    /** Guards against closing a connection 0.5 s after its last response, however much of it the client has read. */
    @Test
    void slowReaderReceivesAllResponsesDuringShutdown() throws Exception {
        assertSlowReaderReceivesAll(
                "", fixture -> fixture.loop.submit(() -> fixture.proxy.drain(0)).get());
    }

    /** Guards against losing responses to earlier requests 0.5 s after a line that loses the framing. */
    @Test
    void slowReaderReceivesAllResponsesBeforeLostFraming() throws Exception {
        assertSlowReaderReceivesAll("x".repeat(3000) + "\r\n", fixture -> {});
    }

    private interface FixtureAction {
        void run(ProxyFixture fixture) throws Exception;
    }

    private static void assertSlowReaderReceivesAll(String trailingInput, FixtureAction afterAnswered)
            throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            int answers = 6;
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < answers; i++) {
                all.append(ProxyFixture.readCommand("a" + i, 4000));
            }
            client.send(all + trailingInput);
            for (int i = 0; i < answers; i++) {
                Peer node = arrivals.next();
                String id = CommandArrivals.readCommandId(node);
                node.send("VA " + LARGE.length() + " " + id + "\r\n" + LARGE + "\r\n");
            }
            while (fixture.loop
                            .submit(() -> fixture.proxy.reserved().get("requests"))
                            .get()
                    > 0) {
                Thread.onSpinWait();
            }
            afterAnswered.run(fixture);
            byte[] buffer = new byte[1 << 16];
            long receivedBytes = 0;
            long startNs = System.nanoTime();
            for (int n = client.socket.getInputStream().read(buffer);
                    n > 0;
                    n = client.socket.getInputStream().read(buffer)) {
                receivedBytes += n;
                while ((System.nanoTime() - startNs) / 1e9 < receivedBytes / 4e6) {
                    Thread.onSpinWait(); // reads 4 MB/s
                }
            }
            assertTrue(
                    receivedBytes >= (long) answers * LARGE.length(),
                    receivedBytes + " bytes of " + answers * LARGE.length());
        }
    }

    /** Guards against never avoiding a faulty node that rejects all requests, and reporting its clients as at fault. */
    @Test
    void avoidsNodeThatRejectsRequestsThatOthersServe() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(2, s -> s.replace("\"quotaPerS\":50.0", "\"quotaPerS\":1e6"), 1024)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            int rejected = 0;
            int served = 0;
            for (int i = 0; i < 60; i++) {
                client.send("mg " + Integer.toHexString(7919 * (i + 3)) + " v Ob" + i + " Pc=lookup,t=acme,d=4000\r\n");
                for (Peer node = arrivals.nextAtNodeOrClient(client);
                        node != client;
                        node = arrivals.nextAtNodeOrClient(client)) {
                    String id = CommandArrivals.readCommandId(node);
                    node.send(
                            arrivals.nodeIndex(node) == 0
                                    ? "CLIENT_ERROR bad request\r\n"
                                    : "VA 1 " + id + "\r\n1\r\n");
                }
                String line = client.line();
                if (line.startsWith("VA ")) {
                    client.expect("1");
                    served++;
                } else {
                    rejected += line.equals("CLIENT_ERROR bad request") ? 1 : 0;
                }
            }
            assertTrue(
                    rejected <= 4 && served > 30,
                    rejected + " of 60 requests were rejected as invalid, " + served + " were served");
        }
    }
}
