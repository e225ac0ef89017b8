package cacheproxy.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The first send of each idempotency key that this proxy has sent lately. A client's retry is a request of its own, and
 * not all clients mark it: an earlier request with its key may have been executed. Kept only for classes whose
 * deduplication window may end before the client's last retry, until that last retry or the end of the window; with
 * {@link #MAX_KEYS} keys the oldest is forgotten.
 */
final class KeyedSends {
    private static final int MAX_KEYS = 4096;

    /** When and where a request that may have been executed was first sent. */
    record FirstSend(Endpoint endpoint, long sentAtUs) {}

    private static final class Entry {
        final FirstSend firstSend;
        final long forgetAtUs;
        /** How many requests with the key may have been executed, or may be. */
        int requests;

        Entry(FirstSend firstSend, long forgetAtUs) {
            this.firstSend = firstSend;
            this.forgetAtUs = forgetAtUs;
        }
    }

    private final RoutingSettings settings;
    /** By idempotency key, the earliest first. */
    private final Map<Long, Entry> byKey = new LinkedHashMap<>();

    KeyedSends(RoutingSettings settings) {
        this.settings = settings;
    }

    /** The first send of an earlier request with the same key; null: none is known. */
    FirstSend find(PendingRequest pending, long nowUs) {
        forgetOld(nowUs);
        Entry entry = isKept(pending) ? byKey.get(pending.idempotencyKey) : null;
        return entry == null ? null : entry.firstSend;
    }

    /** Called once for each request, with its first attempt. */
    void recordSend(PendingRequest pending, Endpoint endpoint, long nowUs) {
        if (!isKept(pending)) {
            return;
        }
        if (byKey.size() >= MAX_KEYS && !byKey.containsKey(pending.idempotencyKey)) {
            removeOldest();
        }
        byKey.computeIfAbsent(pending.idempotencyKey, key -> entry(pending, endpoint, nowUs)).requests++;
    }

    private Entry entry(PendingRequest pending, Endpoint endpoint, long nowUs) {
        long keptUs = Math.max(pending.requestClass.deadlineUs, pending.requestClass.deduplicationWindowUs);
        return new Entry(new FirstSend(endpoint, nowUs), nowUs + keptUs + settings.latestConnectUs());
    }

    /** No attempt of a request that was sent has been executed: its key is forgotten if no other request had it. */
    void recordNotExecuted(PendingRequest pending) {
        Entry entry = isKept(pending) ? byKey.get(pending.idempotencyKey) : null;
        if (entry != null && --entry.requests == 0) {
            byKey.remove(pending.idempotencyKey);
        }
    }

    private boolean isKept(PendingRequest pending) {
        return pending.idempotency == Idempotency.IDEMPOTENCY_KEY
                && pending.idempotencyKey != 0
                && !pending.requestClass.isDeduplicatedUntilDeadline(settings);
    }

    private void forgetOld(long nowUs) {
        Iterator<Entry> oldestFirst = byKey.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().forgetAtUs < nowUs) {
            oldestFirst.remove();
        }
    }

    private void removeOldest() {
        Iterator<Entry> oldestFirst = byKey.values().iterator();
        oldestFirst.next();
        oldestFirst.remove();
    }
}
