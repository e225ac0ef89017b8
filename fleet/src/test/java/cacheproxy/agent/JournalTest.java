package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import cacheproxy.supervise.JournalRecord;
import cacheproxy.supervise.UniqueProcessId;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The journal after torn writes, damage and failures. Guards against a lost announcement, after which a process would
 * be started twice, and against reading a record that was never written, which could start a process that should not
 * run.
 */
class JournalTest {
    private static final String SITE = "{\"name\":\"s\",\n\t\"x\":\"\u00e4\u2028\ud83d\ude00\\\" \u0000\"}";
    /** Records of all kinds, with the limits of their value ranges. */
    private static final List<JournalRecord> ALL = List.of(
            new JournalRecord.SiteDeclared(SITE),
            new JournalRecord.DesiredStateSet("n0", true),
            new JournalRecord.DesiredStateSet("n0", false),
            new JournalRecord.StartAnnounced("n0", 1, "secret", "0123456789abcdef", 4_321),
            new JournalRecord.ProcessStarted("n0", 1, new UniqueProcessId(Long.MAX_VALUE, 1L << 40, "boot")),
            new JournalRecord.ProcessStarted("n0", Integer.MAX_VALUE, new UniqueProcessId(7, -1, "")),
            new JournalRecord.ProcessEnded("n0", 1, -1, 0),
            new JournalRecord.ProcessEnded("n0", 2, 255, Integer.MAX_VALUE),
            new JournalRecord.RollingRestartBegun(1, List.of("n0", "n1"), 2),
            new JournalRecord.RollingRestartBegun(2, List.of(), 1),
            new JournalRecord.RollingRestartInstanceBegun(1, "n0", 3),
            new JournalRecord.RollingRestartInstanceDone(1, "n0"),
            new JournalRecord.RollingRestartEnded(1, ""),
            new JournalRecord.RollingRestartEnded(2, "n0 has\ncrashed"));

    private static final JournalRecord NEXT = new JournalRecord.DesiredStateSet("next", true);

    @TempDir
    Path folder;

    private Path file;

    @BeforeEach
    void setFile() {
        file = folder.resolve("journal");
    }

    private List<JournalRecord> read() throws IOException {
        List<JournalRecord> records = new ArrayList<>();
        Journal.open(file, records::add).close();
        return records;
    }

    private List<JournalRecord> readAndAppend(JournalRecord... moreRecords) throws IOException {
        List<JournalRecord> records = new ArrayList<>();
        try (Journal journal = Journal.open(file, records::add)) {
            for (JournalRecord journalRecord : moreRecords) {
                journal.append(journalRecord);
            }
        }
        return records;
    }

    /** Writes the file with these records and returns the offset of each line; the last number is the file length. */
    private List<Integer> writeJournal(List<JournalRecord> content) throws IOException {
        assertEquals(List.of(), readAndAppend(content.toArray(JournalRecord[]::new)));
        byte[] bytes = Files.readAllBytes(file);
        List<Integer> lineOffsets = new ArrayList<>(List.of(0));
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                lineOffsets.add(i + 1);
            }
        }
        assertEquals(content.size() + 2, lineOffsets.size(), "one line for each record, and the header");
        return lineOffsets;
    }

    private static byte[] line(String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (String.format("%08x ", crc.getValue()) + json + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void write(byte[]... parts) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            content.write(p);
        }
        Files.write(file, content.toByteArray());
    }

    private String assertRejected() throws IOException {
        byte[] before = Files.readAllBytes(file);
        String message = assertThrows(InvalidInputException.class, this::read).getMessage();
        assertArrayEquals(before, Files.readAllBytes(file), "a rejected file stays unchanged");
        assertTrue(message.contains(file.toString()), message);
        return message;
    }

    @Test
    void readsEveryRecordAsWritten() throws IOException {
        long kinds = ALL.stream().map(Object::getClass).distinct().count();
        assertEquals(JournalRecord.class.getPermittedSubclasses().length, kinds, "all kinds of records are covered");
        writeJournal(ALL);
        assertEquals(ALL, read());
        assertEquals(ALL, readAndAppend(NEXT));
        List<JournalRecord> moreRecords = new ArrayList<>(ALL);
        moreRecords.add(NEXT);
        assertEquals(moreRecords, read());
    }

    @Test
    void losesOnlyTheLastRecordToAWriteTornAtAnyByte() throws IOException {
        List<Integer> lineOffsets = writeJournal(ALL);
        byte[] content = Files.readAllBytes(file);
        for (int length = 0; length < content.length; length++) {
            Files.write(file, Arrays.copyOf(content, length));
            int completeLines = 0;
            while (lineOffsets.get(completeLines + 1) <= length) {
                completeLines++; // complete lines, including the header
            }
            List<JournalRecord> expectedRecords = ALL.subList(0, Math.max(0, completeLines - 1));
            assertEquals(expectedRecords, readAndAppend(NEXT), "cut at " + length);
            List<JournalRecord> moreRecords = new ArrayList<>(expectedRecords);
            moreRecords.add(NEXT);
            assertEquals(moreRecords, read(), "cut at " + length);
        }
    }

    @Test
    void discardsRestOfALongerTornLine() throws IOException {
        writeJournal(List.of(new JournalRecord.SiteDeclared("x".repeat(1000) + "\n")));
        byte[] content = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(content, content.length - 1));
        readAndAppend(NEXT);
        assertEquals(List.of(NEXT), read());
        assertEquals(2, Files.readAllLines(file).size());
    }

    @Test
    void rejectsDamagedLineBeforeValidLinesAndCutsOffDamagedLastLine() throws IOException {
        List<Integer> lineOffsets = writeJournal(ALL);
        byte[] content = Files.readAllBytes(file);
        for (int line = 0; line <= ALL.size(); line++) {
            boolean last = line == ALL.size();
            for (int offset = lineOffsets.get(line); offset < lineOffsets.get(line + 1); offset++) {
                for (int bitMask : new int[] {1, 0x80, content[offset] ^ '\n'}) {
                    if (bitMask == 0 || line == ALL.size() - 1 && content[offset] == '\n') {
                        continue; // the newline before the last line has its own test below
                    }
                    byte[] damaged = content.clone();
                    damaged[offset] ^= (byte) bitMask;
                    Files.write(file, damaged);
                    if (last) {
                        assertEquals(ALL.subList(0, ALL.size() - 1), read(), "byte " + offset);
                    } else {
                        String message = assertRejected();
                        assertTrue(
                                message.contains(
                                        " damaged in line " + (line + 1) + ", byte " + lineOffsets.get(line) + ","),
                                offset + ": " + message);
                    }
                }
            }
        }
    }

    @Test
    void rejectsDamagedNewlineBeforeAValidLine() throws IOException {
        List<Integer> lineOffsets = writeJournal(ALL);
        byte[] content = Files.readAllBytes(file);
        content[lineOffsets.get(ALL.size()) - 1] = ' ';
        Files.write(file, content);
        assertTrue(assertRejected().contains(" damaged in line " + ALL.size() + ","));
    }

    @Test
    void cutsOffTrailingZeros() throws IOException {
        writeJournal(ALL);
        byte[] content = Files.readAllBytes(file);
        write(content, new byte[4096]);
        assertEquals(ALL, readAndAppend(NEXT));
        assertEquals(ALL.size() + 1, read().size());
    }

    @Test
    void rejectsNewerVersion() throws IOException {
        write(line("{\"journal\":2}"), line("{\"wanted\":\"n0\",\"running\":true}"));
        String message = assertRejected();
        assertTrue(message.contains("of version 2, written by a newer agent; this one reads 1"), message);
    }

    @Test
    void rejectsFileThatIsNoJournalAndLeavesItUnchanged() throws IOException {
        write(line("{\"wanted\":\"n0\",\"running\":true}"));
        assertTrue(assertRejected().endsWith(" is no journal"));
        write(line("{\"journal\":\"1\"}"));
        assertTrue(assertRejected().endsWith(" is no journal"));
        Files.writeString(file, "the notes of a week, kept here by mistake\nand a second line\n");
        assertTrue(assertRejected().contains(" is no journal"));
        Files.writeString(file, "x".repeat(100));
        assertTrue(assertRejected().contains(" is no journal"));
    }

    @Test
    void createsJournalFromMissingOrEmptyFile() throws IOException {
        assertEquals(List.of(), read());
        assertEquals(List.of(), read());
        assertEquals("{\"journal\":1}", Files.readString(file).strip().split(" ", 2)[1]);
        Files.write(file, new byte[0]);
        assertEquals(List.of(), readAndAppend(NEXT));
        assertEquals(List.of(NEXT), read());
    }

    @Test
    void rejectsUnknownOrIncompleteRecordWithItsLine() throws IOException {
        for (String json : List.of(
                "{}",
                "{\"paused\":\"n0\"}",
                "{\"wanted\":\"n0\"}",
                "{\"wanted\":7}",
                "{\"wanted\":\"n0\",\"running\":\"yes\"}",
                "{\"intent\":\"n0\",\"start\":\"1\"}",
                "{\"spawned\":\"n0\",\"start\":1,\"pid\":null}",
                "{\"ended\":\"n0\",\"start\":1}",
                "{\"roll\":1,\"names\":[1],\"mostDown\":1}",
                "{\"rollTaken\":1,\"name\":2,\"start\":1}")) {
            write(line("{\"journal\":1}"), line("{\"wanted\":\"n0\",\"running\":true}"), line(json));
            String message = assertRejected();
            assertTrue(message.contains(" has an entry in line 3 that is not known here"), message);
        }
    }

    @Test
    void holdsSnapshotAndLaterRecordsAfterCompaction() throws IOException {
        try (Journal journal = Journal.open(file, journalRecord -> {})) {
            for (int i = 0; i < 100; i++) {
                journal.append(new JournalRecord.DesiredStateSet("n" + i, true));
            }
            assertEquals(101, journal.lines());
            journal.compact(ALL);
            assertEquals(ALL.size() + 1, journal.lines());
            journal.append(NEXT);
            assertEquals(ALL.size() + 2, journal.lines());
            journal.compact(List.of());
            journal.append(NEXT);
            journal.append(NEXT);
        }
        assertEquals(List.of(NEXT, NEXT), read());
        assertFalse(Files.exists(folder.resolve("journal.new")));
    }

    @Test
    void appendsToTheNewFileAfterCompaction() throws IOException {
        List<JournalRecord> moreRecords = new ArrayList<>(ALL);
        moreRecords.add(NEXT);
        try (Journal journal = Journal.open(file, journalRecord -> {})) {
            journal.append(NEXT);
            journal.compact(ALL);
            assertEquals(ALL, read(), "complete before anything is appended");
        }
        readAndAppend(NEXT);
        assertEquals(moreRecords, read());
    }

    @Test
    void keepsOldJournalIfTheAgentDiedBeforeTheRename() throws IOException {
        writeJournal(ALL);
        byte[] content = Files.readAllBytes(file);
        Path newFile = folder.resolve("journal.new");
        for (int length : new int[] {0, 5, content.length / 2, content.length}) {
            Files.write(newFile, Arrays.copyOf(content, length));
            assertEquals(ALL, read());
        }
        Files.write(newFile, new byte[1 << 16]); // longer than the new journal
        try (Journal journal = Journal.open(file, journalRecord -> {})) {
            journal.compact(List.of(NEXT));
        }
        assertEquals(List.of(NEXT), read());
        assertEquals(2, Files.readAllLines(file).size());
    }

    @Test
    void keepsOldJournalInUseAfterFailedCompaction() throws IOException {
        try (Journal journal = Journal.open(file, journalRecord -> {})) {
            journal.append(ALL.get(1));
            Path newFile = Files.createDirectory(folder.resolve("journal.new"));
            assertThrows(IOException.class, () -> journal.compact(List.of()));
            journal.append(NEXT);
            Files.delete(newFile);
        }
        assertEquals(List.of(ALL.get(1), NEXT), read());
    }

    @Test
    void staysReadableAfterFailedWrite() throws IOException {
        Journal journal = Journal.open(file, journalRecord -> {});
        journal.append(NEXT);
        journal.close();
        assertThrows(ClosedChannelException.class, () -> journal.append(ALL.get(0)));
        assertThrows(ClosedChannelException.class, () -> journal.append(ALL.get(0)));
        assertEquals(2, journal.lines());
        assertEquals(List.of(NEXT), readAndAppend(NEXT));
        assertEquals(List.of(NEXT, NEXT), read());
    }

    @Test
    void staysReadableAfterInterruptedWrite() throws IOException {
        try (Journal journal = Journal.open(file, journalRecord -> {})) {
            journal.append(NEXT);
            Thread.currentThread().interrupt(); // closes the channel during the write
            assertThrows(IOException.class, () -> journal.append(ALL.get(0)));
            assertTrue(Thread.interrupted());
            assertEquals(2, journal.lines());
        }
        List<JournalRecord> records = read();
        assertEquals(NEXT, records.get(0));
        assertTrue(records.size() == 1 || records.get(1).equals(ALL.get(0)), "the record is complete or absent");
    }

    @Test
    void rejectsOverlongRecordAndKeepsUnpairedSurrogate() throws IOException {
        try (Journal journal = Journal.open(file, journalRecord -> {})) {
            journal.append(NEXT);
            assertThrows(IOException.class, () -> journal.append(new JournalRecord.SiteDeclared("x".repeat(4 << 20))));
            journal.append(new JournalRecord.SiteDeclared("half a pair: \ud800"));
            journal.append(NEXT);
        }
        assertEquals(List.of(NEXT, new JournalRecord.SiteDeclared("half a pair: \ud800"), NEXT), read());
    }
}
