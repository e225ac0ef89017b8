package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The timeout of requests that wait for a connection to a node. */
@Timeout(60)
class ConnectTimeoutTest {
    /**
     * A request that waits for a connection is sent once the connection is established, even if its node has begun to
     * drain meanwhile. To be sent within the drain grace, it must not wait longer than a part of the grace, whatever
     * connect timeout is set.
     */
    @Test
    void limitsConnectTimeoutToPartOfDrainGrace() throws Exception {
        try (Peer.UnresponsiveListener unresponsiveListener = new Peer.UnresponsiveListener();
                ProxyFixture fixture = new ProxyFixture(
                        1,
                        settings -> settings.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":9000.0"),
                        1024,
                        created -> ProxyFixture.endpointList(
                                1,
                                true,
                                created.listEntry(0, "SERVING")
                                        .replace(created.nodes.get(0).address(), unresponsiveListener.address())))) {
            Peer client = fixture.client();
            Future<?> graceOver = fixture.loop.schedule(() -> {}, 1000, TimeUnit.MILLISECONDS);
            client.send(ProxyFixture.writeCommand("charge", "c1", 4900));
            assertTrue(client.line().startsWith("SERVER_ERROR busy "));
            assertFalse(graceOver.isDone(), "waited longer than the drain grace, measured on the event loop");
        }
    }
}
