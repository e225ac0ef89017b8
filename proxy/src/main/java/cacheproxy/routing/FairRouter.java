package cacheproxy.routing;

/**
 * The {@link RequestRouter} of cacheproxy. It keeps the requests in progress and composes the policies, each of which
 * makes one decision: {@link TenantAdmission} and {@link OriginAdmission} (admit or reject), {@link EndpointSelector}
 * (where to send), {@link RetryPolicy} and {@link RetryBudget} (whether to retry), {@link HedgingPolicy} (when to send
 * a second attempt), {@link DeadlinePolicy} (when to give up, Retry-After), {@link IdleTimeoutPolicy} (when to close
 * idle connections) and {@link DiscoveryPollPolicy} (when to subscribe to the endpoint list). {@link OutcomeLearning}
 * passes the outcomes of attempts to the policies that adapt to them.
 */
public final class FairRouter implements RequestRouter {
    private static final int TIMER_KIND_BITS = 3;
    private static final int TIMER_DISCOVERY = 0;
    private static final int TIMER_HEDGE = 1;
    private static final long LOG_INTERVAL_US = 20_000_000;
    /** List calls failed: the consecutive failures; in the line of a failed call, those before that call. */
    private static final String LOG_FORMAT = "%s: origin chance %.2f, failures running %.0f, list calls failed %d";

    private final RoutingSettings settings;
    private final int maxAttempts;
    private final LongHashMap<PendingRequest> pendingRequests = new LongHashMap<>();
    private final EndpointTable table;
    private final TenantAdmission tenants;
    private final OriginAdmission origin;
    private final KeyPopularity popularity;
    private final EndpointSelector selector;
    private final OutlierDetector outliers;
    private final SlowStartLimiter slowStart;
    private final OutcomeLearning learning;
    private final RetryPolicy retryPolicy;
    private final KeyedSends keyedSends;
    private final RetryBudget retryBudget = new RetryBudget();
    private final HedgingPolicy hedging = new HedgingPolicy();
    private final DeadlinePolicy deadlines;
    private final IdleTimeoutPolicy idleTimeout;
    private final DiscoveryPollPolicy discovery;
    private long nextLogUs = Long.MIN_VALUE;

    /** Throws {@link IllegalArgumentException} that names the first setting that is invalid. */
    public FairRouter(RoutingSettings settings, long seed, long nowUs, RoutingActions actions) {
        settings.check();
        this.settings = settings;
        maxAttempts = Math.min(PendingRequest.MAX_ATTEMPTS, settings.maxAttempts);
        SplitMix64 random = new SplitMix64(seed);
        // the draws keep this order: another order would change the decisions that a seed reproduces
        long activeSeed = random.next();
        long standbySeed = random.next();
        popularity = new KeyPopularity(random.next());
        AdmittedRate admittedRate = new AdmittedRate();
        tenants = new TenantAdmission(settings, admittedRate, activeSeed, standbySeed, random, nowUs);
        origin = new OriginAdmission(settings, admittedRate, random);
        table = new EndpointTable(settings);
        outliers = new OutlierDetector(table, admittedRate);
        slowStart = new SlowStartLimiter(settings);
        retryPolicy = new RetryPolicy(settings);
        keyedSends = new KeyedSends(settings);
        selector = new EndpointSelector(table, popularity, slowStart, outliers, retryPolicy, random);
        deadlines = new DeadlinePolicy(settings);
        idleTimeout = new IdleTimeoutPolicy(settings, table, admittedRate);
        learning = new OutcomeLearning(settings, table, tenants, origin, outliers, slowStart, hedging, retryBudget);
        discovery = new DiscoveryPollPolicy(settings, random);
        if (settings.subscribeRequired) {
            actions.startTimer(discovery.firstDelayUs(), TIMER_DISCOVERY);
        }
    }

    @Override
    public void onEndpointList(
            long nowUs, EndpointListKind kind, EndpointInfo[] endpoints, int count, RoutingActions actions) {
        if (kind == EndpointListKind.FAILED) {
            discovery.recordFailure();
            log(nowUs, "node list call failed", actions);
            actions.startTimer(discovery.backoffUs(), TIMER_DISCOVERY);
            return;
        }
        discovery.recordSuccess();
        table.apply(nowUs, kind, endpoints, count);
    }

    @Override
    public void onEndpointListOutdated(long nowUs, boolean outdated) {
        table.setOutdated(outdated);
    }

    /** Logs a line with the state of the policies; at most one in each interval. */
    private void log(long nowUs, String event, RoutingActions actions) {
        if (nowUs < nextLogUs) {
            return;
        }
        nextLogUs = nowUs + LOG_INTERVAL_US;
        actions.log(String.format(
                LOG_FORMAT,
                event,
                origin.overloadProbability(nowUs),
                tenants.consecutiveFailures(),
                discovery.consecutiveFailures()));
    }

    @Override
    public void onRequest(long nowUs, RoutingRequest request, RoutingActions actions) {
        int tenant = tenants.tenantOf(request);
        PendingRequest pending = pending(request, tenant, nowUs);
        tenants.recordArrival(request, tenant, pending.requestClass, nowUs);
        if (tenants.rejects(tenant, nowUs)) {
            rejectOnArrival(pending, nowUs, actions);
            return;
        }
        tenants.recordAdmitted(tenant, nowUs);
        pendingRequests.put(pending.id, pending);
        if (pending.key != 0) {
            popularity.record(pending.key, nowUs);
        }
        sendFirstAttempt(pending, nowUs, actions);
    }

    private PendingRequest pending(RoutingRequest request, int tenant, long nowUs) {
        int classIndex = Math.max(0, Math.min(request.requestClass, settings.requestClasses.length - 1));
        PendingRequest pending = new PendingRequest(request, settings.requestClasses[classIndex], tenant, nowUs);
        pending.earlierSend = keyedSends.find(pending, nowUs);
        return pending;
    }

    @Override
    public boolean mayReject(long nowUs, RoutingRequest request) {
        PendingRequest pending = pending(request, tenants.tenantOf(request), nowUs);
        return retryPolicy.clientRetrySafeUntilUs(pending) == Long.MAX_VALUE;
    }

    private void rejectOnArrival(PendingRequest pending, long nowUs, RoutingActions actions) {
        log(nowUs, "refusing requests", actions);
        actions.reportRejectionReason(pending.id, RejectionReason.TENANT_THROTTLED);
        rejectOrFail(pending, nowUs, actions);
        tenants.expectClientRetry(pending.tenant, nowUs);
    }

    private void sendFirstAttempt(PendingRequest pending, long nowUs, RoutingActions actions) {
        if (settings.cacheAside && pending.write) {
            sendToOrigin(pending, nowUs, actions);
        } else {
            send(pending, selector.select(pending, nowUs), nowUs, actions);
        }
        if (!pending.concluded && settings.hedgingAllowed) {
            long label = pending.id << TIMER_KIND_BITS | TIMER_HEDGE;
            actions.startTimer(hedging.delayUs(pending.requestClass), label);
        }
    }

    /** Sends an attempt. {@code endpoint} null: no endpoint is eligible; ends the request if nothing is in flight. */
    private void send(PendingRequest pending, Endpoint endpoint, long nowUs, RoutingActions actions) {
        long giveUpAtUs = deadlines.giveUpAtUs(pending);
        long remainingUs = giveUpAtUs - nowUs;
        RejectionReason reason = reasonNotToSend(pending, endpoint, remainingUs);
        if (reason != null) {
            actions.reportRejectionReason(pending.id, reason);
            if (pending.inFlight == 0) {
                finish(pending, nowUs, actions);
            }
            return;
        }
        if (idleTimeout.isExpired(endpoint, nowUs)) {
            closeIdleConnections(endpoint, actions);
        }
        if (pending.attempts == 0) {
            keyedSends.recordSend(pending, endpoint, nowUs);
        }
        pending.recordSend(endpoint, nowUs);
        if (table.isWarmingUp(endpoint, nowUs)) {
            slowStart.usePermit(endpoint);
        }
        boolean beforeDeadline = giveUpAtUs < pending.deadlineAtUs;
        actions.sendAttempt(pending.id, endpoint.id, beforeDeadline ? remainingUs : 0);
    }

    private RejectionReason reasonNotToSend(PendingRequest pending, Endpoint endpoint, long remainingUs) {
        if (remainingUs <= 0) {
            return RejectionReason.DEADLINE_EXCEEDED;
        }
        if (pending.attempts >= maxAttempts) {
            return RejectionReason.ATTEMPTS_EXHAUSTED;
        }
        if (endpoint != null) {
            return null;
        }
        return table.isOutdated() ? RejectionReason.ENDPOINT_LIST_OUTDATED : RejectionReason.NO_ENDPOINT;
    }

    private static void closeIdleConnections(Endpoint endpoint, RoutingActions actions) {
        endpoint.clearIdleConnection();
        actions.closeIdleConnections(endpoint.id);
    }

    private void sendToOrigin(PendingRequest pending, long nowUs, RoutingActions actions) {
        Endpoint endpoint = null;
        if (origin.rejects(pending, nowUs)) {
            actions.reportRejectionReason(pending.id, RejectionReason.ORIGIN_OVERLOADED);
        } else {
            endpoint = selector.selectOrigin();
        }
        if (endpoint != null && !retryPolicy.maySend(pending, endpoint, nowUs)) {
            endpoint = null; // an earlier attempt may have been executed, and this would repeat it
        }
        pending.sentToOrigin |= endpoint != null;
        send(pending, endpoint, nowUs, actions);
    }

    /** Sends a retry or, while an attempt is in flight, a hedged request, if the retry budget covers it. */
    private void retry(PendingRequest pending, double retryPrice, long nowUs, RoutingActions actions) {
        boolean toOrigin = settings.cacheAside && pending.write;
        double price = pending.inFlight != 0 ? RetryBudget.HEDGE_PRICE : retryPrice;
        Endpoint endpoint = null;
        if (mayRetry(pending, price, nowUs)) {
            endpoint = toOrigin ? selector.selectOrigin() : selector.select(pending, nowUs);
        }
        if (endpoint == null || !retryPolicy.maySend(pending, endpoint, nowUs)) {
            if (!retryBudget.covers(price)) {
                actions.reportRejectionReason(pending.id, RejectionReason.RETRY_BUDGET_EXHAUSTED);
            } else if (endpoint != null) {
                actions.reportRejectionReason(pending.id, RejectionReason.NOT_IDEMPOTENT);
            }
            send(pending, null, nowUs, actions);
            return;
        }
        retryBudget.spend(price);
        if (toOrigin) {
            sendToOrigin(pending, nowUs, actions);
        } else {
            send(pending, endpoint, nowUs, actions);
        }
    }

    private boolean mayRetry(PendingRequest pending, double price, long nowUs) {
        return retryBudget.covers(price)
                && deadlines.giveUpAtUs(pending) > nowUs
                && (pending.inFlight == 0 || settings.hedgingAllowed)
                && pending.attempts < maxAttempts;
    }

    /** Ends a request that got no response: rejected if a retry by the client is safe, otherwise failed. */
    private void finish(PendingRequest pending, long nowUs, RoutingActions actions) {
        if (pending.concluded) {
            return;
        }
        tenants.expectClientRetry(pending.tenant, nowUs);
        rejectOrFail(pending, nowUs, actions);
        conclude(pending, actions);
    }

    private void rejectOrFail(PendingRequest pending, long nowUs, RoutingActions actions) {
        long safeUntilUs = retryPolicy.clientRetrySafeUntilUs(pending);
        long retryAfterUs = deadlines.retryAfterUs(tenants.rejectionProbability(pending.tenant, nowUs));
        if (safeUntilUs >= deadlines.lastClientRetryUs(pending)) {
            actions.reject(pending.id, retryAfterUs);
            return;
        }
        if (safeUntilUs < nowUs) {
            actions.fail(pending.id);
            return;
        }
        long boundedUs = deadlines.boundedRetryAfterUs(retryAfterUs, safeUntilUs - nowUs);
        if (boundedUs < DeadlinePolicy.MIN_RETRY_AFTER_US) {
            actions.fail(pending.id);
        } else {
            actions.reject(pending.id, boundedUs, deadlines.notifyBeforeUs(safeUntilUs, boundedUs));
        }
    }

    private void conclude(PendingRequest pending, RoutingActions actions) {
        for (int i = 0; i < pending.attempts && settings.cancellationAllowed && !pending.concluded; i++) {
            if (pending.isInFlight(i)) {
                actions.cancelAttempt(pending.id, i);
            }
        }
        pending.concluded = true;
        if (pending.inFlight == 0) {
            pendingRequests.remove(pending.id);
            if (pending.attempts > 0 && pending.mayHaveRun == 0) {
                keyedSends.recordNotExecuted(pending);
            }
        }
    }

    @Override
    public void onOutcome(
            long nowUs,
            long request,
            int attempt,
            AttemptOutcome outcome,
            long latencyUs,
            boolean concluded,
            CacheResult cacheResult,
            LoadReport report,
            RoutingActions actions) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending == null || !pending.isInFlight(attempt)) {
            return;
        }
        Endpoint endpoint = pending.endpoints[attempt];
        pending.recordEnd(attempt, outcome.provesNotExecuted);
        if (idleTimeout.recordOutcome(pending, attempt, outcome, nowUs)) {
            closeIdleConnections(endpoint, actions);
        }
        if (report.cpuUtilization >= 0) {
            endpoint.cpuUtilization.set(report.cpuUtilization, nowUs);
        } else if (cacheResult == CacheResult.HIT && outcome == AttemptOutcome.OK) {
            endpoint.cpuUtilization.set(pending.excessLatency(latencyUs), nowUs); // no load report: estimated
        }
        if (outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT) {
            learning.record(pending, endpoint, outcome, cacheResult, latencyUs, nowUs);
        }
        continueAfter(pending, endpoint, outcome, concluded, nowUs, actions);
    }

    private void continueAfter(
            PendingRequest pending,
            Endpoint endpoint,
            AttemptOutcome outcome,
            boolean concluded,
            long nowUs,
            RoutingActions actions) {
        if (pending.concluded || concluded) {
            conclude(pending, actions);
        } else if (outcome == AttemptOutcome.MISS) {
            sendToOrigin(pending, nowUs, actions);
        } else if (table.isOrigin(endpoint) && !pending.write) {
            send(pending, null, nowUs, actions); // a fetch from the origin is not retried
        } else {
            boolean connectionFailed = outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.CONNECT_FAILED;
            double price = connectionFailed ? RetryBudget.CONNECTION_RETRY_PRICE : RetryBudget.RETRY_PRICE;
            retry(pending, price, nowUs, actions);
        }
    }

    @Override
    public void onStreamStarted(long nowUs, long request, int attempt, RoutingActions actions) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null) {
            pending.concluded = true;
        }
    }

    @Override
    public void onClientGone(long nowUs, long request, RoutingActions actions) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null && !pending.concluded) {
            tenants.expectClientRetry(pending.tenant, nowUs);
            conclude(pending, actions);
        }
    }

    @Override
    public void onTimer(long nowUs, long label, RoutingActions actions) {
        int kind = (int) label & (1 << TIMER_KIND_BITS) - 1;
        if (kind == TIMER_DISCOVERY) {
            if (discovery.subscribe()) {
                actions.subscribeToEndpoints();
            }
            return;
        }
        PendingRequest pending = pendingRequests.get(label >>> TIMER_KIND_BITS);
        if (kind != TIMER_HEDGE || pending == null || pending.concluded || pending.inFlight == 0) {
            return;
        }
        if (!pending.sentToOrigin) {
            hedge(pending, nowUs, actions);
        } else if (pending.write && pending.attempts == 1) {
            origin.recordSlowWrite(nowUs);
        }
    }

    /** Sends a hedged request and records the first attempt in flight as slow, whichever of them succeeds. */
    private void hedge(PendingRequest pending, long nowUs, RoutingActions actions) {
        int attempt = pending.firstInFlight();
        Endpoint slow = pending.endpoints[attempt];
        if (idleTimeout.recordSlowAttempt(pending, attempt, nowUs)) {
            closeIdleConnections(slow, actions);
        }
        double excess = pending.excessLatency(nowUs - pending.arrivedUs);
        double certainty = Math.min(1, excess / HedgingPolicy.MIN_OBJECTIVE_SHARE);
        outliers.recordOutcome(slow, true, OutlierDetector.WEAK_EVIDENCE_WEIGHT * certainty, nowUs);
        slow.cpuUtilization.set(Math.max(slow.cpuUtilization.get(nowUs), excess), nowUs);
        retry(pending, RetryBudget.HEDGE_PRICE, nowUs, actions);
    }

    @Override
    public void onHealthCheck(
            long nowUs,
            int endpoint,
            AttemptOutcome outcome,
            long latencyUs,
            LoadReport report,
            RoutingActions actions) {
        // this router requests no health checks
    }

    @Override
    public void onGossip(long nowUs, int proxy, byte[] data, RoutingActions actions) {
        // this router sends no gossip
    }
}
