package cacheproxy.lab.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The idempotency keys that the cache nodes of a group remember for one class, to discard repeated writes. */
public final class IdempotencyMemory {
    /** The nodes that share one memory: all, those of a zone, or those of a cell. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    private record Ran(String receipt, long atNs) {}

    /** Time beyond the window for which entries are kept: work begun within it may end later. */
    private static final long WORK_NS = 60_000_000_000L;

    private final Group group;
    private final long windowNs;
    private final Map<String, Ran> ran = new LinkedHashMap<>();

    IdempotencyMemory(Group group, double windowMs) {
        this.group = group;
        windowNs = (long) (windowMs * 1e6);
    }

    private String place(EndpointEntry node, String token) {
        return switch (group) {
            case ALL -> token;
            case ZONE -> node.zone() + " " + token;
            case CELL -> node.zone() + " " + node.cell() + " " + token;
        };
    }

    /** The receipt of the write that this one repeats; null if none was remembered when it began. */
    String receipt(EndpointEntry node, String token, long beganNs) {
        Ran first = ran.get(place(node, token));
        return first == null || beganNs - first.atNs > windowNs ? null : first.receipt;
    }

    void ran(EndpointEntry node, String token, String receipt, long nowNs) {
        Iterator<Ran> oldest = ran.values().iterator();
        while (oldest.hasNext() && nowNs - oldest.next().atNs > windowNs + WORK_NS) {
            oldest.remove();
        }
        String place = place(node, token);
        ran.remove(place); // inserted again as the newest
        ran.put(place, new Ran(receipt, nowNs));
    }

    int size() {
        return ran.size();
    }
}
