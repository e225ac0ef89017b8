package cacheproxy.server;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests whose clients have left while an attempt was under way. The attempt may have been executed, or
 * may be yet, and nobody was told; the same id may come again on another connection. Bounded: an id is kept for a
 * limited time, and beyond {@link #MAX_IDS} the oldest is forgotten. Times are in microseconds.
 */
final class DepartedRequests {
    private static final int MAX_IDS = 4096;

    /** When each id is forgotten, the oldest first. */
    private final Map<String, Long> forgetAtUs = new LinkedHashMap<>();

    void add(String opaque, long nowUs, long keptUs) {
        forgetOld(nowUs);
        if (forgetAtUs.size() >= MAX_IDS) {
            removeOldest();
        }
        forgetAtUs.put(opaque, nowUs + keptUs);
    }

    /** Whether a request with this id may have been executed for a client that has left. */
    boolean contains(String opaque, long nowUs) {
        if (forgetAtUs.isEmpty()) {
            return false;
        }
        forgetOld(nowUs);
        return forgetAtUs.containsKey(opaque);
    }

    private void forgetOld(long nowUs) {
        Iterator<Long> oldestFirst = forgetAtUs.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next() < nowUs) {
            oldestFirst.remove();
        }
    }

    private void removeOldest() {
        Iterator<Long> oldestFirst = forgetAtUs.values().iterator();
        oldestFirst.next();
        oldestFirst.remove();
    }
}
