package cacheproxy.server;

import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.eventloop.FaultGuard;
import cacheproxy.memcache.MetaCommand;
import cacheproxy.memcache.MetaResponse;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CacheResult;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.EndpointListKind;
import cacheproxy.routing.LoadReport;
import cacheproxy.routing.RequestRouter;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingRequest;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.upstream.Attempt;
import cacheproxy.upstream.AttemptCompletion;
import java.util.ArrayDeque;

/**
 * Delivers events to the router one at a time: an event caused by an action of the router is delivered after the router
 * has returned.
 *
 * <p>After a long stall of the event loop, events other than endpoint lists are held back until all input that arrived
 * during the stall has been read. That input may contain an endpoint list with an endpoint that has been draining for a
 * while; deciding earlier would use outdated state. Used on the event loop only.
 */
final class RouterDispatcher {
    /** Stalls longer than this hold events back, however long the drain grace period is. */
    private static final long MAX_UNREAD_STALL_US = 250_000;
    /**
     * Stalls longer than this fraction (1/n) of the drain grace period hold events back; the rest of the period is left
     * for establishing a connection.
     */
    private static final long DRAIN_GRACE_DIVISOR = 4;

    private final EventLoopClock clock;
    private final FaultGuard faults;
    /** Stalls longer than this hold events back, in microseconds. */
    private final long holdAfterStallUs;

    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private final ArrayDeque<Runnable> heldBack = new ArrayDeque<>();
    /** Reused for every event. */
    private final RoutingRequest request = new RoutingRequest();

    private final LoadReport report = new LoadReport();
    private RequestRouter router;
    private RoutingActions actions;
    private Runnable onReleased = () -> {};
    private boolean delivering;

    RouterDispatcher(RoutingSettings settings, EventLoopClock clock, FaultGuard faults) {
        this.clock = clock;
        this.faults = faults;
        long graceUs = settings.drainGraceUs;
        holdAfterStallUs =
                graceUs > 0 ? Math.min(MAX_UNREAD_STALL_US, graceUs / DRAIN_GRACE_DIVISOR) : MAX_UNREAD_STALL_US;
    }

    /** Sets the router and the handler of its actions; called before the first event is delivered. */
    void begin(RequestRouter router, RoutingActions actions) {
        this.router = router;
        this.actions = actions;
    }

    /** Sets a task that runs after held back events have been delivered. */
    void onReleased(Runnable task) {
        onReleased = task;
    }

    /** Whether events are held back, so that the router has not been notified of everything yet. */
    boolean isHoldingBack() {
        return !heldBack.isEmpty();
    }

    /** The number of events that are not delivered yet. */
    int undelivered() {
        return queue.size() + heldBack.size();
    }

    void requestArrived(RequestExchange exchange) {
        dispatch(() -> {
            if (exchange.answered) {
                return; // its client closed the connection while the event was held back
            }
            exchange.command.describe(request);
            request.id = exchange.id;
            request.deadlineAtUs = exchange.dueUs;
            router.onRequest(clock.nowUs(), request, actions);
        });
    }

    /** Whether a command that is not passed to the router may be rejected; see {@link RequestRouter#mayReject}. */
    boolean mayReject(MetaCommand command) {
        RoutingRequest unseen = new RoutingRequest();
        command.describe(unseen);
        return router.mayReject(clock.nowUs(), unseen);
    }

    void clientGone(RequestExchange exchange) {
        dispatch(() -> router.onClientGone(clock.nowUs(), exchange.id, actions));
    }

    /** {@code response} is null if the attempt ended without one. */
    void attemptCompleted(
            RequestExchange exchange,
            Attempt attempt,
            AttemptCompletion completion,
            long latencyUs,
            MetaResponse response) {
        dispatch(() -> {
            if (response != null) {
                response.readLoadReport(report);
            } else {
                report.clear();
            }
            router.onOutcome(
                    clock.nowUs(),
                    exchange.id,
                    attempt.number(),
                    completion.outcome(),
                    latencyUs,
                    exchange.answered,
                    response == null ? CacheResult.NONE : response.cacheNote(),
                    report,
                    actions);
        });
    }

    void timerExpired(long label) {
        dispatch(() -> router.onTimer(clock.nowUs(), label, actions));
    }

    /** Notifies the router that no health check was sent, because health checks are not supported. */
    void healthCheckNotSent(int endpoint) {
        dispatch(() -> {
            report.clear();
            router.onHealthCheck(clock.nowUs(), endpoint, AttemptOutcome.NOT_SENT, 0, report, actions);
        });
    }

    /** Delivers an endpoint list; lists are never held back. */
    void endpointListReceived(EndpointListKind kind, EndpointInfo[] endpoints) {
        deliver(() -> router.onEndpointList(clock.nowUs(), kind, endpoints, endpoints.length, actions));
    }

    /** Tells the router whether the endpoint list may be out of date; never held back. */
    void endpointListOutdated(boolean outdated) {
        deliver(() -> router.onEndpointListOutdated(clock.nowUs(), outdated));
    }

    private void dispatch(Runnable event) {
        if (heldBack.isEmpty() && clock.stalledForUs(clock.nowUs()) <= holdAfterStallUs) {
            deliver(event);
            return;
        }
        heldBack.add(event);
        if (heldBack.size() == 1) {
            clock.scheduleAfterRead(this::release);
        }
    }

    private void release() {
        for (Runnable next = heldBack.peek(); next != null; next = heldBack.peek()) {
            try {
                deliver(next);
            } finally {
                heldBack.poll(); // removed after its delivery, so that events that it causes queue behind the others
            }
        }
        onReleased.run();
    }

    private void deliver(Runnable event) {
        queue.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Runnable next = queue.poll(); next != null; next = queue.poll()) {
                faults.run(next);
            }
        } finally {
            delivering = false; // if this stayed true after an error, no event would be delivered again
        }
    }
}
