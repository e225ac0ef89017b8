package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against two responses for one hedged request, where the second replaces the first or takes the place of the
 * next request's response.
 */
@Timeout(60)
class HedgedResponseTest {
    /** Both attempts are in flight and neither may be cancelled; the first response waits behind an earlier request. */
    @Test
    void firstResponseOfHedgedRequestWinsAndSecondIsIgnored() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                2,
                s -> s.replace("\"secondCopies\":false", "\"secondCopies\":true")
                        .replace("\"mayCancel\":true", "\"mayCancel\":false"),
                1024)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            for (int i = 0; i < 50; i++) { // earns the budget for one hedged request
                client.send(ProxyFixture.readCommand("u" + i, 4000).replace("7f3a9c21e0b4d655", "a" + i));
                Peer node = arrivals.next();
                assertEquals("Ou" + i, CommandArrivals.readCommandId(node));
                node.send("VA 1 Ou" + i + "\r\n1\r\n");
                client.expect("VA 1 Ou" + i, "1");
            }
            client.send(ProxyFixture.writeCommand("charge", "c1", 4900));
            Peer charge = arrivals.next();
            assertEquals("Oc1", CommandArrivals.readCommandId(charge));
            client.send(ProxyFixture.readCommand("a1", 4900));
            Peer first = arrivals.next();
            assertEquals("Oa1", CommandArrivals.readCommandId(first));
            Peer second = arrivals.next(); // sent after part of the latency objective has passed
            assertEquals("Oa1", CommandArrivals.readCommandId(second));
            assertNotSame(arrivals.nodeIndex(first), arrivals.nodeIndex(second));
            respondAndAwaitClose(second, "2");
            respondAndAwaitClose(first, "1");
            charge.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7", "VA 1 Oa1", "2");
            client.send("mn\r\n");
            client.expect("MN");
        }
    }

    /** Responds with surplus bytes behind the response; once they close the connection, the response has been read. */
    private static void respondAndAwaitClose(Peer node, String value) throws Exception {
        node.send("VA 1 Oa1\r\n" + value + "\r\nsurplus\r\n");
        node.expectEnd();
    }
}
