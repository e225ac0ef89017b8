package cacheproxy.lab.replication;

import cacheproxy.replication.Message;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.Replica;
import cacheproxy.replication.ReplicaActions;
import cacheproxy.replication.ReplicaBusyException;
import cacheproxy.replication.ReplicationSettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Members in simulated time: real replicas on a simulated network, with simulated disks and clocks that can be made
 * faulty. The same seed gives the same run.
 */
public final class SimulatedCluster {
    /** A command that was submitted, and its outcome. */
    public static final class SubmittedCommand {
        final String key;
        final String subject;
        final int memberIndex;
        final long incarnation;
        final long sequence;
        final String action;
        boolean acknowledged;
        boolean timedOut;
        int copies;

        SubmittedCommand(String subject, int memberIndex, long incarnation, long sequence, String action) {
            this.key = "order/" + subject;
            this.subject = subject;
            this.memberIndex = memberIndex;
            this.incarnation = incarnation;
            this.sequence = sequence;
            this.action = action;
        }
    }

    private final class Member implements ReplicaActions {
        private final int index;
        private final SimulatedDisk disk = new SimulatedDisk();
        private Replica replica;
        private long incarnation;
        private long nextTickMs;
        private long stoppedUntilMs = -1;
        private long wallClockOffsetMs;
        private int startCount;
        private long bytes;
        private final List<Message> receivedWhileStopped = new ArrayList<>();

        Member(int index) {
            this.index = index;
        }

        @Override
        public void send(String peer, Message message) {
            bytes += message.encodedBytes();
            network.send(peer, message, nowMs);
        }

        @Override
        public void store(String key, OperatorCommands commands, long token) {
            Replica writer = replica;
            long done = nowMs + random.nextLong(1, maxDiskLatencyMs + 1);
            writes.add(new Write(done, writeOrder++, this, writer, key, commands, token));
        }

        @Override
        public void entryChanged(String key) {
            // tests read the state itself
        }

        @Override
        public void commandAcknowledged(long sequence, boolean durable, int copies) {
            for (SubmittedCommand command : submitted) {
                if (command.incarnation == incarnation && command.sequence == sequence) {
                    command.acknowledged = durable;
                    command.timedOut = !durable;
                    command.copies = copies;
                }
            }
        }
    }

    private record Write(
            long dueMs,
            long order,
            Member member,
            Replica replica,
            String key,
            OperatorCommands commands,
            long token) {}

    final SimulatedNetwork network;
    private final SplittableRandom random;
    private final ReplicationSettings settings;
    private final List<Member> allMembers = new ArrayList<>();
    private final Map<String, Member> byName = new LinkedHashMap<>();
    private final PriorityQueue<Write> writes = new PriorityQueue<>(
            (a, b) -> a.dueMs != b.dueMs ? Long.compare(a.dueMs, b.dueMs) : Long.compare(a.order, b.order));
    private final PriorityQueue<Member> ticks = new PriorityQueue<>((a, b) -> a.nextTickMs != b.nextTickMs
            ? Long.compare(a.nextTickMs, b.nextTickMs)
            : Integer.compare(a.index, b.index));
    private final List<SubmittedCommand> submitted = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    long maxDiskLatencyMs = 4;
    private long writeOrder;
    private long nowMs = 1_000;

    public SimulatedCluster(int members, ReplicationSettings settings, long seed) {
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(random.nextLong());
        this.settings = settings;
        for (int i = 0; i < members; i++) {
            names.add("m" + i);
        }
        for (int i = 0; i < members; i++) {
            Member s = new Member(i);
            allMembers.add(s);
            byName.put(names.get(i), s);
            s.nextTickMs = nowMs + random.nextLong(settings.roundMs());
            start(i);
        }
        ticks.addAll(allMembers);
    }

    public long now() {
        return nowMs;
    }

    public int size() {
        return allMembers.size();
    }

    /** Null while the member is down. */
    public Replica member(int i) {
        return allMembers.get(i).replica;
    }

    public List<SubmittedCommand> submitted() {
        return submitted;
    }

    public SimulatedDisk disk(int i) {
        return allMembers.get(i).disk;
    }

    public long sentBytes(int i) {
        return allMembers.get(i).bytes;
    }

    public void start(int i) {
        Member s = allMembers.get(i);
        s.incarnation = (wall(s) << 12) + (random.nextLong() & 0xfff) + s.startCount++;
        List<String> peers = new ArrayList<>(names);
        peers.remove(i);
        s.replica = new Replica(names.get(i), s.incarnation, peers, settings, random.nextLong(), nowMs, s);
        s.disk.read().forEach((key, orders) -> s.replica.restore(key, orders, nowMs));
        s.stoppedUntilMs = -1;
        s.receivedWhileStopped.clear();
    }

    /** Like kill -9: writes under way may or may not reach the disk. */
    public void kill(int i) {
        Member s = allMembers.get(i);
        s.replica = null;
        writes.removeIf(w -> {
            if (w.member == s && random.nextBoolean()) {
                s.disk.write(w.key, w.commands);
            }
            return w.member == s;
        });
    }

    /** Like SIGSTOP, and SIGCONT after this time: the clock goes on, messages wait in the sockets. */
    public void stop(int i, long forMs) {
        allMembers.get(i).stoppedUntilMs = nowMs + forMs;
    }

    public boolean stopped(int i) {
        return allMembers.get(i).stoppedUntilMs > nowMs;
    }

    public void setWallClockOffset(int i, long byMs) {
        allMembers.get(i).wallClockOffsetMs = byMs;
    }

    private long wall(Member s) {
        return 1_700_000_000_000L + nowMs + s.wallClockOffsetMs;
    }

    /** Null if the member is down, stopped or busy. */
    public SubmittedCommand submitCommand(int i, String subject, String action) {
        Member s = allMembers.get(i);
        if (s.replica == null || s.stoppedUntilMs > nowMs) {
            return null;
        }
        long sequence;
        try {
            sequence = s.replica.submitCommand(subject, action, "operator", "as drawn", nowMs, wall(s));
        } catch (ReplicaBusyException e) {
            return null;
        }
        SubmittedCommand g = new SubmittedCommand(subject, i, s.incarnation, sequence, action);
        submitted.add(g);
        return g;
    }

    /** Runs until this time, or until the condition holds if there is one; whether it did. */
    public boolean runUntil(long ms, java.util.function.BooleanSupplier condition) {
        while (nowMs < ms) {
            if (condition != null && condition.getAsBoolean()) {
                return true;
            }
            step(ms);
        }
        return condition != null && condition.getAsBoolean();
    }

    public void run(long forMs) {
        runUntil(nowMs + forMs, null);
    }

    private void step(long most) {
        Member next = ticks.peek();
        long at = Math.min(next.nextTickMs, network.nextMs());
        at = writes.isEmpty() ? at : Math.min(at, writes.peek().dueMs);
        nowMs = Math.max(nowMs, Math.min(at, most));
        while (network.deliver(nowMs, this::deliver)) {
            // delivers all messages that are due
        }
        while (!writes.isEmpty() && writes.peek().dueMs <= nowMs) {
            Write w = writes.poll();
            if (w.member.disk.write(w.key, w.commands) && w.replica == w.member.replica) {
                w.replica.onStored(w.token, nowMs);
            }
        }
        while (ticks.peek().nextTickMs <= nowMs) {
            Member s = ticks.poll();
            s.nextTickMs = nowMs + settings.roundMs();
            ticks.add(s);
            if (s.replica != null && s.stoppedUntilMs <= nowMs) {
                if (s.stoppedUntilMs >= 0) {
                    s.stoppedUntilMs = -1;
                    s.receivedWhileStopped.forEach(
                            m -> s.replica.receive(m, nowMs)); // a process reads its sockets before its timers run
                    s.receivedWhileStopped.clear();
                }
                s.replica.tick(nowMs);
            }
        }
    }

    private void deliver(String to, Message m) {
        Member s = byName.get(to);
        if (s.replica != null && s.stoppedUntilMs > nowMs) {
            if (s.receivedWhileStopped.size() < 256) {
                s.receivedWhileStopped.add(m);
            }
        } else if (s.replica != null) {
            s.replica.receive(m, nowMs);
        }
    }

    /** Whether all running members are current and hold equal state. */
    public boolean converged() {
        long digest = 0;
        boolean first = true;
        for (Member s : allMembers) {
            if (s.replica != null) {
                if (s.replica.state() != Replica.State.CURRENT || !first && s.replica.digest() != digest) {
                    return false;
                }
                digest = s.replica.digest();
                first = false;
            }
        }
        return true;
    }
}
