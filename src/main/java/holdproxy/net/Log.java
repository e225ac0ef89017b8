package holdproxy.net;

/** Changes and faults on standard error, so many in a while: a storm of faults must not fill a disk. */
final class Log {
    private static final int MOST = 40;
    private static final long WINDOW_NS = 10_000_000_000L;

    private long windowStart = System.nanoTime();
    private int lines;

    /** Also called by the thread that reads a new configuration. */
    synchronized void line(String text) {
        long now = System.nanoTime();
        if (now - windowStart > WINDOW_NS) {
            if (lines > MOST) {
                System.err.println("holdproxy: " + (lines - MOST) + " lines left out");
            }
            windowStart = now;
            lines = 0;
        }
        if (lines++ < MOST) {
            System.err.println("holdproxy: " + text);
        }
    }
}
