package cacheproxy.lab.scenario;

import cacheproxy.lab.simulation.Network;
import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.IdempotencyMemory;
import cacheproxy.lab.standin.NodeModel;
import cacheproxy.lab.standin.Origin;
import cacheproxy.lab.standin.RandomVariates;
import cacheproxy.lab.standin.ScriptedNode;
import cacheproxy.lab.standin.SiteSettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Derives from a site model what proxies, nodes and clients of either engine need; the seed assigns the machines. */
public final class SiteLayout {
    /** Number of proxies over which a client's connections are spread. */
    static final int FRONT_WIDTH = 4;

    final SiteModel model;
    public final SiteSettings settings = new SiteSettings();
    public final ClientModel clients = new ClientModel();
    public final List<SimulatedSite.Machine> machines;
    /** Mean work of a request in ms on a core of speed 1. */
    public final double workMs;
    /** Arrival rate of all clients, in requests per second. */
    public final double perS;
    /** The origin's concurrency and queue length. */
    final int places;

    final int queue;
    private final long seed;

    public SiteLayout(SiteModel model, long seed) {
        this.model = model;
        this.seed = seed;
        machines = machines(model.nodes());
        workMs = classes();
        double capacity =
                machines.stream().mapToDouble(SimulatedSite.Machine::speed).sum()
                        * model.node().cores()
                        * 1000
                        / workMs;
        perS = capacity * model.ofCapacity();
        tenants(capacity);
        platform();
        askers();
        double reads = 0;
        for (SiteModel.RequestClass k : model.classes()) {
            reads += k.effect().equals("pure") ? k.share() : 0;
        }
        SiteModel.Origin o = model.origin();
        places = Math.max(
                1, (int) Math.ceil(perS * (o.headroom() * reads * o.missed() + 2 * (1 - reads)) * o.fetchMs() / 1000));
        queue = (int) (places * o.queueMs() / o.fetchMs());
    }

    public Origin origin(Network net) {
        return new Origin(net, places, queue, model.origin().fetchMs(), 0.5, seed);
    }

    /** Machines of each kind by its share, in an order drawn from the seed. */
    List<SimulatedSite.Machine> machines(int count) {
        List<SimulatedSite.Machine> all = new ArrayList<>();
        double due = 0;
        for (SiteModel.Machine m : model.machines()) {
            due += m.share() * count;
            while (all.size() < Math.round(due) && all.size() < count) {
                all.add(new SimulatedSite.Machine(m.name(), m.speed(), m.weight()));
            }
        }
        while (all.size() < count) {
            all.add(all.get(all.size() - 1));
        }
        Collections.shuffle(all, new java.util.Random(RandomVariates.hash("machines", seed)));
        return all;
    }

    /** Returns the mean work of a request, in ms on a core of speed 1. */
    private double classes() {
        settings.kinds.clear();
        double mean = 0;
        for (SiteModel.RequestClass k : model.classes()) {
            settings.kinds.add(new SiteSettings.Kind(
                    k.name(),
                    SiteSettings.Effect.valueOf(k.effect().toUpperCase(Locale.ROOT)),
                    IdempotencyMemory.Group.ALL,
                    k.targetMs(),
                    k.deadlineMs(),
                    k.lateWorth(),
                    k.windowMs(),
                    k.value(),
                    k.share(),
                    k.workMs(),
                    k.cv()));
            mean += k.share() * k.workMs();
        }
        return mean;
    }

    private void tenants(double capacity) {
        settings.tenants.clear();
        for (SiteModel.Tenant t : model.tenants()) {
            settings.tenants.add(new SiteSettings.Tenant(
                    t.name(), Math.max(1, capacity * model.quotas() * t.share()), t.share(), t.usage()));
        }
    }

    private void platform() {
        settings.zones.clear();
        settings.zones.addAll(model.zones());
        settings.machines.clear();
        model.machines().forEach(m -> settings.machines.add(m.name()));
        SiteModel.Proxy p = model.proxy();
        settings.maxAttempts = p.maxAttempts();
        settings.mayCancel = p.mayCancel();
        settings.secondCopies = p.secondCopies();
        settings.retryAfter = p.retryAfter();
        settings.dialTimeoutMs = p.dialTimeoutMs();
        settings.sockets = p.sockets();
        SiteModel.Node n = model.node();
        settings.coldFrom = n.coldFrom();
        settings.coldMs = n.coldMs();
        settings.tipMultiple = n.tipMultiple();
        settings.fallMs = n.fallMs();
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
    }

    public void furnish(ScriptedNode n) {
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
        m.keys = (int) Math.max(1, from.keysOfAll() * model.clients().keys() / model.nodes());
    }

    /** Multiplies a tenant's load; returns the factor of the total load. */
    public double usage(String tenant, double times) {
        double before = settings.tenants.stream()
                .mapToDouble(x -> x.share() * x.usage())
                .sum();
        settings.tenants.replaceAll(x -> x.name().equals(tenant)
                ? new SiteSettings.Tenant(x.name(), x.quotaPerS(), x.share(), x.usage() * times)
                : x);
        return settings.tenants.stream().mapToDouble(x -> x.share() * x.usage()).sum() / before;
    }

    /** Multiple of the usual load at a time in s after the warm-up. */
    public double shape(double at) {
        SiteModel.Point before = null;
        for (SiteModel.Point p : model.load()) {
            if (p.at() > at) {
                return before == null
                        ? p.times()
                        : before.times() + (p.times() - before.times()) * (at - before.at()) / (p.at() - before.at());
            }
            before = p;
        }
        return before == null ? 1 : before.times();
    }

    /** Numbers of the proxies in its zone that a client connects to. */
    public List<Integer> near(int index) {
        int zones = settings.zones.size();
        int inZone = (model.proxies() - 1 - index % zones) / zones + 1;
        List<Integer> own = new ArrayList<>();
        for (int k = 0; k < Math.min(FRONT_WIDTH, inZone); k++) {
            own.add((index / zones + k) % inZone * zones + index % zones);
        }
        return own;
    }
}
