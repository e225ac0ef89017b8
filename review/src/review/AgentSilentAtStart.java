package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lists are pushed. A proxy is killed; while it is down, a quarter of the cache nodes begin to drain, and the agent on
 * its machine has that. Then discovery is down for 7.5 s, so that the agent is silent, and the proxy is started again with
 * the list that it last had. Broken, if it sends a draining node anything later than the grace after its start.
 */
final class AgentSilentAtStart extends Case {
    private static final int NODES = 8;
    private static final int DRAINING = 2;
    private static final long OUTAGE_MS = 7_500;
    /** Between two reads of the clients of one proxy. */
    private static final long READ_INTERVAL_MS = 20;
    /** Each time limit of the rules is 50 ms longer on sockets. */
    private static final long SOCKET_SLACK_MS = 50;

    private final ConcurrentLinkedQueue<CacheNode.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final List<CacheNode> nodes = new ArrayList<>();
    private volatile boolean draining;
    private volatile boolean ended;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    public static void main(String[] arguments) throws IOException {
        run(new AgentSilentAtStart(), arguments);
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
            record.line("%s gets %s", arrival.node().id, arrival.line());
            return draining && nodes.indexOf(arrival.node()) < DRAINING; // wants nothing new
        }
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new CacheNode("s-5be2a0" + (10 + i), "127.0.1." + (1 + i), new Node()));
        }
        ListService agent = new ListService(record, "agent", "127.0.2.1");
        String before = Site.list(41, true, nodes, 0);
        agent.list(41, before);
        ProxyProcess proxy = new ProxyProcess(record, root, temporary, "n0", freeAddress("127.0.0.1"));
        Path log = folder.resolve("proxy-n0.log");
        java.nio.file.Files.deleteIfExists(log);
        String settings = Site.settings("automatic");

        proxy.start(agent.address(), settings, before, log);
        Client.greet(proxy.listen, 30_000);
        record.say("the proxy is ready");
        Threads.start("clients", () -> readAlong(proxy.listen));
        Thread.sleep(2000);

        proxy.kill();
        draining = true;
        agent.list(42, Site.list(42, true, nodes, DRAINING));
        Thread.sleep(500);
        if (trouble) {
            agent.silent(true);
        }
        long startedNs = proxy.start(agent.address(), settings, before, log);
        Thread back = Threads.start("discovery", () -> {
            Thread.sleep(OUTAGE_MS);
            if (trouble) {
                agent.silent(false);
            }
        });
        long readyNs = Client.greet(proxy.listen, 30_000);
        record.say("the proxy is ready, %.1f s after its start", (readyNs - startedNs) / 1e9);
        back.join();
        Thread.sleep(3000);
        ended = true;
        if (!proxy.isAlive()) {
            throw new IOException("the proxy has ended");
        }
        proxy.kill();
        return judge(startedNs);
    }

    /** Clients use the proxy only once it has answered {@code mn} with {@code MN} after its start. */
    private void readAlong(String address) throws InterruptedException {
        while (!ended) {
            try {
                Client.greet(address, 30_000);
                try (Client client = new Client(address, 0)) {
                    client.socket.setSoTimeout(5000);
                    while (!ended) {
                        int number = sent.incrementAndGet();
                        String id = "O" + hex(number);
                        client.send(read(randomKey(), id, Site.TENANTS[number % Site.TENANTS.length], 1200));
                        String answer = client.answer();
                        if (answer == null) {
                            throw new IOException("ended");
                        }
                        served.addAndGet(answer.startsWith("VA ") ? 1 : 0);
                        record.line("client: %s answered %s", id, answer);
                        Thread.sleep(READ_INTERVAL_MS);
                    }
                }
            } catch (IOException e) {
                Thread.sleep(50); // killed
            }
        }
    }

    private boolean judge(long startedNs) {
        long latestNs = startedNs + (Site.DRAIN_GRACE_MS + SOCKET_SLACK_MS) * 1_000_000;
        int late = 0;
        int afterStart = 0;
        for (CacheNode.Arrival arrival : arrivals) {
            afterStart += arrival.firstByteNs() > startedNs ? 1 : 0;
            if (arrival.firstByteNs() > latestNs && nodes.indexOf(arrival.node()) < DRAINING) {
                late++;
                record.line(
                        "late: %s to %s, which drains, %.0f ms after the start of the process",
                        arrival.opaque(), arrival.node().id, (arrival.firstByteNs() - startedNs) / 1e6);
            }
        }
        record.say("%d requests sent, %d served; %d attempts since the second start", sent.get(), served.get(), afterStart);
        record.say(
                "%d attempts to draining nodes later than %d ms after the start", late, Site.DRAIN_GRACE_MS + SOCKET_SLACK_MS);
        return late == 0;
    }
}
