package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send many reads at once, take no answer, and all of them are gone within 6 s: bad clients, or clients whose machine was cut
 * off. Beside them other clients, on connections of their own, ask one read at a time and take each answer at once.
 * Broken, if one of these others gets no whole answer by half a second after its time, or if the proxy ends its
 * connection without one.
 */
final class UntakenAnswers extends Case {
    private static final int NODES = 8;
    /** The longest value that the protocol page allows. */
    private static final int VALUE_BYTES = 64 << 10;

    private static final int SOUND_CLIENTS = 15;
    private static final int BAD_CLIENTS = 140;
    /** What each bad client sends at once: the first ones this many reads, the others fewer. */
    private static final int FIRST_BAD_READS = 128;

    private static final int FIRST_BAD_CLIENTS = 16;
    private static final int BAD_READS = 55;
    private static final long BAD_INTERVAL_MS = 40;
    /** From the first one's coming until all are gone. STANDING: for 6 s a zone is partitioned. */
    private static final long BAD_GONE_AFTER_MS = 5_900;
    /** A client that takes nothing holds little in its own buffer. */
    private static final int BAD_RECEIVE_BUFFER = 4096;

    private static final int WAIT_MS = 1200;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets. */
    private static final int LOST_AFTER_MS = WAIT_MS + 500 + 50;

    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedOrFailed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) throws IOException {
        run(new UntakenAnswers(), arguments);
    }

    private static final class Node implements CacheNode.Behaviour {
        @Override
        public long serviceMs(CacheNode.Arrival arrival) {
            return 60;
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
        List<Thread> sound = new ArrayList<>();
        for (int i = 0; i < SOUND_CLIENTS; i++) {
            String tenant = Site.TENANTS[1 + i % (Site.TENANTS.length - 1)];
            sound.add(Threads.start("sound client", () -> askOneAtATime(proxy.listen, tenant)));
        }
        Thread.sleep(2000);
        long beganNs = System.nanoTime();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            if (trouble) {
                sendManyAndTakeNothing(proxy.listen, i, beganNs);
            }
            Threads.sleepUntil(beganNs + (i + 1) * BAD_INTERVAL_MS * 1_000_000);
        }
        Thread.sleep(3000);
        ended = true;
        for (Thread thread : sound) {
            thread.join(2 * LOST_AFTER_MS);
        }
        if (!proxy.isAlive()) {
            record.say("the proxy has ended with code %d", proxy.exitCode());
            return false;
        }
        proxy.kill();
        record.say(
                "sound clients: %d reads sent, %d served, %d refused or failed, %d lost",
                sent.get(), served.get(), refusedOrFailed.get(), lost.get());
        return lost.get() == 0;
    }

    private void sendManyAndTakeNothing(String address, int number, long beganNs) throws IOException {
        Client client = new Client(address, BAD_RECEIVE_BUFFER);
        StringBuilder commands = new StringBuilder();
        int reads = number < FIRST_BAD_CLIENTS ? FIRST_BAD_READS : BAD_READS;
        for (int i = 0; i < reads; i++) {
            commands.append(read(randomKey(), "O" + hex(ids.incrementAndGet()), Site.TENANTS[0], WAIT_MS));
        }
        client.send(commands.toString());
        record.line("bad client %d has sent %d reads at once and takes no answer", number, reads);
        Threads.start("bad client", () -> {
            Threads.sleepUntil(beganNs + BAD_GONE_AFTER_MS * 1_000_000);
            client.close();
            record.line("bad client %d has gone", number);
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
            if (answer == null || afterMs > LOST_AFTER_MS) {
                lost.incrementAndGet();
                record.say("%s lost: %s, %.1f ms after it was sent", id, answer == null ? end : answer, afterMs);
                client.close();
                client = new Client(address, 0);
            } else {
                (answer.startsWith("VA ") ? served : refusedOrFailed).incrementAndGet();
                record.line("%s answered %s after %.1f ms", id, answer, afterMs);
            }
            Thread.sleep(50);
        }
        client.close();
    }
}
