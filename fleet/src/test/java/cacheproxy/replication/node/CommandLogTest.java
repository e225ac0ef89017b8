package cacheproxy.replication.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.InvalidFieldException;
import cacheproxy.replication.Message;
import cacheproxy.replication.OperatorCommand;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.ReplicatedEntry;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A torn or corrupt log must neither keep a member from starting nor make it restore commands that no operator gave.
 */
class CommandLogTest {
    @TempDir
    Path folder;

    private static OperatorCommands command(long number, String verb) {
        return OperatorCommands.of(
                Map.of(9L, number), List.of(new OperatorCommand(9, number, 100 + number, verb, "who", "why")));
    }

    private void appendCommands(int count) throws Exception {
        try (CommandLog log = CommandLog.open(folder)) {
            for (int i = 0; i < count; i++) {
                log.append("order/n" + i, command(i + 1, "drain"));
            }
        }
    }

    @Test
    void readsRecordsBeforeTornOne() throws Exception {
        appendCommands(4);
        Path file = folder.resolve(CommandLog.FILE);
        byte[] all = Files.readAllBytes(file);
        for (int length = 0; length < all.length; length++) {
            Files.write(file, Arrays.copyOf(all, length));
            try (CommandLog log = CommandLog.open(folder)) {
                assertEquals((long) length * 4 / all.length, log.contents().size(), "of " + length + " bytes");
                log.append("order/n9", command(9, "close"));
            }
            try (CommandLog log = CommandLog.open(folder)) {
                assertEquals(0, log.skippedBytes(), "opening a torn log must rewrite it without the torn record");
                assertTrue(log.contents().containsKey("order/n9"));
            }
        }
    }

    @Test
    void corruptByteLosesOnlyOneRecord() throws Exception {
        appendCommands(4);
        Path file = folder.resolve(CommandLog.FILE);
        byte[] all = Files.readAllBytes(file);
        for (int i = 0; i < all.length; i++) {
            byte[] bad = all.clone();
            bad[i] ^= 0x41;
            Files.write(file, bad);
            try (CommandLog log = CommandLog.open(folder)) {
                assertEquals(3, log.contents().size(), "byte " + i);
                log.contents()
                        .forEach((key, commands) ->
                                assertEquals("drain", commands.effective().action(), key));
                assertTrue(log.skippedBytes() > 0);
            }
        }
    }

    @Test
    void decodesEncodedMessagesAndRejectsMalformedOnes() {
        Message m = new Message(
                "m1",
                7,
                false,
                1_234,
                Map.of("m2", new Message.ClockReading(3, 99, 5)),
                new Message.Update(
                        List.of(
                                new ReplicatedEntry("order/n1", command(2, "drain"), 10),
                                new ReplicatedEntry("node/s-1", new EndpointStatus(5, EndpointStatus.State.GONE), 0)),
                        true));
        assertEquals(m, PeerCodec.decodeMessage(PeerCodec.encodeMessage(m)));
        byte[] encoded = PeerCodec.encodeMessage(m);
        SplittableRandom r = new SplittableRandom(1);
        int rejected = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = Arrays.copyOf(encoded, r.nextInt(4) == 0 ? r.nextInt(encoded.length) : encoded.length);
            for (int flips = r.nextInt(1, 4); flips > 0 && bad.length > 0; flips--) {
                bad[r.nextInt(bad.length)] = (byte) r.nextInt();
            }
            try {
                PeerCodec.decodeMessage(bad);
            } catch (InvalidFieldException e) {
                rejected++; // PeerConnections closes the connection; no other exception may be thrown
            }
        }
        assertTrue(rejected > 10_000, "rejected " + rejected);
    }

    @Test
    void namesInvalidFieldOfMemberFile() throws Exception {
        for (String[] bad : new String[][] {
            {"{\"name\":\"a b\"}", "name"},
            {"{\"name\":\"a\",\"peers\":{\"b\":\"10.0.0.1:1\"}}", "peers.b"},
            {"{\"name\":\"a\",\"peers\":{},\"listen\":\"127.0.0.1:1\",\"settings\":{\"copies\":0}}", "settings.copies"},
            {"{\"name\":\"a\",\"peers\":{},\"lsten\":1}", "lsten"}
        }) {
            Files.writeString(folder.resolve(MemberFile.FILE), bad[0]);
            assertTrue(
                    assertThrows(cacheproxy.common.InvalidInputException.class, () -> MemberFile.read(folder))
                            .getMessage()
                            .contains(bad[1]),
                    bad[0]);
        }
    }
}
