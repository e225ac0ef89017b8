package cacheproxy.lab.load;

import cacheproxy.lab.verification.Findings;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The result of a load: due requests of the counted time by how they ended, and the lateness of the generator. */
public final class LoadResult {
    /** How a request ended. */
    public enum End {
        SERVED,
        /** {@code SERVER_ERROR busy}. */
        REFUSED,
        /** Any other line. */
        FAILED,
        /** No response in time, or the connection was closed. */
        LOST,
        /** A response with another request's id. */
        WRONG,
        /** Not sent: too many were waiting for a free connection. */
        UNSENT
    }

    private static final long MOST_US = 3_600_000_000L;
    /** Maximum lateness of the generator in ms at the 99th percentile; beyond it the result is void. */
    private static final double MOST_LATE_MS = 20;

    private static final double FEWEST = 0.98;
    private final Map<End, Long> ends = new EnumMap<>(End.class);
    /** From the due time to the last byte of the response, in us, of served requests. */
    private final Histogram latency = new Histogram(1, MOST_US, 3);
    /** From the due time until the generator was ready to send, in us. */
    private final Histogram late = new Histogram(1, MOST_US, 3);

    private double seconds;
    private double wanted;
    private boolean stopped;
    private long strays;
    private Findings findings;

    void ended(End how, long fromDueNs) {
        ends.merge(how, 1L, Long::sum);
        if (how == End.SERVED) {
            latency.recordValue(Math.max(1, Math.min(MOST_US, fromDueNs / 1_000)));
        }
    }

    void lateBy(long ns) {
        late.recordValue(Math.max(1, Math.min(MOST_US, ns / 1_000)));
    }

    void stray() {
        strays++;
    }

    void judged(Findings by) {
        findings = by;
    }

    void add(LoadResult other) {
        strays += other.strays;
        other.ends.forEach((how, n) -> ends.merge(how, n, Long::sum));
        latency.add(other.latency);
        late.add(other.late);
    }

    void over(double countedSeconds, double perS, boolean early) {
        seconds = countedSeconds;
        wanted = perS;
        stopped = early;
    }

    /** Number of requests that ended this way. */
    public long count(End how) {
        return ends.getOrDefault(how, 0L);
    }

    /** Number of due requests. */
    public long due() {
        return ends.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Share of due requests that were served. */
    public double served() {
        return due() == 0 ? 0 : (double) count(End.SERVED) / due();
    }

    /** Responses per second in the counted time. */
    public double servedPerS() {
        return seconds == 0 ? 0 : count(End.SERVED) / seconds;
    }

    /** Latency of served requests, in ms; NaN if there were none. */
    public double latencyMs(double percentile) {
        return latency.getTotalCount() == 0 ? Double.NaN : latency.getValueAtPercentile(percentile) / 1e3;
    }

    /** Lateness of the generator, in ms. */
    public double lateMs(double percentile) {
        return late.getTotalCount() == 0 ? 0 : late.getValueAtPercentile(percentile) / 1e3;
    }

    /** Number of unsolicited responses. */
    public long strays() {
        return strays;
    }

    /** Findings of the checker; null if not enabled. */
    public Findings findings() {
        return findings;
    }

    /** Why the result is void; empty if it is valid. */
    public String voidFor() {
        if (due() == 0) {
            return "nothing was due";
        }
        if (lateMs(99) > MOST_LATE_MS) {
            return "the generator itself was late by " + lateMs(99)
                    + " ms at the 99th percentile: more loops, or less load";
        }
        if (!stopped && due() < FEWEST * wanted * seconds - 5 * Math.sqrt(wanted * seconds)) {
            return "only " + due() + " requests became due where " + Math.round(wanted * seconds) + " were asked for";
        }
        return "";
    }
}
