package cacheproxy.lab.replication;

import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.EntryKind;
import cacheproxy.replication.OperatorCommand;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.Replica;
import cacheproxy.replication.ReplicatedValue;
import cacheproxy.replication.ReplicationSettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A schedule of faults among members in simulated time, drawn from a seed: links cut in one or both directions, rings,
 * lost, duplicated, late and held messages, members stopped or killed, disks erased, restored from a backup or full,
 * and clocks that are an hour off. After the last fault all copies have to be equal within a stated time, acknowledged
 * commands have to be known to all, and removed endpoints have to stay removed.
 *
 * <p>The same seed gives the same schedule. This holds across versions only while random numbers are drawn in the same
 * order.
 */
public final class FaultSchedule {
    /** Limit for all copies to be equal after the last fault. */
    public static final long EQUAL_WITHIN_MS = 30_000;

    private static final int ENDPOINTS = 6;
    private static final long LIST_INTERVAL_MS = 10_000;
    private static final ReplicationSettings SETTINGS = ReplicationSettings.DEFAULTS;

    /** A schedule uses two to five of these (swarm testing): with all at once, few combinations are likely. */
    enum Fault {
        CUT,
        ONE_WAY,
        HALVES,
        RING,
        LOSS,
        DUPLICATION,
        STRAGGLERS,
        HOLD,
        STOP,
        STOP_LONG,
        KILL,
        KILL_ALL,
        DISK_EMPTY,
        DISK_RESTORED,
        DISK_FULL,
        CLOCK
    }

    /**
     * @param violations what did not hold
     * @param events what was done, a line each
     * @param equalAfterMs time from the last fault until all copies were equal
     * @param given commands that were submitted
     */
    public record Outcome(
            long seed,
            int members,
            List<String> violations,
            List<String> events,
            long equalAfterMs,
            int acknowledged,
            int given) {}

    private final long seed;
    private final SplittableRandom random;
    private final SimulatedCluster cluster;
    private final int members;
    private final List<String> events = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<Integer, EndpointStatus> actualStatus = new TreeMap<>();
    private final Map<Integer, Long> restartAtMs = new LinkedHashMap<>();
    private final long[] nextListMs;
    private final boolean[] down;
    private boolean diskDamaged;

    private FaultSchedule(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
        members = random.nextInt(3, 13);
        cluster = new SimulatedCluster(members, SETTINGS, random.nextLong());
        nextListMs = new long[members];
        down = new boolean[members];
        for (int n = 0; n < ENDPOINTS; n++) {
            actualStatus.put(n, new EndpointStatus(1_000 + n, EndpointStatus.State.SERVING));
        }
    }

    public static Outcome run(long seed) {
        return new FaultSchedule(seed).run();
    }

    private Outcome run() {
        runUntil(8_000);
        List<Fault> kinds = new ArrayList<>(List.of(Fault.values()));
        int many = random.nextInt(2, 6);
        while (kinds.size() > many) {
            kinds.remove(random.nextInt(kinds.size()));
        }
        int faults = random.nextInt(3, 13);
        for (int i = 0; i < faults; i++) {
            fault(kinds.get(random.nextInt(kinds.size())));
            long forMs = random.nextInt(20) == 0 ? 150_000 : random.nextLong(200, 12_000);
            runWorkload(cluster.now() + forMs);
        }
        heal();
        long healed = cluster.now();
        long equalAt = awaitConvergence(healed);
        runUntil(cluster.now() + LIST_INTERVAL_MS + 1_000); // every member has read its endpoint list once more
        if (equalAt >= 0 && awaitConvergence(cluster.now()) < 0) {
            equalAt = -1;
        }
        if (equalAt < 0) {
            violations.add("copies differ or catch up " + EQUAL_WITHIN_MS + " ms after the last fault: "
                    + describeDifferences());
        }
        checkOutcome();
        long acknowledged =
                cluster.submitted().stream().filter(g -> g.acknowledged).count();
        return new Outcome(
                seed,
                members,
                violations,
                events,
                equalAt - healed,
                (int) acknowledged,
                cluster.submitted().size());
    }

    private long awaitConvergence(long fromMs) {
        for (long t = fromMs; t <= fromMs + EQUAL_WITHIN_MS; t += 200) {
            runUntil(t);
            if (cluster.converged()) {
                return cluster.now();
            }
        }
        return -1;
    }

    private String describeDifferences() {
        StringBuilder s = new StringBuilder();
        java.util.Set<String> all = new java.util.TreeSet<>();
        for (int i = 0; i < members; i++) {
            Replica r = cluster.member(i);
            s.append(" m").append(i).append(' ').append(r.state());
            r.forEach((key, value) -> all.add(key));
        }
        for (String key : all) {
            ReplicatedValue first = cluster.member(0).get(key);
            for (int i = 1; i < members; i++) {
                ReplicatedValue v = cluster.member(i).get(key);
                if (!java.util.Objects.equals(first, v)) {
                    s.append("; ")
                            .append(key)
                            .append(": m0 ")
                            .append(first)
                            .append(", m")
                            .append(i)
                            .append(' ')
                            .append(v);
                }
            }
        }
        return s.toString();
    }

    private void log(String what) {
        events.add(cluster.now() + " " + what);
    }

    private String pair(int a, int b) {
        return "m" + a + ">m" + b;
    }

    private void cut(int a, int b, boolean now) {
        cluster.network.cut("m" + a, "m" + b, now);
    }

    private void fault(Fault f) {
        int a = random.nextInt(members);
        int b = (a + 1 + random.nextInt(members - 1)) % members;
        switch (f) {
            case CUT -> {
                cut(a, b, true);
                cut(b, a, true);
                log("cut " + pair(a, b) + " and back");
            }
            case ONE_WAY -> {
                for (int i = 0; i < members; i++) {
                    cut(i, a, i != a);
                }
                log("m" + a + " hears nobody");
            }
            case HALVES -> {
                for (int i = 0; i < members; i++) {
                    for (int j = 0; j < members; j++) {
                        cut(i, j, i % 2 != j % 2);
                    }
                }
                log("halves: even and odd");
            }
            case RING -> {
                for (int i = 0; i < members; i++) {
                    for (int j = 0; j < members; j++) {
                        cut(i, j, i != j && j != (i + 1) % members);
                    }
                }
                log("a ring: each is heard by the next alone");
            }
            case LOSS -> {
                cluster.network.loss = 0.05 + random.nextDouble() * 0.5;
                log("loss " + cluster.network.loss);
            }
            case DUPLICATION -> {
                cluster.network.duplication = 0.3;
                log("three in ten come twice");
            }
            case STRAGGLERS -> {
                cluster.network.stragglerShare = 0.2;
                cluster.network.stragglerMs = random.nextBoolean() ? 1_500 : 90_000;
                log("a fifth comes " + cluster.network.stragglerMs + " ms late");
            }
            case HOLD -> {
                cluster.network.hold("m" + a, "m" + b, true, cluster.now());
                log("held back " + pair(a, b));
            }
            case STOP, STOP_LONG -> {
                long ms = f == Fault.STOP ? random.nextLong(500, 12_000) : 130_000;
                cluster.stop(a, ms);
                log("m" + a + " stopped for " + ms);
            }
            case KILL -> restart(a, 0);
            case KILL_ALL -> {
                for (int i = 0; i < members; i++) {
                    restart(i, 0);
                }
            }
            case DISK_EMPTY, DISK_RESTORED -> {
                if (diskDamaged) {
                    return; // with two durable copies an acknowledged command survives the loss of one disk only
                }
                diskDamaged = true;
                restart(a, f == Fault.DISK_EMPTY ? 1 : 2);
            }
            case DISK_FULL -> {
                cluster.disk(a).full = true;
                log("m" + a + " has a full disk");
            }
            case CLOCK -> {
                long by = random.nextBoolean() ? 3_600_000 : -3_600_000;
                cluster.setWallClockOffset(a, by);
                log("m" + a + " has a clock off by " + by);
            }
        }
    }

    private void restart(int i, int disk) {
        if (down[i]) {
            return;
        }
        cluster.kill(i);
        down[i] = true;
        if (disk == 1) {
            cluster.disk(i).erase();
        } else if (disk == 2) {
            cluster.disk(i).restoreFirstBackup();
        }
        log("m" + i + " killed" + (disk == 0 ? "" : disk == 1 ? ", its disk emptied" : ", its disk put back"));
        restartAtMs.put(i, cluster.now() + random.nextLong(50, 9_000));
    }

    private void startDueMembers(boolean all) {
        restartAtMs.entrySet().removeIf(e -> {
            boolean due = all || e.getValue() <= cluster.now();
            if (due) {
                down[e.getKey()] = false;
                cluster.start(e.getKey());
                log("m" + e.getKey() + " started");
            }
            return due;
        });
    }

    private void heal() {
        cluster.network.heal(cluster.now());
        for (int i = 0; i < members; i++) {
            cluster.disk(i).full = false;
            cluster.setWallClockOffset(i, 0);
            cluster.stop(i, 0);
        }
        startDueMembers(true);
        log("healed");
    }

    /** Operators submit commands and endpoints change meanwhile. */
    private void runWorkload(long untilMs) {
        while (cluster.now() < untilMs) {
            runUntil(Math.min(untilMs, cluster.now() + random.nextLong(100, 1_500)));
            if (random.nextInt(3) == 0) {
                int by = random.nextInt(members);
                String action = List.of("drain", "close", OperatorCommand.CLEAR).get(random.nextInt(3));
                if (cluster.submitCommand(by, "n" + random.nextInt(ENDPOINTS), action) != null) {
                    log("m" + by + " took " + action);
                }
                cluster.disk(by).backUp();
            }
            if (random.nextInt(6) == 0) {
                int n = random.nextInt(ENDPOINTS);
                EndpointStatus was = actualStatus.get(n);
                actualStatus.put(
                        n,
                        was.state() == EndpointStatus.State.GONE
                                ? new EndpointStatus(was.startedMs() + 100, EndpointStatus.State.SERVING)
                                : new EndpointStatus(
                                        was.startedMs(),
                                        EndpointStatus.State.values()[
                                                was.state().ordinal() + 1]));
                log("node " + n + " " + actualStatus.get(n));
            }
        }
    }

    private void runUntil(long ms) {
        while (cluster.now() < ms) {
            cluster.run(Math.min(100, ms - cluster.now()));
            startDueMembers(false);
            for (int i = 0; i < members; i++) {
                Replica r = cluster.member(i);
                if (r != null && cluster.now() >= nextListMs[i] && !cluster.stopped(i)) {
                    nextListMs[i] = cluster.now() + LIST_INTERVAL_MS + i * 37L;
                    actualStatus.forEach((n, t) -> r.reportEndpoint("s-" + n, t, cluster.now()));
                    r.reportMetric(EntryKind.TENANT_LEVEL, "t" + i % 3, random.nextInt(100) / 100.0, cluster.now());
                }
            }
        }
    }

    private void checkOutcome() {
        for (int i = 0; i < members; i++) {
            Replica r = cluster.member(i);
            for (SimulatedCluster.SubmittedCommand g : cluster.submitted()) {
                ReplicatedValue v = r.get(g.key);
                if (g.acknowledged
                        && !(v instanceof OperatorCommands o
                                && o.versionVector().getOrDefault(g.incarnation, 0L) >= g.sequence)) {
                    violations.add(
                            "m" + i + " knows nothing of " + g.action + " on " + g.subject + ", number " + g.sequence
                                    + " of m" + g.memberIndex + ", which was acknowledged on " + g.copies + " disks");
                }
            }
            for (Map.Entry<Integer, EndpointStatus> e : actualStatus.entrySet()) {
                ReplicatedValue v = r.get("node/s-" + e.getKey());
                if (v != null && !v.merge(e.getValue()).equals(e.getValue())) {
                    violations.add("m" + i + " has " + v + " of node " + e.getKey() + ", which is " + e.getValue());
                } else if (e.getValue().state() == EndpointStatus.State.GONE
                        && v instanceof EndpointStatus t
                        && t.state() != EndpointStatus.State.GONE
                        && t.startedMs() == e.getValue().startedMs()) {
                    violations.add("m" + i + " has " + v + " of node " + e.getKey() + ", which is gone");
                }
            }
        }
    }
}
