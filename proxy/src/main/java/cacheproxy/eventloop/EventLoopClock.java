package cacheproxy.eventloop;

import cacheproxy.logging.Log;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clock of one event loop, its timers, and a measurement of how late they run. All times are in microseconds on a
 * monotonic clock that starts at 0 when this object is created.
 *
 * <p>After a stall of the loop, for example by the garbage collector or the machine, data is read late that arrived in
 * time. A tick, a timer that repeats every {@link #TICK_US}, measures such stalls, so that callers do not attribute
 * them to a peer.
 *
 * <p>Every method is called on the event loop, except {@link #nowUs}, which any thread may call.
 */
public final class EventLoopClock {
    /** The interval of the tick, and the shortest stall that {@link #stalledForUs} reports. */
    public static final long TICK_US = 20_000;
    /** The delay of each of the two timers of {@link #scheduleAfterRead}. */
    public static final long READ_PAUSE_US = 1_000;

    /** A tick that ran less than this ago may have run after a stall but before the loop read its sockets. */
    private static final long TICK_JUST_RAN_US = 5_000;
    /** Lateness up to this value is normal timer jitter and is not counted. */
    private static final long TIMER_JITTER_US = 5_000;

    private static final long MIN_LOGGED_STALL_US = 50_000;
    private static final long MIN_LOGGED_UNREAD_US = 100_000;
    private static final long UNREAD_LOG_INTERVAL_US = 5_000_000;
    /** The weight of one tick in the moving average of {@link #lateFraction}. */
    private static final double LATE_FRACTION_WEIGHT = 1.0 / 64;

    private final EventLoop eventLoop;
    private final Log log;
    private final FaultGuard faultGuard;
    /** See {@link PollTimes#allReadUntilNs}; null if the polls of the loop are not recorded. */
    private final LongSupplier allReadUntilNs;

    private final long startNs;
    private final long unixAtStartUs;
    private boolean stopped;

    private long nextTickUs;
    private long thirdLastTickUs;
    private long secondLastTickUs;
    private long lastTickUs;

    private long longestStallUs;
    private long unreadLoggedUs;
    private long totalLatenessUs;
    private double lateFraction;

    /**
     * @param unixMs the Unix time in milliseconds now
     * @param faultGuard runs the tasks of all timers
     * @param allReadUntilNs see {@link PollTimes#allReadUntilNs}; null if the polls of the loop are not recorded
     */
    public EventLoopClock(
            EventLoop eventLoop, long unixMs, Log log, FaultGuard faultGuard, LongSupplier allReadUntilNs) {
        this.eventLoop = eventLoop;
        this.log = log;
        this.faultGuard = faultGuard;
        this.allReadUntilNs = allReadUntilNs;
        startNs = eventLoop.ticker().nanoTime();
        unixAtStartUs = unixMs * 1000;
    }

    /** Starts to measure lateness; to be called once. */
    public void start() {
        tick();
    }

    /** Disables all timers of this clock: those that expire later do nothing. */
    public void stop() {
        stopped = true;
    }

    /** The time in microseconds, which never goes back. */
    public long nowUs() {
        return (eventLoop.ticker().nanoTime() - startNs) / 1000;
    }

    /**
     * Converts a Unix time in milliseconds to this clock, in microseconds. The two clocks are compared only once, at
     * the start, so that a Unix time always gives the same result; it is negative for a time before the start.
     */
    public long fromUnixMs(long unixMs) {
        return unixMs * 1000 - unixAtStartUs;
    }

    private void tick() {
        long nowUs = nowUs();
        long delayUs = nextTickUs == 0 ? 0 : nowUs - nextTickUs;
        longestStallUs = Math.max(longestStallUs, delayUs);
        long lateUs = delayUs > TIMER_JITTER_US ? delayUs : 0;
        totalLatenessUs += lateUs;
        lateFraction += (lateUs / (double) (lateUs + TICK_US) - lateFraction) * LATE_FRACTION_WEIGHT;
        if (delayUs > MIN_LOGGED_STALL_US) {
            log.line("event loop stalled for " + delayUs / 1000 + " ms");
        } else {
            logUnread(nowUs);
        }
        thirdLastTickUs = secondLastTickUs == 0 ? nowUs : secondLastTickUs;
        secondLastTickUs = lastTickUs == 0 ? nowUs : lastTickUs;
        lastTickUs = nowUs;
        nextTickUs = nowUs + TICK_US;
        schedule(TICK_US, this::tick);
    }

    private void logUnread(long nowUs) {
        long unreadUs = allReadUntilNs == null ? 0 : nowUs - allReadUntilUs(nowUs);
        if (unreadUs > MIN_LOGGED_UNREAD_US && nowUs - unreadLoggedUs > UNREAD_LOG_INTERVAL_US) {
            unreadLoggedUs = nowUs;
            log.line("event loop behind: input may wait for " + unreadUs / 1000 + " ms");
        }
    }

    /**
     * How long the loop was stalled just before {@code nowUs}, in microseconds; 0 for less than a tick. Data that is
     * read now may have waited for that long.
     *
     * <p>The loop usually reads before it runs timers, so that the tick is still overdue after a stall; if the tick ran
     * first, it ran a moment ago and was late.
     */
    public long stalledForUs(long nowUs) {
        long sinceTickUs = nowUs - lastTickUs;
        // The loop has read between any three ticks, even if a stall began in the middle of reading: data that is read
        // now arrived after the first of them.
        boolean afterStall = sinceTickUs < TICK_JUST_RAN_US || sinceTickUs > 2 * TICK_US;
        long stallUs = afterStall ? nowUs - thirdLastTickUs - 3 * TICK_US : sinceTickUs - TICK_US;
        return stallUs > TICK_US ? stallUs : 0;
    }

    /**
     * Everything that had arrived by this time, on sockets that are read as soon as they are readable, has been read
     * before {@code nowUs}. What is read now may have arrived right after it, and a close that is not read yet as well.
     */
    public long allReadUntilUs(long nowUs) {
        return allReadUntilNs == null ? nowUs - stalledForUs(nowUs) : (allReadUntilNs.getAsLong() - startNs) / 1000;
    }

    /**
     * The sum of all lateness until {@code nowUs}, in microseconds. Its growth during a wait is to be subtracted from
     * the wait: nothing was read meanwhile, and the peer may have responded in time.
     */
    public long totalLatenessUs(long nowUs) {
        long overdueUs = nextTickUs == 0 ? 0 : nowUs - nextTickUs;
        return totalLatenessUs + (overdueUs > TIMER_JITTER_US ? overdueUs : 0);
    }

    /** The fraction of recent time, from 0 to 1, that the loop was late: a moving average over the ticks. */
    public double lateFraction() {
        return lateFraction;
    }

    /** The longest delay of a tick so far, in microseconds. */
    public long longestStallUs() {
        return longestStallUs;
    }

    /** Runs a task on the loop after {@code delayUs}, at once if that is 0 or less; faults of the task are logged. */
    public Future<?> schedule(long delayUs, Runnable task) {
        return eventLoop.schedule(
                () -> {
                    if (!stopped) {
                        faultGuard.run(task);
                    }
                },
                Math.max(0, delayUs),
                TimeUnit.MICROSECONDS);
    }

    /** Runs a task once the loop has read all data that arrived before this call, also after a stall. */
    public void scheduleAfterRead(Runnable task) {
        // Two timers in sequence: the loop reads between two rounds of timers.
        schedule(READ_PAUSE_US, () -> schedule(READ_PAUSE_US, task));
    }
}
