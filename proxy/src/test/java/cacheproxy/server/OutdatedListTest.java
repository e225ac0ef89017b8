package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.routing.RequestRouter;
import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Lists are pushed, and the agent falls silent. What it has counts as notified even so: a proxy whose endpoint list may
 * be older sends nothing to any endpoint, and one whose list was up to date goes on serving (issue 61).
 */
@Timeout(60)
class OutdatedListTest {
    private static final String SETTINGS = ProxyFixture.SETTINGS.replace("\"subscribe\"", "\"automatic\"");

    /** A proxy before two nodes that serve, of which the agent's next list lets one drain; a client asks at will. */
    private static final class Site implements Closeable {
        final ProxyFixture fixture = new ProxyFixture(2, settings -> SETTINGS, 1024);
        final List<ServingNode> nodes = new ArrayList<>();
        private final Peer client = fixture.client();
        private int requests;

        Site() throws IOException {
            fixture.nodes.forEach(listener -> nodes.add(new ServingNode(listener)));
        }

        /** Opens the watch and sends the list in which both nodes serve. */
        Peer upToDate() throws Exception {
            Peer watch = fixture.watch();
            ProxyFixture.sendChunks(watch, fixture.listOfAllNodes());
            client.send("mn\r\n");
            client.expect("MN");
            return watch;
        }

        String listWithDrain(int version) {
            return ProxyFixture.endpointList(
                    version, true, fixture.listEntry(0, "DRAINING"), fixture.listEntry(1, "SERVING"));
        }

        /** Sends a request for another key each time; returns the first line of its answer. */
        String ask() throws IOException {
            String id = "a" + requests++;
            String key = String.format("%016x", 1000L * requests);
            client.send(ProxyFixture.readCommand(id, 4000).replace("7f3a9c21e0b4d655", key));
            String line = client.line();
            if (line.startsWith("VA ")) {
                client.line();
            }
            return line;
        }

        void assertServes(int count) throws IOException {
            for (int i = 0; i < count; i++) {
                String line = ask();
                assertTrue(line.startsWith("VA 1 "), line);
            }
        }

        /** Asks until the proxy refuses; from then on nothing reaches a node. */
        void awaitRefusal() throws IOException {
            String line = ask();
            while (line.startsWith("VA 1 ")) {
                line = ask();
            }
            assertRefuses(line);
        }

        void assertRefuses(String firstLine) throws IOException {
            int served = served();
            assertTrue(firstLine.startsWith("SERVER_ERROR busy"), firstLine);
            for (int i = 0; i < 20; i++) {
                String line = ask();
                assertTrue(line.startsWith("SERVER_ERROR busy"), line);
            }
            assertEquals(served, served(), "requests reached nodes");
        }

        int served() {
            return nodes.stream().mapToInt(ServingNode::served).sum();
        }

        /** The agent sends its list on this watch: the node that drains gets nothing, the other one serves. */
        void assertServesByNewList(Peer watch) throws IOException, InterruptedException {
            int before = nodes.get(0).served();
            ProxyFixture.sendChunks(watch, listWithDrain(3));
            String line = ask();
            while (line.startsWith("SERVER_ERROR busy")) {
                line = ask(); // not read yet
            }
            assertServes(20);
            assertEquals(before, nodes.get(0).served(), "requests reached the draining node");
        }

        void migrate(Peer.Listener agent) throws Exception {
            String[] hostAndPort = agent.address().split(":");
            InetSocketAddress address = new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
            fixture.loop
                    .submit(() -> fixture.proxy.discovery.migrateTo(address))
                    .get();
        }

        @Override
        public void close() throws IOException {
            for (ServingNode node : nodes) {
                node.close();
            }
            fixture.close();
        }
    }

    /** Accepts a call and leaves it without a response until the proxy gives it up. */
    private static void awaitTimeout(Peer.Listener agent) throws IOException, InterruptedException {
        Peer call = agent.next();
        for (String line = call.line(); !line.isEmpty(); line = call.line()) {
            // reads the request
        }
        call.expectEnd();
    }

    /** review/3: a proxy that started while its agent was silent was ready after 4 s and served by an old list. */
    @Test
    void sendsNothingBeforeSilentAgentHasSentItsListAfterStart() throws Exception {
        try (Site site = new Site()) {
            site.fixture.discovery.next();
            site.assertRefuses(site.ask());
            Peer second = site.fixture.watch(); // the first call has timed out
            site.assertRefuses(site.ask());
            site.assertServesByNewList(second);
        }
    }

    /** A process that has only half of the agent's first list, or nothing but empty lines, served by its old list. */
    @Test
    void sendsNothingWithHalfOfTheFirstListOrNothingButEmptyLines() throws Exception {
        try (Site site = new Site()) {
            Peer first = site.fixture.watch();
            String list = site.listWithDrain(2);
            String half = list.substring(0, list.length() / 2);
            first.send(Integer.toHexString(half.length()) + "\r\n" + half + "\r\n");
            site.assertRefuses(site.ask());
            first.close();
            Peer second = site.fixture.watch();
            ProxyFixture.sendChunks(second, "", "");
            site.assertRefuses(site.ask());
            second.expectEnd(); // it is not waited for without end
            Peer third = site.fixture.watch();
            site.assertServesByNewList(third);
        }
    }

    /** No client may wait for ever: MN comes after a time, and refusals say when to come back. */
    @Test
    void isReadyToRefuseWhileAgentStaysSilent() throws Exception {
        try (Site site = new Site()) {
            site.client.send("mn\r\n");
            site.client.expect("MN");
            site.assertRefuses(site.ask());
        }
    }

    /** A watch that is reset before the agent falls silent may have missed a change. */
    @Test
    void refusesWithinGraceAfterWatchHasEndedAndAgentIsSilent() throws Exception {
        try (Site site = new Site()) {
            Peer watch = site.upToDate();
            site.assertServes(20);
            watch.reset();
            site.awaitRefusal();
            site.fixture.discovery.next(); // silent
            site.assertServesByNewList(site.fixture.watch());
        }
    }

    /** A list that the proxy could not read may have held a drain. */
    @Test
    void refusesWithinGraceAfterListWasSkippedAndAgentIsSilent() throws Exception {
        try (Site site = new Site()) {
            Peer watch = site.upToDate();
            ProxyFixture.sendChunks(watch, "{}");
            watch.expectEnd();
            site.awaitRefusal();
            site.fixture.discovery.next(); // silent
            site.assertServesByNewList(site.fixture.watch());
        }
    }

    /** The rest of a list that has begun to come is something that the agent has. */
    @Test
    void refusesWithinGraceInTheMiddleOfList() throws Exception {
        try (Site site = new Site()) {
            Peer watch = site.upToDate();
            String list = site.listWithDrain(3);
            String half = list.substring(0, list.length() / 2);
            watch.send(Integer.toHexString(list.length()) + "\r\n" + half);
            site.awaitRefusal();
            watch.send(list.substring(half.length()) + "\r\n");
            String line = site.ask();
            while (line.startsWith("SERVER_ERROR busy")) {
                line = site.ask();
            }
            site.assertServes(20);
        }
    }

    /** An agent without its service learns nothing: to refuse would cost the whole service in each outage. */
    @Test
    void servesOnWhileAgentIsSilentSinceItsListWasUpToDate() throws Exception {
        try (Site site = new Site()) {
            Peer watch = site.upToDate();
            watch.expectEnd(); // it counts as broken
            for (int call = 0; call < 2; call++) {
                site.assertServes(20);
                awaitTimeout(site.fixture.discovery);
            }
            site.fixture.discovery.next().reset();
            Peer next = site.fixture.discovery.next();
            site.assertServes(20);
            assertEquals("GET /registry/instances?stream=1&index=1 HTTP/1.1", next.line());
        }
    }

    /** After SIGHUP the new agent's list counts 4 s later, and a second SIGHUP does not extend that. */
    @Test
    void refusesOnceListOfNewAgentIsDueAndServesOnceBackAtTheOld() throws Exception {
        try (Site site = new Site();
                Peer.Listener silentAgent = new Peer.Listener();
                Peer.Listener otherSilentAgent = new Peer.Listener()) {
            Peer watch = site.upToDate();
            long startNs = System.nanoTime();
            site.migrate(silentAgent);
            silentAgent.next();
            site.migrate(otherSilentAgent);
            String line = site.ask();
            while (line.startsWith("VA 1 ")) {
                ProxyFixture.sendChunks(watch, ""); // the old agent speaks on
                line = site.ask();
            }
            assertTrue(System.nanoTime() - startNs > 4_000_000_000L, "refused before the list was due");
            site.assertRefuses(line);
            site.migrate(site.fixture.discovery);
            site.assertServes(20);
            assertFalse(watch.ready(), "the old watch was closed");
        }
    }

    /** An attempt that still waits for its connection when the list becomes outdated reached its node. */
    @Test
    void refusesRequestThatWaitsForItsConnection() throws Exception {
        Runnable[] afterRequest = {() -> {}};
        try (ProxyFixture fixture = new ProxyFixture(
                2,
                settings -> SETTINGS,
                1024,
                ProxyFixture::listOfAllNodes,
                router -> (RequestRouter) Proxy.newProxyInstance(
                        OutdatedListTest.class.getClassLoader(),
                        new Class<?>[] {RequestRouter.class},
                        (self, method, arguments) -> {
                            Object result = method.invoke(router, arguments);
                            if (method.getName().equals("onRequest")) {
                                afterRequest[0].run();
                            }
                            return result;
                        }))) {
            ProxyFixture.sendChunks(fixture.watch(), fixture.listOfAllNodes());
            Peer client = fixture.client();
            client.send("mn\r\n");
            client.expect("MN");
            fixture.loop
                    .submit(() -> afterRequest[0] = () -> fixture.proxy.endpointListOutdated(true))
                    .get();
            client.send(ProxyFixture.readCommand("a1", 4000));
            String line = client.line();
            assertTrue(line.startsWith("SERVER_ERROR busy"), line);
            for (Peer.Listener listener : fixture.nodes) {
                Peer connection = listener.poll();
                assertTrue(connection == null || !connection.ready(), "the request reached a node");
            }
        }
    }
}
