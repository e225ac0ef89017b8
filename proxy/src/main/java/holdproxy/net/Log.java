package holdproxy.net;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Changes and faults for the people on call, so many in a while: a storm of faults must not fill a disk. What
 * takes the lines may not block, since most are written on the loop.
 */
final class Log {
    static final int MOST = 40;
    private static final long WINDOW_NS = 10_000_000_000L;

    private final LongSupplier nanoTime;
    private final Consumer<String> out;
    private long windowStart;
    private int lines;

    Log(LongSupplier nanoTime, Consumer<String> out) {
        this.nanoTime = nanoTime;
        this.out = out;
        windowStart = nanoTime.getAsLong();
    }

    /** Called by any thread. */
    synchronized void line(String text) {
        long now = nanoTime.getAsLong();
        if (now - windowStart > WINDOW_NS) {
            if (lines > MOST) {
                out.accept("holdproxy: " + (lines - MOST) + " lines left out");
            }
            windowStart = now;
            lines = 0;
        }
        if (lines++ < MOST) {
            out.accept("holdproxy: " + text);
        }
    }
}
