package cacheproxy.limits;

/**
 * Decides whether the outcome of an attempt is evidence about the endpoint and its load, or only about the client or
 * this process. The latter must not count as failures of the endpoint. Times are in microseconds.
 */
public final class FailureAttribution {
    /**
     * A timeout counts only if the client allowed at least this fraction of the latency objective. Otherwise any client
     * could make an endpoint or a tenant look unhealthy with deadlines that can't be met. A higher fraction would
     * ignore the last attempts of well-behaved clients.
     */
    public static final double MIN_DEADLINE_FRACTION = 0.05;
    /** The event loop caused a timeout if its lateness exceeds this fraction (1/n) of the attempt's timeout. */
    private static final long LATENESS_DIVISOR = 4;
    /** If the loop was late for a larger share of the last seconds, the proxy is overloaded, and failures count. */
    private static final double MAX_LATE_SHARE = 0.4;
    /**
     * Consecutive rejections by one endpoint of requests from clients that were served before (by any endpoint) and
     * that no other endpoint has rejected.
     */
    private static final int MIN_CONSECUTIVE_REJECTIONS = 3;

    private FailureAttribution() {}

    /**
     * Whether the event loop was late for much of an attempt. False if it was late for 40 % or more of the last
     * seconds, which is overload.
     *
     * @param lateUs lateness of the loop during the attempt
     * @param timeoutUs the attempt's timeout
     * @param lateShare share of the last seconds in which the loop was late, 0 to 1
     */
    public static boolean eventLoopRanLate(long lateUs, long timeoutUs, double lateShare) {
        return lateUs > timeoutUs / LATENESS_DIVISOR && lateShare < MAX_LATE_SHARE;
    }

    /**
     * Whether a stall of the event loop explains the outcome: either the attempt timed out, or the endpoint rejected it
     * because of its age, while the loop was stalled or repeatedly late; or the response arrived within the objective
     * and was read too late. If these counted as failures, one pause would make the proxy reject requests for seconds.
     *
     * @param timedOut whether the attempt timed out
     * @param busy whether the endpoint rejected it as busy
     * @param served whether it was served
     * @param elapsedUs time from the start of the attempt until its outcome was seen
     * @param timeoutUs the attempt's timeout
     * @param objectiveUs the latency objective
     * @param lateUs lateness of the loop during the attempt
     * @param tickUs interval of the loop's timer: without any stall, a timeout is seen up to this much late
     * @param lateShare share of the last seconds in which the loop was late, 0 to 1
     */
    public static boolean causedByEventLoopStall(
            boolean timedOut,
            boolean busy,
            boolean served,
            long elapsedUs,
            long timeoutUs,
            long objectiveUs,
            long lateUs,
            long tickUs,
            double lateShare) {
        if ((timedOut || busy) && elapsedUs > timeoutUs + tickUs) {
            return lateShare < MAX_LATE_SHARE;
        }
        boolean readTooLate = served && elapsedUs > objectiveUs && elapsedUs - lateUs <= objectiveUs;
        return (timedOut || readTooLate) && eventLoopRanLate(lateUs, timeoutUs, lateShare);
    }

    /**
     * Whether an attempt timed out only because its client's deadline can't be met.
     *
     * @param clientTimeoutUs the timeout that the client stated
     */
    public static boolean unmeetableDeadline(boolean timedOut, long clientTimeoutUs, long objectiveUs) {
        return timedOut && clientTimeoutUs < MIN_DEADLINE_FRACTION * objectiveUs;
    }

    /**
     * Whether an endpoint that rejects requests as malformed is itself at fault.
     *
     * @param consecutiveRejections consecutive rejections of requests from clients that were served before and that no
     *     other endpoint rejected
     */
    public static boolean endpointAtFault(int consecutiveRejections) {
        return consecutiveRejections >= MIN_CONSECUTIVE_REJECTIONS;
    }
}
