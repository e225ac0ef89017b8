package cacheproxy.lab.scenario;

import cacheproxy.lab.simulation.SimEventLoop;
import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.NodeFault;
import cacheproxy.lab.standin.RandomVariates;
import cacheproxy.lab.standin.RawConnection;
import cacheproxy.lab.standin.ScriptedClient;
import cacheproxy.lab.standin.ScriptedDiscovery;
import cacheproxy.lab.standin.ScriptedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Applies scheduled faults to a simulated site. */
final class FaultInjector {
    private static final long MS = SimulatedSite.MS;

    private final SimulatedSite site;
    private final ScriptedClient bad;

    FaultInjector(SimulatedSite site) {
        this.site = site;
        ClientModel model = new ClientModel();
        model.retries = 0;
        bad = site.client(model);
    }

    void plan(List<ScheduledFault> all) {
        for (ScheduledFault m : all) {
            site.scheduler.at(m.atMs() * MS, () -> happen(m));
        }
    }

    private static long between(SplittableRandom random, long fromMs, long toMs) {
        return random.nextLong(fromMs, toMs + 1) * MS;
    }

    private void happen(ScheduledFault m) {
        SplittableRandom r = new SplittableRandom(m.arg());
        ScriptedNode node = site.nodes.get(m.who() % site.nodes.size());
        SimulatedSite.ProxySlot proxySlot = site.proxySlots.get(m.who() % site.proxySlots.size());
        switch (m.kind()) {
            case NODE_FAULT -> node.next(nodeFault(r));
            case NODE_FAULT_TWICE -> node.next(nodeFault(r), nodeFault(r), nodeFault(r));
            case NODE_FAULT_ALWAYS -> {
                node.always(nodeFault(r));
                site.scheduler.after(between(r, 50, 1500), () -> node.always(null));
            }
            case NODE_WELL -> node.always(null);
            case NODE_PAUSE -> node.pause(between(r, 20, 1800));
            case NODE_STOP -> node.stop();
            case NODE_RESTART -> restart(node, 1, between(r, 5, 800));
            case NODE_COLD -> restart(node, site.settings.coldFrom, between(r, 5, 800));
            case NODE_NEW_COLD -> {
                ScriptedNode fresh = site.node(1);
                fresh.start(site.settings.coldFrom);
                site.discovery.setAfter(between(r, 5, 1500), fresh.entry());
            }
            case NODE_REFUSE -> {
                node.refuse(true);
                site.scheduler.after(between(r, 50, 1500), () -> node.refuse(false));
            }
            case NODE_VANISH -> {
                site.net.isolate(node.name(), true);
                site.scheduler.after(between(r, 50, 3000), () -> site.net.isolate(node.name(), false));
            }
            case NODE_CUT_ALL -> node.cutAll(r.nextBoolean());
            case NODE_SLOW -> {
                site.net.slow(node.name(), between(r, 1, 200));
                site.scheduler.after(between(r, 50, 2000), () -> site.net.slow(node.name(), 0));
            }
            case NODE_STALL -> site.net.stall(node.name(), site.scheduler.now() + between(r, 20, 1500));
            case NODE_FLUSH -> node.flush(r.nextDouble(), r.nextLong());
            case DRAIN -> drain(node);
            case DRAIN_AND_STOP -> {
                drain(node);
                site.scheduler.after(between(r, 1000, 3000), () -> {
                    site.discovery.remove(node.name());
                    node.stop();
                });
            }
            case REMOVE -> site.discovery.remove(node.name());
            case SERVE_AGAIN -> {
                node.draining(false);
                if (node.up()) {
                    site.discovery.serving(node.entry());
                }
            }
            case LIST_BACK -> site.discovery.nextNotifications(proxySlot.name(), ScriptedDiscovery.Fault.BACK);
            case TELL_TROUBLE -> site.discovery.nextNotifications(proxySlot.name(), discoveryFault(r));
            case CALL_TROUBLE -> {
                site.discovery.nextCalls(proxySlot.name(), discoveryFault(r));
                site.discovery.killWatches(proxySlot.name(), r.nextBoolean());
            }
            case WATCH_KILL -> site.discovery.killWatches(proxySlot.name(), r.nextBoolean());
            case WATCH_SILENT -> site.discovery.silence(proxySlot.name());
            case WATCH_LATE -> {
                site.discovery.late(proxySlot.name(), between(r, 100, 7000));
                site.scheduler.after(between(r, 100, 4000), () -> site.discovery.late(proxySlot.name(), 0));
            }
            case DISCOVERY_DOWN -> {
                site.discovery.down(true);
                site.scheduler.after(between(r, 100, 3000), () -> site.discovery.down(false));
            }
            case PROXY_PAUSE -> site.pause(proxySlot, between(r, 30, r.nextInt(3) == 0 ? 3000 : 400));
            case PROXY_PAUSE_INSIDE -> {
                long ns = between(r, 30, r.nextBoolean() ? 3000 : 400);
                long afterNs = between(r, 1, 100);
                Runnable meanwhile =
                        r.nextBoolean() ? () -> site.scheduler.after(afterNs, () -> drain(node)) : () -> {};
                site.pauseInside(
                        proxySlot,
                        r.nextBoolean() ? SimEventLoop.Point.BETWEEN : SimEventLoop.Point.WITHIN,
                        ns,
                        meanwhile);
            }
            case PROXY_KILL -> {
                site.kill(proxySlot);
                again(proxySlot, r);
            }
            case PROXY_TERM -> {
                site.term(proxySlot);
                again(proxySlot, r);
            }
            case PROXY_RELOAD -> site.reload(proxySlot);
            case PROXY_STALL -> site.net.stall(proxySlot.name(), site.scheduler.now() + between(r, 20, 1200));
            case CLIENT_LEAVES -> {
                for (int i = 0; i < 1 + r.nextInt(6); i++) {
                    bad.askAndLeave(
                            kind(r), tenant(r), ClientModel.key(r.nextInt(50)), between(r, 0, 60), r.nextBoolean());
                }
            }
            case CLIENT_RUSH -> {
                int count = 100 + r.nextInt(700);
                for (int i = 0; i < count; i++) {
                    long leavesNs = between(r, 5, 20);
                    String key = RandomVariates.hex(r.nextLong());
                    site.scheduler.after(
                            between(r, 0, 2000),
                            () -> bad.askAndLeave(
                                    "lookup", site.settings.tenants.get(0).name(), key, leavesNs, false));
                }
            }
            case CLIENT_WRITES -> writes(r, 2 + r.nextInt(12), 300);
            case DRAIN_IN_PAUSE -> {
                site.pause(proxySlot, between(r, 1000, 2500));
                site.scheduler.after(between(r, 1, 100), () -> drain(node));
            }
            case DRAIN_WHILE_DIALLING -> {
                site.net.slow(node.name(), between(r, 50, 700));
                site.scheduler.after(between(r, 1, 100), () -> node.cutAll(true));
                site.scheduler.after(between(r, 100, 900), () -> {
                    drain(node);
                    if (r.nextBoolean()) {
                        site.pause(proxySlot, between(r, 900, 2000));
                    }
                });
                site.scheduler.after(between(r, 1000, 3000), () -> site.net.slow(node.name(), 0));
            }
            case STALL_THEN_CUT -> {
                node.pause(between(r, 500, 1500));
                site.scheduler.after(between(r, 450, 1600), () -> node.cutAll(true));
                writes(r, 6, 400);
            }
            case BUSY_TWICE_THEN_WRITES -> {
                node.next(new NodeFault.Busy(between(r, 1, 120)), new NodeFault.Busy(between(r, 1, 120)));
                writes(r, 3 + r.nextInt(8), 200);
            }
            case KEYLESS_WITH_FAULTS -> {
                for (ScriptedNode n : site.nodes) {
                    n.next(nodeFault(r), nodeFault(r));
                }
                for (int i = 0; i < 6; i++) {
                    bad.malformed(
                            proxySlot.listen,
                            "submit",
                            tenant(r),
                            r.nextBoolean() ? ScriptedClient.Flaw.NO_TOKEN : ScriptedClient.Flaw.EMPTY_TOKEN);
                }
            }
            case COLD_RUSH -> coldRush(r);
            case CLIENT_FLAW ->
                bad.malformed(
                        proxySlot.listen,
                        kind(r),
                        tenant(r),
                        ScriptedClient.Flaw.values()[r.nextInt(ScriptedClient.Flaw.values().length)]);
            case CLIENT_HALF -> bad.half(proxySlot.listen, kind(r), tenant(r), 1 + r.nextInt(80));
            case CLIENT_SILENT -> bad.silent(proxySlot.listen, 1 + r.nextInt(20));
            case CLIENT_FLOOD -> {
                RawConnection flood = bad.flood(proxySlot.listen, kind(r), tenant(r), 1 + r.nextInt(200), 700);
                site.scheduler.after(between(r, 100, 1500), () -> flood.reading(true));
            }
            case CLIENT_GARBAGE -> bad.garbage(proxySlot.listen, 1 + r.nextInt(4000));
            case CLIENT_BURST -> {
                for (int i = 0; i < 5 + r.nextInt(40); i++) {
                    site.clients.get(0).askAny();
                }
            }
            case CUT_LINK -> {
                List<Long> links = site.net.links();
                if (!links.isEmpty()) {
                    site.net.cutLink(links.get(r.nextInt(links.size())), r.nextInt(200));
                }
            }
        }
    }

    /** Starts a new node and a client that requests its keys from all proxies before they can learn its capacity. */
    private void coldRush(SplittableRandom r) {
        ScriptedNode fresh = site.node(1);
        fresh.start(site.settings.coldFrom);
        site.discovery.serving(fresh.entry());
        List<String> keys = NewNodeKeys.of(site.nodes, fresh, site.settings, 200);
        for (int i = 0; i < keys.size(); i++) {
            String key = keys.get(i);
            long leavesNs = between(r, 4, 12);
            site.scheduler.after(
                    between(r, 50, 2500),
                    () -> bad.askAndLeave("lookup", site.settings.tenants.get(0).name(), key, leavesNs, false));
        }
    }

    private void writes(SplittableRandom r, int count, long withinMs) {
        for (int i = 0; i < count; i++) {
            String kind = site.settings.kinds.get(1 + r.nextInt(2)).name();
            String tenant = tenant(r);
            String key = ClientModel.key(r.nextInt(50));
            site.scheduler.after(
                    between(r, 0, withinMs), () -> site.clients.get(0).ask(kind, tenant, key));
        }
    }

    private void drain(ScriptedNode node) {
        site.discovery.drain(node.name());
        node.draining(site.scheduler.random().nextBoolean());
    }

    /** Restarts a node with the same address and id; discovery is updated late. */
    private void restart(ScriptedNode node, double share, long downNs) {
        node.restart(share, downNs);
        site.scheduler.after(downNs + 40 * MS, () -> {
            if (node.up()) {
                site.discovery.serving(node.entry());
            }
        });
    }

    private void again(SimulatedSite.ProxySlot proxySlot, SplittableRandom r) {
        boolean old = r.nextBoolean();
        site.scheduler.after(between(r, 50, 5000), () -> {
            if (!proxySlot.up() && old) {
                site.start(proxySlot, 1, site.firstList());
            } else if (!proxySlot.up()) {
                site.start(proxySlot, site.discovery.version(), site.discovery.entries());
            }
        });
    }

    private String kind(SplittableRandom r) {
        return site.settings.kinds.get(r.nextInt(site.settings.kinds.size())).name();
    }

    private String tenant(SplittableRandom r) {
        return site.settings
                .tenants
                .get(r.nextInt(site.settings.tenants.size()))
                .name();
    }

    private static ScriptedDiscovery.Fault discoveryFault(SplittableRandom r) {
        ScriptedDiscovery.Fault[] all = ScriptedDiscovery.Fault.values();
        return all[1 + r.nextInt(all.length - 1)];
    }

    private static NodeFault nodeFault(SplittableRandom r) {
        return switch (r.nextInt(12)) {
            case 0 -> new NodeFault.Stall(between(r, 5, 3000));
            case 1 -> new NodeFault.Never();
            case 2 -> new NodeFault.Twice(r.nextBoolean() ? 0 : between(r, 1, 400));
            case 3 -> new NodeFault.Busy(r.nextBoolean() ? -1 : between(r, 0, 400));
            case 4 -> new NodeFault.Failed(r.nextBoolean());
            case 5 -> new NodeFault.Refused();
            case 6 -> new NodeFault.Says(SAYINGS.get(r.nextInt(SAYINGS.size())));
            case 7, 8 -> new NodeFault.Spoil(NodeFault.How.values()[r.nextInt(NodeFault.How.values().length)]);
            case 9 -> new NodeFault.Reorder(between(r, 1, 100));
            case 10 -> new NodeFault.Drip(1 + r.nextInt(20), between(r, 1, 60));
            default ->
                new NodeFault.Break(
                        NodeFault.When.values()[r.nextInt(NodeFault.When.values().length)], r.nextBoolean());
        };
    }

    private static final List<String> SAYINGS = new ArrayList<>(List.of(
            "EN\r\n",
            "HD\r\n",
            "ERROR\r\n",
            "NS\r\n",
            "SERVER_ERROR\r\n",
            "SERVER_ERROR out of memory storing object\r\n",
            "VA 99999999 Ox\r\n",
            "VA -1 Ox\r\n",
            "VA\r\n",
            "\r\n",
            "SERVER_ERROR busy 400\r\n",
            "CLIENT_ERROR bad data chunk\r\n",
            "EN\r\nEN\r\n"));
}
