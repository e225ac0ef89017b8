package cacheproxy.lab.scenario;

import cacheproxy.lab.simulation.SimulationScheduler;
import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.NodeFault;
import cacheproxy.lab.standin.NodeModel;
import cacheproxy.lab.standin.Origin;
import cacheproxy.lab.standin.RandomVariates;
import cacheproxy.lab.standin.RawConnection;
import cacheproxy.lab.standin.RequestLedger;
import cacheproxy.lab.standin.ScriptedClient;
import cacheproxy.lab.standin.ScriptedNode;
import cacheproxy.lab.standin.SiteSettings;
import cacheproxy.lab.verification.Findings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One day at a site of the size that is served today, in simulated time over whole proxies. The site is drawn from the
 * seed alone, so that days of all kinds have it in common; what goes wrong, from seed and kind.
 *
 * <p>The same build has the same figures to the digit, on any machine with the same kind of processor. What could make
 * digits differ elsewhere: the decision module's {@code Math.exp} and {@code Math.pow}, which a JVM may replace by code
 * of its own for the processor, right to the last place but one (the stand-ins draw by {@code StrictMath}); and another
 * major version of Java, whose {@code Random.nextGaussian} or order of a {@code HashMap} may be other ones. Seen on one
 * machine: the same digits with and without the JVM's own {@code exp}, with one compiler or both, with any heap. No
 * clock, thread or identity hash has a part in it.
 */
final class ScenarioDay extends Scenario {
    /** Warm-up: caches fill and proxies learn; requests do not count yet and there are no faults. */
    static final long BEFORE_MS = 6_000;
    /** Four of the windows of which the worst counts. */
    static final long COUNTED_MS = 40_000;
    /** Time for the last requests to finish. */
    private static final long AFTER_MS = 4_000;
    /** The origin's concurrency while caches fill. */
    private static final int FILLING_PLACES = 1_000;
    /** Capacity of all caches together, in keys. */
    private static final int POOLED_KEYS = 2_000;

    /** The result of the day; {@code broken} lists violated rules and other errors. */
    record Result(
            String kind, long seed, double[] figures, List<String> broken, int asked, long simulatedMs, long events) {}

    final ScenarioDays kind;
    final long seed;
    final SiteSettings settings = new SiteSettings();
    final int proxies;
    /** Number of cache nodes at the start. */
    final int fleet;
    /** Multiples of the usual arrival rate. */
    double burst = 1;

    double growth = 1;
    private double wave = 1;
    private final SplittableRandom draws;
    private final Map<String, Map<String, Long>> latencies = new LinkedHashMap<>();
    private final ClientModel model = new ClientModel();
    private final ScriptedClient bad;
    private final double perS;
    /** The kinds of machines to draw from. */
    private final double[] speeds;

    private final double swing;

    ScenarioDay(ScenarioDays kind, long seed) {
        super(new SplittableRandom(RandomVariates.hash(kind.name(), seed)));
        this.kind = kind;
        this.seed = seed;
        draws = new SplittableRandom(RandomVariates.hash("site", seed));
        fleet = draws.nextInt(28, 40);
        proxies = draws.nextInt(4, 7);
        speeds = new double[] {draw(1.5, 2.1), draw(0.77, 1)};
        List<SimulatedSite.Machine> machines = new ArrayList<>();
        for (int i = 0; i < fleet; i++) {
            machines.add(machine());
        }
        double workMs = kinds();
        double capacity =
                machines.stream().mapToDouble(SimulatedSite.Machine::speed).sum() * 1000 / workMs;
        perS = tenants(capacity);
        swing = draw(0.1, 0.3);
        double readsMissed = perS * settings.kinds.get(0).share() * draw(0.08, 0.14);
        double writes =
                perS * (settings.kinds.get(1).share() + settings.kinds.get(2).share());
        double fetchMs = draw(70, 140);
        int places = (int) Math.ceil((draw(2.8, 3.6) * readsMissed + 2 * writes) * fetchMs / 1000);
        int queue = (int) (places * draw(0.83, 2) * 1000 / fetchMs);
        settings.zones.clear();
        settings.zones.addAll(List.of("town", "hill", "coast"));
        site = new SimulatedSite(
                new SimulationScheduler(seed),
                seed,
                settings,
                proxies,
                machines,
                net -> new Origin(net, FILLING_PLACES, queue, fetchMs, 0.5, seed));
        site.ledger.fromNs = BEFORE_MS * MS;
        site.frontReactionNs = (long) (draw(1.2, 2.8) * 1e9);
        site.discovery.linesPerS = 200;
        site.discovery.callLines = draws.nextInt(42, 78);
        site.nodes.forEach(this::furnish);
        clients();
        ClientModel leaves = new ClientModel();
        leaves.retries = 0;
        bad = site.client(leaves);
        distances();
        site.scheduler.at(BEFORE_MS / 2 * MS, () -> site.origin.places(places));
    }

    private double draw(double from, double to) {
        return from + (to - from) * draws.nextDouble();
    }

    private SimulatedSite.Machine machine() {
        boolean full = draws.nextDouble() < 0.46;
        double speed = speeds[full ? 0 : 1] * draw(0.85, 1.15);
        return new SimulatedSite.Machine(full ? "full" : "half", speed, full ? 2 : 1);
    }

    /** Returns the mean work of a request, in ms on a core of speed 1. */
    private double kinds() {
        double[] shares = {0.91, 0.062, 0.028};
        double[] works = {draw(62, 110), draw(40, 72), draw(75, 140)};
        double mean = 0;
        for (int i = 0; i < shares.length; i++) {
            SiteSettings.Kind k = settings.kinds.get(i);
            settings.kinds.set(
                    i,
                    new SiteSettings.Kind(
                            k.name(),
                            k.effect(),
                            k.group(),
                            k.targetMs(),
                            k.deadlineMs(),
                            k.lateWorth(),
                            k.windowMs(),
                            k.value(),
                            shares[i],
                            works[i],
                            draw(0.3, 0.7)));
            mean += shares[i] * works[i];
        }
        return mean;
    }

    /** Returns the usual arrival rate in requests per second. */
    private double tenants(double capacity) {
        String[] names = {"kannur", "thala", "payya", "tali", "iritty"};
        double quotas = capacity * draw(0.48, 0.57);
        double[] usage = new double[names.length];
        double all = 0;
        for (int i = 0; i < names.length; i++) {
            usage[i] = i == 0 ? draw(2.6, 3.4) : draw(0.56, 0.9);
            all += usage[i] * share(i);
        }
        if (kind == ScenarioDays.OVERLOAD) {
            quotas = 1.2 * capacity / all;
        } else if (kind == ScenarioDays.SWAMPED) {
            double more = 1.5 * capacity / (quotas * all);
            usage = Arrays.stream(usage).map(u -> u * more).toArray();
            all *= more;
        }
        settings.tenants.clear();
        for (int i = 0; i < names.length; i++) {
            settings.tenants.add(new SiteSettings.Tenant(names[i], quotas * share(i), share(i), usage[i]));
        }
        return quotas * all;
    }

    private static double share(int tenant) {
        return tenant == 0 ? 0.44 : 0.14;
    }

    private void furnish(ScriptedNode n) {
        NodeModel m = n.model;
        m.slots = draws.nextInt(4, 13);
        m.queue = draws.nextInt(1, 4);
        m.late = draws.nextBoolean() ? NodeModel.Late.BUSY : NodeModel.Late.RUNS;
        m.stopsRunning = draws.nextBoolean();
        m.coldMs = draw(11_000, 24_000);
        m.connections = draws.nextInt(120, 181);
        m.handshakeMs = draw(1.1, 4);
        m.reportMs = draw(84, 440);
        m.reportDelayMs = draw(49, 130);
        m.reportNoise = draw(0.085, 0.18);
        m.probeMs = draw(0.19, 0.38);
        m.keys = POOLED_KEYS / fleet;
        pauses(n, draw(3_000, 12_000), draw(0, 150));
    }

    /** Stalls nodes now and then, like garbage collection. */
    private void pauses(ScriptedNode n, double everyMs, double ms) {
        site.scheduler.after((long) (everyMs * draw(0.5, 1.5) * MS), () -> {
            if (n.up()) {
                n.pause((long) (ms * MS));
            }
            if (site.scheduler.now() < end()) {
                pauses(n, everyMs, ms);
            }
        });
    }

    private void clients() {
        model.retries = draws.nextInt(1, 3);
        model.tryShare = draw(0.5, 0.8);
        model.backoffMs = draw(30, 240);
        model.honour = draw(0.7, 1);
        model.keys = 3_000;
        model.zipf = draw(0.81, 1);
        model.offset = draw(5.9, 19);
        double skew = draw(0.05, 0.3);
        double[] part = {1 + skew, 1, 1 - skew};
        for (int zone = 0; zone < part.length; zone++) {
            double usual = perS * part[zone] / part.length;
            ScriptedClient c = site.client(model, site.frontOf(settings.zones.get(zone)));
            site.scheduler.at(200 * MS, () -> c.arrivals(end(), () -> usual * wave * burst * growth));
        }
    }

    private void wave() {
        wave = 1 + swing * (2 * draws.nextDouble() - 1);
        site.scheduler.after((long) (draw(1, 3) * 1e9), this::wave);
    }

    /** Sets the one-way delays within a zone and between zones. */
    private void distances() {
        for (String a : settings.zones) {
            for (String b : settings.zones) {
                long ns = (long) ((a.equals(b) ? draw(0.092, 0.32) : draw(2.8, 5.2)) * MS);
                latencies.computeIfAbsent(a, z -> new LinkedHashMap<>()).put(b, ns);
                latencies.computeIfAbsent(b, z -> new LinkedHashMap<>()).put(a, ns);
            }
        }
        long toClient = (long) (draw(0.58, 1.2) * MS);
        for (SimulatedSite.ProxySlot s : site.proxySlots) {
            String at = settings.zoneOf(s.index);
            for (int c = 0; c < site.clients.size(); c++) {
                String zone = settings.zones.get(c % settings.zones.size());
                long more = zone.equals(at) ? 0 : latencies.get(zone).get(at);
                site.net.latency("c" + c, s.name(), toClient + more);
            }
        }
        site.nodes.forEach(this::place);
    }

    private void place(ScriptedNode n) {
        for (SimulatedSite.ProxySlot s : site.proxySlots) {
            site.net.latency(
                    s.name(),
                    n.name(),
                    latencies.get(settings.zoneOf(s.index)).get(n.entry().zone()));
        }
    }

    private static long end() {
        return (BEFORE_MS + COUNTED_MS) * MS;
    }

    Result run() {
        List<String> broken = new ArrayList<>();
        try {
            site.open();
            wave();
            delistFailedNodes();
            kind.plan.accept(this);
            site.scheduler.runUntil(end() + AFTER_MS * MS);
        } catch (SimulationScheduler.Runaway | AssertionError e) {
            broken.add(String.valueOf(e));
        }
        Findings findings = site.judge();
        findings.violations().forEach(v -> broken.add(v.toString()));
        if (site.ledger.unmatchedResponses > 0) {
            broken.add(site.ledger.unmatchedResponses + " answers that nobody asked for");
        }
        return new Result(
                kind.title,
                seed,
                figures(),
                broken,
                site.ledger.entries().size(),
                site.scheduler.now() / MS,
                site.scheduler.events());
    }

    /** The values in the order of {@link #columns}. */
    private double[] figures() {
        RequestLedger.Sum sum = site.ledger.sum(10);
        List<Double> all = new ArrayList<>(List.of(sum.figure(), sum.share()));
        settings.kinds.forEach(k -> all.add(sum.byKind().getOrDefault(k.name(), 1.0)));
        settings.tenants.forEach(t -> all.add(sum.byTenant().getOrDefault(t.name(), 1.0)));
        all.add(sum.worstWindow());
        return all.stream().mapToDouble(x -> x).toArray();
    }

    static List<String> columns() {
        return Arrays.asList(
                "figure", "share", "lookup", "charge", "submit", "kannur", "thala", "payya", "tali", "iritty", "worst");
    }

    static String digits(double figure) {
        return String.format(Locale.ROOT, "%.4f", figure);
    }

    // ---- what days are made of; times count from when requests do ----

    void at(double seconds, Runnable what) {
        site.scheduler.at((long) ((BEFORE_MS / 1e3 + seconds) * 1e9), what);
    }

    double seconds() {
        return (site.scheduler.now() - BEFORE_MS * MS) / 1e9;
    }

    /** Runs a task periodically while requests arrive. */
    void every(double from, double seconds, Runnable what) {
        for (double at = from; at < COUNTED_MS / 1e3; at += seconds) {
            at(at, what);
        }
    }

    /** Adds a cold node, which is listed later. */
    @Override
    ScriptedNode addNode() {
        ScriptedNode n = site.node(machine());
        furnish(n);
        place(n);
        n.start(between(0.18, 0.35));
        listLater(n);
        return n;
    }

    /** A burst of traffic. */
    void bursts() {
        burst = between(1.6, 2.4);
        after(between(3.1, 8.1), () -> burst = 1);
    }

    /** Multiplies the number of nodes within a time in s; traffic follows. */
    void grows(double times, double seconds, double follows) {
        int more = (int) Math.round(fleet * (times - 1));
        for (int i = 1; i <= more; i++) {
            after(seconds * i / more, () -> {
                addNode();
                growth += follows / fleet;
            });
        }
    }

    /** Some reads are for keys that nobody else requests. */
    void scans(double share, double seconds) {
        model.scans = share;
        after(seconds, () -> model.scans = 0);
    }

    /** Sets the share of commands with a fault, drawn by the command's id. */
    void faults(double share, List<NodeFault> of) {
        long salt = chance.nextLong();
        site.nodes.forEach(n -> n.faults(c -> {
            double x = RandomVariates.of(c.id + n.name(), salt);
            return x < share ? of.get((int) (x / share * of.size())) : null;
        }));
    }

    // ---- bad clients ----

    ScriptedClient bad() {
        return bad;
    }

    String kindName() {
        return anyOf(settings.kinds).name();
    }

    String tenantName() {
        return anyOf(settings.tenants).name();
    }

    /** Connections that send one request each and stay open. */
    void crowd(SimulatedSite.ProxySlot proxySlot, int count) {
        for (int i = 0; i < count; i++) {
            String kindName = settings.kinds.get(0).name();
            String tenant = tenantName();
            String key = model.key(new java.util.Random(chance.nextLong()));
            after(between(0, 1), () -> {
                RawConnection one = bad.raw(proxySlot.listen);
                one.send(bad.command(settings.kind(kindName), key, bad.newId(), tenant, 900, ""));
                after(20, one::end);
            });
        }
    }

    /** Many commands from a client that does not read. */
    void flood(SimulatedSite.ProxySlot proxySlot, int count) {
        RawConnection flood = bad.flood(proxySlot.listen, kindName(), tenantName(), count, 700);
        after(between(0.1, 3), () -> flood.reading(true));
        after(4, flood::end);
    }

    InetSocketAddress anyProxy() {
        return anyOf(site.proxySlots).listen;
    }
}
