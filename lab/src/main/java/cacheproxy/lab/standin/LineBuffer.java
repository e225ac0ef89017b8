package cacheproxy.lab.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Buffers received bytes and returns them as lines and blocks. */
final class LineBuffer {
    private static final int LONGEST = 4 << 20;

    private byte[] held = new byte[256];
    private int from;
    private int to;

    void add(byte[] bytes) {
        if (to - from + bytes.length > LONGEST) {
            throw new IllegalStateException("more than " + LONGEST + " bytes are held of what nobody ends");
        }
        if (to + bytes.length > held.length) {
            byte[] room = new byte[Math.max(256, 2 * (to - from + bytes.length))];
            System.arraycopy(held, from, room, 0, to - from);
            to -= from;
            from = 0;
            held = room;
        }
        System.arraycopy(bytes, 0, held, to, bytes.length);
        to += bytes.length;
    }

    /** The next complete line without its line end, or null. */
    String line() {
        for (int i = from; i < to; i++) {
            if (held[i] == '\n') {
                int end = i > from && held[i - 1] == '\r' ? i - 1 : i;
                String line = new String(held, from, end - from, StandardCharsets.ISO_8859_1);
                from = i + 1;
                return line;
            }
        }
        return null;
    }

    /** The next block of this length, or null if it is incomplete. */
    byte[] block(int length) {
        if (to - from < length) {
            return null;
        }
        byte[] block = Arrays.copyOfRange(held, from, from + length);
        from += length;
        return block;
    }

    int size() {
        return to - from;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
