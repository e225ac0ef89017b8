package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Random but valid event sequences from a seed: reordered and late outcomes, endpoints that drain, disappear and
 * return, failed list calls, clients that disconnect, restarts, every kind of idempotency. {@link SimulatedProxy} is
 * the caller of the router and asserts the rules that a router can keep by itself.
 */
class RandomEventSequencesTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;

    private record Attempt(long request, int number, int endpoint, long sentAtUs, long endsAtUs) {}

    private static final class RequestState {
        RoutingRequest request;
        RequestClass requestClass;
        List<Attempt> attempts = new ArrayList<>();
        List<Attempt> mayHaveRun = new ArrayList<>();
        int inFlightCount;
        boolean concluded;
    }

    private static final class SimulatedProxy implements RoutingActions {
        final TestRandom random;
        final RoutingSettings settings;
        FairRouter router;
        final Map<Long, RequestState> requestStates = new HashMap<>();
        final List<Attempt> inFlight = new ArrayList<>();
        final List<long[]> timers = new ArrayList<>();
        final Map<Integer, EndpointInfo> endpoints = new HashMap<>();
        long nowUs;
        int respondedCount;
        int sentCount;
        boolean listIsDue;
        long firstRequestOfIncarnation;

        SimulatedProxy(long seed, boolean cacheAside) {
            random = new TestRandom(seed);
            settings = Fixture.settings(
                    Idempotency.IDEMPOTENT,
                    Idempotency.IDEMPOTENCY_KEY,
                    Idempotency.NOT_IDEMPOTENT,
                    Idempotency.IDEMPOTENCY_KEY);
            settings.requestClasses[3].deduplicationScope =
                    random.nextInt(2) == 0 ? DeduplicationScope.ZONE : DeduplicationScope.CELL;
            settings.requestClasses[0].lateResponseValue = random.nextInt(2) / 2.0;
            settings.hedgingAllowed = random.nextInt(4) > 0;
            settings.subscribeRequired = random.nextInt(2) > 0;
            settings.cacheAside = cacheAside;
            settings.originKind = cacheAside ? 5 : -1;
            router = new FairRouter(settings, seed, 0, this);
            for (int i = 1; i <= 12; i++) {
                EndpointInfo endpointInfo = Fixture.endpoint(i);
                endpointInfo.zone = i % 3;
                endpointInfo.cell = i % 4;
                endpointInfo.kind = cacheAside && i == 12 ? 5 : 0;
                endpoints.put(i, endpointInfo);
            }
            updateEndpoints(EndpointListKind.CACHED, endpoints.values().toArray(new EndpointInfo[0]));
        }

        void updateEndpoints(EndpointListKind kind, EndpointInfo... entries) {
            router.onEndpointList(nowUs, kind, entries, entries.length, this);
        }

        void run(int steps) {
            for (long id = 0; id < steps; id++) {
                nowUs += random.nextInt(20) * MS;
                endDueAttemptsAndFireTimers(nowUs);
                if (random.nextInt(8) == 0) {
                    changeEndpointList();
                }
                if (random.nextInt(100) == 0) {
                    restart(id);
                }
                sendRequest(id);
                if (random.nextInt(30) == 0) {
                    RequestState disconnected = requestStates.get(
                            firstRequestOfIncarnation + random.nextInt((int) (id - firstRequestOfIncarnation) + 1));
                    disconnected.concluded = true;
                    router.onClientGone(nowUs, disconnected.request.id, this);
                }
            }
            for (int i = 0; i < 200; i++) {
                nowUs += 50 * MS;
                endDueAttemptsAndFireTimers(nowUs);
            }
            for (RequestState state : requestStates.values()) {
                assertTrue(state.concluded, "request " + state.request.id + " got no final response");
            }
        }

        /** The process is killed: its state is lost, and the next incarnation has only the last endpoint list. */
        private void restart(long firstRequestId) {
            requestStates.values().forEach(state -> state.concluded = true);
            inFlight.clear();
            timers.clear();
            listIsDue = false;
            firstRequestOfIncarnation = firstRequestId;
            router = new FairRouter(settings, firstRequestId, nowUs, this);
            updateEndpoints(EndpointListKind.CACHED, endpoints.values().toArray(new EndpointInfo[0]));
        }

        private void sendRequest(long id) {
            RequestState state = new RequestState();
            state.request = Fixture.request(id, random.nextInt(40), nowUs + (100 + random.nextInt(900)) * MS);
            state.request.requestClass = random.nextInt(4);
            state.request.tenant = random.nextInt(2);
            state.request.write = state.request.requestClass > 0 && random.nextInt(2) == 0;
            state.requestClass = settings.requestClasses[state.request.requestClass];
            requestStates.put(id, state);
            router.onRequest(nowUs, state.request, this);
        }

        private void changeEndpointList() {
            EndpointInfo endpointInfo = endpoints.get(1 + random.nextInt(12));
            endpointInfo.state = EndpointState.values()[random.nextInt(3)];
            if (endpointInfo.state == EndpointState.READY) {
                endpointInfo.startedUs =
                        random.nextInt(2) == 0 ? nowUs - random.nextInt(5) * S : endpointInfo.startedUs;
            }
            if (random.nextInt(4) == 0) {
                updateEndpoints(EndpointListKind.FULL, endpoints.values().toArray(new EndpointInfo[0]));
            } else {
                updateEndpoints(EndpointListKind.DELTA, endpointInfo);
            }
            if (listIsDue) {
                listIsDue = false;
                updateEndpoints(EndpointListKind.FAILED);
            }
        }

        /** Ends due attempts in random order, also those of concluded requests, then fires due timers. */
        private void endDueAttemptsAndFireTimers(long untilUs) {
            for (int iteration = 0; iteration < 10_000; iteration++) {
                List<Attempt> dueAttempts = inFlight.stream()
                        .filter(sentAttempt -> sentAttempt.endsAtUs <= untilUs)
                        .toList();
                if (dueAttempts.isEmpty()) {
                    break;
                }
                endAttempt(dueAttempts.get(random.nextInt(dueAttempts.size())));
            }
            List<long[]> dueTimers =
                    timers.stream().filter(timer -> timer[0] <= untilUs).toList();
            timers.removeAll(dueTimers);
            dueTimers.forEach(timer -> router.onTimer(untilUs, timer[1], this));
        }

        private void endAttempt(Attempt sentAttempt) {
            inFlight.remove(sentAttempt);
            RequestState state = requestStates.get(sentAttempt.request);
            state.inFlightCount--;
            boolean timedOut = sentAttempt.endsAtUs >= state.request.deadlineAtUs;
            AttemptOutcome outcome = timedOut
                    ? AttemptOutcome.TIMEOUT
                    : random.nextInt(3) > 0 ? AttemptOutcome.OK : AttemptOutcome.values()[random.nextInt(9)];
            if (outcome.provesNotExecuted) {
                state.mayHaveRun.remove(sentAttempt);
            }
            state.concluded |= outcome == AttemptOutcome.OK;
            CacheResult cacheResult = CacheResult.values()[random.nextInt(4)];
            router.onOutcome(
                    nowUs,
                    sentAttempt.request,
                    sentAttempt.number,
                    outcome,
                    nowUs - sentAttempt.sentAtUs,
                    state.concluded,
                    cacheResult,
                    new LoadReport(),
                    this);
            if (timedOut && state.inFlightCount == 0) {
                assertTrue(state.concluded, "no final response at the deadline of request " + sentAttempt.request);
            }
        }

        @Override
        public void sendAttempt(long request, int endpoint, long timeoutUs) {
            RequestState state = requestStates.get(request);
            sentCount++;
            assertTrue(request >= firstRequestOfIncarnation, "the router acts only on requests of this incarnation");
            assertTrue(!state.concluded, "nothing is sent after the final response");
            assertTrue(nowUs < state.request.deadlineAtUs, "nothing is sent at or after the deadline");
            assertEquals(EndpointState.READY, endpoints.get(endpoint).state, "only ready endpoints are sent attempts");
            assertTrue(state.attempts.size() < settings.maxAttempts, "attempts are limited");
            assertTrue(state.inFlightCount == 0 || settings.hedgingAllowed, "hedged requests only where allowed");
            if (settings.cacheAside && endpoints.get(endpoint).kind != 5) {
                assertTrue(!state.request.write, "cache-aside writes are sent to the origin");
            }
            if (!state.mayHaveRun.isEmpty() && state.requestClass.idempotency != Idempotency.IDEMPOTENT) {
                assertEquals(
                        Idempotency.IDEMPOTENCY_KEY,
                        state.requestClass.idempotency,
                        "a request that may have been executed is retried only with an idempotency key");
                Attempt first = state.mayHaveRun.get(0);
                assertTrue(
                        nowUs - first.sentAtUs < state.requestClass.deduplicationWindowUs,
                        "within the deduplication window");
                EndpointInfo executor = endpoints.get(first.endpoint);
                EndpointInfo selected = endpoints.get(endpoint);
                assertTrue(
                        state.requestClass.deduplicationScope == DeduplicationScope.ALL
                                || state.requestClass.deduplicationScope == DeduplicationScope.ZONE
                                        && executor.zone == selected.zone
                                || state.requestClass.deduplicationScope == DeduplicationScope.CELL
                                        && executor.cell == selected.cell,
                        "within the deduplication scope");
            }
            long latestEndUs = timeoutUs > 0
                    ? Math.min(nowUs + timeoutUs, state.request.deadlineAtUs)
                    : state.request.deadlineAtUs;
            long endsAtUs =
                    random.nextInt(12) == 0 ? latestEndUs : Math.min(latestEndUs, nowUs + random.nextInt(300) * MS);
            Attempt sentAttempt = new Attempt(request, state.attempts.size(), endpoint, nowUs, endsAtUs);
            state.attempts.add(sentAttempt);
            state.mayHaveRun.add(sentAttempt);
            state.inFlightCount++;
            inFlight.add(sentAttempt);
        }

        private void conclude(long request) {
            RequestState state = requestStates.get(request);
            assertTrue(!state.concluded, "exactly one final response");
            assertTrue(
                    nowUs <= state.request.deadlineAtUs + 70 * MS,
                    "in time, except for the delay by this caller's own steps");
            state.concluded = true;
            respondedCount++;
        }

        @Override
        public void reject(long request, long retryAfterUs) {
            RequestState state = requestStates.get(request);
            assertTrue(
                    state.mayHaveRun.isEmpty()
                            || state.requestClass.idempotency == Idempotency.IDEMPOTENT
                            || state.requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY
                                    && state.requestClass.deduplicationScope == DeduplicationScope.ALL,
                    "a rejection promises that a retry is safe");
            assertTrue(retryAfterUs <= settings.maxRetryAfterUs);
            conclude(request);
        }

        @Override
        public void fail(long request) {
            conclude(request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            assertTrue(
                    attempt < requestStates.get(request).attempts.size(),
                    "only attempts that were sent can be cancelled");
        }

        @Override
        public void startTimer(long delayUs, long label) {
            assertTrue(delayUs >= 0);
            timers.add(new long[] {nowUs + delayUs, label});
        }

        @Override
        public void checkHealth(int endpoint) {
            throw new AssertionError("this router requests no health checks");
        }

        @Override
        public void closeIdleConnections(int endpoint) {
            assertTrue(endpoints.containsKey(endpoint));
        }

        @Override
        public void subscribeToEndpoints() {
            listIsDue = true;
        }

        @Override
        public void fetchEndpoints() {
            throw new AssertionError("this router fetches no endpoint list");
        }

        @Override
        public void sendGossip(int proxy, byte[] data) {
            throw new AssertionError("this router sends no gossip");
        }

        @Override
        public void log(String line) {
            assertTrue(!line.isBlank());
        }
    }

    /** The test's own random number generator, independent of the router's. */
    private static final class TestRandom {
        private long state;

        TestRandom(long seed) {
            state = seed * 0x632be59bd9b4e019L + 1;
        }

        int nextInt(int bound) {
            state += 0x9e3779b97f4a7c15L;
            long mixed = (state ^ state >>> 30) * 0xbf58476d1ce4e5b9L;
            return (int) Long.remainderUnsigned(mixed ^ mixed >>> 27, bound);
        }
    }

    @Test
    void keepsRulesWhereEndpointsFetchForThemselves() {
        runAllSeeds(false);
    }

    @Test
    void keepsRulesInCacheAsideMode() {
        runAllSeeds(true);
    }

    private static void runAllSeeds(boolean cacheAside) {
        int respondedCount = 0;
        int sentCount = 0;
        for (long seed = 1; seed <= 60; seed++) {
            SimulatedProxy proxy = new SimulatedProxy(seed, cacheAside);
            proxy.run(300);
            respondedCount += proxy.respondedCount;
            sentCount += proxy.sentCount;
        }
        assertTrue(
                respondedCount > 1000 && sentCount > 3000,
                "enough final responses and attempts to check the rules: " + respondedCount + ", " + sentCount);
    }
}
