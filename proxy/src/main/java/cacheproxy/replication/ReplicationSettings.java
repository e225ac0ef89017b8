package cacheproxy.replication;

/**
 * Settings of replication; must be the same on all members.
 *
 * @param roundMs time between two gossip rounds
 * @param gossipBytesPerS limit of what a member sends, state transfers excluded; independent of the number of members
 * @param transferBytesPerS limit of what a member sends for state transfers, in all
 * @param durableCopies disks that must hold a command before it is acknowledged, that of the submitting member included
 * @param silenceTimeoutMs after receiving nothing from other members for this long, a member transfers state before it
 *     sends any
 * @param donorTimeoutMs after finding no donor for this long, a member continues with the state it has
 * @param maxMessageAgeMs entries of messages that may have been in transit for longer are rejected
 * @param maxClockDriftMs how far a command's timestamp may be ahead of the member's own clock
 */
public record ReplicationSettings(
        long roundMs,
        int gossipBytesPerS,
        int transferBytesPerS,
        int durableCopies,
        long silenceTimeoutMs,
        long donorTimeoutMs,
        long maxMessageAgeMs,
        long maxClockDriftMs) {
    public static final ReplicationSettings DEFAULTS =
            new ReplicationSettings(200, 4_096, 65_536, 2, 20_000, 5_000, 2_000, 2_000);

    private static final long HOUR_MS = 3_600_000;

    /** Throws {@link InvalidFieldException}, with the setting's key in the member file. */
    public ReplicationSettings {
        requireRange("tickMs", roundMs, 10, 10_000);
        requireRange("bytesPerS", gossipBytesPerS, 512, 1 << 30);
        requireRange("copyBytesPerS", transferBytesPerS, 512, 1 << 30);
        requireRange("copies", durableCopies, 1, 64);
        // a member must detect its own absence before the removals that it missed have expired
        requireRange("awayMs", silenceTimeoutMs, roundMs, EntryKind.ENDPOINT.timeToLiveMs / 2);
        requireRange("aloneMs", donorTimeoutMs, roundMs, HOUR_MS);
        requireRange("lateMs", maxMessageAgeMs, 1, EntryKind.ENDPOINT.timeToLiveMs / 4);
        requireRange("driftMs", maxClockDriftMs, 0, HOUR_MS);
    }

    private static void requireRange(String key, long value, long min, long max) {
        if (value < min || value > max) {
            throw new InvalidFieldException(key, value + " is not from " + min + " to " + max);
        }
    }
}
