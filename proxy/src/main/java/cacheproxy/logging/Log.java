package cacheproxy.logging;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The operators' log: state changes and faults, one line each. Each topic has its own rate limit, so that a burst of
 * lines on one topic neither fills a disk nor hides another topic.
 *
 * <p>Any thread may call it. The sink that receives the lines must not block, because most lines are logged on the
 * event loop.
 */
public final class Log {
    /** The topic of a line, with its rate limit. */
    public enum Topic {
        GENERAL(40),
        /** Calls to discovery, the endpoint lists they return, and state changes of endpoints. */
        DISCOVERY(80),
        /** Single requests, attempts and closed connections; only with {@code LB_LOG=requests}. */
        REQUESTS(5_000);

        /** The maximum number of lines on this topic in one window of ten seconds. */
        final int maxLinesPerWindow;

        Topic(int maxLinesPerWindow) {
            this.maxLinesPerWindow = maxLinesPerWindow;
        }
    }

    /** The name of the environment variable that sets the level of detail. */
    public static final String LEVEL_VARIABLE = "LB_LOG";

    private static final String REQUESTS_DETAIL = "requests";

    private static final Topic[] TOPICS = Topic.values();
    private static final long WINDOW_NS = 10_000_000_000L;

    private final LongSupplier nanoTime;
    private final Consumer<String> sink;
    private final boolean tracesRequests;
    private final int[] linesInWindow = new int[TOPICS.length];
    private long windowStartNs;

    /** Creates a log without lines on single requests. */
    public Log(LongSupplier nanoTime, Consumer<String> sink) {
        this(nanoTime, sink, null);
    }

    /**
     * @param nanoTime a monotonic clock in nanoseconds, called by the threads that log
     * @param sink receives each line, without a line end; must not block
     * @param detail the value of {@link #VARIABLE}, or null if it is not set
     */
    public Log(LongSupplier nanoTime, Consumer<String> sink, String detail) {
        this.nanoTime = nanoTime;
        this.sink = sink;
        tracesRequests = REQUESTS_DETAIL.equals(detail);
        windowStartNs = nanoTime.getAsLong();
    }

    /** Whether lines on single requests are logged; to be checked before building such a line. */
    public boolean tracesRequests() {
        return tracesRequests;
    }

    /** Logs a line on {@link Topic#GENERAL}. */
    public void line(String text) {
        line(Topic.GENERAL, text);
    }

    /** Logs a line, or only counts it if its topic has reached the rate limit. */
    public synchronized void line(Topic topic, String text) {
        if (topic == Topic.REQUESTS && !tracesRequests) {
            return;
        }
        long nowNs = nanoTime.getAsLong();
        if (nowNs - windowStartNs > WINDOW_NS) {
            beginWindow(nowNs);
        }
        if (linesInWindow[topic.ordinal()]++ < topic.maxLinesPerWindow) {
            sink.accept("cacheproxy: " + text);
        }
    }

    private void beginWindow(long nowNs) {
        for (Topic topic : TOPICS) {
            int suppressed = linesInWindow[topic.ordinal()] - topic.maxLinesPerWindow;
            if (suppressed > 0) {
                sink.accept("cacheproxy: " + suppressed + " log lines suppressed by the rate limit");
            }
            linesInWindow[topic.ordinal()] = 0;
        }
        windowStartNs = nowNs;
    }
}
