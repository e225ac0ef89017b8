package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlCodec;
import cacheproxy.control.RawClient;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The control channel of a real process, the lock on its name, and misbehaving clients of the control channel. */
@Timeout(90)
class ControlChannelTest {
    private static final int REPLY_MS = 10_000;
    /** Descriptors for 32 connections, 16 that are accepted together and rejected, and 8 for the process itself. */
    private static final int MAX_ADDITIONAL_DESCRIPTORS = 32 + 16 + 8;

    private DiscoveryStandIn discovery;
    private Peer.Listener node;
    private final List<Peer> connections = new ArrayList<>();
    private Path folder;
    private Path socket;

    @BeforeEach
    void open() throws IOException {
        node = new Peer.Listener();
        discovery = new DiscoveryStandIn(known());
        folder = Files.createTempDirectory("control"); // with mode 700, as the control channel requires
        socket = folder.resolve("n0.sock");
    }

    @AfterEach
    void close() throws IOException {
        discovery.close();
        node.close();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(p);
            }
        }
    }

    private ProxyChildProcess.Start with(String variable, String value) {
        ProxyChildProcess.Start startOptions = new ProxyChildProcess.Start();
        startOptions.env = new HashMap<>(Map.of("LB_CONTROL", socket.toString(), "LB_SECRET", "s3cret"));
        startOptions.env.put(variable, value);
        return startOptions;
    }

    private String known() {
        return ProxyFixture.endpointList(1, true, ProxyFixture.listEntry(0, "SERVING", node));
    }

    private ProxyChildProcess startChild(ProxyChildProcess.Start startOptions) throws IOException {
        return startOptions.with(discovery.listener, known());
    }

    private ProxyChildProcess startChild() throws IOException {
        return startChild(with("LB_SECRET", "s3cret"));
    }

    private Map<String, Object> call(String op) throws IOException {
        return ControlClient.call(socket, ControlCodec.request(op), REPLY_MS);
    }

    private Map<String, Object> hello(String nonce) throws IOException {
        Map<String, Object> request = ControlCodec.request("hello");
        request.put("nonce", nonce);
        return ControlClient.call(socket, request, REPLY_MS);
    }

    /** Polls the status until it matches {@code condition}, and returns it. */
    private Map<String, Object> status(
            ProxyChildProcess child, String description, Predicate<Map<String, Object>> condition)
            throws InterruptedException {
        Map<String, Object> last = new HashMap<>();
        child.await(description, () -> {
            try {
                last.clear();
                last.putAll(call("status"));
                return condition.test(last);
            } catch (IOException e) {
                return false; // the control channel is not listening yet
            }
        });
        return last;
    }

    private Map<String, Object> awaitPhase(ProxyChildProcess child, String phase) throws InterruptedException {
        return status(child, "to be " + phase, s -> phase.equals(s.get("phase")));
    }

    @SuppressWarnings("unchecked") // objects in a reply are maps with string keys
    private static Map<String, Object> at(Map<String, Object> reply, String... path) {
        Map<String, Object> current = reply;
        for (String name : path) {
            current = (Map<String, Object>) current.get(name);
        }
        return current;
    }

    private static String digest(Path file) throws Exception {
        byte[] hash = MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(file));
        return HexFormat.of().formatHex(hash).substring(0, 16);
    }

    /** Waits for the command with this id at the node, and returns the connection on which it arrived. */
    private Peer awaitArrival(ProxyChildProcess child, String id) throws Exception {
        Peer[] arrived = new Peer[1];
        child.await("to send " + id, () -> {
            for (Peer p = node.poll(); p != null; p = node.poll()) {
                connections.add(p);
            }
            arrived[0] = connections.stream()
                    .filter(ControlChannelTest::ready)
                    .findFirst()
                    .orElse(null);
            return arrived[0] != null;
        });
        assertEquals("O" + id, CommandArrivals.readCommandId(arrived[0]));
        return arrived[0];
    }

    private static boolean ready(Peer p) {
        try {
            return p.ready();
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request, and lets the node respond with this line. */
    private void assertAnswered(ProxyChildProcess child, Peer client, String request, String id, String line)
            throws Exception {
        client.send(request);
        awaitArrival(child, id).send(line + "\r\n");
        client.expect(line);
    }

    private void assertServed(ProxyChildProcess child, Peer client, String id) throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        awaitArrival(child, id).send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
    }

    // ---- operation hello ----

    /** Guards against stopping the wrong process after a pid has been reused. */
    @Test
    void helloReturnsIdentityWithProof() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            awaitPhase(child, "ready");
            Map<String, Object> hello = hello("n1");
            assertEquals(
                    Set.of("v", "ok", "end", "name", "build", "pid", "startTicks", "bootId", "proof"), hello.keySet());
            assertEquals("n0", hello.get("name"));
            assertEquals(child.process.pid(), ((Number) hello.get("pid")).longValue());
            String stat = Files.readString(Path.of("/proc/" + child.process.pid() + "/stat"));
            String ticks = stat.substring(stat.lastIndexOf(')')).split(" ")[20];
            assertEquals(ticks, hello.get("startTicks").toString());
            String bootId =
                    Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
            assertEquals(bootId, hello.get("bootId"));
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec("s3cret".getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
            byte[] proof = mac.doFinal("n0\nn1".getBytes(StandardCharsets.UTF_8));
            assertEquals(HexFormat.of().formatHex(proof), hello.get("proof"));
            assertNotEquals(hello.get("proof"), hello("n2").get("proof"));
            for (Object invalidNonce : new Object[] {"", "x".repeat(257), 7, List.of("n1"), true}) {
                Map<String, Object> request = ControlCodec.request("hello");
                request.put("nonce", invalidNonce);
                Map<String, Object> reply = ControlClient.call(socket, request, REPLY_MS);
                assertTrue(reply.get("error").toString().startsWith("nonce: "), reply.toString());
            }
            assertTrue(call("hello").get("error").toString().startsWith("nonce: "));
        }
    }

    @Test
    void helloReturnsNoProofWithoutSecret() throws Exception {
        try (ProxyChildProcess child = startChild(with("LB_SECRET", ""))) {
            awaitPhase(child, "ready");
            assertFalse(hello("n1").containsKey("proof"));
        }
    }

    @Test
    void unknownOperationListsSupportedOnes() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            awaitPhase(child, "ready");
            assertEquals(
                    "no such operation: stop; there are hello, status, reload, drain",
                    call("stop").get("error"));
        }
    }

    // ---- operation status ----

    private static Map<String, Object> counts(int served, int missed, int rejected, int left) {
        return Map.of(
                "served", served, "missed", missed, "refused", 0, "failed", 0, "rejected", rejected, "left", left);
    }

    @Test
    void statusReportsIdentityEndpointsAndCounts() throws Exception {
        String known = ProxyFixture.endpointList(
                1, true, ProxyFixture.listEntry(0, "SERVING", node), ProxyFixture.listEntry(1, "DRAINING", node));
        discovery.setList(known);
        try (ProxyChildProcess child = with("LB_SECRET", "s3cret").with(discovery.listener, known)) {
            Map<String, Object> first = awaitPhase(child, "ready");
            assertEquals(
                    Set.of(
                            "v",
                            "ok",
                            "end",
                            "name",
                            "build",
                            "pid",
                            "startTicks",
                            "bootId",
                            "phase",
                            "nodes",
                            "clients",
                            "open",
                            "longestStallMs",
                            "answered",
                            "classes",
                            "tenants",
                            "configuration"),
                    first.keySet());
            assertEquals("n0", first.get("name"));
            assertEquals(child.process.pid(), ((Number) first.get("pid")).longValue());
            assertEquals(Map.of("serving", 1, "draining", 1), first.get("nodes"));
            assertEquals(Map.of("generation", 1, "digest", digest(child.config)), first.get("configuration"));
            assertTrue(first.get("longestStallMs") instanceof Integer, first.toString());
            assertEquals(
                    Set.of("lookup", "charge", "submit"), at(first, "classes").keySet());
            assertEquals(Set.of("acme"), at(first, "tenants").keySet());
            assertEquals(counts(0, 0, 0, 0), first.get("answered"), "warm-up requests are not counted");

            Peer client = child.connect();
            assertServed(child, client, "a1");
            assertAnswered(child, client, ProxyFixture.readCommand("a2", 4000), "a2", "EN");
            assertAnswered(
                    child, client, ProxyFixture.writeCommand("charge", "a3", 4000), "a3", "CLIENT_ERROR bad request");
            Peer closingClient = child.connect();
            closingClient.send(ProxyFixture.readCommand("a4", 4000));
            Map<String, Object> open =
                    status(child, "to have one open request", s -> s.get("open").equals(1));
            assertEquals(2, open.get("clients"));
            closingClient.close();
            Map<String, Object> last = status(
                    child,
                    "to have counted all requests",
                    s -> s.get("clients").equals(1)
                            && at(s, "answered").get("left").equals(1));
            assertEquals(counts(1, 1, 1, 1), last.get("answered"));
            assertEquals(last.get("answered"), at(last, "tenants").get("acme"));
            assertEquals(counts(1, 1, 0, 1), at(last, "classes").get("lookup"));
            assertEquals(counts(0, 0, 1, 0), at(last, "classes").get("charge"));
            assertEquals(counts(0, 0, 0, 0), at(last, "classes").get("submit"));
        }
    }

    private static void release(Closeable held) throws IOException {
        held.close();
    }

    @Test
    void statusReportsStartingUntilListeningAndDrainingDuringShutdown() throws Exception {
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ProxyChildProcess.Start startOptions = with("LB_SECRET", "s3cret");
            startOptions.port = held.getLocalPort();
            try (ProxyChildProcess child = startChild(startOptions)) {
                child.awaitClassLoaded("java.net.BindException");
                assertEquals("starting", call("status").get("phase"));
                release(held);
                awaitPhase(child, "ready");
                Peer client = child.connectWhenReady();
                client.send(ProxyFixture.readCommand("a1", 4000));
                Peer nodeConnection = awaitArrival(child, "a1");
                child.signal("TERM");
                assertEquals(1, awaitPhase(child, "draining").get("open"));
                nodeConnection.send("VA 1 Oa1\r\n1\r\n");
                client.expect("VA 1 Oa1", "1");
                assertEquals(0, child.awaitExit(6));
            }
        }
    }

    /** Guards against waiting forever for a stopped process: the kernel still accepts connection and request. */
    @Test
    void clientTimesOutOnStoppedProcess() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            awaitPhase(child, "ready");
            child.signal("STOP");
            IOException timeout = assertThrows(
                    IOException.class, () -> ControlClient.call(socket, ControlCodec.request("status"), 300));
            assertEquals("no reply in time", timeout.getMessage());
            child.signal("CONT");
            assertEquals("ready", call("status").get("phase"));
        }
    }

    // ---- operation reload ----

    /** Guards against replying with the digest of a file that is not the configuration in use. */
    @Test
    void reloadReportsAppliedConfigurationEvenIfFileChangesAgain() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            Map<String, Object> before = at(awaitPhase(child, "ready"), "configuration");
            String original = Files.readString(child.config);
            Set<Object> digests = new java.util.HashSet<>(Set.of(before.get("digest")));
            for (int i = 2; i < 12; i++) {
                Files.writeString(child.config, original.replace("\"maxAttempts\":4", "\"maxAttempts\":" + i));
                String digest = digest(child.config);
                Map<String, Object> reply = call("reload");
                Files.writeString(child.config, original + " ".repeat(i)); // not followed by a reload request
                assertEquals(true, reply.get("ok"));
                assertEquals(i, reply.get("generation"));
                assertEquals(digest, reply.get("digest"));
                assertEquals(i == 4 ? null : List.of("settings.caps.maxAttempts"), reply.get("needRestart"));
                assertEquals(digest, at(call("status"), "configuration").get("digest"));
                digests.add(digest);
            }
            assertEquals(10, digests.size(), "one of them equals the configuration at the start");
            assertNull(call("status").get("refused"));
        }
    }

    /**
     * Guards against a refusal without a reason, or reported as success, so that the invalid configuration is noticed
     * only at the next start.
     */
    @Test
    void refusedReloadNamesFieldAndKeepsConfiguration() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            Map<String, Object> before = at(awaitPhase(child, "ready"), "configuration");
            String original = Files.readString(child.config);
            Files.writeString(child.config, original.replace("\"sockets\":1024", "\"sockets\":7"));
            Map<String, Object> reply = call("reload");
            assertEquals(false, reply.get("ok"));
            assertTrue(reply.get("error").toString().contains("limits.sockets"), reply.toString());
            Map<String, Object> status = call("status");
            assertEquals(before, status.get("configuration"));
            assertEquals(
                    Map.of("generation", 1, "digest", digest(child.config), "reason", reply.get("error")),
                    status.get("refused"));

            Files.writeString(child.config, "{\"name\":");
            child.signal("HUP"); // reported no matter how the reload was requested
            child.await("to report the refused configuration", () -> {
                try {
                    String reason = at(call("status"), "refused").get("reason").toString();
                    return reason.contains("is not a JSON object");
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            Files.delete(child.config);
            assertTrue(call("reload").get("error").toString().contains("cannot be read"));
            Files.writeString(child.config, original);
            assertEquals(2, call("reload").get("generation"));
            assertServed(child, child.connectWhenReady(), "a1");
        }
    }

    // ---- operation drain ----

    @Test
    void drainReportsProgressToAllRequesters() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            Peer client = child.connectWhenReady();
            client.send(ProxyFixture.readCommand("a1", 4000));
            Peer nodeConnection = awaitArrival(child, "a1");
            try (RawClient first = new RawClient(socket);
                    RawClient second = new RawClient(socket)) {
                first.send("{\"v\":1,\"op\":\"drain\",\"id\":\"d\"}\n");
                Map<String, Object> progress = first.reply();
                assertEquals(Map.of("v", 1, "id", "d", "ok", true, "open", 1, "clients", 1, "end", false), progress);
                second.send("{\"v\":1,\"op\":\"drain\"}\n");
                assertEquals(1, second.reply().get("open"));
                assertServed(child, child.connectWhenReady(), "a2"); // new connections are still served for a while
                nodeConnection.send("VA 1 Oa1\r\n1\r\n");
                client.expect("VA 1 Oa1", "1");
                for (RawClient c : List.of(first, second)) {
                    Map<String, Object> reply = c.reply();
                    while (Boolean.FALSE.equals(reply.get("end"))) {
                        reply = c.reply();
                    }
                    assertEquals(true, reply.get("done"));
                    assertTrue(reply.get("all") instanceof Boolean);
                    c.expectEnd();
                }
            }
            assertEquals(0, child.awaitExit(6));
            assertFalse(Files.exists(socket), "the socket was not removed at exit");
        }
    }

    @Test
    void drainWithoutOpenRequestsCompletes() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            awaitPhase(child, "ready");
            try (RawClient client = new RawClient(socket)) {
                Map<String, Object> reply = client.ask("{\"v\":1,\"op\":\"drain\"}");
                while (Boolean.FALSE.equals(reply.get("end"))) {
                    reply = client.reply();
                }
                assertEquals(Map.of("v", 1, "ok", true, "done", true, "all", true, "end", true), reply);
            }
            assertEquals(0, child.awaitExit(6));
        }
    }

    // ---- misbehaving clients of the control channel ----

    /** One round of misbehaviour, repeated until {@code stop} is set; counts {@code completedRounds}. */
    private interface Misbehaviour {
        void once(AtomicBoolean stop, AtomicInteger completedRounds) throws IOException;
    }

    private long countDescriptors(ProxyChildProcess child) throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + child.process.pid() + "/fd"))) {
            return all.count();
        }
    }

    /** Checks that requests are served during the misbehaviour, and that its descriptors are released afterwards. */
    private void assertServesDuring(int rounds, Misbehaviour misbehaviour) throws Exception {
        ProxyChildProcess.Start startOptions =
                with("JAVA_TOOL_OPTIONS", "-Xmx80m -XX:MaxDirectMemorySize=16m"); // as in production
        try (ProxyChildProcess child = startChild(startOptions)) {
            awaitPhase(child, "ready");
            Peer client = child.connectWhenReady();
            assertServed(child, client, "a");
            long before = countDescriptors(child);
            long maxDescriptors = before;
            AtomicBoolean stop = new AtomicBoolean();
            AtomicInteger completedRounds = new AtomicInteger();
            List<Throwable> failures = new ArrayList<>();
            Thread thread = new Thread(() -> {
                while (!stop.get()) {
                    try {
                        misbehaviour.once(stop, completedRounds);
                    } catch (IOException e) {
                        completedRounds.incrementAndGet(); // the control channel closed the connection
                    } catch (Throwable e) {
                        failures.add(e);
                        return;
                    }
                }
            });
            thread.start();
            for (int i = 0; i < rounds || completedRounds.get() == 0; i++) {
                assertServed(child, client, "a" + i);
                assertTrue(failures.isEmpty(), failures.toString());
                maxDescriptors = Math.max(maxDescriptors, countDescriptors(child));
            }
            stop.set(true);
            thread.join();
            assertTrue(
                    maxDescriptors <= before + MAX_ADDITIONAL_DESCRIPTORS,
                    maxDescriptors + " descriptors, " + before + " before the misbehaviour");
            assertEquals(List.of(), failures);
            Map<String, Object> status = status(child, "to answer status again", s -> s.containsKey("phase"));
            assertEquals("ready", status.get("phase"));
            assertEquals(0, at(status, "answered").get("failed"));
            child.await("to have released the descriptors", () -> {
                try {
                    return countDescriptors(child) <= before + 1;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            assertTrue(
                    child.errorLines.stream().noneMatch(l -> l.contains("fault") || l.contains("OutOfMemory")),
                    child.errorLines.toString());
        }
    }

    @Test
    void servesWhileClientsHang() throws Exception {
        assertServesDuring(300, (stop, completedRounds) -> {
            try (RawClient silent = new RawClient(socket);
                    RawClient half = new RawClient(socket)) {
                silent.send("");
                half.send("{\"v\":1,\"op\":\"sta");
                completedRounds.incrementAndGet();
                while (!stop.get()) {
                    Thread.onSpinWait();
                }
            }
        });
    }

    @Test
    void servesDuringFloodOfRequests() throws Exception {
        String all = "{\"v\":1,\"op\":\"status\"}\n".repeat(200) + "{\"v\":1,\"op\":\"stop\"}\n".repeat(200);
        assertServesDuring(300, (stop, completedRounds) -> {
            try (RawClient flood = new RawClient(socket)) {
                while (!stop.get()) {
                    flood.send(all);
                    for (int i = 0; i < 400; i++) {
                        assertEquals(i < 200, flood.reply().get("ok"));
                    }
                    completedRounds.incrementAndGet();
                }
            }
        });
    }

    @Test
    void servesDuringFloodOfReloads() throws Exception {
        String all = "{\"v\":1,\"op\":\"reload\"}\n".repeat(100);
        assertServesDuring(300, (stop, completedRounds) -> {
            try (RawClient flood = new RawClient(socket)) {
                flood.send(all);
                for (int i = 0, last = 1; i < 100; i++) {
                    int generation = (Integer) flood.reply().get("generation");
                    assertTrue(generation > last);
                    last = generation;
                }
                completedRounds.incrementAndGet();
            }
        });
    }

    @Test
    void servesDuringFloodOfInvalidLines() throws Exception {
        String nonsense = "\u0000]x{\n".repeat(20_000);
        assertServesDuring(300, (stop, completedRounds) -> {
            try (RawClient c = new RawClient(socket)) {
                while (!stop.get()) {
                    c.send(nonsense);
                }
            }
        });
    }

    @Test
    void servesDuringEndlessLine() throws Exception {
        String piece = "x".repeat(1 << 18);
        assertServesDuring(300, (stop, completedRounds) -> {
            try (RawClient c = new RawClient(socket)) {
                while (!stop.get()) {
                    c.send(piece);
                }
            }
        });
    }

    /** Guards against unread replies filling the heap of the proxy process. */
    @Test
    void servesWhileThirtyClientsDoNotReadReplies() throws Exception {
        assertServesDuring(300, (stop, completedRounds) -> {
            List<RawClient> deaf = new ArrayList<>();
            List<ByteBuffer> out = new ArrayList<>();
            try {
                for (int i = 0; i < 30; i++) {
                    deaf.add(new RawClient(socket));
                    out.add(StandardCharsets.UTF_8.encode("{\"v\":1,\"op\":\"status\"}\n".repeat(100_000)));
                }
                while (!stop.get()) {
                    for (int i = 0; i < deaf.size(); i++) {
                        deaf.get(i).offer(out.get(i));
                    }
                    completedRounds.incrementAndGet();
                }
            } finally {
                for (RawClient c : deaf) {
                    c.close();
                }
            }
        });
    }

    @Test
    void servesWhileHundredClientsConnectAtOnce() throws Exception {
        assertServesDuring(300, (stop, completedRounds) -> {
            List<Closeable> all = new ArrayList<>();
            try {
                for (int i = 0; i < 100; i++) {
                    RawClient c = new RawClient(socket);
                    all.add(c);
                    try {
                        c.send("{\"v\":1,\"op\":\"status\"}\n");
                    } catch (IOException e) {
                        // already rejected
                    }
                }
                completedRounds.incrementAndGet();
            } finally {
                for (Closeable c : all) {
                    c.close();
                }
            }
        });
    }

    // ---- socket path and lock on the name ----

    /** Checks that the process exits with this code after logging a single line, and returns the line. */
    private String assertExits(int code, ProxyChildProcess.Start startOptions) throws Exception {
        try (ProxyChildProcess child = startChild(startOptions)) {
            assertEquals(code, child.awaitExit(20), child.errorLines.toString());
            assertEquals(1, child.errorLines.size(), child.errorLines.toString());
            assertTrue(child.errorLines.get(0).startsWith("cacheproxy: "), child.errorLines.toString());
            return child.errorLines.get(0);
        }
    }

    private List<String> filesInFolder() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(p -> p.getFileName().toString()).sorted().toList();
        }
    }

    @Test
    void exitsWithLengthOfTooLongSocketPath() throws Exception {
        String longest =
                folder.resolve("x".repeat(108 - folder.toString().length() - 1)).toString();
        String exitLine = assertExits(2, with("LB_CONTROL", longest));
        assertTrue(exitLine.contains("too long, 108 bytes"), exitLine);
        assertEquals(List.of(), filesInFolder());
    }

    @Test
    void exitsIfSocketPathNamesNoFile() throws Exception {
        assertTrue(assertExits(2, with("LB_CONTROL", "/")).contains("LB_CONTROL"));
    }

    @Test
    void exitsAndLeavesNoFileIfFolderIsAccessibleToOthers() throws Exception {
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwxr-xr-x"));
        String exitLine = assertExits(2, with("LB_SECRET", "s3cret"));
        assertTrue(exitLine.contains("rwxr-xr-x") && exitLine.contains("700"), exitLine);
        assertTrue(exitLine.contains(folder.toString()), exitLine);
        assertEquals(List.of(), filesInFolder());
    }

    /** Guards against the lock creating the folder with open permissions, which the control channel then rejects. */
    @Test
    void createsMissingFolderForOwnerOnly() throws Exception {
        socket = folder.resolve("run").resolve("n0.sock");
        try (ProxyChildProcess child = startChild(with("LB_CONTROL", socket.toString()))) {
            awaitPhase(child, "ready");
            assertEquals("rwx------", PosixFilePermissions.toString(Files.getPosixFilePermissions(socket.getParent())));
        }
    }

    /** Guards against two processes of one name, which reply for each other and which an agent counts as one. */
    @Test
    void secondProcessOfSameNameExitsWithDistinctCode() throws Exception {
        try (ProxyChildProcess first = startChild()) {
            Peer client = first.connectWhenReady();
            assertServed(first, client, "a1");
            for (int i = 0; i < 2; i++) {
                String exitLine = assertExits(3, with("LB_SECRET", "s3cret"));
                String held = "the name n0 is held by another process (pid " + first.process.pid() + ")";
                assertTrue(exitLine.contains(held), exitLine);
                assertServed(first, client, "b" + i);
                assertEquals(first.process.pid(), ((Number) call("status").get("pid")).longValue());
                // a lock that is not referenced would be released by garbage collection
                String jcmd =
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
                Process gc = new ProcessBuilder(jcmd, Long.toString(first.process.pid()), "GC.run")
                        .redirectErrorStream(true)
                        .start();
                gc.getInputStream().readAllBytes();
                assertEquals(0, gc.waitFor());
            }
        }
    }

    /** Guards against a restart that fails because a crash has left a socket and a lock file behind. */
    @Test
    void releasesNameAndReplacesStaleSocketAfterSigkill() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (ProxyChildProcess child = startChild()) {
                awaitPhase(child, "ready");
                assertEquals(child.process.pid(), ((Number) hello("n").get("pid")).longValue());
                child.signal("KILL");
                assertEquals(137, child.awaitExit(10));
                assertTrue(Files.exists(socket));
            }
        }
    }

    /** Guards against removing a foreign file in the belief that it is a stale socket. */
    @Test
    void exitsAndKeepsFileAtSocketPath() throws Exception {
        Files.writeString(socket, "kept");
        assertTrue(assertExits(2, with("LB_SECRET", "s3cret")).contains("no socket"));
        assertEquals("kept", Files.readString(socket));
    }

    // ---- classes that are not loaded ----

    /** Guards against a slower start and an unwanted socket if the control channel is not configured. */
    @Test
    void createsNoSocketAndLoadsNoControlClassWithoutVariable() throws Exception {
        for (Map<String, String> env : List.of(Map.<String, String>of(), Map.of("LB_CONTROL", " "))) {
            ProxyChildProcess.Start startOptions = new ProxyChildProcess.Start();
            startOptions.env = env;
            try (ProxyChildProcess child = startChild(startOptions)) {
                assertServed(child, child.connectWhenReady(), "a1");
                int before = child.errorLines.size();
                child.signal("HUP");
                child.awaitErrorLine(before, "configuration taken");
                child.signal("TERM");
                assertEquals(0, child.awaitExit(6));
                String classes = child.classes();
                assertTrue(
                        classes.contains(" cacheproxy.server.ProxyProcess source:"), "no loaded classes were recorded");
                assertFalse(classes.contains(" cacheproxy.control."), "with " + env);
                assertFalse(classes.contains(" cacheproxy.server.ControlChannel "), "with " + env);
                assertFalse(classes.contains(" cacheproxy.control.InstanceLock "), "with " + env);
                assertEquals(List.of(), filesInFolder());
            }
        }
    }

    /** Guards against a slower start of instances because of the agents' remote access, which uses TLS. */
    @Test
    void loadsNoTlsClassWithControlChannel() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            awaitPhase(child, "ready");
            child.signal("TERM");
            assertEquals(0, child.awaitExit(6));
            String classes = child.classes();
            assertTrue(classes.contains(" cacheproxy.control.ControlServer "), "no loaded classes were recorded");
            for (String no : List.of(
                    " cacheproxy.control.Tls", " javax.net.ssl.", " sun.security.ssl.", " io.netty.handler.ssl.")) {
                assertFalse(classes.contains(no), no);
            }
        }
    }

    /** Guards against Netty using the JDK's logging, which writes on the event loop and opens its own files. */
    @Test
    void installsNettyLoggerBeforeNettyClassesAreUsed() throws Exception {
        try (ProxyChildProcess child = startChild()) {
            awaitPhase(child, "ready");
            assertServed(child, child.connectWhenReady(), "a1");
            assertTrue(
                    child.classes().contains(" io.netty.bootstrap.ServerBootstrap "),
                    "no loaded classes were recorded");
            assertFalse(child.classes().contains(" java.util.logging.Logger "), "the JDK's logging is used");
        }
    }
}
