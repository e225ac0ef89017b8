package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The permits for a warming endpoint, counted from a start that differs from the clock's zero. */
class SlowStartPermitsTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private static final long START_US = 50 * S;

    private static RoutingSettings settings(int proxyIndex, double quotaPerSecond) {
        RoutingSettings routerSettings = Fixture.settings(Idempotency.IDEMPOTENT);
        routerSettings.tenants[0].requestsPerSecond = quotaPerSecond;
        routerSettings.proxyIndex = proxyIndex;
        routerSettings.proxyCount = 4;
        routerSettings.slowStartInitialCapacity = 0.25;
        routerSettings.slowStartUs = 100 * S;
        routerSettings.collapseMultiple = 4;
        routerSettings.collapseUs = 2 * S;
        return routerSettings;
    }

    private static Endpoint endpointStartedAt(long startedUs) {
        Endpoint endpoint = new Endpoint(1);
        endpoint.weight = 1;
        endpoint.startedUs = startedUs;
        return endpoint;
    }

    /** Times of the sends in milliseconds since the endpoint's start, with a request every 10 ms. */
    private static List<Long> sendTimes(SlowStartLimiter limiter, Endpoint endpoint, long fromUs, long toUs) {
        List<Long> sentAtMs = new ArrayList<>();
        for (long nowUs = endpoint.startedUs + fromUs; nowUs < endpoint.startedUs + toUs; nowUs += 10 * MS) {
            if (limiter.hasPermit(endpoint, 4, nowUs)) {
                limiter.usePermit(endpoint);
                sentAtMs.add((nowUs - endpoint.startedUs) / MS);
            }
        }
        return sentAtMs;
    }

    /** One permit per collapse time for all four proxies together: 2 s apart, so every 8 s for each proxy. */
    @Test
    void staggersPermitsOfProxiesWhoseShareIsLessThanOneRequest() {
        for (int proxyIndex = 0; proxyIndex < 4; proxyIndex++) {
            List<Long> sentAtMs = sendTimes(
                    new SlowStartLimiter(settings(proxyIndex, 0.001)), endpointStartedAt(START_US), 0, 30 * S);
            for (int i = 0; i < sentAtMs.size(); i++) {
                assertEquals(
                        8000 - 2000 * proxyIndex + 8000 * i,
                        sentAtMs.get(i),
                        10,
                        "proxy " + proxyIndex + ": " + sentAtMs);
            }
            assertTrue(sentAtMs.size() >= 3, "proxy " + proxyIndex + ": " + sentAtMs);
        }
    }

    /** Otherwise unused permits of all proxies could be used at the same time. */
    @Test
    void unusedPermitExpires() {
        SlowStartLimiter limiter = new SlowStartLimiter(settings(3, 0.001));
        Endpoint endpoint = endpointStartedAt(START_US);
        assertTrue(limiter.hasPermit(endpoint, 4, START_US + 3 * S), "issued at 2 s and valid until 4 s");
        assertFalse(limiter.hasPermit(endpoint, 4, START_US + 5 * S), "expired");
        assertFalse(limiter.hasPermit(endpoint, 4, START_US + 24_900 * MS), "issued at 18 s, expired at 20 s");
        assertTrue(limiter.hasPermit(endpoint, 4, START_US + 26_100 * MS));
    }

    /** 0.35 of 4 times the present capacity, which starts at a fourth of 25 a second, over four proxies. */
    @Test
    void permitsFollowTheGrowingCapacity() {
        double fullPermitsPerSecond = 0.35 * 4 * 100 / 4 / 4;
        List<Long> sentAtMs = sendTimes(new SlowStartLimiter(settings(0, 100)), endpointStartedAt(START_US), 0, 40 * S);
        for (int second : new int[] {4, 10, 20, 40}) {
            double expected = fullPermitsPerSecond * (0.25 * second + 0.75 * second * second / 2 / 100);
            long count = sentAtMs.stream().filter(ms -> ms < second * 1000).count();
            assertEquals(expected, count, 1.1, "in " + second + " s");
        }
    }

    @Test
    void restartResetsThePermits() {
        SlowStartLimiter limiter = new SlowStartLimiter(settings(0, 100));
        Endpoint endpoint = endpointStartedAt(START_US);
        int sentBeforeRestart = sendTimes(limiter, endpoint, 0, 10 * S).size();
        endpoint.startedUs = START_US + 10 * S;
        assertEquals(sentBeforeRestart, sendTimes(limiter, endpoint, 0, 10 * S).size());
    }

    /** Without quotas the permit rate follows the rate that warm endpoints served at this proxy, with a minimum. */
    @Test
    void withoutQuotasPermitsFollowTheRateServedByWarmEndpoints() {
        SlowStartLimiter limiter = new SlowStartLimiter(settings(0, 0));
        assertEquals(
                2,
                sendTimes(limiter, endpointStartedAt(START_US), 0, 20 * S).size(),
                "one permit per collapse time over all proxies");
        for (long nowUs = START_US; nowUs < START_US + 30 * S; nowUs += 10 * MS) {
            limiter.recordServedByWarm(nowUs);
        }
        // 100 a second at this proxy, a fourth of them by weight, and a fourth of the capacity at the start
        List<Long> sentAtMs = sendTimes(limiter, endpointStartedAt(START_US + 30 * S), 0, 100 * MS);
        Endpoint endpoint = endpointStartedAt(START_US + 30 * S);
        limiter.hasPermit(endpoint, 4, START_US + 30 * S + 10 * MS);
        assertEquals(0.35 * 4 * 0.25 * 100 / 4, endpoint.permitsPerUs * S, 1, sentAtMs.toString());
    }

    @Test
    void doesNotLimitEndpointsThatNeverCollapse() {
        RoutingSettings withoutCollapseMultiple = settings(0, 0.001);
        withoutCollapseMultiple.collapseMultiple = 0;
        assertEquals(
                100,
                sendTimes(new SlowStartLimiter(withoutCollapseMultiple), endpointStartedAt(START_US), 0, S)
                        .size());
        RoutingSettings withoutCollapseTime = settings(0, 0.001);
        withoutCollapseTime.collapseUs = 0;
        assertEquals(
                100,
                sendTimes(new SlowStartLimiter(withoutCollapseTime), endpointStartedAt(START_US), 0, S)
                        .size());
    }

    /** Half warmed up: a capacity of 0.625 and a key share of 0.7. */
    @Test
    void shareOfAdmittedKeysGrowsFromTheEndpointsStart() {
        RoutingSettings routerSettings = settings(0, 0);
        routerSettings.collapseMultiple = 0;
        EndpointInfo[] endpoints = Fixture.endpoints(4);
        int sentWhenWarm = 0;
        int sentWhenWarming = 0;
        for (long key = 1; key <= 12_000; key++) {
            endpoints[0].startedUs = Long.MIN_VALUE;
            Fixture warmFixture = new Fixture();
            warmFixture
                    .router(routerSettings, 1, endpoints)
                    .onRequest(START_US, Fixture.request(1, SplitMix64.mix(key), START_US + S), warmFixture);
            if (warmFixture.lastEndpoint() == 1) {
                sentWhenWarm++;
                endpoints[0].startedUs = START_US;
                Fixture warmingFixture = new Fixture();
                FairRouter router = warmingFixture.router(routerSettings, 1, endpoints);
                router.onRequest(
                        START_US + 50 * S, Fixture.request(1, SplitMix64.mix(key), START_US + 51 * S), warmingFixture);
                sentWhenWarming += warmingFixture.lastEndpoint() == 1 ? 1 : 0;
            }
        }
        assertEquals(0.625 * 0.7, (double) sentWhenWarming / sentWhenWarm, 0.03);
    }
}
