package cacheproxy.lab.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The results of all clients' requests; retries belong to the first attempt. */
public final class RequestLedger {
    private static final double WINDOW_S = 10;

    /** The result of a request with all its attempts. */
    public enum Result {
        OPEN,
        /** Served within the latency objective. */
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        /** Not answered, or its connection was closed. */
        LOST;

        public boolean served() {
            return this == IN_TIME || this == LATE;
        }
    }

    /** One request with all its attempts. */
    public static final class Entry {
        public final SiteSettings.Kind kind;
        public final String tenant;
        final String key;
        public final long arrivedNs;
        /** Whether it arrived within its tenant's quota. */
        final boolean inShare;
        /** Whether it counts towards the figures. */
        public boolean counted = true;

        public final List<String> ids = new ArrayList<>();
        public Result result = Result.OPEN;
        /** The last response; empty if none. */
        public String answer = "";
        /** Retry-After of a rejection, in ms; 0 if none. */
        long retryAfterMs;

        public long endedNs = -1;
        /** Idempotency key of a keyed write; null for others. */
        String token;
        /** When its first byte was sent; -1 if not yet. */
        long sentNs = -1;
        /** The attempt in progress, or null. */
        ClientAttempt current;

        Runnable done = () -> {};

        Entry(SiteSettings.Kind kind, String tenant, String key, long arrivedNs, boolean inShare) {
            this.kind = kind;
            this.tenant = tenant;
            this.key = key;
            this.arrivedNs = arrivedNs;
            this.inShare = inShare;
        }

        public String id() {
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

    private final SiteSettings settings;
    /** All entries, or with a {@link #taker} those not yet taken. */
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();

    private final Map<String, double[]> asked = new HashMap<>();
    /** Requests that arrived earlier do not count; windows begin here. */
    public long fromNs;
    /** Number of responses that belong to no request. */
    public int unmatchedResponses;
    /** Receives each finished entry in order of arrival, after which the ledger drops it; null keeps all. */
    private Consumer<Entry> taker;

    public RequestLedger(SiteSettings settings) {
        this.settings = settings;
    }

    /** Sets the consumer before the first request; millions of entries would take gigabytes. */
    public void given(Consumer<Entry> to) {
        taker = to;
    }

    Entry asked(SiteSettings.Kind kind, String tenant, String key, long nowNs) {
        Entry e = new Entry(kind, tenant, key, nowNs, inShare(settings, asked, tenant, nowNs));
        entries.add(e);
        while (taker != null && entries.peek().result != Result.OPEN) {
            taker.accept(entries.poll());
        }
        return e;
    }

    /** Passes the remaining entries unfinished; to be called when nothing more will finish. */
    public void settle() {
        while (taker != null && !entries.isEmpty()) {
            taker.accept(entries.poll());
        }
    }

    /**
     * Takes a request from its tenant's quota; {@code quotas} has the tokens left and the time of the last refill in
     * ns.
     */
    static boolean inShare(SiteSettings settings, Map<String, double[]> quotas, String tenant, long nowNs) {
        for (SiteSettings.Tenant t : settings.tenants) {
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

    public Collection<Entry> entries() {
        return entries;
    }

    public int count(Result result) {
        int n = 0;
        for (Entry e : entries) {
            n += e.result == result ? 1 : 0;
        }
        return n;
    }

    /** The served value as a share of the requested one; 1 if there was none. */
    public double share() {
        return sum(WINDOW_S).share();
    }

    Map<String, Double> byKind() {
        return sum(WINDOW_S).byKind();
    }

    /** By tenant, within their quotas. */
    Map<String, Double> byTenant() {
        return sum(WINDOW_S).byTenant();
    }

    /** The worst window of this length in s, by arrival of the requests. */
    double worstWindow(double seconds) {
        return sum(seconds).worstWindow();
    }

    /** The weighted figure of the site: whole run, worst 10 s, worst class and worst tenant. */
    public double figure() {
        return sum(WINDOW_S).figure();
    }

    /** The served value of a run, from 0 to 1. */
    public record Sum(double share, Map<String, Double> byKind, Map<String, Double> byTenant, double worstWindow) {
        public double figure() {
            double kind = byKind.values().stream().min(Double::compare).orElse(1.0);
            double tenant = byTenant.values().stream().min(Double::compare).orElse(1.0);
            return 0.4 * share + 0.1 * worstWindow + 0.1 * kind + 0.4 * tenant;
        }
    }

    /** All figures in one pass, since a day has many requests; windows in s. */
    public Sum sum(double seconds) {
        ServedValue worth = new ServedValue(settings, fromNs, seconds);
        entries.forEach(worth::take);
        return worth.sum();
    }
}
