package cacheproxy.routing;

import java.util.ArrayList;
import java.util.List;

/** Settings, requests and endpoints for the tests, and {@link RoutingActions} that record each call. */
final class Fixture implements RoutingActions {
    /** Microseconds in a millisecond. */
    static final long MS = 1000;

    /** Microseconds in a second. */
    static final long S = 1_000_000;

    record SentAttempt(long request, int endpoint, long timeoutUs) {}

    final List<SentAttempt> sent = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> retryAfters = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    int subscriptions;

    static RoutingSettings settings(Idempotency... idempotencies) {
        RoutingSettings routerSettings = new RoutingSettings();
        routerSettings.requestClasses = new RequestClass[idempotencies.length];
        for (int i = 0; i < idempotencies.length; i++) {
            routerSettings.requestClasses[i] = new RequestClass();
            routerSettings.requestClasses[i].idempotency = idempotencies[i];
            routerSettings.requestClasses[i].latencyObjectiveUs = 300 * MS;
            routerSettings.requestClasses[i].deadlineUs = 600 * MS;
            routerSettings.requestClasses[i].deduplicationWindowUs = 2 * S;
            routerSettings.requestClasses[i].lateResponseValue = 0.5;
        }
        routerSettings.tenants = new TenantQuota[] {new TenantQuota(), new TenantQuota()};
        routerSettings.proxyCount = 4;
        routerSettings.maxAttempts = 4;
        routerSettings.hedgingAllowed = true;
        routerSettings.cancellationAllowed = true;
        routerSettings.retryAfterAllowed = true;
        routerSettings.maxRetryAfterUs = 2 * S;
        routerSettings.timerGranularityUs = 5 * MS;
        routerSettings.slowStartInitialCapacity = 0.3;
        routerSettings.slowStartUs = 10 * S;
        return routerSettings;
    }

    static EndpointInfo endpoint(int id) {
        EndpointInfo info = new EndpointInfo();
        info.id = id;
        return info;
    }

    static EndpointInfo[] endpoints(int count) {
        EndpointInfo[] endpoints = new EndpointInfo[count];
        for (int i = 0; i < count; i++) {
            endpoints[i] = endpoint(i + 1);
        }
        return endpoints;
    }

    static RoutingRequest request(long id, long key, long deadlineAtUs) {
        RoutingRequest routingRequest = new RoutingRequest();
        routingRequest.id = id;
        routingRequest.key = key;
        routingRequest.deadlineAtUs = deadlineAtUs;
        return routingRequest;
    }

    FairRouter router(RoutingSettings routerSettings, long seed, EndpointInfo... endpoints) {
        FairRouter router = new FairRouter(routerSettings, seed, 0, this);
        router.onEndpointList(0, EndpointListKind.CACHED, endpoints, endpoints.length, this);
        return router;
    }

    /** Reports the outcome of an attempt to the router; OK concludes the request. */
    void outcome(FairRouter router, long nowUs, long id, int attempt, AttemptOutcome attemptOutcome) {
        router.onOutcome(
                nowUs,
                id,
                attempt,
                attemptOutcome,
                10 * MS,
                attemptOutcome == AttemptOutcome.OK,
                CacheResult.NONE,
                new LoadReport(),
                this);
    }

    int lastEndpoint() {
        return sent.get(sent.size() - 1).endpoint();
    }

    /** Fires all timers that were started and have not fired yet. */
    void fireTimers(FairRouter router, long nowUs) {
        List<long[]> dueTimers = new ArrayList<>(timers);
        timers.clear();
        for (long[] timer : dueTimers) {
            router.onTimer(nowUs, timer[1], this);
        }
    }

    @Override
    public void sendAttempt(long request, int endpoint, long timeoutUs) {
        sent.add(new SentAttempt(request, endpoint, timeoutUs));
        actions.add("send " + request + " " + endpoint + " " + timeoutUs);
    }

    @Override
    public void reject(long request, long retryAfterUs) {
        rejected.add(request);
        retryAfters.add(retryAfterUs);
        actions.add("reject " + request + " " + retryAfterUs);
    }

    @Override
    public void fail(long request) {
        failed.add(request);
        actions.add("fail " + request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        cancelled.add(request + "/" + attempt);
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void startTimer(long delayUs, long label) {
        timers.add(new long[] {delayUs, label});
        actions.add("timer " + delayUs + " " + label);
    }

    @Override
    public void checkHealth(int endpoint) {
        actions.add("checkHealth " + endpoint);
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        actions.add("close " + endpoint);
    }

    @Override
    public void subscribeToEndpoints() {
        subscriptions++;
        actions.add("subscribe");
    }

    @Override
    public void fetchEndpoints() {
        actions.add("fetchEndpoints");
    }

    @Override
    public void sendGossip(int proxy, byte[] data) {
        actions.add("sendGossip " + proxy);
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
