package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that send all they can leave room for a client that sends little. */
@Timeout(60)
class RequestSharesTest {
    private static final int WAIT_MS = 4900;
    private static final int PIPELINED = 128;
    private static final String VALUE = "v".repeat(64 << 10);

    private HoldingNode node;
    private ProxyFixture fixture;

    @BeforeEach
    void open() throws IOException {
        node = new HoldingNode("1");
        fixture = new ProxyFixture(
                0,
                settings -> settings.replace("\"quotaPerS\":50.0", "\"quotaPerS\":1e6"),
                1024,
                f -> ProxyFixture.endpointList(1, true, ProxyFixture.listEntry(0, "SERVING", node.listener)));
    }

    @AfterEach
    void close() throws IOException {
        fixture.close();
        node.close();
    }

    private void awaitHeld(int requests) {
        while (node.held() < requests) {
            Thread.onSpinWait();
        }
    }

    /** Waits until all is open that the proxy accepts. */
    private void awaitSettled() throws InterruptedException {
        fixture.loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).sync();
    }

    private static String write(String id) {
        return "ms 7f3a9c21e0b4d655 " + VALUE.length() + " O" + id + " Pc=submit,t=acme,d=" + WAIT_MS + ",k=" + id
                + "\r\n" + VALUE + "\r\n";
    }

    private void sendInBackground(Peer client, String commands) {
        Thread sender = new Thread(
                () -> {
                    try {
                        client.send(commands);
                    } catch (IOException e) {
                        // closed by the test
                    }
                },
                "pipelining client");
        sender.setDaemon(true);
        sender.start();
    }

    /**
     * Guards against pipelines of some clients that take all connections to nodes, so that whoever sends one request is
     * rejected.
     */
    @Test
    void servesOtherClientsWhilePipelinesHoldRequests() throws Exception {
        for (int i = 0; i < 20; i++) {
            StringBuilder commands = new StringBuilder();
            for (int j = 0; j < PIPELINED; j++) {
                commands.append(ProxyFixture.readCommand("h" + i + "x" + j, WAIT_MS));
            }
            sendInBackground(fixture.client(), commands.toString());
        }
        // 472 connections to nodes are allowed, 413 for shares; 20 equal pipelines settle at 20/22 of these
        awaitHeld(350);
        awaitSettled();
        for (int i = 0; i < 10; i++) {
            Peer other = fixture.client();
            other.send(ProxyFixture.readCommand("a" + i, WAIT_MS));
            other.expect("VA 1 Oa" + i, "1");
        }
    }

    /** Guards against large writes of some clients that use up the memory for values of all open requests. */
    @Test
    void acceptsWritesOfOtherClientsWhilePipelinesHoldLargeValues() throws Exception {
        for (int i = 0; i < 3; i++) {
            StringBuilder commands = new StringBuilder();
            for (int j = 0; j < PIPELINED; j++) {
                commands.append(write("h" + i + "x" + j));
            }
            sendInBackground(fixture.client(), commands.toString());
        }
        awaitHeld(50); // of 96 that the memory for values allows
        awaitSettled();
        for (int i = 0; i < 4; i++) {
            Peer other = fixture.client();
            other.send(write("a" + i));
            assertEquals("HD Oa" + i + " c1", other.line());
        }
    }
}
