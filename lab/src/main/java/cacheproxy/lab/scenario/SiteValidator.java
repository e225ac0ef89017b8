package cacheproxy.lab.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/** Validates a site and its faults; each error names the path of the field and its range. */
public final class SiteValidator {
    private final List<String> wrong = new ArrayList<>();

    private SiteValidator() {}

    /** Returns all errors; empty if the site is valid. */
    public static List<String> of(SiteModel s, List<Fault> faults) {
        SiteValidator c = new SiteValidator();
        if (c.there(s)) {
            c.site(s);
            for (int i = 0; i < faults.size(); i++) {
                c.fault("troubles[" + i + "].", faults.get(i), s);
            }
        }
        return c.wrong;
    }

    private boolean there(SiteModel s) {
        Object[] parts = {
            s.zones(),
            s.machines(),
            s.node(),
            s.network(),
            s.origin(),
            s.discovery(),
            s.clients(),
            s.proxy(),
            s.classes(),
            s.tenants()
        };
        if (s.load() == null || s.load().stream().anyMatch(Objects::isNull)) {
            wrong.add("site.load: a list of points is wanted, [] for none");
        }
        String[] names = {
            "zones", "machines", "node", "network", "origin", "discovery", "clients", "proxy", "classes", "tenants"
        };
        for (int i = 0; i < parts.length; i++) {
            if (parts[i] == null
                    || parts[i] instanceof List<?> l
                            && (l.isEmpty() || l.stream().anyMatch(Objects::isNull))) {
                wrong.add("site." + names[i] + ": is missing or empty");
            }
        }
        return wrong.isEmpty();
    }

    private void site(SiteModel s) {
        range("site.proxies", s.proxies(), 1, 2_000);
        range("site.nodes", s.nodes(), 1, 10_000);
        range("site.ofCapacity", s.ofCapacity(), 0.001, 5);
        range("site.quotas", s.quotas(), 0.001, 5);
        range("site.warmMs", s.warmMs(), 1_000, 600_000);
        range("site.lengthMs", s.lengthMs(), 1_000, 3_600_000);
        if (s.zones().size() > s.proxies() || s.zones().size() > s.nodes()) {
            wrong.add("site.zones: there are " + s.zones().size() + ", and a proxy and a node in each are needed");
        }
        names("site.zones", s.zones());
        names(
                "site.machines",
                s.machines().stream().map(SiteModel.Machine::name).toList());
        names(
                "site.classes",
                s.classes().stream().map(SiteModel.RequestClass::name).toList());
        names("site.tenants", s.tenants().stream().map(SiteModel.Tenant::name).toList());
        shares(
                "site.machines",
                s.machines().stream().mapToDouble(SiteModel.Machine::share).toArray());
        shares(
                "site.classes",
                s.classes().stream().mapToDouble(SiteModel.RequestClass::share).toArray());
        shares(
                "site.tenants",
                s.tenants().stream().mapToDouble(SiteModel.Tenant::share).toArray());
        for (int i = 0; i < s.machines().size(); i++) {
            range("site.machines[" + i + "].speed", s.machines().get(i).speed(), 0.01, 100);
            range("site.machines[" + i + "].weight", s.machines().get(i).weight(), 0.01, 100);
        }
        SiteModel.Node n = s.node();
        range("site.node.cores", n.cores(), 1, 256);
        range("site.node.slots", n.slots(), 1, 100_000);
        range("site.node.queue", n.queue(), 0, 1_000_000);
        range("site.node.coldFrom", n.coldFrom(), 0.01, 1);
        range("site.node.coldMs", n.coldMs(), 0, 600_000);
        range("site.node.tipMultiple", n.tipMultiple(), 1, 1_000);
        range("site.node.fallMs", n.fallMs(), 1, 600_000);
        range("site.node.connections", n.connections(), 1, 100_000);
        range("site.node.handshakeMs", n.handshakeMs(), 0, 1_000);
        range("site.node.reportMs", n.reportMs(), 1, 60_000);
        range("site.node.reportDelayMs", n.reportDelayMs(), 0, 60_000);
        range("site.node.reportNoise", n.reportNoise(), 0, 1);
        range("site.node.keysOfAll", n.keysOfAll(), 0, 1_000);
        range("site.network.sameMs", s.network().sameMs(), 0, 10_000);
        range("site.network.crossMs", s.network().crossMs(), 0, 10_000);
        range("site.network.clientMs", s.network().clientMs(), 0, 10_000);
        range("site.network.jitterMs", s.network().jitterMs(), 0, 10_000);
        range("site.origin.missed", s.origin().missed(), 0.0001, 1);
        range("site.origin.headroom", s.origin().headroom(), 0.01, 1_000);
        range("site.origin.fetchMs", s.origin().fetchMs(), 0.01, 60_000);
        range("site.origin.queueMs", s.origin().queueMs(), 0, 60_000);
        range("site.discovery.linesPerS", s.discovery().linesPerS(), 1, 1e9);
        range("site.discovery.callLines", s.discovery().callLines(), 0, 1e6);
        range("site.discovery.joinMs", s.discovery().joinMs(), 0, 600_000);
        range("site.discovery.goneMs", s.discovery().goneMs(), 0, 600_000);
        SiteModel.Clients c = s.clients();
        range("site.clients.retries", c.retries(), 0, 10);
        range("site.clients.tryShare", c.tryShare(), 0.05, 1);
        range("site.clients.backoffMs", c.backoffMs(), 0, 60_000);
        range("site.clients.honour", c.honour(), 0, 1);
        range("site.clients.keys", c.keys(), 1, 10_000_000);
        range("site.clients.zipf", c.zipf(), 0, 5);
        range("site.clients.offset", c.offset(), 0, 1e6);
        range("site.clients.frontNoticeMs", c.frontNoticeMs(), 0, 60_000);
        SiteModel.Proxy p = s.proxy();
        range("site.proxy.maxAttempts", p.maxAttempts(), 1, 16);
        range("site.proxy.dialTimeoutMs", p.dialTimeoutMs(), 1, 60_000);
        range("site.proxy.sockets", p.sockets(), 64, 1_000_000);
        range("site.proxy.startMs", p.startMs(), 0, 600_000);
        range("site.proxy.eventUs", p.eventUs(), 0, 100_000);
        range("site.proxy.taskUs", p.taskUs(), 0, 100_000);
        for (int i = 0; i < s.classes().size(); i++) {
            requests("site.classes[" + i + "].", s.classes().get(i));
        }
        for (int i = 0; i < s.load().size(); i++) {
            range("site.load[" + i + "].times", s.load().get(i).times(), 0, 100);
            range(
                    "site.load[" + i + "].at",
                    s.load().get(i).at(),
                    i == 0 ? -600 : s.load().get(i - 1).at() + 0.001,
                    1e6);
        }
        for (int i = 0; i < s.tenants().size(); i++) {
            range("site.tenants[" + i + "].usage", s.tenants().get(i).usage(), 0, 1_000);
        }
    }

    private void requests(String at, SiteModel.RequestClass k) {
        if (!Set.of("pure", "token", "side_effect").contains(String.valueOf(k.effect()))) {
            wrong.add(at + "effect: pure, token or side_effect, not " + k.effect());
        }
        range(at + "workMs", k.workMs(), 0.001, 60_000);
        range(at + "cv", k.cv(), 0, 10);
        range(at + "targetMs", k.targetMs(), 1, 600_000);
        range(at + "deadlineMs", k.deadlineMs(), 1, 600_000);
        range(at + "lateWorth", k.lateWorth(), 0, 1);
        range(at + "windowMs", k.windowMs(), 0, 600_000);
        range(at + "value", k.value(), 0, 1e6);
    }

    private void fault(String at, Fault t, SiteModel s) {
        if (t == null || t.kind() == null) {
            wrong.add(at + "kind: is missing");
            return;
        }
        range(at + "at", t.at(), 0, 1e6);
        range(at + "seconds", t.seconds(), 0, 1e6);
        range(at + "times", t.times(), 0, 1_000);
        range(at + "share", t.share(), 0, 1);
        if (t.endsAt() * 1000 > s.lengthMs()) {
            wrong.add(at + "seconds: it ends " + text(t.endsAt()) + " s after the warm-up, and the run does after "
                    + text(s.lengthMs() / 1e3));
        }
        if (t.kind().zoned() && !s.zones().contains(t.zone())) {
            wrong.add(at + "zone: one of " + s.zones() + ", not " + t.zone());
        }
        if (t.kind() == Fault.Kind.TENANT_SURGE
                && s.tenants().stream().noneMatch(x -> x.name().equals(t.tenant()))) {
            wrong.add(at + "tenant: " + t.tenant() + " is none of the site's");
        }
        if (t.kind() == Fault.Kind.GROW && t.times() < 1) {
            wrong.add(at + "times: a fleet grows to 1 times itself or more, not " + t.times());
        }
    }

    private void range(String field, double value, double from, double to) {
        if (!(value >= from && value <= to)) { // also rejects NaN
            wrong.add(field + ": from " + text(from) + " to " + text(to) + ", not " + text(value));
        }
    }

    private static String text(double x) {
        return x == Math.rint(x) && Math.abs(x) < 1e15 ? Long.toString((long) x) : Double.toString(x);
    }

    private void names(String field, List<String> all) {
        Set<String> seen = new HashSet<>();
        for (String name : all) {
            if (name == null || !name.matches("[a-z0-9][a-z0-9-]{0,63}")) {
                wrong.add(field + ": names are of small letters, digits and hyphens, not " + name);
            } else if (!seen.add(name)) {
                wrong.add(field + ": " + name + " is there twice");
            }
        }
    }

    private void shares(String field, double[] all) {
        double sum = 0;
        for (int i = 0; i < all.length; i++) {
            range(field + "[" + i + "].share", all[i], 0, 1);
            sum += all[i];
        }
        if (!(Math.abs(sum - 1) <= 0.02)) {
            wrong.add(field + ": shares add up to 1 within 0.02, not to " + sum);
        }
    }
}
