package holdproxy.lab.emulator;

import holdproxy.lab.check.Findings;
import java.net.InetSocketAddress;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A site played in simulated time: whole proxies, with the decision module and the network code that {@code serve}
 * runs, among emulated cache nodes, clients, discovery and an origin. One site, its troubles and one seed bring one
 * outcome. A play needs one thread and keeps everything in memory.
 */
public final class Emulation extends Play {
    /** What every outcome has a figure for. */
    public static final List<String> FIGURES = List.of("figure", "service", "worst 10 s", "in time", "late", "refused",
        "failed", "p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "during", "back after s", "attempts a request",
        "wasted work", "missed", "across zones", "busiest node", "busiest proxy", "nodes fallen");
    /** What comes too late to count is let end for so long. */
    private static final long AFTER_MS = 4_000;
    private static final long CLIENTS_FROM_NS = 200 * MS;
    /** Proxies that the front deals one client's connections to. */
    private static final int FRONT_WIDTH = 4;
    private static final int MOST_TOLD = 20;
    private static final int FILLING_PLACES = 100_000;
    /**
     * Caches fill before anything counts, as those of a site that has been up for long: nodes work so much faster for so
     * long, and each key is asked for so often. At the usual rate a small site would need minutes of simulated time.
     */
    private static final double FILLING_SPEED = 100;
    private static final long FILLING_MS = 2_500;
    private static final double FILLING_ASKS = 6;

    private final SiteModel model;
    private final List<Trouble> troubles;
    private final long seed;
    private final Site site = new Site();
    private final SplittableRandom draws;
    private final ClientModel clients = new ClientModel();
    private final double perS;
    private final double workMs;
    /** Of proxies, by name. */
    private final Map<String, String> zones = new HashMap<>();
    private double burst = 1;
    private double growth = 1;
    private double filling = 1;
    private final Map<ScriptedNode, Long> worked = new HashMap<>();
    private final List<double[]> loads = new ArrayList<>();
    private final List<double[]> proxyLoads = new ArrayList<>();
    private final Map<Town.Seat, Long> spent = new HashMap<>();
    private final List<double[]> counts = new ArrayList<>();
    private Sums before = new Sums(0, 0, 0, 0, 0, 0, 0, 0);
    private Sums atStart;
    private final int seconds;

    private Emulation(SiteModel model, List<Trouble> troubles, long seed) {
        super(new SplittableRandom(Draw.hash("troubles", seed)));
        this.model = model;
        this.troubles = troubles;
        this.seed = seed;
        draws = new SplittableRandom(Draw.hash("emulation", seed));
        seconds = model.lengthMs() / 1000;
        proxyStartMs = model.proxy().startMs();
        List<Town.Machine> machines = machines(model.nodes());
        workMs = classes();
        double capacity = machines.stream().mapToDouble(Town.Machine::speed).sum() * model.node().cores() * 1000
            / workMs;
        perS = capacity * model.ofCapacity();
        tenants(capacity);
        platform();
        double reads = 0;
        for (SiteModel.RequestClass k : model.classes()) {
            reads += k.effect().equals("pure") ? k.share() : 0;
        }
        SiteModel.Origin o = model.origin();
        int places = (int) Math.ceil(perS * (o.headroom() * reads * o.missed() + 2 * (1 - reads)) * o.fetchMs() / 1000);
        int queue = (int) (places * o.queueMs() / o.fetchMs());
        town = new Town(seed, site, model.proxies(), machines,
            net -> new Origin(net, FILLING_PLACES, queue, o.fetchMs(), 0.5, seed));
        if (!model.judged()) {
            town.net.record().off();
        }
        town.net.jitter((long) (model.network().jitterMs() * MS));
        town.ledger.fromNs = model.warmMs() * MS;
        town.frontNoticeNs = (long) (model.clients().frontNoticeMs() * MS);
        town.discovery.linesPerS = model.discovery().linesPerS();
        town.discovery.callLines = model.discovery().callLines();
        town.seats.forEach(s -> zones.put(s.name(), site.zoneOf(s.index)));
        town.nodes.forEach(this::furnish);
        askers();
        town.nodes.forEach(this::place);
        fill();
        town.world.at(Math.min(FILLING_MS + 1_000, model.warmMs()) * MS,
            () -> town.origin.places(Math.max(1, places)));
    }

    /** Plays it to its end; an error in the site is an IllegalArgumentException with all that is wrong. */
    public static Outcome play(SiteModel model, List<Trouble> troubles, long seed) {
        List<String> wrong = SiteCheck.of(model, troubles);
        if (!wrong.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", wrong));
        }
        return new Emulation(model, troubles, seed).play();
    }

    private void fill() {
        filling = Math.max(1, FILLING_ASKS * model.clients().keys() * 1000 / (perS * FILLING_MS));
        town.nodes.forEach(n -> n.model.speed *= FILLING_SPEED);
        town.world.at(Math.min(FILLING_MS, model.warmMs()) * MS, () -> {
            filling = 1;
            town.seats.forEach(this::costs);
            town.nodes.forEach(n -> n.model.speed /= FILLING_SPEED);
        });
    }

    /** Its processor's time is counted from now on. */
    private void costs(Town.Seat s) {
        s.eventNs = (long) (model.proxy().eventUs() * 1000);
        s.taskNs = (long) (model.proxy().taskUs() * 1000);
        if (s.machine != null) {
            s.machine.loop().costs(s.eventNs, s.taskNs);
        }
    }

    // ---- what there is ----

    /** As many of each kind as its share says, in an order that the seed draws. */
    private List<Town.Machine> machines(int count) {
        List<Town.Machine> all = new ArrayList<>();
        double due = 0;
        for (SiteModel.Machine m : model.machines()) {
            due += m.share() * count;
            while (all.size() < Math.round(due) && all.size() < count) {
                all.add(new Town.Machine(m.name(), m.speed(), m.weight()));
            }
        }
        while (all.size() < count) {
            all.add(all.get(all.size() - 1));
        }
        Collections.shuffle(all, new java.util.Random(Draw.hash("machines", seed)));
        return all;
    }

    /** Returns the mean work of a request. */
    private double classes() {
        site.kinds.clear();
        double mean = 0;
        for (SiteModel.RequestClass k : model.classes()) {
            site.kinds.add(new Site.Kind(k.name(), Site.Effect.valueOf(k.effect().toUpperCase(Locale.ROOT)),
                GroupMemory.Group.ALL, k.targetMs(), k.deadlineMs(), k.lateWorth(), k.windowMs(), k.value(),
                k.share(), k.workMs(), k.cv()));
            mean += k.share() * k.workMs();
        }
        return mean;
    }

    private void tenants(double capacity) {
        site.tenants.clear();
        for (SiteModel.Tenant t : model.tenants()) {
            site.tenants.add(new Site.Tenant(t.name(), Math.max(1, capacity * model.quotas() * t.share()), t.share(), t.usage()));
        }
    }

    private void platform() {
        site.zones.clear();
        site.zones.addAll(model.zones());
        site.machines.clear();
        model.machines().forEach(m -> site.machines.add(m.name()));
        SiteModel.Proxy p = model.proxy();
        site.maxAttempts = p.maxAttempts();
        site.mayCancel = p.mayCancel();
        site.secondCopies = p.secondCopies();
        site.retryAfter = p.retryAfter();
        site.dialTimeoutMs = p.dialTimeoutMs();
        site.sockets = p.sockets();
        SiteModel.Node n = model.node();
        site.coldFrom = n.coldFrom();
        site.coldMs = n.coldMs();
        site.tipMultiple = n.tipMultiple();
        site.fallMs = n.fallMs();
    }

    private void furnish(ScriptedNode n) {
        SiteModel.Node from = model.node();
        NodeModel m = n.model;
        m.cores = from.cores();
        m.slots = from.slots();
        m.queue = from.queue();
        m.late = from.dropsLate() ? NodeModel.Late.BUSY : NodeModel.Late.RUNS;
        m.stopsRunning = from.stopsRunning();
        m.coldMs = from.coldMs();
        m.connections = from.connections();
        m.handshakeMs = from.handshakeMs();
        m.reportMs = from.reportMs();
        m.reportDelayMs = from.reportDelayMs();
        m.reportNoise = from.reportNoise();
        String zone = n.entry().zone();
        n.far = who -> !zone.equals(zones.get(who));
        m.keys = (int) Math.max(1, from.keysOfAll() * model.clients().keys() / model.nodes());
    }

    private void askers() {
        SiteModel.Clients c = model.clients();
        clients.retries = c.retries();
        clients.tryShare = c.tryShare();
        clients.backoffMs = c.backoffMs();
        clients.honour = c.honour();
        clients.keys = c.keys();
        clients.zipf = c.zipf();
        clients.offset = c.offset();
        for (Town.Seat near : town.seats) {
            ScriptedClient client = town.client(clients, new Front(near.index));
            double usual = perS / town.seats.size();
            town.world.at(CLIENTS_FROM_NS, () -> client.arrivals(endNs(), () -> usual * burst * growth * filling));
            String zone = site.zoneOf(near.index);
            for (Town.Seat s : town.seats) {
                double more = site.zoneOf(s.index).equals(zone) ? 0 : model.network().crossMs();
                town.net.latency("c" + near.index, s.name(), (long) ((model.network().clientMs() + more) * MS));
            }
        }
    }

    /** Where the front sends one client: a few proxies of its zone; with none of them up, any of the site that is. */
    private final class Front extends AbstractList<InetSocketAddress> {
        private final List<Town.Seat> own = new ArrayList<>();
        private List<InetSocketAddress> now = List.of();

        Front(int index) {
            int zones = site.zones.size();
            int inZone = (model.proxies() - 1 - index % zones) / zones + 1;
            for (int k = 0; k < Math.min(FRONT_WIDTH, inZone); k++) {
                own.add(town.seats.get((index / zones + k) % inZone * zones + index % zones));
            }
        }

        @Override
        public int size() {
            List<InetSocketAddress> up = new ArrayList<>(FRONT_WIDTH);
            for (Town.Seat s : own) {
                if (s.fronted()) {
                    up.add(s.listen);
                }
            }
            now = up.isEmpty() ? town.front : up;
            return now.size();
        }

        @Override
        public InetSocketAddress get(int i) {
            return now.get(i); // whoever asks has asked for the size just before
        }
    }

    private void place(ScriptedNode n) {
        for (Town.Seat s : town.seats) {
            boolean same = site.zoneOf(s.index).equals(n.entry().zone());
            town.net.latency(s.name(), n.name(),
                (long) ((same ? model.network().sameMs() : model.network().crossMs()) * MS));
        }
    }

    @Override
    ScriptedNode joins() {
        List<Town.Machine> one = machines(model.nodes());
        ScriptedNode n = town.node(one.get(draws.nextInt(one.size())));
        furnish(n);
        place(n);
        n.start(model.node().coldFrom());
        listed(n);
        return n;
    }

    @Override
    void listed(ScriptedNode n) {
        after(model.discovery().joinMs() / 1e3, () -> {
            if (n.up()) {
                town.discovery.serving(n.entry());
            }
        });
    }

    @Override
    void missed(ScriptedNode n) {
        after(model.discovery().goneMs() / 1e3, () -> {
            if (!n.up()) {
                town.discovery.remove(n.name());
            }
        });
    }

    // ---- what goes wrong ----

    private void begin(Trouble t) {
        switch (t.kind()) {
            case BURST -> {
                burst *= t.times();
                after(t.seconds(), () -> burst /= t.times());
            }
            case SITE_CUT -> cut(t.zone(), t.seconds());
            case SITE_APART -> {
                tear(t.zone(), 1);
                after(t.seconds(), () -> tear(t.zone(), 0));
            }
            case SITE_LOST -> {
                nodesOf(t.zone()).forEach(n -> dies(n, t.seconds()));
                for (Town.Seat s : seatsOf(t.zone())) {
                    town.kill(s);
                    after(t.seconds(), () -> startAgain(s));
                }
            }
            case NODES_SLOW -> some(town.nodes, t.share()).forEach(n -> {
                n.model.speed /= t.times();
                after(t.seconds(), () -> n.model.speed *= t.times());
            });
            case NODES_RESTARTED -> some(town.nodes, t.share()).forEach(n -> dies(n, t.seconds()));
            case GROW -> grows(t);
            case FLUSH -> flushes(t.share());
            case SCAN -> {
                clients.scans = t.share();
                after(t.seconds(), () -> clients.scans = 0);
            }
            case PROXIES_KILLED -> some(town.seats, t.share()).forEach(this::killed);
            case PROXIES_ROLLED -> {
                for (Town.Seat s : town.seats) {
                    after(t.seconds() * s.index / town.seats.size(), () -> termed(s));
                }
            }
            case DISCOVERY_SILENT -> {
                town.discovery.down(true);
                after(t.seconds(), () -> town.discovery.down(false));
            }
            case TENANT_SURGE -> {
                usage(t.tenant(), t.times());
                after(t.seconds(), () -> usage(t.tenant(), 1 / t.times()));
            }
            default -> throw new IllegalStateException(t.kind().toString());
        }
    }

    /** Clients stay with the proxies of their zone; discovery reaches all. */
    private void tear(String zone, int part) {
        Map<String, Integer> parts = new HashMap<>();
        for (Town.Seat s : town.seats) {
            int side = part == 0 ? 0 : site.zoneOf(s.index).equals(zone) ? part : part + 1;
            parts.put(s.name(), side);
            parts.put("c" + s.index, side);
        }
        town.nodes.forEach(n -> parts.put(n.name(),
            part == 0 ? 0 : n.entry().zone().equals(zone) ? part : part + 1));
        town.net.parts(parts);
    }

    private <T> List<T> some(List<T> of, double share) {
        List<T> all = new ArrayList<>(of);
        Collections.shuffle(all, new java.util.Random(chance.nextLong()));
        return all.subList(0, (int) Math.round(share * all.size()));
    }

    private List<ScriptedNode> nodesOf(String zone) {
        return town.nodes.stream().filter(n -> n.entry().zone().equals(zone)).toList();
    }

    private List<Town.Seat> seatsOf(String zone) {
        return town.seats.stream().filter(s -> site.zoneOf(s.index).equals(zone)).toList();
    }

    private void dies(ScriptedNode n, double downSeconds) {
        n.stop();
        missed(n);
        after(downSeconds, () -> {
            if (!n.up()) {
                n.start(model.node().coldFrom());
                listed(n);
            }
        });
    }

    private void startAgain(Town.Seat s) {
        if (!s.up()) {
            town.start(s, town.discovery.version(), town.discovery.entries());
        }
    }

    /** Nothing gets in or out; the front notices by and by, and so does discovery. */
    private void cut(String zone, double lasts) {
        for (ScriptedNode n : nodesOf(zone)) {
            vanishes(n, lasts);
        }
        for (Town.Seat s : seatsOf(zone)) {
            town.net.isolate(s.name(), true);
            double noticed = model.clients().frontNoticeMs() / 1e3;
            if (noticed < lasts) {
                after(noticed, () -> s.fronted(false));
            }
            after(lasts, () -> {
                town.net.isolate(s.name(), false);
                s.fronted(s.up());
            });
        }
    }

    @Override
    double vanishNoticed() {
        return model.discovery().goneMs() / 1e3;
    }

    private void grows(Trouble t) {
        int more = (int) Math.round(model.nodes() * (t.times() - 1));
        for (int i = 1; i <= more; i++) {
            after(t.seconds() * i / more, () -> {
                joins();
                growth += t.share() / model.nodes();
            });
        }
    }

    private void usage(String tenant, double times) {
        double before = site.tenants.stream().mapToDouble(x -> x.share() * x.usage()).sum();
        site.tenants.replaceAll(x -> x.name().equals(tenant)
            ? new Site.Tenant(x.name(), x.quotaPerS(), x.share(), x.usage() * times) : x);
        double now = site.tenants.stream().mapToDouble(x -> x.share() * x.usage()).sum();
        burst *= now / before; // the others send what they sent
    }

    // ---- the play ----

    private long endNs() {
        return (model.warmMs() + model.lengthMs()) * MS;
    }

    private Outcome play() {
        long began = System.nanoTime();
        List<String> broken = new ArrayList<>();
        try {
            town.open();
            tidy();
            for (Trouble t : troubles) {
                town.world.at((long) (model.warmMs() * MS + t.at() * 1e9), () -> begin(t));
            }
            town.world.at(model.warmMs() * MS, this::sample);
            town.world.runUntil(endNs() + AFTER_MS * MS);
        } catch (World.Runaway | AssertionError e) {
            broken.add(String.valueOf(e));
        }
        if (model.judged()) {
            Findings findings = town.judge();
            findings.violations().stream().limit(MOST_TOLD).forEach(v -> broken.add(v.toString()));
        }
        if (town.ledger.strays > 0) {
            broken.add(town.ledger.strays + " answers that nobody asked for");
        }
        Tally tally = new Tally(town.ledger, model.warmMs() * MS, seconds);
        tally.count(troubles.stream().mapToDouble(Trouble::at).min().orElse(-1),
            troubles.stream().mapToDouble(Trouble::endsAt).max().orElse(-1));
        Map<String, Double> figures = new LinkedHashMap<>();
        Map<String, Double> counted = new LinkedHashMap<>(tally.figures);
        costs(counted);
        FIGURES.forEach(f -> figures.put(f, counted.remove(f)));
        figures.putAll(counted);
        loads(tally);
        return new Outcome(seed, figures, tally.series, broken, tally.asked, town.world.events(),
            (System.nanoTime() - began) / MS);
    }

    /** Since the warm-up. */
    private void costs(Map<String, Double> figures) {
        Sums end = sums();
        Sums from = atStart == null ? end : atStart;
        long begun = end.begun - from.begun;
        double workedMs = end.workedMs - from.workedMs;
        long asked = 0;
        long served = 0;
        for (Ledger.Entry e : town.ledger.entries()) {
            if (e.askedNs >= town.ledger.fromNs) {
                asked++;
                served += e.result.served() ? 1 : 0;
            }
        }
        figures.put("attempts a request", asked == 0 ? 0 : (double) begun / asked);
        figures.put("across zones", begun == 0 ? 0 : (double) (end.across - from.across) / begun);
        figures.put("wasted work", workedMs == 0 ? 0 : Math.max(0, 1 - served * workMs / workedMs));
        long reads = end.hits - from.hits + end.misses - from.misses;
        figures.put("missed", reads == 0 ? 0 : (double) (end.misses - from.misses) / reads);
        figures.put("nodes fallen", (double) town.nodes.stream().filter(ScriptedNode::fallen).count());
        figures.put("busiest node", loads.stream().mapToDouble(x -> x[1]).average().orElse(0));
        figures.put("busiest proxy", proxyLoads.stream().mapToDouble(x -> x[1]).max().orElse(0));
    }

    /** Counted since the world began. Worked: core time of speed 1, in ms. */
    private record Sums(long begun, long ran, long across, long hits, long misses, long fetched, long refused,
            double workedMs) {
    }

    private Sums sums() {
        long begun = 0;
        long ran = 0;
        long across = 0;
        long hits = 0;
        long misses = 0;
        double workedMs = 0;
        for (ScriptedNode n : town.nodes) {
            begun += n.begun;
            ran += n.ran;
            across += n.acrossZones;
            hits += n.hits;
            misses += n.misses;
            workedMs += n.workedNs() / 1e6 * n.model.speed;
        }
        return new Sums(begun, ran, across, hits, misses, town.origin.fetches, town.origin.turnedAway, workedMs);
    }

    /** Once a second: how busy nodes and proxies were in the second before. */
    private void sample() {
        double sum = 0;
        double most = 0;
        int up = 0;
        for (ScriptedNode n : town.nodes) {
            long now = n.workedNs();
            double load = (now - worked.getOrDefault(n, now)) / 1e9 / n.model.cores;
            worked.put(n, now);
            up += n.up() ? 1 : 0;
            sum += load;
            most = Math.max(most, load);
        }
        double proxies = 0;
        double busiest = 0;
        int running = 0;
        for (Town.Seat s : town.seats) {
            long now = s.machine == null ? 0 : s.machine.loop().spentNs();
            double load = Math.max(0, now - spent.getOrDefault(s, now)) / 1e9;
            spent.put(s, now);
            proxies += load;
            busiest = Math.max(busiest, load);
            running += s.up() ? 1 : 0;
        }
        Sums sums = sums();
        atStart = atStart == null ? sums : atStart;
        counts.add(new double[] {sums.begun - before.begun, sums.hits - before.hits, sums.misses - before.misses,
            sums.fetched - before.fetched, sums.refused - before.refused});
        before = sums;
        loads.add(new double[] {up == 0 ? 0 : sum / up, most, up});
        proxyLoads.add(new double[] {running == 0 ? 0 : proxies / running, busiest, running});
        if (town.world.now() < endNs()) {
            town.world.after(Town.S, this::sample);
        }
    }

    private void loads(Tally tally) {
        tally.series.put("nodes' load, mean", column(loads, 0));
        tally.series.put("nodes' load, busiest", column(loads, 1));
        tally.series.put("nodes up", column(loads, 2));
        String[] names = {"sent to nodes", "hits", "misses", "fetched", "turned away by the origin"};
        for (int i = 0; i < names.length; i++) {
            tally.series.put(names[i], column(counts, i));
        }
        tally.series.put("proxies' load, mean", column(proxyLoads, 0));
        tally.series.put("proxies' load, busiest", column(proxyLoads, 1));
        tally.series.put("proxies up", column(proxyLoads, 2));
    }

    /** The first sample tells of nothing yet. */
    private double[] column(List<double[]> rows, int of) {
        double[] all = new double[seconds];
        for (int i = 0; i < seconds && i + 1 < rows.size(); i++) {
            all[i] = rows.get(i + 1)[of];
        }
        return all;
    }
}
