package cacheproxy.routing;

import java.util.Arrays;

/** A hash map from non-negative longs with linear probing: no boxing, and no iteration order to depend on. */
final class LongHashMap<T> {
    private static final long EMPTY_KEY = -1;

    private long[] keys = new long[16];
    private Object[] values = new Object[16];
    private int size;

    LongHashMap() {
        Arrays.fill(keys, EMPTY_KEY);
    }

    int size() {
        return size;
    }

    private int slot(long key) {
        int mask = keys.length - 1;
        int i = (int) (key * 0x9e3779b97f4a7c15L >>> 40) & mask;
        while (keys[i] != EMPTY_KEY && keys[i] != key) {
            i = i + 1 & mask;
        }
        return i;
    }

    @SuppressWarnings("unchecked")
    T get(long key) {
        return (T) values[slot(key)];
    }

    void put(long key, T value) {
        if (key < 0) {
            throw new IllegalArgumentException("negative key " + key);
        }
        int i = slot(key);
        if (keys[i] == EMPTY_KEY) {
            size++;
        }
        keys[i] = key;
        values[i] = value;
        if (2 * size > keys.length) {
            grow();
        }
    }

    void remove(long key) {
        int mask = keys.length - 1;
        int i = slot(key);
        if (keys[i] == EMPTY_KEY) {
            return;
        }
        keys[i] = EMPTY_KEY;
        values[i] = null;
        size--;
        // reinsert the entries after the gap, so that linear probing still finds each of them
        for (int j = i + 1 & mask; keys[j] != EMPTY_KEY; j = j + 1 & mask) {
            long movedKey = keys[j];
            Object movedValue = values[j];
            keys[j] = EMPTY_KEY;
            values[j] = null;
            int target = slot(movedKey);
            keys[target] = movedKey;
            values[target] = movedValue;
        }
    }

    @SuppressWarnings("unchecked")
    private void grow() {
        long[] oldKeys = keys;
        Object[] oldValues = values;
        keys = new long[2 * oldKeys.length];
        values = new Object[keys.length];
        Arrays.fill(keys, EMPTY_KEY);
        size = 0;
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldKeys[i] != EMPTY_KEY) {
                put(oldKeys[i], (T) oldValues[i]);
            }
        }
    }
}
