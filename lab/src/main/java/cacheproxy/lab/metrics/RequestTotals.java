package cacheproxy.lab.metrics;

import cacheproxy.lab.standin.RequestLedger;
import cacheproxy.lab.standin.ServedValue;
import cacheproxy.lab.standin.SiteSettings;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The totals of a ledger: figures of the whole run and a value for each second. */
public final class RequestTotals {
    /** Share of the service before the fault that counts as recovered. */
    private static final double BACK = 0.95;
    /** Length in seconds of the window over which service is measured. */
    private static final int WINDOW = 3;

    private static final int STAYS = 3;

    /** Length in seconds of the windows of which the worst is a figure. */
    private static final double WORTH_S = 10;

    private static final long NS_PER_S = 1_000_000_000L;
    private static final long MOST_US = 600_000_000;

    private long fromNs;
    private final SiteSettings settings;
    private final int seconds;
    private ServedValue worth;
    private final Histogram latency = new Histogram(1, MOST_US, 3);
    private final long[] by = new long[RequestLedger.Result.values().length];
    public final Map<String, Double> figures = new LinkedHashMap<>();
    public final Map<String, double[]> series = new LinkedHashMap<>();
    public long asked;
    /** All requests since the warm-up, also those that do not count. */
    long all;

    long served;

    public RequestTotals(SiteSettings settings, long fromNs, int seconds) {
        this.settings = settings;
        this.seconds = seconds;
        from(fromNs);
    }

    /** Sets the time in ns from which requests count; to be called before the first is taken. */
    public void from(long ns) {
        fromNs = ns;
        worth = new ServedValue(settings, ns, WORTH_S);
    }

    /** Takes one finished request; requests come in order of arrival. */
    public void take(RequestLedger.Entry e) {
        worth.take(e);
        all += e.arrivedNs >= fromNs ? 1 : 0;
        served += e.arrivedNs >= fromNs && e.result.served() ? 1 : 0;
        int second = (int) Math.floorDiv(e.arrivedNs - fromNs, NS_PER_S);
        if (!e.counted || second < 0 || second >= seconds) {
            return;
        }
        asked++;
        by[e.result.ordinal()]++;
        add("asked", second, 1);
        add("asked of " + e.tenant, second, 1);
        switch (e.result) {
            case IN_TIME -> {
                add("in time", second, 1);
                add("in time of " + e.tenant, second, 1);
                add("in time of " + e.kind.name(), second, 1);
            }
            case LATE -> add("late", second, 1);
            case REFUSED -> add("refused", second, 1);
            default -> add("failed", second, 1);
        }
        add("asked of " + e.kind.name(), second, 1);
        if (e.result.served()) {
            latency.recordValue(Math.max(1, Math.min(MOST_US, (e.endedNs - e.arrivedNs) / 1_000)));
        }
    }

    /** Computes the figures; faults begin and end at these seconds, negative for none. */
    public void count(double firstTrouble, double lastTrouble) {
        RequestLedger.Sum sum = worth.sum();
        figures.put("figure", sum.figure());
        figures.put("service", sum.share());
        figures.put("worst 10 s", sum.worstWindow());
        figures.put("in time", part(by, RequestLedger.Result.IN_TIME));
        figures.put("late", part(by, RequestLedger.Result.LATE));
        figures.put("refused", part(by, RequestLedger.Result.REFUSED));
        figures.put(
                "failed",
                part(by, RequestLedger.Result.FAILED)
                        + part(by, RequestLedger.Result.LOST)
                        + part(by, RequestLedger.Result.OPEN));
        for (double p : new double[] {50, 95, 99, 99.9}) {
            String name = "p" + (p == Math.rint(p) ? Integer.toString((int) p) : Double.toString(p)) + " ms";
            figures.put(name, latency.getTotalCount() == 0 ? Double.NaN : latency.getValueAtPercentile(p) / 1e3);
        }
        sum.byKind().forEach((name, x) -> figures.put("class " + name, x));
        sum.byTenant().forEach((name, x) -> figures.put("tenant " + name, x));
        figures.put(
                "during",
                firstTrouble < 0 ? Double.NaN : service(firstTrouble, Math.max(lastTrouble, firstTrouble + 1)));
        figures.put("back after s", firstTrouble < 0 ? Double.NaN : backAfter(firstTrouble, lastTrouble));
    }

    private double part(long[] by, RequestLedger.Result of) {
        return asked == 0 ? 0 : (double) by[of.ordinal()] / asked;
    }

    private void add(String name, int second, double x) {
        series.computeIfAbsent(name, n -> new double[seconds])[second] += x;
    }

    /** Share of the requests that arrived in this span of seconds and were answered in time; NaN if there were none. */
    private double service(double from, double to) {
        double[] all = series.getOrDefault("asked", new double[seconds]);
        double[] good = series.getOrDefault("in time", new double[seconds]);
        double asked = 0;
        double inTime = 0;
        for (int i = (int) Math.max(0, from); i < Math.min(seconds, Math.ceil(to)); i++) {
            asked += all[i];
            inTime += good[i];
        }
        return asked == 0 ? Double.NaN : inTime / asked;
    }

    /** Seconds from the end of the last fault until service has recovered for good; infinite if it has not. */
    private double backAfter(double first, double last) {
        double before = service(0, Math.max(1, Math.floor(first)));
        int end = (int) Math.ceil(last);
        int stays = 0;
        for (int i = end; i + WINDOW <= seconds; i++) {
            stays = service(i, i + WINDOW) >= BACK * before ? stays + 1 : 0;
            if (stays == STAYS) {
                return i - STAYS + 1 - end;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
