package cacheproxy.lab.standin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The versions of an endpoint list, as far back as the discovery service keeps them. */
final class EndpointHistory {
    private static final int MAX_VERSIONS = 200;

    /** The full lists by version, each by the nodes' ids. */
    private final TreeMap<Long, Map<String, EndpointEntry>> lists = new TreeMap<>();

    private long version;

    EndpointHistory(long version, Collection<EndpointEntry> entries) {
        this.version = version;
        Map<String, EndpointEntry> first = new LinkedHashMap<>();
        for (EndpointEntry entry : entries) {
            first.put(entry.id(), entry);
        }
        lists.put(version, first);
    }

    /** The current version. */
    long version() {
        return version;
    }

    /** The current list. */
    List<EndpointEntry> current() {
        return List.copyOf(lists.lastEntry().getValue().values());
    }

    /** The current entry of a node; null if it is not listed. */
    EndpointEntry find(String id) {
        return lists.lastEntry().getValue().get(id);
    }

    /** Changes entries in one new version; {@link EndpointEntry#DELETED} ones are removed. */
    void change(EndpointEntry... changed) {
        Map<String, EndpointEntry> list = new LinkedHashMap<>(lists.lastEntry().getValue());
        for (EndpointEntry entry : changed) {
            if (entry.state().equals(EndpointEntry.DELETED)) {
                list.remove(entry.id());
            } else {
                list.put(entry.id(), entry);
            }
        }
        version++;
        lists.put(version, list);
        if (lists.size() > MAX_VERSIONS) {
            lists.pollFirstEntry();
        }
    }

    /** Whether a version is still known. */
    boolean knows(long at) {
        return lists.containsKey(at);
    }

    /** The list of a known version. */
    Collection<EndpointEntry> at(long known) {
        return lists.get(known).values();
    }

    /** The known version before this one, or this one if there is none. */
    long before(long at) {
        Long older = lists.lowerKey(at);
        return older == null ? at : older;
    }

    /** Changes between two versions, of which the second is known; null if the first is no longer known. */
    List<EndpointEntry> changes(long from, long to) {
        Map<String, EndpointEntry> old = lists.get(from);
        if (old == null) {
            return null;
        }
        List<EndpointEntry> changes = new ArrayList<>();
        for (EndpointEntry entry : at(to)) {
            if (!entry.equals(old.get(entry.id()))) {
                changes.add(entry);
            }
        }
        for (EndpointEntry entry : old.values()) {
            if (!lists.get(to).containsKey(entry.id())) {
                changes.add(entry.state(EndpointEntry.DELETED));
            }
        }
        return changes;
    }

    /** Forgets all versions but the current one. */
    void forgetOlder() {
        lists.headMap(version).clear();
    }
}
