package cacheproxy.lab.scenario;

import cacheproxy.lab.simulation.Network;
import cacheproxy.lab.simulation.SimEventLoop;
import cacheproxy.lab.simulation.SimNetwork;
import cacheproxy.lab.simulation.SimProcess;
import cacheproxy.lab.simulation.SimulationScheduler;
import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.EndpointEntry;
import cacheproxy.lab.standin.IdempotencyMemory;
import cacheproxy.lab.standin.Origin;
import cacheproxy.lab.standin.RandomVariates;
import cacheproxy.lab.standin.RequestLedger;
import cacheproxy.lab.standin.ScriptedClient;
import cacheproxy.lab.standin.ScriptedDiscovery;
import cacheproxy.lab.standin.ScriptedNode;
import cacheproxy.lab.standin.SiteSettings;
import cacheproxy.lab.verification.Checker;
import cacheproxy.lab.verification.Findings;
import cacheproxy.lab.verification.RuleSettings;
import cacheproxy.routing.RequestRouter;
import cacheproxy.server.EmbeddedProxy;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/** A site of whole proxies, cache nodes, clients and discovery in one simulation. */
public final class SimulatedSite {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;
    private static final String REGISTRY = "registry";
    private static final long TERM_TO_KILL_NS = 3_700 * MS;
    private static final long SOON_NS = 500 * MS;
    private static final int MOST_LINES = 400;

    /** The machine of a cache node: kind, speed relative to the reference, and listed weight. */
    public record Machine(String kind, double speed, double weight) {}

    /** A proxy by its address, across restarts of its process. */
    final class ProxySlot {
        final int index;
        final InetSocketAddress listen;
        final InetSocketAddress discovery;
        EmbeddedProxy process;
        SimProcess machine;
        /** Processor times of its event loop in ns, see {@link SimEventLoop#costs}. */
        long eventNs;

        long taskNs;
        private int incarnation;
        /** Whether a process was started and has not ended, whether or not it has begun to run. */
        private boolean taken;
        /** Whether the load balancer sends new connections there. */
        private boolean takesNewConnections;

        ProxySlot(int index) {
            this.index = index;
            listen = EndpointEntry.address(1, index, 11211);
            discovery = EndpointEntry.address(3, index, 8500);
        }

        String name() {
            return SiteSettings.name(index);
        }

        boolean up() {
            return process != null;
        }

        boolean takesNewConnections() {
            return takesNewConnections;
        }

        void takesNewConnections(boolean now) {
            takesNewConnections = now;
            front.remove(listen);
            if (now) {
                front.add(listen);
            }
        }
    }

    final SimulationScheduler scheduler;
    final SimNetwork net;
    final SiteSettings settings;
    final Origin origin;
    final RequestLedger ledger;
    final ScriptedDiscovery discovery;
    final List<ScriptedNode> nodes = new ArrayList<>();
    final List<ProxySlot> proxySlots = new ArrayList<>();
    final List<ScriptedClient> clients = new ArrayList<>();
    /** Targets of new connections; kept by {@link ProxySlot#takesNewConnections}. */
    final List<InetSocketAddress> front = new ArrayList<>();
    /** The proxies' log lines, prefixed by time and proxy. */
    final List<String> lines = new ArrayList<>();
    /** Wraps the router of each proxy; used by tests of the simulation itself. */
    UnaryOperator<RequestRouter> wrap = module -> module;
    /** Time for which the load balancer keeps sending new connections to a dead proxy, in ns. */
    long frontReactionNs;

    private final List<EndpointEntry> first;
    private final Map<String, IdempotencyMemory> memories;
    private long seeds;

    /** Creates proxies and nodes without starting them. */
    SimulatedSite(long seed, SiteSettings settings, int proxies, int nodeCount) {
        this(
                new SimulationScheduler(seed),
                seed,
                settings,
                proxies,
                Collections.nCopies(nodeCount, new Machine(settings.machines.get(0), 1, 1)),
                net -> new Origin(net, 20, 100, 15, 0.4, seed));
    }

    SimulatedSite(
            SimulationScheduler scheduler,
            long seed,
            SiteSettings settings,
            int proxies,
            List<Machine> machines,
            Function<Network, Origin> origins) {
        this.settings = settings;
        this.scheduler = scheduler;
        net = new SimNetwork(scheduler);
        net.jitter(100_000);
        seeds = seed;
        origin = origins.apply(net);
        memories = settings.memories();
        ledger = new RequestLedger(settings);
        machines.forEach(this::node);
        first = nodes.stream().map(ScriptedNode::entry).toList();
        discovery = new ScriptedDiscovery(net, REGISTRY, settings.askWithinMs, 1, first);
        for (int i = 0; i < proxies; i++) {
            ProxySlot proxySlot = new ProxySlot(i);
            proxySlots.add(proxySlot);
            discovery.serve(proxySlot.name(), proxySlot.discovery);
        }
    }

    /** Adds a cache node, not listed yet. */
    ScriptedNode node(double speed) {
        return node(new Machine(settings.machines.get(0), speed, 1));
    }

    ScriptedNode node(Machine on) {
        int i = nodes.size();
        EndpointEntry e = settings.entry(i, EndpointEntry.address(2, i, 11211), on.kind, on.weight);
        ScriptedNode n = new ScriptedNode(
                net,
                e,
                settings.model(on.speed),
                new ScriptedNode.Shared(origin, memories),
                RandomVariates.hash("node " + i, seeds));
        nodes.add(n);
        return n;
    }

    ScriptedClient client(ClientModel model) {
        return client(model, front);
    }

    /** Adds a client whose connections go to these proxies. */
    ScriptedClient client(ClientModel model, List<InetSocketAddress> proxies) {
        String who = "c" + clients.size();
        ScriptedClient c =
                new ScriptedClient(net, who, settings, model, ledger, proxies, RandomVariates.hash(who, seeds));
        clients.add(c);
        return c;
    }

    /** The load balancer's proxies in a zone, or all if it has none there. */
    List<InetSocketAddress> frontOf(String zone) {
        return new AbstractList<>() {
            private List<InetSocketAddress> now() {
                List<InetSocketAddress> own = new ArrayList<>();
                for (ProxySlot s : proxySlots) {
                    if (settings.zoneOf(s.index).equals(zone) && s.takesNewConnections) {
                        own.add(s.listen);
                    }
                }
                return own.isEmpty() ? front : own;
            }

            @Override
            public InetSocketAddress get(int i) {
                return now().get(i);
            }

            @Override
            public int size() {
                return now().size();
            }
        };
    }

    /** Starts all nodes and proxies. */
    void open() {
        nodes.forEach(n -> n.start(1));
        proxySlots.forEach(s -> start(s, 1, first));
    }

    /** Starts a proxy with this endpoint list, unless one has just been started there. */
    void start(ProxySlot proxySlot, long version, List<EndpointEntry> known) {
        if (proxySlot.taken) {
            return;
        }
        proxySlot.taken = true;
        int incarnation = ++proxySlot.incarnation;
        proxySlot.machine = net.machine(proxySlot.name(), new InetSocketAddress(proxySlot.listen.getAddress(), 0));
        SimProcess m = proxySlot.machine;
        m.loop().costs(proxySlot.eventNs, proxySlot.taskNs);
        String config = config(proxySlot, version, known);
        net.fact(proxySlot.name(), "start", "");
        net.fact(REGISTRY, "told", proxySlot.name() + " " + version + " full " + shown(known));
        discovery.restarted(proxySlot.name(), version);
        m.loop().execute(() -> {
            proxySlot.process = new EmbeddedProxy(
                    SiteSettings.env(proxySlot.index, proxySlot.listen, proxySlot.discovery, "-"),
                    config,
                    new EmbeddedProxy.Host(m.loop(), m.outgoing(), m.listening(), m.unixMs()),
                    line -> said(proxySlot, line),
                    wrap);
            proxySlot.process.begin().addListener(f -> {
                if (incarnation == proxySlot.incarnation && f.isSuccess()) {
                    proxySlot.takesNewConnections(true);
                } else if (!f.isSuccess()) {
                    scheduler.fault(f.cause());
                }
            });
        });
    }

    private String config(ProxySlot proxySlot, long version, List<EndpointEntry> known) {
        return settings.config(
                proxySlot.index,
                proxySlots.size(),
                proxySlot.listen,
                proxySlot.discovery,
                RandomVariates.hash(proxySlot.name() + proxySlot.incarnation, seeds),
                version,
                known);
    }

    private static String shown(List<EndpointEntry> list) {
        return String.join(",", list.stream().map(e -> e.id() + ":" + e.state()).toList());
    }

    private void said(ProxySlot proxySlot, String line) {
        if (lines.size() < MOST_LINES) {
            lines.add(scheduler.now() / MS + " ms " + proxySlot.name() + " " + line);
        }
        if (line.contains("fault:") || line.contains("left unanswered")) {
            scheduler.fault(new AssertionError(proxySlot.name() + ": " + line));
        }
    }

    List<EndpointEntry> firstList() {
        return first;
    }

    void kill(ProxySlot proxySlot) {
        if (proxySlot.up() && proxySlot.machine.loop().standing()) {
            proxySlot
                    .machine
                    .loop()
                    .afterTurn(() -> kill(proxySlot)); // the rest of its iteration would run in a dead process
        } else if (proxySlot.up()) {
            net.fact(proxySlot.name(), "kill", "");
            gone(proxySlot);
        }
    }

    private void gone(ProxySlot proxySlot) {
        int incarnation = ++proxySlot.incarnation;
        proxySlot.taken = false;
        proxySlot.process = null;
        if (frontReactionNs == 0) {
            proxySlot.takesNewConnections(false);
        } else {
            scheduler.after(frontReactionNs, () -> {
                if (incarnation == proxySlot.incarnation) {
                    proxySlot.takesNewConnections(false);
                }
            });
        }
        net.kill(proxySlot.name());
    }

    /** Sends SIGTERM; the process ends once drained, else by SIGKILL. */
    void term(ProxySlot proxySlot) {
        if (!proxySlot.up()) {
            return;
        }
        net.fact(proxySlot.name(), "term", "");
        int incarnation = proxySlot.incarnation;
        EmbeddedProxy process = proxySlot.process;
        // the load balancer notices later
        scheduler.after(300 * MS, () -> proxySlot.takesNewConnections(false));
        proxySlot.machine.loop().execute(() -> {
            Future<Void> drained = process.end();
            drained.addListener(f -> scheduler.after(0, () -> ended(proxySlot, incarnation)));
        });
        scheduler.after(TERM_TO_KILL_NS, () -> ended(proxySlot, incarnation));
    }

    private void ended(ProxySlot proxySlot, int incarnation) {
        if (incarnation == proxySlot.incarnation) {
            kill(proxySlot);
        }
    }

    /** Stalls its event loop, for a time in ns. */
    void pause(ProxySlot proxySlot, long ns) {
        if (proxySlot.up()) {
            net.fact(proxySlot.name(), "paused", Long.toString(ns));
            proxySlot.machine.pause(scheduler.now() + ns);
        }
    }

    /** Stalls its event loop at the next such point within an iteration, if it reaches one soon. */
    void pauseInside(ProxySlot proxySlot, SimEventLoop.Point where, long ns, Runnable begun) {
        if (proxySlot.up()) {
            proxySlot.machine.loop().pauseInside(where, ns, scheduler.now() + SOON_NS, actualNs -> {
                net.fact(proxySlot.name(), "paused", Long.toString(actualNs));
                begun.run();
            });
        }
    }

    /** Rewrites the configuration unchanged and sends SIGHUP. */
    void reload(ProxySlot proxySlot) {
        if (proxySlot.up()) {
            EmbeddedProxy process = proxySlot.process;
            String config = config(proxySlot, 1, first);
            proxySlot.machine.loop().execute(() -> process.reload(config));
        }
    }

    /** Checks the record against the four rules. */
    Findings judge() {
        RuleSettings rules = settings.rules(nodes);
        for (ProxySlot s : proxySlots) {
            rules.proxy(s.name(), EndpointEntry.text(s.listen));
        }
        return Checker.check(net.record().events(), rules);
    }
}
