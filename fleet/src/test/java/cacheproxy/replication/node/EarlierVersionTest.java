package cacheproxy.replication.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.MemberMetric;
import cacheproxy.replication.Message;
import cacheproxy.replication.OperatorCommand;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.ReplicatedEntry;
import cacheproxy.replication.ReplicationSettings;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Files and messages that commit 36a759b wrote, in {@code earlier/replication}: a member must be able to read its own
 * files after an update, and members of both versions must exchange messages and compute equal digests.
 */
class EarlierVersionTest {
    private static final Path EARLIER = Path.of("src", "test", "resources", "earlier", "replication");

    /** Fields that a later version might append to a value: {@code ["until", 1800000000000]} in CBOR. */
    private static final String UNKNOWN_FIELDS =
            new String(PeerCodec.encode(List.of("until", 1_800_000_000_000L)), StandardCharsets.ISO_8859_1);

    private static final OperatorCommands CONFLICTING = OperatorCommands.of(
            Map.of(11L, 2L, 12L, 1L),
            List.of(
                    new OperatorCommand(11, 2, 1_700_000_001_000L, "drain", "ops-1", "late"),
                    new OperatorCommand(12, 1, 1_700_000_002_000L, "close", "ops-2", "")));
    private static final OperatorCommands WITH_UNKNOWN_FIELDS = OperatorCommands.of(
            Map.of(13L, 1L),
            List.of(new OperatorCommand(
                    13, 1, 1_700_000_004_000L, "drain", "ops-3", "with a later version", UNKNOWN_FIELDS)));
    private static final List<ReplicatedEntry> ENTRIES = List.of(
            new ReplicatedEntry("order/s-1", CONFLICTING, 10),
            new ReplicatedEntry("order/s-4", WITH_UNKNOWN_FIELDS, 11),
            new ReplicatedEntry("node/s-1", new EndpointStatus(5, EndpointStatus.State.DRAINING), 0),
            new ReplicatedEntry("node/s-2", new EndpointStatus(6, EndpointStatus.State.GONE, UNKNOWN_FIELDS), 3),
            new ReplicatedEntry("sent/s-1@5/m2", new MemberMetric(9, 4, 2.5), 20),
            new ReplicatedEntry("level/acme/m2", new MemberMetric(9, 5, 0.25, UNKNOWN_FIELDS), 30),
            new ReplicatedEntry("doubt/s-1/m2", new MemberMetric(9, 6, -1), 40));

    @TempDir
    Path folder;

    @Test
    void readsCommandLogOfEarlierVersion() throws Exception {
        Files.copy(EARLIER.resolve("orders.log"), folder.resolve(CommandLog.FILE));
        try (CommandLog log = CommandLog.open(folder)) {
            assertEquals(0, log.skippedBytes());
            assertEquals(
                    Map.of(
                            "order/s-1",
                            CONFLICTING,
                            "order/s-2",
                            OperatorCommands.of(
                                    Map.of(6_963_200_001_234L, 1L),
                                    List.of(new OperatorCommand(
                                            6_963_200_001_234L,
                                            1,
                                            1_700_000_000_000L,
                                            "drain",
                                            "ops-1",
                                            "disk errors"))),
                            "order/s-3",
                            OperatorCommands.of(
                                    Map.of(11L, 3L),
                                    List.of(new OperatorCommand(
                                            11, 3, 1_700_000_003_000L, OperatorCommand.CLEAR, "ops-2", "replaced"))),
                            "order/s-4",
                            WITH_UNKNOWN_FIELDS),
                    log.contents());
            // the digests that the earlier version computed: members of both versions compare them
            assertEquals(
                    Map.of(
                            "order/s-1", "16d07bf0ee446178",
                            "order/s-2", "1713f367805dee2c",
                            "order/s-3", "574e5835247bc3f7",
                            "order/s-4", "5887565cee13a84a"),
                    log.contents().entrySet().stream()
                            .collect(Collectors.toMap(
                                    Map.Entry::getKey,
                                    e -> Long.toHexString(e.getValue().digest()))));
        }
    }

    /** A log that is written again must be readable by the earlier version if the update is rolled back. */
    @Test
    void writesCommandLogByteForByteAsEarlierVersion() throws Exception {
        try (CommandLog log = CommandLog.open(folder)) {
            log.append(
                    "order/s-1",
                    OperatorCommands.of(
                            Map.of(11L, 1L),
                            List.of(new OperatorCommand(11, 1, 1_700_000_000_500L, "close", "ops-1", "first"))));
            try (CommandLog earlier = earlierLog()) {
                log.append("order/s-2", earlier.contents().get("order/s-2"));
                log.append("order/s-1", CONFLICTING);
                log.append("order/s-3", earlier.contents().get("order/s-3"));
                log.append("order/s-4", WITH_UNKNOWN_FIELDS);
            }
        }
        assertArrayEquals(
                Files.readAllBytes(EARLIER.resolve("orders.log")), Files.readAllBytes(folder.resolve(CommandLog.FILE)));
    }

    private CommandLog earlierLog() throws Exception {
        Path copy = Files.createDirectories(folder.resolve("earlier"));
        Files.copy(EARLIER.resolve("orders.log"), copy.resolve(CommandLog.FILE));
        return CommandLog.open(copy);
    }

    @Test
    void readsMemberFileOfEarlierVersion() {
        assertEquals(
                new MemberFile(
                        "m1",
                        new InetSocketAddress("127.0.0.1", 7001),
                        Map.of(
                                "m2",
                                new InetSocketAddress("127.0.0.1", 7002),
                                "m3",
                                new InetSocketAddress("127.0.0.1", 7003)),
                        new ReplicationSettings(50, 8_192, 131_072, 3, 15_000, 1_000, 3_000, 4_000),
                        -3_600_000),
                MemberFile.read(EARLIER));
    }

    @Test
    void readsAndWritesMessagesByteForByteAsEarlierVersion() throws Exception {
        Map<String, Message.Body> bodies = new LinkedHashMap<>();
        bodies.put("news", new Message.Update(ENTRIES, true));
        bodies.put("sum", new Message.DigestSummary(-5));
        bodies.put("buckets", new Message.BucketDigests(bucketDigests()));
        Map<Long, Long> keyDigests = new LinkedHashMap<>();
        keyDigests.put(-7L, 8L);
        keyDigests.put(9L, Long.MIN_VALUE);
        bodies.put("keys", new Message.KeyDigests(List.of(0, 17, 255), keyDigests));
        bodies.put("want", new Message.EntryRequest(List.of(1L, -2L, 3L)));
        bodies.put("stored", new Message.DurableAck("order/s-1", 11, 2));
        bodies.put("ask", new Message.TransferRequest(-9, false));
        bodies.put("page", new Message.TransferPage(ENTRIES.subList(0, 3), 77, false, true));
        Map<String, Message.ClockReading> readings = new LinkedHashMap<>();
        readings.put("m2", new Message.ClockReading(3, 99, 5));
        readings.put("m3", new Message.ClockReading(4, 100, 0));

        List<String> lines = Files.readAllLines(EARLIER.resolve("messages.hex"));
        assertEquals(bodies.size(), lines.size());
        for (String line : lines) {
            String type = line.substring(0, line.indexOf(' '));
            byte[] bytes = HexFormat.of().parseHex(line.substring(line.indexOf(' ') + 1));
            Message expected = new Message("m1", 7, type.equals("ask"), 1_234, readings, bodies.get(type));
            Message decoded = PeerCodec.decodeMessage(bytes);
            if (decoded.body() instanceof Message.BucketDigests buckets) {
                assertArrayEquals(bucketDigests(), buckets.digests());
            } else {
                assertEquals(expected, decoded, type);
            }
            assertArrayEquals(bytes, PeerCodec.encodeMessage(expected), type);
        }
    }

    private static long[] bucketDigests() {
        long[] digests = new long[256];
        Arrays.setAll(digests, i -> i * 0x9E3779B97F4A7C15L);
        return digests;
    }

    @Test
    void computesDigestsAsEarlierVersion() {
        assertEquals(
                List.of(
                        "16d07bf0ee446178",
                        "5887565cee13a84a",
                        "ebf40b1885980b51",
                        "9838f63eb70964b6",
                        "8f660d9733edeb19",
                        "4e8bcde09788dc4e",
                        "ac0e71c584c49dfb"),
                ENTRIES.stream().map(e -> Long.toHexString(e.value().digest())).toList());
    }
}
