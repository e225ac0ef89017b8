package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.logging.Log;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The JIT warm-up before the start must end, must run its requests, and must not reach real endpoints or discovery. */
@Timeout(60)
class JitWarmUpTest {
    private static List<Path> temporaryDirectories() throws Exception {
        try (Stream<Path> paths = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
            return paths.filter(path -> path.getFileName().toString().startsWith("cacheproxy"))
                    .toList();
        }
    }

    @Test
    void servesGeneratedRequestsOfAllClasses() throws Exception {
        List<String> logLines = new ArrayList<>();
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            int served = JitWarmUp.run(fixture.config, fixture.loop, new Log(System::nanoTime, logLines::add));
            assertTrue(served > JitWarmUp.REQUESTS * 2 / 3, "served " + served + " " + logLines);
            assertEquals(List.of(), logLines);
            assertEquals(0, fixture.nodes.get(0).count(), "a request reached a real node");
        }
    }

    @Test
    void leavesNoStateInProxy() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            JitWarmUp.run(fixture.config, fixture.loop, ProxyFixture.log());
            Peer client = fixture.client();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer node = fixture.nodes.get(0).next();
            assertTrue(node.line().contains(" Oa1 "));
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            // read on the event loop: the client may receive the response before the loop's current task has ended
            fixture.loop
                    .submit(fixture.proxy::reserved)
                    .get()
                    .forEach((resource, reserved) -> assertEquals(0, reserved, resource));
        }
    }

    /** Whatever the settings are, a request class that is rejected or unknown must not delay the start. */
    @Test
    void endsIfNoRequestCanBeServed() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                1,
                settings -> settings.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":1.0")
                        .replace("\"targetMs\":750.0", "\"targetMs\":1.0"),
                1024)) {
            JitWarmUp.run(fixture.config, fixture.loop, ProxyFixture.log());
            fixture.client().send("mn\r\n");
        }
    }

    /** With a comma or a space in a name, all requests of the warm-up were rejected and it took its full 2 s. */
    @Test
    void skipsNamesThatNoCommandCanContain() throws Exception {
        for (String name : new String[] {"look,up", "look up", ""}) {
            List<String> logLines = new ArrayList<>();
            try (ProxyFixture fixture =
                    new ProxyFixture(1, settings -> settings.replace("\"lookup\"", "\"" + name + "\""), 1024)) {
                int served = JitWarmUp.run(fixture.config, fixture.loop, new Log(System::nanoTime, logLines::add));
                assertTrue(served > JitWarmUp.REQUESTS * 2 / 3, "served " + served + " " + logLines);
                assertEquals(List.of(), logLines);
            }
        }
    }

    @Test
    void logsIfNoNameCanBeUsedInCommand() throws Exception {
        List<String> logLines = new ArrayList<>();
        try (ProxyFixture fixture =
                new ProxyFixture(1, settings -> settings.replace("\"acme\"", "\"acme, inc\""), 1024)) {
            assertEquals(0, JitWarmUp.run(fixture.config, fixture.loop, new Log(System::nanoTime, logLines::add)));
            assertTrue(
                    logLines.size() == 1 && logLines.get(0).contains("a name that a command can hold"),
                    logLines.toString());
        }
    }

    @Test
    void acceptsNonAsciiNames() throws Exception {
        List<String> logLines = new ArrayList<>();
        try (ProxyFixture fixture = new ProxyFixture(
                1, settings -> settings.replace("\"lookup\"", "\"búsqueda\"").replace("\"acme\"", "\"コート\""), 1024)) {
            int served = JitWarmUp.run(fixture.config, fixture.loop, new Log(System::nanoTime, logLines::add));
            assertTrue(served > JitWarmUp.REQUESTS * 2 / 3, "served " + served + " " + logLines);
            String request = ProxyFixture.readCommand("a1", 4000)
                    .replace("lookup", "búsqueda")
                    .replace("acme", "コート");
            byte[] requestBytes = request.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            Peer client = fixture.client();
            client.socket.getOutputStream().write(requestBytes);
            Peer node = fixture.nodes.get(0).next();
            String forwarded = new String(
                    node.line().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1),
                    java.nio.charset.StandardCharsets.UTF_8);
            assertTrue(forwarded.contains(" Oa1 Pc=búsqueda,t=コート,d="), forwarded);
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
        }
    }

    /** Otherwise frequent restarts would fill the directory of temporary files, which may be kept in memory. */
    @Test
    void leavesNoTemporaryFiles() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            List<Path> directoriesBefore = temporaryDirectories();
            JitWarmUp.run(fixture.config, fixture.loop, ProxyFixture.log());
            List<Path> leftDirectories = new ArrayList<>(temporaryDirectories());
            leftDirectories.removeAll(directoriesBefore);
            // other runs share the directory of temporary files: only look for files of the warm-up
            for (Path directory : leftDirectories) {
                try (Stream<Path> files = Files.list(directory)) {
                    assertEquals(
                            List.of(),
                            files.filter(path -> path.getFileName().toString().length() == 1)
                                    .toList());
                }
            }
        }
    }
}
