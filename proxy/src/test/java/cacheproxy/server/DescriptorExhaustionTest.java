package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.logging.Log;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * No file descriptor is left for a connection. Guards against calls of the router from two threads: without a channel,
 * Netty reports the failure on a thread of its own instead of the event loop.
 */
@Timeout(60)
class DescriptorExhaustionTest {
    private record Line(String text, boolean onLoop) {}

    @Test
    void handlesConnectFailureOnEventLoopAndConnectsLater() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        BlockingQueue<Line> logLines = new LinkedBlockingQueue<>();
        AtomicBoolean descriptorsExhausted = new AtomicBoolean(true);
        HostEnvironment host = new HostEnvironment(
                () -> {
                    if (descriptorsExhausted.get()) {
                        throw new ChannelException("Too many open files");
                    }
                    return new NioSocketChannel();
                },
                NioServerSocketChannel::new,
                System::currentTimeMillis);
        Path file = Files.createTempFile("config", ".json");
        try (Peer.Listener discovery = new Peer.Listener();
                Peer.Listener node = new Peer.Listener()) {
            Files.writeString(
                    file,
                    ProxyFixture.json(
                            ProxyFixture.endpointList(1, true, ProxyFixture.listEntry(0, "SERVING", node)),
                            ProxyFixture.SETTINGS,
                            1024));
            ProxyServer proxy = ProxyServer.create(
                    ProxyConfiguration.load(ProxyFixture.env(file, discovery.address())),
                    loop,
                    host,
                    new Log(System::nanoTime, text -> logLines.add(new Line(text, loop.inEventLoop()))),
                    router -> router);
            proxy.open();
            try (Peer client = Peer.to(proxy.address())) {
                client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
                assertTrue(client.line().startsWith("SERVER_ERROR busy")); // rejected, since no command was written
                Line line = logLines.poll(10, TimeUnit.SECONDS);
                while (line != null && !line.text().contains("discovery: ")) {
                    line = logLines.poll(10, TimeUnit.SECONDS);
                }
                assertTrue(line != null && line.onLoop(), "logged by another thread than the event loop: " + line);
                descriptorsExhausted.set(false);
                assertEventuallyForwarded(client, node);
            }
            discovery.next();
        } finally {
            Files.delete(file);
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Requests one key after the other until one arrives at the node, which the router may skip for some of them. */
    private static void assertEventuallyForwarded(Peer client, Peer.Listener node) throws Exception {
        for (int i = 0; i < 100; i++) {
            client.send(ProxyFixture.readCommand("a" + i, 4000).replace("7f3a9c21e0b4d655", "a" + i));
            while (!client.ready() && node.count() == 0) {
                Thread.onSpinWait();
            }
            if (node.count() > 0) {
                assertEquals("Oa" + i, CommandArrivals.readCommandId(node.next()));
                return;
            }
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
        }
        throw new AssertionError("all requests were rejected");
    }
}
