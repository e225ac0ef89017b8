package cacheproxy.lab.metrics;

import cacheproxy.lab.standin.Origin;
import cacheproxy.lab.standin.ScriptedNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Load and counters of nodes, proxies and the origin, per second and in total since the first sample. */
public final class SiteMetrics {
    private static final String[] COUNTS = {"sent to nodes", "hits", "misses", "fetched", "turned away by the origin"};

    private final List<ScriptedNode> nodes;
    private final Origin origin;
    private final int seconds;
    private final Map<ScriptedNode, Long> worked = new HashMap<>();
    private final List<double[]> loads = new ArrayList<>();
    private final List<double[]> proxyLoads = new ArrayList<>();
    private final List<double[]> counts = new ArrayList<>();
    /** The fewest nodes that were up at once since the last sample. */
    private int fewestUp = Integer.MAX_VALUE;

    private Sums before = new Sums(0, 0, 0, 0, 0, 0, 0);
    private Sums atStart;

    public SiteMetrics(List<ScriptedNode> nodes, Origin origin, int seconds) {
        this.nodes = nodes;
        this.origin = origin;
        this.seconds = seconds;
    }

    /** Counters since the start of the run; {@code workedMs} is core time at speed 1. */
    private record Sums(long begun, long across, long hits, long misses, long fetched, long refused, double workedMs) {}

    private Sums sums() {
        long begun = 0;
        long across = 0;
        long hits = 0;
        long misses = 0;
        double workedMs = 0;
        for (ScriptedNode n : nodes) {
            begun += n.begun;
            across += n.acrossZones;
            hits += n.hits;
            misses += n.misses;
            workedMs += n.workedNs() / 1e6 * n.model.speed;
        }
        return new Sums(begun, across, hits, misses, origin.fetches, origin.rejected, workedMs);
    }

    /** To be called when nodes have stopped: a node can be up again before the next sample. */
    public void nodesStopped() {
        fewestUp =
                Math.min(fewestUp, (int) nodes.stream().filter(ScriptedNode::up).count());
    }

    /** Samples the last second, to be called once a second; the load of proxies is measured by the caller. */
    public void sample(double proxies, double busiest, int running) {
        double sum = 0;
        double most = 0;
        int up = 0;
        for (ScriptedNode n : nodes) {
            long now = n.workedNs();
            double load = (now - worked.getOrDefault(n, now)) / 1e9 / n.model.cores;
            worked.put(n, now);
            up += n.up() ? 1 : 0;
            sum += load;
            most = Math.max(most, load);
        }
        Sums sums = sums();
        atStart = atStart == null ? sums : atStart;
        counts.add(new double[] {
            sums.begun - before.begun,
            sums.hits - before.hits,
            sums.misses - before.misses,
            sums.fetched - before.fetched,
            sums.refused - before.refused
        });
        before = sums;
        loads.add(new double[] {up == 0 ? 0 : sum / up, most, Math.min(up, fewestUp)});
        fewestUp = Integer.MAX_VALUE;
        proxyLoads.add(new double[] {running == 0 ? 0 : proxies / running, busiest, running});
    }

    /** Adds the figures since the first sample; {@code workMs} is the work of a mean request. */
    public void figures(Map<String, Double> figures, RequestTotals totals, double workMs) {
        Sums end = sums();
        Sums from = atStart == null ? end : atStart;
        long begun = end.begun - from.begun;
        double workedMs = end.workedMs - from.workedMs;
        figures.put("attempts a request", totals.all == 0 ? 0 : (double) begun / totals.all);
        figures.put("across zones", begun == 0 ? 0 : (double) (end.across - from.across) / begun);
        figures.put("wasted work", workedMs == 0 ? 0 : Math.max(0, 1 - totals.served * workMs / workedMs));
        long reads = end.hits - from.hits + end.misses - from.misses;
        figures.put("missed", reads == 0 ? 0 : (double) (end.misses - from.misses) / reads);
        figures.put("nodes fallen", (double)
                nodes.stream().filter(ScriptedNode::fallen).count());
        figures.put(
                "busiest node", loads.stream().mapToDouble(x -> x[1]).average().orElse(0));
        figures.put(
                "busiest proxy",
                proxyLoads.stream().mapToDouble(x -> x[1]).max().orElse(0));
    }

    public void series(Map<String, double[]> series) {
        series.put("nodes' load, mean", column(loads, 0));
        series.put("nodes' load, busiest", column(loads, 1));
        series.put("nodes up", column(loads, 2));
        for (int i = 0; i < COUNTS.length; i++) {
            series.put(COUNTS[i], column(counts, i));
        }
        series.put("proxies' load, mean", column(proxyLoads, 0));
        series.put("proxies' load, busiest", column(proxyLoads, 1));
        series.put("proxies up", column(proxyLoads, 2));
    }

    /** The values of a column by second; the first sample is only the base. */
    private double[] column(List<double[]> rows, int of) {
        double[] all = new double[seconds];
        for (int i = 0; i < seconds && i + 1 < rows.size(); i++) {
            all[i] = rows.get(i + 1)[of];
        }
        return all;
    }
}
