package cacheproxy.agent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Keeps log files within bounds by copying and truncating them. Their writers keep the file open for appending and need
 * not be informed; their next write begins the truncated file. Lines written between copy and truncation are lost.
 */
final class LogRotation {
    static final long MAX_BYTES = 4L << 20;
    static final int MAX_ROTATED_FILES = 3;
    private static final int TAIL_BYTES = 2048;
    private static final int MAX_LINE_CHARS = 200;

    private LogRotation() {}

    /** Rotates the file if it is larger than the bound; returns whether it was. */
    static boolean rotate(Path file, long maxBytes) throws IOException {
        if (Files.notExists(file) || Files.size(file) <= maxBytes) {
            return false;
        }
        for (int number = MAX_ROTATED_FILES - 1; number >= 1; number--) {
            Path older = numbered(file, number);
            if (Files.exists(older)) {
                Files.move(older, numbered(file, number + 1), StandardCopyOption.REPLACE_EXISTING);
            }
        }
        Files.copy(file, numbered(file, 1), StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(0);
        }
        return true;
    }

    /** The last line of a file, shortened to fit a table; empty if there is none or the file cannot be read. */
    static String lastLine(Path file) {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            ByteBuffer tail = ByteBuffer.allocate(TAIL_BYTES);
            channel.position(Math.max(0, channel.size() - TAIL_BYTES));
            while (tail.hasRemaining() && channel.read(tail) >= 0) {
                // read until the end of the file
            }
            String text = new String(tail.array(), 0, tail.position(), StandardCharsets.UTF_8).strip();
            String last = text.substring(text.lastIndexOf('\n') + 1);
            return last.length() > MAX_LINE_CHARS ? last.substring(0, MAX_LINE_CHARS) + "..." : last;
        } catch (IOException e) {
            return "";
        }
    }

    static Path numbered(Path file, int number) {
        return file.resolveSibling(file.getFileName() + "." + number);
    }
}
