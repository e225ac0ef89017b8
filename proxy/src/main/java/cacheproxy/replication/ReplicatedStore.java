package cacheproxy.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The entries that a member holds, with digests by which two members find where they differ. */
final class ReplicatedStore {
    /** Buckets of keys, by the top bits of their hash. */
    static final int BUCKETS = 256;

    static final int MAX_ENTRIES = 200_000;
    /** Subjects of commands; these never expire. */
    static final int MAX_SUBJECTS = 4_096;

    private static final int BUCKET_SHIFT = 56;
    private static final long KEY_HASH_SEED = 0x5eed;

    static final class Entry {
        final String key;
        final long keyHash;
        final EntryKind kind;
        private ReplicatedValue value;
        private long writtenMs;
        /** Whether it is part of the digests. An expired entry is taken out of them before it is dropped. */
        private boolean inDigests;

        private Entry(String key, long keyHash, EntryKind kind) {
            this.key = key;
            this.keyHash = keyHash;
            this.kind = kind;
        }

        ReplicatedValue value() {
            return value;
        }

        long ageMs(long nowMs) {
            return Math.max(0, nowMs - writtenMs);
        }

        boolean expired(long nowMs) {
            return kind.expires() && ageMs(nowMs) >= kind.timeToLiveMs;
        }

        ReplicatedEntry toMessageEntry(long nowMs) {
            return new ReplicatedEntry(key, value, ageMs(nowMs));
        }
    }

    private final Map<String, Entry> byKey = new HashMap<>();
    /** By key hash in unsigned order, the order of the pages of a state transfer. */
    private final TreeMap<Long, Entry> byHash = new TreeMap<>(Long::compareUnsigned);

    private final long[] bucketDigests = new long[BUCKETS];
    private long digest;
    private int subjects;

    static long keyHash(String key) {
        return ReplicatedValue.hash(KEY_HASH_SEED, key);
    }

    private static int bucket(long keyHash) {
        return (int) (keyHash >>> BUCKET_SHIFT);
    }

    /** Merges a value into the entry and returns whether that changed it. Also false if the store is full. */
    boolean merge(String key, ReplicatedValue value, long ageMs, long nowMs) {
        EntryKind kind = EntryKind.ofKey(key);
        if (kind == null || !kind.accepts(value) || kind.expires() && ageMs >= kind.timeToLiveMs) {
            return false;
        }
        Entry entry = byKey.get(key);
        if (entry == null) {
            return insert(key, kind, value, nowMs - ageMs);
        }
        ReplicatedValue merged = entry.value.merge(value);
        if (merged.equals(entry.value)) {
            // same or superseded value: renews the age, so that a removal is remembered while any member reports
            // otherwise
            entry.writtenMs = Math.max(entry.writtenMs, nowMs - ageMs);
            return restoreToDigests(entry, nowMs);
        }
        removeFromDigests(entry);
        entry.value = merged;
        entry.writtenMs = nowMs - ageMs;
        addToDigests(entry);
        return true;
    }

    private boolean insert(String key, EntryKind kind, ReplicatedValue value, long writtenMs) {
        if (byKey.size() >= MAX_ENTRIES || kind == EntryKind.COMMAND && subjects >= MAX_SUBJECTS) {
            return false;
        }
        Entry entry = new Entry(key, keyHash(key), kind);
        if (byHash.putIfAbsent(entry.keyHash, entry) != null) {
            return false; // 64 bits collide once in 10^9 stores of this size
        }
        byKey.put(key, entry);
        subjects += kind == EntryKind.COMMAND ? 1 : 0;
        entry.value = value;
        entry.writtenMs = writtenMs;
        addToDigests(entry);
        return true;
    }

    private void addToDigests(Entry entry) {
        entry.inDigests = true;
        addDigest(entry, entry.keyHash ^ entry.value.digest());
    }

    /** Adds an entry back that had expired and was not dropped yet; returns whether it did. */
    private boolean restoreToDigests(Entry entry, long nowMs) {
        boolean restored = !entry.inDigests && !entry.expired(nowMs);
        if (restored) {
            addToDigests(entry);
        }
        return restored;
    }

    private void removeFromDigests(Entry entry) {
        if (entry.inDigests) {
            entry.inDigests = false;
            addDigest(entry, -(entry.keyHash ^ entry.value.digest()));
        }
    }

    private void addDigest(Entry entry, long entryDigest) {
        bucketDigests[bucket(entry.keyHash)] += entryDigest;
        digest += entryDigest;
    }

    /** Takes expired entries out of the digests, and drops them after their time to live has passed once more. */
    void expire(long nowMs) {
        for (Iterator<Entry> i = byKey.values().iterator(); i.hasNext(); ) {
            Entry entry = i.next();
            if (entry.expired(nowMs)) {
                removeFromDigests(entry);
                if (entry.ageMs(nowMs) >= 2 * entry.kind.timeToLiveMs) {
                    i.remove();
                    byHash.remove(entry.keyHash);
                }
            }
        }
    }

    /** Drops all entries but commands: they may be too old to be sent to others. */
    void retainCommands() {
        for (Iterator<Entry> i = byKey.values().iterator(); i.hasNext(); ) {
            Entry entry = i.next();
            if (entry.kind != EntryKind.COMMAND) {
                removeFromDigests(entry);
                i.remove();
                byHash.remove(entry.keyHash);
            }
        }
    }

    /** Null if there is none. */
    Entry get(String key) {
        return byKey.get(key);
    }

    /** Null if there is none. */
    Entry get(long keyHash) {
        return byHash.get(keyHash);
    }

    /** Of all entries that have not expired; equal for equal contents. */
    long digest() {
        return digest;
    }

    /** A copy of the digest of each bucket. */
    long[] bucketDigests() {
        return bucketDigests.clone();
    }

    int size() {
        return byKey.size();
    }

    Collection<Entry> entries() {
        return byKey.values();
    }

    /** Visits the entries of a bucket that are part of its digest. */
    void forEachInBucket(int bucket, Consumer<Entry> visitor) {
        long first = (long) bucket << BUCKET_SHIFT;
        for (Entry entry : byHash.tailMap(first, true).values()) {
            if (bucket(entry.keyHash) != bucket) {
                return;
            }
            if (entry.inDigests) {
                visitor.accept(entry);
            }
        }
    }

    /**
     * Entries in key hash order, after this hash or from the first, up to this size, but at least one if any is left.
     */
    List<ReplicatedEntry> page(long afterHash, boolean first, int maxBytes, long nowMs) {
        List<ReplicatedEntry> page = new ArrayList<>();
        int bytes = 0;
        for (Entry stored : (first ? byHash : byHash.tailMap(afterHash, false)).values()) {
            if (stored.expired(nowMs)) {
                continue;
            }
            ReplicatedEntry entry = stored.toMessageEntry(nowMs);
            bytes += entry.encodedBytes();
            if (bytes > maxBytes && !page.isEmpty()) {
                break;
            }
            page.add(entry);
        }
        return page;
    }
}
