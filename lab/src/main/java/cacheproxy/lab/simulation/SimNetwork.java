package cacheproxy.lab.simulation;

import cacheproxy.lab.verification.RecordedEvent;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.function.ToLongBiFunction;

/**
 * Connections in memory on simulated time: in order, with a delay and a window for each direction, and with their
 * faults. Everything that kernels would see is recorded.
 */
public final class SimNetwork implements Network {
    /** Until it is revoked. */
    static final long EVER = Long.MAX_VALUE;
    /** Wall clock at the start of the simulation, in ms since the epoch. */
    public static final long UNIX_MS = 1_790_000_000_000L;

    private static final long LATENCY_NS = 200_000;
    private static final int WINDOW = 256 << 10;
    private static final long DIAL_NS = 3_000_000_000L;
    private static final int FIRST_PORT = 32_768;

    private final SimulationScheduler scheduler;
    private final EventRecord record = new EventRecord();
    private final SplittableRandom chance;
    private final Map<String, SimHost> hosts = new LinkedHashMap<>();
    private final Map<InetSocketAddress, SimAddress> places = new LinkedHashMap<>();
    private final Map<Long, SimConnection> wires = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> latencies = new HashMap<>();
    /** For pairs without a delay of their own; negative for the default. */
    private ToLongBiFunction<String, String> ways = (a, b) -> -1;

    private final Map<String, SimProcess> machines = new HashMap<>();
    private final InetAddress loopback;
    private long latencyNs = LATENCY_NS;
    private long jitterNs;
    private long dialNs = DIAL_NS;
    private int window = WINDOW;
    private boolean overtaking;
    private long nextLink = 1;
    private int nextPort = FIRST_PORT;

    public SimNetwork(SimulationScheduler scheduler) {
        this.scheduler = scheduler;
        chance = scheduler.random().split();
        try {
            loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    public SimulationScheduler scheduler() {
        return scheduler;
    }

    public EventRecord record() {
        return record;
    }

    // ---- as stand-ins have it ----

    @Override
    public long nowNs() {
        return scheduler.now();
    }

    @Override
    public long unixMs() {
        return UNIX_MS + scheduler.now() / 1_000_000;
    }

    @Override
    public void after(long delayNs, Runnable task) {
        scheduler.after(delayNs, task);
    }

    @Override
    public Listener listen(String who, InetSocketAddress at, Supplier<Link.Handler> handlers) {
        SimHost host = host(who);
        revive(who);
        SimAddress place;
        try {
            place = bind(host, at, new SimAddress.Acceptor() {
                @Override
                public boolean full() {
                    return false;
                }

                @Override
                public void accept(SimSocket socket) {
                    new SimLink(SimNetwork.this, handlers.get()).accepted(socket);
                }

                @Override
                public void gone() {
                    // its connections stay
                }
            });
        } catch (BindException e) {
            throw new IllegalStateException(who + ": " + e.getMessage(), e);
        }
        SimAddress.Acceptor mine = place.acceptor;
        return new Listener() {
            @Override
            public InetSocketAddress address() {
                return place.at;
            }

            @Override
            public void close() {
                if (place.acceptor == mine) {
                    place.close();
                }
            }
        };
    }

    @Override
    public void dial(String who, InetSocketAddress to, Link.Handler handler) {
        revive(who);
        SimLink link = new SimLink(this, handler);
        SimSocket socket = dial(host(who), new InetSocketAddress(loopback, 0), to, link);
        link.dialling(socket);
        scheduler.after(dialNs, link::dialTimedOut);
    }

    @Override
    public void fact(String who, String what, String detail) {
        record(RecordedEvent.Kind.FACT, 0, who, null, detail.isEmpty() ? what : what + " " + detail);
    }

    // ---- how it is ----

    /** Sets the one-way delay, in ns, between all pairs without one of their own. */
    public void latency(long ns) {
        latencyNs = ns;
    }

    /** Sets the one-way delay, in ns, between these two for connections dialled from now on. */
    public void latency(String a, String b, long ns) {
        latencies.computeIfAbsent(a, x -> new HashMap<>()).put(b, ns);
        latencies.computeIfAbsent(b, x -> new HashMap<>()).put(a, ns);
    }

    /**
     * Sets a function of dialler and acceptor that gives the one-way delay in ns, negative for the default; a table of
     * all pairs would be too large.
     */
    public void ways(ToLongBiFunction<String, String> by) {
        ways = by;
    }

    /** Sets the largest random addition to each delay, in ns; the order within a connection stays. */
    public void jitter(long ns) {
        jitterNs = ns;
    }

    /** Sets how many bytes may be in flight or unread in one direction. */
    public void window(int bytes) {
        window = bytes;
    }

    /** Lets the reset for unread bytes overtake what was sent before it, which is lost then. */
    void overtaking(boolean on) {
        overtaking = on;
    }

    /** Sets the connect timeout of stand-ins, in ns. */
    void dialTimeout(long ns) {
        dialNs = ns;
    }

    // ---- what goes wrong ----

    /** Refuses connections to an address, whoever listens. */
    void refuse(InetSocketAddress at, boolean on) {
        place(at).refuses = on;
    }

    /** Holds back all packets to and from an address, connects too; they are delivered once it is revoked. */
    void blackhole(InetSocketAddress at, boolean on) {
        place(at).heldUntil = on ? EVER : 0;
        moveAll();
    }

    /** The same for all connections of a machine. */
    public void isolate(String who, boolean on) {
        host(who).heldUntil = on ? EVER : 0;
        move(host(who));
    }

    /**
     * Partitions the network: machines of different parts do not reach each other; part 0 reaches all. Those in
     * {@code hearing} still receive from the others: a one-way partition.
     */
    public void parts(Map<String, Integer> byName, int hearing) {
        byName.forEach((name, part) -> {
            host(name).part = part;
            host(name).hears = part != 0 && part == hearing;
        });
        moveAll();
    }

    /** Holds back until then what is in flight to or from it or sent meanwhile. */
    public void stall(InetSocketAddress at, long untilNs) {
        place(at).heldUntil = untilNs;
        moveAll();
    }

    public void stall(String who, long untilNs) {
        host(who).heldUntil = untilNs;
        move(host(who));
    }

    void stallLink(long link, long untilNs) {
        SimConnection w = wires.get(link);
        if (w != null) {
            w.heldUntil = untilNs;
            moveAll();
        }
    }

    /** Resets both ends after so many more bytes in both directions together. */
    public void cutLink(long link, long afterBytes) {
        SimConnection w = wires.get(link);
        if (w != null) {
            SimConnection.Cut cut = new SimConnection.Cut(afterBytes);
            w.near.cutAfter(cut);
            w.far.cutAfter(cut);
        }
    }

    /** Resets both ends after so many more bytes from this end's machine. */
    void cutLink(long link, String from, long afterBytes) {
        SimConnection w = wires.get(link);
        if (w != null) {
            (w.near.host.name.equals(from) ? w.far : w.near).cutAfter(new SimConnection.Cut(afterBytes));
        }
    }

    /** Adds to the one-way delay of what is sent from now on. */
    void slow(InetSocketAddress at, long extraNs) {
        place(at).extraNs = extraNs;
    }

    public void slow(String who, long extraNs) {
        host(who).extraNs = extraNs;
    }

    /**
     * Kills the program on this machine: its kernel still sends what it has, then resets all connections, and nobody
     * listens. The same host may listen and dial again at once.
     */
    public void kill(String who) {
        SimHost host = host(who);
        stop(who, host);
        new ArrayList<>(host.sockets).forEach(SimSocket::killed);
    }

    /**
     * Lets the machine vanish until {@link #revive}: its connections fall silent and connects to it are unanswered.
     * Once it is back it resets connections whose peer still sends.
     */
    void vanish(String who) {
        SimHost host = host(who);
        host.vanished = true;
        stop(who, host);
        List<SimSocket> open = new ArrayList<>(host.sockets);
        host.lost.addAll(open);
        open.forEach(SimSocket::vanished);
    }

    /** Brings back a vanished machine, without its programs; dialling or listening in its name does this too. */
    void revive(String who) {
        SimHost host = host(who);
        if (host.vanished) {
            host.vanished = false;
            host.lost.forEach(SimSocket::found);
            host.lost.clear();
        }
    }

    private void stop(String who, SimHost host) {
        SimProcess m = machines.remove(who);
        if (m != null) {
            m.loop().kill();
        }
        new ArrayList<>(host.listening).forEach(SimAddress::close);
    }

    /** Starts a program with its own event loop; the previous one must be gone. */
    public SimProcess machine(String name, InetSocketAddress ip) {
        if (machines.containsKey(name)) {
            throw new IllegalStateException(name + " still runs");
        }
        revive(name);
        SimProcess m = new SimProcess(this, host(name), ip);
        machines.put(name, m);
        return m;
    }

    /** The connections that are open at either end, oldest first. */
    public List<Long> links() {
        return List.copyOf(wires.keySet());
    }

    // ---- as links and channels have it ----

    SimHost host(String name) {
        return hosts.computeIfAbsent(name, SimHost::new);
    }

    private SimAddress place(InetSocketAddress at) {
        return places.computeIfAbsent(at, SimAddress::new);
    }

    private void moveAll() {
        for (SimConnection w : wires.values()) {
            w.near.move();
            w.far.move();
        }
    }

    private static void move(SimHost host) {
        for (SimConnection w : host.wires) {
            w.near.move();
            w.far.move();
        }
    }

    SimAddress bind(SimHost host, InetSocketAddress at, SimAddress.Acceptor acceptor) throws BindException {
        InetSocketAddress where = at;
        while (where.getPort() == 0) {
            InetSocketAddress free = new InetSocketAddress(at.getAddress(), nextPort++);
            where = place(free).acceptor == null ? free : at;
        }
        SimAddress place = place(where);
        if (place.acceptor != null) {
            throw new BindException("Address already in use");
        }
        place.listen(host, acceptor);
        return place;
    }

    SimSocket dial(SimHost who, InetSocketAddress from, InetSocketAddress to, SimSocket.User user) {
        long id = nextLink++;
        SimSocket near = new SimSocket(this, who, SimDial.from(from, id), to);
        near.user(user);
        who.opened(near);
        record(RecordedEvent.Kind.DIAL, id, who.name, null, shown(to));
        new SimDial(this, id, place(to), near).ask();
        return near;
    }

    private static String shown(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    void keep(SimConnection w) {
        wires.put(w.id, w);
        w.dialler.wires.add(w);
        w.acceptor.wires.add(w);
    }

    void forget(SimConnection w) {
        wires.remove(w.id);
        w.dialler.wires.remove(w);
        w.acceptor.wires.remove(w);
    }

    long latencyNs() {
        return latencyNs;
    }

    long latencyNs(String a, String b) {
        Map<String, Long> from = latencies.isEmpty() ? null : latencies.get(a);
        Long own = from == null ? null : from.get(b);
        long way = own != null ? own : ways.applyAsLong(a, b);
        return way < 0 ? latencyNs : way;
    }

    long jitter() {
        return jitterNs == 0 ? 0 : chance.nextLong(jitterNs);
    }

    int window() {
        return window;
    }

    boolean overtaking() {
        return overtaking;
    }

    void record(RecordedEvent.Kind kind, long link, String who, byte[] data, String note) {
        if (record.kept()) {
            record.add(new RecordedEvent(scheduler.now(), kind, link, who, data, note));
        }
    }
}
