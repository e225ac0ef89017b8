package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Cache-aside misses and writes: the selected origin, retries, and how an overload of the origin is detected. */
class OriginAdmissionTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private static final int ORIGIN = 9;
    private final Fixture fixture = new Fixture();

    private static RoutingSettings settings() {
        RoutingSettings routerSettings = Fixture.settings(Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT);
        routerSettings.cacheAside = true;
        routerSettings.originKind = ORIGIN;
        routerSettings.tenants = new TenantQuota[400];
        java.util.Arrays.setAll(routerSettings.tenants, i -> new TenantQuota());
        return routerSettings;
    }

    /** Six cache endpoints, then the origins. */
    private static EndpointInfo[] endpoints(int originCount) {
        EndpointInfo[] endpoints = Fixture.endpoints(6 + originCount);
        for (int i = 6; i < endpoints.length; i++) {
            endpoints[i].kind = ORIGIN;
        }
        return endpoints;
    }

    private static RoutingRequest write(long id, long nowUs) {
        RoutingRequest request = Fixture.request(id, SplitMix64.mix(id), nowUs + S);
        request.write = true;
        request.tenant = (int) (id % 400);
        return request;
    }

    @Test
    void selectsOriginWithFewestRequestsInFlight() {
        FairRouter router = fixture.router(settings(), 1, endpoints(3));
        Set<Integer> selectedOrigins = new HashSet<>();
        for (int id = 1; id <= 3; id++) {
            router.onRequest(0, write(id, 0), fixture);
            selectedOrigins.add(fixture.lastEndpoint());
        }
        assertEquals(Set.of(7, 8, 9), selectedOrigins);
        fixture.outcome(router, MS, 2, 0, AttemptOutcome.OK);
        int originWithoutRequests = fixture.sent.get(1).endpoint();
        router.onRequest(2 * MS, write(4, 2 * MS), fixture);
        assertEquals(originWithoutRequests, fixture.lastEndpoint());
    }

    /** A failed fetch after a miss is not retried, because retries would multiply the load of a failing origin. */
    @Test
    void retriesUnexecutedWriteToTheOriginButNoFetch() {
        int[] retries = new int[2];
        for (int kind = 0; kind < 2; kind++) {
            for (int seed = 1; seed <= 20; seed++) {
                Fixture caseFixture = new Fixture();
                FairRouter router = caseFixture.router(settings(), seed, endpoints(2));
                for (int id = 0; id < 300; id++) { // at a high request rate one failure raises the probability little
                    router.onRequest(id * 10 * MS, write(id, id * 10 * MS), caseFixture);
                    caseFixture.outcome(router, id * 10 * MS, id, 0, AttemptOutcome.OK);
                }
                RoutingRequest request = write(300, 3 * S);
                request.write = kind == 0;
                router.onRequest(3 * S, request, caseFixture);
                if (kind == 1) {
                    router.onOutcome(
                            3 * S,
                            300,
                            0,
                            AttemptOutcome.MISS,
                            MS,
                            false,
                            CacheResult.MISS,
                            new LoadReport(),
                            caseFixture);
                }
                assertTrue(caseFixture.lastEndpoint() > 6);
                caseFixture.outcome(router, 3 * S, 300, kind, AttemptOutcome.CONNECT_FAILED);
                retries[kind] += caseFixture.sent.size() - 301 - kind;
            }
        }
        assertTrue(retries[0] > 10, retries[0] + " of 20 writes");
        assertEquals(0, retries[1], "of 20 reads");
    }

    /**
     * Rejected of 200 writes of this priority weight, over 20 seeds. Before them, five requests are in flight; their
     * hedge timers fire or do not.
     */
    private static int rejectedCount(
            boolean hedgeTimersFired, boolean write, double minimumWeight, double priorityWeight) {
        int rejectedCount = 0;
        for (int seed = 1; seed <= 20; seed++) {
            Fixture caseFixture = new Fixture();
            RoutingSettings routerSettings = settings();
            routerSettings.requestClasses[0].priorityWeight = minimumWeight;
            routerSettings.requestClasses[1].priorityWeight = priorityWeight;
            FairRouter router = caseFixture.router(routerSettings, seed, endpoints(1));
            for (int i = 0; i < 5; i++) {
                caseFixture.timers.clear();
                RoutingRequest request = write(i, 0);
                request.write = write;
                router.onRequest(0, request, caseFixture);
                if (hedgeTimersFired) {
                    caseFixture.fireTimers(router, 200 * MS);
                }
            }
            for (int i = 0; i < 200; i++) {
                RoutingRequest request = write(100 + i, S);
                request.requestClass = 1;
                int rejectedBefore = caseFixture.rejected.size();
                router.onRequest(S, request, caseFixture);
                rejectedCount += caseFixture.rejected.size() - rejectedBefore;
            }
        }
        return rejectedCount;
    }

    /** Timeouts alone would detect a slow origin too late. */
    @Test
    void writesInFlightShowSlowOriginBeforeTheyTimeOut() {
        int rejectedAfterHedgeTimers = rejectedCount(true, true, 2, 2);
        assertTrue(rejectedAfterHedgeTimers > 400, rejectedAfterHedgeTimers + " of 4000");
        assertEquals(0, rejectedCount(false, true, 2, 2), "without a hedge timer, writes in flight are no failures");
        assertEquals(0, rejectedCount(true, false, 2, 2), "a slow read is evidence against its endpoint");
    }

    /** A class is rejected with the probability to the power of its priority weight. */
    @Test
    void rejectsHigherPriorityLater() {
        int rejectedAtMinimumWeight = rejectedCount(true, true, 2, 2);
        int rejectedAtFourTimesTheWeight = rejectedCount(true, true, 2, 8);
        double probability = rejectedAtMinimumWeight / 4000.0;
        assertTrue(
                rejectedAtFourTimesTheWeight < rejectedAtMinimumWeight,
                rejectedAtFourTimesTheWeight + " and " + rejectedAtMinimumWeight);
        assertNotEquals(0, rejectedAtFourTimesTheWeight);
        assertEquals(
                rejectedAtMinimumWeight, rejectedCount(true, true, 1, 1), 200, "only the ratio of the weights matters");
        assertEquals(
                Math.pow(probability, 4),
                rejectedAtFourTimesTheWeight / 4000.0,
                0.1,
                "where the minimum weight is rejected with probability " + probability);
    }
}
