package cacheproxy.replication;

/**
 * The value of a replicated entry: immutable, with a merge that is commutative, associative and idempotent (a
 * state-based CRDT; Shapiro, Preguica, Baquero and Zawirski, 2011). Replicas that have received the same values, in any
 * order and any number of times, are therefore equal.
 */
public sealed interface ReplicatedValue permits EndpointStatus, MemberMetric, OperatorCommands {
    /** Bytes of {@linkplain #requireUnknownFields unknown fields} that a value may carry. */
    int MAX_UNKNOWN_FIELD_BYTES = 1024;

    /**
     * The least upper bound of both values.
     *
     * @throws IllegalArgumentException if the other value is of another type
     */
    ReplicatedValue merge(ReplicatedValue other);

    /** A hash that is equal for equal values on every machine. The age of an entry is no part of it. */
    long digest();

    /** Approximate size on the wire, in bytes. */
    int encodedBytes();

    /**
     * Checks what a newer version has appended to a value. This version can't interpret it and forwards it unchanged.
     * It is part of the digest, since otherwise a copy that has lost it would compare as equal.
     *
     * @throws InvalidFieldException if it is missing or too long
     */
    static String requireUnknownFields(String unknownFields) {
        if (unknownFields == null || unknownFields.length() > MAX_UNKNOWN_FIELD_BYTES) {
            throw new InvalidFieldException("unknown fields", "missing, or over " + MAX_UNKNOWN_FIELD_BYTES + " bytes");
        }
        return unknownFields;
    }

    /** Zero for no unknown fields, so that the digest equals that of versions without them. */
    static long unknownFieldsDigest(String unknownFields) {
        return unknownFields.isEmpty() ? 0 : hash(7, unknownFields);
    }

    /** A total order in which a copy that has lost its unknown fields is the lesser one. */
    static int compareUnknownFields(String a, String b) {
        int order = Integer.compare(a.length(), b.length());
        return order == 0 ? a.compareTo(b) : order;
    }

    /** FNV-1a, mixed: digests are added up, so a small difference must reach all bits. */
    static long hash(long seed, String text) {
        long h = 0xcbf29ce484222325L ^ seed;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** The 64-bit finalizer of MurmurHash3. */
    static long mix(long h) {
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
