package cacheproxy.replication.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.InvalidFieldException;
import cacheproxy.replication.MemberMetric;
import cacheproxy.replication.Message;
import cacheproxy.replication.OperatorCommand;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.ReplicatedEntry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a member of this version between newer ones: it must forward fields that those have appended unchanged. */
@Timeout(90)
class NewerMemberTest {
    private static final List<Object> ADDED =
            List.of("until", 1_800_000_000_000L, List.of(1.5, true), Map.of("ticket", "T-7"));

    @TempDir
    Path root;

    private final List<Process> members = new ArrayList<>();

    @AfterEach
    void killMembers() throws InterruptedException {
        for (Process p : members) {
            p.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
    }

    private static List<Object> withAddedFields(List<Object> known) {
        List<Object> all = new ArrayList<>(known);
        all.addAll(ADDED);
        return all;
    }

    /** A message of a newer version, with a field that this version doesn't know. */
    private static Map<String, Object> updateMessage(List<Object> entries) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("v", 1);
        m.put("f", "m9");
        m.put("l", 9);
        m.put("b", false);
        m.put("n", 1);
        m.put("r", Map.of());
        m.put("zone", "a part of the message itself, for its receiver alone");
        m.put("k", "news");
        m.put("i", entries);
        m.put("c", false);
        return m;
    }

    private static List<ReplicatedEntry> decodeEntries(byte[] message) {
        return ((Message.Update) PeerCodec.decodeMessage(message).body()).entries();
    }

    @Test
    void reencodesUnknownFields() {
        List<Object> order = withAddedFields(List.of(5, 1, 7, "drain", "who", "why"));
        List<ReplicatedEntry> received = decodeEntries(PeerCodec.encode(updateMessage(List.of(
                List.of("order/n1", 3, List.of("o", List.of(List.of(5, 1)), List.of(order))),
                List.of("node/s-1", 3, withAddedFields(List.of("t", 5, "DRAINING"))),
                List.of("level/acme/m9", 3, withAddedFields(List.of("c", 9, 1, 0.5)))))));
        assertEquals(3, received.size());
        assertEquals(
                EndpointStatus.State.DRAINING, ((EndpointStatus) received.get(1).value()).state());
        assertEquals(0.5, ((MemberMetric) received.get(2).value()).amount());
        List<ReplicatedEntry> again = decodeEntries(
                PeerCodec.encodeMessage(new Message("m1", 7, false, 1, Map.of(), new Message.Update(received, false))));
        assertEquals(received, again);
        for (int i = 0; i < 3; i++) {
            assertEquals(received.get(i).value().digest(), again.get(i).value().digest());
        }
        assertEquals(
                withAddedFields(List.of("t", 5L, "DRAINING")),
                PeerCodec.encodeValue(again.get(1).value()));
        assertEquals(
                withAddedFields(List.of("c", 9L, 1L, 0.5)),
                PeerCodec.encodeValue(again.get(2).value()));
        assertEquals(
                List.of(
                        "o",
                        List.of(List.of(5L, 1L)),
                        List.of(withAddedFields(List.of(5L, 1L, 7L, "drain", "who", "why")))),
                PeerCodec.encodeValue(again.get(0).value()));
    }

    /** An entry of an unknown kind must not make the whole message malformed: the commands in it would be lost. */
    @Test
    void skipsUnknownEntriesAndDecodesTheRest() {
        List<ReplicatedEntry> received = decodeEntries(PeerCodec.encode(updateMessage(List.of(
                List.of("quota/acme", 3, List.of("q", 1, 2)),
                List.of("node/s-1", 3, List.of("t", 5, "RESTING")),
                List.of("node/s-2", 3, List.of("interval", 5, 6)),
                List.of("node/s-3", 3, List.of("t", 5, "GONE"))))));
        assertEquals(
                List.of(new ReplicatedEntry("node/s-3", new EndpointStatus(5, EndpointStatus.State.GONE), 3)),
                received);
        assertThrows(
                InvalidFieldException.class,
                () -> decodeEntries(PeerCodec.encode(
                        updateMessage(List.of(List.of("node/s-1", 3, List.of("t", "soon", "GONE")))))));
        List<Object> many = new ArrayList<>(List.of("t", 5, "GONE"));
        many.addAll(java.util.Collections.nCopies(18, 1));
        assertThrows(
                InvalidFieldException.class,
                () -> decodeEntries(PeerCodec.encode(updateMessage(List.of(List.of("node/s-1", 3, many))))));
        assertThrows(
                InvalidFieldException.class,
                () -> decodeEntries(PeerCodec.encode(updateMessage(
                        List.of(List.of("node/s-1", 3, List.of("t", 5, "GONE", "x".repeat(2_000))))))));
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }

    private Process start(String name, String listen, Map<String, String> peers) throws IOException {
        Path folder = Files.createDirectories(root.resolve(name));
        Files.deleteIfExists(folder.resolve(MemberService.SOCKET));
        Files.write(
                folder.resolve(MemberFile.FILE),
                com.fasterxml.jackson.jr.ob.JSON.std.asBytes(Map.of(
                        "name",
                        name,
                        "listen",
                        listen,
                        "peers",
                        peers,
                        "settings",
                        Map.of("tickMs", 50, "aloneMs", 1_000))));
        Process p = new ProcessBuilder(
                        "java",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cacheproxy.fleet.Main",
                        "member",
                        folder.toString())
                .redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("out").toFile()))
                .start();
        members.add(p);
        return p;
    }

    /** The commands on a subject on a member's disk; null if there are none. */
    private OperatorCommands onDisk(String name, String key) throws IOException {
        Path log = root.resolve(name).resolve(CommandLog.FILE);
        if (!Files.exists(log)) {
            return null;
        }
        Path copy = Files.createDirectories(root.resolve("copy"));
        Files.copy(log, copy.resolve(CommandLog.FILE), StandardCopyOption.REPLACE_EXISTING);
        try (CommandLog read = CommandLog.open(copy)) {
            return read.contents().get(key);
        }
    }

    private void await(String name, String key, OperatorCommands orders) throws IOException {
        while (!orders.equals(onDisk(name, key))) {
            assertTrue(members.stream().allMatch(Process::isAlive) || members.size() > 2, "a member process has ended");
            Thread.onSpinWait();
        }
    }

    /**
     * Connects three member processes in a line. The middle one is killed and restarted with its disk as the only
     * source.
     */
    @Test
    void preservesUnknownFieldsOnDiskAndWire() throws Exception {
        OperatorCommands newer = (OperatorCommands) PeerCodec.decodeValue(List.of(
                "o", List.of(List.of(5, 1)), List.of(withAddedFields(List.of(5, 1, 7, "drain", "who", "why")))));
        assertTrue(!newer.active().get(0).unknownFields().isEmpty());
        Files.createDirectories(root.resolve("m0"));
        try (CommandLog log = CommandLog.open(root.resolve("m0"))) {
            log.append("order/s-1", newer);
        }
        String m0 = freeAddress();
        String m1 = freeAddress();
        String m2 = freeAddress();
        Process first = start("m0", m0, Map.of("m1", m1));
        Process middle = start("m1", m1, Map.of("m0", m0, "m2", m2));
        await("m1", "order/s-1", newer);
        first.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        middle.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        start("m1", m1, Map.of("m0", m0, "m2", m2));
        start("m2", m2, Map.of("m1", m1));
        await("m2", "order/s-1", newer);
        OperatorCommand added = onDisk("m2", "order/s-1").active().get(0);
        assertEquals(newer.active().get(0), added);
    }
}
