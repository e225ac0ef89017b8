package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients send many reads at once, each on one connection, and take every answer. Beside them a few clients ask
 * one read at a time. Broken, if one of these few gets no answer by half a second after its time, or if its connection
 * ends without one.
 */
final class ManyCommands extends Case {
    private static final int NODES = 8;
    private static final int CLIENTS = 300;
    private static final int READS_AT_ONCE = 250;
    private static final int KEY_LENGTH = 250;
    private static final int FEW = 5;
    private static final int WAIT_MS = 1200;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets. */
    private static final int LOST_AFTER_MS = WAIT_MS + 500 + 50;

    private static final long WATCHED_MS = 20_000;

    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answersToMany = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) throws IOException {
        run(new ManyCommands(), arguments);
    }

    private static final class Node implements CacheNode.Behaviour {
        @Override
        public long serviceMs(CacheNode.Arrival arrival) {
            return 60;
        }

        @Override
        public int valueBytes(CacheNode.Arrival arrival) {
            return 100;
        }

        @Override
        public boolean onArrival(CacheNode.Arrival arrival) {
            return false;
        }
    }

    @Override
    boolean play() throws Exception {
        List<CacheNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new CacheNode("s-5be2a0" + (10 + i), "127.0.1." + (1 + i), new Node()));
        }
        ListService discovery = new ListService(record, "discovery", "127.0.2.1");
        String list = Site.list(41, true, nodes, 0);
        discovery.list(41, list);
        ProxyProcess proxy = new ProxyProcess(record, root, temporary, "n0", freeAddress("127.0.0.1"));
        Path log = folder.resolve("proxy-n0.log");
        Files.deleteIfExists(log);
        proxy.start(discovery.address(), Site.settings("subscribe"), list, log);
        Client.greet(proxy.listen, 30_000);
        record.say("the proxy is ready");
        List<Thread> few = new ArrayList<>();
        for (int i = 0; i < FEW; i++) {
            String tenant = Site.TENANTS[1 + i % (Site.TENANTS.length - 1)];
            few.add(Threads.start("one of the few", () -> askOneAtATime(proxy.listen, tenant)));
        }
        Thread.sleep(2000);
        long beganNs = System.nanoTime();
        if (trouble) {
            for (int i = 0; i < CLIENTS; i++) {
                sendMany(proxy.listen);
            }
            record.say("%d clients have begun to send %d reads each", CLIENTS, READS_AT_ONCE);
        }
        Threads.sleepUntil(beganNs + WATCHED_MS * 1_000_000);
        ended = true;
        for (Thread thread : few) {
            thread.join(2 * LOST_AFTER_MS);
        }
        if (!proxy.isAlive()) {
            record.say("the proxy has ended with code %d", proxy.exitCode());
            return false;
        }
        proxy.kill();
        record.say("clients that send many at once: %d answers", answersToMany.get());
        record.say(
                "clients that ask one at a time: %d reads sent, %d answered in time, %d lost",
                sent.get(), answered.get(), lost.get());
        for (String line : Files.readAllLines(log)) {
            if (line.contains("stalled")) {
                record.say("log of the proxy: %s", line);
            }
        }
        return lost.get() == 0;
    }

    private void sendMany(String address) throws IOException {
        Client client = new Client(address, 0);
        StringBuilder commands = new StringBuilder();
        String keyStart = "k".repeat(KEY_LENGTH - 16);
        for (int i = 0; i < READS_AT_ONCE; i++) {
            commands.append(read(keyStart + randomKey(), "O" + hex(ids.incrementAndGet()), Site.TENANTS[0], WAIT_MS));
        }
        Threads.start("sends many", () -> {
            try {
                client.send(commands.toString());
            } catch (IOException e) {
                record.line("a client that sends many: %s", e);
            }
        });
        Threads.start("takes answers", () -> {
            try {
                while (client.answer() != null) {
                    answersToMany.incrementAndGet();
                }
            } catch (IOException e) {
                record.line("a client that sends many: %s", e);
            }
        });
    }

    private void askOneAtATime(String address, String tenant) throws InterruptedException, IOException {
        Client client = new Client(address, 0);
        while (!ended) {
            String id = "O" + hex(ids.incrementAndGet());
            String answer = null;
            String end = "the connection has ended";
            long sentNs = System.nanoTime();
            try {
                client.socket.setSoTimeout(LOST_AFTER_MS);
                client.send(read(randomKey(), id, tenant, WAIT_MS));
                sent.incrementAndGet();
                answer = client.answer();
            } catch (IOException e) {
                end = e.toString();
            }
            double afterMs = (System.nanoTime() - sentNs) / 1e6;
            if (answer != null && afterMs <= LOST_AFTER_MS) {
                answered.incrementAndGet();
                record.line("%s answered %s after %.1f ms", id, answer, afterMs);
            } else {
                lost.incrementAndGet();
                record.say("%s lost: %s, %.1f ms after it was sent", id, answer == null ? end : answer, afterMs);
                client.close();
                client = new Client(address, 0);
            }
            Thread.sleep(100);
        }
        client.close();
    }
}
