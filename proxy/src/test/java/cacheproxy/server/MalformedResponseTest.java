package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.limits.ByteBudget;
import cacheproxy.memcache.MetaResponse;
import cacheproxy.memcache.MetaResponseDecoder;
import cacheproxy.memcache.ResponseStatus;
import cacheproxy.routing.LoadReport;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests nodes that send surplus, incomplete or invalid responses. */
@Timeout(60)
class MalformedResponseTest {

    /** Reads the next command, with the value of a write, and returns its id. */
    private static String readCommandId(Peer node) throws Exception {
        String line = node.line();
        if (line != null && line.startsWith("ms")) {
            node.expect("hello");
        }
        return line == null ? null : line.split(" ")[3];
    }

    private static Peer serveRead(ProxyFixture fixture, Peer client, String surplus) throws Exception {
        client.send(ProxyFixture.readCommand("a1", 4000));
        Peer node = fixture.nodes.get(0).next();
        assertEquals("Oa1", readCommandId(node));
        node.send("VA 1 Oa1\r\n1\r\n" + surplus);
        client.expect("VA 1 Oa1", "1");
        return node;
    }

    /** Surplus bytes would be taken for the next response, and a request that is not idempotent would fail. */
    private static void expectNotReused(String surplus) throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            assertEquals("Oa1", readCommandId(node));
            node.send("VA 1 Oa1\r\n1\r\n" + surplus);
            client.expect("VA 1 Oa1", "1");
            node.expectEnd();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer freshPeer = fixture.nodes.get(0).next();
            assertEquals("Oc1", readCommandId(freshPeer));
            freshPeer.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }

    @Test
    void closesConnectionAfterDuplicateResponse() throws Exception {
        expectNotReused("VA 1 Oa1\r\n1\r\n");
    }

    @Test
    void closesConnectionAfterSurplusBytes() throws Exception {
        expectNotReused("\u00ff\u0000noise");
    }

    @Test
    void ignoresLateDuplicateResponse() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            Peer node = serveRead(fixture, client, "");
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            assertEquals("Oc1", readCommandId(node));
            node.send("VA 1 Oa1\r\n1\r\nHD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
            node.expectEnd();
        }
    }

    /** Without a stall timeout, a stated length that is too large would delay the read until its deadline. */
    @Test
    void retriesReadWithIncompleteResponse() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4900));
            int first = -1;
            Peer node = null;
            while (node == null) {
                first = (first + 1) % 2;
                node = fixture.nodes.get(first).poll();
            }
            assertEquals("Oa1", readCommandId(node));
            node.send("VA 900 Oa1\r\nshort\r\n");
            Peer second = fixture.nodes.get(1 - first).next();
            assertEquals("Oa1", readCommandId(second));
            second.send("VA 2 Oa1\r\nok\r\n");
            client.expect("VA 2 Oa1", "ok");
            node.expectEnd();
        }
    }

    /** Values of up to 380 KB were observed; rejecting them would close a connection each and fail on every node. */
    @Test
    void servesValueLargerThanClientLimit() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4900));
            Peer node = fixture.nodes.get(0).next();
            assertEquals("Oa1", readCommandId(node));
            String value = "0123456789".repeat(40_000);
            node.send("VA 400000 Oa1 h1\r\n" + value.substring(0, 77_777));
            node.send(value.substring(77_777) + "\r\n");
            client.expect("VA 400000 Oa1", value);
        }
    }

    /** Values that many nodes send at the same time must not exhaust the memory. */
    @Test
    void rejectsBlocksOverBudgetAndReleasesThem() {
        ByteBudget budget = new ByteBudget(1000);
        EmbeddedChannel firstChannel = new EmbeddedChannel(new MetaResponseDecoder(budget));
        EmbeddedChannel secondChannel = new EmbeddedChannel(new MetaResponseDecoder(budget));
        firstChannel.writeInbound(Unpooled.copiedBuffer("VA 600 Oa\r\nx", StandardCharsets.ISO_8859_1));
        secondChannel.writeInbound(Unpooled.copiedBuffer("VA 600 Ob\r\n", StandardCharsets.ISO_8859_1));
        assertTrue(((MetaResponse) secondChannel.readInbound()).status() == ResponseStatus.MALFORMED);
        firstChannel.close();
        assertTrue(budget.reserve(1000));
    }

    @Test
    void failsWriteWithoutReceipt() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer node = fixture.nodes.get(0).next();
            assertEquals("Oc1", readCommandId(node));
            node.send("HD Oc1\r\n");
            client.expect("SERVER_ERROR failed");
            node.expectEnd();
        }
    }

    /** An infinite load would never decay, and its node would look overloaded forever. */
    @Test
    void ignoresImplausibleLoadReports() {
        for (String invalidNumber : new String[] {"Infinity", "1e300", "-1", "NaN", "x", ""}) {
            EmbeddedChannel channel = new EmbeddedChannel(new MetaResponseDecoder(new ByteBudget(1 << 20)));
            String text =
                    "HD Oa1 c7 Linflight=" + invalidNumber + ",util=" + invalidNumber + "\r\nHD Oa1 c7 Lutil=0.5\r\n";
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            LoadReport report = new LoadReport();
            ((MetaResponse) channel.readInbound()).readLoadReport(report);
            assertTrue(Double.isNaN(report.cpuUtilization) && Double.isNaN(report.inFlight), invalidNumber);
            ((MetaResponse) channel.readInbound()).readLoadReport(report);
            assertEquals(0.5, report.cpuUtilization);
        }
    }
}
