package cacheproxy.lab.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** The value of served requests as a share of all, taken one by one in order of arrival. */
public final class ServedValue {
    private final SiteSettings settings;
    private final long fromNs;
    private final double windowS;
    /** Quota use by served requests only: which of a tenant's requests to serve is the proxy's choice. */
    private final Map<String, double[]> served = new HashMap<>();

    private final double[] all = new double[2];
    private final Map<String, double[]> kinds = new TreeMap<>();
    private final Map<String, double[]> tenants = new TreeMap<>();
    private final Map<Long, double[]> windows = new TreeMap<>();

    /** Requests that arrived before {@code fromNs} do not count; windows begin there. */
    public ServedValue(SiteSettings settings, long fromNs, double windowS) {
        this.settings = settings;
        this.fromNs = fromNs;
        this.windowS = windowS;
    }

    public void take(RequestLedger.Entry e) {
        if (!e.counted || e.arrivedNs < fromNs) {
            return;
        }
        boolean inShare = e.result.served() && RequestLedger.inShare(settings, served, e.tenant, e.arrivedNs);
        double asked = e.kind.value() * (e.inShare ? 1 : settings.overShareWorth);
        double worth = e.kind.value() * (inShare ? 1 : settings.overShareWorth);
        double earned = switch (e.result) {
            case IN_TIME -> worth;
            case LATE -> worth * e.kind.lateWorth();
            default -> 0;
        };
        long window = (long) ((e.arrivedNs - fromNs) / 1e9 / windowS);
        add(all, asked, earned);
        add(kinds.computeIfAbsent(e.kind.name(), k -> new double[2]), asked, earned);
        add(windows.computeIfAbsent(window, w -> new double[2]), asked, earned);
        add(tenants.computeIfAbsent(e.tenant, t -> new double[2]), e.inShare ? asked : 0, inShare ? earned : 0);
    }

    public RequestLedger.Sum sum() {
        double worst = 1;
        for (double[] w : windows.values()) {
            worst = w[0] > 0 ? Math.min(worst, w[1] / w[0]) : worst;
        }
        return new RequestLedger.Sum(part(all), parts(kinds), parts(tenants), worst);
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
