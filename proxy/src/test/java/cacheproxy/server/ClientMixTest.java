package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A short soak: clients that misbehave in ways drawn from a seed come and go for a while beside clients that send one
 * request at a time, each of which must get its one answer in time. A longer run is started by hand: {@code mvn test
 * -pl proxy -Dtest=ClientMixTest -Dsoak.seconds=600 -Dsoak.seed=7}.
 */
@Timeout(3600)
class ClientMixTest {
    private static final int SECONDS = Integer.getInteger("soak.seconds", 20);
    private static final long SEED = Long.getLong("soak.seed", 1);
    private static final long MEMORY_LIMIT_BYTES = 192L << 20;
    private static final int MISBEHAVING_CLIENTS = 300;
    private static final int SOUND_CLIENTS = 6;
    private static final int WAIT_MS = 1200;
    /** Half a second after its time a request without an answer is lost; each limit is 50 ms longer on sockets. */
    private static final int LOST_AFTER_MS = WAIT_MS + 550;

    private static final int SMALL_RECEIVE_BUFFER = 4096;
    private static final String LARGE_VALUE = "v".repeat(64 << 10);
    private static final String LONG_KEY = "k".repeat(240);

    /** What a misbehaving client does with its connection. */
    private enum Behaviour {
        SENDS_MANY_SMALL_READS,
        LEAVES_WITHOUT_READING,
        TAKES_NOTHING,
        STOPS_INSIDE_A_COMMAND,
        STOPS_INSIDE_A_VALUE,
        SENDS_LARGE_WRITES
    }

    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicReference<String> lost = new AtomicReference<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private InetSocketAddress proxy;

    private boolean goesOn() {
        return ended.getCount() > 0;
    }

    private String read(String idStart, String key) {
        return "mg " + key + Integer.toHexString(ids.incrementAndGet()) + " v O" + idStart + ids.incrementAndGet()
                + " Pc=lookup,t=acme,d=" + WAIT_MS + "\r\n";
    }

    private String write() {
        String id = "w" + ids.incrementAndGet();
        return "ms 7f3a " + LARGE_VALUE.length() + " O" + id + " Pc=submit,t=acme,d=" + WAIT_MS + ",k=" + id + "\r\n"
                + LARGE_VALUE + "\r\n";
    }

    private static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void misbehave(Random random) {
        while (goesOn()) {
            Behaviour behaviour = Behaviour.values()[random.nextInt(Behaviour.values().length)];
            try (Socket socket = new Socket()) {
                if (behaviour == Behaviour.TAKES_NOTHING) {
                    socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
                }
                socket.connect(proxy);
                socket.setSoTimeout(2 * LOST_AFTER_MS);
                play(behaviour, new Peer(socket), random);
            } catch (IOException e) {
                // refused, reset or closed: the proxy may end what misbehaves
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void play(Behaviour behaviour, Peer client, Random random) throws IOException, InterruptedException {
        int stayMs = 100 + random.nextInt(3000);
        int count = 1 + random.nextInt(250);
        switch (behaviour) {
            case SENDS_MANY_SMALL_READS -> {
                sendReads(client, "s", LONG_KEY, count);
                for (int i = 0; i < count && client.line() != null; i++) {
                    // takes each answer
                }
            }
            case LEAVES_WITHOUT_READING -> sendReads(client, "s", LONG_KEY, count);
            case TAKES_NOTHING -> {
                sendReads(client, "l", "7f3a", Math.min(count, 100));
                ended.await(stayMs, TimeUnit.MILLISECONDS);
            }
            case STOPS_INSIDE_A_COMMAND -> {
                client.send(read("s", LONG_KEY).substring(0, 100));
                ended.await(stayMs, TimeUnit.MILLISECONDS);
            }
            case STOPS_INSIDE_A_VALUE -> {
                client.send(write().substring(0, 60_000));
                ended.await(stayMs, TimeUnit.MILLISECONDS);
            }
            case SENDS_LARGE_WRITES -> {
                for (int i = 0; i < 20; i++) {
                    client.send(write());
                }
            }
        }
    }

    private void sendReads(Peer client, String idStart, String key, int count) throws IOException {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append(read(idStart, key));
        }
        client.send(commands.toString());
    }

    /** Sends one read after the other; the first without a whole answer in time ends the test. */
    private void askOneAtATime(ProxyChildProcess child) {
        String request = "";
        try {
            Peer client = child.connect();
            client.socket.setSoTimeout(LOST_AFTER_MS);
            while (goesOn()) {
                request = read("s", "7f3a");
                client.send(request);
                String line = client.line();
                if (line == null) {
                    throw new IOException("the connection has ended");
                }
                if (line.startsWith("VA ")) {
                    client.expect("1");
                }
                answers.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            lost.compareAndSet(null, request.strip() + ": " + e);
            ended.countDown();
        }
    }

    /** Guards against misbehaving clients that use up what the requests of other clients need, in any mixture. */
    @Test
    void answersSoundClientsBesideAnyMixtureOfMisbehavingOnes() throws Exception {
        Peer.Listener discovery = new Peer.Listener();
        HoldingNode node = new HoldingNode(id -> id.startsWith("Ol") ? LARGE_VALUE : "1");
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.jvmOptions = ProxyChildProcess.deployedJvmOptions();
        String list = ProxyFixture.endpointList(1, true, ProxyFixture.listEntry(0, "SERVING", node.listener));
        try (discovery;
                node;
                ProxyChildProcess child = options.with(discovery, list)) {
            ProxyFixture.sendChunks(ProxyFixture.watch(discovery), list);
            child.connectWhenReady();
            proxy = child.address;
            List<Thread> sound = new ArrayList<>();
            for (int i = 0; i < SOUND_CLIENTS; i++) {
                sound.add(start("sound client", () -> askOneAtATime(child)));
            }
            for (int i = 0; i < MISBEHAVING_CLIENTS; i++) {
                Random random = new Random(SEED * MISBEHAVING_CLIENTS + i);
                start("misbehaving client", () -> misbehave(random));
            }
            ended.await(SECONDS, TimeUnit.SECONDS);
            ended.countDown();
            for (Thread thread : sound) {
                thread.join();
            }
            assertEquals(
                    null,
                    lost.get(),
                    "with seed " + SEED + " after " + answers.get() + " answers: " + child.errorLines);
            long peakBytes = child.peakMemoryBytes();
            assertTrue(peakBytes < MEMORY_LIMIT_BYTES, peakBytes + " bytes of memory with seed " + SEED);
            child.signal("TERM");
            assertEquals(0, child.awaitExit(10));
        }
    }
}
