package holdproxy.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/** The one slow place that cache nodes fetch from and pass writes to. */
final class Origin {
    private record Call(double times, Runnable done) { }

    private final Net net;
    private final Random random;
    private int places;
    private final int queue;
    private final double ms;
    private final double cv;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private final Map<String, Integer> versions = new HashMap<>();
    private final List<Consumer<String>> caches = new ArrayList<>();
    private int busy;
    private boolean down;
    int fetches;
    int writes;
    int turnedAway;

    Origin(Net net, int places, int queue, double ms, double cv, long seed) {
        this.net = net;
        this.places = places;
        this.queue = queue;
        this.ms = ms;
        this.cv = cv;
        random = new Random(seed);
    }

    /** From now on the cache hears of keys whose copies are void. */
    void join(Consumer<String> voids) {
        caches.add(voids);
    }

    /** False: it has no room and does nothing. */
    boolean fetch(Runnable done) {
        return call(new Call(1, () -> {
            fetches++;
            done.run();
        }));
    }

    /** Carries out a write, and drops all copies of its key; false: it has no room and does nothing. */
    boolean write(String key, Runnable done) {
        return call(new Call(2, () -> {
            changed(key);
            done.run();
        }));
    }

    /** A key has changed here: by a write, or on its own. */
    void changed(String key) {
        writes++;
        versions.merge(key, 1, Integer::sum);
        for (Consumer<String> cache : caches) {
            cache.accept(key);
        }
    }

    int version(String key) {
        return versions.getOrDefault(key, 0);
    }

    /** It works on so many at once from now on. */
    void places(int now) {
        places = now;
        next();
    }

    void down(boolean now) {
        down = now;
    }

    private boolean call(Call call) {
        if (down || busy >= places && waiting.size() >= queue) {
            turnedAway++;
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
            net.after((long) (Draw.around(random, ms, cv) * call.times * 1e6), () -> {
                busy--;
                call.done.run();
                next();
            });
        }
    }
}
