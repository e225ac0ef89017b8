package cacheproxy.lab.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a load is made of.
 *
 * @param targets proxies; connections are dealt out over them in turn. Loopback addresses only
 * @param perS requests a second in all, as a Poisson stream: 1 to 10 million
 * @param seconds how long requests become due
 * @param warmSeconds of these, so many at the start are not counted
 * @param connections in all
 * @param pipeline requests on one connection before its first is answered
 * @param loops threads that send and receive
 * @param keys distinct ones, asked for by a Zipf law with this exponent
 * @param valueBytes of a write, at least
 * @param valueMost of a write, at most; sizes in between are as likely
 * @param waitMs told as {@code d}; unanswered for so long, a request is lost and its connection is closed
 * @param rampFrom the rate grows evenly from this one to {@code perS}; the same for a steady one
 * @param judged whether all bytes are kept for the checker, which bounds the load to {@link #MOST_JUDGED} requests
 */
public record LoadPlan(
        List<InetSocketAddress> targets,
        double perS,
        double seconds,
        double warmSeconds,
        int connections,
        int pipeline,
        int loops,
        List<Part> classes,
        List<Part> tenants,
        int keys,
        double zipf,
        int valueBytes,
        int valueMost,
        int waitMs,
        long seed,
        double rampFrom,
        boolean judged) {
    /** Maximum number of requests whose bytes are kept. */
    public static final int MOST_JUDGED = 500_000;

    /** A class or tenant by its share of the requests; writes are sent by {@code ms} with an idempotency key. */
    public record Part(String name, double share, boolean write) {}

    public LoadPlan {
        for (InetSocketAddress t : targets) {
            if (t.getAddress() == null || !t.getAddress().isLoopbackAddress()) {
                throw new IllegalArgumentException("--to: only loopback addresses are loaded, not " + t);
            }
        }
        range("--to", targets.size(), 1, 10_000);
        range("--rate", perS, 1, 1e7);
        range("--seconds", seconds, 0.1, 86_400);
        range("--warm-seconds", warmSeconds, 0, seconds);
        range("--loops", loops, 1, 256);
        range("--connections", connections, loops, 100_000);
        range("--pipeline", pipeline, 1, 100_000);
        range("--keys", keys, 1, 100_000_000);
        range("--zipf", zipf, 0.0, 10);
        range("--value-bytes", valueBytes, 1, 65_536);
        range("--value-bytes", valueMost, valueBytes, 65_536);
        range("--ramp-from", rampFrom, 1, 1e7);
        if (judged) {
            range("--judge: requests, by rate and seconds,", (perS + rampFrom) / 2 * seconds, 0, MOST_JUDGED);
        }
        range("--wait-ms", waitMs, 1, 600_000);
        parts("--class", classes);
        parts("--tenant", tenants);
    }

    private static void parts(String field, List<Part> all) {
        range(field, all.size(), 1, 1_000);
        double sum = 0;
        for (Part p : all) {
            if (!p.name.matches("[!-+\\--<>-~]{1,100}")) {
                throw new IllegalArgumentException(field + ": a name has no space, comma or equals sign: " + p.name);
            }
            range(field + " " + p.name, p.share, 0, 1e9);
            sum += p.share;
        }
        if (!(sum > 0)) {
            throw new IllegalArgumentException(field + ": all shares are 0");
        }
    }

    private static void range(String field, double x, double from, double to) {
        if (!(x >= from && x <= to)) {
            throw new IllegalArgumentException(field + ": from " + from + " to " + to + ", not " + x);
        }
    }

    /** The same plan at another, steady rate per second. */
    public LoadPlan at(double rate) {
        return new LoadPlan(
                targets,
                rate,
                seconds,
                warmSeconds,
                connections,
                pipeline,
                loops,
                classes,
                tenants,
                keys,
                zipf,
                valueBytes,
                valueMost,
                waitMs,
                seed,
                rate,
                judged);
    }

    /** Rate in requests per second at a time in s. */
    double rate(double at) {
        return rampFrom + (perS - rampFrom) * Math.min(1, at / seconds);
    }

    /** Number of requests due in the counted time. */
    double meanPerS() {
        return (rate(warmSeconds) + perS) / 2;
    }
}
