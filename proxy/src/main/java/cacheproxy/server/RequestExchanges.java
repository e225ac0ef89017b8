package cacheproxy.server;

import cacheproxy.client.ClientRequest;
import cacheproxy.client.ClientSession;
import cacheproxy.client.RequestHandler;
import cacheproxy.client.ResponseSlot;
import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.limits.FailureAttribution;
import cacheproxy.logging.Log;
import cacheproxy.memcache.MetaCommand;
import cacheproxy.memcache.MetaResponse;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.RejectionReason;
import cacheproxy.routing.RequestClass;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.server.RequestOutcomeCounters.Outcome;
import cacheproxy.upstream.Attempt;
import cacheproxy.upstream.AttemptCompletion;
import cacheproxy.upstream.AttemptListener;
import cacheproxy.upstream.ClientState;
import cacheproxy.upstream.EndpointPool;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The open requests: accepts them from clients up to a limit, passes them to the router, runs the attempts that the
 * router requests, and gives each request exactly one response. Used on the event loop only.
 */
final class RequestExchanges implements RequestHandler, AttemptListener {
    /** Bytes of the values of all open requests. */
    static final long MAX_VALUE_BYTES = 6L << 20;

    /** Open requests, if the settings allow as many. */
    static final int MAX_OPEN_REQUESTS = 4096;

    private static final long OVERLOADED_RETRY_AFTER_US = 500_000;
    /** Reserved for the response to reach the client, whose deadline counts from when it sent the request. */
    private static final long CLIENT_TRANSIT_US = 5_000;
    /** A request that the router leaves unanswered for this long after its deadline is failed. */
    private static final long OVERDUE_US = 15_000;

    /** How long the id of a request may come again whose client has left: longer than any client waits. */
    private static final long DEPARTED_KEPT_US = 10_000_000;

    private static final String FAILED = "SERVER_ERROR failed";

    private final RoutingSettings settings;
    private final EventLoopClock clock;
    private final Log log;
    private final RouterDispatcher router;
    private final ReadinessGate readiness;
    private final RequestOutcomeCounters counters;

    private final Map<Long, RequestExchange> byId = new HashMap<>();
    /** Opaque ids that clients gave to the open requests. */
    private final Set<String> opaques = new HashSet<>();
    /** Requests answered while router events are held back; the router may still refer to them. */
    private final ArrayDeque<RequestExchange> awaitingRelease = new ArrayDeque<>();

    private final DepartedRequests departed = new DepartedRequests();

    private long nextId = 1;
    private long valueBytes;
    private boolean finishing;

    RequestExchanges(
            RoutingSettings settings,
            EventLoopClock clock,
            Log log,
            RouterDispatcher router,
            ReadinessGate readiness,
            RequestOutcomeCounters counters) {
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.router = router;
        this.readiness = readiness;
        this.counters = counters;
        router.onReleased(this::settleReleased);
    }

    /** The number of open requests. */
    int size() {
        return byId.size();
    }

    int opaqueCount() {
        return opaques.size();
    }

    /** Bytes of the values of open requests. */
    long valueBytes() {
        return valueBytes;
    }

    // ---- requests of clients ----

    @Override
    public void onNoOp(ClientSession session, ResponseSlot slot) {
        readiness.whenReady(() -> session.respond(slot, "MN"));
    }

    @Override
    public ClientRequest onRequest(ClientSession session, ResponseSlot slot, MetaCommand command) {
        String exceeded = exceededLimit(command);
        if (exceeded != null) {
            session.respond(slot, capacityLine(command, exceeded));
            return null;
        }
        if (!opaques.add(command.opaque())) {
            // a response with this id could reach the wrong client
            counters.count(command, Outcome.REJECTED);
            session.respond(slot, "CLIENT_ERROR the id is in use");
            return null;
        }
        long now = clock.nowUs();
        if (departed.contains(command.opaque(), now)) {
            opaques.remove(command.opaque());
            counters.count(command, Outcome.FAILED);
            session.respond(slot, FAILED); // sent again, it could be executed twice
            return null;
        }
        long dueUs = now + responseTimeUs(command) - waitedBeforeDecodingUs(session, now);
        boolean idempotent = requestClass(command).idempotency == Idempotency.IDEMPOTENT;
        RequestExchange exchange = new RequestExchange(this, nextId++, command, session, slot, dueUs, idempotent);
        byId.put(exchange.id, exchange);
        trace(
                exchange,
                "(" + command.opaque() + ") accepted, class " + command.requestClass() + ", due in " + (dueUs - now)
                        + " us");
        valueBytes += command.valueBytes();
        exchange.overdueTimer = clock.schedule(Math.max(0, dueUs - now) + OVERDUE_US, () -> failIfOverdue(exchange));
        router.requestArrived(exchange);
        return exchange;
    }

    /** The limit that this request would exceed; null if there is room. */
    private String exceededLimit(MetaCommand command) {
        if (finishing) {
            return "shutting down";
        }
        if (byId.size() >= Math.min(MAX_OPEN_REQUESTS, settings.maxOpenRequests)) {
            return "open requests";
        }
        return valueBytes + command.valueBytes() > MAX_VALUE_BYTES ? "bytes of values" : null;
    }

    @Override
    public String capacityLine(MetaCommand command, String limit) {
        boolean mayReject = router.mayReject(command);
        counters.count(command, mayReject ? Outcome.REFUSED : Outcome.FAILED);
        return mayReject ? overloadedLine(limit) : FAILED;
    }

    private RequestClass requestClass(MetaCommand command) {
        return settings.requestClasses[command.requestClass()];
    }

    /** Whether endpoints would execute a repeat of the request. */
    private boolean isNotIdempotent(MetaCommand command) {
        return switch (requestClass(command).idempotency) {
            case IDEMPOTENT -> false;
            case IDEMPOTENCY_KEY -> !command.hasIdempotencyKey();
            case NOT_IDEMPOTENT -> true;
        };
    }

    /** How long after the request reached the proxy the response must be sent, in microseconds. */
    private long responseTimeUs(MetaCommand command) {
        long deadlineUs = requestClass(command).deadlineUs;
        long waitUs = command.waitMs() == MetaCommand.WAIT_NOT_STATED ? deadlineUs : command.waitMs() * 1000L;
        waitUs = deadlineUs > 0 ? Math.min(waitUs, deadlineUs) : waitUs; // bounds how long a client holds a slot
        return Math.max(waitUs / 2, waitUs - CLIENT_TRANSIT_US);
    }

    /** How long the request waited in the kernel or in the proxy before it was decoded, in microseconds. */
    private long waitedBeforeDecodingUs(ClientSession session, long now) {
        return Math.max(clock.stalledForUs(now), session.waitedUs(now));
    }

    private void failIfOverdue(RequestExchange exchange) {
        if (router.isHoldingBack()) {
            // the router has not been notified of it yet
            exchange.overdueTimer = clock.schedule(2 * EventLoopClock.READ_PAUSE_US, () -> failIfOverdue(exchange));
        } else if (!exchange.answered) {
            log.line("request left unanswered by the router: failed");
            respondFailed(exchange);
            router.clientGone(exchange);
        }
    }

    /** Called when the client of this request has closed its connection. */
    void clientClosed(RequestExchange exchange) {
        if (!exchange.answered) {
            if (!exchange.attempts.isEmpty() && isNotIdempotent(exchange.command)) {
                departed.add(exchange.command.opaque(), clock.nowUs(), DEPARTED_KEPT_US);
            }
            conclude(exchange, Outcome.LEFT);
            router.clientGone(exchange);
        }
    }

    @Override
    public String overloadedLine(String limit) {
        log.line("at capacity: rejecting requests (" + limit + ")");
        long retryAfterUs =
                settings.retryAfterAllowed ? Math.min(OVERLOADED_RETRY_AFTER_US, settings.maxRetryAfterUs) : 0;
        return busyLine(retryAfterUs);
    }

    private static String busyLine(long retryAfterUs) {
        return retryAfterUs > 0 ? "SERVER_ERROR busy " + Math.max(1, retryAfterUs / 1000) : "SERVER_ERROR busy";
    }

    @Override
    public String failedLine() {
        return FAILED;
    }

    @Override
    public boolean isFinishing() {
        return finishing;
    }

    /**
     * Fails all open requests and rejects new ones from now on, because the process is about to end before their
     * deadlines. Whether the failed requests were executed is unknown to their clients.
     */
    void failAll() {
        finishing = true;
        for (RequestExchange exchange : List.copyOf(byId.values())) {
            if (!exchange.answered) {
                respondFailed(exchange);
                router.clientGone(exchange);
            }
        }
    }

    // ---- responses ----

    private void respondFailed(RequestExchange exchange) {
        conclude(exchange, Outcome.FAILED);
        exchange.session.respond(exchange.slot, FAILED);
    }

    private void conclude(RequestExchange exchange, Outcome outcome) {
        trace(
                exchange,
                outcome + " after " + exchange.attempts.size() + " attempts, " + (exchange.dueUs - clock.nowUs())
                        + " us before it is due");
        counters.count(exchange.command, outcome);
        exchange.answered = true;
        exchange.overdueTimer.cancel(false);
        settle(exchange);
    }

    /** Removes a request that is answered and has no attempt in flight. */
    private void settle(RequestExchange exchange) {
        if (router.isHoldingBack()) {
            awaitingRelease.add(exchange);
        } else if (exchange.answered && exchange.attemptsInFlight == 0 && byId.remove(exchange.id) != null) {
            valueBytes -= exchange.command.valueBytes();
            opaques.remove(exchange.command.opaque());
        }
    }

    private void settleReleased() {
        for (RequestExchange next = awaitingRelease.poll(); next != null; next = awaitingRelease.poll()) {
            settle(next);
        }
    }

    // ---- actions of the router ----

    /** Sends an attempt; {@code pool} is null if the endpoint is not listed. */
    void sendAttempt(long id, EndpointPool pool, long timeoutUs) {
        RequestExchange exchange = byId.get(id);
        if (exchange == null) {
            throw new IllegalStateException("attempt for an unknown request");
        }
        long now = clock.nowUs();
        long remainingUs = exchange.dueUs - now;
        long waitUs = timeoutUs != 0 ? Math.min(timeoutUs, remainingUs) : remainingUs;
        Attempt attempt = new Attempt(exchange, exchange.attempts.size(), now, waitUs, clock.totalLatenessUs(now));
        exchange.attempts.add(attempt);
        exchange.attemptsInFlight++;
        trace(
                exchange,
                "attempt " + attempt.number() + " to " + (pool == null ? "an endpoint that is not listed" : pool.name())
                        + ", timeout " + waitUs + " us");
        attempt.timeout(clock.schedule(waitUs, () -> timeOut(attempt)));
        boolean clientGone = exchange.clientState() == ClientState.GONE;
        if (clientGone
                || exchange.answered
                || waitUs <= 0
                || pool == null
                || attempt.number() >= settings.maxAttempts) {
            attemptCompleted(attempt, AttemptCompletion.NOT_SENT, null);
        } else {
            pool.send(attempt);
        }
    }

    /** Rejects a request, which promises the client that it has not been executed. */
    void reject(long id, long retryAfterUs) {
        RequestExchange exchange = byId.get(id);
        if (exchange != null && !exchange.answered) {
            conclude(exchange, Outcome.REFUSED);
            exchange.session.respond(exchange.slot, busyLine(retryAfterUs));
        }
    }

    /** Same as above, where the promise only holds if the response is written by {@code validUntilUs}. */
    void reject(long id, long retryAfterUs, long validUntilUs) {
        RequestExchange exchange = byId.get(id);
        if (exchange != null && !exchange.answered) {
            conclude(exchange, Outcome.REFUSED);
            exchange.session.respond(exchange.slot, busyLine(retryAfterUs), validUntilUs);
        }
    }

    void fail(long id) {
        RequestExchange exchange = byId.get(id);
        if (exchange != null && !exchange.answered) {
            respondFailed(exchange);
        }
    }

    void cancelAttempt(long id, int number) {
        RequestExchange exchange = byId.get(id);
        if (exchange != null && number < exchange.attempts.size()) {
            giveUp(exchange.attempts.get(number), AttemptCompletion.CANCELLED);
        }
    }

    /** Logs why a request gets no further attempt, if requests are traced. */
    void explain(long id, RejectionReason reason) {
        RequestExchange exchange = byId.get(id);
        if (exchange != null) {
            trace(exchange, "no further attempt: " + reason);
        }
    }

    // ---- completion of attempts ----

    /** Reads a response that has already arrived, as after a stall in the middle of reading, before timing out. */
    private void timeOut(Attempt attempt) {
        if (!attempt.isCompleted()) {
            attempt.connection().readArrived();
            giveUp(attempt, AttemptCompletion.TIMED_OUT);
        }
    }

    private void giveUp(Attempt attempt, AttemptCompletion completion) {
        if (attempt.isCompleted()) {
            return;
        }
        // a command that was not written completely cannot run, so it may be rejected or sent to another endpoint
        boolean neverExecuted = !attempt.connection().giveUp(attempt) && completion == AttemptCompletion.TIMED_OUT;
        AttemptCompletion notWrittenCompletion =
                loopRanLateDuring(attempt, clock.nowUs()) ? AttemptCompletion.NOT_SENT : AttemptCompletion.NOT_WRITTEN;
        attemptCompleted(attempt, neverExecuted ? notWrittenCompletion : completion, null);
    }

    private boolean loopRanLateDuring(Attempt attempt, long now) {
        return FailureAttribution.eventLoopRanLate(
                clock.totalLatenessUs(now) - attempt.loopLateAtStartUs(), attempt.timeoutUs(), clock.lateFraction());
    }

    /** The first successful attempt provides the response; the router is notified of every completion. */
    @Override
    public void attemptCompleted(Attempt attempt, AttemptCompletion reportedCompletion, MetaResponse response) {
        RequestExchange exchange = (RequestExchange) attempt.request();
        attempt.complete();
        exchange.attemptsInFlight--;
        trace(
                exchange,
                "attempt " + attempt.number() + " ended " + reportedCompletion + " after "
                        + (clock.nowUs() - attempt.startedUs()) + " us");
        AttemptCompletion completion =
                isEndpointsFault(exchange, attempt, reportedCompletion) ? AttemptCompletion.FAILED : reportedCompletion;
        if (!exchange.answered) {
            respondIfFinal(exchange, completion, response);
        }
        settle(exchange);
        long now = clock.nowUs();
        AttemptCompletion attributedCompletion = attribute(attempt, completion, now);
        if (attributedCompletion != reportedCompletion) {
            trace(exchange, "attempt " + attempt.number() + " counts as " + attributedCompletion);
        }
        router.attemptCompleted(exchange, attempt, attributedCompletion, now - attempt.startedUs(), response);
    }

    /** Whether the endpoint that rejected the request is at fault, so that another one may serve it. */
    private static boolean isEndpointsFault(RequestExchange exchange, Attempt attempt, AttemptCompletion completion) {
        EndpointPool pool =
                attempt.connection() == null ? null : attempt.connection().pool();
        boolean rejected = completion == AttemptCompletion.REJECTED;
        return pool != null
                && (rejected || completion == AttemptCompletion.SERVED)
                && pool.isAtFault(exchange.session.rejections(), rejected);
    }

    private void respondIfFinal(RequestExchange exchange, AttemptCompletion completion, MetaResponse response) {
        if (completion == AttemptCompletion.SERVED) {
            conclude(exchange, Outcome.SERVED);
            exchange.session.respond(exchange.slot, response.encode());
        } else if (completion == AttemptCompletion.MISS && !settings.cacheAside) {
            conclude(exchange, Outcome.MISSED); // passed on, since there is no origin to fetch the value from
            exchange.session.respond(exchange.slot, "EN");
        } else if (completion == AttemptCompletion.REJECTED) {
            conclude(exchange, Outcome.REJECTED); // no endpoint accepts it: retries would count against them
            exchange.session.respond(exchange.slot, "CLIENT_ERROR bad request");
        }
    }

    /** Replaces a completion that says nothing about the endpoint by one that the router does not learn from. */
    private AttemptCompletion attribute(Attempt attempt, AttemptCompletion completion, long now) {
        MetaCommand command = attempt.request().command();
        long latencyObjectiveUs = requestClass(command).latencyObjectiveUs;
        boolean timedOut = completion == AttemptCompletion.TIMED_OUT;
        if (FailureAttribution.causedByEventLoopStall(
                timedOut,
                completion == AttemptCompletion.BUSY,
                completion == AttemptCompletion.SERVED,
                now - attempt.startedUs(),
                attempt.timeoutUs(),
                latencyObjectiveUs,
                clock.totalLatenessUs(now) - attempt.loopLateAtStartUs(),
                EventLoopClock.TICK_US,
                clock.lateFraction())) {
            return AttemptCompletion.LOOP_STALLED;
        }
        boolean unmeetable = command.waitMs() != MetaCommand.WAIT_NOT_STATED
                && FailureAttribution.unmeetableDeadline(timedOut, command.waitMs() * 1000L, latencyObjectiveUs);
        return unmeetable ? AttemptCompletion.UNMEETABLE_DEADLINE : completion;
    }

    private void trace(RequestExchange exchange, String what) {
        if (log.tracesRequests()) {
            log.line(Log.Topic.REQUESTS, "request " + exchange.id + " " + what);
        }
    }
}
