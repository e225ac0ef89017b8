package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the number of requests. */
class BoundedMemoryTest {
    private static final long S = Fixture.S;

    /** Concluded requests are not retained, however they end: 300,000 of one kind would take 70 MB. */
    @Test
    void doesNotRetainConcludedRequests() {
        RoutingSettings settings = Fixture.settings(Idempotency.NOT_IDEMPOTENT);
        settings.maxAttempts = 1;
        settings.hedgingAllowed = false;
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.CANCELLED)) {
            Fixture fixture = new Fixture();
            FairRouter router = fixture.router(settings, 1, Fixture.endpoints(2));
            long usedBeforeBytes = usedHeapBytes();
            for (int i = 0; i < 300_000; i++) {
                long nowUs = i * 60 * S; // far enough apart for failures to decay
                router.onRequest(nowUs, Fixture.request(i, SplitMix64.mix(i), nowUs + S), fixture);
                if (!fixture.sent.isEmpty()) {
                    if (outcome == AttemptOutcome.CANCELLED) {
                        router.onClientGone(nowUs, i, fixture);
                    }
                    fixture.outcome(router, nowUs, i, 0, outcome);
                }
                fixture.sent.clear();
                fixture.actions.clear();
                fixture.rejected.clear();
                fixture.retryAfters.clear();
                fixture.failed.clear();
                fixture.timers.clear();
                fixture.cancelled.clear();
            }
            long grownBytes = usedHeapBytes() - usedBeforeBytes;
            assertTrue(grownBytes < 25 << 20, outcome + ": " + (grownBytes >> 20) + " MB more");
            router.onRequest(
                    1L << 50, Fixture.request(1 << 20, 1, 1L << 51), fixture); // keeps the router reachable until here
        }
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
