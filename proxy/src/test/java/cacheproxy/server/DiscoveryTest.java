package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoint lists of discovery: changes are applied, and malformed lists or failed calls leave the list held in use. */
@Timeout(60)
class DiscoveryTest {

    /** Has a request served by a node, on {@code openConnection} or, if that is null, on a new connection. */
    private static Peer serve(ProxyFixture fixture, Peer client, String id, int node, Peer openConnection)
            throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        Peer connection = openConnection != null
                ? openConnection
                : fixture.nodes.get(node).next();
        assertTrue(connection.line().startsWith("mg 7f3a9c21e0b4d655 v O" + id + " "));
        connection.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        return connection;
    }

    private static String requestLine(Peer call) throws IOException {
        String firstLine = call.line();
        for (String line = firstLine; !line.isEmpty(); line = call.line()) {
            // the rest of the request
        }
        return firstLine;
    }

    @Test
    void watchRequestsChangesSinceKnownList() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            assertEquals("GET /registry/instances?stream=1&index=1 HTTP/1.1", requestLine(fixture.discovery.next()));
        }
    }

    @Test
    void sendsNothingToDrainingNodeAndClosesItsIdleConnections() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.nodes.add(new Peer.Listener());
            Peer client = fixture.client();
            Peer oldConnection = serve(fixture, client, "a1", 0, null);
            Peer watch = fixture.watch();
            ProxyFixture.sendChunks(watch, "");
            ProxyFixture.sendChunks(
                    watch,
                    ProxyFixture.endpointList(
                            2, false, fixture.listEntry(0, "DRAINING"), fixture.listEntry(1, "SERVING")));
            oldConnection.expectEnd();
            Peer connection = serve(fixture, client, "a2", 1, null);
            serve(fixture, client, "a3", 1, connection);
            assertEquals(1, fixture.nodes.get(0).count());
        }
    }

    /** Each new machine has a new id: state kept for nodes that are gone would grow without limit. */
    @Test
    void keepsNoStateOfGoneNodesEvenIfNeverListedBefore() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer watch = fixture.watch();
            String[] goneEntries = new String[100];
            for (int i = 0; i < goneEntries.length; i++) {
                goneEntries[i] = fixture.listEntry(0, "DELETED").replace("s-0", "g-" + i);
            }
            ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(2, false, goneEntries));
            ProxyFixture.sendChunks(
                    watch, "{}"); // not a list: the proxy closes the watch, after it has accepted the list before
            watch.expectEnd();
            assertEquals(
                    1,
                    fixture.loop
                            .submit(() -> fixture.proxy.discovery.numberedEndpoints())
                            .get());
        }
    }

    @Test
    void completesAttemptInFlightAtNodeThatLeavesTheList() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.nodes.add(new Peer.Listener());
            Peer client = fixture.client();
            Peer otherClient = fixture.client();
            Peer connectionInUse = serve(fixture, otherClient, "a0", 0, null);
            client.send(ProxyFixture.readCommand("a1", 4000));
            connectionInUse.line();
            Peer watch = fixture.watch();
            ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(2, true, fixture.listEntry(1, "SERVING")));
            serve(fixture, otherClient, "a2", 1, null);
            connectionInUse.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            connectionInUse.expectEnd();
        }
    }

    @Test
    void skipsMalformedListAndRequestsChangesSinceLastValidOne() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer watch = fixture.watch();
            ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(5, true, fixture.listEntry(0, "SERVING")));
            ProxyFixture.sendChunks(
                    watch,
                    ProxyFixture.endpointList(
                            6, true, fixture.listEntry(0, "DRAINING").replace("127.0.0.1", "nowhere")));
            watch.expectEnd();
            serve(fixture, fixture.client(), "a1", 0, null);
            assertEquals("GET /registry/instances?stream=1&index=5 HTTP/1.1", requestLine(fixture.discovery.next()));
        }
    }

    @Test
    void retriesFailedCallAndUsesKnownListMeanwhile() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer call = fixture.discovery.next();
            requestLine(call);
            call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            call.expectEnd();
            serve(fixture, fixture.client(), "a1", 0, null);
            requestLine(fixture.discovery.next());
        }
    }

    @Test
    void startsWatchWithProxyWhereAgentPushesLists() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(1, settings -> settings.replace("\"subscribe\"", "\"automatic\""), 1024)) {
            assertEquals("GET /registry/instances?stream=1&index=1 HTTP/1.1", requestLine(fixture.discovery.next()));
        }
    }
}
