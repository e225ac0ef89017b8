package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.routing.EndpointListKind;
import cacheproxy.routing.RequestRouter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Events of a watch that coincide with others: repeated failures, the first list and {@code mn} of a client, and the
 * migration to another discovery service.
 */
@Timeout(60)
class WatchLifecycleTest {
    private static final String PUSHED_LIST_SETTINGS = ProxyFixture.SETTINGS.replace("\"subscribe\"", "\"automatic\"");

    /** A proxy without nodes; records the endpoint lists that its router receives and its connection attempts. */
    private static final class ObservedProxy implements Closeable {
        final BlockingQueue<EndpointListKind> kinds = new LinkedBlockingQueue<>();
        private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        private final ProxyServer proxy;
        volatile boolean failuresReachTheRouter = true;
        private final BlockingQueue<Integer> connectionAttempts = new LinkedBlockingQueue<>();

        ObservedProxy(Peer.Listener discovery, String settings) throws IOException {
            Path file = Files.createTempFile("config", ".json");
            Files.writeString(file, ProxyFixture.json(ProxyFixture.endpointList(1, true), settings, 1024));
            HostEnvironment countingHost = new HostEnvironment(
                    () -> {
                        connectionAttempts.add(1);
                        return new NioSocketChannel();
                    },
                    NioServerSocketChannel::new,
                    System::currentTimeMillis);
            proxy = ProxyServer.create(
                    ProxyConfiguration.load(ProxyFixture.env(file, discovery.address())),
                    loop,
                    countingHost,
                    ProxyFixture.log(),
                    this::observe);
            proxy.open();
            Files.delete(file);
        }

        private RequestRouter observe(RequestRouter router) {
            return (RequestRouter) java.lang.reflect.Proxy.newProxyInstance(
                    WatchLifecycleTest.class.getClassLoader(),
                    new Class<?>[] {RequestRouter.class},
                    (self, method, arguments) -> {
                        if (method.getName().equals("onEndpointList")) {
                            kinds.add((EndpointListKind) arguments[1]);
                            if (arguments[1] == EndpointListKind.FAILED && !failuresReachTheRouter) {
                                return null;
                            }
                        }
                        try {
                            return method.invoke(router, arguments);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        EndpointListKind nextListKind() throws InterruptedException {
            return kinds.poll(10, TimeUnit.SECONDS);
        }

        @Override
        public void close() {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * Changes of an agent's list count as notified whether or not a watch is open. After the second reset within 2 s,
     * the watch was formerly restarted only after the router's backoff of up to 3 s, which is longer than any drain
     * grace.
     */
    @Test
    void restartsWatchAtAgentPromptlyAfterEachReset() throws Exception {
        try (Peer.Listener agent = new Peer.Listener();
                ObservedProxy observed = new ObservedProxy(agent, PUSHED_LIST_SETTINGS)) {
            assertEquals(EndpointListKind.CACHED, observed.nextListKind());
            for (int i = 0; i < 6; i++) {
                Peer watch = ProxyFixture.watch(agent);
                if (i % 2 == 0) {
                    ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(2 + i, false));
                    assertEquals(EndpointListKind.DELTA, observed.nextListKind());
                }
                watch.reset();
            }
            ProxyFixture.watch(agent);
            assertTrue(observed.kinds.isEmpty(), "the router was notified and would back off: " + observed.kinds);
        }
    }

    /** While an agent is unreachable it is called frequently, because all its changes count as soon as it returns. */
    @Test
    void callsUnreachableAgentUntilItReturns() throws Exception {
        Peer.Listener agent = new Peer.Listener();
        try (ObservedProxy observed = new ObservedProxy(agent, PUSHED_LIST_SETTINGS)) {
            observed.nextListKind();
            agent.close();
            observed.connectionAttempts.clear();
            for (int i = 0; i < 8; i++) {
                assertTrue(observed.connectionAttempts.poll(10, TimeUnit.SECONDS) != null);
            }
            assertTrue(observed.kinds.isEmpty(), "the router was notified and would back off: " + observed.kinds);
        }
    }

    /**
     * Where discovery is polled, a watch that ends is restarted. If the next one could not connect, the router's
     * backoff formerly applied; with the silence before it, this took longer than the 6 s after which changes count as
     * notified. Here the router is never notified of a failure, so that none of the calls can be caused by it.
     */
    @Test
    void restartsWatchThatCannotConnectWithoutTheRouter() throws Exception {
        Peer.Listener discovery = new Peer.Listener();
        try (ObservedProxy observed = new ObservedProxy(discovery, ProxyFixture.SETTINGS)) {
            observed.failuresReachTheRouter = false;
            observed.nextListKind();
            Peer watch = ProxyFixture.watch(discovery);
            ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(2, false));
            assertEquals(EndpointListKind.DELTA, observed.nextListKind());
            assertEquals(1, observed.connectionAttempts.size());
            discovery.close(); // closes the watch too
            assertEquals(EndpointListKind.FAILED, observed.nextListKind());
            observed.connectionAttempts.clear();
            for (int i = 0; i < 6; i++) {
                assertTrue(
                        observed.connectionAttempts.poll(10, TimeUnit.SECONDS) != null, "no further call after " + i);
            }
        }
    }

    /**
     * A migration to an agent that is unreachable. Formerly it was called with a growing backoff, and its list was
     * received up to 3 s after its return, although an agent's list counts as notified at once. The old watch measures
     * the time: it is silent and ends after 2.5 s.
     */
    @Test
    void callsNewAgentFrequentlyUntilItIsReachable() throws Exception {
        Peer.Listener unreachableAgent = new Peer.Listener();
        unreachableAgent.close();
        try (Peer.Listener agent = new Peer.Listener();
                ObservedProxy observed = new ObservedProxy(agent, PUSHED_LIST_SETTINGS)) {
            assertEquals(EndpointListKind.CACHED, observed.nextListKind());
            Peer oldWatch = ProxyFixture.watch(agent);
            ProxyFixture.sendChunks(oldWatch, ProxyFixture.endpointList(2, false));
            assertEquals(EndpointListKind.DELTA, observed.nextListKind());
            observed.connectionAttempts.clear();
            String[] hostAndPort = unreachableAgent.address().split(":");
            observed.loop
                    .submit(() -> observed.proxy.discovery.migrateTo(
                            new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]))))
                    .get();
            oldWatch.expectEnd();
            assertTrue(
                    observed.connectionAttempts.size() >= 9,
                    "called " + observed.connectionAttempts.size() + " times in 2.5 s");
        }
    }

    /** Returns once the proxy has read everything that was sent before. */
    private static void awaitReadOfEarlierInput(ProxyFixture fixture) throws IOException {
        try (Peer barrier = Peer.to(fixture.proxy.address())) {
            barrier.send("nonsense\r\n");
            assertTrue(barrier.line().contains("ERROR"));
        }
    }

    /**
     * The list of an agent counts as notified as soon as the process has started: a request of a client that connected
     * before the first list was formerly sent to a node that had drained while the process was down.
     */
    @Test
    void holdsMnUntilFirstListOfAgent() throws Exception {
        for (boolean beginsWithEmptyLine : new boolean[] {true, false}) {
            try (ProxyFixture fixture = new ProxyFixture(1, settings -> PUSHED_LIST_SETTINGS, 1024)) {
                Peer watch = fixture.watch();
                Peer client = fixture.client();
                client.send("mn\r\n");
                awaitReadOfEarlierInput(fixture);
                assertFalse(client.ready(), "MN before the agent has sent its list");
                if (beginsWithEmptyLine) {
                    ProxyFixture.sendChunks(watch, "");
                    watch.expectEnd(); // an agent without its service may send nothing but empty lines
                    watch = fixture.watch();
                    assertFalse(client.ready(), "MN before the agent has sent its list");
                }
                ProxyFixture.sendChunks(watch, ProxyFixture.endpointList(1, false));
                client.expect("MN");
            }
        }
    }

    /**
     * When the first list arrived in parts, clients were formerly served with the old list once the first part was
     * read.
     */
    @Test
    void holdsMnUntilFirstListIsComplete() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2, settings -> PUSHED_LIST_SETTINGS, 1024)) {
            Peer watch = fixture.watch();
            Peer client = fixture.client();
            client.send("mn\r\n");
            String list = ProxyFixture.endpointList(
                    2, false, fixture.listEntry(1, "SERVING"), fixture.listEntry(0, "DRAINING"));
            int half = list.indexOf("s-0");
            watch.send(Integer.toHexString(list.length()) + "\r\n" + list.substring(0, half));
            awaitReadOfEarlierInput(fixture);
            assertFalse(client.ready(), "MN in the middle of the first list");
            watch.send(list.substring(half) + "\r\n");
            client.expect("MN");
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = new CommandArrivals(fixture).next();
            assertEquals("Oa1", CommandArrivals.readCommandId(node));
            assertEquals(0, fixture.nodes.get(0).count());
        }
    }

    @Test
    void appliesFirstListBeforeAnsweringMn() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2, settings -> PUSHED_LIST_SETTINGS, 1024)) {
            Peer client = fixture.client();
            client.send("mn\r\n");
            ProxyFixture.sendChunks(
                    fixture.watch(), ProxyFixture.endpointList(2, false, fixture.listEntry(0, "DRAINING")));
            client.expect("MN");
            for (int i = 0; i < 20; i++) {
                client.send(ProxyFixture.readCommand("a" + i, 4000).replace("7f3a9c21e0b4d655", "key" + i));
                Peer node = new CommandArrivals(fixture).next();
                assertEquals("Oa" + i, CommandArrivals.readCommandId(node));
                node.send("VA 1 Oa" + i + "\r\n1\r\n");
                client.expect("VA 1 Oa" + i, "1");
                node.close();
            }
            assertEquals(0, fixture.nodes.get(0).count());
        }
    }

    /**
     * A full list that was requested from the old service, but arrived after the first list of the new one, was
     * formerly accepted as a list of the new service. Because of its high version, all later lists of the new service
     * were rejected as older.
     */
    @Test
    void ignoresListOfOldServiceAfterMigration() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                Peer.Listener newService = new Peer.Listener()) {
            Peer oldWatch = fixture.watch();
            fixture.loop.submit(() -> fixture.proxy.discovery.fetchList()).get();
            Peer fetch = fixture.discovery.next();
            while (!fetch.line().isEmpty()) {
                // reads the request
            }
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            node.line();
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");

            String[] hostAndPort = newService.address().split(":");
            fixture.loop
                    .submit(() -> fixture.proxy.discovery.migrateTo(
                            new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]))))
                    .get();
            Peer newWatch = ProxyFixture.watch(newService);
            ProxyFixture.sendChunks(newWatch, ProxyFixture.endpointList(3, true, fixture.listEntry(0, "SERVING")));
            oldWatch.expectEnd(); // the first list of the new service was accepted
            String lateList = ProxyFixture.endpointList(900, true, fixture.listEntry(0, "SERVING"));
            fetch.send("HTTP/1.1 200 OK\r\nContent-Length: " + lateList.length() + "\r\n\r\n" + lateList);
            fetch.expectEnd(); // the proxy has read the response
            ProxyFixture.sendChunks(newWatch, ProxyFixture.endpointList(4, false, fixture.listEntry(0, "DRAINING")));
            node.expectEnd();
        }
    }

    private static void migrate(ProxyFixture fixture, Peer.Listener newService) throws Exception {
        String[] hostAndPort = newService.address().split(":");
        fixture.loop
                .submit(() -> fixture.proxy.discovery.migrateTo(
                        new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]))))
                .get();
    }

    /** An idle connection of the first node; the proxy closes it once it has received a drain. */
    private static Peer idleConnection(ProxyFixture fixture, String id) throws Exception {
        Peer client = fixture.client();
        client.send(ProxyFixture.readCommand(id, 4000));
        Peer node = fixture.nodes.get(0).next();
        node.line();
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        return node;
    }

    /** A migration that is reverted before the new service sends a list: the old one stays in use, with a new watch. */
    @Test
    void returnsToOldServiceIfMigrationIsReverted() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                Peer.Listener newService = new Peer.Listener()) {
            Peer oldWatch = fixture.watch();
            Peer node = idleConnection(fixture, "a1");
            migrate(fixture, newService);
            Peer abandonedCall = newService.next();
            while (!abandonedCall.line().isEmpty()) {
                // reads the request
            }
            migrate(fixture, fixture.discovery);
            abandonedCall.expectEnd();
            Peer newWatch = fixture.discovery.next();
            assertEquals("GET /registry/instances?stream=1&index=0 HTTP/1.1", newWatch.line());
            ProxyFixture.sendChunks(oldWatch, ProxyFixture.endpointList(2, false, fixture.listEntry(0, "DRAINING")));
            node.expectEnd();
            newWatch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            ProxyFixture.sendChunks(newWatch, ProxyFixture.endpointList(2, true, fixture.listEntry(0, "DRAINING")));
            oldWatch.expectEnd();
        }
    }

    /** Until the new service has sent a list, drains of the old one are still applied. */
    @Test
    void appliesListsOfOldWatchUntilNewServiceSendsOne() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                Peer.Listener newService = new Peer.Listener()) {
            Peer oldWatch = fixture.watch();
            Peer node = idleConnection(fixture, "a1");
            migrate(fixture, newService);
            newService.next();
            ProxyFixture.sendChunks(oldWatch, ProxyFixture.endpointList(2, false, fixture.listEntry(0, "DRAINING")));
            node.expectEnd();
        }
    }

    /** If a truncated list were accepted as complete, the proxy would lose the other nodes. */
    @Test
    void retriesNewServiceThatResetsDuringItsFirstList() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                Peer.Listener newService = new Peer.Listener()) {
            fixture.nodes.add(new Peer.Listener()); // not listed yet
            Peer oldWatch = fixture.watch();
            Peer node = idleConnection(fixture, "a1");
            migrate(fixture, newService);
            Peer first = ProxyFixture.watch(newService);
            String list = ProxyFixture.endpointList(
                    9, true, fixture.listEntry(1, "SERVING"), fixture.listEntry(0, "SERVING"));
            String half = list.substring(0, list.indexOf("s-0"));
            first.send(Integer.toHexString(half.length()) + "\r\n" + half + "\r\n");
            first.reset();
            Peer second = ProxyFixture.watch(newService);
            assertFalse(node.ready());
            ProxyFixture.sendChunks(oldWatch, ProxyFixture.endpointList(2, false, fixture.listEntry(0, "DRAINING")));
            node.expectEnd(); // the old watch is still in use
            ProxyFixture.sendChunks(second, ProxyFixture.endpointList(9, true, fixture.listEntry(1, "SERVING")));
            oldWatch.expectEnd();
        }
    }
}
