package cacheproxy.supervise;

/**
 * Time limits and retry rules for an instance; all times in milliseconds.
 *
 * @param readyWithinMs an instance that is not ready this long after its start is terminated, which counts as a crash
 * @param stopWithinMs a process that has not ended this long after SIGTERM is considered hung
 * @param hungAfterMs an instance that has not answered for this long is considered hung
 * @param killAfterMs a hung instance gets SIGKILL after this time; -1: never
 * @param backoffMs delay before the start after the first crash; doubled with each consecutive crash
 * @param backoffMostMs upper bound of the backoff
 * @param giveUpAfter number of consecutive crashes after which the instance is not started again
 * @param stableMs a crash after being ready for at least this long restarts the count of crashes
 * @param probeMs interval of health checks while the instance is ready; a fifth of it otherwise
 * @param forkMs if the process does not exist this long after its start was announced, it is assumed never to be
 *     created (a very slow fork may still create it; the name lock then prevents a second serving process)
 */
public record SupervisionPolicy(
        long readyWithinMs,
        long stopWithinMs,
        long hungAfterMs,
        long killAfterMs,
        long backoffMs,
        long backoffMostMs,
        int giveUpAfter,
        long stableMs,
        long probeMs,
        long forkMs) {

    /** The default. A drain takes up to 3.6 s; a start on half a core takes 3.5 s. */
    public static final SupervisionPolicy DEFAULT =
            new SupervisionPolicy(30_000, 6_000, 3_000, -1, 500, 30_000, 5, 10_000, 1_500, 3_000);

    /** Bounds the exponent of the backoff, so that the result fits into a long under any policy. */
    private static final int MAX_DOUBLINGS = 20;
    /** Instances that are not ready are checked this many times as often as ready ones. */
    private static final int NOT_READY_PROBE_FACTOR = 5;

    /** The delay before a retry, in milliseconds: doubled with each earlier failure, up to {@link #backoffMostMs}. */
    long backoffMs(int doublings) {
        return Math.min(backoffMostMs, backoffMs << Math.min(doublings, MAX_DOUBLINGS));
    }

    /** Interval of health checks for an instance that is not ready, in milliseconds. */
    long notReadyProbeMs() {
        return probeMs / NOT_READY_PROBE_FACTOR;
    }
}
