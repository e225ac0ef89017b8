package cacheproxy.lab.load;

import cacheproxy.lab.verification.RecordedEvent;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.simple.RandomSource;

/** One thread's part of a load. Requests become due at their times whatever happens to earlier ones. */
final class LoadLoop implements Runnable {
    private static final int MOST_WAITING = 200_000;
    /** Below half a millisecond the selector does not wait; above it wakes up to a millisecond late. */
    private static final long SOONEST_NS = 100_000;

    private static final long LONG_NS = 2_000_000;
    private static final long LOOK_MS = 50;
    private static final long DIAL_AGAIN_MS = 20;

    private final LoadPlan plan;
    private final EventLoop loop;
    private final int index;
    private final UniformRandomProvider random;
    private final DiscreteSampler ranks;
    private final byte[] value;
    private final List<LoadConnection> lines = new ArrayList<>();
    /** Connections with free capacity, one entry per request that they can take. */
    private final ArrayDeque<LoadConnection> free = new ArrayDeque<>();

    private final List<LoadConnection> touched = new ArrayList<>();
    /** Due times of requests without a free connection, in order. */
    private final ArrayDeque<Long> waiting = new ArrayDeque<>();

    final LoadResult result = new LoadResult();
    private long startNs;
    private long countNs;
    private long endNs;
    private double nextNs;
    private long ids;
    private int open;
    private boolean sending;
    private boolean over;
    /** The record for the checker, if enabled. */
    private final List<RecordedEvent> events = new ArrayList<>();

    private long links;
    /** Counts of connections that were established, and that were closed by the peer. */
    int dialled;

    int ended;

    LoadLoop(LoadPlan plan, EventLoop loop, int index) {
        this.plan = plan;
        this.loop = loop;
        this.index = index;
        random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed() * 1_000_003 + index);
        ranks = plan.zipf() == 0
                ? () -> random.nextInt(plan.keys()) + 1
                : RejectionInversionZipfSampler.of(random, plan.keys(), plan.zipf());
        value = "v".repeat(plan.valueMost()).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    }

    /** Opens its connections; called on the loop. */
    void open() {
        for (int i = index; i < plan.connections(); i += plan.loops()) {
            LoadConnection line = new LoadConnection(this, i);
            lines.add(line);
            dial(line);
        }
        loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void dial(LoadConnection line) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(line);
                    }
                })
                .connect(plan.targets().get(line.number % plan.targets().size()))
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        again(line);
                    }
                });
    }

    /** Replaces a connection under the same number: a decoder serves one channel only. */
    private void again(LoadConnection old) {
        if (!over) {
            LoadConnection fresh = new LoadConnection(this, old.number);
            lines.set(lines.indexOf(old), fresh);
            loop.schedule(
                    () -> {
                        if (!over) {
                            dial(fresh);
                        }
                    },
                    DIAL_AGAIN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    int connected() {
        return dialled - ended;
    }

    int size() {
        return lines.size();
    }

    /** Starts generating requests; called on the loop. */
    void start() {
        startNs = System.nanoTime();
        countNs = startNs + (long) (plan.warmSeconds() * 1e9);
        endNs = startNs + (long) (plan.seconds() * 1e9);
        nextNs = startNs;
        nextNs += gap();
        sending = true;
        run();
    }

    private double gap() {
        double perNs = plan.rate((nextNs - startNs) / 1e9) / plan.loops() / 1e9;
        return -Math.log(1 - random.nextDouble()) / perNs;
    }

    /** Stops generating requests; called on the loop. */
    void stop() {
        endNs = Math.min(endNs, System.nanoTime());
    }

    /** Counted time, in s. */
    double counted() {
        return Math.max(0, endNs - countNs) / 1e9;
    }

    @Override
    public void run() {
        long now = System.nanoTime();
        while (nextNs <= now && nextNs < endNs) {
            long due = (long) nextNs;
            nextNs += gap();
            if (due >= countNs) {
                result.lateBy(now - due);
            }
            if (waiting.size() >= MOST_WAITING) {
                count(due, LoadResult.End.UNSENT);
            } else {
                waiting.add(due);
            }
        }
        send();
        if (nextNs >= endNs) {
            sending = false;
            return;
        }
        // not by execute: a loop runs tasks that resubmit themselves for up to a second before it polls its sockets
        long left = (long) nextNs - System.nanoTime();
        loop.schedule(this, Math.max(SOONEST_NS, left > LONG_NS ? left - LONG_NS / 2 : 0), TimeUnit.NANOSECONDS);
    }

    private void send() {
        while (!waiting.isEmpty()) {
            LoadConnection line = free.poll();
            if (line == null) {
                break;
            }
            if (!line.takes(plan.pipeline())) {
                continue; // closed meanwhile
            }
            long due = waiting.poll();
            long id = ++ids << 8 | index;
            open++;
            line.send(command(line.buffer(), id), new LoadConnection.Sent(id, due, due >= countNs));
            if (!line.touched) {
                line.touched = true;
                touched.add(line);
            }
        }
        for (LoadConnection l : touched) {
            l.touched = false;
            l.flush();
        }
        touched.clear();
    }

    private ByteBuf command(ByteBuf to, long id) {
        LoadPlan.Part kind = drawn(plan.classes());
        ByteBufUtil.writeAscii(to, kind.write() ? "ms " : "mg ");
        ByteBufUtil.writeAscii(to, Integer.toHexString(ranks.sample()));
        int bytes = plan.valueBytes() + (kind.write() ? random.nextInt(plan.valueMost() - plan.valueBytes() + 1) : 0);
        ByteBufUtil.writeAscii(to, kind.write() ? " " + bytes + " O" : " v O");
        ByteBufUtil.writeAscii(to, Long.toHexString(id));
        ByteBufUtil.writeAscii(
                to,
                " Pc=" + kind.name() + ",t=" + drawn(plan.tenants()).name() + ",d=" + plan.waitMs()
                        + (kind.write() ? ",k=" + Long.toHexString(random.nextLong()) : "") + "\r\n");
        if (kind.write()) {
            to.writeBytes(value, 0, bytes);
            ByteBufUtil.writeAscii(to, "\r\n");
        }
        return to;
    }

    private LoadPlan.Part drawn(List<LoadPlan.Part> all) {
        double sum = 0;
        for (LoadPlan.Part p : all) {
            sum += p.share();
        }
        double at = random.nextDouble() * sum;
        for (LoadPlan.Part p : all) {
            at -= p.share();
            if (at < 0) {
                return p;
            }
        }
        return all.get(all.size() - 1);
    }

    // ---- what connections tell ----

    void up(LoadConnection line) {
        dialled++;
        for (int i = 0; i < plan.pipeline(); i++) {
            free.add(line);
        }
        send();
    }

    void free(LoadConnection line) {
        free.add(line);
    }

    void freed() {
        if (!waiting.isEmpty()) {
            send();
        }
    }

    void down(LoadConnection line, Iterable<LoadConnection.Sent> lost) {
        ended++;
        free.removeIf(l -> l == line);
        lost.forEach(s -> ended(s, LoadResult.End.LOST));
        again(line);
    }

    /** Established, but with nobody. */
    void deaf(LoadConnection line) {
        again(line);
    }

    void stray() {
        result.stray();
    }

    /** A number unique among connections. */
    long link() {
        return ++links * plan.loops() + index;
    }

    boolean judged() {
        return plan.judged();
    }

    void note(RecordedEvent.Kind kind, long link, byte[] data, String note) {
        events.add(new RecordedEvent(System.nanoTime(), kind, link, "load", data, note));
    }

    List<RecordedEvent> events() {
        return events;
    }

    void ended(LoadConnection.Sent s, LoadResult.End how) {
        open--;
        if (s.counts()) {
            result.ended(how, System.nanoTime() - s.dueNs());
        }
    }

    private void count(long due, LoadResult.End how) {
        if (due >= countNs) {
            result.ended(how, 0);
        }
    }

    private void look() {
        long before = System.nanoTime() - plan.waitMs() * 1_000_000L;
        while (!waiting.isEmpty() && waiting.peek() < before) {
            count(waiting.poll(), LoadResult.End.UNSENT);
        }
        new ArrayList<>(lines).forEach(l -> l.expire(before));
        if (!over) {
            loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether all due requests have ended. */
    boolean done() {
        return !sending && open == 0 && waiting.isEmpty();
    }

    /** Closes all connections; open requests count as lost. Called on the loop. */
    void close() {
        over = true;
        while (!waiting.isEmpty()) {
            count(waiting.poll(), LoadResult.End.UNSENT);
        }
        new ArrayList<>(lines).forEach(LoadConnection::close);
    }
}
