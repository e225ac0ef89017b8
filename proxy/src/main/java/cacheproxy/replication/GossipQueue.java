package cacheproxy.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Changed entries that are still to be gossiped. Each is sent a limited number of times, to members drawn at random;
 * those sent least often go first (SWIM; Das, Gupta and Motivala, 2002). Members that receive none of these messages
 * get the entry by anti-entropy.
 */
final class GossipQueue {
    /** Beyond this, the entries sent most often are dropped and left to anti-entropy. */
    private static final int MAX_ENTRIES = 8_192;

    /** Keys by the number of times they were sent. A key whose count in {@link #timesSent} differs is stale here. */
    private final List<ArrayDeque<String>> queues = new ArrayList<>();

    private final Map<String, Integer> timesSent = new HashMap<>();

    /** Queues an entry that has changed, as not sent yet. */
    void add(String key) {
        Integer before = timesSent.put(key, 0);
        if (before == null || before > 0) {
            queue(0).add(key);
        }
        while (timesSent.size() > MAX_ENTRIES) {
            dropMostSent();
        }
    }

    private void dropMostSent() {
        for (int times = queues.size() - 1; times >= 0; times--) {
            String key = queues.get(times).pollFirst();
            if (key != null) {
                timesSent.remove(key, times);
                return;
            }
        }
    }

    private ArrayDeque<String> queue(int times) {
        while (queues.size() <= times) {
            queues.add(new ArrayDeque<>());
        }
        return queues.get(times);
    }

    void clear() {
        queues.clear();
        timesSent.clear();
    }

    /** Equal for queues with equal contents; see {@link Replica#fingerprint}. */
    int fingerprint() {
        return timesSent.hashCode();
    }

    /**
     * Takes the entries of the next message, least often sent first.
     *
     * @param maxBytes size of the message; a first entry that is larger is taken all the same
     * @param maxTimes how often an entry is sent before it leaves the queue
     */
    List<ReplicatedEntry> next(ReplicatedStore store, int maxBytes, int maxTimes, long nowMs) {
        List<ReplicatedEntry> batch = new ArrayList<>();
        List<Integer> timesSentBefore = new ArrayList<>();
        collect(store, maxBytes, nowMs, batch, timesSentBefore);
        for (int i = 0; i < batch.size(); i++) {
            String key = batch.get(i).key();
            int times = timesSentBefore.get(i) + 1;
            if (times >= maxTimes) {
                timesSent.remove(key);
            } else {
                timesSent.put(key, times);
                queue(times).add(key);
            }
        }
        return batch;
    }

    private void collect(
            ReplicatedStore store,
            int maxBytes,
            long nowMs,
            List<ReplicatedEntry> batch,
            List<Integer> timesSentBefore) {
        int bytes = 0;
        for (int times = 0; times < queues.size(); times++) {
            ArrayDeque<String> queue = queues.get(times);
            while (!queue.isEmpty()) {
                String key = queue.peek();
                ReplicatedStore.Entry stored = store.get(key);
                if (!isCurrent(key, times, stored, nowMs)) {
                    queue.poll();
                    timesSent.remove(key, times);
                    continue;
                }
                ReplicatedEntry entry = stored.toMessageEntry(nowMs);
                if (bytes + entry.encodedBytes() > maxBytes && bytes > 0) {
                    return;
                }
                queue.poll();
                bytes += entry.encodedBytes();
                batch.add(entry);
                timesSentBefore.add(times);
                if (bytes >= maxBytes) {
                    return;
                }
            }
        }
    }

    private boolean isCurrent(String key, int times, ReplicatedStore.Entry stored, long nowMs) {
        Integer count = timesSent.get(key);
        return count != null && count == times && stored != null && !stored.expired(nowMs);
    }
}
