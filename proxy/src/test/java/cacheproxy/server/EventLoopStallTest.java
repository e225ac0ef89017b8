package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The event loop stalls, as when the process gets no CPU time or a lot is compiled at once. */
@Timeout(60)
class EventLoopStallTest {
    private static final int REQUESTS = 30;
    private static final int DEADLINE_MS = 700;

    private final List<Peer> nodeConnections = new ArrayList<>();

    private void sendAndAwaitArrival(ProxyFixture fixture, Peer client, int i, int deadlineMs) throws Exception {
        client.send(ProxyFixture.readCommand("a" + i, deadlineMs));
        Peer node = fixture.nodes.get(0).next();
        assertTrue(node.line().contains(" Oa" + i + " "));
        nodeConnections.add(node);
    }

    /**
     * Guards against timeouts during a stall being attributed to the endpoint or to overload: one stall once made the
     * router reject requests for seconds.
     */
    @Test
    void timeoutsDuringEventLoopStallDoNotCauseLaterRejections() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            List<Peer> clients = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                clients.add(fixture.client());
            }
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            for (int i = 0; i < REQUESTS; i++) {
                sendAndAwaitArrival(fixture, clients.get(i), i, 3000);
            }
            for (int i = 0; i < REQUESTS; i++) {
                nodeConnections.get(i).send("VA 1 Oa" + i + "\r\n1\r\n");
                clients.get(i).expect("VA 1 Oa" + i, "1");
            }
            // all at once on established connections, so that they are in flight when the event loop stops
            for (int i = 0; i < REQUESTS; i++) {
                clients.get(i).send(ProxyFixture.readCommand("b" + i, DEADLINE_MS));
            }
            for (Peer node : nodeConnections) {
                assertTrue(node.line().contains(" Ob"));
            }
            fixture.loop.execute(() -> {
                stalled.countDown();
                try {
                    resume.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stalled.await();
            long start = System.nanoTime();
            while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(2 * DEADLINE_MS)) {
                Thread.onSpinWait(); // until all deadlines have long passed
            }
            resume.countDown();
            for (Peer client : clients) {
                assertTrue(client.line().startsWith("SERVER_ERROR "));
            }
            for (int i = 0; i < REQUESTS; i++) {
                Peer client = clients.get(i);
                client.send(ProxyFixture.readCommand("c" + i, 3000));
                Peer node = fixture.nodes.get(0).next();
                assertTrue(node.line().contains(" Oc" + i + " "));
                node.send("VA 1 Oc" + i + "\r\n1\r\n");
                client.expect("VA 1 Oc" + i, "1");
                node.close();
            }
        }
    }
}
