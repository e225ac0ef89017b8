package cacheproxy.replication.node;

import cacheproxy.replication.InvalidFieldException;
import cacheproxy.replication.OperatorCommands;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The operator commands of one member on its disk. Each record is a magic number (2 bytes), the length of its body (4),
 * its CRC-32C (4) and the body in CBOR, and is synced before {@link #append} returns. A record is the whole state of
 * one subject and is merged with earlier ones, so that a torn or corrupt record does not affect others. After one,
 * reading resumes at the next valid record, and the skipped bytes are counted. A log that has grown to several times
 * its contents is rewritten and renamed into place.
 *
 * <p>Not thread-safe.
 */
final class CommandLog implements Closeable {
    /** The file in the member's folder. */
    static final String FILE = "orders.log";

    private static final int MAGIC = 0x4f7d;
    private static final int HEADER_BYTES = 10;
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** Rewritten from this size on, if it is this many times as large as when it was last rewritten. */
    private static final long MIN_COMPACT_BYTES = 1 << 20;

    private static final int COMPACT_FACTOR = 4;
    private static final int INVALID = -1;

    private final Path file;
    private FileChannel channel;
    private final Map<String, OperatorCommands> bySubject = new LinkedHashMap<>();
    private long compactedBytes;
    private final long skippedBytes;

    private CommandLog(Path file, byte[] contents) throws IOException {
        this.file = file;
        skippedBytes = readAll(contents);
        channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /** Reads the log in this folder, or creates it. */
    static CommandLog open(Path folder) throws IOException {
        Path file = folder.resolve(FILE);
        CommandLog log = new CommandLog(file, Files.exists(file) ? Files.readAllBytes(file) : new byte[0]);
        if (log.skippedBytes > 0) {
            log.compact(); // the next record would otherwise be appended to a partial one
        }
        return log;
    }

    /** Reads all valid records and returns the number of bytes that belong to none. */
    private long readAll(byte[] contents) {
        long skipped = 0;
        int offset = 0;
        while (offset < contents.length) {
            int next = readRecord(contents, offset);
            if (next == INVALID) {
                skipped++;
                offset++;
            } else {
                offset = next;
            }
        }
        return skipped;
    }

    /** Reads the record at this offset and returns the offset of the next one, or {@link #INVALID}. */
    private int readRecord(byte[] contents, int offset) {
        if (contents.length - offset < HEADER_BYTES) {
            return INVALID;
        }
        ByteBuffer in = ByteBuffer.wrap(contents, offset, contents.length - offset);
        int magic = in.getShort() & 0xffff;
        int length = in.getInt();
        int checksum = in.getInt();
        if (magic != MAGIC
                || length <= 0
                || length > MAX_BODY_BYTES
                || length > in.remaining()
                || checksum != crc32c(contents, in.position(), length)) {
            return INVALID;
        }
        byte[] body = new byte[length];
        in.get(body);
        try {
            Map.Entry<String, OperatorCommands> entry = PeerCodec.decodeRecord(body);
            merge(entry.getKey(), entry.getValue());
        } catch (InvalidFieldException e) {
            return INVALID;
        }
        return offset + HEADER_BYTES + length;
    }

    private static int crc32c(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    private void merge(String key, OperatorCommands commands) {
        OperatorCommands before = bySubject.get(key);
        bySubject.put(key, before == null ? commands : (OperatorCommands) before.merge(commands));
    }

    /** The commands in the log, by key. */
    Map<String, OperatorCommands> contents() {
        return bySubject;
    }

    /** Bytes that could not be read when it was opened. */
    long skippedBytes() {
        return skippedBytes;
    }

    /**
     * Merges these commands and writes the result; it is durable on return.
     *
     * @throws IOException if the write failed; a part of the record may be in the file
     */
    void append(String key, OperatorCommands commands) throws IOException {
        merge(key, commands);
        writeRecord(channel, key, bySubject.get(key));
        channel.force(false);
        if (channel.size() > MIN_COMPACT_BYTES && channel.size() > COMPACT_FACTOR * compactedBytes) {
            compact();
        }
    }

    private static void writeRecord(FileChannel out, String key, OperatorCommands commands) throws IOException {
        byte[] body = PeerCodec.encode(List.of(key, PeerCodec.encodeValue(commands)));
        if (body.length > MAX_BODY_BYTES) {
            throw new IOException("the orders on " + key + " take over " + MAX_BODY_BYTES + " bytes");
        }
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + body.length);
        record.putShort((short) MAGIC)
                .putInt(body.length)
                .putInt(crc32c(body, 0, body.length))
                .put(body)
                .flip();
        while (record.hasRemaining()) {
            out.write(record);
        }
    }

    private void compact() throws IOException {
        Path next = file.resolveSibling(FILE + ".new");
        Files.deleteIfExists(next);
        try (FileChannel out = FileChannel.open(next, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            for (Map.Entry<String, OperatorCommands> e : bySubject.entrySet()) {
                writeRecord(out, e.getKey(), e.getValue());
            }
            out.force(true);
            compactedBytes = out.size();
        }
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true); // makes the rename durable
        }
        if (channel != null) {
            channel.close();
            channel = FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
