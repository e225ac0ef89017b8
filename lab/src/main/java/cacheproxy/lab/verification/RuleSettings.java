package cacheproxy.lab.verification;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parameters of the four rules, from the proxy's settings and the protocol. */
public final class RuleSettings {
    /** What a repeat of a request does, by its class. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The nodes that share a memory of idempotency keys and discard each other's repeats. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** One class of requests; times in ms. */
    public record RequestClass(String name, Effect effect, Group group, double deadlineMs, double repeatWindowMs) {}

    /** The location of a node. */
    public record Place(String zone, int cell) {}

    final Map<String, RequestClass> classes = new LinkedHashMap<>();
    final Map<String, Place> nodes = new LinkedHashMap<>();
    final Map<String, String> proxies = new LinkedHashMap<>();
    public double drainGraceMs = 1000;
    public double responseGraceMs = 20;
    /** Tolerance added to each time limit. */
    public double slackMs = 50;
    /** Capacity at start as a share of the warm capacity, for nodes whose start does not state their own. */
    public double warmUpStartShare = 0.17;

    public double warmUpMs = 24_000;
    public double overloadMultiple = 4;
    public double overloadWindowMs = 2000;
    public double pollWithinMs = 10_000;
    /** A change counts as notified at most this long after it is due. */
    public double notificationDeadlineMs = 6000;

    public boolean hedging;
    public boolean retryAfterSent = true;
    /** Whether the record has the clients' sides only, so that the origin of responses cannot be checked. */
    public boolean clientSidesOnly;
    /** Requests above the budget that a warming-up node may get by chance. */
    public double warmUpTolerance = 2;
    /** Longest transit time attributed to the proxy; any more is the network's. */
    public double transitMs = 10;
    /** Longest time for which a partitioned link held back bytes. */
    public double networkHoldMs;
    /**
     * A request that arrived at most this long before the proxy closed the connection, unforwarded, crossed the close.
     */
    public double closeCrossingMs;
    /** Time after SIGTERM for which clients continue to use their connections. */
    public double useAfterSigtermMs = 700;

    public int longestLine = 2048;
    public int largestValue = 64 << 10;

    public RuleSettings with(RequestClass c) {
        classes.put(c.name(), c);
        return this;
    }

    /** Adds a node by its id in the endpoint list. */
    public RuleSettings node(String id, String zone, int cell) {
        nodes.put(id, new Place(zone, cell));
        return this;
    }

    /** Adds a proxy's listen address; needed for records of real sockets with several proxies. */
    public RuleSettings proxy(String name, String address) {
        proxies.put(address, name);
        return this;
    }

    /** Reads the settings of a proxy's configuration, as parsed from JSON. */
    public static RuleSettings of(Map<String, ?> settings) {
        RuleSettings r = new RuleSettings();
        for (Object o : (List<?>) settings.get("grades")) {
            Map<?, ?> g = (Map<?, ?>) o;
            Effect effect = switch (String.valueOf(g.get("effect"))) {
                case "pure" -> Effect.SAFE;
                case "token" -> Effect.KEYED;
                default -> Effect.UNSAFE;
            };
            Group group = switch (String.valueOf(g.get("group"))) {
                case "all" -> Group.ALL;
                case "zone" -> Group.ZONE;
                default -> Group.CELL;
            };
            r.with(new RequestClass(
                    String.valueOf(g.get("name")),
                    effect,
                    group,
                    number(g, "deadlineMs", 0),
                    number(g, "repeatWindowMs", 0)));
        }
        if (settings.get("caps") instanceof Map<?, ?> caps) {
            r.hedging = Boolean.TRUE.equals(caps.get("secondCopies"));
            r.retryAfterSent = Boolean.TRUE.equals(caps.get("retryAfter"));
        }
        if (settings.get("rules") instanceof Map<?, ?> figures) {
            r.drainGraceMs = number(figures, "drainGraceMs", r.drainGraceMs);
            r.responseGraceMs = number(figures, "graceToAnswerMs", r.responseGraceMs);
            r.warmUpStartShare = number(figures, "coldFrom", r.warmUpStartShare);
            r.warmUpMs = number(figures, "coldMs", r.warmUpMs);
            r.overloadMultiple = number(figures, "tipMultiple", r.overloadMultiple);
            r.overloadWindowMs = number(figures, "fallMs", r.overloadWindowMs);
            r.pollWithinMs = number(figures, "askWithinMs", r.pollWithinMs);
        }
        return r;
    }

    /** Adds the nodes of an endpoint list in the discovery service's form. */
    public RuleSettings servers(List<?> servers) {
        for (Object o : servers) {
            Map<?, ?> s = (Map<?, ?>) o;
            node(String.valueOf(s.get("id")), String.valueOf(s.get("zone")), (int) number(s, "cell", 0));
        }
        return this;
    }

    private static double number(Map<?, ?> of, String name, double otherwise) {
        return of.get(name) instanceof Number n ? n.doubleValue() : otherwise;
    }

    double longestDeadlineMs() {
        return classes.values().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }

    boolean sameGroup(Group group, String one, String other) {
        if (group == Group.ALL || one.equals(other)) {
            return true;
        }
        Place a = nodes.get(one);
        Place b = nodes.get(other);
        return a != null && b != null && a.zone().equals(b.zone()) && (group == Group.ZONE || a.cell() == b.cell());
    }
}
