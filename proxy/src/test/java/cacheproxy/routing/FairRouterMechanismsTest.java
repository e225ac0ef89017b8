package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Each mechanism of the FAIR paper by itself, the differences from it, and the other policies of the router. */
class FairRouterMechanismsTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private final Fixture fixture = new Fixture();

    @Test
    void blueValueIsTheMinimumOfItsLevels() {
        StochasticFairBlue blue = new StochasticFairBlue(3, 64, 1e6, 7);
        blue.add(1, 0.5, 1, 0);
        assertEquals(0.5, blue.min(1, 0), 1e-6);
        int affectedCount = 0;
        for (int tenant = 2; tenant < 1000; tenant++) {
            affectedCount += blue.min(tenant, 0) > 0 ? 1 : 0;
        }
        assertTrue(
                affectedCount <= 5,
                "tenants that share the bucket of one level only must not be affected: " + affectedCount);
    }

    @Test
    void blueValueStaysWithinBoundsDecaysAndResets() {
        StochasticFairBlue blue = new StochasticFairBlue(3, 64, 1e6, 7);
        blue.add(1, 5, 0.95, 0);
        assertEquals(0.95, blue.min(1, 0), 1e-6);
        assertEquals(0.95 / Math.E, blue.min(1, 1_000_000), 1e-6);
        blue.add(1, -5, 0.95, 0);
        assertEquals(0, blue.min(1, 0));
        blue.add(1, 0.5, 1, 0);
        blue.reset(8);
        assertEquals(0, blue.min(1, 0));
    }

    @Test
    void timeoutsLeadToRejectionsWithRetryAfterThatDecay() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        failRequests(router, 60, 0);
        int rejectedBefore = fixture.rejected.size();
        int rejectedCount = sendRequests(router, 1000, 50, 0, 2 * S);
        assertTrue(rejectedCount > 25, "rejected requests of a tenant whose requests all time out: " + rejectedCount);
        assertTrue(fixture.retryAfters.get(rejectedBefore) > 0, "a rejection has a Retry-After");
        int rejectedLater = sendRequests(router, 2000, 50, 0, 90 * S);
        assertTrue(rejectedLater < 5, "the probability decays after the failures: " + rejectedLater);
    }

    @Test
    void doesNotRejectAnotherTenant() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        failRequests(router, 60, 0);
        RoutingRequest request = Fixture.request(5000, 77, 3 * S);
        request.tenant = 1;
        int rejectedBefore = fixture.rejected.size();
        router.onRequest(2 * S, request, fixture);
        assertEquals(rejectedBefore, fixture.rejected.size());
    }

    @Test
    void rotationKeepsTheProbabilities() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(8));
        for (int second = 0; second < 130; second++) { // two rotations: one within 60 s, the next 60 s later
            failRequests(router, 50, second * S);
            if (second >= 10) {
                int rejectedCount = sendRequests(router, 1_000_000_000 + second * 100, 20, 0, (second + 1) * S - MS);
                assertTrue(rejectedCount > 5, "rejected at " + second + " s: " + rejectedCount + " of 20");
            }
        }
    }

    @Test
    void rejectsTenantOverItsQuotaFirst() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.tenants[0].requestsPerSecond = 4;
        settings.tenants[1].requestsPerSecond = 400;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(8));
        int[] rejectionsByTenant = new int[2];
        for (int i = 0; i < 600; i++) {
            RoutingRequest request = Fixture.request(i, 1000 + i, 0);
            request.tenant = i % 2;
            long nowUs = i * 20 * MS;
            request.deadlineAtUs = nowUs + 600 * MS;
            int rejectedBefore = fixture.rejected.size();
            int sentBefore = fixture.sent.size();
            router.onRequest(nowUs, request, fixture);
            if (fixture.sent.size() > sentBefore) {
                router.onOutcome(
                        nowUs,
                        i,
                        0,
                        i % 10 < 2 ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
                        MS,
                        i % 10 >= 2,
                        CacheResult.HIT,
                        new LoadReport(),
                        fixture);
            }
            rejectionsByTenant[request.tenant] +=
                    fixture.rejected.size() > rejectedBefore && fixture.sent.size() == sentBefore ? 1 : 0;
        }
        assertTrue(
                rejectionsByTenant[0] > 3 * (rejectionsByTenant[1] + 1),
                rejectionsByTenant[0] + " over the quota, " + rejectionsByTenant[1] + " within");
    }

    @Test
    void keepsKeyAtItsFirstCandidateUnlessTheSecondIsLessBusy() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        Set<Integer> selectedEndpoints = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            router.onRequest(i * 100 * S, Fixture.request(i, 42, (i + 1) * 100 * S), fixture);
            selectedEndpoints.add(fixture.lastEndpoint());
            fixture.outcome(router, i * 100 * S + MS, i, 0, AttemptOutcome.OK);
        }
        assertEquals(1, selectedEndpoints.size(), "nothing is in flight, so all requests use the first candidate");
        router.onRequest(400 * S, Fixture.request(10, 42, 500 * S), fixture);
        int firstEndpoint = fixture.lastEndpoint();
        router.onRequest(430 * S, Fixture.request(11, 42, 500 * S), fixture);
        assertNotEquals(
                firstEndpoint,
                fixture.lastEndpoint(),
                "one request is in flight at the first candidate, so the second is selected");
    }

    @Test
    void reportedLoadDecidesBetweenEqualRequestsInFlight() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        router.onRequest(0, Fixture.request(1, 42, S), fixture);
        int firstEndpoint = fixture.lastEndpoint();
        LoadReport report = new LoadReport();
        report.cpuUtilization = 0.9;
        router.onOutcome(MS, 1, 0, AttemptOutcome.OK, MS, true, CacheResult.HIT, report, fixture);
        router.onRequest(2 * MS, Fixture.request(2, 42, S), fixture);
        assertNotEquals(firstEndpoint, fixture.lastEndpoint());
    }

    @Test
    void spreadsOnlyPopularKeyBeyondTwoEndpoints() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(20));
        Set<Integer> endpointsOfPopularKey = new HashSet<>();
        Set<Integer> endpointsOfUnpopularKey = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            long nowUs = i * 10 * MS;
            boolean popular = i % 4 == 0;
            long key = popular ? 42 : i % 40 == 1 ? 43 : 100_000 + i;
            router.onRequest(nowUs, Fixture.request(i, key, nowUs + S), fixture);
            (key == 42 ? endpointsOfPopularKey : key == 43 ? endpointsOfUnpopularKey : new HashSet<Integer>())
                    .add(fixture.lastEndpoint());
            fixture.outcome(router, nowUs, i, 0, AttemptOutcome.OK);
        }
        assertTrue(
                endpointsOfPopularKey.size() > 4,
                "a key with a quarter of all requests needs more than two of 20 endpoints: "
                        + endpointsOfPopularKey.size());
        assertTrue(
                endpointsOfUnpopularKey.size() <= 4,
                "a key with 1 in 40 requests needs few: " + endpointsOfUnpopularKey.size());
    }

    @Test
    void passesOverFailingEndpointButStillTriesIt() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        router.onRequest(0, Fixture.request(1, 42, S), fixture);
        int firstEndpoint = fixture.lastEndpoint();
        fixture.outcome(router, 0, 1, 0, AttemptOutcome.OK);
        int sentToFirst = 0;
        for (int i = 2; i < 160; i++) {
            long nowUs = i * 200 * MS;
            router.onRequest(nowUs, Fixture.request(i, 42, nowUs + S), fixture);
            int selectedEndpoint = fixture.lastEndpoint();
            sentToFirst += selectedEndpoint == firstEndpoint ? 1 : 0;
            fixture.outcome(
                    router,
                    nowUs,
                    i,
                    0,
                    selectedEndpoint == firstEndpoint ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK);
            if (selectedEndpoint == firstEndpoint) {
                fixture.outcome(router, nowUs, i, 1, AttemptOutcome.OK);
            }
        }
        assertTrue(sentToFirst < 40 && sentToFirst > 2, "mostly passed over, but sometimes tried: " + sentToFirst);
    }

    @Test
    void limitsRetriesByABudgetThatSuccessesFill() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        for (int i = 0; i < 100; i++) {
            router.onRequest(i * MS, Fixture.request(i, 1 + i, i * MS + S), fixture);
            for (int attempt = 0; fixture.sent.get(fixture.sent.size() - 1).request() == i && attempt < 4; attempt++) {
                fixture.outcome(router, i * MS, i, attempt, AttemptOutcome.ERROR);
            }
        }
        long requests = fixture.sent.stream()
                .mapToLong(Fixture.SentAttempt::request)
                .distinct()
                .count();
        assertTrue(fixture.sent.size() - requests <= 2, fixture.sent.size() + " attempts for " + requests);
    }

    @Test
    void handlesRequestsWithoutKeyTenantOrEndpoints() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.tenants = new TenantQuota[0];
        FairRouter router = fixture.router(settings, 1);
        router.onRequest(0, Fixture.request(1, 0, S), fixture);
        assertEquals(1, fixture.rejected.size(), "without endpoints the request is rejected at once");
        router.onEndpointList(0, EndpointListKind.DELTA, Fixture.endpoints(3), 3, fixture);
        router.onRequest(0, Fixture.request(2, 0, S), fixture);
        assertEquals(1, fixture.sent.size());
    }

    @Test
    void subscribesInTimeAndBacksOffAfterFailures() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.subscribeRequired = true;
        settings.proxyCount = 1000;
        Set<Long> subscribeSeconds = new HashSet<>();
        for (int seed = 0; seed < 50; seed++) {
            Fixture caseFixture = new Fixture();
            caseFixture.router(settings, seed * 7919, Fixture.endpoints(2));
            long delayUs = caseFixture.timers.get(0)[0];
            assertTrue(
                    delayUs <= settings.subscribeWithinUs,
                    "within the time in which the first subscription must be made");
            subscribeSeconds.add(delayUs / S);
        }
        assertTrue(subscribeSeconds.size() >= 6, "spread over several seconds: " + subscribeSeconds);
        FairRouter router = fixture.router(settings, 3, Fixture.endpoints(2));
        fixture.fireTimers(router, 8 * S);
        assertEquals(1, fixture.subscriptions);
        router.onEndpointList(9 * S, EndpointListKind.FAILED, new EndpointInfo[0], 0, fixture);
        assertTrue(fixture.timers.get(0)[0] > S, "no retry without a backoff");
        fixture.fireTimers(router, 12 * S);
        assertEquals(2, fixture.subscriptions);
        router.onEndpointList(13 * S, EndpointListKind.FULL, Fixture.endpoints(2), 2, fixture);
        assertTrue(fixture.timers.isEmpty(), "once subscribed, no timer is started");
    }

    /** Incidents i82db3d, icf0b68 and i15b002: saturated endpoints recover only if most of the load is rejected. */
    @Test
    void consecutiveFailuresLeadToRejectionsBelowTheQuota() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.tenants[0].requestsPerSecond =
                1000; // far above the demand, so the quota weight is small until failures are consecutive
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(8));
        failRequests(router, 150, 0);
        int rejectedCount = sendRequests(router, 1000, 50, 0, 3 * S);
        assertTrue(rejectedCount > 25, "most of the load is rejected: " + rejectedCount + " of 50");
    }

    /** The slow attempt of a hedged request ends as cancelled, an outcome that does not count against its endpoint. */
    @Test
    void attemptInFlightAtTheHedgeCountsAgainstItsEndpoint() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(4));
        int sentToSlowEndpoint = 0;
        for (int i = 0; i < 300; i++) {
            long nowUs = i * 400 * MS;
            fixture.timers.clear();
            router.onRequest(nowUs, Fixture.request(i, 1 + i, nowUs + S), fixture);
            boolean atSlowEndpoint = fixture.lastEndpoint() == 1;
            sentToSlowEndpoint += atSlowEndpoint && i >= 100 ? 1 : 0;
            if (atSlowEndpoint) {
                fixture.fireTimers(router, nowUs + 150 * MS);
            }
            boolean hedged = atSlowEndpoint && fixture.lastEndpoint() != 1;
            fixture.outcome(router, nowUs + 160 * MS, i, hedged ? 1 : 0, AttemptOutcome.OK);
            if (hedged) {
                fixture.outcome(router, nowUs + 161 * MS, i, 0, AttemptOutcome.CANCELLED);
            }
        }
        assertTrue(
                sentToSlowEndpoint < 25,
                "attempts at the slow endpoint: " + sentToSlowEndpoint + " of 200, where 50 would be its share");
    }

    /** While the origin fails, its admission rejects fetches; tenant admission must not reject hits as well. */
    @Test
    void failedFetchesCountAgainstTheOriginMoreThanTheTenant() {
        int[] rejectedCount = new int[2];
        for (int fetched = 0; fetched < 2; fetched++) {
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
            for (int i = 0; i < 200; i++) {
                long nowUs = i * 20 * MS;
                boolean hit = i % 2 == 0;
                int sentBefore = caseFixture.sent.size();
                router.onRequest(nowUs, Fixture.request(i, hit ? 42 : 1000 + i, nowUs + S), caseFixture);
                if (caseFixture.sent.size() > sentBefore) {
                    router.onOutcome(
                            nowUs,
                            i,
                            0,
                            hit ? AttemptOutcome.OK : AttemptOutcome.ERROR,
                            MS,
                            hit,
                            hit ? CacheResult.HIT : fetched == 1 ? CacheResult.MISS : CacheResult.NONE,
                            new LoadReport(),
                            caseFixture);
                } else if (hit) {
                    rejectedCount[fetched]++;
                }
            }
        }
        assertTrue(
                2 * rejectedCount[1] < rejectedCount[0],
                rejectedCount[1] + " hits rejected after failed fetches, after other errors " + rejectedCount[0]);
    }

    /** On site milano-turni big-2 idle connections were dropped silently, and requests on them got no response. */
    @Test
    void timeoutOnIdleConnectionReducesTheIdleTimeout() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.idleTimeoutUs = 60 * S;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(1));
        router.onRequest(0, Fixture.request(1, 1, S), fixture);
        fixture.outcome(router, MS, 1, 0, AttemptOutcome.OK);
        int timedOutCount = 0;
        for (int i = 2; i < 40; i++) {
            long nowUs = i * 3 * S;
            fixture.timers.clear();
            router.onRequest(nowUs, Fixture.request(i, 1, nowUs + S), fixture);
            if (fixture.sent.get(fixture.sent.size() - 1).request() != i) {
                continue; // rejected, so nothing was sent on the connection
            }
            boolean connectionDropped = !fixture.actions.contains("close 1");
            fixture.actions.clear();
            if (connectionDropped) {
                timedOutCount++;
                fixture.fireTimers(router, nowUs + 180 * MS);
            }
            fixture.outcome(
                    router, nowUs + 200 * MS, i, 0, connectionDropped ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK);
        }
        assertTrue(timedOutCount > 0 && timedOutCount < 12, "timeouts on idle connections: " + timedOutCount);
    }

    /** On site bole-campus big-1 idle connections used up the endpoints' limits; half of all attempts were refused. */
    @Test
    void refusedConnectionsReduceTheIdleTimeout() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.idleTimeoutUs = 60 * S;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(8));
        for (int i = 0; i < 40; i++) {
            long nowUs = i * 500 * MS;
            router.onRequest(nowUs, Fixture.request(i, 1 + i, nowUs + S), fixture);
            AttemptOutcome outcome = i >= 10 && i < 20 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK;
            fixture.outcome(router, nowUs + MS, i, 0, outcome);
            if (i < 10) {
                assertTrue(
                        fixture.actions.stream().noneMatch(action -> action.startsWith("close")),
                        "no connection is closed before one was refused");
            } else if (outcome == AttemptOutcome.OK) {
                assertTrue(
                        fixture.actions.get(fixture.actions.size() - 1).startsWith("close"),
                        "the connection is closed after use");
            }
        }
    }

    /** Failures at outliers must not cause rejections of a tenant within its quota at other endpoints. */
    @Test
    void outliersDoNotCountAgainstATenantWithinItsQuota() {
        int[] rejectedCount = new int[2];
        for (int seed = 1; seed <= 20; seed++) {
            for (int failuresSpread = 0; failuresSpread < 2; failuresSpread++) {
                Fixture caseFixture = new Fixture();
                FairRouter router =
                        caseFixture.router(Fixture.settings(Idempotency.IDEMPOTENT), seed, Fixture.endpoints(8));
                for (int i = 0; i < 300; i++) {
                    long nowUs = i * 100 * MS;
                    int sentBefore = caseFixture.sent.size();
                    router.onRequest(nowUs, Fixture.request(i, 1 + i, nowUs + S), caseFixture);
                    if (caseFixture.sent.size() == sentBefore) {
                        rejectedCount[failuresSpread]++;
                        continue;
                    }
                    boolean fails = failuresSpread == 1 ? i % 4 == 0 : caseFixture.lastEndpoint() <= 2;
                    caseFixture.outcome(router, nowUs, i, 0, fails ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK);
                }
            }
        }
        assertTrue(
                rejectedCount[0] < rejectedCount[1] / 2,
                rejectedCount[0] + " rejected with two failing endpoints, with failures at all " + rejectedCount[1]);
    }

    @Test
    void sendsRequestsOfUnknownClassOrTenant() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(3));
        int[] unknownIndexes = {-1, 7, Integer.MIN_VALUE, Integer.MAX_VALUE};
        for (int i = 0; i < unknownIndexes.length; i++) {
            RoutingRequest request = Fixture.request(i, 1 + i, S);
            request.requestClass = unknownIndexes[i];
            request.tenant = unknownIndexes[i];
            router.onRequest(0, request, fixture);
        }
        assertEquals(unknownIndexes.length, fixture.sent.size());
    }

    @Test
    void limitsTheRateOfLogLines() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        failRequests(router, 60, 0);
        sendRequests(router, 1000, 200, 0, 2 * S);
        long lineCount = fixture.actions.stream()
                .filter(action -> action.startsWith("log refusing requests: origin chance"))
                .count();
        assertEquals(1, lineCount, "one log line in 20 s, however many rejections");
    }

    @Test
    void equalSeedsGiveEqualActions() {
        assertEquals(actionsOf(5), actionsOf(5));
        assertFalse(actionsOf(5).equals(actionsOf(6)));
    }

    private static java.util.List<String> actionsOf(long seed) {
        Fixture caseFixture = new Fixture();
        FairRouter router = caseFixture.router(Fixture.settings(Idempotency.IDEMPOTENT), seed, Fixture.endpoints(9));
        for (int i = 0; i < 300; i++) {
            router.onRequest(i * MS, Fixture.request(i, i % 17 == 0 ? 0 : 1 + i % 23, i * MS + S), caseFixture);
            if (caseFixture.lastEndpoint() % 3 == 0) {
                caseFixture.outcome(router, i * MS, i, 0, AttemptOutcome.TIMEOUT);
            }
        }
        return caseFixture.actions;
    }

    private void failRequests(FairRouter router, int count, long fromUs) {
        for (int i = 0; i < count; i++) {
            long nowUs = fromUs + i * 20 * MS;
            long id = fromUs + 100_000 + i;
            router.onRequest(nowUs, Fixture.request(id, 1 + i, nowUs + 600 * MS), fixture);
            fixture.outcome(router, nowUs, id, 0, AttemptOutcome.TIMEOUT);
            fixture.outcome(router, nowUs, id, 1, AttemptOutcome.TIMEOUT);
        }
    }

    /** Sends requests at the same time and returns how many are rejected without an attempt. */
    private int sendRequests(FairRouter router, int firstId, int count, int tenant, long nowUs) {
        int rejectedBefore = fixture.rejected.size();
        for (int i = firstId; i < firstId + count; i++) {
            RoutingRequest request = Fixture.request(i, 1_000_000 + i, nowUs + 600 * MS);
            request.tenant = tenant;
            router.onRequest(nowUs, request, fixture);
        }
        return fixture.rejected.size() - rejectedBefore;
    }
}
