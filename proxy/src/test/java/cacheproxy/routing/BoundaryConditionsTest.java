package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Conditions of the routing decisions that no other test covers. */
class BoundaryConditionsTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;

    private static void endAttempt(
            Fixture fixture, FairRouter router, long nowUs, long id, int attempt, AttemptOutcome outcome) {
        endAttempt(fixture, router, nowUs, id, attempt, outcome, CacheResult.NONE);
    }

    private static void endAttempt(
            Fixture fixture,
            FairRouter router,
            long nowUs,
            long id,
            int attempt,
            AttemptOutcome outcome,
            CacheResult cacheResult) {
        router.onOutcome(
                nowUs, id, attempt, outcome, MS, outcome == AttemptOutcome.OK, cacheResult, new LoadReport(), fixture);
    }

    @Test
    void selectsFirstRankedEndpointWhenIdle() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        EndpointTable endpointTable = new EndpointTable(settings);
        endpointTable.apply(0, EndpointListKind.FULL, Fixture.endpoints(8), 8);
        for (long key = 1; key <= 50; key++) {
            Fixture fixture = new Fixture();
            fixture.router(settings, 1, Fixture.endpoints(8))
                    .onRequest(0, Fixture.request(1, SplitMix64.mix(key), S), fixture);
            assertEquals(endpointTable.rank(SplitMix64.mix(key), 6)[0].id, fixture.lastEndpoint());
        }
    }

    /** Otherwise the key would be cached at all endpoints. */
    @Test
    void sendsUnpopularKeyToTwoEndpointsOnly() {
        Fixture fixture = new Fixture();
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        Set<Integer> selectedEndpoints = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            router.onRequest(i * 60 * S, Fixture.request(i, 42, 3600 * S), fixture);
            selectedEndpoints.add(fixture.lastEndpoint());
        }
        assertEquals(2, selectedEndpoints.size(), selectedEndpoints.toString());
    }

    /**
     * Rejected of 1000 requests, the sum over 5 seeds: of 200 for each seed, after 100 whose attempts ended with this
     * outcome, {@code latencyUs} after their arrival.
     */
    private static int rejectedCount(boolean cacheAside, AttemptOutcome outcome, long latencyUs) {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.cacheAside = cacheAside;
        settings.originKind = cacheAside ? 9 : -1;
        settings.maxAttempts = 1;
        int rejectedCount = 0;
        for (int seed = 1; seed <= 5; seed++) {
            Fixture fixture = new Fixture();
            FairRouter router = fixture.router(settings, seed, Fixture.endpoints(8));
            for (int i = 0; i < 100; i++) {
                long nowUs = i * 20 * MS;
                int sentBefore = fixture.sent.size();
                router.onRequest(nowUs, Fixture.request(i, SplitMix64.mix(i), nowUs + S), fixture);
                if (fixture.sent.size() > sentBefore) {
                    router.onOutcome(
                            nowUs + latencyUs,
                            i,
                            0,
                            outcome,
                            latencyUs,
                            outcome == AttemptOutcome.OK,
                            CacheResult.NONE,
                            new LoadReport(),
                            fixture);
                }
            }
            int rejectedBefore = fixture.rejected.size();
            for (int i = 200; i < 400; i++) {
                router.onRequest(3 * S, Fixture.request(i, SplitMix64.mix(i), 4 * S), fixture);
            }
            rejectedCount += fixture.rejected.size() - rejectedBefore;
        }
        return rejectedCount;
    }

    /** Responses later than the latency objective show overload. */
    @Test
    void rejectsTenantWhoseResponsesAreLate() {
        assertEquals(0, rejectedCount(false, AttemptOutcome.OK, 299 * MS));
        int rejectedAfterLateResponses = rejectedCount(false, AttemptOutcome.OK, 301 * MS);
        assertTrue(rejectedAfterLateResponses > 200, rejectedAfterLateResponses + " of 1000");
    }

    /** With cache-aside, errors are attributed to the endpoint; without, they may show overload. */
    @Test
    void errorsCountAgainstTheTenantOnlyWithoutCacheAside() {
        int rejectedWithoutCacheAside = rejectedCount(false, AttemptOutcome.ERROR, MS);
        int rejectedWithCacheAside = rejectedCount(true, AttemptOutcome.ERROR, MS);
        assertTrue(
                rejectedWithoutCacheAside > 2 * rejectedWithCacheAside + 100,
                rejectedWithoutCacheAside + " without cache-aside, " + rejectedWithCacheAside + " with it");
    }

    /** Requests sent to a warming endpoint without quotas, after 20 s of requests that were served or cancelled. */
    private static int sentToWarming(boolean served) {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.slowStartUs = 24 * S;
        settings.slowStartInitialCapacity = 0.9;
        settings.collapseMultiple = 4;
        settings.collapseUs = 2 * S;
        EndpointInfo[] endpoints = Fixture.endpoints(2);
        Fixture fixture = new Fixture();
        FairRouter router = fixture.router(settings, 1, endpoints);
        for (int i = 0; i < 2000; i++) {
            long nowUs = i * 10 * MS;
            router.onRequest(nowUs, Fixture.request(i, SplitMix64.mix(i), nowUs + S), fixture);
            if (!served) {
                router.onClientGone(nowUs, i, fixture);
            }
            endAttempt(fixture, router, nowUs, i, 0, served ? AttemptOutcome.OK : AttemptOutcome.CANCELLED);
        }
        endpoints[0].startedUs = 20 * S;
        router.onEndpointList(20 * S, EndpointListKind.FULL, endpoints, 2, fixture);
        int sentToWarming = 0;
        for (int i = 2000; i < 2400; i++) {
            long nowUs = 20 * S + (i - 2000) * 10 * MS;
            int sentBefore = fixture.sent.size();
            router.onRequest(nowUs, Fixture.request(i, SplitMix64.mix(i), nowUs + S), fixture);
            if (fixture.sent.size() > sentBefore) {
                sentToWarming += fixture.lastEndpoint() == 1 ? 1 : 0;
                endAttempt(fixture, router, nowUs, i, 0, AttemptOutcome.OK);
            }
        }
        return sentToWarming;
    }

    /** Without quotas the capacity is estimated from the requests that were served. */
    @Test
    void limitsWarmingEndpointByServedRequestsWithoutQuotas() {
        int sentAfterNoneServed = sentToWarming(false);
        int sentAfterServedRequests = sentToWarming(true);
        assertTrue(
                sentAfterServedRequests > 1.5 * sentAfterNoneServed,
                sentAfterServedRequests + " after 20 s at 100 served a second, " + sentAfterNoneServed + " after none");
    }

    /**
     * Attempts at the first of four endpoints, without the first 100 requests of each seed, over 10 seeds; this outcome
     * ends its attempts of every second request.
     */
    private static int sentToFailingEndpoint(AttemptOutcome outcome, CacheResult cacheResult) {
        int sentToFailingEndpoint = 0;
        for (int seed = 1; seed <= 10; seed++) {
            Fixture fixture = new Fixture();
            RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
            settings.hedgingAllowed = false;
            FairRouter router = fixture.router(settings, seed, Fixture.endpoints(4));
            for (int i = 0; i < 300; i++) {
                long nowUs = i * 100 * MS;
                int sentBefore = fixture.sent.size();
                RoutingRequest request = Fixture.request(i, SplitMix64.mix(1000 * seed + i), nowUs + S);
                request.tenant = i % 2;
                router.onRequest(nowUs, request, fixture);
                for (int attempt = 0; fixture.sent.size() > sentBefore + attempt; attempt++) {
                    boolean atFailingEndpoint = fixture.lastEndpoint() == 1;
                    sentToFailingEndpoint += atFailingEndpoint && i >= 100 ? 1 : 0;
                    boolean fails = atFailingEndpoint && i % 2 == 0;
                    endAttempt(
                            fixture,
                            router,
                            nowUs,
                            i,
                            attempt,
                            fails ? outcome : AttemptOutcome.OK,
                            fails ? cacheResult : CacheResult.NONE);
                }
            }
        }
        return sentToFailingEndpoint;
    }

    /** A timeout is half the evidence of an error, because the network or the request may have caused it. */
    @Test
    void timeoutCountsLessThanError() {
        int sentAfterErrors = sentToFailingEndpoint(AttemptOutcome.ERROR, CacheResult.NONE);
        int sentAfterTimeouts = sentToFailingEndpoint(AttemptOutcome.TIMEOUT, CacheResult.NONE);
        assertTrue(
                sentAfterTimeouts > sentAfterErrors * 1.1,
                sentAfterTimeouts + " after timeouts, " + sentAfterErrors + " after errors");
    }

    /** Attempts are in flight when hedge timers fire. A request is rejected if the only endpoint is passed over. */
    @Test
    void avoidsEndpointWithSlowAttempts() {
        int[] rejectedCount = new int[2];
        for (int timersFired = 0; timersFired < 2; timersFired++) {
            Fixture fixture = new Fixture();
            FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(1));
            for (int i = 0; i < 200; i++) {
                long nowUs = i * 200 * MS;
                int sentBefore = fixture.sent.size();
                fixture.timers.clear();
                router.onRequest(nowUs, Fixture.request(i, SplitMix64.mix(i), nowUs + S), fixture);
                if (fixture.sent.size() == sentBefore) {
                    rejectedCount[timersFired]++;
                } else {
                    if (timersFired == 1) {
                        fixture.fireTimers(router, nowUs + 180 * MS);
                    }
                    endAttempt(fixture, router, nowUs + 190 * MS, i, 0, AttemptOutcome.OK);
                }
            }
        }
        assertEquals(0, rejectedCount[0]);
        assertTrue(rejectedCount[1] > 0, "the endpoint was slow each time");
    }

    /** Where handshakes have a price, connections are closed early only after some have failed. */
    @Test
    void keepsConnectionsUntilSomeFailWhereHandshakesHaveAPrice() {
        for (double handshakePrice : new double[] {0, 0.2}) {
            Fixture fixture = new Fixture();
            RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
            settings.handshakePrice = handshakePrice;
            FairRouter router = fixture.router(settings, 1, Fixture.endpoints(8));
            int closedCount = 0;
            for (int id = 0; id < 10; id++) { // each endpoint is used every 16 s; the idle timeout is 5 s
                router.onRequest(id * 2 * S, Fixture.request(id, SplitMix64.mix(id), id * 2 * S + S), fixture);
                fixture.actions.clear();
                endAttempt(fixture, router, id * 2 * S, id, 0, AttemptOutcome.OK);
                closedCount += fixture.actions.size();
            }
            assertTrue(
                    handshakePrice == 0 ? closedCount > 5 : closedCount == 0,
                    closedCount + " closed at handshake price " + handshakePrice);
            for (int id = 10; id < 12; id++) {
                router.onRequest(20 * S, Fixture.request(id, SplitMix64.mix(id), 21 * S), fixture);
                endAttempt(fixture, router, 20 * S, id, 0, AttemptOutcome.CONNECT_FAILED);
            }
            router.onRequest(21 * S, Fixture.request(20, 20, 22 * S), fixture);
            fixture.actions.clear();
            endAttempt(fixture, router, 21 * S, 20, 0, AttemptOutcome.OK);
            assertTrue(
                    fixture.actions.toString().contains("close"), "price " + handshakePrice + ": " + fixture.actions);
        }
    }

    /** The origin failed; passing over the endpoint would only cause misses at others. */
    @Test
    void failedFetchDoesNotCountAgainstTheEndpoint() {
        int sentAfterOwnErrors = sentToFailingEndpoint(AttemptOutcome.ERROR, CacheResult.NONE);
        int sentAfterFailedFetches = sentToFailingEndpoint(AttemptOutcome.ERROR, CacheResult.MISS);
        assertTrue(
                sentAfterFailedFetches > sentAfterOwnErrors * 1.15,
                sentAfterFailedFetches + " after failed fetches, " + sentAfterOwnErrors + " after errors of its own");
    }

    @Test
    void rejectsRequestWithoutEligibleEndpoint() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.slowStartInitialCapacity = 1e-9;
        EndpointInfo[] endpoints = Fixture.endpoints(8);
        for (EndpointInfo endpoint : endpoints) {
            endpoint.startedUs = S;
        }
        Fixture fixture = new Fixture();
        fixture.router(settings, 1, endpoints).onRequest(S, Fixture.request(1, 42, 2 * S), fixture);
        assertEquals(1, fixture.rejected.size(), fixture.actions.toString());
    }

    /** Otherwise each request would cost a handshake. */
    @Test
    void reusesBrieflyIdleConnection() {
        Fixture fixture = new Fixture();
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.handshakePrice = 0.2;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(1));
        for (int i = 0; i < 20; i++) {
            long nowUs = 1000 * S + i * 100 * MS;
            router.onRequest(nowUs, Fixture.request(i, SplitMix64.mix(i), nowUs + S), fixture);
            endAttempt(fixture, router, nowUs, i, 0, AttemptOutcome.OK);
        }
        assertEquals(20, fixture.sent.size());
        assertTrue(
                fixture.actions.stream().noneMatch(action -> action.startsWith("close")), fixture.actions.toString());
    }
}
