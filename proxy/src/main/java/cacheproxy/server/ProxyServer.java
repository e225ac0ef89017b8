package cacheproxy.server;

import cacheproxy.client.ClientConnections;
import cacheproxy.common.InvalidInputException;
import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.discovery.DiscoveryClient;
import cacheproxy.discovery.EndpointListListener;
import cacheproxy.discovery.ListFreshness;
import cacheproxy.discovery.ListedEndpoint;
import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.eventloop.FaultGuard;
import cacheproxy.logging.Log;
import cacheproxy.memcache.RequestNames;
import cacheproxy.routing.EndpointListKind;
import cacheproxy.routing.FairRouter;
import cacheproxy.routing.RequestClass;
import cacheproxy.routing.RequestRouter;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.upstream.EndpointPools;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.function.UnaryOperator;

/**
 * One proxy on real sockets: creates its parts and drives them through start, reload and graceful shutdown. A single
 * thread, the event loop, runs all of it, so nothing is locked and nothing may block. Methods are called on the event
 * loop unless stated otherwise.
 */
final class ProxyServer implements EndpointListListener {
    /** Descriptors reserved for the process itself: libraries, selector, listener, discovery. */
    private static final int OWN_DESCRIPTORS = 48;
    /**
     * If connections that have sent a command hold more than this fraction (1/n) of all descriptors, idle ones that
     * were used only once are closed.
     */
    private static final int ESTABLISHED_CLIENTS_DIVISOR = 4;
    /** The proxy is ready after this time at the latest: two calls to an overloaded discovery take 2 s each. */
    static final long READINESS_TIMEOUT_US = 4_000_000;
    /**
     * The same while the endpoint list may be out of date: requests would only be rejected. Nine in ten restarted
     * proxies must be ready within 10 s.
     */
    static final long OUTDATED_READINESS_TIMEOUT_US = 8_000_000;
    /** SIGKILL follows SIGTERM after the longest deadline, of which at most this much counts, plus 0.7 s. */
    private static final long MAX_DEADLINE_AT_SHUTDOWN_US = 3_000_000;
    /** 0.1 s less than the 0.7 s after which SIGKILL follows, so that the process exits by itself. */
    private static final long SHUTDOWN_MARGIN_US = 600_000;
    /**
     * Reserved at the end of the notice period to write the last responses and close the connections: requests still
     * open then are failed.
     */
    private static final long LAST_RESPONSES_US = 100_000;

    private final ProxyConfiguration configuration;
    private final Log log;
    private final EventLoop loop;
    private final EventLoopClock clock;
    private final ListFreshness freshness;
    private final ReadinessGate readiness;
    private final RequestOutcomeCounters counters;
    private final RouterDispatcher router;
    private final RequestExchanges exchanges;
    final ClientConnections clients;
    private final EndpointPools pools;
    final DiscoveryClient discovery;
    private final EndpointList endpoints;
    private final ClientListener listener;

    /** @param wrap wraps the router in tests; the identity function otherwise */
    ProxyServer(
            ProxyConfiguration configuration,
            EventLoop loop,
            HostEnvironment host,
            Log log,
            UnaryOperator<RequestRouter> wrap) {
        this.configuration = configuration;
        this.loop = loop;
        this.log = log;
        RoutingSettings settings = configuration.settings;
        FaultGuard faults = new FaultGuard(log);
        clock = new EventLoopClock(loop, host.unixMs().getAsLong(), log, faults, host.allReadUntilNs());
        counters = new RequestOutcomeCounters(settings);
        freshness = new ListFreshness(settings);
        readiness = new ReadinessGate(log, () -> freshness.mayBeOutdated(clock.nowUs()));
        router = new RouterDispatcher(settings, clock, faults);
        exchanges = new RequestExchanges(settings, clock, log, router, readiness, counters);
        int descriptors = configuration.maxFileDescriptors - OWN_DESCRIPTORS;
        int maxClients = descriptors / 2;
        int maxEstablishedClients = configuration.maxFileDescriptors / ESTABLISHED_CLIENTS_DIVISOR;
        pools = new EndpointPools(
                settings,
                loop,
                clock,
                host.outgoing(),
                log,
                exchanges,
                descriptors - maxClients - ClientConnections.MAX_REJECTING,
                configuration.maxConnectionsPerEndpoint);
        clients = new ClientConnections(
                clock,
                log,
                requestNames(settings),
                exchanges,
                maxClients,
                maxEstablishedClients,
                Math.min(RequestExchanges.MAX_OPEN_REQUESTS, pools.maxAttempts()),
                RequestExchanges.MAX_VALUE_BYTES);
        discovery = new DiscoveryClient(this, freshness, clock, configuration, loop, host, log);
        endpoints = new EndpointList(router, pools, discovery, log);
        listener = new ClientListener(clients, clock, configuration, loop, host);
        // before the router, which starts timers: if a malformed list prevents the start, no timer may be left that
        // calls it
        List<ListedEndpoint> configuredEndpoints = discovery.lastKnownEndpoints();
        RoutingActions actions = new RouterActionHandler(exchanges, pools, discovery, router, clock, log);
        router.begin(wrap.apply(new FairRouter(settings, configuration.seed, clock.nowUs(), actions)), actions);
        // before any list from the watch, because the configuration's list is older
        endpointsReceived(EndpointListKind.CACHED, configuredEndpoints);
        clock.schedule(READINESS_TIMEOUT_US, this::readinessTimedOut);
    }

    private static RequestNames requestNames(RoutingSettings settings) {
        RequestNames names = new RequestNames(new HashMap<>(), new HashMap<>());
        for (int i = 0; i < settings.requestClasses.length; i++) {
            names.classes().put(RequestNames.inCommandLine(settings.requestClasses[i].name), i);
        }
        for (int i = 0; i < settings.tenants.length; i++) {
            names.tenants().put(RequestNames.inCommandLine(settings.tenants[i].name), i);
        }
        return names;
    }

    // ---- start and reload, called from outside the event loop ----

    /** Creates a proxy on its event loop and waits for it; must not be called on the event loop. */
    static ProxyServer create(
            ProxyConfiguration configuration,
            EventLoop loop,
            HostEnvironment host,
            Log log,
            UnaryOperator<RequestRouter> wrap) {
        try {
            return loop.submit(() -> new ProxyServer(configuration, loop, host, log, wrap))
                    .get();
        } catch (ExecutionException e) {
            throw new InvalidInputException("cannot start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new InvalidInputException("interrupted");
        }
    }

    /** Runs the JIT warm-up of the request path. Blocks; must not be called on the event loop. */
    void warmUp() {
        try {
            JitWarmUp.run(configuration, loop, log);
        } catch (InterruptedException e) {
            throw new InvalidInputException("interrupted");
        }
    }

    /** Starts serving and waits until the proxy listens; must not be called on the event loop. */
    void open() {
        try {
            Future<Void> open = loop.submit(this::begin).get().await();
            if (!open.isSuccess()) {
                throw new InvalidInputException("cannot listen on " + configuration.listen + ": "
                        + open.cause().getMessage());
            }
        } catch (ExecutionException e) {
            throw new InvalidInputException("cannot start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new InvalidInputException("interrupted");
        }
    }

    /** Applies the discovery address of a valid new configuration; may be called on any thread. */
    void reload(ProxyConfiguration changed) {
        loop.execute(() -> discovery.migrateTo(changed.discovery));
    }

    // ---- life cycle, on the event loop ----

    /** Starts serving; completes once the proxy listens. */
    Future<Void> begin() {
        clock.start();
        readiness.start();
        discovery.start();
        return listener.open();
    }

    /** Starts serving with these endpoints, without listening and without discovery; for {@link JitWarmUp}. */
    ChannelHandler serveWarmUp(List<ListedEndpoint> warmUpEndpoints) {
        clock.start();
        endpointsReceived(EndpointListKind.FULL, warmUpEndpoints);
        return listener.clientInitializer();
    }

    /** Stops all timers, after which the proxy does nothing more. */
    void retire() {
        clock.stop();
    }

    /** The address that the proxy listens on. */
    InetSocketAddress address() {
        return listener.address();
    }

    /**
     * Shuts down gracefully after SIGTERM: accepts connections for another {@code acceptMs}, then closes each once its
     * requests are answered. Completes once all client connections are closed; requests still open 0.1 s before the end
     * of the notice period are failed.
     */
    Future<Void> drain(long acceptMs) {
        log.line("shutting down: " + exchanges.size() + " requests open");
        clock.schedule(shutdownNoticeUs() - LAST_RESPONSES_US, this::sendLastResponses);
        return listener.drain(acceptMs);
    }

    /**
     * The notice period in microseconds, counted from SIGTERM; at its end the process exits. It is the longest deadline
     * of the settings (at most 3 s) plus 0.6 s, and so ends 0.1 s before SIGKILL.
     */
    long shutdownNoticeUs() {
        long longestDeadlineUs = 0;
        for (RequestClass requestClass : configuration.settings.requestClasses) {
            long deadlineUs = requestClass.deadlineUs > 0 ? requestClass.deadlineUs : MAX_DEADLINE_AT_SHUTDOWN_US;
            longestDeadlineUs = Math.max(longestDeadlineUs, deadlineUs);
        }
        return Math.min(longestDeadlineUs, MAX_DEADLINE_AT_SHUTDOWN_US) + SHUTDOWN_MARGIN_US;
    }

    /** Fails the open requests, and answers commands that were read but not decoded yet. */
    void sendLastResponses() {
        exchanges.failAll();
        clients.decodeAllNow();
    }

    // ---- events of discovery ----

    @Override
    public void endpointsReceived(EndpointListKind kind, List<ListedEndpoint> received) {
        endpoints.update(kind, received);
        if (!readiness.isReady()) {
            readiness.endpointsChanged(endpoints.canServe());
        }
    }

    @Override
    public void watchUpToDate() {
        if (!readiness.isReady()) {
            readiness.stopWaiting(ReadinessGate.Cause.LIST_RECEIVED, endpoints.canServe());
        }
    }

    /**
     * Ends the wait if this proxy must subscribe to discovery itself: while discovery is unreachable no proxy is
     * notified of changes, so the configuration's list is used. If instead lists are pushed by a list agent of the
     * platform (not the fleet agent), that agent may have received newer changes, which count as known to this proxy
     * even while the agent is away; so the proxy keeps waiting.
     */
    @Override
    public void discoveryUnreachable() {
        if (configuration.settings.subscribeRequired) {
            readiness.stopWaiting(ReadinessGate.Cause.DISCOVERY_UNREACHABLE, endpoints.canServe());
        }
    }

    /** Attempts that wait for a connection are dropped once the router knows, so that it rejects their requests. */
    @Override
    public void endpointListOutdated(boolean outdated) {
        log.line(
                outdated
                        ? "endpoint list may be older than the agent's: no attempt begins until the agent has sent its list"
                        : "endpoint list is up to date: attempts begin");
        router.endpointListOutdated(outdated);
        if (outdated) {
            pools.suspend();
        } else {
            pools.resume();
        }
    }

    private void readinessTimedOut() {
        if (freshness.mayBeOutdated(clock.nowUs())) {
            clock.schedule(OUTDATED_READINESS_TIMEOUT_US - READINESS_TIMEOUT_US, readiness::timeOut);
        } else {
            readiness.timeOut();
        }
    }

    // ---- status and resource accounting ----

    /** The status that the control channel reports; its keys are part of the channel's protocol. */
    Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        boolean serving = readiness.isReady() && listener.isListening();
        status.put("phase", listener.isDraining() ? "draining" : serving ? "ready" : "starting");
        status.put("nodes", endpoints.countByState());
        status.put("clients", clients.count());
        status.put("open", exchanges.size());
        status.put("longestStallMs", clock.longestStallUs() / 1000);
        counters.putInto(status);
        return status;
    }

    /** Amounts of resources reserved now, by name, for tests that check that everything is released. */
    Map<String, Long> reserved() {
        return Map.of(
                "requests",
                (long) exchanges.size(),
                "ids",
                (long) exchanges.opaqueCount(),
                "value bytes",
                exchanges.valueBytes(),
                "unwritten response bytes",
                clients.unwrittenResponseBytes(),
                "value bytes coming from clients",
                clients.incomingValueBytes(),
                "response bytes coming from endpoints",
                pools.incomingBytes(),
                "read-ahead bytes",
                clients.readAheadBytes(),
                "events",
                (long) router.undelivered());
    }
}
