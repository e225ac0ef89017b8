package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Hundreds of requests a second at one proxy: isolated failures must not add up faster than they decay. */
class HighRequestRateTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;

    /** Rejected of 200 requests a second for 20 s; the first attempt of one in {@code oneIn} ends with this outcome. */
    private static int rejectedCount(int oneIn, AttemptOutcome outcome) {
        Fixture fixture = new Fixture();
        FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, Fixture.endpoints(8));
        for (int i = 1; i <= 4000; i++) {
            long nowUs = i * 5 * MS;
            int sentBefore = fixture.sent.size();
            router.onRequest(nowUs, Fixture.request(i, 1000 + i, nowUs + S), fixture);
            if (fixture.sent.size() > sentBefore) {
                fixture.outcome(router, nowUs, i, 0, i % oneIn == 0 ? outcome : AttemptOutcome.OK);
                if (fixture.sent.size() > sentBefore + 1) {
                    fixture.outcome(router, nowUs, i, 1, AttemptOutcome.OK);
                }
            }
        }
        return fixture.rejected.size();
    }

    /** With steps of a fixed size, one timeout in fifty requests would saturate a tenant's bucket. */
    @Test
    void rejectsFewRequestsWhenOneInFiftyTimesOut() {
        int rejectedCount = rejectedCount(50, AttemptOutcome.TIMEOUT);
        assertTrue(rejectedCount < 800, "rejected of 4000: " + rejectedCount);
    }

    /** With steps of a fixed size, one reset in three requests would have every endpoint passed over. */
    @Test
    void findsEndpointsWhenOneConnectionInThreeIsReset() {
        int rejectedCount = rejectedCount(3, AttemptOutcome.RESET);
        assertTrue(rejectedCount < 200, "rejected of 4000: " + rejectedCount);
    }

    /** A slow response on a connection that was idle for only 2 ms must not close it. */
    @Test
    void keepsBrieflyIdleConnectionsAfterSlowResponses() {
        Fixture fixture = new Fixture();
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.idleTimeoutUs = 600 * S;
        FairRouter router = fixture.router(settings, 1, Fixture.endpoints(1));
        for (int i = 1; i < 200; i++) {
            long nowUs = i * 100 * MS;
            fixture.timers.clear();
            int sentBefore = fixture.sent.size();
            router.onRequest(nowUs, Fixture.request(i, 42, nowUs + S), fixture);
            if (fixture.sent.size() > sentBefore) {
                fixture.fireTimers(router, nowUs + 95 * MS);
                fixture.outcome(router, nowUs + 98 * MS, i, 0, AttemptOutcome.OK);
            }
        }
        long closedCount = fixture.actions.stream()
                .filter(action -> action.startsWith("close"))
                .count();
        assertTrue(closedCount <= 2, "connections closed after the first request rates are known: " + closedCount);
    }
}
