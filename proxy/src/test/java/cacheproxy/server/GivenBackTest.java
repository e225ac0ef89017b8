package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that reserved bytes are released: if they leak, the proxy rejects every request after a few hours. */
@Timeout(60)
class GivenBackTest {
    private static final String VALUE = "v".repeat(64 << 10);
    private static final String LARGE = "0123456789".repeat(100_000);

    private static String writeCommand(String id) {
        return "ms 7f3a9c21e0b4d655 " + VALUE.length() + " O" + id + " Pc=charge,t=acme,d=4000,k=5c0f\r\n" + VALUE
                + "\r\n";
    }

    private static Peer forwardWrite(Peer client, CommandArrivals arrivals, String id) throws Exception {
        client.send(writeCommand(id));
        Peer node = arrivals.nextAtNodeOrClient(client);
        assertEquals("O" + id, node == client ? client.line() : CommandArrivals.readCommandId(node));
        return node;
    }

    /** The proxy holds at most 6 MB of request values at a time; those of answered requests must not count. */
    @Test
    void releasesValuesOfAnsweredRequests() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            for (int i = 0; i < 120; i++) {
                forwardWrite(client, arrivals, "c" + i).send("HD Oc" + i + " c7\r\n");
                client.expect("HD Oc" + i + " c7");
            }
        }
    }

    @Test
    void releasesValuesWhenClientDisconnects() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            for (int i = 0; i < 120; i++) {
                Peer client = fixture.client();
                Peer node = forwardWrite(client, arrivals, "c" + i);
                client.close();
                node.expectEnd(); // the attempt was cancelled
                node.close();
            }
        }
    }

    /** At most 12 MB of responses may wait for their clients; those that were read must not count. */
    @Test
    void releasesResponsesThatWereRead() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            for (int i = 0; i < 15; i++) {
                client.send(ProxyFixture.readCommand("a" + i, 4000));
                Peer node = arrivals.next();
                assertEquals("Oa" + i, CommandArrivals.readCommandId(node));
                node.send("VA " + LARGE.length() + " Oa" + i + "\r\n" + LARGE + "\r\n");
                client.expect("VA " + LARGE.length() + " Oa" + i, LARGE);
            }
        }
    }

    /** The responses waited behind an earlier request of the same client, which was never answered. */
    @Test
    void releasesWaitingResponsesWhenClientDisconnects() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            for (int i = 0; i < 15; i++) {
                Peer client = fixture.client();
                client.send(ProxyFixture.writeCommand("charge", "c" + i, 4000));
                Peer first = arrivals.next();
                assertEquals("Oc" + i, CommandArrivals.readCommandId(first));
                client.send(ProxyFixture.readCommand("a" + i, 4000));
                Peer second = arrivals.next();
                assertEquals("Oa" + i, CommandArrivals.readCommandId(second));
                second.send("VA " + LARGE.length() + " Oa" + i + "\r\n" + LARGE + "\r\nsurplus\r\n");
                second.expectEnd(); // because of the surplus bytes, which shows that the response was read
                second.close();
                client.close();
                first.expectEnd();
                first.close();
            }
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("b", 4000));
            Peer node = arrivals.next();
            assertEquals("Ob", CommandArrivals.readCommandId(node));
            node.send("VA 1 Ob\r\n1\r\n");
            client.expect("VA 1 Ob", "1");
        }
    }
}
