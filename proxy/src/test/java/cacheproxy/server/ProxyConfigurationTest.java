package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LoadReportSource;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads the configuration; a missing or malformed field ends the start of the proxy with one line. */
class ProxyConfigurationTest {
    private static final String KNOWN = ProxyFixture.endpointList(41, true);

    @TempDir
    Path directory;

    private Map<String, String> environment(String json) throws Exception {
        Path file = directory.resolve("config.json");
        Files.writeString(file, json);
        return new HashMap<>(ProxyFixture.env(file, "127.0.0.1:8500"));
    }

    private String rejectionMessage(Map<String, String> environment) {
        String message = assertThrows(InvalidInputException.class, () -> ProxyConfiguration.load(environment))
                .getMessage();
        assertFalse(message.contains("\n"), message);
        return message;
    }

    @Test
    void readsSettingsInFormatOfSimulatorProtocol() throws Exception {
        ProxyConfiguration configuration =
                ProxyConfiguration.load(environment(ProxyFixture.json(KNOWN, ProxyFixture.SETTINGS, 1024)));
        assertEquals(0x8c1f30d27a5be964L, configuration.seed);
        assertEquals(8500, configuration.discovery.getPort());
        assertEquals(3, configuration.settings.requestClasses.length);
        assertEquals(Idempotency.IDEMPOTENCY_KEY, configuration.settings.requestClasses[2].idempotency);
        assertEquals(5_000_000, configuration.settings.requestClasses[2].deduplicationWindowUs);
        assertEquals("acme", configuration.settings.tenants[0].name);
        assertEquals(LoadReportSource.RESPONSES, configuration.settings.loadReportSource);
        assertTrue(configuration.settings.subscribeRequired);
        assertEquals(List.of("east", "west"), configuration.zones);
    }

    @Test
    void namesMissingOrMalformedField() throws Exception {
        String valid = ProxyFixture.json(KNOWN, ProxyFixture.SETTINGS, 1024);
        for (String name : List.of("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG")) {
            Map<String, String> environment = environment(valid);
            environment.remove(name);
            assertTrue(rejectionMessage(environment).contains(name));
        }
        Map<String, String> invalidListen = environment(valid);
        invalidListen.put("LB_LISTEN", "localhost:11211");
        assertTrue(rejectionMessage(invalidListen).contains("LB_LISTEN"));
        Map<String, String> missingFile = environment(valid);
        missingFile.put("LB_CONFIG", directory.resolve("none").toString());
        assertTrue(rejectionMessage(missingFile).contains("LB_CONFIG"));
        assertTrue(rejectionMessage(environment("{\"name\":")).contains("JSON"));
        assertTrue(rejectionMessage(environment("[]")).contains("JSON"));
        assertTrue(rejectionMessage(environment(valid.replace("\"settings\"", "\"sittings\"")))
                .contains("settings"));
        assertTrue(rejectionMessage(environment(valid.replace("8c1f30d27a5be964", "seed")))
                .contains("seed"));
        assertTrue(rejectionMessage(environment(valid.replace("\"sockets\":1024", "\"sockets\":3")))
                .contains("sockets"));
        assertTrue(rejectionMessage(environment(valid.replace("\"maxAttempts\":4", "\"maxAttempts\":\"x\"")))
                .contains("maxAttempts"));
    }

    @Test
    void exitsWithCode2AndOneLineOnInvalidConfiguration() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "cacheproxy.app.Main",
                "serve");
        builder.environment()
                .putAll(environment(
                        ProxyFixture.json("{\"version\":1,\"servers\":[{}]}", ProxyFixture.SETTINGS, 1024)));
        Process process = builder.start();
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, process.waitFor());
        assertEquals(1, errorOutput.lines().count(), errorOutput);
        assertTrue(errorOutput.contains("list entry"), errorOutput);
    }

    /** A proxy whose start failed kept calling discovery and logging until the JVM had exited. */
    @Test
    void makesNoCallToDiscoveryIfStartFails() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (Peer.Listener discovery = new Peer.Listener()) {
            String malformed = "{\"version\":7,\"servers\":[{}]}";
            ProxyConfiguration invalid = configurationWith(discovery, malformed);
            assertThrows(InvalidInputException.class, () -> ProxyFixture.start(invalid, loop, router -> router));
            ProxyFixture.start(
                    configurationWith(discovery, ProxyFixture.endpointList(5, true)), loop, delegate -> delegate);
            // both have the same seed and so the same delay of the first call: the first proxy's would come earlier
            assertEquals(
                    "GET /registry/instances?stream=1&index=5 HTTP/1.1",
                    discovery.next().line());
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private ProxyConfiguration configurationWith(Peer.Listener discovery, String list) throws Exception {
        Map<String, String> environment = environment(ProxyFixture.json(list, ProxyFixture.SETTINGS, 1024));
        environment.put("LB_DISCOVERY", discovery.address());
        return ProxyConfiguration.load(environment);
    }
}
