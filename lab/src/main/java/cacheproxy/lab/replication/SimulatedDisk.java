package cacheproxy.lab.replication;

import cacheproxy.replication.OperatorCommands;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A member's disk in simulated time, with backups that can be restored. */
final class SimulatedDisk {
    private final Map<String, OperatorCommands> contents = new LinkedHashMap<>();
    private final List<Map<String, OperatorCommands>> backups = new ArrayList<>();
    boolean full;

    /** Merges commands into those on disk; false if the disk is full. */
    boolean write(String key, OperatorCommands orders) {
        if (full) {
            return false;
        }
        OperatorCommands was = contents.get(key);
        contents.put(key, was == null ? orders : (OperatorCommands) was.merge(orders));
        return true;
    }

    Map<String, OperatorCommands> read() {
        return contents;
    }

    void backUp() {
        backups.add(new LinkedHashMap<>(contents));
    }

    /** Restores the first backup; empties the disk if there is none. */
    void restoreFirstBackup() {
        contents.clear();
        if (!backups.isEmpty()) {
            contents.putAll(backups.get(0));
        }
    }

    void erase() {
        contents.clear();
    }
}
