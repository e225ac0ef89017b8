package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Bad clients send many reads at once and go: each closes its connection as soon as all is written. Broken, if an
 * attempt for one of these reads begins later than 0.1 s after the close.
 */
final class ClientGone extends Case {
    private static final int NODES = 8;
    private static final int BAD_CLIENTS = 8;
    private static final int READS = 1500;
    private static final int WAIT_MS = 1200;
    /** The 0.1 s of the rule, and 50 ms by which each time limit is longer on sockets. */
    private static final long LIMIT_MS = 150;

    private final List<CacheNode> nodes = new ArrayList<>();
    private final ConcurrentLinkedQueue<CacheNode.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> closedNs = new ConcurrentHashMap<>();
    private int ids;

    public static void main(String[] arguments) throws IOException {
        run(new ClientGone(), arguments);
    }

    private final class Node implements CacheNode.Behaviour {
        @Override
        public long serviceMs(CacheNode.Arrival arrival) {
            return 300;
        }

        @Override
        public int valueBytes(CacheNode.Arrival arrival) {
            return 100;
        }

        @Override
        public boolean onArrival(CacheNode.Arrival arrival) {
            arrivals.add(arrival);
            record.line("%s gets %s", arrival.node().id, arrival.line());
            return false;
        }
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new CacheNode("s-5be2a0" + (10 + i), "127.0.1." + (1 + i), new Node()));
        }
        ListService discovery = new ListService(record, "discovery", "127.0.2.1");
        String list = Site.list(41, true, nodes, 0);
        discovery.list(41, list);
        ProxyProcess proxy = new ProxyProcess(record, root, temporary, "n0", freeAddress("127.0.0.1"));
        Path log = folder.resolve("proxy-n0.log");
        java.nio.file.Files.deleteIfExists(log);
        proxy.start(discovery.address(), Site.settings("subscribe"), list, log);
        Client.greet(proxy.listen, 30_000);
        record.say("the proxy is ready");
        warmUp(proxy.listen);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            sendMuch(proxy.listen, i);
            Thread.sleep(2000);
        }
        Thread.sleep(2000);
        if (!proxy.isAlive()) {
            throw new IOException("the proxy has ended");
        }
        proxy.kill();
        return judge();
    }

    /** A client that sends as many reads and takes every answer. */
    private void warmUp(String address) throws IOException, InterruptedException {
        try (Client client = new Client(address, 0)) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < READS; i++) {
                commands.append(read(randomKey(), "O" + hex(++ids), Site.TENANTS[0], WAIT_MS));
            }
            Threads.start("sends", () -> client.send(commands.toString()));
            for (int i = 0; i < READS; i++) {
                client.answer();
            }
        }
        Thread.sleep(1000);
    }

    private void sendMuch(String address, int number) throws IOException, InterruptedException {
        StringBuilder commands = new StringBuilder();
        List<String> opaques = new ArrayList<>();
        for (int i = 0; i < READS; i++) {
            String opaque = "O" + hex(++ids);
            opaques.add(opaque);
            commands.append(read(randomKey(), opaque, Site.TENANTS[number % Site.TENANTS.length], WAIT_MS));
        }
        Client client = new Client(address, 0);
        client.send(commands.toString());
        if (!trouble) {
            int answers = 0;
            while (answers < READS && client.answer() != null) {
                answers++;
            }
            record.say("client %d has %d answers to %d reads", number, answers, READS);
        }
        client.close();
        long now = System.nanoTime();
        opaques.forEach(opaque -> closedNs.put(opaque, now));
        record.say("client %d has closed its connection, %d reads (%d bytes) sent", number, READS, commands.length());
    }

    private boolean judge() {
        int late = 0;
        double latestMs = 0;
        for (CacheNode.Arrival arrival : arrivals) {
            Long closed = closedNs.get(arrival.opaque());
            double afterMs = closed == null ? 0 : (arrival.firstByteNs() - closed) / 1e6;
            if (afterMs > LIMIT_MS) {
                late++;
                latestMs = Math.max(latestMs, afterMs);
                record.line("late: %s at %s, %.1f ms after its client closed", arrival.opaque(), arrival.node().id, afterMs);
            }
        }
        record.say(
                "%d attempts in all; %d began more than %d ms after their client closed, the last one %.1f ms after",
                arrivals.size(), late, LIMIT_MS, latestMs);
        return late == 0;
    }
}
