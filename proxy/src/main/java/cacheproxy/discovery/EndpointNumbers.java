package cacheproxy.discovery;

import java.util.HashMap;
import java.util.Map;

/** Assigns the numbers by which the router identifies endpoints; each is kept until it is released. */
final class EndpointNumbers {
    private static final long FNV_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final Map<String, Integer> numbersById = new HashMap<>();
    private final Map<Integer, String> idsByNumber = new HashMap<>();

    /**
     * Returns the number of an endpoint, assigning one on first use. It is a hash of the id, so that all proxies rank
     * endpoints alike; on a collision it is the next free number.
     */
    int numberOf(String id) {
        Integer assigned = numbersById.get(id);
        if (assigned != null) {
            return assigned;
        }
        long hash = FNV_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        int number = (int) (hash ^ hash >>> 32);
        while (idsByNumber.containsKey(number)) {
            number++;
        }
        numbersById.put(id, number);
        idsByNumber.put(number, id);
        return number;
    }

    int size() {
        return numbersById.size();
    }

    void release(int number) {
        numbersById.remove(idsByNumber.remove(number));
    }
}
