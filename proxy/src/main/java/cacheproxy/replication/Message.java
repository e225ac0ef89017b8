package cacheproxy.replication;

import java.util.List;
import java.util.Map;

/**
 * A message from one member to another.
 *
 * @param from the sender's name
 * @param incarnation the sender's, generated at each start
 * @param catchingUp whether the sender itself still transfers state
 * @param nowMs the sender's clock, to be returned to it as a reading
 * @param readings the last readings of members' clocks by member name, that of the receiver included if there is one.
 *     From its own reading the receiver knows an upper bound of this message's age
 */
public record Message(
        String from, long incarnation, boolean catchingUp, long nowMs, Map<String, ClockReading> readings, Body body) {
    private static final int HEADER_BYTES = 20;
    private static final int READING_BYTES = 24;

    /**
     * A reading of a member's clock.
     *
     * @param clockMs the clock's value
     * @param heldMs how long the reading has been held by other members since
     */
    public record ClockReading(long incarnation, long clockMs, long heldMs) {}

    /** The payload of a message. */
    public sealed interface Body
            permits Update,
                    DigestSummary,
                    BucketDigests,
                    KeyDigests,
                    EntryRequest,
                    DurableAck,
                    TransferRequest,
                    TransferPage {
        /** Approximate size on the wire. */
        default int encodedBytes() {
            return 8;
        }
    }

    /**
     * Entries that the receiver may lack.
     *
     * @param confirm whether the receiver answers with a {@link DurableAck} for each command once it is on its disk
     */
    public record Update(List<ReplicatedEntry> entries, boolean confirm) implements Body {
        @Override
        public int encodedBytes() {
            return totalBytes(entries) + 8;
        }
    }

    /** The digest of the sender's whole state. */
    public record DigestSummary(long digest) implements Body {}

    /** Reply to a summary that differs: the digest of each bucket of keys. */
    public record BucketDigests(long[] digests) implements Body {
        @Override
        public int encodedBytes() {
            return 8 * digests.length;
        }
    }

    /** Reply to bucket digests that differ: the value's digest by key hash, of all keys in these buckets. */
    public record KeyDigests(List<Integer> buckets, Map<Long, Long> digests) implements Body {
        @Override
        public int encodedBytes() {
            return 2 * buckets.size() + 16 * digests.size();
        }
    }

    /** Requests entries by key hash. */
    public record EntryRequest(List<Long> keyHashes) implements Body {
        @Override
        public int encodedBytes() {
            return 8 * keyHashes.size();
        }
    }

    /** The command with this identity is on the sender's disk. */
    public record DurableAck(String key, long incarnation, long sequence) implements Body {
        @Override
        public int encodedBytes() {
            return key.length() + 18;
        }
    }

    /**
     * Requests a page of a state transfer.
     *
     * @param afterHash the page begins after this key hash, in unsigned order
     * @param first whether the page begins at the first key instead
     */
    public record TransferRequest(long afterHash, boolean first) implements Body {}

    /**
     * A page of a state transfer.
     *
     * @param nextHash the {@code afterHash} of the next request, unless this page is the last
     * @param busy the donor is over its limit: the same page has to be requested again
     */
    public record TransferPage(List<ReplicatedEntry> entries, long nextHash, boolean last, boolean busy)
            implements Body {
        @Override
        public int encodedBytes() {
            return totalBytes(entries) + 12;
        }
    }

    static int totalBytes(List<ReplicatedEntry> entries) {
        return entries.stream().mapToInt(ReplicatedEntry::encodedBytes).sum();
    }

    /** Approximate size on the wire. */
    public int encodedBytes() {
        return from.length() + HEADER_BYTES + READING_BYTES * readings.size() + body.encodedBytes();
    }
}
