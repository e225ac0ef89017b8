package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CacheResult;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.EndpointListKind;
import cacheproxy.routing.FairRouter;
import cacheproxy.routing.LoadReport;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingRequest;
import cacheproxy.routing.RoutingSettings;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against overload of a warming up node by a client that computes which keys map to it, requests them and closes
 * each connection at once.
 */
@Timeout(60)
class WarmingUpNodeLimitTest {
    private static final int NODES = 4;
    private static final int REQUESTS = 300;
    private static final int FALL_WINDOW_MS = 2000;

    /** Four proxies, and a tenant quota of 64 requests per second over four equal nodes. */
    private static String settings(String s) {
        return s.replace("\"balancers\":1", "\"balancers\":4").replace("\"quotaPerS\":50.0", "\"quotaPerS\":64.0");
    }

    private static String endpointList(ProxyFixture fixture, long startedMs) {
        String[] entries = new String[NODES];
        for (int i = 0; i < NODES; i++) {
            entries[i] = fixture.listEntry(i, "SERVING")
                    .replace("\"started_ms\":0", "\"started_ms\":" + (i == 0 ? startedMs : 0));
        }
        return ProxyFixture.endpointList(1, true, entries);
    }

    /** Keys that map to the cold node. Any client can compute them from the public code, node ids and any seed. */
    private static String[] keysOfColdNode() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        Files.writeString(
                file, ProxyFixture.json(ProxyFixture.endpointList(1, true), settings(ProxyFixture.SETTINGS), 1024));
        RoutingSettings settings = ProxyConfiguration.load(ProxyFixture.env(file, "127.0.0.1:1")).settings;
        Files.delete(file);
        settings.collapseMultiple = 0; // disables the slow start limit, to find the keys that map to the node
        EndpointInfo[] nodes = new EndpointInfo[NODES];
        for (int i = 0; i < NODES; i++) {
            nodes[i] = new EndpointInfo();
            nodes[i].id = endpointNumber("s-" + i);
            nodes[i].startedUs = i == 0 ? 0 : Long.MIN_VALUE;
        }
        int[] lastEndpoint = new int[1];
        RoutingActions actions = (RoutingActions) Proxy.newProxyInstance(
                WarmingUpNodeLimitTest.class.getClassLoader(),
                new Class<?>[] {RoutingActions.class},
                (self, method, args) -> {
                    lastEndpoint[0] = method.getName().equals("sendAttempt") ? (Integer) args[1] : lastEndpoint[0];
                    return null;
                });
        String[] keys = new String[REQUESTS];
        FairRouter router = null;
        int foundKeys = 0;
        for (long key = 1; foundKeys < REQUESTS; key++) {
            assertTrue(key < 1_000_000, "no keys map to the cold node");
            if (router == null) {
                router = new FairRouter(settings, 1, 0, actions);
                router.onEndpointList(0, EndpointListKind.FULL, nodes, NODES, actions);
            }
            RoutingRequest request = new RoutingRequest();
            request.id = key;
            request.key = key;
            request.deadlineAtUs = 1_000_000;
            router.onRequest(0, request, actions);
            if (lastEndpoint[0] == nodes[0].id) {
                keys[foundKeys++] = Long.toHexString(key);
                router = null; // the next key is tried on a fresh router that has sent the node nothing yet
            } else {
                router.onOutcome(0, key, 0, AttemptOutcome.OK, 1000, true, CacheResult.NONE, new LoadReport(), actions);
            }
        }
        return keys;
    }

    /** The endpoint number of a node, derived from its id in the same way as by the discovery client. */
    private static int endpointNumber(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        return (int) (hash ^ hash >>> 32);
    }

    @Test
    void limitsAttemptsAtWarmingUpNodeToTheProxysShare() throws Exception {
        String[] keys = keysOfColdNode();
        long startedMs = System.currentTimeMillis();
        try (ProxyFixture fixture =
                new ProxyFixture(NODES, WarmingUpNodeLimitTest::settings, 1024, x -> endpointList(x, startedMs))) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Deque<Long> recentArrivalsMs = new ArrayDeque<>();
            int coldArrivals = 0;
            for (int i = 0; i < REQUESTS || coldArrivals < 3; i++) {
                assertTrue(System.currentTimeMillis() - startedMs < 30_000, "the cold node is never used");
                Peer client = fixture.client();
                client.send(ProxyFixture.readCommand("a" + i, 4000).replace("7f3a9c21e0b4d655", keys[i % REQUESTS]));
                Peer node = arrivals.next();
                assertEquals("Oa" + i, CommandArrivals.readCommandId(node));
                if (arrivals.nodeIndex(node) != 0) {
                    node.send("VA 1 Oa" + i + "\r\n1\r\n");
                    client.expect("VA 1 Oa" + i, "1");
                    client.close();
                    continue;
                }
                client.close();
                node.expectEnd(); // the proxy cancels the attempt, since its client has closed
                coldArrivals++;
                long ageMs = System.currentTimeMillis() - startedMs;
                recentArrivalsMs.add(ageMs);
                while (recentArrivalsMs.peek() <= ageMs - FALL_WINDOW_MS) {
                    recentArrivalsMs.poll();
                }
                double share = Math.min(1, 0.17 + 0.83 * ageMs / 24_000);
                double maxArrivals = 4 * share * 64 / NODES * FALL_WINDOW_MS / 1000 / 4;
                assertTrue(
                        recentArrivalsMs.size() <= maxArrivals,
                        recentArrivalsMs.size() + " attempts in 2 s, where " + maxArrivals + " are allowed");
            }
        }
    }
}
