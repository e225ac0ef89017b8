package cacheproxy.lab.scenario;

import java.util.List;

/**
 * A site to be emulated: all figures by which its machines, network, clients and proxies go. Times in ms, rates in
 * requests a second, shares from 0 to 1; {@link SiteValidator} has the ranges. What a file leaves out has its value
 * from {@code site-defaults.yaml} of the experiments.
 *
 * @param zones names of the sites; proxies and nodes are dealt out over them in turn
 * @param proxies instances, 1 to 2,000
 * @param nodes cache nodes at the start, 1 to 10,000
 * @param ofCapacity what clients ask for, as a share of what the nodes can do when warm, above 0 to 5
 * @param quotas what the tenants' shares come to in all, as a share of what the nodes can do when warm
 * @param warmMs caches fill and proxies learn; nothing counts and nothing goes wrong
 * @param lengthMs what counts
 * @param load its shape over time, in seconds from the end of the warm-up: straight between points, flat outside them
 * @param judged whether the four rules are judged, for which the whole record is kept: about 1 GB for 100,000 requests
 */
public record SiteModel(
        List<String> zones,
        int proxies,
        int nodes,
        double ofCapacity,
        double quotas,
        int warmMs,
        int lengthMs,
        boolean judged,
        List<Machine> machines,
        Node node,
        Network network,
        Origin origin,
        Discovery discovery,
        Clients clients,
        Proxy proxy,
        List<RequestClass> classes,
        List<Tenant> tenants,
        List<Point> load) {

    /** At {@code at} s the load is {@code times} the usual. */
    public record Point(double at, double times) {}

    /**
     * A kind of machine: its share of the nodes, a core's speed (1: the yardstick), the weight that discovery lists.
     */
    public record Machine(String name, double share, double speed, double weight) {}

    /**
     * A cache node.
     *
     * @param slots requests in work, those that wait for the origin among them
     * @param queue requests that wait for a slot; what comes beyond is rejected
     * @param dropsLate whether waiting work is rejected once its time is over
     * @param stopsRunning whether running work stops when nobody waits for it
     * @param coldFrom share of its capacity with which one starts; the rest comes evenly within coldMs
     * @param tipMultiple sent so many times what it can do at that moment for fallMs, a cold one falls over
     * @param keysOfAll what all nodes together keep, as a share of the keys
     */
    public record Node(
            int cores,
            int slots,
            int queue,
            boolean dropsLate,
            boolean stopsRunning,
            double coldFrom,
            double coldMs,
            double tipMultiple,
            double fallMs,
            int connections,
            double handshakeMs,
            double reportMs,
            double reportDelayMs,
            double reportNoise,
            double keysOfAll) {}

    /** One way, in ms: within a zone, between zones, from clients to the proxies of their zone; jitter at most. */
    public record Network(double sameMs, double crossMs, double clientMs, double jitterMs) {}

    /**
     * The place that nodes fetch from.
     *
     * @param missed share of the reads that are due to miss
     * @param headroom it bears so many times these misses, and the writes
     * @param queueMs of waiting work at most
     */
    public record Origin(double missed, double headroom, double fetchMs, double queueMs) {}

    /** List lines a second in all, lines that a call costs, and what passes until a change is listed. */
    public record Discovery(double linesPerS, int callLines, double joinMs, double goneMs) {}

    /**
     * Clients, open loop: they ask at their times whatever becomes of it.
     *
     * @param retries after the first try, at most
     * @param tryShare a try is given up after this share of the class's deadline
     * @param backoffMs before a retry, doubled with each
     * @param honour how often the advice of a rejection is kept to
     * @param keys distinct ones, with popularity (rank + offset)^-zipf
     * @param frontNoticeMs the front goes on sending new connections to a dead proxy for so long
     */
    public record Clients(
            int retries,
            double tryShare,
            double backoffMs,
            double honour,
            int keys,
            double zipf,
            double offset,
            double frontNoticeMs) {}

    /**
     * What the platform allows a proxy, and its processor: time in us of one handling of a ready connection and of one
     * timer or task. {@code docs/measure/lab.md} tells how they were measured.
     */
    public record Proxy(
            int maxAttempts,
            boolean mayCancel,
            boolean secondCopies,
            boolean retryAfter,
            double dialTimeoutMs,
            int sockets,
            double startMs,
            double eventUs,
            double taskUs) {}

    /** A class of requests; effect: pure, token or side_effect. Work in ms on a core of speed 1. */
    public record RequestClass(
            String name,
            String effect,
            double share,
            double workMs,
            double cv,
            double targetMs,
            double deadlineMs,
            double lateWorth,
            double windowMs,
            double value) {}

    /** A tenant: its share of what the nodes can do, and what it sends as a multiple of that share. */
    public record Tenant(String name, double share, double usage) {}
}
