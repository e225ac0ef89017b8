package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/** Reads lines and blocks, and notes when the first byte of a line had come. */
final class LineReader {
    private final InputStream in;
    private final byte[] buffer = new byte[1 << 16];
    private int position;
    private int limit;
    private long filledNs;
    private long lineStartNs;

    LineReader(InputStream in) {
        this.in = in;
    }

    private boolean fill() throws IOException {
        if (position < limit) {
            return true;
        }
        limit = in.read(buffer);
        filledNs = System.nanoTime();
        position = 0;
        return limit > 0;
    }

    /** The next line without its end; null at the end of the stream. */
    String line() throws IOException {
        StringBuilder line = new StringBuilder();
        while (fill()) {
            if (line.length() == 0) {
                lineStartNs = filledNs;
            }
            char next = (char) (buffer[position++] & 0xff);
            if (next == '\n') {
                return line.toString().replace("\r", "");
            }
            line.append(next);
        }
        return null;
    }

    /** When the first byte of the last line was read, by {@link System#nanoTime}. */
    long lineStartNs() {
        return lineStartNs;
    }

    void skip(int bytes) throws IOException {
        for (int left = bytes; left > 0; ) {
            if (!fill()) {
                throw new EOFException();
            }
            int count = Math.min(left, limit - position);
            position += count;
            left -= count;
        }
    }
}
