package cacheproxy.replication;

/**
 * An entry in a message.
 *
 * @param ageMs time since the value was written, summed over the members that held it, each by its own clock: no two
 *     clocks are compared
 */
public record ReplicatedEntry(String key, ReplicatedValue value, long ageMs) {
    private static final int FIXED_BYTES = 10;

    /** Approximate size on the wire. */
    public int encodedBytes() {
        return key.length() + FIXED_BYTES + value.encodedBytes();
    }
}
