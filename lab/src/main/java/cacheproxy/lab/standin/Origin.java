package cacheproxy.lab.standin;

import cacheproxy.lab.simulation.Network;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/** The slow origin that cache nodes fetch from and forward writes to. */
public final class Origin {
    private record Call(double times, Runnable done) {}

    private final Network net;
    private final Random random;
    private int places;
    private final int queue;
    private final double ms;
    private final double cv;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private final Map<String, Integer> versions = new HashMap<>();
    /** The caches that hold a copy of a key; asking every cache at each write would be too slow for thousands. */
    private final Map<String, List<Consumer<String>>> holders = new HashMap<>();

    private int busy;
    private boolean down;
    public int fetches;
    int writes;
    public int rejected;

    public Origin(Network net, int places, int queue, double ms, double cv, long seed) {
        this.net = net;
        this.places = places;
        this.queue = queue;
        this.ms = ms;
        this.cv = cv;
        random = new Random(seed);
    }

    /** Registers a copy in a cache, which is notified of its invalidation. */
    void holds(String key, Consumer<String> voids) {
        holders.computeIfAbsent(key, k -> new ArrayList<>(2)).add(voids);
    }

    /** Unregisters a copy that the cache evicted. */
    void dropped(String key, Consumer<String> voids) {
        List<Consumer<String>> all = holders.get(key);
        if (all != null && all.remove(voids) && all.isEmpty()) {
            holders.remove(key);
        }
    }

    /** Fetches a key; returns false if the queue is full. */
    boolean fetch(Runnable done) {
        return call(new Call(1, () -> {
            fetches++;
            done.run();
        }));
    }

    /** Executes a write and invalidates all copies of its key; returns false if the queue is full. */
    boolean write(String key, Runnable done) {
        return call(new Call(2, () -> {
            changed(key);
            done.run();
        }));
    }

    /** A key changed, by a write or by itself. */
    void changed(String key) {
        writes++;
        versions.merge(key, 1, Integer::sum);
        List<Consumer<String>> all = holders.remove(key);
        if (all != null) {
            all.forEach(cache -> cache.accept(key));
        }
    }

    int version(String key) {
        return versions.getOrDefault(key, 0);
    }

    /** Sets its concurrency. */
    public void places(int now) {
        places = now;
        next();
    }

    void down(boolean now) {
        down = now;
    }

    private boolean call(Call call) {
        if (down || busy >= places && waiting.size() >= queue) {
            rejected++;
            return false;
        }
        waiting.add(call);
        next();
        return true;
    }

    private void next() {
        while (busy < places && !waiting.isEmpty()) {
            Call call = waiting.poll();
            busy++;
            net.after((long) (RandomVariates.around(random, ms, cv) * call.times * 1e6), () -> {
                busy--;
                call.done.run();
                next();
            });
        }
    }
}
