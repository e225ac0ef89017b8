package cacheproxy.lab.scenario;

import cacheproxy.lab.standin.EndpointEntry;
import cacheproxy.lab.standin.ScriptedNode;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Operations on a simulated site that scenarios are composed of: nodes and proxies start, stop and fail, and discovery
 * is updated late.
 */
abstract class Scenario {
    static final long MS = SimulatedSite.MS;
    /** Time from the start of a proxy process until it listens, in ms. */
    double proxyStartMs = 1_000;

    private static final long LOOK_MS = 50;

    /** Set by the subclass. */
    SimulatedSite site;
    /** The random numbers of the faults. */
    final SplittableRandom chance;

    Scenario(SplittableRandom chance) {
        this.chance = chance;
    }

    /** Adds a cold node, which is listed later. */
    abstract ScriptedNode addNode();

    void after(double seconds, Runnable what) {
        site.scheduler.after((long) (seconds * 1e9), what);
    }

    double between(double from, double to) {
        return from + (to - from) * chance.nextDouble();
    }

    long ns(double fromMs, double toMs) {
        return (long) (between(fromMs, toMs) * MS);
    }

    <T> T anyOf(List<T> of) {
        return of.get(chance.nextInt(of.size()));
    }

    /** A random node that is up, or null. */
    ScriptedNode anyServing() {
        List<ScriptedNode> up = site.nodes.stream().filter(ScriptedNode::up).toList();
        return up.isEmpty() ? null : anyOf(up);
    }

    /** Lists a started node after a delay. */
    void listLater(ScriptedNode n) {
        after(between(1, 2.5), () -> {
            if (n.up()) {
                site.discovery.serving(n.entry());
            }
        });
    }

    /** Removes a dead node from the endpoint list after a delay, unless it is back by then. */
    void delistLater(ScriptedNode n) {
        after(between(0.64, 4), () -> {
            if (!n.up()) {
                site.discovery.remove(n.name());
            }
        });
    }

    /** Kills a node and starts it again cold, with the same address and id. */
    void restartCold(ScriptedNode n, double downSeconds) {
        n.stop();
        delistLater(n);
        after(downSeconds, () -> {
            if (!n.up()) {
                n.start(between(0.18, 0.35));
                listLater(n);
            }
        });
    }

    /** Kills a node for good and adds another. */
    void replaceNode(ScriptedNode n) {
        n.stop();
        delistLater(n);
        after(between(3, 6), this::addNode);
    }

    /** Isolates a node from the network for a time; it comes back warm. */
    void isolateNode(ScriptedNode n, double seconds) {
        site.net.isolate(n.name(), true);
        double noticed = delistDelayS();
        if (noticed < seconds) {
            after(noticed, () -> site.discovery.remove(n.name()));
        }
        after(seconds, () -> {
            site.net.isolate(n.name(), false);
            if (noticed < seconds) {
                listLater(n);
            }
        });
    }

    /** Delay in s until a silent node is removed from the endpoint list. */
    double delistDelayS() {
        return between(4.2, 12);
    }

    /** Drains a node, lists it as draining, stops it and starts it again cold. */
    void drainAndRestart(ScriptedNode n) {
        n.draining(true);
        after(between(0.2, 1), () -> site.discovery.drain(n.name()));
        after(between(3, 5), () -> {
            n.stop();
            site.discovery.remove(n.name());
            after(between(1, 3), () -> {
                if (!n.up()) {
                    n.start(between(0.18, 0.35));
                    listLater(n);
                }
            });
        });
    }

    /** Periodically removes nodes that failed from overload from the endpoint list; they stay down. */
    void delistFailedNodes() {
        for (ScriptedNode n : site.nodes) {
            if (n.fallen() && site.discovery.entries().stream().anyMatch(e -> e.id().equals(n.name()))) {
                delistLater(n);
            }
        }
        site.scheduler.after(5_000 * MS, this::delistFailedNodes);
    }

    /** Restarts a proxy by SIGTERM; the new process starts with the current endpoint list. */
    void restartGracefully(SimulatedSite.ProxySlot proxySlot) {
        site.term(proxySlot);
        startWhenDown(proxySlot);
    }

    void killAndRestart(SimulatedSite.ProxySlot proxySlot) {
        site.kill(proxySlot);
        startWhenDown(proxySlot);
    }

    private void startWhenDown(SimulatedSite.ProxySlot proxySlot) {
        if (proxySlot.up()) {
            site.scheduler.after(LOOK_MS * MS, () -> startWhenDown(proxySlot));
            return;
        }
        long version = site.discovery.version();
        List<EndpointEntry> known = site.discovery.entries();
        site.scheduler.after((long) (proxyStartMs * MS), () -> site.start(proxySlot, version, known));
    }

    /** Invalidates a share of the cached copies, of the same keys everywhere. */
    void invalidateCaches(double share) {
        long salt = chance.nextLong();
        site.nodes.forEach(n -> n.flush(share, salt));
    }
}
