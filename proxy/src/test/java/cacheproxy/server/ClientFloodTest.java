package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * All client connections that the descriptors allow send more than the proxy may take at once. It runs as a process
 * with the memory of the deploy file, and answers a client beside them.
 */
@Timeout(120)
class ClientFloodTest {
    /** The deployment's limits: 192 MB and 1,024 descriptors, of which clients get 488. */
    private static final long MEMORY_LIMIT_BYTES = 192L << 20;

    private static final int FLOODING_CLIENTS = 480;
    private static final int READS_AT_ONCE = 250;
    private static final int WAIT_MS = 1200;
    /** Half a second after its time a request without an answer is lost; each limit is 50 ms longer on sockets. */
    private static final int LOST_AFTER_MS = WAIT_MS + 550;

    private static final String LONG_KEY = "k".repeat(242);

    @TempDir
    private Path folder;

    private Peer.Listener discovery;
    private Peer watch;
    /** Sends the empty line that discovery sends while nothing changes; without it the proxy gives the watch up. */
    private final ScheduledExecutorService heartbeat = Executors.newSingleThreadScheduledExecutor();

    private HoldingNode node;
    private HoldingNode drainingNode;
    private ProxyChildProcess child;
    private Peer other;
    private int otherReads;

    @BeforeEach
    void open() throws Exception {
        discovery = new Peer.Listener();
        node = new HoldingNode("1");
        drainingNode = new HoldingNode("1");
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.jvmOptions = ProxyChildProcess.deployedJvmOptions();
        options.env = Map.of("LB_CONTROL", controlSocket().toString(), "LB_SECRET", "s3cret");
        child = options.with(discovery, list(1, "SERVING"));
        watch = ProxyFixture.watch(discovery);
        sendOnWatch(list(1, "SERVING"));
        heartbeat.scheduleAtFixedRate(() -> sendOnWatch(""), 500, 500, TimeUnit.MILLISECONDS);
        other = child.connectWhenReady();
        other.socket.setSoTimeout(LOST_AFTER_MS);
        answerToOther(); // a connection that was used again is not closed to make room
    }

    private synchronized void sendOnWatch(String line) {
        try {
            ProxyFixture.sendChunks(watch, line);
        } catch (IOException e) {
            // the proxy has been moved to another service, or was killed
        }
    }

    @AfterEach
    void close() throws IOException {
        heartbeat.shutdownNow();
        child.close();
        node.close();
        drainingNode.close();
        discovery.close();
    }

    private Path controlSocket() {
        return folder.resolve("n0.sock");
    }

    private String list(int version, String stateOfDrainingNode) {
        return ProxyFixture.endpointList(
                version,
                true,
                ProxyFixture.listEntry(0, "SERVING", node.listener),
                ProxyFixture.listEntry(1, stateOfDrainingNode, drainingNode.listener));
    }

    /** One read with a long key; the node holds its answer. */
    private static String heldRead(int client, int number) {
        return "mg " + LONG_KEY + Integer.toHexString(0x1000000 + client * READS_AT_ONCE + number) + " v "
                + HoldingNode.HELD + client + "x" + number + " Pc=lookup,t=acme,d=" + WAIT_MS + "\r\n";
    }

    private static String floodOf(int client) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < READS_AT_ONCE; i++) {
            commands.append(heldRead(client, i));
        }
        return commands.toString();
    }

    /** Sends on a thread of its own, because the proxy does not read all of it. */
    private static void sendInBackground(Peer client, String commands, CountDownLatch begun) {
        Thread sender = new Thread(
                () -> {
                    begun.countDown();
                    try {
                        client.send(commands);
                    } catch (IOException e) {
                        // closed by the test
                    }
                },
                "flooding client");
        sender.setDaemon(true);
        sender.start();
    }

    private List<Peer> flood() throws Exception {
        List<Peer> clients = new ArrayList<>();
        CountDownLatch begun = new CountDownLatch(FLOODING_CLIENTS);
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            Peer client = child.connect();
            clients.add(client);
            sendInBackground(client, floodOf(i), begun);
        }
        begun.await();
        return clients;
    }

    /** Counts the final answers that each flooding client gets. */
    private static AtomicInteger countAnswers(List<Peer> clients, CountDownLatch allAnswered) {
        AtomicInteger answers = new AtomicInteger();
        for (Peer client : clients) {
            Thread reader = new Thread(
                    () -> {
                        try {
                            client.socket.setSoTimeout(0);
                            for (int i = 0; i < READS_AT_ONCE; i++) {
                                String line = client.line();
                                if (line == null) {
                                    return;
                                }
                                if (line.startsWith("VA ")) {
                                    client.line();
                                }
                                answers.incrementAndGet();
                            }
                            allAnswered.countDown();
                        } catch (IOException e) {
                            // closed by the test
                        }
                    },
                    "flooding client's answers");
            reader.setDaemon(true);
            reader.start();
        }
        return answers;
    }

    /** Fails if the client beside the flood gets no answer in time. */
    private String answerToOther() throws IOException {
        other.send(ProxyFixture.readCommand("a" + otherReads++, WAIT_MS));
        String line = other.line();
        if (line != null && line.startsWith("VA ")) {
            other.expect("1");
        }
        return line;
    }

    /**
     * Guards against unread input of many clients that uses up the direct memory: from then on each read of any socket
     * held the event loop for half a second, and nobody was answered.
     */
    @Test
    void answersOthersWhileAllConnectionsHoldUnreadCommands() throws Exception {
        List<Peer> clients = flood();
        CountDownLatch allAnswered = new CountDownLatch(FLOODING_CLIENTS);
        AtomicInteger answers = countAnswers(clients, allAnswered);
        int answeredOthers = 0;
        for (int i = 0; i < 40; i++) {
            answeredOthers += answerToOther() == null ? 0 : 1;
        }
        assertEquals(40, answeredOthers);
        node.release();
        drainingNode.release();
        while (!allAnswered.await(1, TimeUnit.MILLISECONDS)) {
            assertTrue(answerToOther() != null, "closed while the flood is answered");
        }
        assertEquals(FLOODING_CLIENTS * READS_AT_ONCE, answers.get());
        assertTrue(child.peakMemoryBytes() < MEMORY_LIMIT_BYTES, child.peakMemoryBytes() + " bytes of memory");
    }

    private Map<String, Object> status() {
        try {
            return ControlClient.call(controlSocket(), ControlCodec.request("status"), LOST_AFTER_MS);
        } catch (IOException e) {
            throw new AssertionError("the control channel does not answer", e);
        }
    }

    /** Guards against a flood that keeps the proxy from hearing discovery, its operators and the clients that leave. */
    @Test
    void hearsDiscoveryOperatorsAndLeavingClientsWhileAllConnectionsFlood() throws Exception {
        List<Peer> clients = flood();
        sendOnWatch(list(2, "DRAINING"));
        child.await(
                "to hear of the draining node",
                () -> status().get("nodes").toString().contains("draining=1"));
        String next = "127.0.0.1:1";
        Files.writeString(
                child.config,
                Files.readString(child.config).replace("{\"name\"", "{\"discovery\":\"" + next + "\",\"name\""));
        child.signal("HUP");
        child.awaitErrorLine(0, "index=0 at " + next);
        assertTrue(answerToOther() != null, "closed in the flood");
        for (Peer client : clients.subList(0, FLOODING_CLIENTS / 2)) {
            client.close();
        }
        child.await(
                "to see that clients have left",
                () -> ((Number) status().get("clients")).intValue() <= FLOODING_CLIENTS / 2 + 1);
        assertTrue(answerToOther() != null, "closed after others left");
        child.signal("TERM");
        assertEquals(0, child.awaitExit(10));
        assertTrue(child.errorLines.stream().noneMatch(line -> line.contains("Error")), child.errorLines.toString());
    }
}
