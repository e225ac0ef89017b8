package cacheproxy.lab.replication;

import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.EntryKind;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.Replica;
import cacheproxy.replication.ReplicationSettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * How long commands take to reach all members, and the bytes it costs, by number of members; some restart meanwhile.
 */
public final class ScalingExperiment {
    /** Times in ms; bytes per second of the median and the busiest member, and of the median member at rest. */
    public record Row(
            int members,
            double knownP50Ms,
            double knownP99Ms,
            double knownMostMs,
            double bytesPerS,
            double busiestPerS,
            double atRestPerS,
            double currentP50Ms,
            double currentMostMs,
            int unknown) {}

    private static final int COMMANDS = 12;
    private static final long COMMAND_INTERVAL_MS = 6_000;
    private static final int ENDPOINTS = 40;
    private static final int TENANTS = 5;

    private ScalingExperiment() {}

    /**
     * @param restarts share of the members that restart per minute
     * @param metricIntervalMs how often a member reports a metric with up to 25 members; grows in proportion to them
     */
    public static Row of(int members, double restarts, long metricIntervalMs, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = new SimulatedCluster(members, ReplicationSettings.DEFAULTS, random.nextLong());
        cluster.run(10_000);
        for (int i = 0; i < members; i++) {
            for (int n = 0; n < ENDPOINTS; n++) {
                cluster.member(i)
                        .reportEndpoint("s-" + n, new EndpointStatus(1, EndpointStatus.State.SERVING), cluster.now());
            }
        }
        long restFrom = cluster.now() + 5_000;
        cluster.runUntil(restFrom, null);
        double rest = bytes(cluster, 5_000).get(members / 2) / 5.0;
        long intervalMs = Math.max(metricIntervalMs, metricIntervalMs * members / 25);
        List<Double> known = new ArrayList<>();
        List<Double> current = new ArrayList<>();
        int unknown = 0;
        long[] nextMetricMs = new long[members];
        long[] bytesBefore = new long[members];
        for (int i = 0; i < members; i++) {
            nextMetricMs[i] = cluster.now() + random.nextLong(intervalMs);
            bytesBefore[i] = cluster.sentBytes(i);
        }
        long from = cluster.now();
        long[] startedAt = new long[members];
        double restartsDue = 0;
        for (int o = 0; o < COMMANDS; o++) {
            int by = random.nextInt(members);
            SimulatedCluster.SubmittedCommand command = cluster.submitCommand(by, "n" + o, "drain");
            if (command == null) {
                continue;
            }
            long at = cluster.now();
            boolean[] knows = new boolean[members];
            while (cluster.now() < at + COMMAND_INTERVAL_MS) {
                cluster.run(20);
                restartsDue += restarts * members * 20 / 60_000.0;
                for (; restartsDue >= 1; restartsDue--) {
                    int down = random.nextInt(members);
                    if (startedAt[down] == 0 && down != by) {
                        cluster.kill(down);
                        cluster.start(down);
                        startedAt[down] = cluster.now();
                    }
                }
                for (int i = 0; i < members; i++) {
                    Replica r = cluster.member(i);
                    if (!knows[i] && r.get(command.key) instanceof OperatorCommands) {
                        knows[i] = true;
                        known.add((double) cluster.now() - at);
                    }
                    if (startedAt[i] != 0 && r.state() == Replica.State.CURRENT) {
                        current.add((double) cluster.now() - startedAt[i]);
                        startedAt[i] = 0;
                    }
                    if (cluster.now() >= nextMetricMs[i]) {
                        nextMetricMs[i] = cluster.now() + intervalMs;
                        r.reportMetric(
                                EntryKind.TENANT_LEVEL,
                                "t" + random.nextInt(TENANTS),
                                random.nextDouble(),
                                cluster.now());
                    }
                }
            }
            for (boolean k : knows) {
                unknown += k ? 0 : 1;
            }
        }
        double seconds = (cluster.now() - from) / 1e3;
        List<Double> perS = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            perS.add((cluster.sentBytes(i) - bytesBefore[i]) / seconds);
        }
        Collections.sort(perS);
        return new Row(
                members,
                quantile(known, 0.5),
                quantile(known, 0.99),
                quantile(known, 1),
                perS.get(members / 2),
                perS.get(members - 1),
                rest,
                quantile(current, 0.5),
                quantile(current, 1),
                unknown);
    }

    private static List<Double> bytes(SimulatedCluster cluster, long forMs) {
        double[] bytesBefore = new double[cluster.size()];
        for (int i = 0; i < bytesBefore.length; i++) {
            bytesBefore[i] = cluster.sentBytes(i);
        }
        cluster.run(forMs);
        List<Double> all = new ArrayList<>();
        for (int i = 0; i < bytesBefore.length; i++) {
            all.add(cluster.sentBytes(i) - bytesBefore[i]);
        }
        Collections.sort(all);
        return all;
    }

    private static double quantile(List<Double> of, double p) {
        if (of.isEmpty()) {
            return Double.NaN;
        }
        Collections.sort(of);
        return of.get((int) Math.min(of.size() - 1, Math.floor(p * of.size())));
    }
}
