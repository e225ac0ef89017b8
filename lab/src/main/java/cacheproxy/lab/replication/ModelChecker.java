package cacheproxy.lab.replication;

import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.Message;
import cacheproxy.replication.OperatorCommand;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.Replica;
import cacheproxy.replication.ReplicaActions;
import cacheproxy.replication.ReplicatedValue;
import cacheproxy.replication.ReplicationSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model checker of three members. Explores every order, up to a depth, in which messages are delivered, lost or
 * duplicated, disks write, members tick, submit commands and are killed. A state is reached by replaying its steps from
 * the start; one that was visited at the same depth or earlier is not explored again. At the end of each path all
 * messages are delivered, and all copies have to become equal.
 */
public final class ModelChecker {
    /** What to explore: the number of steps in a path, and of kills, lost and duplicated messages among them. */
    public record Plan(int depth, int kills, int losses, int duplicates, long maxStates) {}

    /**
     * @param complete false if exploring ended at the limit of states
     * @param violation what did not hold, null if everything did
     * @param path the steps to the violation
     */
    public record Result(long states, long paths, boolean complete, String violation, List<String> path) {}

    private static final int MEMBERS = 3;
    private static final int MAX_IN_FLIGHT = 6;
    private static final long SETTLE_MS = 30_000;
    private static final ReplicationSettings SETTINGS =
            new ReplicationSettings(200, 1 << 20, 1 << 20, 2, 20_000, 2_000, 2_000, 2_000);
    private static final String SUBJECT = "n1";

    private enum StepKind {
        DELIVER,
        LOSE,
        DUPLICATE,
        WRITE,
        TICK,
        KILL,
        SUBMIT,
        REMOVE
    }

    private record Step(StepKind kind, int index) {
        @Override
        public String toString() {
            return kind.name().toLowerCase(java.util.Locale.ROOT) + " " + index;
        }
    }

    private record InFlight(String to, Message message) {}

    private record Write(int member, Replica by, String key, OperatorCommands commands, long token) {}

    private record AcknowledgedCommand(int member, long incarnation, long sequence) {}

    /** The members that submit a command, in this order; the third may not know the commands of the others. */
    private static final int[] SUBMITTED_BY = {0, 1, 2};

    private static final String[] ACTIONS = {"drain", "close", OperatorCommand.CLEAR};

    /** The members, and the messages and writes between them. */
    private static final class Model {
        private final List<InFlight> inFlight = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();
        private final Replica[] members = new Replica[MEMBERS];
        private final SimulatedDisk[] disks = new SimulatedDisk[MEMBERS];
        private final int[] startCount = new int[MEMBERS];
        private final long[] incarnations = new long[MEMBERS];
        private final ReplicatedValue[] lastStatus = new ReplicatedValue[MEMBERS];
        private final List<AcknowledgedCommand> acknowledged = new ArrayList<>();
        private final Fault fault;
        private long nowMs = 1_000;
        private int submitted;
        private int kills;
        private int losses;
        private int duplicates;
        private boolean gone;
        private String violation;

        Model(Fault fault) {
            this.fault = fault;
            for (int i = 0; i < MEMBERS; i++) {
                disks[i] = new SimulatedDisk();
                start(i);
            }
            settle(3_000);
            members[0].reportEndpoint("s-1", new EndpointStatus(5, EndpointStatus.State.SERVING), nowMs);
            settle(3_000);
            if (!converged()) {
                violation = "not equal at the beginning";
            }
            inFlight.clear();
        }

        private void start(int i) {
            incarnations[i] = 10 * (i + 1) + startCount[i]++;
            List<String> peers = new ArrayList<>();
            for (int p = 0; p < MEMBERS; p++) {
                if (p != i) {
                    peers.add("m" + p);
                }
            }
            long incarnation = incarnations[i];
            members[i] =
                    new Replica("m" + i, incarnation, peers, SETTINGS, 77 + incarnation, nowMs, new ReplicaActions() {
                        @Override
                        public void send(String peer, Message message) {
                            inFlight.add(new InFlight(peer, message));
                            if (inFlight.size() > MAX_IN_FLIGHT) {
                                inFlight.remove(0);
                            }
                        }

                        @Override
                        public void store(String key, OperatorCommands commands, long token) {
                            writes.add(new Write(i, members[i], key, commands, token));
                            if (fault == Fault.CONFIRMED_BEFORE_WRITTEN) {
                                // the injected fault: confirms the command before it is on disk
                                Replica by = members[i];
                                earlyConfirmations.add(() -> by.onStored(token, nowMs));
                            }
                        }

                        @Override
                        public void entryChanged(String key) {
                            // checkInvariants reads the state after each step
                        }

                        @Override
                        public void commandAcknowledged(long sequence, boolean durable, int onDisks) {
                            if (durable) {
                                acknowledged.add(new AcknowledgedCommand(i, incarnation, sequence));
                            }
                        }
                    });
            disks[i].read().forEach((key, commands) -> members[i].restore(key, commands, nowMs));
            lastStatus[i] = null;
        }

        private final List<Runnable> earlyConfirmations = new ArrayList<>();

        private void deliver(InFlight u) {
            members[u.to.charAt(1) - '0'].receive(u.message, nowMs);
        }

        private void write(Write w) {
            disks[w.member].write(w.key, w.commands);
            if (w.by == members[w.member] && fault != Fault.CONFIRMED_BEFORE_WRITTEN) {
                w.by.onStored(w.token, nowMs);
            }
        }

        private void tick(int i) {
            nowMs += SETTINGS.roundMs();
            members[i].tick(nowMs);
        }

        /** Runs without further faults until all members are equal, or for this time. */
        private void settle(long ms) {
            for (long until = nowMs + ms; nowMs < until; ) {
                for (int i = 0; i < MEMBERS; i++) {
                    members[i].tick(nowMs);
                }
                for (int most = 1_000;
                        most > 0 && !(inFlight.isEmpty() && writes.isEmpty() && earlyConfirmations.isEmpty());
                        most--) {
                    earlyConfirmations();
                    while (!writes.isEmpty()) {
                        write(writes.remove(0));
                    }
                    if (!inFlight.isEmpty()) {
                        deliver(inFlight.remove(0));
                    }
                }
                nowMs += SETTINGS.roundMs();
                if (converged()) {
                    return;
                }
            }
        }

        private void earlyConfirmations() {
            List<Runnable> now = new ArrayList<>(earlyConfirmations);
            earlyConfirmations.clear();
            now.forEach(Runnable::run);
        }

        private boolean converged() {
            long digest = members[0].digest();
            for (Replica r : members) {
                if (r.state() != Replica.State.CURRENT || r.digest() != digest) {
                    return false;
                }
            }
            return true;
        }

        List<Step> steps(Plan plan) {
            List<Step> steps = new ArrayList<>();
            for (int i = 0; i < inFlight.size(); i++) {
                steps.add(new Step(StepKind.DELIVER, i));
                if (losses < plan.losses()) {
                    steps.add(new Step(StepKind.LOSE, i));
                }
                if (duplicates < plan.duplicates()) {
                    steps.add(new Step(StepKind.DUPLICATE, i));
                }
            }
            for (int i = 0; i < writes.size(); i++) {
                steps.add(new Step(StepKind.WRITE, i));
            }
            for (int i = 0; i < MEMBERS; i++) {
                steps.add(new Step(StepKind.TICK, i));
                if (kills < plan.kills()) {
                    steps.add(new Step(StepKind.KILL, i));
                }
            }
            if (submitted < ACTIONS.length) {
                steps.add(new Step(StepKind.SUBMIT, SUBMITTED_BY[submitted]));
            }
            if (!gone) {
                steps.add(new Step(StepKind.REMOVE, 1));
            }
            return steps;
        }

        void take(Step s) {
            switch (s.kind) {
                case DELIVER -> deliver(inFlight.remove(s.index));
                case LOSE -> {
                    inFlight.remove(s.index);
                    losses++;
                }
                case DUPLICATE -> {
                    duplicates++;
                    deliver(inFlight.get(s.index));
                }
                case WRITE -> write(writes.remove(s.index));
                case TICK -> tick(s.index);
                case KILL -> {
                    kills++;
                    writes.removeIf(w -> w.member == s.index);
                    start(s.index);
                }
                case SUBMIT ->
                    members[s.index].submitCommand(SUBJECT, ACTIONS[submitted++], "o", "", nowMs, 1_000_000 + nowMs);
                case REMOVE -> {
                    gone = true;
                    members[1].reportEndpoint("s-1", new EndpointStatus(5, EndpointStatus.State.GONE), nowMs);
                }
            }
            earlyConfirmations();
            checkInvariants();
        }

        private void checkInvariants() {
            for (int i = 0; i < MEMBERS && violation == null; i++) {
                ReplicatedValue now = members[i].get("node/s-1");
                if (lastStatus[i] != null
                        && now != null
                        && !now.merge(lastStatus[i]).equals(now)) {
                    violation = "m" + i + " went back from " + lastStatus[i] + " to " + now;
                }
                lastStatus[i] = now == null ? lastStatus[i] : now;
            }
            for (AcknowledgedCommand a : acknowledged) {
                int on = 0;
                for (SimulatedDisk d : disks) {
                    OperatorCommands o = d.read().get("order/" + SUBJECT);
                    on += o != null && o.versionVector().getOrDefault(a.incarnation, 0L) >= a.sequence ? 1 : 0;
                }
                if (on < SETTINGS.durableCopies() && violation == null) {
                    violation = "an acknowledged order is on " + on + " disks";
                }
            }
        }

        /** Ends a path: no fault happens any more, and all copies must become equal. */
        void finish() {
            settle(SETTLE_MS);
            checkInvariants();
            if (violation == null && !converged()) {
                violation = "copies differ " + SETTLE_MS + " ms after the last fault";
            }
            ReplicatedValue gone1 = members[0].get("node/s-1");
            if (violation == null
                    && gone
                    && gone1 instanceof EndpointStatus t
                    && t.state() != EndpointStatus.State.GONE
                    && kills == 0) {
                violation = "the node that is gone has come back";
            }
            for (AcknowledgedCommand a : acknowledged) {
                ReplicatedValue v = members[0].get("order/" + SUBJECT);
                if (violation == null
                        && !(v instanceof OperatorCommands o
                                && o.versionVector().getOrDefault(a.incarnation, 0L) >= a.sequence)) {
                    violation = "an acknowledged order is known to nobody";
                }
            }
        }

        long fingerprint() {
            long f = submitted + 7L * kills + 31L * losses + 127L * duplicates + (gone ? 1_009 : 0);
            for (int i = 0; i < MEMBERS; i++) {
                f = ReplicatedValue.mix(f + members[i].fingerprint(nowMs));
                for (Map.Entry<String, OperatorCommands> e : disks[i].read().entrySet()) {
                    f = ReplicatedValue.mix(f + e.getValue().digest());
                }
            }
            long messages = 0;
            for (InFlight u : inFlight) {
                messages += ReplicatedValue.hash(
                        1,
                        u.to
                                + u.message.from()
                                + u.message.incarnation()
                                + (nowMs - u.message.nowMs())
                                + u.message.body());
            }
            long left = 0;
            for (Write w : writes) {
                left += ReplicatedValue.mix(
                        w.token + 64L * w.member + w.commands.digest() + (w.by == members[w.member] ? 1 : 0));
            }
            return ReplicatedValue.mix(f + messages + 31 * left + 127L * acknowledged.size());
        }
    }

    /** A defect injected to see that it is found. */
    public enum Fault {
        NONE,
        CONFIRMED_BEFORE_WRITTEN
    }

    private final Plan plan;
    private final Fault fault;
    private final Map<Long, Integer> visited = new HashMap<>();
    private long paths;
    private boolean complete = true;

    private ModelChecker(Plan plan, Fault fault) {
        this.plan = plan;
        this.fault = fault;
    }

    public static Result explore(Plan plan, Fault fault) {
        ModelChecker e = new ModelChecker(plan, fault);
        LinkedHashMap<String, List<Step>> violation = new LinkedHashMap<>();
        e.explore(new ArrayList<>(), violation);
        String first =
                violation.isEmpty() ? null : violation.keySet().iterator().next();
        List<String> path = first == null
                ? List.of()
                : violation.get(first).stream().map(Step::toString).toList();
        return new Result(e.visited.size(), e.paths, e.complete, first, path);
    }

    private Model replay(List<Step> path) {
        Model m = new Model(fault);
        for (Step s : path) {
            m.take(s);
        }
        return m;
    }

    private void explore(List<Step> path, Map<String, List<Step>> violation) {
        if (!violation.isEmpty()) {
            return;
        }
        Model m = replay(path);
        if (m.violation != null) {
            violation.put(m.violation, List.copyOf(path));
            return;
        }
        int left = plan.depth() - path.size();
        Integer before = visited.get(m.fingerprint());
        if (before != null && before >= left) {
            return;
        }
        if (visited.size() >= plan.maxStates()) {
            complete = false;
            return;
        }
        visited.put(m.fingerprint(), left);
        if (left == 0) {
            paths++;
            m.finish();
            if (m.violation != null) {
                violation.put(m.violation, List.copyOf(path));
            }
            return;
        }
        for (Step s : m.steps(plan)) {
            path.add(s);
            explore(path, violation);
            path.remove(path.size() - 1);
        }
    }
}
