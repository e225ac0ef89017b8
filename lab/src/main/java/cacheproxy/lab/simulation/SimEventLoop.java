package cacheproxy.lab.simulation;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * An event loop on simulated time, with iterations like those of Netty's NIO loop: first the channels that are ready
 * for I/O, then the tasks, followed by the timers that are due. An iteration takes no time by itself; with
 * {@link #costs}, the cost of its first channel elapses before it and that of the rest after it.
 */
public final class SimEventLoop extends AbstractScheduledEventExecutor implements EventLoop {
    private static final long NEVER = Long.MAX_VALUE;

    /** The points within an iteration at which a loop may stall. */
    public enum Point {
        /** Between two channels of the same selection. */
        BETWEEN,
        /** Within a channel, after its events were taken from the kernel and before they are delivered. */
        WITHIN
    }

    /** A channel as seen by the selector. */
    abstract static class Handle {
        private boolean queued;
        private int ops;

        /** The interest operations that are ready; 0 for none. */
        abstract int ready();

        abstract void process(int ops);
    }

    private final SimulationScheduler scheduler;
    private final Ticker ticker;
    private final Runnable turn = this::turn;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private ArrayList<Handle> ready = new ArrayList<>();
    private ArrayList<Handle> selected = new ArrayList<>();
    /**
     * Completed from the beginning: Netty's table of resolvers would otherwise keep the loop, and with it the whole
     * simulation, of which there are thousands.
     */
    private final Future<Void> ended = ImmediateEventExecutor.INSTANCE.newSucceededFuture(null);

    private long wakeAt = NEVER;
    private long pausedUntil;
    /** Processor time of handling one ready channel, and of one task, in ns. */
    private long eventNs;

    private long taskNs;
    private long dueNs;
    /** Processor time accounted so far, in ns. */
    private long spentNs;

    private boolean running;
    private boolean dead;
    /** The point of the next stall; null for none. */
    private Point stopAt;

    private long stopNs;
    private long stopBy;
    private LongConsumer stopTold;
    private boolean standing;
    private final ArrayDeque<Runnable> afterTurn = new ArrayDeque<>();

    SimEventLoop(SimulationScheduler scheduler) {
        this.scheduler = scheduler;
        ticker = new WorldTicker(scheduler);
    }

    /** Sets the processor time of handling one ready channel, and of one task or timer, in ns. */
    public void costs(long forEventNs, long forTaskNs) {
        eventNs = forEventNs;
        taskNs = forTaskNs;
    }

    /** Processor time used by its iterations, in ns. */
    public long spentNs() {
        return spentNs;
    }

    /** Stalls the loop until then, like a garbage collection pause. */
    void pause(long untilNs) {
        pausedUntil = Math.max(pausedUntil, untilNs);
    }

    /**
     * Stalls the loop within its iteration at the next such point, if it reaches one in time: as on NIO, timers that
     * become due meanwhile run before bytes that arrive meanwhile are read. {@code told} receives the length when the
     * stall begins.
     */
    public void pauseInside(Point where, long ns, long byNs, LongConsumer told) {
        stopAt = where;
        stopNs = ns;
        stopBy = byNs;
        stopTold = told;
    }

    /** The iteration reached such a point. */
    void passes(Point where) {
        if (stopAt != where || !running || standing) {
            return;
        }
        stopAt = null;
        if (scheduler.now() > stopBy) {
            return;
        }
        long until = scheduler.standsUntil(scheduler.now() + stopNs);
        standing =
                true; // first, since the callback may kill the program, which has to wait for the end of the iteration
        try {
            stopTold.accept(until - scheduler.now());
            scheduler.goOn(until);
        } finally {
            standing = false;
        }
    }

    /** Whether it is stalled within an iteration. */
    public boolean standing() {
        return standing;
    }

    /** Runs a task after the iteration in which it is stalled. */
    public void afterTurn(Runnable task) {
        afterTurn.add(task);
    }

    /** Stops the loop; nothing runs on it any more. */
    void kill() {
        dead = true;
        tasks.clear();
        ready.clear();
    }

    boolean dead() {
        return dead;
    }

    /** Notes that this channel may have become ready. */
    void ready(Handle h) {
        if (!h.queued && !dead) {
            h.queued = true;
            ready.add(h);
            wake(scheduler.now() + eventNs); // its work takes effect only after its processor time
        }
    }

    private void wake(long at) {
        if (running || dead) {
            return; // checks again at the end of its iteration
        }
        long when = Math.max(Math.max(at, pausedUntil), scheduler.now());
        if (when < wakeAt) {
            wakeAt = when;
            scheduler.at(when, turn);
        }
    }

    private void turn() {
        if (dead || wakeAt != scheduler.now()) {
            return; // superseded by an earlier wake-up
        }
        wakeAt = NEVER;
        if (pausedUntil > scheduler.now()) {
            wake(pausedUntil);
            return;
        }
        running = true;
        try {
            io();
            fetchFromScheduledTaskQueue(tasks);
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                scheduler.count();
                dueNs += taskNs;
                run(task);
            }
        } finally {
            running = false;
        }
        if (dueNs > 0) {
            spentNs += dueNs;
            pause(scheduler.now()
                    + Math.max(0, dueNs - eventNs)); // the cost of the first channel elapsed before the iteration
            dueNs = 0;
        }
        for (Runnable task = afterTurn.poll(); task != null; task = afterTurn.poll()) {
            task.run();
        }
        sleep();
    }

    /** Selects all channels first, as NIO does: a handler does not change which others are called. */
    private void io() {
        if (ready.isEmpty()) {
            return;
        }
        ArrayList<Handle> now = ready;
        ready = selected;
        selected = now;
        for (int i = 0; i < now.size(); i++) {
            Handle h = now.get(i);
            h.queued = false;
            h.ops = h.ready();
        }
        boolean worked = false;
        for (int i = 0; i < now.size() && !dead; i++) {
            Handle h = now.get(i);
            if (h.ops != 0) {
                if (worked) {
                    passes(Point.BETWEEN);
                }
                worked = true;
                scheduler.count();
                dueNs += eventNs;
                try {
                    h.process(h.ops);
                } catch (Throwable t) {
                    scheduler.fault(t);
                }
            }
        }
        for (int i = 0; i < now.size(); i++) {
            Handle h = now.get(i);
            if (!h.queued && h.ready() != 0) {
                ready(h);
            }
        }
        now.clear();
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (Throwable t) {
            scheduler.fault(t);
        }
    }

    private void sleep() {
        if (!ready.isEmpty() || !tasks.isEmpty()) {
            wake(scheduler.now());
            return;
        }
        long next = nextScheduledTaskDeadlineNanos();
        if (next >= 0) {
            wake(next);
        }
    }

    @Override
    public void execute(Runnable command) {
        if (!dead) {
            tasks.add(command);
            wake(scheduler.now());
        }
    }

    /** Reports what a timer task throws, which its future would hide. */
    private Runnable loud(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Throwable t) {
                scheduler.fault(t);
                throw t;
            }
        };
    }

    private <T extends ScheduledFuture<?>> T armed(T timer) {
        if (!running) {
            sleep();
        }
        return timer;
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        return armed(super.schedule(loud(command), delay, unit));
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        return armed(super.schedule(
                () -> {
                    try {
                        return callable.call();
                    } catch (Throwable t) {
                        scheduler.fault(t);
                        throw t;
                    }
                },
                delay,
                unit));
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long first, long period, TimeUnit unit) {
        return armed(super.scheduleAtFixedRate(loud(command), first, period, unit));
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long first, long delay, TimeUnit u) {
        return armed(super.scheduleWithFixedDelay(loud(command), first, delay, u));
    }

    @Override
    public Ticker ticker() {
        return ticker;
    }

    @Override
    @SuppressWarnings("deprecation")
    protected long getCurrentTimeNanos() {
        return scheduler.now();
    }

    @Override
    public boolean inEventLoop(Thread thread) {
        return thread == scheduler.thread();
    }

    @Override
    public EventLoopGroup parent() {
        return (EventLoopGroup) super.parent();
    }

    @Override
    public EventLoop next() {
        return this;
    }

    @Override
    public ChannelFuture register(Channel channel) {
        return register(new DefaultChannelPromise(channel, this));
    }

    @Override
    public ChannelFuture register(ChannelPromise promise) {
        promise.channel().unsafe().register(this, promise);
        return promise;
    }

    @Deprecated
    @Override
    public ChannelFuture register(Channel channel, ChannelPromise promise) {
        channel.unsafe().register(this, promise);
        return promise;
    }

    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        kill();
        return ended;
    }

    @Override
    public Future<?> terminationFuture() {
        return ended;
    }

    @Deprecated
    @Override
    public void shutdown() {
        shutdownGracefully();
    }

    @Override
    public boolean isShuttingDown() {
        return dead;
    }

    @Override
    public boolean isShutdown() {
        return dead;
    }

    @Override
    public boolean isTerminated() {
        return dead;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return dead;
    }

    private record WorldTicker(SimulationScheduler scheduler) implements Ticker {
        @Override
        public long initialNanoTime() {
            return 0;
        }

        @Override
        public long nanoTime() {
            return scheduler.now();
        }

        @Override
        public void sleep(long delay, TimeUnit unit) {
            throw new UnsupportedOperationException("a loop may not sleep");
        }
    }
}
