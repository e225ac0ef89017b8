package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Limit on the unanswered requests of one client connection. */
@Timeout(60)
class UnansweredRequestLimitTest {

    /** Guards against reading that stays suspended forever after too many unanswered requests of a client. */
    @Test
    void resumesReadingOnceTooManyUnansweredRequestsAreAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            Peer client = fixture.client();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4900));
            Peer node = fixture.nodes.get(0).next();
            assertEquals("Oc1", CommandArrivals.readCommandId(node));
            for (int i = 0; i < 3; i++) {
                client.send("mn\r\n".repeat(150)); // their responses wait behind that of the charge
                fixture.loop.schedule(() -> {}, 50, TimeUnit.MILLISECONDS).sync();
            }
            node.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
            for (int i = 0; i < 450; i++) {
                client.expect("MN");
            }
        }
    }
}
