package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A proxy process is killed and restarted with the configuration of its first start, whose endpoint list may be of any
 * age. Changes since then count as notified 6 s after they were made, whether or not the new process has called
 * discovery (incident 33): if discovery responds, no request may be sent to any node before discovery's list is
 * received.
 */
@Timeout(90)
class RestartedProxyTest {
    /** Settings of one of a hundred proxies: the more there are, the longer the router may delay the first call. */
    private static final String SETTINGS_OF_ONE_OF_MANY = ProxyFixture.SETTINGS
            .replace("\"balancers\":1,", "\"balancers\":100,")
            .replace("\"askWithinMs\":100.0", "\"askWithinMs\":10000.0");

    private static final int KEYS_READ = 40;

    private ServingNode stayingNode;
    private ServingNode removedNode;
    private DiscoveryStandIn discovery;

    @BeforeEach
    void openNodes() throws IOException {
        stayingNode = new ServingNode();
        removedNode = new ServingNode();
        discovery = new DiscoveryStandIn(list(1, "SERVING"));
    }

    @AfterEach
    void closeNodes() throws IOException {
        discovery.close();
        stayingNode.close();
        removedNode.close();
    }

    private String list(int version, String stateOfRemoved) {
        return ProxyFixture.endpointList(
                version,
                true,
                ProxyFixture.listEntry(0, "SERVING", stayingNode.listener),
                ProxyFixture.listEntry(1, stateOfRemoved, removedNode.listener));
    }

    private ProxyChildProcess startProxy() throws IOException {
        ProxyChildProcess.Start start = new ProxyChildProcess.Start();
        start.settings = SETTINGS_OF_ONE_OF_MANY;
        return start.with(discovery.listener, list(1, "SERVING"));
    }

    /** Reads many keys, one after the other. */
    private static void readKeys(ProxyChildProcess proxy) throws IOException, InterruptedException {
        Peer client = proxy.connectWhenReady();
        for (int i = 0; i < KEYS_READ; i++) {
            String id = "a" + i;
            client.send(
                    ProxyFixture.readCommand(id, 4000).replace("7f3a9c21e0b4d655", String.format("%016x", 1000L * i)));
            client.expect("VA 1 O" + id, "1");
        }
    }

    private void assertNoReadsAfterRestart(String newState, int rejectedCalls)
            throws IOException, InterruptedException {
        try (ProxyChildProcess firstProcess = startProxy()) {
            readKeys(firstProcess);
            assertTrue(
                    stayingNode.served() > 0 && removedNode.served() > 0,
                    "both nodes receive reads while both are ready");
            firstProcess.signal("KILL");
            assertEquals(137, firstProcess.awaitExit(10));
        }
        discovery.setList(list(2, newState));
        discovery.rejectNextCalls(rejectedCalls);
        int readsBefore = removedNode.served();
        try (ProxyChildProcess secondProcess = startProxy()) {
            readKeys(secondProcess);
            assertEquals(readsBefore, removedNode.served(), "reads sent to a node that is " + newState);
        }
    }

    @Test
    void sendsNothingToNodeRemovedWhileProxyWasDown() throws Exception {
        assertNoReadsAfterRestart("DELETED", 0);
    }

    @Test
    void sendsNothingToNodeThatBeganToDrainWhileProxyWasDown() throws Exception {
        assertNoReadsAfterRestart("DRAINING", 0);
    }

    /** Discovery responds but is overloaded: it rejects the first calls. */
    @Test
    void waitsForListWhileDiscoveryRejectsCalls() throws Exception {
        assertNoReadsAfterRestart("DELETED", 3);
        assertEquals(3, discovery.rejectedCalls());
    }
}
