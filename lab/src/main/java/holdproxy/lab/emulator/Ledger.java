package holdproxy.lab.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What became of the requests of all clients, a client's retries as part of its first try. */
final class Ledger {
    private static final double WINDOW_S = 10;

    enum Result {
        OPEN,
        /** Within the time that is aimed at. */
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        /** Never answered, or its connection ended. */
        LOST;

        boolean served() {
            return this == IN_TIME || this == LATE;
        }
    }

    /** One request with all its tries. */
    static final class Entry {
        final Site.Kind kind;
        final String tenant;
        final String key;
        final long askedNs;
        /** Asked within its tenant's share. */
        final boolean inShare;
        /** Served within it: of all that were asked, those that were served count up to the share. */
        private boolean servedInShare;
        /** Counts towards the figures. */
        boolean counted = true;
        final List<String> ids = new ArrayList<>();
        Result result = Result.OPEN;
        /** What its last answer said; empty for none. */
        String answer = "";
        /** Of a refusal; 0 for none. */
        long adviceMs;
        long endedNs = -1;
        /** Of a keyed write; null for others. */
        String token;
        /** When its first byte went out, -1 for not yet. */
        long sentNs = -1;
        /** Its try that is under way, or null. */
        ClientTry current;
        Runnable done = () -> { };

        Entry(Site.Kind kind, String tenant, String key, long askedNs, boolean inShare) {
            this.kind = kind;
            this.tenant = tenant;
            this.key = key;
            this.askedNs = askedNs;
            this.inShare = inShare;
        }

        String id() {
            return ids.get(ids.size() - 1);
        }

        void end(Result how, long nowNs) {
            if (result == Result.OPEN) {
                result = how;
                endedNs = nowNs;
                done.run();
            }
        }
    }

    private final Site site;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, double[]> asked = new HashMap<>();
    /** What was asked earlier does not count, and windows begin then. */
    long fromNs;
    /** Answers that belong to no request. */
    int strays;

    Ledger(Site site) {
        this.site = site;
    }

    Entry asked(Site.Kind kind, String tenant, String key, long nowNs) {
        Entry e = new Entry(kind, tenant, key, nowNs, inShare(asked, tenant, nowNs));
        entries.add(e);
        return e;
    }

    /** Quotas: what is left of each tenant's share in this second, and when it was last filled up. */
    private boolean inShare(Map<String, double[]> quotas, String tenant, long nowNs) {
        for (Site.Tenant t : site.tenants) {
            if (t.name().equals(tenant)) {
                double[] left = quotas.computeIfAbsent(tenant, x -> new double[] {t.quotaPerS(), 0});
                left[0] = Math.min(t.quotaPerS(), left[0] + (nowNs - left[1]) / 1e9 * t.quotaPerS());
                left[1] = nowNs;
                if (left[0] >= 1) {
                    left[0]--;
                    return true;
                }
                return false;
            }
        }
        return true;
    }

    List<Entry> entries() {
        return entries;
    }

    int count(Result result) {
        int n = 0;
        for (Entry e : entries) {
            n += e.result == result ? 1 : 0;
        }
        return n;
    }

    private boolean counts(Entry e) {
        return e.counted && e.askedNs >= fromNs;
    }

    private double asked(Entry e) {
        return e.kind.value() * (e.inShare ? 1 : site.overShareWorth);
    }

    private double earned(Entry e) {
        double worth = e.kind.value() * (e.servedInShare ? 1 : site.overShareWorth);
        return switch (e.result) {
            case IN_TIME -> worth;
            case LATE -> worth * e.kind.lateWorth();
            default -> 0;
        };
    }

    /** Whom a proxy serves of a tenant that sends too much is its own choice: they fill the share first. */
    private void weigh() {
        Map<String, double[]> served = new HashMap<>();
        for (Entry e : entries) {
            e.servedInShare = counts(e) && e.result.served() && inShare(served, e.tenant, e.askedNs);
        }
    }

    /** The worth served over the worth asked for; 1 if nothing was. */
    double share() {
        return sum(WINDOW_S).share();
    }

    Map<String, Double> byKind() {
        return sum(WINDOW_S).byKind();
    }

    /** Within their shares. */
    Map<String, Double> byTenant() {
        return sum(WINDOW_S).byTenant();
    }

    /** Of windows of so long, side by side, by when requests were asked. */
    double worstWindow(double seconds) {
        return sum(seconds).worstWindow();
    }

    /** The figure of the site: the whole, the worst 10 s, the worst class and the worst tenant, weighed. */
    double figure() {
        return sum(WINDOW_S).figure();
    }

    /** What all that was asked comes to; windows of so long. */
    record Sum(double share, Map<String, Double> byKind, Map<String, Double> byTenant, double worstWindow) {
        double figure() {
            double kind = byKind.values().stream().min(Double::compare).orElse(1.0);
            double tenant = byTenant.values().stream().min(Double::compare).orElse(1.0);
            return 0.4 * share + 0.1 * worstWindow + 0.1 * kind + 0.4 * tenant;
        }
    }

    /** All figures in one pass: a day has many requests. */
    Sum sum(double seconds) {
        weigh();
        double[] all = new double[2];
        Map<String, double[]> kinds = new TreeMap<>();
        Map<String, double[]> tenants = new TreeMap<>();
        Map<Long, double[]> windows = new TreeMap<>();
        for (Entry e : entries) {
            if (!counts(e)) {
                continue;
            }
            double asked = asked(e);
            double earned = earned(e);
            long window = (long) ((e.askedNs - fromNs) / 1e9 / seconds);
            add(all, asked, earned);
            add(kinds.computeIfAbsent(e.kind.name(), k -> new double[2]), asked, earned);
            add(windows.computeIfAbsent(window, w -> new double[2]), asked, earned);
            add(tenants.computeIfAbsent(e.tenant, t -> new double[2]), e.inShare ? asked : 0,
                e.servedInShare ? earned : 0);
        }
        double worst = 1;
        for (double[] w : windows.values()) {
            worst = w[0] > 0 ? Math.min(worst, w[1] / w[0]) : worst;
        }
        return new Sum(part(all), parts(kinds), parts(tenants), worst);
    }

    private static void add(double[] sums, double asked, double earned) {
        sums[0] += asked;
        sums[1] += earned;
    }

    private static double part(double[] sums) {
        return sums[0] == 0 ? 1 : Math.min(1, sums[1] / sums[0]);
    }

    private static Map<String, Double> parts(Map<String, double[]> sums) {
        Map<String, Double> parts = new LinkedHashMap<>();
        sums.forEach((name, s) -> parts.put(name, part(s)));
        return parts;
    }
}
