package cacheproxy.discovery;

import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.logging.Log;
import cacheproxy.routing.EndpointListKind;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the endpoint list up to date by a watch at the discovery service, which is restarted whenever it is lost, and
 * by fetching single lists on request. Its {@link EndpointListListener} is notified of each list that is accepted. A
 * list that cannot be decoded is skipped and fails its call, because later changes would not apply to the list held.
 *
 * <p>The timeouts and delays are in {@link WatchTimeouts}. Used on the event loop only.
 */
public final class DiscoveryClient {
    private static final String LIST_PATH = "/registry/instances";
    private static final String WATCH_PATH = LIST_PATH + "?stream=1&index=";
    private static final long MIN_PROMPT_RETRY_INTERVAL_NS =
            TimeUnit.MILLISECONDS.toNanos(WatchTimeouts.MIN_PROMPT_RETRY_INTERVAL_MS);

    private final EndpointListListener listener;
    private final EventLoopClock clock;
    private final EventLoop eventLoop;
    private final HostEnvironment host;
    private final SplittableRandom random;
    private final Log log;
    /**
     * Whether discovery is an agent that pushes lists (setting registryMode = automatic), not a service to subscribe to
     * (subscribe; called polled in this package). The proxy opens the same watch in both cases. An agent's changes
     * count as notified at once, and calls to it cost nothing.
     */
    private final boolean agentPushesLists;

    private final CallTimeouts timeouts;
    /** The endpoint list of the configuration, in the format of discovery. */
    private final Map<String, Object> knownList;

    private final EndpointListParser parser;
    private final EndpointNumbers endpointNumbers = new EndpointNumbers();
    private final ListVersion version;
    private InetSocketAddress service;
    private final ServiceMigration migration;
    /** The service that the list held is from; another one than {@link #service} during a migration. */
    private InetSocketAddress listService;
    /** Whether the watch of {@link #listService} has ended during the migration, for another reason than silence. */
    private boolean oldWatchEnded;

    private DiscoveryCall watch;
    /** The timer that restarts a lost watch; null if there is none. */
    private Future<?> watchRetry;

    private final BackoffPolicy watchBackoff;
    /** The backoff after a list that was given up because of its time or its size. */
    private final BackoffPolicy listBackoff;

    private long lastPromptRetryNs;
    private long firstCallNs;
    /** Whether a watch has been up to date at any time since the start. */
    private boolean hasBeenUpToDate;

    private final ListFreshness freshness;
    private final FreshnessMonitor freshnessMonitor;
    /** When a watch was last up to date; meaningless before {@link #hasBeenUpToDate}. */
    private long lastUpToDateNs;

    private int callsStarted;
    private final CallEvents callEvents = new CallEvents();

    /**
     * {@code config} has the service's address and the last known list; no call is made before {@link #start}.
     * {@code freshness} is kept up to date by this client and may be read by others.
     */
    public DiscoveryClient(
            EndpointListListener listener,
            ListFreshness freshness,
            EventLoopClock clock,
            ProxyConfiguration config,
            EventLoop eventLoop,
            HostEnvironment host,
            Log log) {
        this.listener = listener;
        this.freshness = freshness;
        freshnessMonitor = new FreshnessMonitor(freshness, clock, listener);
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.host = host;
        this.log = log;
        random = new SplittableRandom(config.seed);
        lastPromptRetryNs = nowNs() - MIN_PROMPT_RETRY_INTERVAL_NS;
        service = config.discovery;
        listService = service;
        agentPushesLists = !config.settings.subscribeRequired;
        int pushTimeoutMs = WatchTimeouts.pushTimeoutMs(config.settings.drainGraceUs / 1000);
        timeouts = new CallTimeouts(agentPushesLists, pushTimeoutMs);
        watchBackoff = agentPushesLists
                ? new BackoffPolicy(WatchTimeouts.MIN_PROMPT_RETRY_DELAY_MS, pushTimeoutMs, random)
                : new BackoffPolicy(WatchTimeouts.INITIAL_BACKOFF_MS, WatchTimeouts.MAX_BACKOFF_MS, random);
        int maxListBackoffMs =
                agentPushesLists ? WatchTimeouts.MAX_PUSHED_LIST_BACKOFF_MS : WatchTimeouts.MAX_LIST_BACKOFF_MS;
        listBackoff = new BackoffPolicy(WatchTimeouts.INITIAL_LIST_BACKOFF_MS, maxListBackoffMs, random);
        migration = new ServiceMigration(
                eventLoop,
                agentPushesLists,
                new BackoffPolicy(
                        WatchTimeouts.INITIAL_BACKOFF_MS,
                        agentPushesLists ? pushTimeoutMs : WatchTimeouts.MAX_BACKOFF_MS,
                        random),
                listBackoff,
                () -> startWatchSince(0));
        knownList = config.lastKnownList;
        parser = new EndpointListParser(config, clock::fromUnixMs);
        version = new ListVersion(EndpointListParser.version(knownList));
    }

    /** The endpoint list of the configuration; to be handled before any other list, because it is older. */
    public List<ListedEndpoint> lastKnownEndpoints() {
        return numbered(parser.entries(knownList));
    }

    /** Assigns the numbers. To be called only for accepted lists: numbers of rejected ones would never be released. */
    private List<ListedEndpoint> numbered(List<ListedEndpoint> endpoints) {
        for (ListedEndpoint endpoint : endpoints) {
            endpoint.info().id = endpointNumbers.numberOf(endpoint.name());
        }
        return endpoints;
    }

    /** The number of endpoints that have a number assigned. */
    public int numberedEndpoints() {
        return endpointNumbers.size();
    }

    /** Releases the number of an endpoint that is gone. Its id never returns: each new machine gets a new one. */
    public void releaseNumber(int number) {
        endpointNumbers.release(number);
    }

    /**
     * Starts the first watch, without the delay of the router's poll policy: after a restart the process holds the list
     * of its configuration, which may be of any age, while the changes since then already count as notified. Where
     * discovery is polled, a random delay of up to {@link WatchTimeouts#FIRST_CALL_SPREAD_MS} spreads the calls of
     * proxies that start together.
     */
    public void start() {
        firstCallNs = nowNs();
        freshness.processStarted(clock.nowUs());
        freshnessMonitor.update();
        if (agentPushesLists) {
            startWatch();
        } else {
            retryWatchAfter(random.nextInt(WatchTimeouts.FIRST_CALL_SPREAD_MS));
        }
    }

    /** Starts a watch unless one is open or scheduled, because each call makes the service send list lines. */
    public void startWatch() {
        if (migration.isActive() || watch != null || watchRetry != null) {
            return;
        }
        // an agent that answers a request for changes with none may still be about to get them
        boolean requestAll = freshness.isInDoubt() && callsStarted > 0;
        watch = startWatchSince(requestAll ? 0 : version.held());
    }

    /** Starts a watch for the changes since a version; 0 requests all endpoints. */
    private DiscoveryCall startWatchSince(long sinceVersion) {
        FirstList firstList = FirstList.REQUIRED;
        if (agentPushesLists) {
            boolean listNeeded = sinceVersion == 0 || freshness.isInDoubt();
            firstList = listNeeded ? FirstList.REQUIRED_SOON : FirstList.IF_CHANGED;
        }
        int firstListTimeoutMs =
                sinceVersion == 0 ? WatchTimeouts.FIRST_LIST_TIMEOUT_MS : WatchTimeouts.FIRST_CHANGES_TIMEOUT_MS;
        return startCall(WATCH_PATH + sinceVersion, true, firstList, firstListTimeoutMs);
    }

    /** Requests a single list of all endpoints. */
    public void fetchList() {
        startCall(LIST_PATH, false, FirstList.REQUIRED, 0);
    }

    /**
     * Migrates to a discovery service at another address; does nothing if the address is unchanged. Until the new
     * service has sent its first list, the list held stays in use, and so does the old watch while it lasts. The new
     * service is asked for all endpoints, because its list versions are unrelated to those of the old one. A migration
     * back to the agent whose list is held ends there, as if it had not begun, unless its watch has ended meanwhile.
     */
    public void migrateTo(InetSocketAddress to) {
        if (to.equals(service)) {
            return;
        }
        log.line("discovery moves to " + NetUtil.toSocketAddressString(to));
        service = to;
        if (agentPushesLists && to.equals(listService) && !oldWatchEnded) {
            migration.cancel();
            freshness.migrationCancelled();
            startWatch();
        } else {
            freshness.migrationBegan(clock.nowUs());
            migration.begin();
        }
        freshnessMonitor.update();
    }

    private DiscoveryCall startCall(String path, boolean watching, FirstList firstList, int firstListTimeoutMs) {
        DiscoveryCall call = new DiscoveryCall(
                callEvents,
                eventLoop,
                clock,
                timeouts,
                log,
                ++callsStarted,
                service,
                watching,
                firstList,
                firstListTimeoutMs);
        call.start(host.outgoing(), path);
        return call;
    }

    private void retryWatchAfter(int delayMs) {
        if (watchRetry != null) {
            return;
        }
        watchRetry = eventLoop.schedule(
                () -> {
                    watchRetry = null;
                    startWatch();
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    private void notifyCallFailed() {
        listener.endpointsReceived(EndpointListKind.FAILED, List.of());
    }

    /**
     * Restarts the watch by a timer of this class: the router's own backoff (1 to 2 s after the first failure, then 2
     * to 4 s), added to the silence and the failed calls before it, could take longer than the time until a change
     * counts as notified; where an agent pushes lists, changes count at once.
     */
    private void watchLost(DiscoveryCall lost) {
        watch = null;
        if (migration.isActive()) {
            oldWatchEnded |= !lost.endedWithoutNews();
            return; // expected: the old service ends its watches when it is replaced
        }
        if (!lost.endedWithoutNews()) {
            freshness.watchInterrupted(clock.nowUs());
            freshnessMonitor.update();
        }
        long nowNs = nowNs();
        if (lost.listWasGivenUp()) {
            retryWatchAfter(listBackoff.nextDelayMs(0));
            notifyCallFailed();
        } else if (agentPushesLists) {
            if (nowNs - lost.startTimeNs() > MIN_PROMPT_RETRY_INTERVAL_NS) {
                watchBackoff.reset();
            }
            retryWatchAfter(watchBackoff.nextDelayMs(lost.elapsedMs()));
        } else if (lost.hadWorked() && nowNs - lastPromptRetryNs > MIN_PROMPT_RETRY_INTERVAL_NS) {
            lastPromptRetryNs = nowNs;
            retryWatchAfter(
                    WatchTimeouts.MIN_PROMPT_RETRY_DELAY_MS + random.nextInt(WatchTimeouts.PROMPT_RETRY_SPREAD_MS));
        } else {
            retryWatchAfter(watchBackoff.nextDelayMs(lost.elapsedMs(), timeLeftMs()));
            notifyCallFailed();
        }
    }

    /**
     * The time in milliseconds until a change that was not received may count as notified; 0 or less if it may already.
     * A process whose watch has not been up to date yet has no time left: it gets 1 ms, which selects the shortest
     * backoff, until {@link WatchTimeouts#NOTIFIED_AT_LATEST_MS} after its first call.
     */
    private long timeLeftMs() {
        long sinceNs = hasBeenUpToDate ? lastUpToDateNs : firstCallNs;
        long leftMs = WatchTimeouts.NOTIFIED_AT_LATEST_MS - TimeUnit.NANOSECONDS.toMillis(nowNs() - sinceNs);
        return hasBeenUpToDate ? leftMs : Math.min(1, leftMs);
    }

    /** Returns true if a list is rejected as older than the one held. Its call is ended; a watch is restarted. */
    private boolean rejectIfStale(DiscoveryCall call, long received, boolean full) {
        ListVersion.Check check = version.check(received, nowNs());
        if (check == ListVersion.Check.ACCEPT) {
            return false;
        }
        boolean restarted = check == ListVersion.Check.RESTARTED;
        log.line(
                Log.Topic.DISCOVERY,
                "discovery sent version " + received + " after " + version.held()
                        + (restarted ? ": the service has restarted" : ": not taken")
                        + " (call " + call.number() + ")");
        if (restarted && full) {
            version.resetStaleCalls();
            return false;
        }
        if (restarted) {
            version.hold(0); // changes to a list that was never received: the next watch requests all endpoints
        }
        call.close();
        if (call == watch) {
            watch = null;
            freshness.olderListReceived(clock.nowUs());
            freshnessMonitor.update();
            retryWatchAfter(
                    WatchTimeouts.MIN_STALE_RETRY_DELAY_MS + random.nextInt(WatchTimeouts.MIN_STALE_RETRY_DELAY_MS));
        } else {
            notifyCallFailed();
        }
        return true;
    }

    /** The new service has sent its first list: its call becomes the watch. */
    private void completeMigration(DiscoveryCall call) {
        DiscoveryCall old = watch;
        watch = call;
        call.expectHeartbeats();
        migration.completed();
        listService = call.service();
        oldWatchEnded = false;
        freshness.migrationCompleted(clock.nowUs());
        if (old != null) {
            old.close("replaced by the watch at the new service");
        }
    }

    private long nowNs() {
        return eventLoop.ticker().nanoTime();
    }

    /** Handles the events of calls; a class of its own to keep these methods out of the public interface. */
    private final class CallEvents implements DiscoveryCall.Owner {
        @Override
        public boolean isWatch(DiscoveryCall call) {
            return call == watch;
        }

        @Override
        public void watchUpToDate() {
            hasBeenUpToDate = true;
            lastUpToDateNs = nowNs();
            freshness.watchUpToDate();
            freshnessMonitor.update();
            listener.watchUpToDate();
        }

        @Override
        public void watchBehind() {
            freshness.watchInterrupted(clock.nowUs());
            freshnessMonitor.update();
        }

        @Override
        public void listMissing(DiscoveryCall call) {
            if (migration.isSuccessor(call)) {
                migration.callFailed();
            } else if (call == watch) {
                watch = null;
                startWatch();
            }
        }

        @Override
        public void connectFailed() {
            if (timeouts.connectFailed()) {
                listener.discoveryUnreachable();
            }
        }

        @Override
        public void callFailed(DiscoveryCall call) {
            if (migration.isSuccessor(call)) {
                migration.callFailed();
            } else if (call == watch) {
                watchLost(call);
            } else {
                notifyCallFailed();
            }
        }

        @Override
        public void listReceived(DiscoveryCall call, Map<String, Object> list) {
            boolean fromSuccessor = migration.isSuccessor(call);
            if (call != watch && !fromSuccessor && !call.service().equals(service)) {
                return; // from the service before the migration, whose versions are unrelated
            }
            List<ListedEndpoint> endpoints = parser.entries(list);
            long received = EndpointListParser.version(list);
            boolean full = Boolean.TRUE.equals(list.get("full"));
            if (fromSuccessor) {
                version.resetStaleCalls();
            } else if (rejectIfStale(call, received, full)) {
                return;
            }
            if (fromSuccessor && call.listWasSkipped()) {
                return; // the skipped list was the full one
            }
            if (fromSuccessor) {
                log.line("discovery has moved: " + (full ? "full list" : "changes") + " of " + endpoints.size()
                        + " endpoints");
                completeMigration(call);
            }
            log.line(
                    Log.Topic.DISCOVERY,
                    "discovery call " + call.number() + " received version " + received
                            + (full ? ", full list, " : ", changes, ") + endpoints.size() + " endpoints, after version "
                            + version.held());
            if (!call.listWasSkipped()) {
                version.hold(received); // after a skipped list the next watch requests the changes again
            }
            listBackoff.reset();
            call.markListAccepted();
            listener.endpointsReceived(full ? EndpointListKind.FULL : EndpointListKind.DELTA, numbered(endpoints));
        }
    }
}
