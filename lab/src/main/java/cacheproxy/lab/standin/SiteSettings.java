package cacheproxy.lab.standin;

import cacheproxy.lab.verification.RuleSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Settings of a deployment, for proxies, clients and cache nodes. */
public final class SiteSettings {
    /** What a repeat of a request does: nothing, nothing within the key's window, or a second effect. */
    public enum Effect {
        PURE,
        TOKEN,
        SIDE_EFFECT
    }

    /** A class of requests; work in ms on a core of speed 1. */
    public record Kind(
            String name,
            Effect effect,
            IdempotencyMemory.Group group,
            double targetMs,
            double deadlineMs,
            double lateWorth,
            double windowMs,
            double value,
            double share,
            double workMs,
            double cv) {
        boolean write() {
            return effect != Effect.PURE;
        }

        public Kind group(IdempotencyMemory.Group other) {
            return new Kind(name, effect, other, targetMs, deadlineMs, lateWorth, windowMs, value, share, workMs, cv);
        }

        public Kind window(double ms) {
            return new Kind(name, effect, group, targetMs, deadlineMs, lateWorth, ms, value, share, workMs, cv);
        }

        public Kind deadline(double ms) {
            return new Kind(name, effect, group, targetMs, ms, lateWorth, windowMs, value, share, workMs, cv);
        }

        private String json() {
            return """
                {"name":"%s","effect":"%s","group":"%s","targetMs":%s,"deadlineMs":%s,"lateWorth":%s,
                 "repeatWindowMs":%s,"stream":false,"value":%s}""".formatted(name, lower(effect), lower(group), targetMs, deadlineMs, lateWorth, windowMs, value);
        }

        private static String lower(Enum<?> word) {
            return word.name().toLowerCase(Locale.ROOT);
        }
    }

    /** A tenant; usage is its load as a multiple of its share. */
    public record Tenant(String name, double quotaPerS, double share, double usage) {
        private String json() {
            return "{\"name\":\"%s\",\"quotaPerS\":%s,\"share\":%s}".formatted(name, quotaPerS, share);
        }
    }

    /** The classes lookup, charge and submit, in this order at the start; each may be replaced. */
    public final List<Kind> kinds = new ArrayList<>(List.of(
            new Kind("lookup", Effect.PURE, IdempotencyMemory.Group.ALL, 750, 1500, 0.5, 5000, 1, 0.91, 85, 0.5),
            new Kind(
                    "charge", Effect.SIDE_EFFECT, IdempotencyMemory.Group.ALL, 750, 2500, 0.5, 5000, 1, 0.062, 55, 0.4),
            new Kind("submit", Effect.TOKEN, IdempotencyMemory.Group.ALL, 750, 2500, 0.3, 5000, 1, 0.028, 105, 0.5)));

    public final List<Tenant> tenants = new ArrayList<>(List.of(
            new Tenant("acme", 25, 0.5, 2.5), new Tenant("beta", 13, 0.25, 0.7), new Tenant("gama", 13, 0.25, 0.7)));
    public final List<String> zones = new ArrayList<>(List.of("east", "west"));
    public final List<String> machines = new ArrayList<>(List.of("full", "half"));
    /** Number of nodes of a zone in a cell. */
    public int cellNodes = 4;

    public int multiplex = 1;
    public int maxAttempts = 4;
    public boolean mayCancel = true;
    public boolean secondCopies = true;
    boolean probing = true;
    public boolean subscribe = true;
    boolean marksRetry = true;
    public boolean retryAfter = true;
    double maxRetryAfterMs = 2000;
    public double dialTimeoutMs = 250;
    double idleCloseMs = 30_000;
    public double askWithinMs = 10_000;
    public double coldFrom = 0.17;
    public double coldMs = 24_000;
    public double drainGraceMs = 1000;
    public double tipMultiple = 4;
    public double fallMs = 2000;
    double overShareWorth = 0.05;
    public int openCap = 20_000;
    public int sockets = 1024;
    /** Maximum number of connections of a node; 0 if not stated. */
    public int nodeConnections;

    int memoryMb = 192;

    public Kind kind(String name) {
        for (Kind k : kinds) {
            if (k.name.equals(name)) {
                return k;
            }
        }
        throw new IllegalArgumentException("no class " + name);
    }

    public void put(Kind kind) {
        kinds.replaceAll(k -> k.name.equals(kind.name) ? kind : k);
    }

    /** What the cache nodes of each keyed class remember, for one simulation. */
    public Map<String, IdempotencyMemory> memories() {
        Map<String, IdempotencyMemory> all = new HashMap<>();
        for (Kind k : kinds) {
            if (k.effect == Effect.TOKEN) {
                all.put(k.name, new IdempotencyMemory(k.group, k.windowMs));
            }
        }
        return all;
    }

    /** The model of a cache node with this site's classes and parameters. */
    public NodeModel model(double speed) {
        NodeModel m = new NodeModel();
        m.speed = speed;
        for (Kind k : kinds) {
            m.work(k.name, k.workMs, k.cv, k.share);
        }
        m.coldMs = coldMs;
        m.tipMultiple = tipMultiple;
        m.fallMs = fallMs;
        m.streams = multiplex;
        m.idleMs = idleCloseMs;
        m.probes = probing;
        return m;
    }

    /** The entry of a node by its number: zones alternate, and a few nodes of a zone form a cell. */
    public EndpointEntry entry(int i, InetSocketAddress at) {
        return entry(i, at, machines.get(0), 1);
    }

    public EndpointEntry entry(int i, InetSocketAddress at, String kind, double weight) {
        int zone = i % zones.size();
        int cell = zone + zones.size() * (i / zones.size() / cellNodes);
        return new EndpointEntry("s-" + i, at, zones.get(zone), kind, cell, EndpointEntry.SERVING, weight, 0);
    }

    /** The zone of a proxy. */
    public String zoneOf(int index) {
        return zones.get(index % zones.size());
    }

    /** The settings of proxy {@code index} of {@code of}, as JSON. */
    String settings(int index, int of) {
        String grades = String.join(",", kinds.stream().map(Kind::json).toList());
        String shares = String.join(",", tenants.stream().map(Tenant::json).toList());
        return """
            {"index":%d,"balancers":%d,"az":%d,"domainType":"cache",
             "familyInfo":{"mode":"through","originKind":-1},
             "caps":{"cpuUsPerRequest":10.0,"cpuUsPerS":15000,"dialTimeoutMs":%s,"idleCloseMs":%s,
              "maxAttempts":%d,"maxRetryAfterMs":%s,"mayCancel":%s,"multiplex":%d,"openCap":%d,"peers":false,
              "probing":%s,"retryAfter":%s,"secondCopies":%s},""".formatted(
                                index,
                                of,
                                index % zones.size(),
                                dialTimeoutMs,
                                idleCloseMs,
                                maxAttempts,
                                maxRetryAfterMs,
                                mayCancel,
                                multiplex,
                                openCap,
                                probing,
                                retryAfter,
                                secondCopies)
                + """
            "clients":{"marksRetry":%s},"countedBy":"request",
             "deductions":{"connection":0.0,"crossZone":0.03,"handshake":0.0,"lateFail":0.05,"moves":0.0,
              "origin":0.0,"peer":0.0,"probe":0.03,"registryMode":0.0,"waste":0.04},
             "grades":[%s],"kinds":%s,"localities":%s,"overShareWorth":%s,"registryMode":"%s",
             "reporting":{"fields":["busy"],"source":"inline"},
             "rules":{"askWithinMs":%s,"coldFrom":%s,"coldMs":%s,"drainGraceMs":%s,"fallMs":%s,
              "graceToAnswerMs":20.0,"tipMultiple":%s},
             "scoreParts":{"whole":0.4,"worstClass":0.1,"worstTenant":0.4,"worstWindow":0.1},
             "stage":0,"tenants":[%s],"tickMs":5.0,"tiers":["cache"],"weights":"rough"}
            """.formatted(
                                marksRetry,
                                grades,
                                texts(machines),
                                texts(zones),
                                overShareWorth,
                                subscribe ? "subscribe" : "automatic",
                                askWithinMs,
                                coldFrom,
                                coldMs,
                                drainGraceMs,
                                fallMs,
                                tipMultiple,
                                shares);
    }

    private static String texts(List<String> all) {
        return "[\"" + String.join("\",\"", all) + "\"]";
    }

    /** An endpoint list in the discovery service's form. */
    public static String list(long version, boolean full, Iterable<EndpointEntry> entries) {
        StringBuilder servers = new StringBuilder();
        for (EndpointEntry e : entries) {
            servers.append(servers.length() == 0 ? "" : ",").append(e.json());
        }
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + servers + "]}";
    }

    public static String name(int proxy) {
        return "n" + proxy;
    }

    /** The text of the configuration file of proxy {@code index} of {@code of}. */
    public String config(
            int index,
            int of,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            long knownVersion,
            List<EndpointEntry> known) {
        return "{\"name\":\"" + name(index) + "\",\"listen\":\"" + EndpointEntry.text(listen)
                + "\",\"discovery\":\"" + EndpointEntry.text(discovery) + "\",\"seed\":\""
                + Long.toHexString(seed) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                + (nodeConnections > 0 ? ",\"node_connections\":" + nodeConnections : "") + "},"
                + "\"known\":" + list(knownVersion, true, known) + ",\"settings\":" + settings(index, of) + "}";
    }

    /** Parameters of the four rules, without the listen addresses of proxies. */
    public RuleSettings rules(Iterable<ScriptedNode> nodes) {
        RuleSettings rules = new RuleSettings();
        for (Kind k : kinds) {
            RuleSettings.Effect effect = switch (k.effect()) {
                case PURE -> RuleSettings.Effect.SAFE;
                case TOKEN -> RuleSettings.Effect.KEYED;
                case SIDE_EFFECT -> RuleSettings.Effect.UNSAFE;
            };
            rules.with(new RuleSettings.RequestClass(
                    k.name(), effect, RuleSettings.Group.valueOf(k.group().name()), k.deadlineMs(), k.windowMs()));
        }
        for (ScriptedNode n : nodes) {
            rules.node(n.name(), n.entry().zone(), n.entry().cell());
        }
        rules.drainGraceMs = drainGraceMs;
        rules.warmUpStartShare = coldFrom;
        rules.warmUpMs = coldMs;
        rules.overloadMultiple = tipMultiple;
        rules.overloadWindowMs = fallMs;
        rules.pollWithinMs = askWithinMs;
        rules.hedging = secondCopies;
        rules.retryAfterSent = retryAfter;
        return rules;
    }

    /** The environment of a proxy with this configuration file. */
    public static Map<String, String> env(
            int index, InetSocketAddress listen, InetSocketAddress discovery, String file) {
        return Map.of(
                "LB_NAME",
                name(index),
                "LB_LISTEN",
                EndpointEntry.text(listen),
                "LB_DISCOVERY",
                EndpointEntry.text(discovery),
                "LB_CONFIG",
                file);
    }
}
