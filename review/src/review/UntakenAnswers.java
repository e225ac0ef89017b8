package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send many reads at once and take no answer. Good clients, on connections of their own, ask one read at a
 * time and take each answer at once. Broken, if the proxy ends a good client's connection with no whole answer to the
 * request on it.
 */
final class UntakenAnswers extends Case {
    private static final int NODES = 8;
    private static final int VALUE_BYTES = 64 << 10;
    private static final int GOOD_CLIENTS = 10;
    private static final int MAX_BAD_CLIENTS = Integer.getInteger("bad", 40);
    private static final int BAD_READS = Integer.getInteger("reads", 100);
    private static final int BAD_RECEIVE_BUFFER = 4096;
    private static final int BAD_STAY_MS = Integer.getInteger("stay", 3000);
    private static final int WAIT_MS = 1200;

    private final List<CacheNode> nodes = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger otherwise = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) throws IOException {
        run(new UntakenAnswers(), arguments);
    }

    private static final class Node implements CacheNode.Behaviour {
        @Override
        public long serviceMs(CacheNode.Arrival arrival) {
            return Integer.getInteger("service", 60);
        }

        @Override
        public int valueBytes(CacheNode.Arrival arrival) {
            return VALUE_BYTES;
        }

        @Override
        public boolean onArrival(CacheNode.Arrival arrival) {
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
        List<Thread> good = new ArrayList<>();
        for (int i = 0; i < GOOD_CLIENTS; i++) {
            String tenant = Site.TENANTS[1 + i % (Site.TENANTS.length - 1)];
            good.add(Threads.start("good client " + i, () -> readAlong(proxy.listen, tenant)));
        }
        Thread.sleep(2000);
        List<Client> bad = new ArrayList<>();
        if (trouble) {
            for (int i = 0; i < MAX_BAD_CLIENTS; i++) {
                bad.add(sendMuch(proxy.listen, i));
                Client going = bad.get(i);
                Threads.start("bad client", () -> {
                    Thread.sleep(BAD_STAY_MS);
                    going.close();
                });
                Thread.sleep(Integer.getInteger("gap",200));
            }
        } else {
            Thread.sleep(200L * MAX_BAD_CLIENTS);
        }
        Thread.sleep(5000);
        ended = true;
        for (Thread thread : good) {
            thread.join(5000);
        }
        for (Client client : bad) {
            client.close();
        }
        if (!proxy.isAlive()) {
            record.say("the proxy has ended with code %d", proxy.exitCode());
            return false;
        }
        proxy.kill();
        record.say(
                "good clients: %d reads sent, %d served, %d refused or failed, %d ended with no answer",
                sent.get(), served.get(), otherwise.get(), lost.get());
        return lost.get() == 0;
    }

    private Client sendMuch(String address, int number) throws IOException {
        Client client = new Client(address, BAD_RECEIVE_BUFFER);
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < BAD_READS; i++) {
            commands.append(read(randomKey(), "O" + hex(ids.incrementAndGet()), Site.TENANTS[0], WAIT_MS));
        }
        client.send(commands.toString());
        record.say("bad client %d has sent %d reads at once and takes no answer", number, BAD_READS);
        return client;
    }

    private void readAlong(String address, String tenant) throws InterruptedException, IOException {
        Client client = new Client(address, 0);
        while (!ended) {
            String id = "O" + hex(ids.incrementAndGet());
            String answer;
            sent.incrementAndGet();
            long sentNs = System.nanoTime();
            try {
                client.socket.setSoTimeout(WAIT_MS + 600);
                client.send(read(randomKey(), id, tenant, WAIT_MS));
                answer = client.answer();
            } catch (IOException e) {
                answer = null;
                record.say("%s: %s", id, e);
            }
            if (answer == null) {
                lost.incrementAndGet();
                record.say("%s: no answer, the connection has ended %.1f ms after it was sent", id, (System.nanoTime() - sentNs) / 1e6);
                client.close();
                client = new Client(address, 0);
            } else {
                (answer.startsWith("VA ") ? served : otherwise).incrementAndGet();
                record.line("%s answered %s after %.1f ms", id, answer, (System.nanoTime() - sentNs) / 1e6);
            }
            Thread.sleep(100);
        }
        client.close();
    }
}
