package cacheproxy.lab.process;

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
import cacheproxy.lab.verification.RecordedEvent;
import cacheproxy.lab.verification.RuleSettings;
import cacheproxy.routing.RequestRouter;
import cacheproxy.server.EmbeddedProxy;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/**
 * A {@code SimulatedSite} on real loopback sockets and in real time: each proxy on an event loop of its own, all
 * stand-ins on the network's thread, which alone may touch them; tests reach it by {@link #on}.
 */
final class LoopbackSite implements AutoCloseable {
    static final long MS = 1_000_000;
    private static final String REGISTRY = "registry";
    /** For what has to happen: a test that waits in vain fails after this. */
    private static final long LIMIT_MS = 20_000;

    private static final long CLOSE_MS = 5_000;
    private static final int SHOWN_LINES = 10;
    /**
     * A busy machine may hold a byte or a thread for so long, which is not the proxy's doing. Time limits to the
     * millisecond are for simulated time to judge; here what is lost must not pass for late.
     */
    private static final double MACHINE_MS = 250;

    private static final double LATE_ANSWER_MS = 1_000;

    /** A proxy's place. */
    final class ProxySlot {
        final int index;
        final InetSocketAddress discoveryAt;
        private MultiThreadIoEventLoopGroup group;
        private EmbeddedProxy process;
        InetSocketAddress listen;
        private boolean drained;
        private boolean over;

        ProxySlot(int index) {
            this.index = index;
            discoveryAt = discovery.serve(name(), at(3));
        }

        String name() {
            return SiteSettings.name(index);
        }

        boolean up() {
            return process != null;
        }

        /** It was ended, all that it had taken was answered, and its connections are gone. */
        boolean drained() {
            return drained;
        }

        private EventLoop loop() {
            return group.next();
        }
    }

    final LoopbackNetwork net = new LoopbackNetwork();
    final SiteSettings settings;
    final RequestLedger ledger;
    final ScriptedDiscovery discovery;
    final Origin origin;
    final List<ScriptedNode> nodes = new ArrayList<>();
    final List<ProxySlot> proxySlots = new ArrayList<>();
    final List<ScriptedClient> clients = new ArrayList<>();
    /** Where the front sends new connections. */
    final List<InetSocketAddress> front = new ArrayList<>();
    /** What proxies log, each line with the proxy before it. */
    private final List<String> lines = new ArrayList<>();

    private final Map<String, IdempotencyMemory> memories;
    private final List<EndpointEntry> first;
    private boolean quiet;

    /** The nodes are there and warm, the proxies have places, and none of them is started. */
    LoopbackSite(SiteSettings settings, int proxies, int nodeCount) {
        this.settings = settings;
        origin = new Origin(net, 20, 200, 15, 0.4, 1);
        memories = settings.memories();
        ledger = new RequestLedger(settings);
        for (int i = 0; i < nodeCount; i++) {
            ScriptedNode n = node();
            on(() -> n.start(1));
        }
        first = nodes.stream().map(ScriptedNode::entry).toList();
        discovery = call(() -> new ScriptedDiscovery(net, REGISTRY, settings.askWithinMs, 1, first));
        for (int i = 0; i < proxies; i++) {
            proxySlots.add(call(() -> new ProxySlot(proxySlots.size())));
        }
    }

    /** Ports that a client's end may have are not on these addresses: a node can come back to its own. */
    private static InetSocketAddress at(int third) {
        return EndpointEntry.address("127.0." + third + ".1:0");
    }

    /** One more cache node, neither started nor listed. */
    ScriptedNode node() {
        int i = nodes.size();
        ScriptedNode n = call(() -> new ScriptedNode(
                net,
                settings.entry(i, at(2)),
                settings.model(1),
                new ScriptedNode.Shared(origin, memories),
                RandomVariates.hash("node " + i, 1)));
        nodes.add(n);
        return n;
    }

    /** A client that the front sends to any proxy. */
    ScriptedClient client(ClientModel model) {
        return client(model, front);
    }

    ScriptedClient client(ClientModel model, List<InetSocketAddress> proxies) {
        String who = "c" + clients.size();
        ScriptedClient c =
                call(() -> new ScriptedClient(net, who, settings, model, ledger, proxies, RandomVariates.hash(who, 1)));
        clients.add(c);
        return c;
    }

    /** The list as it was when the nodes had started. */
    List<EndpointEntry> firstList() {
        return first;
    }

    /** Starts all proxies, and waits until each of them watches. */
    void open() {
        proxySlots.forEach(s -> start(s, 1, first));
        proxySlots.forEach(this::awaitWatch);
    }

    void awaitWatch(ProxySlot proxySlot) {
        await(proxySlot.name() + " watches", () -> discovery.watches(proxySlot.name()) > 0);
    }

    /** Starts a proxy that knows this list, and waits until it listens. */
    void start(ProxySlot proxySlot, long version, List<EndpointEntry> known) {
        proxySlot.group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(proxySlot.name(), true), NioIoHandler.newFactory());
        InetSocketAddress listen = at(0);
        String config = settings.config(
                proxySlot.index,
                proxySlots.size(),
                listen,
                proxySlot.discoveryAt,
                RandomVariates.hash(proxySlot.name(), 1),
                version,
                known);
        on(() -> {
            net.fact(proxySlot.name(), "start", "");
            net.fact(
                    REGISTRY,
                    "told",
                    proxySlot.name() + " " + version + " full "
                            + String.join(
                                    ",",
                                    known.stream()
                                            .map(e -> e.id() + ":" + e.state())
                                            .toList()));
            discovery.restarted(proxySlot.name(), version);
        });
        try {
            proxySlot.process = proxySlot
                    .loop()
                    .submit(() -> new EmbeddedProxy(
                            SiteSettings.env(proxySlot.index, listen, proxySlot.discoveryAt, "-"),
                            config,
                            new EmbeddedProxy.Host(
                                    proxySlot.loop(),
                                    NioSocketChannel::new,
                                    NioServerSocketChannel::new,
                                    System::currentTimeMillis),
                            line -> said(proxySlot, line),
                            UnaryOperator.<RequestRouter>identity()))
                    .get();
            proxySlot.loop().submit(proxySlot.process::begin).get().get(LIMIT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new AssertionError(proxySlot.name() + " does not start", e.getCause());
        } catch (InterruptedException | java.util.concurrent.TimeoutException e) {
            throw new AssertionError(e);
        }
        proxySlot.listen = proxySlot.process.address();
        on(() -> front.add(proxySlot.listen));
    }

    private void said(ProxySlot proxySlot, String line) {
        synchronized (lines) {
            lines.add(proxySlot.name() + " " + line);
        }
    }

    /** What proxies have said with this in it. */
    List<String> said(String what) {
        synchronized (lines) {
            return lines.stream().filter(l -> l.contains(what)).toList();
        }
    }

    /** SIGTERM: the front learns of it a moment later, and the process ends once it has drained. */
    void term(ProxySlot proxySlot) {
        on(() -> {
            net.fact(proxySlot.name(), "term", "");
            net.after(300 * MS, () -> front.remove(proxySlot.listen));
        });
        proxySlot
                .loop()
                .execute(() -> proxySlot
                        .process
                        .end()
                        .addListener(f -> net.after(0, () -> {
                            proxySlot.drained = true;
                            stop(proxySlot);
                        })));
    }

    /** What is still open breaks with the process, which has not crashed: no kill is recorded. */
    private void stop(ProxySlot proxySlot) {
        if (!proxySlot.over) {
            proxySlot.over = true;
            proxySlot.group.shutdownGracefully(0, CLOSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    // ---- the driver's hands ----

    void on(Runnable task) {
        net.run(task);
    }

    <T> T call(Callable<T> task) {
        return net.call(task);
    }

    /** Runs it now and then, on the network's thread, until nothing is asked any more. */
    void every(long ms, Runnable task) {
        net.after(ms * MS, () -> {
            if (!quiet) {
                task.run();
                every(ms, task);
            }
        });
    }

    void await(String what, BooleanSupplier holds) {
        if (!net.await(holds, LIMIT_MS)) {
            List<String> said = said("");
            throw new AssertionError(
                    "waited in vain: " + what + "; " + ledger.entries().size() + " asked, "
                            + ledger.count(RequestLedger.Result.OPEN) + " open; last said "
                            + said.subList(Math.max(0, said.size() - SHOWN_LINES), said.size()));
        }
    }

    /** The load flows for so long: where the passing of time is what matters. */
    void flow(long ms) {
        long until = net.nowNs() + ms * MS;
        await("time", () -> net.nowNs() >= until);
    }

    /** Ordinary load from now on, for as long as nobody stops it. */
    void load(ScriptedClient client, double perS) {
        on(() -> client.arrivals(Long.MAX_VALUE, () -> perS));
    }

    /** Nothing is asked any more, all that was is over, and the proxies that are up hold nothing of it. */
    void settle() {
        hush();
        await("all that was asked is over", () -> ledger.count(RequestLedger.Result.OPEN) == 0);
        for (ProxySlot s : proxySlots) {
            if (s.up() && !call(() -> s.over)) {
                await(
                        s.name() + " holds nothing",
                        () -> held(s).values().stream().allMatch(n -> n == 0));
            }
        }
    }

    private void hush() {
        on(() -> {
            quiet = true;
            clients.forEach(ScriptedClient::stop);
        });
    }

    private static Map<String, Long> held(ProxySlot s) {
        try {
            return s.loop().submit(s.process::reserved).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    // ---- what has happened ----

    long now() {
        return net.nowNs();
    }

    /** How often a stand-in told such a fact within a time; null for whoever it was. */
    long facts(String who, String begins, long fromNs, long toNs) {
        return net.events().stream()
                .filter(e -> e.kind() == RecordedEvent.Kind.FACT
                        && e.note().startsWith(begins)
                        && (who == null || e.who().equals(who))
                        && e.atNs() >= fromNs
                        && e.atNs() < toNs)
                .count();
    }

    long facts(String who, String begins) {
        return facts(who, begins, 0, Long.MAX_VALUE);
    }

    /** For each id the nodes that began it, in their order, one as often as it did. */
    Map<String, List<String>> begun() {
        Map<String, List<String>> all = new LinkedHashMap<>();
        for (RecordedEvent e : net.events()) {
            if (e.kind() == RecordedEvent.Kind.FACT && e.note().startsWith("begin ")) {
                all.computeIfAbsent(e.note().substring(6), id -> new ArrayList<>())
                        .add(e.who());
            }
        }
        return all;
    }

    /** What the record says of the four rules, and what proxies say themselves. */
    Findings judge() {
        RuleSettings rules = settings.rules(nodes);
        for (ProxySlot s : proxySlots) {
            if (s.listen != null) {
                rules.proxy(s.name(), EndpointEntry.text(s.listen));
            }
        }
        rules.transitMs = MACHINE_MS;
        rules.responseGraceMs = LATE_ANSWER_MS;
        Findings found = Checker.check(net.events(), rules);
        List<String> faults = new ArrayList<>(said("fault:"));
        faults.addAll(said("left unanswered"));
        if (!faults.isEmpty()) {
            throw new AssertionError(faults + "\n" + found);
        }
        return found;
    }

    /** The proxies first, so that none of them complains of what goes away. */
    @Override
    public void close() {
        hush();
        for (ProxySlot s : proxySlots) {
            if (s.group != null) {
                s.group.shutdownGracefully(0, CLOSE_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_MS);
            }
        }
        net.close();
    }
}
