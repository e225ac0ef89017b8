package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Reload by SIGHUP: a new configuration, and a migration to discovery at another address. */
@Timeout(60)
class ReloadTest {

    /** Writes the configuration file and makes the proxy reload it by SIGHUP. */
    private static final class SighupReload implements Closeable {
        private final Path configurationFile = Files.createTempFile("config", ".json");
        /** Without a handler the signal would end the JVM that runs the tests. */
        private final SignalHandler previousHandler = Signal.handle(new Signal("HUP"), signal -> {});

        SighupReload(ProxyFixture fixture) throws IOException {
            Map<String, String> environment = ProxyFixture.env(configurationFile, fixture.discovery.address());
            ConfigurationReloader reloader =
                    new ConfigurationReloader(environment, ProxyFixture.log(), fixture.config, fixture.proxy::reload);
            ProcessSignals.install().onHup(reloader::request);
        }

        /** Writes the configuration file and raises SIGHUP in this JVM. */
        void loadConfiguration(String text) throws IOException {
            Files.writeString(configurationFile, text);
            Signal.raise(new Signal("HUP"));
        }

        void moveDiscovery(String address) throws IOException {
            loadConfiguration(ProxyFixture.json(ProxyFixture.endpointList(1, true), ProxyFixture.SETTINGS, 1024)
                    .replace("{\"name\"", "{\"discovery\":\"" + address + "\",\"name\""));
        }

        @Override
        public void close() throws IOException {
            Signal.handle(new Signal("HUP"), previousHandler);
            Files.delete(configurationFile);
        }
    }

    private static Peer acceptWatch(Peer.Listener discovery) throws Exception {
        Peer watch = discovery.next();
        assertEquals("GET /registry/instances?stream=1&index=0 HTTP/1.1", watch.line());
        while (!watch.line().isEmpty()) {
            // the rest of the request
        }
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        return watch;
    }

    private static Peer serve(ProxyFixture fixture, Peer client, String id, int node, Peer openConnection)
            throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        Peer connection = openConnection != null
                ? openConnection
                : fixture.nodes.get(node).next();
        assertTrue(connection.line().startsWith("mg 7f3a9c21e0b4d655 v O" + id + " "));
        connection.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        return connection;
    }

    @Test
    void keepsUsingListUntilNewServiceSendsItsFirst() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                SighupReload reload = new SighupReload(fixture);
                Peer.Listener newService = new Peer.Listener()) {
            fixture.nodes.add(new Peer.Listener());
            Peer oldWatch = fixture.watch();
            ProxyFixture.sendChunks(oldWatch, ProxyFixture.endpointList(500, true, fixture.listEntry(0, "SERVING")));
            reload.moveDiscovery(newService.address());
            Peer newWatch = acceptWatch(newService);
            oldWatch.close(); // the old service stops before the new one has sent a list: the list held stays in use
            Peer client = fixture.client();
            Peer node = serve(fixture, client, "a1", 0, null);
            ProxyFixture.sendChunks(
                    newWatch,
                    ProxyFixture.endpointList(3, true, fixture.listEntry(1, "SERVING"))); // a version of its own
            node.expectEnd();
            serve(fixture, client, "a2", 1, null);
            assertEquals(1, fixture.discovery.count());
        }
    }

    @Test
    void retriesNewServiceAfterFailedCalls() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                SighupReload reload = new SighupReload(fixture);
                Peer.Listener newService = new Peer.Listener()) {
            fixture.watch();
            reload.moveDiscovery(newService.address());
            for (int i = 0; i < 3; i++) {
                newService.next().close();
            }
            acceptWatch(newService);
        }
    }

    @Test
    void ignoresInvalidConfigurationAndAppliesNextValidOne() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                SighupReload reload = new SighupReload(fixture);
                Peer.Listener newService = new Peer.Listener()) {
            Peer oldWatch = fixture.watch();
            reload.loadConfiguration("{\"discovery\":");
            reload.moveDiscovery("nowhere:1");
            ProxyFixture.sendChunks(oldWatch, ProxyFixture.endpointList(2, true, fixture.listEntry(0, "SERVING")));
            serve(fixture, fixture.client(), "a1", 0, null);
            reload.moveDiscovery(newService.address());
            acceptWatch(newService);
        }
    }

    /**
     * If the full list of a new service is malformed, the changes after it must not be accepted in its place: the proxy
     * would lose all other nodes.
     */
    @Test
    void requestsFullListAgainIfFirstOfNewServiceIsMalformed() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                SighupReload reload = new SighupReload(fixture);
                Peer.Listener newService = new Peer.Listener()) {
            fixture.nodes.add(new Peer.Listener());
            fixture.watch();
            reload.moveDiscovery(newService.address());
            ProxyFixture.sendChunks(
                    acceptWatch(newService),
                    ProxyFixture.endpointList(900, true, fixture.listEntry(0, "ODD")),
                    ProxyFixture.endpointList(901, false, fixture.listEntry(1, "SERVING")));
            ProxyFixture.sendChunks(
                    acceptWatch(newService), ProxyFixture.endpointList(902, true, fixture.listEntry(1, "SERVING")));
            serve(fixture, fixture.client(), "a1", 1, null);
        }
    }
}
