package cacheproxy.lab.replication;

import cacheproxy.replication.Message;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/** The network between members in simulated time: each message is delayed, lost, duplicated or held back, by seed. */
final class SimulatedNetwork {
    private record InFlight(long dueMs, long order, String to, Message message) {}

    private final PriorityQueue<InFlight> inFlight = new PriorityQueue<>(
            (a, b) -> a.dueMs != b.dueMs ? Long.compare(a.dueMs, b.dueMs) : Long.compare(a.order, b.order));
    private final SplittableRandom random;
    /** Links that drop everything, as FROM>TO. */
    private final Set<String> cut = new HashSet<>();
    /** Links that hold messages back until released. */
    private final Set<String> held = new HashSet<>();

    private final java.util.List<InFlight> heldMessages = new java.util.ArrayList<>();
    double loss;
    double duplication;
    long minDelayMs = 1;
    long maxDelayMs = 6;
    /** Share of messages that are delayed by {@link #stragglerMs}. */
    double stragglerShare;

    long stragglerMs = 5_000;
    private long order;
    long sent;
    long lost;

    SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    void cut(String from, String to, boolean active) {
        if (active) {
            cut.add(from + ">" + to);
        } else {
            cut.remove(from + ">" + to);
        }
    }

    void hold(String from, String to, boolean active, long nowMs) {
        if (active) {
            held.add(from + ">" + to);
        } else {
            held.remove(from + ">" + to);
            heldMessages.removeIf(m -> {
                boolean mine = m.to.equals(to) && m.message.from().equals(from);
                if (mine) {
                    inFlight.add(new InFlight(nowMs + 1, order++, m.to, m.message));
                }
                return mine;
            });
        }
    }

    /** Ends all faults and releases held messages. */
    void heal(long nowMs) {
        cut.clear();
        for (String link : Set.copyOf(held)) {
            hold(link.substring(0, link.indexOf('>')), link.substring(link.indexOf('>') + 1), false, nowMs);
        }
        loss = 0;
        duplication = 0;
        stragglerShare = 0;
    }

    void send(String to, Message message, long nowMs) {
        sent++;
        String link = message.from() + ">" + to;
        if (cut.contains(link) || random.nextDouble() < loss) {
            lost++;
            return;
        }
        int copies = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayMs =
                    random.nextDouble() < stragglerShare ? stragglerMs : random.nextLong(minDelayMs, maxDelayMs + 1);
            InFlight m = new InFlight(nowMs + delayMs, order++, to, message);
            if (held.contains(link)) {
                heldMessages.add(m);
            } else {
                inFlight.add(m);
            }
        }
    }

    long nextMs() {
        return inFlight.isEmpty() ? Long.MAX_VALUE : inFlight.peek().dueMs;
    }

    /** Delivers the next message that is due; false if there is none. */
    boolean deliver(long nowMs, java.util.function.BiConsumer<String, Message> to) {
        if (inFlight.isEmpty() || inFlight.peek().dueMs > nowMs) {
            return false;
        }
        InFlight m = inFlight.poll();
        to.accept(m.to, m.message);
        return true;
    }
}
