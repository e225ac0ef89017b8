package cacheproxy.replication;

import cacheproxy.replication.Message.BucketDigests;
import cacheproxy.replication.Message.DigestSummary;
import cacheproxy.replication.Message.EntryRequest;
import cacheproxy.replication.Message.KeyDigests;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Finds and exchanges the entries in which two members differ: first the digest of all, then of each bucket, then of
 * each key of the buckets that differ. The cost depends on how much they differ, not on how much they hold. What
 * exceeds a limit is left to the next comparison.
 */
final class AntiEntropy {
    private static final int MAX_BUCKETS_PER_MESSAGE = 16;
    private static final int MAX_REQUESTED_KEYS = 128;
    private static final int KEY_DIGEST_BYTES = 16;

    private final ReplicatedStore store;
    private final MessageSender sender;
    private final SplittableRandom random;
    private final int maxKeyDigestBytes;

    AntiEntropy(ReplicatedStore store, MessageSender sender, SplittableRandom random, ReplicationSettings settings) {
        this.store = store;
        this.sender = sender;
        this.random = random;
        maxKeyDigestBytes = settings.gossipBytesPerS() / 4;
    }

    /** {@code catchingUp}: whether the sender is catching up, so that its digest does not cover the whole state. */
    void onSummary(String from, DigestSummary summary, boolean catchingUp, long nowMs) {
        if (summary.digest() != store.digest() && !catchingUp) {
            sender.send(from, new BucketDigests(store.bucketDigests()), nowMs);
        }
    }

    void onBucketDigests(String from, BucketDigests theirs, long nowMs) {
        Map<Long, Long> keyDigests = new LinkedHashMap<>();
        List<Integer> differing = new ArrayList<>();
        long[] mine = store.bucketDigests();
        // starts at a random bucket, so that none is always left out
        int start = random.nextInt(mine.length);
        for (int i = 0; i < mine.length && differing.size() < MAX_BUCKETS_PER_MESSAGE; i++) {
            int bucket = (start + i) % mine.length;
            if (mine[bucket] != theirs.digests()[bucket]) {
                differing.add(bucket);
                store.forEachInBucket(
                        bucket, e -> keyDigests.put(e.keyHash, e.value().digest()));
            }
            if (KEY_DIGEST_BYTES * keyDigests.size() > maxKeyDigestBytes) {
                break;
            }
        }
        if (!differing.isEmpty()) {
            sender.send(from, new KeyDigests(differing, keyDigests), nowMs);
        }
    }

    void onKeyDigests(String from, KeyDigests received, long nowMs) {
        TreeMap<Long, Long> theirs = new TreeMap<>(received.digests());
        List<ReplicatedEntry> toSend = new ArrayList<>();
        List<Long> toRequest = new ArrayList<>();
        for (int bucket : received.buckets()) {
            store.forEachInBucket(bucket, e -> {
                Long digest = theirs.remove(e.keyHash);
                if (digest == null || digest != e.value().digest()) {
                    addUnlessExpired(toSend, e, nowMs);
                    if (digest != null) {
                        toRequest.add(e.keyHash);
                    }
                }
            });
        }
        toRequest.addAll(theirs.keySet());
        sender.sendWithinBudget(from, toSend, nowMs);
        if (!toRequest.isEmpty()) {
            List<Long> keyHashes = toRequest.subList(0, Math.min(MAX_REQUESTED_KEYS, toRequest.size()));
            sender.send(from, new EntryRequest(keyHashes), nowMs);
        }
    }

    void onEntryRequest(String from, EntryRequest request, long nowMs) {
        List<ReplicatedEntry> entries = new ArrayList<>();
        for (long keyHash : request.keyHashes()) {
            addUnlessExpired(entries, store.get(keyHash), nowMs);
        }
        sender.sendWithinBudget(from, entries, nowMs);
    }

    private static void addUnlessExpired(List<ReplicatedEntry> entries, ReplicatedStore.Entry entry, long nowMs) {
        if (entry != null && !entry.expired(nowMs)) {
            entries.add(entry.toMessageEntry(nowMs));
        }
    }
}
