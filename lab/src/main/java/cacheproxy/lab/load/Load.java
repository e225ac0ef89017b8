package cacheproxy.lab.load;

import cacheproxy.lab.verification.Checker;
import cacheproxy.lab.verification.RecordedEvent;
import cacheproxy.lab.verification.RuleSettings;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * An open-loop load generator over real sockets. Latency counts from when a request was due, which avoids coordinated
 * omission; the generator's own lateness is reported separately.
 */
public final class Load {
    private static final long CONNECT_MS = 5_000;
    private static final long LOOK_MS = 20;
    /** Tolerance in ms for transit on a busy machine. */
    private static final double MACHINE_MS = 250;

    private final LoadPlan plan;
    private final AtomicBoolean stop = new AtomicBoolean();

    public Load(LoadPlan plan) {
        this.plan = plan;
    }

    /** Stops the load early; {@link #run} returns what there is. May be called from any thread. */
    public void stop() {
        stop.set(true);
    }

    /**
     * Runs the load; {@code told} receives a line a second.
     *
     * @throws IOException if the targets cannot be reached
     */
    public LoadResult run(Consumer<String> told) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(plan.loops(), NioIoHandler.newFactory());
        List<LoadLoop> loops = new ArrayList<>();
        List<EventLoop> on = new ArrayList<>();
        try {
            for (int i = 0; i < plan.loops(); i++) {
                EventLoop e = group.next();
                LoadLoop l = new LoadLoop(plan, e, i);
                loops.add(l);
                on.add(e);
                e.execute(l::open);
            }
            long limit = System.nanoTime() + CONNECT_MS * 1_000_000;
            while (sum(loops, on, l -> l.size() - l.connected()) > 0 && !stop.get()) {
                if (System.nanoTime() > limit) {
                    throw new IOException(sum(loops, on, l -> l.size() - l.connected()) + " of " + plan.connections()
                            + " connections did not come up within " + CONNECT_MS / 1000 + " s");
                }
                Thread.sleep(LOOK_MS);
            }
            for (int i = 0; i < loops.size(); i++) {
                on.get(i).execute(loops.get(i)::start);
            }
            boolean early = watch(loops, on, told);
            LoadResult all = new LoadResult();
            double seconds = 0;
            for (int i = 0; i < loops.size(); i++) {
                LoadLoop l = loops.get(i);
                ask(on.get(i), () -> {
                    l.close();
                    return 0;
                });
                seconds = Math.max(seconds, ask(on.get(i), l::counted));
                all.add(ask(on.get(i), () -> l.result));
            }
            all.over(seconds, plan.meanPerS(), early);
            if (plan.judged()) {
                List<RecordedEvent> events = new ArrayList<>();
                for (int i = 0; i < loops.size(); i++) {
                    events.addAll(ask(on.get(i), loops.get(i)::events));
                }
                events.sort(Comparator.comparingLong(RecordedEvent::atNs)); // stable, so that each loop's order is kept
                all.judged(Checker.check(events, rules()));
            }
            return all;
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        }
    }

    /** Parameters of the checker: the clients' sides show whether responses are complete, in order and in time. */
    private RuleSettings rules() {
        RuleSettings rules = new RuleSettings();
        rules.clientSidesOnly = true;
        rules.transitMs = MACHINE_MS;
        for (LoadPlan.Part p : plan.classes()) {
            rules.with(new RuleSettings.RequestClass(
                    p.name(),
                    p.write() ? RuleSettings.Effect.KEYED : RuleSettings.Effect.SAFE,
                    RuleSettings.Group.ALL,
                    plan.waitMs(),
                    plan.waitMs()));
        }
        plan.targets()
                .forEach(t ->
                        rules.proxy("proxy at " + t.getPort(), t.getAddress().getHostAddress() + ":" + t.getPort()));
        return rules;
    }

    /** Waits until all due requests have ended or timed out; returns whether it was stopped early. */
    private boolean watch(List<LoadLoop> loops, List<EventLoop> on, Consumer<String> told)
            throws InterruptedException, IOException {
        long start = System.nanoTime();
        long last = start + (long) (plan.seconds() * 1e9) + plan.waitMs() * 1_000_000L + 1_000_000_000L;
        long next = start + 1_000_000_000L;
        boolean early = false;
        while (System.nanoTime() < last) {
            if (stop.get() && !early) {
                early = true;
                for (int i = 0; i < loops.size(); i++) {
                    on.get(i).execute(loops.get(i)::stop);
                }
                last = Math.min(last, System.nanoTime() + plan.waitMs() * 1_000_000L);
            }
            if (sum(loops, on, l -> l.done() ? 0 : 1) == 0) {
                break;
            }
            if (System.nanoTime() >= next) {
                next += 1_000_000_000L;
                told.accept(String.format(
                        "%d s, %d answered, %d not served",
                        (System.nanoTime() - start) / 1_000_000_000,
                        sum(loops, on, l -> (int) l.result.count(LoadResult.End.SERVED)),
                        sum(loops, on, l -> (int) (l.result.due() - l.result.count(LoadResult.End.SERVED)))));
            }
            Thread.sleep(LOOK_MS);
        }
        return early;
    }

    private interface Figure {
        int of(LoadLoop l);
    }

    private static int sum(List<LoadLoop> loops, List<EventLoop> on, Figure f)
            throws IOException, InterruptedException {
        int sum = 0;
        for (int i = 0; i < loops.size(); i++) {
            LoadLoop l = loops.get(i);
            sum += ask(on.get(i), () -> f.of(l));
        }
        return sum;
    }

    private static <T> T ask(EventLoop on, Callable<T> what) throws IOException, InterruptedException {
        try {
            return on.submit(what).get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        }
    }
}
