package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules for retries, deadlines, draining, slow start and cache-aside, for each kind of idempotency. */
class RoutingRulesTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private final Fixture fixture = new Fixture();

    private FairRouter routerFor(Idempotency idempotency) {
        return fixture.router(Fixture.settings(idempotency), 1, Fixture.endpoints(6));
    }

    /** Reports successes at time 0 that fill the retry budget, which hedged requests need. */
    private FairRouter withFilledRetryBudget(FairRouter router) {
        for (long id = 1000; id < 1100; id++) {
            router.onRequest(0, Fixture.request(id, id, 600 * MS), fixture);
            fixture.outcome(router, 0, id, 0, AttemptOutcome.OK);
        }
        fixture.sent.clear();
        fixture.timers.clear();
        return router;
    }

    private void sendOneRequest(FairRouter router) {
        router.onRequest(0, Fixture.request(1, 42, 600 * MS), fixture);
        assertEquals(1, fixture.sent.size());
    }

    @Test
    void retriesIdempotentRequestAfterError() {
        FairRouter router = routerFor(Idempotency.IDEMPOTENT);
        sendOneRequest(router);
        fixture.outcome(router, MS, 1, 0, AttemptOutcome.ERROR);
        assertEquals(2, fixture.sent.size());
        assertNotEquals(fixture.sent.get(0).endpoint(), fixture.sent.get(1).endpoint());
    }

    @Test
    void failsNonIdempotentRequestThatMayHaveBeenExecuted() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED
        }) {
            Fixture caseFixture = new Fixture();
            FairRouter router =
                    caseFixture.router(Fixture.settings(Idempotency.NOT_IDEMPOTENT), 1, Fixture.endpoints(6));
            router.onRequest(0, Fixture.request(1, 42, 600 * MS), caseFixture);
            caseFixture.fireTimers(router, 150 * MS);
            caseFixture.outcome(router, 200 * MS, 1, 0, outcome);
            assertEquals(1, caseFixture.sent.size(), outcome + " is not retried");
            assertEquals(1, caseFixture.failed.size(), outcome + " fails the request");
            assertEquals(0, caseFixture.rejected.size(), outcome + " does not reject the request");
        }
    }

    @Test
    void retriesNonIdempotentRequestThatWasNotExecuted() {
        FairRouter router = routerFor(Idempotency.NOT_IDEMPOTENT);
        sendOneRequest(router);
        fixture.outcome(router, MS, 1, 0, AttemptOutcome.OVERLOADED);
        assertEquals(2, fixture.sent.size());
        fixture.outcome(router, 2 * MS, 1, 1, AttemptOutcome.CONNECT_FAILED);
        assertEquals(1, fixture.rejected.size() + fixture.sent.size() - 2, "not executed: retried again or rejected");
    }

    @Test
    void retriesRequestWithIdempotencyKeyOnlyWithinItsWindow() {
        FairRouter router = routerFor(Idempotency.IDEMPOTENCY_KEY);
        router.onRequest(0, Fixture.request(1, 42, 10 * S), fixture);
        fixture.outcome(router, 500 * MS, 1, 0, AttemptOutcome.ERROR);
        assertEquals(2, fixture.sent.size());
        Fixture lateFixture = new Fixture();
        FairRouter lateRouter =
                lateFixture.router(Fixture.settings(Idempotency.IDEMPOTENCY_KEY), 1, Fixture.endpoints(6));
        lateRouter.onRequest(0, Fixture.request(1, 42, 10 * S), lateFixture);
        lateFixture.outcome(lateRouter, 2 * S - 5 * MS, 1, 0, AttemptOutcome.ERROR);
        assertEquals(1, lateFixture.sent.size(), "less than two timer granularities of its window of 2 s are left");
    }

    @Test
    void retriesOnlyWhileTheWindowLeavesTimeToConnect() {
        for (boolean connectIsSlow : new boolean[] {false, true}) {
            RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENCY_KEY);
            settings.connectTimeoutUs = connectIsSlow ? 250 * MS : 0;
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(settings, 1, Fixture.endpoints(6));
            router.onRequest(0, Fixture.request(1, 42, 10 * S), caseFixture);
            caseFixture.outcome(router, 2 * S - 200 * MS, 1, 0, AttemptOutcome.ERROR);
            assertEquals(connectIsSlow ? 1 : 2, caseFixture.sent.size());
        }
    }

    @Test
    void zoneScopedDeduplicationKeepsRetriesInTheZone() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENCY_KEY);
        settings.requestClasses[0].deduplicationScope = DeduplicationScope.ZONE;
        EndpointInfo[] endpoints = Fixture.endpoints(12);
        for (EndpointInfo endpoint : endpoints) {
            endpoint.zone = endpoint.id % 3;
        }
        for (int key = 1; key < 40; key++) {
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(settings, key, endpoints);
            router.onRequest(0, Fixture.request(1, key, 600 * MS), caseFixture);
            caseFixture.outcome(router, MS, 1, 0, AttemptOutcome.RESET);
            for (int i = 1; i < caseFixture.sent.size(); i++) {
                assertEquals(
                        caseFixture.sent.get(0).endpoint() % 3,
                        caseFixture.sent.get(i).endpoint() % 3);
                caseFixture.outcome(router, (i + 1) * MS, 1, i, AttemptOutcome.RESET);
            }
            assertEquals(0, caseFixture.rejected.size());
            assertEquals(1, caseFixture.failed.size());
        }
    }

    @Test
    void respondsToEveryRequestAfterItsLastTimeout() {
        for (Idempotency idempotency : Idempotency.values()) {
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(Fixture.settings(idempotency), 1, Fixture.endpoints(6));
            router.onRequest(0, Fixture.request(1, 42, 600 * MS), caseFixture);
            caseFixture.outcome(router, 600 * MS, 1, 0, AttemptOutcome.TIMEOUT);
            assertEquals(
                    1,
                    caseFixture.rejected.size() + caseFixture.failed.size(),
                    idempotency + " gets exactly one final response");
            assertEquals(1, caseFixture.sent.size(), idempotency + " is not retried at its deadline");
        }
    }

    @Test
    void appliesTheRequestsDeadlineNotThatOfTheClass() {
        FairRouter router = withFilledRetryBudget(routerFor(Idempotency.IDEMPOTENT));
        router.onRequest(0, Fixture.request(1, 42, 100 * MS), fixture);
        assertEquals(0, fixture.sent.get(0).timeoutUs(), "no timeout before the deadline");
        fixture.fireTimers(router, 100 * MS);
        assertEquals(1, fixture.sent.size(), "no hedged request at or after the deadline");
    }

    @Test
    void attemptsEndBeforeTheObjectiveWhereLateResponsesHaveNoValue() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.requestClasses[0].lateResponseValue = 0;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(6));
        router.onRequest(0, Fixture.request(1, 42, 600 * MS), fixture);
        assertEquals(290 * MS, fixture.sent.get(0).timeoutUs());
    }

    @Test
    void sendsNothingAfterTheClientIsGone() {
        FairRouter router = withFilledRetryBudget(routerFor(Idempotency.IDEMPOTENT));
        sendOneRequest(router);
        router.onClientGone(MS, 1, fixture);
        assertEquals("1/0", fixture.cancelled.get(0));
        fixture.fireTimers(router, 100 * MS);
        fixture.outcome(router, 200 * MS, 1, 0, AttemptOutcome.CANCELLED);
        fixture.outcome(router, 200 * MS, 1, 0, AttemptOutcome.ERROR);
        assertEquals(1, fixture.sent.size());
        assertEquals(0, fixture.rejected.size() + fixture.failed.size());
    }

    @Test
    void firstResponseCancelsTheOtherAttempt() {
        FairRouter router = withFilledRetryBudget(routerFor(Idempotency.IDEMPOTENT));
        sendOneRequest(router);
        fixture.fireTimers(router, 150 * MS);
        assertEquals(2, fixture.sent.size());
        fixture.outcome(router, 160 * MS, 1, 1, AttemptOutcome.OK);
        assertEquals("1/0", fixture.cancelled.get(0));
    }

    @Test
    void sendsNoHedgedRequestWhereHedgingIsNotAllowed() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.hedgingAllowed = false;
        FairRouter router = withFilledRetryBudget(fixture.router(settings, 1, Fixture.endpoints(6)));
        sendOneRequest(router);
        fixture.fireTimers(router, 150 * MS);
        assertEquals(1, fixture.sent.size());
    }

    @Test
    void takesNoActionAfterStreamStarted() {
        FairRouter router = withFilledRetryBudget(routerFor(Idempotency.IDEMPOTENT));
        sendOneRequest(router);
        router.onStreamStarted(MS, 1, 0, fixture);
        fixture.fireTimers(router, 150 * MS);
        assertEquals(1, fixture.sent.size());
        router.onOutcome(
                900 * MS, 1, 0, AttemptOutcome.RESET, 900 * MS, true, CacheResult.NONE, new LoadReport(), fixture);
        assertEquals(0, fixture.rejected.size() + fixture.failed.size());
    }

    @Test
    void sendsNoNewRequestsToDrainingOrGoneEndpoints() {
        FairRouter router = routerFor(Idempotency.IDEMPOTENT);
        EndpointInfo[] changes = {Fixture.endpoint(1), Fixture.endpoint(2)};
        changes[0].state = EndpointState.DRAINING;
        changes[1].state = EndpointState.GONE;
        router.onEndpointList(0, EndpointListKind.DELTA, changes, 2, fixture);
        for (int i = 0; i < 200; i++) {
            router.onRequest(i, Fixture.request(i, 1 + i, S), fixture);
            assertTrue(fixture.lastEndpoint() > 2);
        }
        router.onEndpointList(0, EndpointListKind.FULL, new EndpointInfo[] {Fixture.endpoint(6)}, 1, fixture);
        router.onRequest(S, Fixture.request(900, 9, 2 * S), fixture);
        assertEquals(6, fixture.lastEndpoint(), "endpoints that a full list omits are gone");
    }

    /** Issue 61: first, retried and hedged attempts went by a list that may have been older than the agent's. */
    @Test
    void sendsNothingWhileEndpointListMayBeOutdated() {
        FairRouter router = routerFor(Idempotency.IDEMPOTENT);
        router.onRequest(0, Fixture.request(1, 11, S), fixture);
        router.onRequest(0, Fixture.request(2, 12, S), fixture);
        assertEquals(2, fixture.sent.size());
        router.onEndpointListOutdated(MS, true);
        router.onRequest(MS, Fixture.request(3, 13, S), fixture);
        assertEquals(List.of(3L), fixture.rejected, "a new request");
        fixture.outcome(router, 2 * MS, 1, 0, AttemptOutcome.OVERLOADED);
        assertEquals(List.of(3L, 1L), fixture.rejected, "a retry");
        fixture.fireTimers(router, 290 * MS);
        assertEquals(2, fixture.sent.size(), "a hedged request");
        fixture.outcome(router, 300 * MS, 2, 0, AttemptOutcome.OK);
        router.onEndpointListOutdated(400 * MS, false);
        router.onRequest(400 * MS, Fixture.request(4, 14, S), fixture);
        assertEquals(3, fixture.sent.size());
    }

    @Test
    void allProxiesSendWarmingEndpointTheSameGrowingShareOfKeys() {
        EndpointInfo[] endpoints = Fixture.endpoints(4);
        endpoints[0].startedUs = 0;
        int[] keysSent = new int[3];
        for (int key = 1; key <= 400; key++) {
            Boolean decisionOfFirstProxy = null;
            for (int warmUpStep = 0; warmUpStep < 3; warmUpStep++) {
                for (long seed = 1; seed < 3; seed++) {
                    Fixture caseFixture = new Fixture();
                    FairRouter router = caseFixture.router(Fixture.settings(Idempotency.IDEMPOTENT), seed, endpoints);
                    router.onRequest(warmUpStep * 5 * S, Fixture.request(1, key, 20 * S), caseFixture);
                    boolean atWarmingEndpoint = caseFixture.lastEndpoint() == 1;
                    keysSent[warmUpStep] += atWarmingEndpoint && seed == 1 ? 1 : 0;
                    if (seed == 1) {
                        decisionOfFirstProxy = atWarmingEndpoint;
                    } else {
                        assertEquals(
                                decisionOfFirstProxy, atWarmingEndpoint, "the proxies agree without communication");
                    }
                }
            }
        }
        assertTrue(
                keysSent[0] < 30 && keysSent[0] > 0 && keysSent[1] > keysSent[0] && keysSent[2] > keysSent[1],
                keysSent[0] + ", " + keysSent[1] + ", " + keysSent[2] + " of 400 keys, 100 expected when warm");
    }

    private FairRouter cacheAsideRouter(Idempotency idempotency) {
        RoutingSettings settings = Fixture.settings(idempotency);
        settings.cacheAside = true;
        settings.originKind = 9;
        EndpointInfo[] endpoints = Fixture.endpoints(7);
        endpoints[6].kind = 9;
        return fixture.router(settings, 1, endpoints);
    }

    @Test
    void cacheAsideSendsMissesAndWritesToTheOrigin() {
        FairRouter router = cacheAsideRouter(Idempotency.IDEMPOTENT);
        sendOneRequest(router);
        assertTrue(fixture.lastEndpoint() < 7, "a read is first sent to a cache endpoint");
        router.onOutcome(MS, 1, 0, AttemptOutcome.MISS, MS, false, CacheResult.MISS, new LoadReport(), fixture);
        assertEquals(7, fixture.lastEndpoint());
        RoutingRequest writeRequest = Fixture.request(2, 42, S);
        writeRequest.write = true;
        router.onRequest(MS, writeRequest, fixture);
        assertEquals(7, fixture.lastEndpoint());
    }

    /**
     * On site milano-turni big-1 writes alone kept a slow origin overloaded, and no response was in time: writes must
     * be rejected too, but later than reads.
     */
    @Test
    void rejectsWritesToFailingOriginLaterThanReads() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY);
        settings.cacheAside = true;
        settings.originKind = 9;
        settings.requestClasses[1].priorityWeight = 4;
        settings.tenants = new TenantQuota[200];
        java.util.Arrays.setAll(settings.tenants, i -> new TenantQuota());
        EndpointInfo[] endpoints = Fixture.endpoints(7);
        endpoints[6].kind = 9;
        int[] rejectedCount = new int[2];
        for (int seed = 1; seed <= 40; seed++) {
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(settings, seed, endpoints);
            for (int i = 0; i < 3; i++) {
                RoutingRequest writeRequest = Fixture.request(i, 1 + i, S);
                writeRequest.requestClass = 1;
                writeRequest.write = true;
                writeRequest.tenant = i;
                router.onRequest(i * MS, writeRequest, caseFixture);
                caseFixture.outcome(router, i * MS, i, 0, AttemptOutcome.TIMEOUT);
            }
            for (int kind = 0; kind < 2; kind++) {
                for (int i = 0; i < 10; i++) {
                    int id = 100 + 10 * kind + i;
                    RoutingRequest request = Fixture.request(id, id, 4 * S);
                    request.requestClass = kind;
                    request.write = kind == 1;
                    request.tenant = id;
                    int rejectedBefore = caseFixture.rejected.size();
                    router.onRequest(2 * S, request, caseFixture);
                    if (kind == 0 && caseFixture.rejected.size() == rejectedBefore) {
                        router.onOutcome(
                                2 * S,
                                id,
                                0,
                                AttemptOutcome.MISS,
                                MS,
                                false,
                                CacheResult.MISS,
                                new LoadReport(),
                                caseFixture);
                    }
                    rejectedCount[kind] += caseFixture.rejected.size() - rejectedBefore;
                }
            }
        }
        assertTrue(
                rejectedCount[1] > 20 && rejectedCount[1] < rejectedCount[0],
                rejectedCount[0] + " reads, " + rejectedCount[1] + " writes");
    }

    /** A miss must not lead to an attempt outside the deduplication scope of one that may have been executed. */
    @Test
    void keepsReadWithIdempotencyKeyInItsDeduplicationScope() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENCY_KEY);
        settings.cacheAside = true;
        settings.originKind = 9;
        settings.requestClasses[0].deduplicationScope = DeduplicationScope.ZONE;
        EndpointInfo[] endpoints = Fixture.endpoints(7);
        endpoints[6].kind = 9;
        endpoints[6].zone = 1;
        FairRouter router = fixture.router(settings, 1, endpoints);
        sendOneRequest(router);
        fixture.outcome(router, MS, 1, 0, AttemptOutcome.ERROR);
        assertEquals(2, fixture.sent.size(), "retried within its zone");
        router.onOutcome(2 * MS, 1, 1, AttemptOutcome.MISS, MS, false, CacheResult.MISS, new LoadReport(), fixture);
        assertEquals(2, fixture.sent.size(), "the origin is in another zone");
        assertEquals(1, fixture.failed.size());
    }

    @Test
    void rejectsMissesWhileTheOriginFails() {
        FairRouter router = cacheAsideRouter(Idempotency.IDEMPOTENT);
        int sentToOrigin = 0;
        for (int i = 0; i < 60; i++) {
            RoutingRequest request = Fixture.request(i, 100 + i, S);
            request.tenant = i;
            router.onRequest(i * MS, request, fixture);
            if (fixture.sent.isEmpty()
                    || fixture.sent.get(fixture.sent.size() - 1).request() != i) {
                continue; // rejected for its tenant
            }
            router.onOutcome(i * MS, i, 0, AttemptOutcome.MISS, MS, false, CacheResult.MISS, new LoadReport(), fixture);
            if (fixture.lastEndpoint() == 7
                    && fixture.sent.get(fixture.sent.size() - 1).request() == i) {
                sentToOrigin++;
                fixture.outcome(router, i * MS, i, 1, AttemptOutcome.OVERLOADED);
            }
        }
        assertTrue(sentToOrigin < 20, "misses sent to the failing origin: " + sentToOrigin);
    }
}
