package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How much the outcomes of attempts change the router's decisions, and for how long. */
class OutcomeLearningTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private final Fixture fixture = new Fixture();

    private static LoadReport reportWithUtilization(double cpuUtilization) {
        LoadReport report = new LoadReport();
        report.cpuUtilization = cpuUtilization;
        return report;
    }

    // ---- the hedging delay ----

    /** Sends a request that succeeds after this latency; returns its hedging delay. */
    private long hedgingDelayOf(FairRouter router, long id, boolean write, long latencyUs) {
        fixture.timers.clear();
        long nowUs = id * 100 * MS;
        RoutingRequest request = Fixture.request(id, SplitMix64.mix(id), nowUs + S);
        request.write = write;
        router.onRequest(nowUs, request, fixture);
        long delayUs = fixture.timers.get(0)[0];
        router.onOutcome(
                nowUs + latencyUs,
                id,
                0,
                AttemptOutcome.OK,
                latencyUs,
                true,
                CacheResult.NONE,
                reportWithUtilization(Double.NaN),
                fixture);
        return delayUs;
    }

    /** Mean read latency plus four mean deviations, between two shares of the latency objective. */
    @Test
    void hedgingDelayFollowsTheLatency() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        assertEquals(90 * MS, hedgingDelayOf(router, 1, false, 100 * MS), "no latency is known: 0.3 of the objective");
        for (int id = 2; id < 150; id++) {
            hedgingDelayOf(router, id, false, (id % 2 == 0 ? 95 : 105) * MS);
        }
        assertEquals(
                120 * MS, hedgingDelayOf(router, 150, false, 100 * MS), 4 * MS, "100 ms with a mean deviation of 5 ms");
        for (int id = 151; id < 200; id++) {
            hedgingDelayOf(router, id, true, 5 * MS);
        }
        assertEquals(
                120 * MS, hedgingDelayOf(router, 200, false, 100 * MS), 5 * MS, "latencies of writes do not count");
        for (int id = 201; id < 300; id++) {
            hedgingDelayOf(router, id, false, 290 * MS);
        }
        assertEquals(180 * MS, hedgingDelayOf(router, 300, false, 100 * MS), "at most 0.6 of the objective");
    }

    // ---- reported and estimated load ----

    /**
     * Whether a key moves to its second candidate after a request for another key with the same first candidate,
     * endpoint 1, had this outcome.
     */
    private static boolean movesToSecondCandidate(
            CacheResult cacheResult, LoadReport report, long latencyUs, double expectedWorkUs) {
        int movedCount = 0;
        int testedCount = 0;
        for (long key = 1; testedCount < 20; key++) {
            Fixture probeFixture = new Fixture();
            probeFixture
                    .router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(2))
                    .onRequest(0, Fixture.request(1, SplitMix64.mix(key), S), probeFixture);
            if (probeFixture.lastEndpoint() != 1) {
                continue;
            }
            testedCount++;
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(2));
            RoutingRequest first = Fixture.request(1, otherKeyOfEndpointOne(key), S);
            first.expectedWorkUs = expectedWorkUs;
            router.onRequest(0, first, caseFixture);
            assertEquals(1, caseFixture.lastEndpoint());
            router.onOutcome(latencyUs, 1, 0, AttemptOutcome.OK, latencyUs, true, cacheResult, report, caseFixture);
            router.onRequest(latencyUs + MS, Fixture.request(2, SplitMix64.mix(key), latencyUs + S), caseFixture);
            movedCount += caseFixture.lastEndpoint() == 1 ? 0 : 1;
        }
        assertTrue(movedCount == 0 || movedCount == testedCount, movedCount + " of " + testedCount);
        return movedCount > 0;
    }

    /** Another key whose first candidate is endpoint 1, so that neither key is popular. */
    private static long otherKeyOfEndpointOne(long offset) {
        for (long key = 1_000_000 + offset; ; key++) {
            Fixture caseFixture = new Fixture();
            caseFixture
                    .router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(2))
                    .onRequest(0, Fixture.request(1, SplitMix64.mix(key), S), caseFixture);
            if (caseFixture.lastEndpoint() == 1) {
                return SplitMix64.mix(key);
            }
        }
    }

    @Test
    void prefersOnlyClearlyLessBusyCandidate() {
        assertTrue(movesToSecondCandidate(CacheResult.NONE, reportWithUtilization(0.9), 10 * MS, 0));
        assertTrue(
                !movesToSecondCandidate(CacheResult.NONE, reportWithUtilization(0.15), 10 * MS, 0),
                "a small difference is noise");
        assertTrue(
                !movesToSecondCandidate(CacheResult.HIT, reportWithUtilization(0), 200 * MS, 0),
                "a report of no load overrides the latency");
    }

    /** Without reports: the latency of a hit beyond its expected work, as a share of the objective. */
    @Test
    void estimatesLoadFromLatencyOfHitsWithoutReports() {
        assertTrue(movesToSecondCandidate(CacheResult.HIT, reportWithUtilization(Double.NaN), 200 * MS, 0));
        assertTrue(
                !movesToSecondCandidate(CacheResult.HIT, reportWithUtilization(Double.NaN), 200 * MS, 190 * MS),
                "the latency was its expected work");
        assertTrue(
                !movesToSecondCandidate(CacheResult.HIT, reportWithUtilization(Double.NaN), 40 * MS, 0),
                "a small difference is noise");
        assertTrue(
                !movesToSecondCandidate(CacheResult.MISS, reportWithUtilization(Double.NaN), 200 * MS, 0),
                "the latency was due to the origin");
        assertTrue(
                !movesToSecondCandidate(CacheResult.NONE, reportWithUtilization(Double.NaN), 200 * MS, 0),
                "the cause of the latency is unknown");
    }

    // ---- evidence against an endpoint ----

    /** Attempts at endpoint 1 of 4 in the last 100 of 300 requests; its outcomes repeat in this order. */
    private static int sentToFailingEndpoint(
            long intervalUs, long latencyUs, CacheResult cacheResult, AttemptOutcome... outcomes) {
        Fixture caseFixture = new Fixture();
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.requestClasses[0].deadlineUs = 10 * S;
        settings.hedgingAllowed = false;
        FairRouter router = caseFixture.router(settings, 1, Fixture.endpoints(4));
        int sentToFailingEndpoint = 0;
        int outcomeIndex = 0;
        for (int i = 0; i < 300; i++) {
            long nowUs = i * intervalUs;
            int sentBefore = caseFixture.sent.size();
            RoutingRequest request = Fixture.request(i, SplitMix64.mix(i + 1), nowUs + 10 * S);
            request.tenant = i % 2;
            router.onRequest(nowUs, request, caseFixture);
            for (int attempt = 0; caseFixture.sent.size() > sentBefore + attempt; attempt++) {
                boolean atFailingEndpoint = caseFixture.lastEndpoint() == 1;
                sentToFailingEndpoint += atFailingEndpoint && i >= 200 ? 1 : 0;
                AttemptOutcome outcome =
                        atFailingEndpoint ? outcomes[outcomeIndex++ % outcomes.length] : AttemptOutcome.OK;
                router.onOutcome(
                        nowUs + (atFailingEndpoint ? latencyUs : MS),
                        i,
                        attempt,
                        outcome,
                        atFailingEndpoint ? latencyUs : MS,
                        outcome == AttemptOutcome.OK,
                        atFailingEndpoint ? cacheResult : CacheResult.NONE,
                        reportWithUtilization(Double.NaN),
                        caseFixture);
            }
        }
        return sentToFailingEndpoint;
    }

    @Test
    void lateResponsesCountAgainstTheirEndpoint() {
        int sentWhenInTime = sentToFailingEndpoint(500 * MS, 290 * MS, CacheResult.NONE, AttemptOutcome.OK);
        int sentWhenLate = sentToFailingEndpoint(500 * MS, 310 * MS, CacheResult.NONE, AttemptOutcome.OK);
        assertTrue(
                sentWhenInTime > 15 && sentWhenLate < sentWhenInTime * 0.8,
                sentWhenLate + " late, " + sentWhenInTime + " in time");
    }

    /** The origin was slow; passing over the endpoint would lose the keys that it caches. */
    @Test
    void lateFetchedResponsesDoNotCountAgainstTheEndpoint() {
        int sentWhenFetched = sentToFailingEndpoint(500 * MS, 310 * MS, CacheResult.MISS, AttemptOutcome.OK);
        assertTrue(sentWhenFetched > 15, sentWhenFetched + " of about 25");
    }

    /** A success undoes a fifth of a failure, so a failure rate of one half must have an effect. */
    @Test
    void passesOverEndpointThatFailsHalfTheTimeSometimes() {
        int sentWhenHalfFail =
                sentToFailingEndpoint(100 * MS, MS, CacheResult.NONE, AttemptOutcome.ERROR, AttemptOutcome.OK);
        int sentWhenNoneFail = sentToFailingEndpoint(100 * MS, MS, CacheResult.NONE, AttemptOutcome.OK);
        assertTrue(
                sentWhenHalfFail < sentWhenNoneFail * 0.8 && sentWhenHalfFail > 5,
                sentWhenHalfFail + " and " + sentWhenNoneFail);
    }

    /** A proxy that uses an endpoint only every few minutes must not forget an outlier between two uses. */
    @Test
    void remembersFailuresLongerAtLowRequestRate() {
        int passedOverCount = 0;
        int testedCount = 0;
        for (long key = 1; key <= 300; key++) {
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(2));
            router.onRequest(0, Fixture.request(0, 1, S), caseFixture); // starts the observed time
            caseFixture.outcome(router, 0, 0, 0, AttemptOutcome.OK);
            router.onRequest(100 * S, Fixture.request(1, SplitMix64.mix(key), 101 * S), caseFixture);
            if (caseFixture.lastEndpoint() == 1) {
                caseFixture.outcome(router, 100 * S, 1, 0, AttemptOutcome.CONNECT_FAILED);
                testedCount++;
                router.onRequest(115 * S, Fixture.request(2, SplitMix64.mix(key), 116 * S), caseFixture);
                passedOverCount += caseFixture.lastEndpoint() == 1 ? 0 : 1;
            }
        }
        assertTrue(
                passedOverCount > testedCount / 2,
                passedOverCount + " of " + testedCount + " after 15 s; at a high rate the time constant is 5 s");
    }

    // ---- evidence against a tenant ----

    /** A request with three failed attempts counts once, so that retries do not get their tenant rejected sooner. */
    @Test
    void countsRequestAsOneFailureAtMost() {
        List<Integer> rejectedCount = new ArrayList<>();
        for (int maxAttempts : new int[] {1, 3}) {
            int rejectedSum = 0;
            for (int seed = 1; seed <= 40; seed++) {
                Fixture caseFixture = new Fixture();
                RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
                settings.maxAttempts = maxAttempts;
                FairRouter router = caseFixture.router(settings, seed, Fixture.endpoints(8));
                long id = 0;
                for (int i = 0; i < 200; i++, id++) { // fills the retry budget
                    router.onRequest(
                            i * 50 * MS, Fixture.request(id, SplitMix64.mix(id), i * 50 * MS + S), caseFixture);
                    caseFixture.outcome(router, i * 50 * MS, id, 0, AttemptOutcome.OK);
                }
                router.onRequest(10 * S, Fixture.request(id, 5, 11 * S), caseFixture);
                for (int attempt = 0; attempt < maxAttempts; attempt++) {
                    caseFixture.outcome(router, 10 * S, id, attempt, AttemptOutcome.OVERLOADED);
                }
                assertEquals(
                        maxAttempts,
                        caseFixture.sent.stream()
                                .filter(sentAttempt -> sentAttempt.request() == 200)
                                .count());
                int rejectedBefore = caseFixture.rejected.size();
                for (int i = 0; i < 100; i++) {
                    router.onRequest(10 * S, Fixture.request(++id, SplitMix64.mix(id), 11 * S), caseFixture);
                }
                rejectedSum += caseFixture.rejected.size() - rejectedBefore;
            }
            rejectedCount.add(rejectedSum);
        }
        assertTrue(rejectedCount.get(0) > 50, rejectedCount.toString());
        assertEquals(rejectedCount.get(0), rejectedCount.get(1), rejectedCount.get(0) * 0.35, rejectedCount.toString());
    }

    private void failRequests(FairRouter router, int firstId, int count, long fromUs) {
        for (int i = 0; i < count; i++) {
            long nowUs = fromUs + i * 20 * MS;
            int sentBefore = fixture.sent.size();
            router.onRequest(
                    nowUs, Fixture.request(firstId + i, SplitMix64.mix(firstId + i), nowUs + 600 * MS), fixture);
            for (int attempt = 0; fixture.sent.size() > sentBefore + attempt; attempt++) {
                fixture.outcome(router, nowUs, firstId + i, attempt, AttemptOutcome.TIMEOUT);
            }
        }
    }

    private int rejectedCount(FairRouter router, int firstId, int count, long nowUs) {
        int rejectedBefore = fixture.rejected.size();
        for (int i = firstId; i < firstId + count; i++) {
            router.onRequest(nowUs, Fixture.request(i, SplitMix64.mix(i), nowUs + 600 * MS), fixture);
        }
        return fixture.rejected.size() - rejectedBefore;
    }

    /** Many proxies send trial requests to saturated endpoints, so each sends fewer after consecutive failures. */
    @Test
    void consecutiveFailuresSlowTheDecay() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        failRequests(router, 1000, 200, 0);
        int rejectedCount = rejectedCount(router, 5000, 200, 14 * S);
        assertTrue(
                rejectedCount > 60,
                rejectedCount + " of 200 after 10 s; without consecutive failures the time constant is 3 s");
    }

    /** The standby table has recorded the same outcomes as the active one, and decays as slowly. */
    @Test
    void keepsProbabilitiesAcrossRotation() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        router.onRequest(61 * S, Fixture.request(1, 1, 62 * S), fixture);
        fixture.outcome(router, 61 * S, 1, 0, AttemptOutcome.OK); // the first rotation was due; the next is at 121 s
        failRequests(router, 1000, 200, 116 * S);
        int rejectedCount = rejectedCount(router, 5000, 200, 130 * S);
        assertTrue(rejectedCount > 60, rejectedCount + " of 200 after 10 s");
    }

    // ---- requests that are not sent, and log lines ----

    @Test
    void rejectsRequestWhoseDeadlineHasPassed() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(3));
        router.onRequest(S, Fixture.request(1, 42, S), fixture);
        assertEquals(List.of(), fixture.sent);
        assertEquals(List.of(1L), fixture.rejected);
    }

    /** Attempts end two timer granularities before the objective, or at the deadline if that is earlier. */
    @Test
    void limitsAttemptsToTheObjectiveWhereLateResponsesHaveNoValue() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.requestClasses[0].lateResponseValue = 0;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(3));
        router.onRequest(100 * S, Fixture.request(1, 42, 101 * S), fixture);
        assertEquals(290 * MS, fixture.sent.get(0).timeoutUs());
        router.onRequest(100 * S, Fixture.request(2, 42, 100 * S + 200 * MS), fixture);
        assertEquals(0, fixture.sent.get(1).timeoutUs(), "until the deadline");
    }

    /**
     * The window (until 105.49 s) outlasts the client's last retry (105 s), so Retry-After is not bounded. The clock is
     * at 100 s: the result depends on the remaining time, not on the clock.
     */
    @Test
    void doesNotBoundRetryAfterIfWindowOutlastsTheDeadline() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENCY_KEY);
        settings.requestClasses[0].deduplicationWindowUs = 5500 * MS;
        settings.requestClasses[0].deadlineUs = 5 * S;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(1));
        router.onRequest(100 * S, Fixture.request(1, 42, 105 * S), fixture);
        fixture.outcome(router, 104_900 * MS, 1, 0, AttemptOutcome.ERROR);
        assertEquals(List.of(1L), fixture.rejected, fixture.actions.toString());
        assertTrue(
                fixture.retryAfters.get(0) > 390 * MS,
                "Retry-After is bounded by the 0.59 s that the window still lasts: " + fixture.retryAfters);
    }

    @Test
    void sendsRequestOfTheFirstUnknownTenant() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(3));
        RoutingRequest request = Fixture.request(1, 42, S);
        request.tenant = 2;
        router.onRequest(0, request, fixture);
        assertEquals(1, fixture.sent.size());
    }

    @Test
    void retriesIdempotentRequestWithoutIdempotencyKey() {
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(3));
        RoutingRequest request = Fixture.request(1, 42, S);
        request.withoutIdempotencyKey = true;
        router.onRequest(0, request, fixture);
        fixture.outcome(router, MS, 1, 0, AttemptOutcome.RESET);
        assertEquals(2, fixture.sent.size());
        assertNotEquals(fixture.sent.get(0).endpoint(), fixture.sent.get(1).endpoint());
    }

    /** The backoff is 1 to 2 s after the first failure and 2 to 4 s after further ones; the failure is logged. */
    @Test
    void backsOffAfterFailedEndpointListCalls() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.subscribeRequired = true;
        double[] meanRatios = new double[5];
        for (int seed = 1; seed <= 200; seed++) {
            Fixture caseFixture = new Fixture();
            FairRouter router = caseFixture.router(settings, seed * 7919, Fixture.endpoints(2));
            caseFixture.timers.clear();
            for (int i = 0; i < meanRatios.length; i++) {
                if (i == 4) {
                    router.onEndpointList(i * S, EndpointListKind.FULL, Fixture.endpoints(2), 2, caseFixture);
                }
                router.onEndpointList(i * S, EndpointListKind.FAILED, new EndpointInfo[0], 0, caseFixture);
                long delayUs = caseFixture.timers.remove(0)[0];
                double meanUs = i == 4 || i == 0 ? 1.5e6 : 3e6;
                assertTrue(delayUs >= meanUs / 1.5 && delayUs <= meanUs / 0.75, delayUs + " us at failure " + i);
                meanRatios[i] += delayUs / meanUs / 200;
            }
            assertTrue(
                    caseFixture.actions.contains("log node list call failed: origin chance 0.00, failures running 0,"
                            + " list calls failed 0"),
                    caseFixture.actions.toString());
        }
        for (double meanRatio : meanRatios) {
            assertEquals(1, meanRatio, 0.1, "the backoffs are spread over the whole range");
        }
    }
}
