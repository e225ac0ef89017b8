package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.Certificates;
import cacheproxy.control.ControlCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Agents with and without remote access: a real agent process, and the command line tool as a separate process. */
@Timeout(120)
class RemoteAccessTest {
    private static final String TOKEN_VALUE = "0123456789abcdef-token";
    private static final String JSON = "{\"listen\":\"127.0.0.1:0\",\"certificate\":\"agent.pem\","
            + "\"key\":\"agent.key\",\"clients\":\"clients.pem\"}";
    private static final String JSON_WITH_TOKEN = JSON.replace("}", ",\"token\":\"word\"}");
    private static final List<String> TLS_CLASS_PREFIXES =
            List.of(" cacheproxy.control.Tls", " javax.net.ssl.", " sun.security.ssl.", " io.netty.handler.ssl.");

    @TempDir
    static Path shared;

    private static Certificates certificates;

    @TempDir
    Path folder;

    @BeforeAll
    static void createCertificates() throws Exception {
        certificates = new Certificates(shared);
    }

    private static void writeRemoteAccessFiles(Path in, String json) throws Exception {
        certificates.agent(in, "agent", "ca");
        Certificates.file(in.resolve("word"), TOKEN_VALUE + "\n");
        Certificates.file(in.resolve("remote.json"), json);
    }

    /** The ports on which a process listens, from its file descriptors and the kernel's socket tables. */
    private static Set<Integer> listeningPorts(long pid) throws IOException {
        Set<String> sockets = new HashSet<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
            for (Path fd : all) {
                try {
                    String target = Files.readSymbolicLink(fd).toString();
                    if (target.startsWith("socket:[")) {
                        sockets.add(target.substring(8, target.length() - 1));
                    }
                } catch (NoSuchFileException e) {
                    // closed meanwhile, so a connection of a health check and not a listening socket
                }
            }
        }
        assertFalse(sockets.isEmpty(), "the process has at least its Unix socket");
        Set<Integer> ports = new HashSet<>();
        for (String kind : new String[] {"tcp", "tcp6", "udp", "udp6"}) {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/net/" + kind))) {
                String[] words = line.strip().split("\\s+");
                if (words.length > 9 && sockets.contains(words[9])) {
                    ports.add(Integer.parseInt(words[1].substring(words[1].indexOf(':') + 1), 16));
                }
            }
        }
        return ports;
    }

    private static int port(AgentRig rig) throws IOException {
        String line = rig.events().stream()
                .filter(l -> l.contains("remote access at "))
                .findFirst()
                .orElseThrow();
        return Integer.parseInt(line.replaceAll(".*remote access at 127.0.0.1:(\\d+).*", "$1"));
    }

    /** Runs the command line tool as a separate process and returns its output. */
    private String runTool(int code, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Dcacheproxy.home=..",
                "-cp",
                System.getProperty("java.class.path"),
                "cacheproxy.fleet.Main",
                "ctl"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("XDG_CACHE_HOME", folder.resolve("cache").toString());
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(code, process.exitValue(), output);
        return output;
    }

    private String remoteAddress(AgentRig rig, String name, String client, String token) throws Exception {
        Path clientFolder = certificates.asking(folder.resolve(name), client, "ca", token);
        return name + "=tls://127.0.0.1:" + port(rig) + "?" + clientFolder;
    }

    @Test
    void acceptsAuthorisedClientsAndReportsWhyOthersAreRejected() throws Exception {
        try (AgentRig rig = new AgentRig(1)) {
            writeRemoteAccessFiles(rig.folder, JSON_WITH_TOKEN);
            rig.startAndAwait("-Xlog:class+load:file=" + folder.resolve("classes") + "::filecount=0");
            String good = remoteAddress(rig, "good", "client", TOKEN_VALUE);
            Map<String, Object> all = ControlCodec.decode(runTool(0, "list", "-o", "json", "--agent", good));
            Map<?, ?> agent = (Map<?, ?>) ((List<?>) all.get("agents")).get(0);
            assertEquals(true, agent.get("reachable"));
            assertEquals(rig.agent.pid(), ((Number) agent.get("agentPid")).longValue());
            assertTrue(runTool(0, "events", "--agent", good).contains("remote access at"));
            for (String op : new String[] {"list", "status"}) {
                String output = runTool(
                        3,
                        op,
                        "--agent",
                        remoteAddress(rig, "foreign", "stranger", TOKEN_VALUE),
                        "--agent",
                        good,
                        "--agent",
                        remoteAddress(rig, "wordless", "client", null),
                        "--agent",
                        remoteAddress(rig, "guesser", "client", "0123456789abcdef-guess"));
                assertTrue(
                        output.matches("(?s).*foreign +- +unreachable .*the handshake is refused: .*"
                                + "certificate.*wordless +- +unreachable .*the token is missing or wrong.*guesser +- "
                                + "+unreachable .*the token is missing or wrong.*"),
                        output);
            }
            for (String op : new String[] {"up", "down", "agent"}) {
                assertTrue(runTool(2, op, "--agent", good).contains("is not on this machine"));
            }
            assertTrue(runTool(2, "list", "--agent", "x=tls://localhost:1?/x").contains("in digits"));
            assertTrue(runTool(2, "list", "--agent", "x=tls://127.0.0.1:1").contains("ADDRESS:PORT?FOLDER"));
            assertEquals(Set.of(port(rig)), listeningPorts(rig.agent.pid()));
            rig.callOk("list");
            String classes = Files.readString(folder.resolve("classes"));
            TLS_CLASS_PREFIXES.forEach(c -> assertTrue(classes.contains(c), c));
        }
    }

    /**
     * Anyone who can reach an agent can run any program, so nothing may listen by default; and loading TLS classes
     * would slow down the start.
     */
    @Test
    void neitherListensNorLoadsTlsClassesWithoutTheFile() throws Exception {
        try (AgentRig rig = new AgentRig(1)) {
            certificates.agent(rig.folder, "agent", "ca");
            rig.startAndAwait("-Xlog:class+load:file=" + folder.resolve("classes") + "::filecount=0");
            rig.callOk("apply", "site", rig.site());
            rig.await("all to be ready", () -> rig.allInState("ready"));
            assertEquals(Set.of(), listeningPorts(rig.agent.pid()));
            assertFalse(rig.hasEvent("remote access"));
            rig.agent.destroy();
            rig.awaitExit();
            String classes = Files.readString(folder.resolve("classes"));
            assertTrue(classes.contains(" cacheproxy.agent.Agent "), "loaded classes are logged");
            // the JDK loads this class from its list of providers when a health check looks up the HMAC
            List<String> loaded = classes.lines()
                    .filter(l -> TLS_CLASS_PREFIXES.stream().anyMatch(l::contains)
                            && !l.contains(" sun.security.ssl.SunJSSE"))
                    .toList();
            assertEquals(List.of(), loaded);
        }
    }

    @Test
    void exitsWithCode2AndTheFieldNameOnInvalidFile() throws Exception {
        try (AgentRig rig = new AgentRig(1)) {
            writeRemoteAccessFiles(rig.folder, JSON.replace("}", ",\"cleints\":\"x\"}"));
            rig.startAgent();
            assertEquals(2, rig.awaitExit());
            assertTrue(rig.output().contains("remote.json: cleints: no such field"), rig.output());
            writeRemoteAccessFiles(rig.folder, JSON.replace("agent.pem", "nowhere.pem"));
            rig.startAgent();
            assertEquals(2, rig.awaitExit());
            assertTrue(rig.output().contains("remote.json: certificate: "), rig.output());
        }
    }

    /** Guards against an agent that starts instances and then exits because its address is in use. */
    @Test
    void startsNoInstanceIfItsAddressIsInUse() throws Exception {
        try (AgentRig rig = new AgentRig(1);
                ServerSocket portHolder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            rig.startAndAwait();
            rig.callOk("apply", "site", rig.site());
            rig.await("all to be ready", () -> rig.allInState("ready"));
            rig.kill();
            rig.observer.killAll();
            writeRemoteAccessFiles(rig.folder, JSON.replace(":0", ":" + portHolder.getLocalPort()));
            rig.startAgent();
            assertEquals(2, rig.awaitExit());
            assertTrue(rig.output().contains("in use"), rig.output());
            assertFalse(rig.hasEvent("remote access"));
            for (int i = 0; i < 20; i++) {
                assertEquals(Map.of(), rig.observer.scan());
                Thread.sleep(50);
            }
            rig.assertStarts(1);
            writeRemoteAccessFiles(rig.folder, JSON);
            rig.startAndAwait();
            rig.await("all to be ready again", () -> rig.allInState("ready"));
        }
    }

    private void assertRejected(String json, String why) throws Exception {
        writeRemoteAccessFiles(folder, json);
        assertRejectedWith(why);
    }

    private void assertRejectedWith(String why) {
        Path file = folder.resolve("remote.json");
        String message = assertThrows(InvalidInputException.class, () -> RemoteAccess.read(file))
                .getMessage();
        assertTrue(message.startsWith(file + ": " + why) && !message.contains("\n"), message);
    }

    @Test
    void namesEachInvalidField() throws Exception {
        assertNull(RemoteAccess.read(folder.resolve("remote.json")));
        writeRemoteAccessFiles(folder, JSON_WITH_TOKEN);
        assertNotNull(RemoteAccess.read(folder.resolve("remote.json")));
        assertRejected("{", "it is not a JSON object");
        assertRejected("[1]", "it is not a JSON object");
        assertRejected(JSON.replace("listen", "Listen"), "Listen: no such field");
        assertRejected(JSON.replace("\"127.0.0.1:0\"", "7"), "listen: a text is needed");
        for (String bad : new String[] {
            "localhost:1", "127.0.0.1", "127.1:1", "127.0.0.1:65536", ":1", "1:2:3:4", "256.0.0.1:1", "127.0.0.1:-1"
        }) {
            assertRejected(JSON.replace("127.0.0.1:0", bad), "listen: ADDRESS:PORT in digits");
        }
        for (String field : new String[] {"certificate", "key", "clients", "token"}) {
            String file = Map.of(
                            "certificate", "agent.pem", "key", "agent.key", "clients", "clients.pem", "token", "word")
                    .get(field);
            assertRejected(JSON_WITH_TOKEN.replace("\"" + file + "\"", "\"nowhere\""), field + ": ");
            assertRejected(JSON_WITH_TOKEN.replace("\"" + file + "\"", "\".\""), field + ": ");
            assertRejected(JSON_WITH_TOKEN.replace("\"" + file + "\"", "null"), field + ": a text is needed");
            writeRemoteAccessFiles(folder, JSON_WITH_TOKEN);
            Files.writeString(folder.resolve(file), "nonsense");
            assertRejectedWith(field + ": ");
            writeRemoteAccessFiles(folder, JSON_WITH_TOKEN);
            Files.writeString(folder.resolve(file), "");
            assertRejectedWith(field + ": ");
            if (!field.equals("token")) {
                assertRejected(JSON.replaceAll(",?\"" + field + "\":\"[^\"]*\"", ""), field + " is missing");
            }
        }
        writeRemoteAccessFiles(folder, JSON);
        Certificates.file(folder.resolve("agent.key"), certificates.key("client"));
        assertRejectedWith("key: " + folder.resolve("agent.key") + " does not belong to the certificate");
    }

    @Test
    void rejectsFileThatOthersCanAccess() throws Exception {
        for (String file : new String[] {"agent.key", "word"}) {
            writeRemoteAccessFiles(folder, JSON_WITH_TOKEN);
            Files.setPosixFilePermissions(folder.resolve(file), PosixFilePermissions.fromString("rw-r-----"));
            assertRejectedWith(
                    (file.equals("word") ? "token" : "key") + ": " + folder.resolve(file) + " lets others in");
        }
        for (String mode : new String[] {"rw-r--r--", "rw--w----", "rwx------", "rw-----w-"}) {
            writeRemoteAccessFiles(folder, JSON);
            Files.setPosixFilePermissions(folder.resolve("remote.json"), PosixFilePermissions.fromString(mode));
            assertRejectedWith("its mode is " + mode);
        }
    }
}
