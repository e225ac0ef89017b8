package cacheproxy.lab.standin;

import cacheproxy.lab.simulation.Listener;
import cacheproxy.lab.simulation.Network;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/** A cache node of the platform, or a plain memcached, with faults injected by the driver. */
public final class ScriptedNode {
    /** What the cache nodes of a site share. */
    public record Shared(Origin origin, Map<String, IdempotencyMemory> memories) {}

    private static final byte[] BUSY = LineBuffer.bytes("SERVER_ERROR busy");
    private static final byte[] FAILED = LineBuffer.bytes("SERVER_ERROR failed");

    final Network net;
    public final NodeModel model;
    private EndpointEntry entry;
    private final Shared shared;
    private final Random random;
    private final MemcachedStore plain;
    /** Cached keys with their origin's version, least recently used first. */
    private final Map<String, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);
    /** The listener by which the origin identifies this cache. */
    private final Consumer<String> voids = kept::remove;

    private final Map<String, Integer> fetching = new LinkedHashMap<>();
    private final List<NodeConnection> lines = new ArrayList<>();
    private final ArrayDeque<NodeJob> waiting = new ArrayDeque<>();
    private final ArrayDeque<NodeJob> ready = new ArrayDeque<>();
    private final ArrayDeque<Runnable> asleep = new ArrayDeque<>();
    /** Arrival times of recent commands while it warms up. */
    private final ArrayDeque<Long> recent = new ArrayDeque<>();

    private final ArrayDeque<NodeFault> next = new ArrayDeque<>();
    private Function<NodeCommand, NodeFault> faults = c -> null;
    private NodeFault always;
    private Listener listening;
    /** Whether a host is in another zone. */
    public Predicate<String> far = who -> false;
    /** Number of starts: tasks of an earlier incarnation are dropped. */
    private int life;

    private boolean up;
    private boolean fallen;
    private boolean draining;
    private boolean refusing;
    private double cold = 1;
    private long startNs;
    private long pausedUntilNs;
    private int inWork;
    private int busyCores;
    private long busyNs;
    /** Core time used since it was created, in ns. */
    private long workedNs;

    private long busySinceNs;
    private long sampledNs;
    private double load;
    private double newLoad;
    private long receipts;

    /** Counters since it was created. */
    public int begun;
    /** Those from hosts for which {@link #far} holds. */
    public int acrossZones;

    int ran;
    int dropped;
    public int rejected;
    public int hits;
    public int misses;

    public ScriptedNode(Network net, EndpointEntry entry, NodeModel model, Shared shared, long seed) {
        this.net = net;
        this.entry = entry;
        this.model = model;
        this.shared = shared;
        random = new Random(seed);
        plain = new MemcachedStore(model.keys);
    }

    public String name() {
        return entry.id();
    }

    /** Its entry in the endpoint list. */
    public EndpointEntry entry() {
        return entry;
    }

    public InetSocketAddress address() {
        return entry.address();
    }

    public boolean up() {
        return up;
    }

    public boolean fallen() {
        return fallen;
    }

    public int connections() {
        return lines.size();
    }

    /** Core time used up to now, in ns. */
    public long workedNs() {
        count(0);
        return workedNs;
    }

    /** Starts with an empty cache and this share of its capacity, which grows to the whole; 1 for warm. */
    public void start(double share) {
        if (up) {
            throw new IllegalStateException(name() + " runs");
        }
        life++;
        up = true;
        fallen = false;
        draining = false;
        cold = share;
        startNs = net.nowNs();
        busySinceNs = startNs;
        sampledNs = startNs;
        busyNs = 0;
        load = 0;
        newLoad = 0;
        pausedUntilNs = startNs;
        if (share < 1) {
            entry = entry.started(net.unixMs());
        }
        listen();
        entry = entry.state(EndpointEntry.SERVING);
        net.fact(
                name(),
                "start",
                "cold=" + share + " coldMs=" + model.coldMs + " perS="
                        + Math.round(model.perS() * 1000) / 1000.0 + " id=" + name()
                        + " addr=" + EndpointEntry.text(entry.address()));
    }

    private void listen() {
        if (!refusing) {
            listening = net.listen(name(), entry.address(), () -> new NodeConnection(this));
            entry = entry.at(listening.address());
        }
    }

    /** Kills the process: connections are reset and new ones refused. */
    public void stop() {
        if (up) {
            net.fact(name(), "stop", "");
            die();
        }
    }

    private void die() {
        up = false;
        life++;
        unlisten();
        List<NodeConnection> open = new ArrayList<>(lines);
        for (NodeConnection line : open) {
            line.breakOff(true);
        }
        lines.clear();
        waiting.clear();
        ready.clear();
        asleep.clear();
        recent.clear();
        fetching.clear();
        kept.keySet().forEach(key -> shared.origin.dropped(key, voids));
        kept.clear();
        plain.clear();
        inWork = 0;
        busyCores = 0;
    }

    private void unlisten() {
        if (listening != null) {
            listening.close();
            listening = null;
        }
    }

    /**
     * Kills it if it runs and starts it again after a time, with the same address and id. On real sockets an address
     * becomes free a moment after it was closed.
     */
    public void restart(double share, long downNs) {
        stop();
        int now = life;
        net.after(downNs, () -> {
            if (now == life && !up) {
                start(share);
            }
        });
    }

    /** Whether it rejects new work because it is draining. */
    public void draining(boolean on) {
        draining = on;
    }

    /** Whether new connections are refused; open ones stay. */
    public void refuse(boolean on) {
        if (refusing == on) {
            return;
        }
        refusing = on;
        if (on) {
            unlisten();
        } else if (up) {
            listen();
        }
    }

    /** Stalls it: it reads nothing and finishes nothing. */
    public void pause(long ns) {
        pausedUntilNs = Math.max(pausedUntilNs, net.nowNs() + ns);
        int now = life;
        net.after(ns, () -> {
            if (now == life) {
                wake();
            }
        });
    }

    /** Closes its connections as after an idle timeout, or resets them. */
    public void cutAll(boolean reset) {
        for (NodeConnection line : new ArrayList<>(lines)) {
            line.breakOff(reset);
        }
    }

    /** Caches a key, as if it had been requested. */
    public void keep(String key) {
        if (kept.put(key, shared.origin.version(key)) == null) {
            shared.origin.holds(key, voids);
        }
        if (kept.size() > model.keys) {
            String oldest = kept.keySet().iterator().next();
            kept.remove(oldest);
            shared.origin.dropped(oldest, voids);
        }
    }

    boolean keeps(String key) {
        return kept.containsKey(key);
    }

    /** Invalidates a share of the cached copies, the same keys at each node for the same salt. */
    public void flush(double share, long salt) {
        kept.keySet().removeIf(key -> {
            boolean gone = RandomVariates.of(key, salt) < share;
            if (gone) {
                shared.origin.dropped(key, voids);
            }
            return gone;
        });
    }

    /** Faults for the next commands, one each; they take precedence. */
    public void next(NodeFault... some) {
        next.addAll(List.of(some));
    }

    /** The fault of every command without another; null for none. */
    public void always(NodeFault fault) {
        always = fault;
    }

    /** Chooses the fault of each command, or null. */
    public void faults(Function<NodeCommand, NodeFault> by) {
        faults = by;
    }

    /** The fault that is due whatever the next command is. */
    NodeFault peekFault() {
        return next.isEmpty() ? always : next.peek();
    }

    /** Removes a fault that was applied. */
    void takeFault() {
        next.poll();
    }

    private NodeFault fault(NodeCommand c) {
        if (!next.isEmpty()) {
            return next.poll();
        }
        NodeFault own = faults.apply(c);
        return own == null ? always : own;
    }

    /** Runs a task after a delay, if this incarnation still runs; stalls add to the delay. */
    void later(long ns, Runnable task) {
        int now = life;
        net.after(ns, () -> {
            if (now == life) {
                awake(task);
            }
        });
    }

    /** Runs a task now, or in order after a stall. */
    void awake(Runnable task) {
        if (!up) {
            return;
        }
        if (net.nowNs() < pausedUntilNs || !asleep.isEmpty()) {
            asleep.add(task);
        } else {
            task.run();
        }
    }

    private void wake() {
        while (up && net.nowNs() >= pausedUntilNs && !asleep.isEmpty()) {
            // removed only after it has run: what it starts is queued after the others
            asleep.peek().run();
            asleep.poll();
        }
    }

    void opened(NodeConnection line) {
        line.excess = lines.size() >= model.connections;
        lines.add(line);
    }

    void closed(NodeConnection line) {
        lines.remove(line);
    }

    void malformed(String line, String why) {
        net.fact(name(), "malformed", why + ": " + line);
    }

    /** Its capacity now as a share of the warm one. */
    double capacity() {
        double grown = (net.nowNs() - startNs) / 1e6 / model.coldMs;
        return cold >= 1 || grown >= 1 ? 1 : cold + (1 - cold) * grown;
    }

    void begin(NodeConnection line, NodeCommand c) {
        if (!c.request()) {
            control(line, c);
            return;
        }
        if (model.plain ? c.bad != null : c.strange() != null) {
            malformed(c.line, model.plain ? c.bad : c.strange());
            NodeJob job = new NodeJob(c, line, null, net.nowNs());
            line.add(job);
            finish(job, LineBuffer.bytes("CLIENT_ERROR " + (c.bad == null ? "bad command line format" : c.bad)));
            return;
        }
        begun++;
        acrossZones += far.test(line.peer()) ? 1 : 0;
        net.fact(name(), "begin", c.name());
        NodeJob job = new NodeJob(c, line, fault(c), net.nowNs());
        line.add(job);
        if (pushedOver()) {
            return;
        }
        if (job.fault instanceof NodeFault.Refused) {
            finish(job, LineBuffer.bytes("CLIENT_ERROR bad command line format"));
        } else if (job.fault instanceof NodeFault.Busy || draining || line.excess) {
            busy(job);
        } else if (job.fault instanceof NodeFault.Break b
                && (b.when() == NodeFault.When.BEFORE_RUN
                        || b.when() == NodeFault.When.BEFORE_READ
                        || b.when() == NodeFault.When.AT_OPEN)) {
            line.breakOff(b.reset());
        } else if (model.plain) {
            later((long) (model.plainMs * 1e6), () -> plain(job));
        } else {
            admit(job);
        }
    }

    private void control(NodeConnection line, NodeCommand c) {
        NodeJob job = new NodeJob(c, line, null, net.nowNs());
        line.add(job);
        if (model.plain) {
            finish(job, LineBuffer.bytes(plain.answer(c).replace("\r\n", "")));
        } else if (c.line.equals("mn") && !model.probes) {
            finish(job, LineBuffer.bytes("MN"));
        } else if (model.probes && (c.line.equals("mn") || c.line.equals("stats load"))) {
            job.probe = true;
            admit(job);
        } else {
            finish(job, LineBuffer.bytes("ERROR"));
        }
    }

    private void plain(NodeJob job) {
        if (job.state == NodeJob.State.OVER) {
            return; // nobody waits for it
        }
        String answer = plain.answer(job.command);
        ran(job, null);
        finish(job, LineBuffer.bytes(answer.substring(0, answer.length() - 2)));
    }

    /** Counts arrivals while it warms up; returns true if it became overloaded and failed. */
    private boolean pushedOver() {
        double share = capacity();
        if (share >= 1) {
            recent.clear();
            return false;
        }
        long now = net.nowNs();
        recent.add(now);
        while (now - recent.peek() > model.fallMs * 1e6) {
            recent.poll();
        }
        double most = model.tipMultiple * share * model.perS() * model.fallMs / 1000;
        if (recent.size() <= most * model.tipSlack + model.tipChance) {
            return false;
        }
        net.fact(name(), "fell", "sent=" + recent.size() + " allowed=" + most);
        fallen = true;
        die();
        return true;
    }

    private void admit(NodeJob job) {
        if (inWork < model.slots) {
            enter(job);
        } else if (waiting.size() < model.queue) {
            waiting.add(job);
        } else {
            busy(job);
        }
    }

    private void enter(NodeJob job) {
        job.slot = true;
        inWork++;
        job.state = NodeJob.State.READY;
        ready.add(job);
        cores();
    }

    private void leaveSlot(NodeJob job) {
        if (job.slot) {
            job.slot = false;
            inWork--;
        }
        while (inWork < model.slots && !waiting.isEmpty()) {
            enter(waiting.poll());
        }
    }

    private void cores() {
        while (busyCores < model.cores && !ready.isEmpty()) {
            NodeJob job = ready.poll();
            if (tooLate(job)) {
                continue;
            }
            job.state = NodeJob.State.RUNNING;
            count(1);
            double ms = (workMs(job) + job.extraMs) / (model.speed * capacity());
            later((long) (ms * 1e6), () -> worked(job));
        }
    }

    private double workMs(NodeJob job) {
        if (job.probe) {
            return model.probeMs;
        }
        NodeModel.Work w = model.work.get(job.command.kind());
        if (w != null && model.exponential) {
            return -StrictMath.log(1 - random.nextDouble()) * w.ms();
        }
        return w == null ? 1 : RandomVariates.around(random, w.ms(), w.cv());
    }

    private boolean tooLate(NodeJob job) {
        if (job.probe
                || model.late == NodeModel.Late.RUNS
                || net.nowNs() - job.beganNs <= job.command.waitMs() * 1_000_000) {
            return false;
        }
        if (model.late == NodeModel.Late.BUSY) {
            busy(job);
        } else {
            job.state = NodeJob.State.OVER;
            leaveSlot(job);
            job.line.drop(job);
        }
        return true;
    }

    private void count(int more) {
        long now = net.nowNs();
        long spentNs = busyCores * (now - busySinceNs);
        busyNs += spentNs;
        workedNs += spentNs;
        busySinceNs = now;
        busyCores += more;
    }

    private void worked(NodeJob job) {
        if (job.state != NodeJob.State.RUNNING) {
            return; // stopped
        }
        count(-1);
        job.state = NodeJob.State.PASSED_ON;
        if (job.probe) {
            finish(job, probed(job));
        } else if (job.fault instanceof NodeFault.Failed f && !f.runs()) {
            finish(job, FAILED);
        } else if (job.command.write()) {
            write(job);
        } else {
            read(job);
        }
        cores();
    }

    private byte[] probed(NodeJob job) {
        if (job.command.line.equals("mn")) {
            return LineBuffer.bytes("MN");
        }
        String line = model.report == null ? "" : "STAT " + model.report + " " + load() + "\r\n";
        return LineBuffer.bytes(line + "END");
    }

    private void read(NodeJob job) {
        String key = job.command.key;
        Integer had = kept.get(key);
        if (had != null) {
            hits++;
            served(job, had, "h1");
            return;
        }
        misses++;
        int others = fetching.merge(key, 1, Integer::sum) - 1;
        int now = life;
        boolean taken = shared.origin.fetch(() -> {
            int version = shared.origin.version(key);
            if (now == life) {
                awake(() -> {
                    fetched(key);
                    if (shared.origin.version(key) == version) {
                        keep(key);
                    }
                    served(job, version, others > 0 ? "h0 Z" : "h0");
                });
            }
        });
        if (!taken) {
            fetched(key);
            finish(job, FAILED);
        }
    }

    private void fetched(String key) {
        fetching.computeIfPresent(key, (k, n) -> n > 1 ? n - 1 : null);
    }

    private void served(NodeJob job, int version, String flags) {
        ran(job, null);
        StringBuilder value = new StringBuilder(job.command.name() + " " + name() + " " + version);
        while (value.length() < model.valueBytes) {
            value.append((char) ('a' + value.length() % 26));
        }
        String line = "VA " + value.length() + " " + job.command.id + (model.tellsHits ? " " + flags : "");
        finish(job, LineBuffer.bytes(line + report() + "\r\n" + value));
    }

    /** Forwards a write to the origin, unless it is a known repeat. */
    private void write(NodeJob job) {
        String first = remembered(job);
        if (first != null) {
            discard(job);
            receipt(job, first);
            return;
        }
        int now = life;
        boolean taken = shared.origin.write(job.command.key, () -> effect(job, now));
        if (!taken) {
            if (random.nextDouble() < model.runsAfterFailure) {
                net.after((long) (random.nextDouble() * 5e8), () -> {
                    shared.origin.changed(job.command.key);
                    runOnce(job);
                });
            }
            finish(job, FAILED);
        }
    }

    /** The origin executed the write, even if this node has died since. */
    private void effect(NodeJob job, int begunIn) {
        String receipt = runOnce(job);
        if (begunIn == life) {
            awake(() -> receipt(job, receipt));
        }
    }

    /**
     * Applies the effect, unless it was executed since it was forwarded; returns the receipt of the first execution.
     */
    private String runOnce(NodeJob job) {
        String first = remembered(job);
        if (first != null) {
            discard(job);
            return first;
        }
        String receipt = Long.toHexString(RandomVariates.hash(name(), ++receipts) >>> 16);
        ran(job, receipt);
        return receipt;
    }

    private void discard(NodeJob job) {
        dropped++;
        net.fact(name(), "dropped", job.command.name() + " k=" + job.command.token());
    }

    private void receipt(NodeJob job, String receipt) {
        if (job.fault instanceof NodeFault.Failed) {
            finish(job, FAILED);
        } else {
            finish(job, LineBuffer.bytes("HD " + job.command.id + " c" + receipt + report()));
        }
    }

    /** The receipt of the write that it repeats; null if none. */
    private String remembered(NodeJob job) {
        IdempotencyMemory memory = shared.memories.get(job.command.kind());
        return memory == null || job.command.token() == null
                ? null
                : memory.receipt(entry, job.command.token(), job.beganNs);
    }

    private void ran(NodeJob job, String receipt) {
        ran++;
        String token = job.command.token();
        IdempotencyMemory memory = shared.memories.get(job.command.kind());
        if (memory != null && token != null && receipt != null) {
            memory.ran(entry, token, receipt, net.nowNs());
        }
        net.fact(name(), "ran", job.command.name() + " k=" + (token == null ? "-" : token));
    }

    private void busy(NodeJob job) {
        rejected++;
        finish(job, LineBuffer.bytes(new String(BUSY, java.nio.charset.StandardCharsets.ISO_8859_1) + report()));
    }

    /** Its work is finished with this response, without line end; a fault may suppress it. */
    private void finish(NodeJob job, byte[] answer) {
        if (job.state == NodeJob.State.OVER) {
            return;
        }
        job.state = NodeJob.State.OVER;
        byte[] out = java.util.Arrays.copyOf(answer, answer.length + 2);
        out[answer.length] = '\r';
        out[answer.length + 1] = '\n';
        if (job.fault instanceof NodeFault.Says s) {
            out = LineBuffer.bytes(s.bytes());
        }
        byte[] last = out;
        if (job.fault instanceof NodeFault.Stall s) {
            later(s.ns(), () -> {
                job.out = last;
                job.line.flush();
            });
        } else if (job.fault instanceof NodeFault.Break b && b.when() == NodeFault.When.BEFORE_ANSWER) {
            job.line.breakOff(b.reset());
        } else if (job.fault instanceof NodeFault.Hang h) {
            later(h.ns(), () -> job.line.breakOff(h.reset()));
        } else if (!(job.fault instanceof NodeFault.Never)) {
            job.out = last;
        } else if (job.line.left()) {
            job.line.drop(job);
        }
        leaveSlot(job);
        if (job.out != null) {
            job.line.flush();
        }
    }

    /** Cancels work that nobody waits for; returns true if it gets no response. */
    boolean leave(NodeJob job) {
        switch (job.state) {
            case WAITING -> waiting.remove(job);
            case READY -> ready.remove(job);
            case RUNNING -> {
                if (!model.stopsRunning) {
                    return false;
                }
                count(-1);
            }
            case PASSED_ON -> {
                return false;
            }
            default -> {
                return job.out == null; // never answered
            }
        }
        job.state = NodeJob.State.OVER;
        leaveSlot(job);
        cores();
        return true;
    }

    private String report() {
        return model.report == null ? "" : " L" + model.report + "=" + load();
    }

    /** Load report of its cores: sampled periodically, delayed and noisy. */
    private String load() {
        long now = net.nowNs();
        long since = now - sampledNs;
        if (since >= model.reportMs * 1e6) {
            count(0);
            load = newLoad;
            double noise = 1 + (random.nextDouble() * 2 - 1) * model.reportNoise;
            newLoad = busyNs / (double) since / model.cores * noise;
            sampledNs = now;
            busyNs = 0;
            since = 0;
        }
        double told = since >= model.reportDelayMs * 1e6 ? newLoad : load;
        return Double.toString(Math.round(told * 100) / 100.0);
    }
}
