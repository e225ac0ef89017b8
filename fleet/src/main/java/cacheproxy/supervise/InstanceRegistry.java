package cacheproxy.supervise;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The instances by name, including the retained state of instances that are no longer declared. */
final class InstanceRegistry {
    /** Bound for each name on the starts whose process was not observed to end. */
    private static final int MAX_UNCONFIRMED_STARTS = 8;

    private final Map<String, Instance> instances = new LinkedHashMap<>();
    /** Removed instances; kept so that start numbers continue and because an earlier process may still run. */
    private final Map<String, Instance> removedInstances = new HashMap<>();

    /** All instances, in the order of their creation. */
    Collection<Instance> all() {
        return instances.values();
    }

    /** A copy of {@link #all}, for loops that may remove instances. */
    List<Instance> copy() {
        return List.copyOf(instances.values());
    }

    /** Null if there is none. */
    Instance get(String name) {
        return instances.get(name);
    }

    /**
     * The instance if this is still its last start; null if the start is outdated or ended because the name lock was
     * held.
     */
    Instance withStart(String name, int start) {
        Instance instance = instances.get(name);
        return instance != null && instance.lastStart == start && !instance.nameHeld ? instance : null;
    }

    /** The instance of this name, created if missing. */
    Instance getOrCreate(String name) {
        return instances.computeIfAbsent(name, this::create);
    }

    private Instance create(String name) {
        Instance instance = new Instance(name);
        Instance removed = removedInstances.remove(name);
        if (removed != null) {
            instance.lastStart = removed.lastStart;
            instance.unconfirmedStarts.addAll(removed.unconfirmedStarts);
        }
        return instance;
    }

    void remove(Instance instance) {
        instances.remove(instance.name);
        removedInstances.put(instance.name, instance);
    }

    /** Removed instances that may still have a running process. */
    List<Instance> removedWithUnconfirmedStarts() {
        return removedInstances.values().stream()
                .filter(instance -> !instance.unconfirmedStarts.isEmpty())
                .toList();
    }

    /** Keeps the last start as unconfirmed: the process is assumed to have ended, but its end was not observed. */
    static void addUnconfirmedStart(Instance instance) {
        instance.unconfirmedStarts.add(instance.asUnconfirmedStart());
        if (instance.unconfirmedStarts.size() > MAX_UNCONFIRMED_STARTS) {
            instance.unconfirmedStarts.remove(0);
        }
    }
}
