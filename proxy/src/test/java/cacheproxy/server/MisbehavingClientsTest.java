package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that are silent, stop inside a command, flood or send invalid input are closed; others are still served. */
@Timeout(60)
class MisbehavingClientsTest {
    private static void assertServed(ProxyFixture fixture, Peer client, String id) throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        Peer node = fixture.nodes.get(0).next();
        assertTrue(node.line().startsWith("mg 7f3a9c21e0b4d655 v O" + id + " "));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        node.close();
    }

    private static void assertReady(Peer client) throws Exception {
        client.send("mn\r\n");
        client.expect("MN");
    }

    /** The connection is closed, possibly after an error line. */
    private static void assertCloses(Peer connection) throws Exception {
        String line = connection.line();
        if (line != null) {
            assertEquals("CLIENT_ERROR the command does not end", line);
            connection.expectEnd();
        }
    }

    /** Guards against descriptors that are held forever by connections on which the client sends nothing. */
    @Test
    void closesConnectionThatSendsNothing() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.client().expectEnd();
        }
    }

    @Test
    void closesConnectionThatStopsInsideItsFirstCommand() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer line = fixture.client();
            Peer value = fixture.client();
            line.send("mg 7f3a9c2");
            value.send("ms 7f3a9c21e0b4d655 5 Oa1 Pc=charge,t=acme,d=900,k=1\r\nhel");
            assertCloses(line);
            assertCloses(value);
        }
    }

    @Test
    void answersOpenRequestThenReportsIncompleteCommandAndCloses() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4900)
                    + "ms 7f3a9c21e0b4d655 5 Oa2 Pc=charge,t=acme,d=900,k=1\r\nhe");
            Peer node = fixture.nodes.get(0).next();
            node.line();
            // opened later, so when this one is closed the timeout of the other has passed too
            Peer idle = fixture.client();
            idle.expectEnd();
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1", "CLIENT_ERROR the command does not end");
            client.expectEnd();
        }
    }

    /** Guards against connections in use being closed to make room for a flood of silent connections. */
    @Test
    void silentConnectionsDoNotEvictEstablishedOnes() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // allows 40 client connections
            List<Peer> established = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                Peer connection = fixture.client();
                assertReady(connection);
                established.add(connection);
            }
            Peer silent = fixture.client();
            for (int i = 0; i < 200; i++) {
                fixture.client();
            }
            silent.expectEnd();
            for (int i = 0; i < established.size(); i++) {
                assertServed(fixture, established.get(i), "a" + i);
            }
        }
    }

    /** Guards against all client connections being used up by ones that send one request and stay open unused. */
    @Test
    void closesConnectionsUsedOnceBeforeReusedOnes() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // allows 32 established client connections
            Peer established = fixture.client();
            assertReady(established);
            assertReady(established);
            List<Peer> usedOnce = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Peer connection = fixture.client();
                assertReady(connection);
                usedOnce.add(connection);
            }
            for (int i = 0; i < 60 - 31; i++) {
                usedOnce.get(i).expectEnd();
            }
            assertReady(usedOnce.get(59));
            assertServed(fixture, established, "a1");
        }
    }

    /** Guards against losing undecoded commands of a connection that is closed to make room in the middle of a read. */
    @Test
    void answersAllCommandsOfOneReadWhileConnectionsAreClosedToMakeRoom() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // allows 32 established client connections
            for (int i = 0; i < 38; i++) {
                Peer connection = fixture.client();
                connection.send("mn\r\nmn\r\nmn\r\n");
                connection.expect("MN", "MN", "MN");
            }
            Peer newest = fixture.client();
            newest.send("mn\r\nmg x\r\nmn\r\n");
            newest.expect("MN", "CLIENT_ERROR O and P are needed", "MN");
        }
    }

    /** Guards against forwarding a duplicate id, whose response could reach the wrong client. */
    @Test
    void rejectsIdOfAnotherOpenRequestUntilThatIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            Peer otherClient = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            assertTrue(node.line().contains(" Oa1 "));
            otherClient.send(ProxyFixture.readCommand("a1", 4000));
            otherClient.expect("CLIENT_ERROR the id is in use");
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            node.close();
            assertServed(fixture, otherClient, "a1");
        }
    }

    /** Guards against retrying one bad request at each node, where it would count as a failure of all of them. */
    @Test
    void doesNotRetryRequestThatANodeRejectsAsInvalid() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            while (fixture.nodes.get(0).count() + fixture.nodes.get(1).count() == 0) {
                Thread.onSpinWait();
            }
            Peer node =
                    fixture.nodes.get(fixture.nodes.get(0).count() == 1 ? 0 : 1).next();
            node.line();
            node.send("CLIENT_ERROR bad request\r\n");
            client.expect("CLIENT_ERROR bad request");
            node.expectEnd();
            assertEquals(1, fixture.nodes.get(0).count() + fixture.nodes.get(1).count());
        }
    }

    /** Guards against reading endlessly from a client that goes on sending after its command was rejected. */
    @Test
    void doesNotReadOnAfterFramingIsLost() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send("ms 7f3a9c21e0b4d655 60000000 Oa1 Pc=charge,t=acme,d=900,k=1\r\n");
            client.expect("CLIENT_ERROR object too large");
            byte[] chunk = new byte[1 << 16];
            int sentChunks = 0;
            try {
                for (; sentChunks < 900; sentChunks++) {
                    client.socket.getOutputStream().write(chunk);
                }
            } catch (java.net.SocketException e) {
                // the proxy closed the connection
            }
            assertTrue(sentChunks < 900, "60 MB were read");
        }
    }

    /**
     * Guards against a client that stops inside a command and stays: while it takes nothing of an earlier response, its
     * reading is suspended, and afterwards nobody awaited the rest of the command.
     */
    @Test
    void endsIncompleteCommandOfClientThatTookItsResponsesLate() throws Exception {
        String value = "v".repeat(1_000_000);
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            int responses = 8;
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i <= responses; i++) {
                commands.append(ProxyFixture.readCommand("a" + i, 4000));
            }
            client.send(commands + "mg 7f3a");
            for (int i = 0; i < responses; i++) {
                Peer node = arrivals.next();
                node.send("VA " + value.length() + " " + CommandArrivals.readCommandId(node) + "\r\n" + value + "\r\n");
            }
            Peer lastNode = arrivals.next();
            fixture.loop.schedule(() -> {}, 150, TimeUnit.MILLISECONDS).sync(); // its close is looked for meanwhile
            String lastId = CommandArrivals.readCommandId(lastNode);
            lastNode.send("VA 1 " + lastId + "\r\n1\r\n");
            for (int i = 0; i <= responses; i++) {
                assertTrue(client.line().startsWith("VA "));
                client.line();
            }
            client.expect("CLIENT_ERROR the command does not end");
            client.expectEnd();
        }
    }
}
