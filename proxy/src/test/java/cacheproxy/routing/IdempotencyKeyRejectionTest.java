package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A rejection tells the client that a retry is safe. Guards against a second execution: a request with an idempotency
 * key that may have been executed must not be retried after the endpoints' deduplication window.
 */
class IdempotencyKeyRejectionTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;

    /** The deduplication window ends 0.6 s after the attempt, long before the client's last possible retry. */
    private static RoutingSettings settings() {
        RoutingSettings routerSettings = Fixture.settings(Idempotency.IDEMPOTENCY_KEY);
        routerSettings.requestClasses[0].deadlineUs = 5 * S;
        routerSettings.requestClasses[0].latencyObjectiveUs = 750 * MS;
        routerSettings.requestClasses[0].deduplicationWindowUs = 600 * MS;
        routerSettings.hedgingAllowed = false;
        return routerSettings;
    }

    /** Sends one request at time 0 to the only endpoint; its attempt ends at this time with this outcome. */
    private static Fixture afterAttemptEnded(RoutingSettings routerSettings, AttemptOutcome outcome, long endedAtUs) {
        Fixture fixture = new Fixture();
        FairRouter router = fixture.router(routerSettings, 1, Fixture.endpoints(1));
        router.onRequest(0, Fixture.request(1, 42, 5 * S), fixture);
        assertEquals(1, fixture.sent.size());
        fixture.outcome(router, endedAtUs, 1, 0, outcome);
        assertEquals(1, fixture.sent.size(), "there is no other endpoint for a retry");
        assertEquals(1, fixture.rejected.size() + fixture.failed.size(), "exactly one final response");
        return fixture;
    }

    /** The Retry-After of an otherwise equal idempotent request. */
    private static List<Long> idempotentRetryAfters(
            RoutingSettings routerSettings, AttemptOutcome outcome, long endedAtUs) {
        Idempotency idempotency = routerSettings.requestClasses[0].idempotency;
        routerSettings.requestClasses[0].idempotency = Idempotency.IDEMPOTENT;
        List<Long> retryAfters = afterAttemptEnded(routerSettings, outcome, endedAtUs).retryAfters;
        routerSettings.requestClasses[0].idempotency = idempotency;
        assertEquals(1, retryAfters.size());
        return retryAfters;
    }

    private static final List<AttemptOutcome> MAY_HAVE_RUN =
            List.of(AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET);

    @Test
    void failsRequestAfterItsDeduplicationWindow() {
        for (AttemptOutcome outcome : MAY_HAVE_RUN) {
            for (long endedAtUs : new long[] {600 * MS, 601 * MS, 1400 * MS, 4 * S}) {
                Fixture fixture = afterAttemptEnded(settings(), outcome, endedAtUs);
                assertEquals(List.of(1L), fixture.failed, outcome + " after " + endedAtUs + ": " + fixture.actions);
            }
        }
    }

    /** Retry-After is 0.4 s or more where nothing bounds it. */
    @Test
    void retryAfterEndsWithinTheDeduplicationWindow() {
        for (AttemptOutcome outcome : MAY_HAVE_RUN) {
            for (long endedAtUs = 0; endedAtUs < 600 * MS; endedAtUs += 5 * MS) {
                Fixture fixture = afterAttemptEnded(settings(), outcome, endedAtUs);
                if (fixture.rejected.size() == 1) {
                    long retryAfterUs = fixture.retryAfters.get(0);
                    assertTrue(
                            retryAfterUs > 0,
                            "without Retry-After the client may retry at any time: after " + endedAtUs);
                    assertTrue(
                            endedAtUs + retryAfterUs < 600 * MS,
                            "rejected after " + endedAtUs + " with Retry-After " + retryAfterUs);
                }
            }
        }
    }

    /** Clients wait slightly longer than Retry-After, and their request takes time to arrive. */
    @Test
    void failsRequestShortlyBeforeTheEndOfItsWindow() {
        for (AttemptOutcome outcome : MAY_HAVE_RUN) {
            Fixture fixture = afterAttemptEnded(settings(), outcome, 598 * MS);
            assertEquals(List.of(1L), fixture.failed, fixture.actions.toString());
        }
    }

    /** A failed request has no value and the client may give up, so it is rejected while the window allows. */
    @Test
    void rejectsRequestWhoseWindowCoversRetryAfter() {
        Fixture fixtureSoonAfter = afterAttemptEnded(settings(), AttemptOutcome.ERROR, 10 * MS);
        assertEquals(List.of(1L), fixtureSoonAfter.rejected, fixtureSoonAfter.actions.toString());
        Fixture fixtureLater = afterAttemptEnded(settings(), AttemptOutcome.ERROR, 300 * MS);
        assertEquals(List.of(1L), fixtureLater.rejected, "with a shorter Retry-After: " + fixtureLater.actions);
    }

    /** The connection for the client's retry may take up to the connect timeout to open. */
    @Test
    void retryAfterLeavesTimeToConnect() {
        RoutingSettings routerSettings = settings();
        routerSettings.connectTimeoutUs = 250 * MS;
        for (long endedAtUs = 0; endedAtUs < 600 * MS; endedAtUs += 5 * MS) {
            Fixture fixture = afterAttemptEnded(routerSettings, AttemptOutcome.ERROR, endedAtUs);
            if (fixture.rejected.size() == 1) {
                assertTrue(
                        endedAtUs + fixture.retryAfters.get(0) + 250 * MS < 600 * MS,
                        "after " + endedAtUs + ": " + fixture.actions);
            }
        }
    }

    @Test
    void windowBeyondTheLastClientRetryDoesNotLimitRetryAfter() {
        RoutingSettings routerSettings = settings();
        routerSettings.requestClasses[0].deduplicationWindowUs = 5500 * MS;
        for (long endedAtUs : new long[] {10 * MS, 1400 * MS, 4500 * MS, 4900 * MS}) {
            Fixture fixture = afterAttemptEnded(routerSettings, AttemptOutcome.ERROR, endedAtUs);
            assertEquals(
                    idempotentRetryAfters(routerSettings, AttemptOutcome.ERROR, endedAtUs),
                    fixture.retryAfters,
                    fixture.actions.toString());
        }
        routerSettings.retryAfterAllowed = false;
        Fixture fixture = afterAttemptEnded(routerSettings, AttemptOutcome.ERROR, 1400 * MS);
        assertEquals(List.of(0L), fixture.retryAfters, fixture.actions.toString());
    }

    /** Without Retry-After a client may retry at any time until its last retry. */
    @Test
    void failsRequestWithShortWindowWhereRetryAfterIsNotAllowed() {
        RoutingSettings routerSettings = settings();
        routerSettings.retryAfterAllowed = false;
        for (long endedAtUs : new long[] {10 * MS, 300 * MS, 1400 * MS}) {
            Fixture fixture = afterAttemptEnded(routerSettings, AttemptOutcome.ERROR, endedAtUs);
            assertEquals(List.of(1L), fixture.failed, "after " + endedAtUs + ": " + fixture.actions);
        }
    }

    @Test
    void windowStartsWithTheFirstAttemptThatMayHaveBeenExecuted() {
        Fixture fixture = new Fixture();
        FairRouter router = fixture.router(settings(), 1, Fixture.endpoints(2));
        router.onRequest(0, Fixture.request(1, 42, 5 * S), fixture);
        fixture.outcome(router, 400 * MS, 1, 0, AttemptOutcome.ERROR);
        assertEquals(2, fixture.sent.size(), "retried within its window");
        fixture.outcome(router, 700 * MS, 1, 1, AttemptOutcome.ERROR);
        assertEquals(List.of(1L), fixture.failed, fixture.actions.toString());
    }

    /** An attempt that was certainly not executed does not start the deduplication window. */
    @Test
    void rejectsRequestThatWasNotExecutedAtAnyTime() {
        for (AttemptOutcome outcome : List.of(AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED)) {
            Fixture fixture = afterAttemptEnded(settings(), outcome, 1400 * MS);
            assertEquals(
                    idempotentRetryAfters(settings(), outcome, 1400 * MS),
                    fixture.retryAfters,
                    fixture.actions.toString());
        }
        Fixture fixture = new Fixture();
        FairRouter router = fixture.router(settings(), 1, Fixture.endpoints(2));
        router.onRequest(0, Fixture.request(1, 42, 5 * S), fixture);
        fixture.outcome(router, 1000 * MS, 1, 0, AttemptOutcome.CONNECT_FAILED);
        assertEquals(2, fixture.sent.size());
        fixture.outcome(router, 1010 * MS, 1, 1, AttemptOutcome.ERROR);
        assertEquals(
                List.of(1L), fixture.rejected, "its window has only begun with the second attempt: " + fixture.actions);
    }

    /** An attempt that is in flight at the deadline may still be executed. */
    @Test
    void failsRequestAfterItsWindowWhoseAttemptTimedOutAtTheDeadline() {
        Fixture fixture = new Fixture();
        FairRouter router = fixture.router(settings(), 1, Fixture.endpoints(1));
        router.onRequest(0, Fixture.request(1, 42, 1400 * MS), fixture);
        fixture.outcome(router, 1400 * MS, 1, 0, AttemptOutcome.TIMEOUT);
        assertEquals(List.of(1L), fixture.failed, fixture.actions.toString());
    }

    /**
     * After a pause of the proxy a connection may open as late as half the drain grace, and the request that waited for
     * it is only sent then, later than the usual connect timeout.
     */
    @Test
    void deduplicationUntilDeadlineAllowsForTheLatestConnect() {
        RoutingSettings routerSettings = settings();
        routerSettings.connectTimeoutUs = 50 * MS;
        routerSettings.drainGraceUs = 500 * MS;
        RequestClass requestClass = routerSettings.requestClasses[0];
        requestClass.deduplicationWindowUs = requestClass.deadlineUs + 249 * MS;
        assertEquals(false, requestClass.isDeduplicatedUntilDeadline(routerSettings));
        requestClass.deduplicationWindowUs = requestClass.deadlineUs + 250 * MS;
        assertEquals(true, requestClass.isDeduplicatedUntilDeadline(routerSettings));
        assertEquals(50 * MS, routerSettings.effectiveConnectTimeoutUs());
        routerSettings.drainGraceUs = 0;
        assertEquals(250 * MS, routerSettings.latestConnectUs(), "without a drain grace");
    }

    /** A retry may be sent until 600 ms less two timer granularities and 250 ms for the connection. */
    @Test
    void retriesOnlyWhileTheWindowAllowsForTheLatestConnect() {
        RoutingSettings routerSettings = settings();
        routerSettings.connectTimeoutUs = 50 * MS;
        routerSettings.drainGraceUs = 500 * MS;
        for (long endedAtUs : new long[] {330 * MS, 350 * MS}) {
            Fixture fixture = new Fixture();
            FairRouter router = fixture.router(routerSettings, 1, Fixture.endpoints(2));
            router.onRequest(0, Fixture.request(1, 42, 5 * S), fixture);
            fixture.outcome(router, endedAtUs, 1, 0, AttemptOutcome.ERROR);
            assertEquals(endedAtUs < 340 * MS ? 2 : 1, fixture.sent.size(), "after " + endedAtUs + " us");
        }
    }
}
