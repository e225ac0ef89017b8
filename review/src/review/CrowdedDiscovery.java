package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Lists are asked for. A probe of two open points of issue 33, not a case: {@code start}: a proxy is started 7 s after
 * cache nodes began to drain, with an older list, at a crowded discovery; {@code silence}: its watch falls silent, cache
 * nodes begin to drain, and discovery turns two calls (or as many as told) away after 2 s each.
 */
final class CrowdedDiscovery extends Case {
    private static final int NODES = 8;
    private static final int DRAINING = 2;
    private static final long TOLD_AFTER_MS = 6_000;
    private static final long SOCKET_SLACK_MS = 50;

    private final ConcurrentLinkedQueue<CacheNode.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final List<CacheNode> nodes = new ArrayList<>();
    private volatile boolean ended;
    private boolean start;
    private int turnedAway = 2;

    public static void main(String[] arguments) throws IOException {
        CrowdedDiscovery probe = new CrowdedDiscovery();
        probe.start = arguments[1].equals("start");
        probe.turnedAway = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 2;
        run(probe, arguments);
    }

    private final class Node implements CacheNode.Behaviour {
        @Override
        public long serviceMs(CacheNode.Arrival arrival) {
            return 20;
        }

        @Override
        public int valueBytes(CacheNode.Arrival arrival) {
            return 100;
        }

        @Override
        public boolean onArrival(CacheNode.Arrival arrival) {
            arrivals.add(arrival);
            return false;
        }
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new CacheNode("s-5be2a0" + (10 + i), "127.0.1." + (1 + i), new Node()));
        }
        ListService discovery = new ListService(record, "discovery", "127.0.2.1");
        String before = Site.list(41, true, nodes, 0);
        discovery.list(41, before);
        ProxyProcess proxy = new ProxyProcess(record, root, temporary, "n0", freeAddress("127.0.0.1"));
        Path log = folder.resolve("proxy-n0.log");
        Files.deleteIfExists(log);
        long toldNs;
        if (start) {
            discovery.list(42, Site.list(42, true, nodes, DRAINING));
            Thread.sleep(TOLD_AFTER_MS + 1000);
            discovery.turnAwayNext(trouble ? 3 : 0);
            toldNs = proxy.start(discovery.address(), Site.settings("subscribe"), before, log);
            Client.greet(proxy.listen, 30_000);
            record.say("the proxy is ready");
        } else {
            proxy.start(discovery.address(), Site.settings("subscribe"), before, log);
            Client.greet(proxy.listen, 30_000);
            Thread.sleep(3000);
            if (trouble) {
                discovery.silenceOpenWatches();
                discovery.turnAwayNext(turnedAway);
            }
            toldNs = System.nanoTime() + TOLD_AFTER_MS * 1_000_000;
            discovery.list(42, Site.list(42, true, nodes, DRAINING));
        }
        Threads.start("client", () -> readAlong(proxy.listen));
        Thread.sleep(15_000);
        ended = true;
        proxy.kill();
        long latestNs = toldNs + (Site.DRAIN_GRACE_MS + SOCKET_SLACK_MS) * 1_000_000;
        int late = 0;
        double lastMs = 0;
        for (CacheNode.Arrival arrival : arrivals) {
            if (arrival.firstByteNs() > latestNs && nodes.indexOf(arrival.node()) < DRAINING) {
                late++;
                lastMs = Math.max(lastMs, (arrival.firstByteNs() - toldNs) / 1e6);
            }
        }
        record.say("%d attempts, %d to draining nodes after the grace, the last %.0f ms after told", arrivals.size(), late, lastMs);
        return late == 0;
    }

    private void readAlong(String address) throws IOException, InterruptedException {
        try (Client client = new Client(address, 0)) {
            client.socket.setSoTimeout(5000);
            for (int number = 1; !ended; number++) {
                client.send(read(randomKey(), "O" + hex(number), Site.TENANTS[number % Site.TENANTS.length], 1200));
                if (client.answer() == null) {
                    return;
                }
                Thread.sleep(20);
            }
        }
    }
}
