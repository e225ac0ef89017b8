package cacheproxy.lab.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * A discrete-event scheduler on simulated time: tasks run in order of time, and of submission within one time. Used on
 * the one thread that created it. All randomness comes from its seed, so that the same seed gives the same run.
 */
public final class SimulationScheduler {
    public static final long MOST_EVENTS = 50_000_000;
    /** Events without progress of time after which the run is aborted as an endless loop. */
    private static final int MOST_AT_ONCE = 2_000_000;

    private static final int MOST_FAULTS = 20;
    private static final ThreadLocal<SimulationScheduler> RUNNING = new ThreadLocal<>();

    private final long seed;
    private final long mostEvents;
    private final SplittableRandom random;
    private final Thread thread = Thread.currentThread();
    private final List<Throwable> faults = new ArrayList<>();
    /** A binary heap in three arrays, without an object per entry. */
    private long[] times = new long[256];

    private long[] orders = new long[256];
    private Runnable[] tasks = new Runnable[256];
    private int size;
    private long order;
    private long now;
    private long events;
    private int atOnce;
    private long innerEnd = Long.MAX_VALUE;

    public SimulationScheduler(long seed) {
        this(seed, MOST_EVENTS);
    }

    public SimulationScheduler(long seed, long mostEvents) {
        UncaughtErrors.listen();
        this.seed = seed;
        this.mostEvents = mostEvents;
        random = new SplittableRandom(seed);
    }

    /** The scheduler that this thread is running, or null. */
    static SimulationScheduler running() {
        return RUNNING.get();
    }

    long seed() {
        return seed;
    }

    public long now() {
        return now;
    }

    public SplittableRandom random() {
        return random;
    }

    Thread thread() {
        return thread;
    }

    /** The number of events so far. */
    public long events() {
        return events;
    }

    public void after(long delayNs, Runnable task) {
        at(now + Math.max(0, delayNs), task);
    }

    /** Runs a task at a time in ns, or now if that has passed. */
    public void at(long ns, Runnable task) {
        if (size == times.length) {
            times = Arrays.copyOf(times, size * 2);
            orders = Arrays.copyOf(orders, size * 2);
            tasks = Arrays.copyOf(tasks, size * 2);
        }
        long time = Math.max(ns, now);
        int i = size++;
        while (i > 0) {
            int up = i - 1 >>> 1;
            if (times[up] <= time) { // an equal time was submitted earlier
                break;
            }
            move(up, i);
            i = up;
        }
        put(i, time, order++, task);
    }

    private void move(int from, int to) {
        put(to, times[from], orders[from], tasks[from]);
    }

    private void put(int i, long time, long o, Runnable task) {
        times[i] = time;
        orders[i] = o;
        tasks[i] = task;
    }

    private Runnable poll() {
        Runnable first = tasks[0];
        long time = times[--size];
        long o = orders[size];
        Runnable last = tasks[size];
        tasks[size] = null;
        if (size > 0) {
            int i = 0;
            for (int down = 1; down < size; down = 2 * i + 1) {
                if (down + 1 < size && before(down + 1, times[down], orders[down])) {
                    down++;
                }
                if (!before(down, time, o)) {
                    break;
                }
                move(down, i);
                i = down;
            }
            put(i, time, o, last);
        }
        return first;
    }

    private boolean before(int i, long time, long o) {
        return times[i] < time || times[i] == time && orders[i] < o;
    }

    /** Runs the next task; returns false if there is none. */
    boolean step() {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException("another thread than the one that made it");
        }
        if (size == 0) {
            return false;
        }
        if (times[0] > now) {
            now = times[0];
            atOnce = 0;
        }
        count();
        Runnable task = poll();
        SimulationScheduler outer = RUNNING.get();
        RUNNING.set(this);
        try {
            task.run();
        } catch (Runaway e) {
            throw e;
        } catch (Throwable t) {
            fault(t);
        } finally {
            RUNNING.set(outer);
        }
        return true;
    }

    /** Counts an event, also within an event loop's iteration, so that endless loops there are found. */
    void count() {
        if (++events > mostEvents) {
            throw new Runaway(told("more than " + mostEvents + " events"));
        }
        if (++atOnce > MOST_AT_ONCE) {
            throw new Runaway(told("more than " + MOST_AT_ONCE + " events without time going on"));
        }
    }

    /** Runs all tasks up to and including this time. */
    public void runUntil(long ns) {
        while (size > 0 && times[0] <= ns) {
            step();
        }
        now = Math.max(now, ns);
        check();
    }

    /** Runs until the condition holds, which returns true, or the time limit is reached, which returns false. */
    public boolean runUntil(BooleanSupplier holds, long limitNs) {
        boolean held = holds.getAsBoolean();
        while (!held && size > 0 && times[0] <= limitNs) {
            step();
            held = holds.getAsBoolean();
        }
        if (!held) {
            now = Math.max(now, limitNs);
        }
        check();
        return held;
    }

    /** The time at which a stall until then ends: not after the enclosing stalls. */
    long standsUntil(long ns) {
        return Math.min(ns, innerEnd);
    }

    /** Runs all other tasks up to and including this time while the current one is stalled. */
    void goOn(long untilNs) {
        long outerEnd = innerEnd;
        innerEnd = untilNs;
        try {
            while (size > 0 && times[0] <= untilNs) {
                step();
            }
            now = Math.max(now, untilNs);
        } finally {
            innerEnd = outerEnd;
        }
    }

    /** Reports an error that must not happen: the run continues and fails at its end. */
    public void fault(Throwable t) {
        if (t instanceof Runaway r) {
            throw r;
        }
        if (faults.size() < MOST_FAULTS) {
            faults.add(t);
        }
    }

    List<Throwable> faults() {
        return Collections.unmodifiableList(faults);
    }

    private void check() {
        if (!faults.isEmpty()) {
            AssertionError e = new AssertionError(told(String.valueOf(faults.get(0))), faults.get(0));
            faults.subList(1, faults.size()).forEach(e::addSuppressed);
            throw e;
        }
    }

    private String told(String what) {
        return "seed " + seed + ", at " + now + " ns: " + what;
    }

    /** Thrown when a run would not end. */
    public static final class Runaway extends Error {
        private static final long serialVersionUID = 1L;

        Runaway(String message) {
            super(message);
        }
    }
}
