package cacheproxy.lab.scenario;

import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.metrics.RequestTotals;
import cacheproxy.lab.metrics.SiteMetrics;
import cacheproxy.lab.simulation.SimulationScheduler;
import cacheproxy.lab.standin.RandomVariates;
import cacheproxy.lab.standin.ScriptedClient;
import cacheproxy.lab.standin.ScriptedNode;
import cacheproxy.lab.standin.SiteSettings;
import cacheproxy.lab.verification.Findings;
import java.net.InetSocketAddress;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A site played in simulated time: whole proxies, with the decision module and the network code that {@code serve}
 * runs, among emulated cache nodes, clients, discovery and an origin. One site, its faults and one seed bring one
 * outcome. A play needs one thread and keeps everything in memory.
 */
public final class SiteSimulation extends Scenario {
    /** Names of the figures that every outcome has. */
    public static final List<String> FIGURES = List.of(
            "figure",
            "service",
            "worst 10 s",
            "in time",
            "late",
            "refused",
            "failed",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "p99.9 ms",
            "during",
            "back after s",
            "attempts a request",
            "wasted work",
            "missed",
            "across zones",
            "busiest node",
            "busiest proxy",
            "nodes fallen");
    /** Time after the run for the last requests to finish, in ms. */
    private static final long AFTER_MS = 4_000;

    private static final long CLIENTS_FROM_NS = 200 * MS;
    private static final int MOST_TOLD = 20;
    /** Bound on events per request. */
    private static final long EVENTS = 500;

    private final SiteModel model;
    private final List<Fault> faults;
    private final long seed;
    private final SiteLayout plan;
    private final SiteSettings settings;
    private final SplittableRandom draws;
    private final RequestTotals totals;
    /** Processor time of proxies by name. */
    private final Map<String, String> zones = new HashMap<>();

    private double burst = 1;
    private double growth = 1;
    private final SiteMetrics metrics;
    private final Map<SimulatedSite.ProxySlot, Long> spent = new HashMap<>();
    private final int seconds;

    private SiteSimulation(SiteModel model, List<Fault> faults, long seed) {
        super(new SplittableRandom(RandomVariates.hash("troubles", seed)));
        this.model = model;
        this.faults = faults;
        this.seed = seed;
        draws = new SplittableRandom(RandomVariates.hash("emulation", seed));
        seconds = model.lengthMs() / 1000;
        proxyStartMs = model.proxy().startMs();
        plan = new SiteLayout(model, seed);
        settings = plan.settings;
        long most = SimulationScheduler.MOST_EVENTS + (long) (EVENTS * plan.perS * (endNs() + AFTER_MS * MS) / 1e9);
        site = new SimulatedSite(
                new SimulationScheduler(seed, most), seed, settings, model.proxies(), plan.machines, plan::origin);
        if (!model.judged()) {
            site.net.record().off();
        }
        metrics = new SiteMetrics(site.nodes, site.origin, seconds);
        site.net.jitter((long) (model.network().jitterMs() * MS));
        totals = new RequestTotals(settings, model.warmMs() * MS, seconds);
        site.ledger.fromNs = model.warmMs() * MS;
        site.ledger.given(totals::take);
        site.frontReactionNs = (long) (model.clients().frontNoticeMs() * MS);
        site.discovery.linesPerS = model.discovery().linesPerS();
        site.discovery.callLines = model.discovery().callLines();
        for (SimulatedSite.ProxySlot s : site.proxySlots) {
            zones.put(s.name(), settings.zoneOf(s.index));
            zones.put("c" + s.index, settings.zoneOf(s.index));
            s.eventNs = (long) (model.proxy().eventUs() * 1000);
            s.taskNs = (long) (model.proxy().taskUs() * 1000);
        }
        site.nodes.forEach(this::furnish);
        site.net.ways(this::wayNs);
        askers();
    }

    /**
     * Runs a site to its end.
     *
     * @throws IllegalArgumentException if the site is invalid, with all errors
     */
    public static Outcome run(SiteModel model, List<Fault> faults, long seed) {
        List<String> wrong = SiteValidator.of(model, faults);
        if (!wrong.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", wrong));
        }
        return new SiteSimulation(model, faults, seed).run();
    }

    private void furnish(ScriptedNode n) {
        plan.furnish(n);
        String zone = n.entry().zone();
        zones.put(n.name(), zone);
        n.far = who -> !zone.equals(zones.get(who));
    }

    /** One-way delay in ns by the zones of both, plus that of a client; negative if one is in no zone. */
    private long wayNs(String a, String b) {
        String from = zones.get(a);
        String to = zones.get(b);
        if (from == null || to == null) {
            return -1;
        }
        boolean same = from.equals(to);
        SiteModel.Network n = model.network();
        boolean client = a.charAt(0) == 'c' || b.charAt(0) == 'c';
        return (long) ((client ? n.clientMs() + (same ? 0 : n.crossMs()) : same ? n.sameMs() : n.crossMs()) * MS);
    }

    private void askers() {
        for (SimulatedSite.ProxySlot near : site.proxySlots) {
            ScriptedClient client = site.client(plan.clients, new Front(near.index));
            double usual = plan.perS / site.proxySlots.size();
            site.scheduler.at(
                    CLIENTS_FROM_NS,
                    () -> client.arrivals(
                            endNs(),
                            () -> usual
                                    * burst
                                    * growth
                                    * plan.shape((site.scheduler.now() - site.ledger.fromNs) / 1e9)));
        }
    }

    /** A client's targets: a few proxies of its zone, or if none of them is up, any that is. */
    private final class Front extends AbstractList<InetSocketAddress> {
        private final List<SimulatedSite.ProxySlot> own;
        private List<InetSocketAddress> now = List.of();

        Front(int index) {
            own = plan.near(index).stream().map(site.proxySlots::get).toList();
        }

        @Override
        public int size() {
            List<InetSocketAddress> up = new ArrayList<>(own.size());
            for (SimulatedSite.ProxySlot s : own) {
                if (s.takesNewConnections()) {
                    up.add(s.listen);
                }
            }
            now = up.isEmpty() ? site.front : up;
            return now.size();
        }

        @Override
        public InetSocketAddress get(int i) {
            return now.get(i); // the caller has just asked for the size
        }
    }

    @Override
    ScriptedNode addNode() {
        List<SimulatedSite.Machine> one = plan.machines(model.nodes());
        ScriptedNode n = site.node(one.get(draws.nextInt(one.size())));
        furnish(n);
        n.start(model.node().coldFrom());
        listLater(n);
        return n;
    }

    @Override
    void listLater(ScriptedNode n) {
        after(model.discovery().joinMs() / 1e3, () -> {
            if (n.up()) {
                site.discovery.serving(n.entry());
            }
        });
    }

    @Override
    void delistLater(ScriptedNode n) {
        after(model.discovery().goneMs() / 1e3, () -> {
            if (!n.up()) {
                site.discovery.remove(n.name());
            }
        });
    }

    // ---- what goes wrong ----

    private void begin(Fault t) {
        switch (t.kind()) {
            case BURST -> {
                burst *= t.times();
                after(t.seconds(), () -> burst /= t.times());
            }
            case SITE_CUT -> cut(t.zone(), t.seconds());
            case SITE_APART, SITE_UNHEARD -> {
                tear(t.zone(), 1, t.kind() == Fault.Kind.SITE_UNHEARD);
                after(t.seconds(), () -> tear(t.zone(), 0, false));
            }
            case SITE_LOST -> {
                nodesOf(t.zone()).forEach(n -> dies(n, t.seconds()));
                for (SimulatedSite.ProxySlot s : seatsOf(t.zone())) {
                    site.kill(s);
                    after(t.seconds(), () -> startAgain(s));
                }
            }
            case NODES_SLOW ->
                some(site.nodes, t.share()).forEach(n -> {
                    n.model.speed /= t.times();
                    after(t.seconds(), () -> n.model.speed *= t.times());
                });
            case NODES_RESTARTED -> some(site.nodes, t.share()).forEach(n -> dies(n, t.seconds()));
            case GROW -> grows(t);
            case FLUSH -> invalidateCaches(t.share());
            case SCAN -> {
                plan.clients.scans = t.share();
                after(t.seconds(), () -> plan.clients.scans = 0);
            }
            case PROXIES_KILLED -> some(site.proxySlots, t.share()).forEach(this::killAndRestart);
            case PROXIES_ROLLED -> {
                for (SimulatedSite.ProxySlot s : site.proxySlots) {
                    after(t.seconds() * s.index / site.proxySlots.size(), () -> restartGracefully(s));
                }
            }
            case PROXIES_STALLED ->
                some(site.proxySlots, t.share()).forEach(s -> site.pause(s, (long) (t.seconds() * 1e9)));
            case DISCOVERY_SILENT -> {
                site.discovery.down(true);
                after(t.seconds(), () -> site.discovery.down(false));
            }
            case TENANT_SURGE -> {
                usage(t.tenant(), t.times());
                after(t.seconds(), () -> usage(t.tenant(), 1 / t.times()));
            }
            default -> throw new IllegalStateException(t.kind().toString());
        }
    }

    /** Clients stay with the proxies of their zone; discovery reaches all. */
    private void tear(String zone, int part, boolean oneWay) {
        Map<String, Integer> parts = new HashMap<>();
        for (SimulatedSite.ProxySlot s : site.proxySlots) {
            int side = part == 0 ? 0 : settings.zoneOf(s.index).equals(zone) ? part : part + 1;
            parts.put(s.name(), side);
            parts.put("c" + s.index, side);
        }
        site.nodes.forEach(
                n -> parts.put(n.name(), part == 0 ? 0 : n.entry().zone().equals(zone) ? part : part + 1));
        site.net.parts(parts, oneWay ? part : 0);
    }

    private <T> List<T> some(List<T> of, double share) {
        List<T> all = new ArrayList<>(of);
        Collections.shuffle(all, new java.util.Random(chance.nextLong()));
        return all.subList(0, (int) Math.round(share * all.size()));
    }

    private List<ScriptedNode> nodesOf(String zone) {
        return site.nodes.stream().filter(n -> n.entry().zone().equals(zone)).toList();
    }

    private List<SimulatedSite.ProxySlot> seatsOf(String zone) {
        return site.proxySlots.stream()
                .filter(s -> settings.zoneOf(s.index).equals(zone))
                .toList();
    }

    private void dies(ScriptedNode n, double downSeconds) {
        n.stop();
        delistLater(n);
        after(downSeconds, () -> {
            if (!n.up()) {
                n.start(model.node().coldFrom());
                listLater(n);
            }
        });
    }

    private void startAgain(SimulatedSite.ProxySlot s) {
        if (!s.up()) {
            site.start(s, site.discovery.version(), site.discovery.entries());
        }
    }

    /** Cuts a zone off; the load balancer and discovery notice later. */
    private void cut(String zone, double lasts) {
        for (ScriptedNode n : nodesOf(zone)) {
            isolateNode(n, lasts);
        }
        for (SimulatedSite.ProxySlot s : seatsOf(zone)) {
            site.net.isolate(s.name(), true);
            double noticed = model.clients().frontNoticeMs() / 1e3;
            if (noticed < lasts) {
                after(noticed, () -> s.takesNewConnections(false));
            }
            after(lasts, () -> {
                site.net.isolate(s.name(), false);
                s.takesNewConnections(s.up());
            });
        }
    }

    @Override
    double delistDelayS() {
        return model.discovery().goneMs() / 1e3;
    }

    private void grows(Fault t) {
        int more = (int) Math.round(model.nodes() * (t.times() - 1));
        for (int i = 1; i <= more; i++) {
            after(t.seconds() * i / more, () -> {
                addNode();
                growth += t.share() / model.nodes();
            });
        }
    }

    private void usage(String tenant, double times) {
        burst *= plan.usage(tenant, times); // the others' load is unchanged
    }

    // ---- the play ----

    private long endNs() {
        return (model.warmMs() + model.lengthMs()) * MS;
    }

    private Outcome run() {
        long began = System.nanoTime();
        List<String> broken = new ArrayList<>();
        try {
            site.open();
            CachePlacement.of(site.nodes, model.clients().keys());
            delistFailedNodes();
            for (Fault t : faults) {
                site.scheduler.at((long) (model.warmMs() * MS + t.at() * 1e9), () -> begin(t));
            }
            site.scheduler.at(model.warmMs() * MS, this::sample);
            site.scheduler.runUntil(endNs() + AFTER_MS * MS);
        } catch (SimulationScheduler.Runaway | AssertionError e) {
            broken.add(String.valueOf(e));
        }
        if (model.judged()) {
            Findings findings = site.judge();
            findings.violations().stream().limit(MOST_TOLD).forEach(v -> broken.add(v.toString()));
        }
        if (site.ledger.unmatchedResponses > 0) {
            broken.add(site.ledger.unmatchedResponses + " answers that nobody asked for");
        }
        site.ledger.settle();
        totals.count(
                faults.stream().mapToDouble(Fault::at).min().orElse(-1),
                faults.stream().mapToDouble(Fault::endsAt).max().orElse(-1));
        Map<String, Double> figures = figures(totals, metrics, plan.workMs);
        metrics.series(totals.series);
        return new Outcome(
                seed,
                figures,
                totals.series,
                broken,
                totals.asked,
                site.scheduler.events(),
                (System.nanoTime() - began) / MS);
    }

    /** All figures, in the order of {@link #FIGURES}. */
    public static Map<String, Double> figures(RequestTotals totals, SiteMetrics metrics, double workMs) {
        Map<String, Double> figures = new LinkedHashMap<>();
        Map<String, Double> counted = new LinkedHashMap<>(totals.figures);
        metrics.figures(counted, totals, workMs);
        FIGURES.forEach(f -> figures.put(f, counted.remove(f)));
        figures.putAll(counted);
        return figures;
    }

    private void sample() {
        double proxies = 0;
        double busiest = 0;
        int running = 0;
        for (SimulatedSite.ProxySlot s : site.proxySlots) {
            long now = s.machine == null ? 0 : s.machine.loop().spentNs();
            double load = Math.max(0, now - spent.getOrDefault(s, now)) / 1e9;
            spent.put(s, now);
            proxies += load;
            busiest = Math.max(busiest, load);
            running += s.up() ? 1 : 0;
        }
        metrics.sample(proxies, busiest, running);
        if (site.scheduler.now() < endNs()) {
            site.scheduler.after(SimulatedSite.S, this::sample);
        }
    }
}
