package cacheproxy.lab.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/** Parameters of a cache node; times in ms. */
public final class NodeModel {
    /** What happens to queued work whose deadline has passed. */
    public enum Late {
        BUSY,
        SILENT,
        RUNS
    }

    /** A class's mean work in ms on a core of speed 1, its coefficient of variation, and its share of the requests. */
    record Work(double ms, double cv, double share) {}

    final Map<String, Work> work = new LinkedHashMap<>();
    public int cores = 1;
    /**
     * Whether work is exponentially distributed, as in queueing theory, whatever the class's coefficient of variation.
     */
    public boolean exponential;

    public double speed = 1;
    /** Maximum number of requests being processed, including those that wait for the origin. */
    public int slots = 8;
    /** Maximum number of requests that wait for a slot; further ones are rejected. */
    public int queue = 4;

    public Late late = Late.BUSY;
    /** Whether running work is cancelled when nobody waits for it. */
    public boolean stopsRunning;
    /** Probability that a failure response of the origin hides a write that is carried out. */
    double runsAfterFailure = 0.5;

    public double coldMs = 24_000;
    public double tipMultiple = 4;
    double fallMs = 2000;
    /**
     * A node becomes overloaded at this multiple of what the rule allows plus this many requests, a tolerance for
     * chance.
     */
    double tipSlack = 1.1;

    int tipChance = 2;

    public int connections = 150;
    /** Maximum number of requests of one connection in progress. */
    int streams = 1;

    public double handshakeMs = 2;
    public double idleMs = 30_000;

    boolean tellsHits = true;
    /** Name of the load report in responses; null for none. */
    String report = "util";

    public double reportMs = 200;
    public double reportDelayMs = 80;
    public double reportNoise = 0.1;
    boolean probes = true;
    public double probeMs = 0.3;

    /** Capacity in keys; the least recently used one is evicted. */
    public int keys = 2000;

    public int valueBytes = 40;
    /** Whether it responds like memcached 1.6, without origin, classes or idempotency. */
    boolean plain;

    double plainMs = 0.1;

    NodeModel work(String kind, double ms, double cv, double share) {
        work.put(kind, new Work(ms, cv, share));
        return this;
    }

    /** Warm capacity in requests per second at the usual mix. */
    public double perS() {
        if (plain) {
            return 1000 / plainMs;
        }
        double ms = 0;
        double shares = 0;
        for (Work w : work.values()) {
            ms += w.ms * w.share;
            shares += w.share;
        }
        return shares == 0 ? cores * speed * 1000 : cores * speed * 1000 * shares / ms;
    }
}
