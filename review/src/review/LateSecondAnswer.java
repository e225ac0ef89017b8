package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A probe, no case, since the pages do not say which form a late second answer has. One in twenty answers to reads is
 * followed 5 ms later by a second one, {@code SERVER_ERROR busy}. Clients send a read, then a write that must never run
 * twice. Broken, if a write runs at two cache nodes.
 */
final class LateSecondAnswer extends Case {
    private static final int NODES = 8;
    private static final int CLIENTS = 4;
    private static final int SPOILT_ONE_IN = 20;
    private static final long LATE_MS = 5;
    private static final int WAIT_MS = 1200;

    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger secondAnswers = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private volatile boolean ended;

    public static void main(String[] arguments) throws IOException {
        run(new LateSecondAnswer(), arguments);
    }

    private final class Node implements CacheNode.Behaviour {
        @Override
        public long serviceMs(CacheNode.Arrival arrival) {
            return 30;
        }

        @Override
        public int valueBytes(CacheNode.Arrival arrival) {
            return 100;
        }

        @Override
        public boolean onArrival(CacheNode.Arrival arrival) {
            if (arrival.line().startsWith("ms ")) {
                runs.computeIfAbsent(arrival.opaque(), id -> new ArrayList<>()).add(arrival.node().id);
                record.line("%s runs %s", arrival.node().id, arrival.line());
            }
            return false;
        }

        @Override
        public long secondAnswerAfterMs(CacheNode.Arrival arrival) {
            boolean spoilt = trouble
                    && arrival.line().startsWith("mg ")
                    && reads.incrementAndGet() % SPOILT_ONE_IN == 0;
            if (spoilt) {
                secondAnswers.incrementAndGet();
                record.line("%s: a second answer to %s follows", arrival.node().id, arrival.opaque());
            }
            return spoilt ? LATE_MS : -1;
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
        for (int i = 0; i < CLIENTS; i++) {
            String tenant = Site.TENANTS[1 + i];
            Threads.start("client", () -> readAndCharge(proxy.listen, tenant));
        }
        Thread.sleep(15_000);
        ended = true;
        Thread.sleep(500);
        proxy.kill();
        int twice = 0;
        for (Map.Entry<String, List<String>> write : runs.entrySet()) {
            if (write.getValue().size() > 1) {
                twice++;
                record.line("twice: %s at %s", write.getKey(), write.getValue());
            }
        }
        record.say(
                "%d reads, %d second answers, %d charges run, %d answered with a receipt; %d ran more than once",
                reads.get(), secondAnswers.get(), runs.size(), served.get(), twice);
        return twice == 0;
    }

    private void readAndCharge(String address, String tenant) throws IOException {
        try (Client client = new Client(address, 0)) {
            client.socket.setSoTimeout(5000);
            while (!ended) {
                String key = randomKey();
                client.send(read(key, "O" + hex(ids.incrementAndGet()), tenant, WAIT_MS));
                client.answer();
                String id = "O" + hex(ids.incrementAndGet());
                client.send("ms " + key + " 5 " + id + " Pc=usage-charge,t=" + tenant + ",d=" + WAIT_MS + "\r\nhello\r\n");
                String answer = client.answer();
                record.line("%s answered %s", id, answer);
                served.addAndGet(answer != null && answer.startsWith("HD ") ? 1 : 0);
            }
        }
    }
}
