package cacheproxy.agent;

import cacheproxy.common.InvalidInputException;
import cacheproxy.supervise.JournalRecord;
import cacheproxy.supervise.SupervisionPolicy;
import cacheproxy.supervise.UniqueProcessId;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The agent's journal, one record per line: the CRC-32C of a JSON object in eight hexadecimal digits, a space, the
 * object. Each record is synced to disk before {@link #append} returns. After a torn write all earlier records remain
 * readable and the incomplete last line is cut off. A damaged line with valid lines after it is not a torn write; the
 * journal is then rejected with the position of that line.
 */
final class Journal implements Closeable {
    static final int VERSION = 1;
    private static final int CRC_DIGITS = 8;
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final Path file;
    private FileChannel channel;
    private long size;
    private int lines;
    /** The last append may have left an incomplete line, which is cut off before the next append. */
    private boolean incompleteLine;

    private Journal(Path file, FileChannel channel, long size, int lines) {
        this.file = file;
        this.channel = channel;
        this.size = size;
        this.lines = lines;
    }

    /**
     * Opens the journal, creating it if missing, and passes its records on in order. Throws
     * {@link InvalidInputException} if it cannot be read.
     */
    static Journal open(Path file, java.util.function.Consumer<JournalRecord> records) throws IOException {
        byte[] content = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
        int offset = 0;
        int count = 0;
        while (offset < content.length) {
            int end = offset;
            while (end < content.length && content[end] != '\n') {
                end++;
            }
            Map<String, Object> fields = end < content.length ? toFields(content, offset, end) : null;
            if (fields == null) {
                if (hasValidLineAfter(content, offset + 1)) {
                    throw new InvalidInputException("the journal " + file + " is damaged in line " + (count + 1)
                            + ", byte " + offset
                            + ", and has valid lines after it: restore it from a backup, or move it away and stop "
                            + "the running instances");
                }
                if (count == 0 && content.length > header().length) {
                    throw new InvalidInputException(file + " is no journal, or one whose first line is damaged");
                }
                break; // an incomplete last line, torn when an agent died
            }
            if (count == 0) {
                header(file, fields);
            } else {
                records.accept(toRecord(file, count + 1, fields));
            }
            count++;
            offset = end + 1;
        }
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.truncate(offset);
        channel.position(offset);
        Journal journal = new Journal(file, channel, offset, count);
        if (count == 0) {
            journal.write(header());
            journal.syncFolder();
        }
        return journal;
    }

    /** Whether a valid line begins at any later byte; the damage may have hit the newline before it. */
    private static boolean hasValidLineAfter(byte[] content, int from) {
        int end = from;
        for (int offset = from; offset + CRC_DIGITS + 1 < content.length; offset++) {
            if (content[offset + CRC_DIGITS] == ' ' && content[offset + CRC_DIGITS + 1] == '{') {
                for (end = Math.max(end, offset); end < content.length && content[end] != '\n'; ) {
                    end++;
                }
                if (end < content.length && toFields(content, offset, end) != null) {
                    return true;
                }
            }
        }
        return false;
    }

    private static byte[] header() throws IOException {
        return line(Map.of("journal", VERSION));
    }

    private static void header(Path file, Map<String, Object> fields) {
        if (!(fields.get("journal") instanceof Number version)) {
            throw new InvalidInputException(file + " is no journal");
        }
        if (version.intValue() != VERSION) {
            throw new InvalidInputException("the journal " + file + " is of version " + version
                    + ", written by a newer agent; this one reads " + VERSION);
        }
    }

    /** Parses a line; null if it is incomplete or damaged. */
    private static Map<String, Object> toFields(byte[] content, int from, int to) {
        if (to - from <= CRC_DIGITS + 1 || content[from + CRC_DIGITS] != ' ') {
            return null;
        }
        byte[] json = Arrays.copyOfRange(content, from + CRC_DIGITS + 1, to);
        String recordedCrc = new String(content, from, CRC_DIGITS, StandardCharsets.ISO_8859_1);
        if (!recordedCrc.equals(crc(json))) {
            return null;
        }
        try {
            return JSON.std.mapFrom(json);
        } catch (IOException e) {
            return null;
        }
    }

    private static String crc(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return String.format("%08x", crc.getValue());
    }

    private static byte[] line(Map<String, Object> fields) throws IOException {
        byte[] json = JSON.std.asBytes(fields);
        byte[] line =
                Arrays.copyOf((crc(json) + " ").getBytes(StandardCharsets.ISO_8859_1), CRC_DIGITS + 2 + json.length);
        System.arraycopy(json, 0, line, CRC_DIGITS + 1, json.length);
        line[line.length - 1] = '\n';
        return line;
    }

    int lines() {
        return lines;
    }

    /** Appends a record and syncs it to disk; if this throws, the record is not part of the journal. */
    void append(JournalRecord journalRecord) throws IOException {
        byte[] line = line(toFields(journalRecord));
        if (line.length > MAX_LINE_BYTES) {
            throw new IOException("an entry of " + line.length + " bytes");
        }
        write(line);
    }

    private void write(byte[] line) throws IOException {
        if (incompleteLine) {
            channel.truncate(size);
            channel.position(size);
            incompleteLine = false;
        }
        incompleteLine = true;
        ByteBuffer out = ByteBuffer.wrap(line);
        while (out.hasRemaining()) {
            channel.write(out);
        }
        channel.force(false);
        incompleteLine = false;
        size += line.length;
        lines++;
    }

    /** Replaces the journal with these records; the old file stays until the new one is complete. */
    void compact(List<JournalRecord> snapshot) throws IOException {
        Path newFile = file.resolveSibling(file.getFileName() + ".new");
        int count = 0;
        try (FileChannel out = FileChannel.open(
                newFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            List<byte[]> encodedLines = new ArrayList<>();
            encodedLines.add(header());
            for (JournalRecord journalRecord : snapshot) {
                encodedLines.add(line(toFields(journalRecord)));
            }
            for (byte[] encodedLine : encodedLines) {
                ByteBuffer buffer = ByteBuffer.wrap(encodedLine);
                while (buffer.hasRemaining()) {
                    out.write(buffer);
                }
                count++;
            }
            out.force(true);
        }
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        channel.close(); // this channel refers to the old file, which has been replaced
        channel = FileChannel.open(file, StandardOpenOption.WRITE);
        size = channel.size();
        channel.position(size);
        lines = count;
        incompleteLine = false;
        syncFolder();
    }

    private void syncFolder() throws IOException {
        Path parent = file.toAbsolutePath().getParent();
        try (FileChannel folder = FileChannel.open(parent, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    // ---- records as JSON ----

    private static Map<String, Object> toFields(JournalRecord journalRecord) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (journalRecord instanceof JournalRecord.SiteDeclared siteDeclared) {
            fields.put("declared", siteDeclared.site());
        } else if (journalRecord instanceof JournalRecord.DesiredStateSet desiredStateSet) {
            fields.put("wanted", desiredStateSet.name());
            fields.put("running", desiredStateSet.running());
        } else if (journalRecord instanceof JournalRecord.StartAnnounced startAnnounced) {
            fields.put("intent", startAnnounced.name());
            fields.put("start", startAnnounced.start());
            fields.put("secret", startAnnounced.secret());
            fields.put("launch", startAnnounced.launch());
            fields.put("forkMs", startAnnounced.forkMs());
        } else if (journalRecord instanceof JournalRecord.ProcessStarted processStarted) {
            fields.put("spawned", processStarted.name());
            fields.put("start", processStarted.start());
            fields.put("pid", processStarted.identity().pid());
            fields.put("startTicks", processStarted.identity().startTicks());
            fields.put("bootId", processStarted.identity().bootId());
        } else if (journalRecord instanceof JournalRecord.ProcessEnded processEnded) {
            fields.put("ended", processEnded.name());
            fields.put("start", processEnded.start());
            fields.put("code", processEnded.code());
            fields.put("failures", processEnded.failures());
        } else if (journalRecord instanceof JournalRecord.RollingRestartBegun begun) {
            fields.put("roll", begun.id());
            fields.put("names", begun.names());
            fields.put("mostDown", begun.mostDown());
        } else if (journalRecord instanceof JournalRecord.RollingRestartInstanceBegun instanceBegun) {
            fields.put("rollTaken", instanceBegun.id());
            fields.put("name", instanceBegun.name());
            fields.put("start", instanceBegun.start());
        } else if (journalRecord instanceof JournalRecord.RollingRestartInstanceDone instanceDone) {
            fields.put("rollDone", instanceDone.id());
            fields.put("name", instanceDone.name());
        } else if (journalRecord instanceof JournalRecord.RollingRestartEnded rollingRestartEnded) {
            fields.put("rollEnded", rollingRestartEnded.id());
            fields.put("why", rollingRestartEnded.why());
        }
        return fields;
    }

    private static JournalRecord toRecord(Path file, int line, Map<String, Object> fields) {
        try {
            if (fields.get("declared") instanceof String site) {
                return new JournalRecord.SiteDeclared(site);
            } else if (fields.get("wanted") instanceof String name) {
                return new JournalRecord.DesiredStateSet(name, (Boolean) fields.get("running"));
            } else if (fields.get("intent") instanceof String name) {
                return new JournalRecord.StartAnnounced(
                        name,
                        number(fields, "start"),
                        text(fields, "secret"),
                        text(fields, "launch"),
                        fields.containsKey("forkMs")
                                ? number(fields, "forkMs")
                                : SupervisionPolicy.DEFAULT.forkMs()); // absent in journals of older versions
            } else if (fields.get("spawned") instanceof String name) {
                UniqueProcessId identity = new UniqueProcessId(
                        ((Number) fields.get("pid")).longValue(),
                        ((Number) fields.get("startTicks")).longValue(),
                        text(fields, "bootId"));
                return new JournalRecord.ProcessStarted(name, number(fields, "start"), identity);
            } else if (fields.get("ended") instanceof String name) {
                return new JournalRecord.ProcessEnded(
                        name, number(fields, "start"), number(fields, "code"), number(fields, "failures"));
            } else if (fields.containsKey("roll")) {
                List<String> names = new ArrayList<>();
                ((List<?>) fields.get("names")).forEach(n -> names.add((String) n));
                return new JournalRecord.RollingRestartBegun(number(fields, "roll"), names, number(fields, "mostDown"));
            } else if (fields.containsKey("rollTaken")) {
                return new JournalRecord.RollingRestartInstanceBegun(
                        number(fields, "rollTaken"), text(fields, "name"), number(fields, "start"));
            } else if (fields.containsKey("rollDone")) {
                return new JournalRecord.RollingRestartInstanceDone(number(fields, "rollDone"), text(fields, "name"));
            } else if (fields.containsKey("rollEnded")) {
                return new JournalRecord.RollingRestartEnded(number(fields, "rollEnded"), text(fields, "why"));
            }
        } catch (ClassCastException | NullPointerException e) {
            // reported below
        }
        throw new InvalidInputException("the journal " + file + " has an entry in line " + line
                + " that is not known here: " + fields.keySet());
    }

    private static int number(Map<String, Object> fields, String field) {
        return ((Number) fields.get(field)).intValue();
    }

    private static String text(Map<String, Object> fields, String field) {
        return (String) fields.get(field);
    }
}
