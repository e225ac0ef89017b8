package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Requests not sent to a warming endpoint, because they would add to the share of keys that all proxies send it. */
class SlowStartExclusionTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private static final int WARMING_ENDPOINT = 1;

    private static EndpointInfo[] endpoints(int count) {
        EndpointInfo[] endpoints = Fixture.endpoints(count);
        endpoints[0].startedUs = 0;
        return endpoints;
    }

    /** Otherwise retries after failures of many endpoints would overload the one with the least capacity. */
    @Test
    void sendsNoRetryToWarmingEndpoint() {
        int sentToWarmingFirst = 0;
        for (long key = 1; key <= 400; key++) {
            Fixture fixture = new Fixture();
            FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, endpoints(2));
            router.onRequest(5 * S, Fixture.request(1, key, 6 * S), fixture);
            boolean sentToWarming = fixture.lastEndpoint() == WARMING_ENDPOINT;
            sentToWarmingFirst += sentToWarming ? 1 : 0;
            fixture.outcome(router, 5 * S + MS, 1, 0, AttemptOutcome.CONNECT_FAILED);
            assertEquals(sentToWarming ? 2 : 1, fixture.sent.size(), "key " + key + ": " + fixture.actions);
        }
        assertTrue(sentToWarmingFirst > 20, "half warmed up, it is sent first attempts: " + sentToWarmingFirst);
    }

    /** Every proxy sends a popular key to many endpoints, so it would add load to the warming one. */
    @Test
    void sendsNoPopularKeyToWarmingEndpoint() {
        for (long key = 1; key <= 60; key++) {
            Fixture fixture = new Fixture();
            FairRouter router = fixture.router(Fixture.settings(Idempotency.IDEMPOTENT), 1, endpoints(4));
            for (int i = 0; i < 60; i++) {
                long nowUs = 5 * S + i * 10 * MS;
                router.onRequest(nowUs, Fixture.request(i, key, nowUs + S), fixture);
                assertEquals(i + 1, fixture.sent.size());
                assertTrue(i < 5 || fixture.lastEndpoint() != WARMING_ENDPOINT, "key " + key + " at request " + i);
                fixture.outcome(router, nowUs + MS, i, 0, AttemptOutcome.OK);
            }
        }
    }
}
