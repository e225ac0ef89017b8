package cacheproxy.lab.verification;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/** The bytes of one direction of a connection, with the entries of the record in which each was sent and arrived. */
final class RecordedStream {
    /** The end offset of each entry's bytes in the stream, and the entry. */
    private static final class EntryOffsets {
        private int[] ends = new int[4];
        private int[] entries = new int[4];
        private int size;

        void add(int length, int entry) {
            if (size == ends.length) {
                ends = Arrays.copyOf(ends, 2 * size);
                entries = Arrays.copyOf(entries, 2 * size);
            }
            ends[size] = (size == 0 ? 0 : ends[size - 1]) + length;
            entries[size++] = entry;
        }

        int entryOf(int offset) {
            int at = Arrays.binarySearch(ends, 0, size, offset + 1);
            at = at < 0 ? -at - 1 : at;
            return at < size ? entries[at] : Trace.NEVER;
        }

        int offsetOf(int entry) {
            int at = Arrays.binarySearch(entries, 0, size, entry);
            return at == 0 ? 0 : ends[at - 1];
        }
    }

    private final EntryOffsets sent = new EntryOffsets();
    private final EntryOffsets arrived = new EntryOffsets();
    private final ByteArrayOutputStream sentBytes = new ByteArrayOutputStream();
    private final ByteArrayOutputStream arrivedBytes = new ByteArrayOutputStream();
    private byte[] bytes;
    /** Whether the record covers that side of the connection: on real sockets it covers only one. */
    boolean senderRecorded;

    boolean receiverRecorded;

    void sent(byte[] data, int entry) {
        if (data != null && data.length > 0) {
            sent.add(data.length, entry);
            sentBytes.write(data, 0, data.length);
        }
    }

    void arrived(byte[] data, int entry) {
        if (data != null && data.length > 0) {
            arrived.add(data.length, entry);
            arrivedBytes.write(data, 0, data.length);
        }
    }

    /** All bytes; callers must not modify the array. */
    byte[] bytes() {
        if (bytes == null) {
            bytes = (senderRecorded ? sentBytes : arrivedBytes).toByteArray();
        }
        return bytes;
    }

    /** The offset of the first byte sent in an entry. */
    int offsetOf(int entry) {
        return sent.offsetOf(entry);
    }

    /** The entry in which a byte was sent; if the sender is not recorded, in which it arrived. */
    int sentEntry(int offset) {
        return (senderRecorded ? sent : arrived).entryOf(offset);
    }

    /** The entry in which a byte arrived; if the receiver is not recorded, in which it was sent. */
    int arrivedEntry(int offset) {
        return (receiverRecorded ? arrived : sent).entryOf(offset);
    }
}
