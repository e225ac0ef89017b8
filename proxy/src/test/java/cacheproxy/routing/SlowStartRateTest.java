package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * An endpoint that is warming up has part of its capacity and collapses when it is sent a multiple of that for a time.
 * The rate limit must hold against a client that requests only keys of this endpoint, even if it disconnects at once,
 * which leaves the router without outcomes to learn from.
 */
class SlowStartRateTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private static final int WARMING_ENDPOINT = 1;
    private static final int ENDPOINT_COUNT = 4;
    private static final int PROXY_COUNT = 4;
    /** Quota of all tenants together: 16 a second for each endpoint of equal weight. */
    private static final double TOTAL_QUOTA_PER_SECOND = 64;

    private static RoutingSettings settings() {
        RoutingSettings routerSettings = Fixture.settings(Idempotency.IDEMPOTENT);
        routerSettings.requestClasses[0].latencyObjectiveUs = 750 * MS;
        routerSettings.requestClasses[0].deadlineUs = 1500 * MS;
        routerSettings.tenants[0].requestsPerSecond = 0.75 * TOTAL_QUOTA_PER_SECOND;
        routerSettings.tenants[1].requestsPerSecond = 0.25 * TOTAL_QUOTA_PER_SECOND;
        routerSettings.proxyCount = PROXY_COUNT;
        routerSettings.slowStartInitialCapacity = 0.17;
        routerSettings.slowStartUs = 24 * S;
        routerSettings.collapseMultiple = 4;
        routerSettings.collapseUs = 2 * S;
        return routerSettings;
    }

    /** All endpoints are ready, and the first has just started. */
    private static EndpointInfo[] endpoints(double warmingWeight) {
        EndpointInfo[] endpoints = Fixture.endpoints(ENDPOINT_COUNT);
        endpoints[0].startedUs = 0;
        endpoints[0].weight = warmingWeight;
        return endpoints;
    }

    /** Most requests that the warming endpoint may be sent in the {@code collapseUs} before this time. */
    private static double maxSends(RoutingSettings routerSettings, double warmingWeight, long sentAtUs) {
        double capacityShare = routerSettings.slowStartInitialCapacity
                + (1 - routerSettings.slowStartInitialCapacity)
                        * Math.min(1, (double) sentAtUs / routerSettings.slowStartUs);
        double capacity = TOTAL_QUOTA_PER_SECOND * warmingWeight / (ENDPOINT_COUNT - 1 + warmingWeight);
        return routerSettings.collapseMultiple * capacityShare * capacity * routerSettings.collapseUs / S;
    }

    private static void assertWithin(
            RoutingSettings routerSettings, double warmingWeight, double proxyShare, Iterable<Long> sends) {
        Deque<Long> window = new ArrayDeque<>();
        for (long sentAtUs : sends) {
            window.add(sentAtUs);
            while (window.peek() <= sentAtUs - routerSettings.collapseUs) {
                window.poll();
            }
            double maxSends = proxyShare * maxSends(routerSettings, warmingWeight, sentAtUs);
            assertTrue(
                    window.size() <= maxSends,
                    window.size() + " sends in 2 s until " + sentAtUs / S + " s, where " + maxSends + " are allowed");
        }
    }

    /** Keys whose requests an idle router without the rate limit sends to the warming endpoint. */
    private static long[] keysOfWarmingEndpoint(RoutingSettings limitedSettings, double warmingWeight, int count) {
        RoutingSettings routerSettings = settings();
        routerSettings.proxyCount = limitedSettings.proxyCount;
        routerSettings.collapseMultiple = 0;
        long[] keys = new long[count];
        int foundCount = 0;
        Fixture fixture = new Fixture();
        FairRouter unlimitedRouter = fixture.router(routerSettings, 1, endpoints(warmingWeight));
        for (long key = 1; foundCount < count; key++) {
            assertTrue(key < 1_000_000, "no keys belong to the warming endpoint");
            unlimitedRouter.onRequest(0, Fixture.request(key, key, S), fixture);
            if (fixture.lastEndpoint() == WARMING_ENDPOINT) {
                keys[foundCount++] = key;
                fixture = new Fixture();
                unlimitedRouter = fixture.router(routerSettings, 1, endpoints(warmingWeight));
            } else {
                fixture.outcome(unlimitedRouter, 0, key, 0, AttemptOutcome.OK);
            }
        }
        return keys;
    }

    /** One proxy with the requests of its client, mostly 100 a second, and where its router sends them. */
    private static final class ProxyLoad {
        final Fixture fixture = new Fixture();
        final FairRouter router;
        final List<Long> sentToWarmingAtUs = new ArrayList<>();
        int sentToOthers;

        ProxyLoad(RoutingSettings routerSettings, double warmingWeight, long seed) {
            router = fixture.router(routerSettings, seed, endpoints(warmingWeight));
        }

        private void countSends(int sentBefore, long nowUs) {
            for (Fixture.SentAttempt sent : fixture.sent.subList(sentBefore, fixture.sent.size())) {
                if (sent.endpoint() == WARMING_ENDPOINT) {
                    sentToWarmingAtUs.add(nowUs);
                } else {
                    sentToOthers++;
                }
            }
        }

        /** Handles a request at this time; 8 ms later its client disconnects or the endpoint responds. */
        void handleRequest(long nowUs, long id, long key, boolean clientDisconnects) {
            int sentBefore = fixture.sent.size();
            router.onRequest(nowUs, Fixture.request(id, key, nowUs + 1500 * MS), fixture);
            countSends(sentBefore, nowUs);
            boolean sent = fixture.sent.size() > sentBefore;
            long endUs = nowUs + 8 * MS;
            if (clientDisconnects) {
                router.onClientGone(endUs, id, fixture);
            }
            if (sent) {
                router.onOutcome(
                        endUs,
                        id,
                        0,
                        clientDisconnects ? AttemptOutcome.CANCELLED : AttemptOutcome.OK,
                        8 * MS,
                        true,
                        CacheResult.NONE,
                        new LoadReport(),
                        fixture);
            }
        }
    }

    private static ProxyLoad loadOf(
            RoutingSettings routerSettings, double warmingWeight, long seed, boolean clientDisconnects) {
        long[] keys = keysOfWarmingEndpoint(routerSettings, warmingWeight, 1000);
        ProxyLoad load = new ProxyLoad(routerSettings, warmingWeight, seed);
        for (int i = 0; i < keys.length; i++) {
            load.handleRequest(i * 10 * MS, i, keys[i], clientDisconnects);
        }
        return load;
    }

    @Test
    void proxyStaysWithinItsShareWhenClientsDisconnectAtOnce() {
        RoutingSettings routerSettings = settings();
        ProxyLoad load = loadOf(routerSettings, 1, 7, true);
        assertTrue(
                load.sentToWarmingAtUs.size() > 5,
                "the endpoint is sent some requests: " + load.sentToWarmingAtUs.size());
        assertWithin(routerSettings, 1, 1.0 / PROXY_COUNT, load.sentToWarmingAtUs);
    }

    @Test
    void proxyStaysWithinItsShareWhenTheEndpointResponds() {
        RoutingSettings routerSettings = settings();
        ProxyLoad load = loadOf(routerSettings, 1, 7, false);
        assertTrue(
                load.sentToWarmingAtUs.size() > 5,
                "the endpoint is sent some requests: " + load.sentToWarmingAtUs.size());
        assertWithin(routerSettings, 1, 1.0 / PROXY_COUNT, load.sentToWarmingAtUs);
    }

    /** Requests beyond the limit are sent to other endpoints, not rejected. */
    @Test
    void sendsRequestsBeyondTheLimitToOtherEndpoints() {
        ProxyLoad load = loadOf(settings(), 1, 7, false);
        assertEquals(List.of(), load.fixture.rejected);
        assertEquals(List.of(), load.fixture.failed);
        assertEquals(1000, load.sentToWarmingAtUs.size() + load.sentToOthers);
    }

    /** An endpoint's share of the quotas is proportional to its weight. */
    @Test
    void endpointOfLessWeightGetsFewerRequests() {
        RoutingSettings routerSettings = settings();
        assertWithin(routerSettings, 0.5, 1.0 / PROXY_COUNT, loadOf(routerSettings, 0.5, 7, true).sentToWarmingAtUs);
    }

    /** The proxies do not communicate: the total limit must hold by the settings alone. */
    @Test
    void fourProxiesTogetherStayWithinTheTotalLimit() {
        RoutingSettings routerSettings = settings();
        TreeMap<Long, Integer> sendCountsByTime = new TreeMap<>();
        for (int i = 0; i < PROXY_COUNT; i++) {
            for (long sentAtUs : loadOf(routerSettings, 1, 7 + i, true).sentToWarmingAtUs) {
                sendCountsByTime.merge(sentAtUs, 1, Integer::sum);
            }
        }
        List<Long> sends = new ArrayList<>();
        sendCountsByTime.forEach((sentAtUs, count) -> {
            for (int i = 0; i < count; i++) {
                sends.add(sentAtUs);
            }
        });
        assertWithin(routerSettings, 1, 1, sends);
    }

    /** A list that repeats an endpoint with the same start time must not reset its permits. */
    @Test
    void repeatedListEntryGrantsNoMorePermits() {
        RoutingSettings routerSettings = settings();
        long[] keys = keysOfWarmingEndpoint(routerSettings, 1, 1000);
        ProxyLoad load = new ProxyLoad(routerSettings, 1, 7);
        for (int i = 0; i < keys.length; i++) {
            load.router.onEndpointList(i * 10 * MS, EndpointListKind.FULL, endpoints(1), ENDPOINT_COUNT, load.fixture);
            load.handleRequest(i * 10 * MS, i, keys[i], true);
        }
        assertWithin(routerSettings, 1, 1.0 / PROXY_COUNT, load.sentToWarmingAtUs);
    }

    /** A limit that is too low would keep the endpoint from warming up. */
    @Test
    void ordinaryLoadStillReachesWarmingEndpoint() {
        RoutingSettings routerSettings = settings();
        ProxyLoad load = new ProxyLoad(routerSettings, 1, 7);
        java.util.Random random = new java.util.Random(1);
        int requestsPerSecond = (int) (TOTAL_QUOTA_PER_SECOND / PROXY_COUNT);
        for (int i = 0; i < 30 * requestsPerSecond; i++) {
            load.handleRequest(i * S / requestsPerSecond, i, random.nextLong() | 1, false);
        }
        long earlyCount = load.sentToWarmingAtUs.stream()
                .filter(sentAtUs -> sentAtUs < 10 * S)
                .count();
        long lateCount = load.sentToWarmingAtUs.stream()
                .filter(sentAtUs -> sentAtUs > 24 * S)
                .count();
        assertTrue(earlyCount >= 3, "in the first 10 s: " + earlyCount);
        assertTrue(lateCount >= 6 * requestsPerSecond / ENDPOINT_COUNT / 2, "in 6 s after warming up: " + lateCount);
        assertWithin(routerSettings, 1, 1.0 / PROXY_COUNT, load.sentToWarmingAtUs);
    }

    /** The limit applies only while the endpoint warms up. */
    @Test
    void warmEndpointGetsAllRequestsForItsKeys() {
        RoutingSettings routerSettings = settings();
        long[] keys = keysOfWarmingEndpoint(routerSettings, 1, 1000);
        ProxyLoad load = new ProxyLoad(routerSettings, 1, 7);
        for (int i = 0; i < keys.length; i++) {
            load.handleRequest(24 * S + i * 10 * MS, i, keys[i], false);
        }
        assertTrue(load.sentToWarmingAtUs.size() > 900, load.sentToWarmingAtUs.size() + " of 1000");
    }
}
