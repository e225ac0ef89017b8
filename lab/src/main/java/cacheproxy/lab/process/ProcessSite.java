package cacheproxy.lab.process;

import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.metrics.RequestTotals;
import cacheproxy.lab.metrics.SiteMetrics;
import cacheproxy.lab.scenario.CachePlacement;
import cacheproxy.lab.scenario.Fault;
import cacheproxy.lab.scenario.SimulatedSite;
import cacheproxy.lab.scenario.SiteLayout;
import cacheproxy.lab.scenario.SiteModel;
import cacheproxy.lab.scenario.SiteSimulation;
import cacheproxy.lab.scenario.SiteValidator;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A site in real time on loopback: each proxy is a process of the program, controlled by signals; nodes, clients,
 * origin and discovery are stand-ins on one thread, and paths between zones go through a {@link Relay}. No two runs are
 * the same, since the machine's speed and scheduling take part.
 */
public final class ProcessSite implements AutoCloseable {
    private static final String REGISTRY = "registry";
    private static final long MS = 1_000_000;
    private static final long AFTER_MS = 4_000;
    private static final long READY_MS = 30_000;
    private static final long TERM_TO_KILL_MS = 3_700;
    /** Tolerance in ms for a busy machine. */
    private static final double MACHINE_MS = 250;

    private static final double LATE_ANSWER_MS = 1_000;
    private static final int MOST_TOLD = 20;

    /**
     * How a proxy is started.
     *
     * @param command the command line, run without a shell
     * @param folder for configurations and logs
     */
    public record Program(List<String> command, Path folder) {}

    private final class ProxySlot {
        private final int index;
        private final InetSocketAddress listen;
        private final InetSocketAddress discoveryAt;
        private Process process;
        private boolean takesNewConnections;
        private long cpuMs;
        private int incarnation;

        ProxySlot(int index) throws IOException {
            this.index = index;
            try (ServerSocket free = new ServerSocket()) {
                free.bind(at(4));
                listen = (InetSocketAddress) free.getLocalSocketAddress();
            }
            discoveryAt = net.call(() -> discovery.serve(name(), at(3)));
        }

        String name() {
            return SiteSettings.name(index);
        }

        String zone() {
            return settings.zoneOf(index);
        }

        boolean up() {
            return process != null && process.isAlive();
        }
    }

    private final SiteModel model;
    private final List<Fault> faults;
    private final Program program;
    private final long seed;
    private final SiteLayout plan;
    private final SiteSettings settings;
    private final SplittableRandom chance;
    private final LoopbackNetwork net = new LoopbackNetwork();
    private final Relay relay;
    /** Starts processes: a fork would block the stand-ins' thread. */
    private final ExecutorService starter = Executors.newSingleThreadExecutor();

    private final Map<String, IdempotencyMemory> memories;
    private final Origin origin;
    private final RequestLedger ledger;
    private final RequestTotals totals;
    private final SiteMetrics metrics;
    private final List<ScriptedNode> nodes = new ArrayList<>();
    private final List<ProxySlot> proxySlots = new ArrayList<>();
    /** Relay addresses of nodes in other zones, by zone and node. */
    private final Map<String, InetSocketAddress> doors = new HashMap<>();

    private final ScriptedDiscovery discovery;
    private final ScriptedClient greeter;
    private final int seconds;
    private double burst = 1;
    private double growth = 1;
    private long fromNs = Long.MAX_VALUE;
    private IOException failed;
    private boolean over;

    private ProcessSite(SiteModel model, List<Fault> faults, long seed, Program program) throws IOException {
        this.model = model;
        this.faults = faults;
        this.seed = seed;
        this.program = program;
        Files.createDirectories(program.folder());
        chance = new SplittableRandom(RandomVariates.hash("troubles", seed));
        plan = new SiteLayout(model, seed);
        settings = plan.settings;
        seconds = model.lengthMs() / 1000;
        relay = new Relay(model.network().crossMs());
        memories = settings.memories();
        origin = plan.origin(net);
        ledger = new RequestLedger(settings);
        totals = new RequestTotals(settings, 0, seconds);
        metrics = new SiteMetrics(nodes, origin, seconds);
        for (SimulatedSite.Machine m : plan.machines) {
            net.run(() -> node(m).start(1));
        }
        for (ScriptedNode n : nodes) {
            doors(n);
        }
        net.run(() -> CachePlacement.of(nodes, model.clients().keys()));
        List<EndpointEntry> first = nodes.stream().map(ScriptedNode::entry).toList();
        discovery = net.call(() -> new ScriptedDiscovery(net, REGISTRY, settings.askWithinMs, 1, first));
        discovery.linesPerS = model.discovery().linesPerS();
        discovery.callLines = model.discovery().callLines();
        discovery.seenBy = this::seen;
        greeter = new ScriptedClient(net, "front", settings, plan.clients, ledger, List.of(), 1);
        for (int i = 0; i < model.proxies(); i++) {
            proxySlots.add(new ProxySlot(i));
        }
    }

    /**
     * Runs a site, which takes as long as its times say.
     *
     * @throws IllegalArgumentException if the site is invalid, with all errors
     * @throws IOException if a proxy does not become ready
     */
    public static Outcome run(SiteModel model, List<Fault> faults, long seed, Program program)
            throws IOException, InterruptedException {
        List<String> wrong = SiteValidator.of(model, faults);
        if (!wrong.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", wrong));
        }
        try (ProcessSite r = new ProcessSite(model, faults, seed, program)) {
            return r.run();
        }
    }

    // ---- what there is ----

    private static InetSocketAddress at(int third) {
        return EndpointEntry.address("127.0." + third + ".1:0");
    }

    private ScriptedNode node(SimulatedSite.Machine on) {
        int i = nodes.size();
        ScriptedNode n = new ScriptedNode(
                net,
                settings.entry(i, at(2), on.kind(), on.weight()),
                settings.model(on.speed()),
                new ScriptedNode.Shared(origin, memories),
                RandomVariates.hash("node " + i, seed));
        plan.furnish(n);
        n.far = relay::brings;
        nodes.add(n);
        return n;
    }

    private void doors(ScriptedNode n) {
        for (String zone : settings.zones) {
            if (!zone.equals(n.entry().zone())) {
                doors.put(zone + " " + n.name(), relay.door(zone, n.entry().zone(), n::address));
            }
        }
    }

    private EndpointEntry seen(String proxy, EndpointEntry e) {
        String zone = proxySlots.stream()
                .filter(s -> s.name().equals(proxy))
                .findFirst()
                .map(ProxySlot::zone)
                .orElse("");
        InetSocketAddress door = doors.get(zone + " " + e.id());
        return door == null ? e : e.at(door);
    }

    private final class Front extends AbstractList<InetSocketAddress> {
        private final List<Integer> own;
        private List<InetSocketAddress> now = List.of();

        Front(int index) {
            own = plan.near(index);
        }

        @Override
        public int size() {
            now = own.stream()
                    .map(proxySlots::get)
                    .filter(s -> s.takesNewConnections)
                    .map(s -> s.listen)
                    .toList();
            if (now.isEmpty()) {
                now = proxySlots.stream()
                        .filter(s -> s.takesNewConnections)
                        .map(s -> s.listen)
                        .toList();
            }
            return now.size();
        }

        @Override
        public InetSocketAddress get(int i) {
            return now.get(i); // the caller has just asked for the size
        }
    }

    // ---- processes ----

    /** On the network's thread. */
    private void start(ProxySlot s) {
        if (over || s.up()) {
            return;
        }
        long version = discovery.version();
        List<EndpointEntry> known =
                discovery.entries().stream().map(e -> seen(s.name(), e)).toList();
        String config = settings.config(
                s.index,
                proxySlots.size(),
                s.listen,
                s.discoveryAt,
                RandomVariates.hash(s.name(), seed),
                version,
                known);
        net.fact(s.name(), "start", "");
        net.fact(
                REGISTRY,
                "told",
                s.name() + " " + version + " full "
                        + String.join(
                                ",",
                                known.stream()
                                        .map(e -> e.id() + ":" + e.state())
                                        .toList()));
        discovery.restarted(s.name(), version);
        int incarnation = ++s.incarnation;
        starter.execute(() -> {
            try {
                Path file = program.folder().resolve(s.name() + ".json");
                Files.writeString(file, config);
                ProcessBuilder b = new ProcessBuilder(program.command())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(
                                program.folder().resolve(s.name() + ".log").toFile()));
                b.environment().putAll(SiteSettings.env(s.index, s.listen, s.discoveryAt, file.toString()));
                Process p = b.start();
                net.after(0, () -> began(s, incarnation, p));
            } catch (IOException e) {
                failed = e;
            }
        });
    }

    private void began(ProxySlot s, int incarnation, Process p) {
        s.process = p;
        s.cpuMs = 0;
        if (over) {
            p.destroyForcibly();
            return;
        }
        greeter.greet(s.listen, () -> s.takesNewConnections = incarnation == s.incarnation && p.isAlive());
    }

    private void kill(ProxySlot s) {
        if (s.up()) {
            net.fact(s.name(), "kill", "");
            int incarnation = s.incarnation;
            s.process.destroyForcibly();
            net.after(
                    (long) (model.clients().frontNoticeMs() * MS),
                    () -> s.takesNewConnections &= incarnation != s.incarnation);
        }
    }

    private void killed(ProxySlot s, double downSeconds) {
        kill(s);
        after(downSeconds, () -> again(s));
    }

    /** Starts a process once its predecessor has ended, which holds the address until then. */
    private void again(ProxySlot s) {
        if (s.up() && !over) {
            net.after(20 * MS, () -> again(s));
        } else {
            start(s);
        }
    }

    private void termed(ProxySlot s) {
        if (!s.up()) {
            return;
        }
        net.fact(s.name(), "term", "");
        int incarnation = s.incarnation;
        net.after(300 * MS, () -> s.takesNewConnections &= incarnation != s.incarnation);
        s.process.destroy();
        net.after(TERM_TO_KILL_MS * MS, () -> {
            if (incarnation == s.incarnation) {
                kill(s);
            }
        });
        again(s);
    }

    private void stalled(ProxySlot s, double lasts) {
        if (s.up()) {
            long pid = s.process.pid();
            net.fact(s.name(), "paused", Long.toString((long) (lasts * 1e9)));
            signal("-STOP", pid);
            after(lasts, () -> signal("-CONT", pid));
        }
    }

    private void signal(String which, long pid) {
        starter.execute(() -> {
            try {
                new ProcessBuilder("kill", which, Long.toString(pid)).start().waitFor();
            } catch (IOException e) {
                failed = e;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    // ---- what goes wrong ----

    private void after(double s, Runnable what) {
        net.after((long) (s * 1e9), what);
    }

    private <T> List<T> some(List<T> of, double share) {
        List<T> all = new ArrayList<>(of);
        Collections.shuffle(all, new java.util.Random(chance.nextLong()));
        return all.subList(0, (int) Math.round(share * all.size()));
    }

    private void listed(ScriptedNode n) {
        after(model.discovery().joinMs() / 1e3, () -> {
            if (n.up()) {
                discovery.serving(n.entry());
            }
        });
    }

    private void dies(ScriptedNode n, double downSeconds) {
        n.stop();
        metrics.nodesStopped();
        after(model.discovery().goneMs() / 1e3, () -> {
            if (!n.up()) {
                discovery.remove(n.name());
            }
        });
        after(downSeconds, () -> {
            if (!n.up() && !over) {
                n.start(model.node().coldFrom());
                listed(n);
            }
        });
    }

    private void tear(String zone, boolean closed, boolean bothWays) {
        for (String other : settings.zones) {
            if (!other.equals(zone)) {
                relay.closed(zone, other, closed);
                relay.closed(other, zone, closed && bothWays);
            }
        }
    }

    /** Cuts a zone off; the load balancer and discovery notice later. */
    private void cut(String zone, double lasts) {
        isolate(zone, true);
        after(lasts, () -> isolate(zone, false));
        for (ScriptedNode n : nodes) {
            double noticed = model.discovery().goneMs() / 1e3;
            if (n.entry().zone().equals(zone) && noticed < lasts) {
                after(noticed, () -> discovery.remove(n.name()));
                after(lasts, () -> listed(n));
            }
        }
        for (ProxySlot s : proxySlots) {
            if (s.zone().equals(zone)) {
                int incarnation = s.incarnation;
                after(
                        Math.min(lasts, model.clients().frontNoticeMs() / 1e3),
                        () -> s.takesNewConnections &= incarnation != s.incarnation);
                after(lasts, () -> s.takesNewConnections |= incarnation == s.incarnation && s.up());
            }
        }
    }

    private void isolate(String zone, boolean on) {
        tear(zone, on, true);
        for (ScriptedNode n : nodes) {
            if (n.entry().zone().equals(zone)) {
                net.isolate(n.name(), on);
            }
        }
        for (ProxySlot s : proxySlots) {
            if (s.zone().equals(zone)) {
                net.isolate(s.listen, on);
                net.isolate(s.discoveryAt, on);
            }
        }
    }

    private void begin(Fault t) {
        switch (t.kind()) {
            case BURST -> {
                burst *= t.times();
                after(t.seconds(), () -> burst /= t.times());
            }
            case SITE_APART, SITE_UNHEARD -> {
                tear(t.zone(), true, t.kind() == Fault.Kind.SITE_APART);
                after(t.seconds(), () -> tear(t.zone(), false, true));
            }
            case SITE_CUT -> cut(t.zone(), t.seconds());
            case SITE_LOST -> {
                nodes.stream().filter(n -> n.entry().zone().equals(t.zone())).forEach(n -> dies(n, t.seconds()));
                proxySlots.stream().filter(s -> s.zone().equals(t.zone())).forEach(s -> killed(s, t.seconds()));
            }
            case NODES_SLOW ->
                some(nodes, t.share()).forEach(n -> {
                    n.model.speed /= t.times();
                    after(t.seconds(), () -> n.model.speed *= t.times());
                });
            case NODES_RESTARTED -> some(nodes, t.share()).forEach(n -> dies(n, t.seconds()));
            case GROW -> grows(t);
            case FLUSH -> {
                long salt = chance.nextLong();
                nodes.forEach(n -> n.flush(t.share(), salt));
            }
            case SCAN -> {
                plan.clients.scans = t.share();
                after(t.seconds(), () -> plan.clients.scans = 0);
            }
            case PROXIES_KILLED -> some(proxySlots, t.share()).forEach(s -> killed(s, 0));
            case PROXIES_ROLLED ->
                proxySlots.forEach(s -> after(t.seconds() * s.index / proxySlots.size(), () -> termed(s)));
            case PROXIES_STALLED -> some(proxySlots, t.share()).forEach(s -> stalled(s, t.seconds()));
            case DISCOVERY_SILENT -> {
                discovery.down(true);
                after(t.seconds(), () -> discovery.down(false));
            }
            case TENANT_SURGE -> {
                burst *= plan.usage(t.tenant(), t.times());
                after(t.seconds(), () -> burst *= plan.usage(t.tenant(), 1 / t.times()));
            }
            default -> throw new IllegalStateException(t.kind().toString());
        }
    }

    private void grows(Fault t) {
        int more = (int) Math.round(model.nodes() * (t.times() - 1));
        for (int i = 1; i <= more; i++) {
            after(t.seconds() * i / more, () -> {
                ScriptedNode n = node(plan.machines.get(chance.nextInt(plan.machines.size())));
                n.start(model.node().coldFrom());
                doors(n);
                listed(n);
                growth += t.share() / model.nodes();
            });
        }
    }

    // ---- the play ----

    private Outcome run() throws IOException, InterruptedException {
        long began = System.nanoTime();
        net.run(() -> proxySlots.forEach(this::start));
        ready();
        CountDownLatch end = new CountDownLatch(1);
        net.run(() -> {
            fromNs = net.nowNs() + model.warmMs() * MS;
            ledger.fromNs = fromNs;
            totals.from(fromNs);
            ledger.given(totals::take);
            long endNs = fromNs + model.lengthMs() * MS;
            for (ProxySlot s : proxySlots) {
                String who = "c" + s.index;
                ScriptedClient c = new ScriptedClient(
                        net, who, settings, plan.clients, ledger, new Front(s.index), RandomVariates.hash(who, seed));
                double usual = plan.perS / proxySlots.size();
                c.arrivals(endNs, () -> usual * burst * growth * plan.shape((net.nowNs() - fromNs) / 1e9));
            }
            for (Fault t : faults) {
                net.after(fromNs + (long) (t.at() * 1e9) - net.nowNs(), () -> begin(t));
            }
            net.after(fromNs - net.nowNs(), this::sample);
            net.after(endNs + AFTER_MS * MS - net.nowNs(), end::countDown);
        });
        end.await();
        List<String> broken = new ArrayList<>();
        if (failed != null) {
            throw failed;
        }
        net.await(() -> true, 0); // rethrows exceptions of stand-ins
        if (model.judged()) {
            judge().violations().stream().limit(MOST_TOLD).forEach(v -> broken.add(v.toString()));
        }
        if (ledger.unmatchedResponses > 0) {
            broken.add(ledger.unmatchedResponses + " answers that nobody asked for");
        }
        return net.call(() -> {
            ledger.settle();
            totals.count(
                    faults.stream().mapToDouble(Fault::at).min().orElse(-1),
                    faults.stream().mapToDouble(Fault::endsAt).max().orElse(-1));
            Map<String, Double> figures = SiteSimulation.figures(totals, metrics, plan.workMs);
            metrics.series(totals.series);
            return new Outcome(seed, figures, totals.series, broken, totals.asked, 0, (System.nanoTime() - began) / MS);
        });
    }

    private void ready() throws IOException, InterruptedException {
        boolean all = net.await(
                        () -> failed != null
                                || proxySlots.stream().allMatch(s -> s.takesNewConnections)
                                || proxySlots.stream().anyMatch(s -> s.process != null && !s.process.isAlive()),
                        READY_MS)
                && net.call(() -> proxySlots.stream().allMatch(s -> s.takesNewConnections));
        if (failed != null) {
            throw failed;
        }
        List<ProxySlot> worst = new ArrayList<>(proxySlots);
        worst.sort(java.util.Comparator.comparing(
                ProxySlot::up)); // a process that ended explains more than one that is not ready yet
        for (ProxySlot s : worst) {
            if (!all && !net.call(() -> s.takesNewConnections)) {
                Path log = program.folder().resolve(s.name() + ".log");
                List<String> said = Files.exists(log) ? Files.readAllLines(log) : List.of();
                throw new IOException(s.name() + " did not get ready"
                        + (s.up() ? " within " + READY_MS / 1000 + " s" : " and has ended")
                        + "; it said: "
                        + (said.isEmpty() ? "nothing" : String.join(" / ", said.subList(0, Math.min(3, said.size())))));
            }
        }
    }

    /** Processor time is counted from the start of a process: a restarted one begins at 0. */
    private void sample() {
        double sum = 0;
        double most = 0;
        int running = 0;
        for (ProxySlot s : proxySlots) {
            if (s.up()) {
                long now = s.process
                        .info()
                        .totalCpuDuration()
                        .map(java.time.Duration::toMillis)
                        .orElse(0L);
                double load = s.cpuMs == 0 ? 0 : Math.max(0, now - s.cpuMs) / 1e3;
                s.cpuMs = now;
                sum += load;
                most = Math.max(most, load);
                running++;
            }
        }
        metrics.sample(sum, most, running);
        if (net.nowNs() < fromNs + model.lengthMs() * MS) {
            after(1, this::sample);
        }
    }

    private Findings judge() {
        RuleSettings rules = settings.rules(nodes);
        proxySlots.forEach(s -> rules.proxy(s.name(), EndpointEntry.text(s.listen)));
        // what a closed path holds back arrives later than it was sent, which the record does not show
        rules.transitMs = MACHINE_MS
                + model.network().crossMs()
                + 1e3
                        * faults.stream()
                                .filter(t -> t.kind() == Fault.Kind.SITE_APART
                                        || t.kind() == Fault.Kind.SITE_UNHEARD
                                        || t.kind() == Fault.Kind.SITE_CUT)
                                .mapToDouble(Fault::seconds)
                                .max()
                                .orElse(0);
        rules.networkHoldMs = 1e3
                * faults.stream()
                        .filter(t -> t.kind() == Fault.Kind.SITE_CUT)
                        .mapToDouble(Fault::seconds)
                        .max()
                        .orElse(0);
        rules.responseGraceMs = LATE_ANSWER_MS;
        return Checker.check(net.events(), rules);
    }

    /** Ends the processes that it started, and no others. */
    @Override
    public void close() {
        net.run(() -> over = true);
        starter.shutdown();
        try {
            starter.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (ProxySlot s : proxySlots) {
            if (s.process != null) {
                s.process.destroyForcibly();
            }
        }
        for (ProxySlot s : proxySlots) {
            if (s.process != null) {
                s.process.onExit().join();
            }
        }
        relay.close();
        net.close();
    }
}
