package cacheproxy.lab.scenario;

import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.NodeFault;
import cacheproxy.lab.standin.ScriptedClient;
import cacheproxy.lab.standin.ScriptedDiscovery;
import cacheproxy.lab.standin.ScriptedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The kinds of days and their faults. */
enum ScenarioDays {
    /** The usual load: one tenant sends three times its quota, without other faults. */
    CALM("calm", d -> {}),

    /**
     * Misbehaving clients: idle, incomplete, random and malformed; crowds that send once and stay; floods that nobody
     * reads.
     */
    RUDE("rude", d -> {
        d.every(0, 1, () -> d.bad().silent(d.anyProxy(), 2 + d.chance.nextInt(12)));
        d.every(0.1, 0.5, () -> d.bad().half(d.anyProxy(), d.kindName(), d.tenantName(), 1 + d.chance.nextInt(80)));
        d.every(0.2, 0.5, () -> d.bad().garbage(d.anyProxy(), 1 + d.chance.nextInt(4000)));
        d.every(
                0.3,
                0.1,
                () -> d.bad()
                        .malformed(
                                d.anyProxy(),
                                d.kindName(),
                                d.tenantName(),
                                d.anyOf(List.of(ScriptedClient.Flaw.values()))));
        d.every(4, 12, () -> d.site.proxySlots.forEach(s -> d.crowd(s, 40 + d.chance.nextInt(80))));
        d.every(1, 3, () -> d.flood(d.anyOf(d.site.proxySlots), 20 + d.chance.nextInt(100)));
        d.every(
                0.4,
                0.1,
                () -> d.bad()
                        .askAndLeave(
                                d.kindName(),
                                d.tenantName(),
                                ClientModel.key(d.chance.nextInt(100)),
                                d.ns(0, 100),
                                d.chance.nextBoolean()));
    }),

    /** Responses that are corrupted, duplicated, out of order, in pieces, or something else. */
    SPOILT("spoilt", d -> d.at(0, () -> d.faults(0.04, spoilt()))),

    /** Connections that break, late and missing responses, errors and rejections. */
    BROKEN("broken", d -> d.at(0, () -> d.faults(0.06, broken()))),

    /** Nodes die and are replaced, restart cold at their address, or vanish for a while. */
    CHURN(
            "churn",
            d -> d.every(1, 2.5, () -> {
                ScriptedNode n = d.anyServing();
                if (n != null) {
                    switch (d.chance.nextInt(3)) {
                        case 0 -> d.replaceNode(n);
                        case 1 -> d.restartCold(n, d.between(0.3, 6));
                        default -> d.isolateNode(n, d.between(2, 9));
                    }
                }
            })),

    /** A rolling restart of the nodes, each drained before. */
    DRAINS("drains", d -> {
        for (int i = 0; i < 15; i++) {
            ScriptedNode n = d.site.nodes.get(i);
            d.at(1 + 2.5 * i, () -> d.drainAndRestart(n));
        }
    }),

    /** The number of nodes doubles, new ones cold, and traffic follows. */
    GROWTH("growth", d -> d.at(8, () -> d.grows(2, d.between(12, 16), d.between(0.5, 1)))),

    BURST("burst", d -> {
        d.at(d.between(3, 8), d::bursts);
        d.at(d.between(18, 22), d::bursts);
        d.at(d.between(30, 33), d::bursts);
    }),

    /** Cached copies are invalidated, while some reads are for keys that nobody else requests. */
    FLUSH("flush", d -> {
        d.at(d.between(4, 8), () -> d.invalidateCaches(d.between(0.36, 0.89)));
        d.at(d.between(10, 15), () -> d.scans(d.between(0.033, 0.18), d.between(5, 18)));
        d.at(d.between(22, 28), () -> d.invalidateCaches(d.between(0.36, 0.89)));
    }),

    /** One proxy after the other gets SIGTERM and starts again; twice. */
    RESTARTS("restarts", d -> {
        for (int i = 0; i < 2 * d.proxies; i++) {
            SimulatedSite.ProxySlot proxySlot = d.site.proxySlots.get(i % d.proxies);
            d.at(2 + 3 * i + (i < d.proxies ? 0 : 1), () -> d.restartGracefully(proxySlot));
        }
    }),

    /** Proxies are killed and start again. */
    KILLS(
            "kills",
            d -> d.every(2, 5, () -> {
                SimulatedSite.ProxySlot proxySlot = d.anyOf(d.site.proxySlots);
                if (proxySlot.up()) {
                    d.killAndRestart(proxySlot);
                }
            })),

    /** Discovery is late, wrong or down while nodes come and go; not down while late notifications are pending. */
    DISCOVERY("discovery", d -> {
        double down = d.between(12, 16);
        int[] turn = {0};
        d.every(0.5, 2.5, () -> {
            if (Math.abs(d.seconds() - down) < 8) {
                return;
            }
            // in turn: a due change counts as notified after 6 s, and during two faults nobody could learn of it
            String proxy = d.site.proxySlots.get(turn[0]++ % d.proxies).name();
            switch (d.chance.nextInt(5)) {
                case 0 -> d.site.discovery.nextCalls(proxy, fault(d));
                case 1 -> d.site.discovery.nextNotifications(proxy, fault(d));
                case 2 -> d.site.discovery.killWatches(proxy, d.chance.nextBoolean());
                case 3 -> d.site.discovery.silence(proxy);
                default -> {
                    d.site.discovery.late(proxy, d.ns(100, 1500));
                    d.after(4, () -> d.site.discovery.late(proxy, 0));
                }
            }
        });
        d.at(down, () -> d.site.discovery.down(true));
        d.at(down + d.between(1, 2.5), () -> d.site.discovery.down(false));
        for (int i = 0; i < 6; i++) {
            ScriptedNode n = d.site.nodes.get(i);
            d.at(2 + 6 * i, () -> d.drainAndRestart(n));
        }
    }),

    /** Proxies' event loops stall, mostly briefly. */
    PAUSES(
            "pauses",
            d -> d.every(
                    0.5,
                    0.4,
                    () -> d.site.pause(
                            d.anyOf(d.site.proxySlots), d.chance.nextInt(8) == 0 ? d.ns(400, 2500) : d.ns(20, 300)))),

    /** A fifth more load than the capacity of the nodes. */
    OVERLOAD("overload", d -> {}),

    /** One and a half times the capacity of the nodes, so that all tenants exceed their quotas. */
    SWAMPED("swamped", d -> {}),

    /** A burst, growth, an invalidation and scans together. */
    ROUGH("rough", d -> {
        d.at(d.between(2, 5), d::bursts);
        d.at(d.between(9, 13), () -> d.grows(d.between(1.5, 2), d.between(9, 16), d.between(0.5, 1)));
        d.at(d.between(14, 20), () -> d.invalidateCaches(d.between(0.36, 0.89)));
        d.at(d.between(20, 25), () -> d.scans(d.between(0.033, 0.18), d.between(5, 15)));
        d.at(d.between(28, 32), d::bursts);
    });

    private static final long MS = SimulatedSite.MS;

    final String title;
    final Consumer<ScenarioDay> plan;

    ScenarioDays(String title, Consumer<ScenarioDay> plan) {
        this.title = title;
        this.plan = plan;
    }

    private static List<NodeFault> spoilt() {
        List<NodeFault> all = new ArrayList<>();
        for (NodeFault.How how : NodeFault.How.values()) {
            all.add(new NodeFault.Spoil(how));
        }
        all.add(new NodeFault.Twice(0));
        all.add(new NodeFault.Twice(30 * MS));
        all.add(new NodeFault.Reorder(50 * MS));
        all.add(new NodeFault.Drip(3, 5 * MS));
        for (String says : List.of(
                "EN\r\n",
                "HD\r\n",
                "ERROR\r\n",
                "SERVER_ERROR out of memory\r\n",
                "VA 99999999 Ox\r\n",
                "SERVER_ERROR busy 400\r\n")) {
            all.add(new NodeFault.Says(says));
        }
        return all;
    }

    private static List<NodeFault> broken() {
        List<NodeFault> all = new ArrayList<>();
        for (NodeFault.When when : NodeFault.When.values()) {
            all.add(new NodeFault.Break(when, true));
            all.add(new NodeFault.Break(when, false));
        }
        all.addAll(List.of(
                new NodeFault.Stall(200 * MS),
                new NodeFault.Stall(1500 * MS),
                new NodeFault.Never(),
                new NodeFault.Busy(-1),
                new NodeFault.Busy(0),
                new NodeFault.Busy(20 * MS),
                new NodeFault.Failed(true),
                new NodeFault.Failed(false),
                new NodeFault.Refused()));
        return all;
    }

    private static ScriptedDiscovery.Fault fault(ScenarioDay d) {
        ScriptedDiscovery.Fault[] all = ScriptedDiscovery.Fault.values();
        return all[1 + d.chance.nextInt(all.length - 1)];
    }
}
