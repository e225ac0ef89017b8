package cacheproxy.discovery;

/**
 * The timeouts and delays of calls to discovery, and the limit that they must meet together.
 *
 * <p><b>Rule.</b> Every change of the endpoint list counts as notified {@link #NOTIFIED_AT_LATEST_MS} after it was
 * made, whether or not the proxy has received it. One drain grace later no request may be sent to an endpoint that is
 * gone. If a watch breaks, all steps from its last byte to the first list of the next watch have to fit into
 * {@link #NOTIFIED_AT_LATEST_MS} and one drain grace together.
 *
 * <p>The operators hold the proxy responsible for a change from the time at which it counts as notified. The age of a
 * list alone is not limited: while discovery cannot be reached, the last list stays in use.
 *
 * <p><b>Where discovery is polled</b>, the longest sequence of steps after the last byte of a watch that is allowed for
 * is:
 *
 * <pre>
 *   2,500  silence, {@link #MAX_SILENCE_MS}
 *     120  prompt retry, {@link #MIN_PROMPT_RETRY_DELAY_MS} + {@link #PROMPT_RETRY_SPREAD_MS}
 *   2,000  a call that an overloaded service fails, or {@link #CONNECT_TIMEOUT_MS} for a failed connection
 *     230  the shortest backoff, one and a half times {@link #INITIAL_BACKOFF_MS}
 *   2,000  the response to the next call
 *   -----
 *   6,850  ms, where {@link #NOTIFIED_AT_LATEST_MS} and a drain grace of 1,000 ms allow 7,000
 * </pre>
 *
 * Two calls that fail late, or one such call and one failed connection attempt, take longer than that.
 *
 * <p><b>Where an agent pushes lists</b>, a change counts as notified at once, and calls cost the agent nothing:
 * connecting may take a quarter of the drain grace, {@link #pushTimeoutMs}, and each backoff up to one and a half times
 * that.
 *
 * <p><b>A long list</b> is received at the pace of the service: n entries take n / 200 s, 16 s for 3,200. No bound on
 * the whole list could be right for all fleets, so what is bounded is the time to the next entry,
 * {@link #LIST_STALL_MS}, and the mean pace, {@link #MIN_LIST_ENTRIES_PER_S}:
 *
 * <pre>
 *   4,000  {@link #LIST_STALL_MS}
 *  64,000  3,200 entries at {@link #MIN_LIST_ENTRIES_PER_S}
 *  ------
 *  68,000  ms, after which a call ends whose list of 3,200 entries is not complete; 8,000 ms for 200 entries
 * </pre>
 *
 * A stalled list ends {@link #LIST_STALL_MS} after its last entry. A change that is behind a long list in the same call
 * comes as late as the service sends it.
 *
 * <p>All times are in milliseconds.
 */
final class WatchTimeouts {
    /**
     * The time from a change until it counts as notified, whether or not the proxy has received it; after a migration
     * see {@link #MIGRATION_NOTIFIED_MS}.
     */
    static final int NOTIFIED_AT_LATEST_MS = 6000;
    /** The time from the reload that names a new service until the new service's list counts as notified. */
    static final int MIGRATION_NOTIFIED_MS = 4000;

    /** A watch that sends nothing for this long counts as broken: discovery sends an empty line every 2,000 ms. */
    static final int MAX_SILENCE_MS = 2500;

    static final int CONNECT_TIMEOUT_MS = 1000;
    /** From the connection to the first byte of the response: an overloaded service fails a call after 2,000 ms. */
    static final int FIRST_BYTE_TIMEOUT_MS = 2500;
    /**
     * The same two timeouts for a service that has missed the shorter ones. Retries with the shorter timeouts would
     * never succeed; with much longer ones, a service that accepts calls but never responds would use up all the time
     * until a change counts as notified.
     */
    static final int SLOW_CONNECT_TIMEOUT_MS = 2000;

    static final int SLOW_FIRST_BYTE_TIMEOUT_MS = 4000;
    /** A list of which no further entry comes for this long is given up. */
    static final int LIST_STALL_MS = 4000;

    /** A list that comes more slowly than this on average is given up; a service sends 200 entries a second. */
    static final int MIN_LIST_ENTRIES_PER_S = 50;

    /**
     * Bounds of the backoff after a list that was given up for its time or its size: the next one is no shorter, and
     * uses up the lines that the service can send.
     */
    static final int INITIAL_LIST_BACKOFF_MS = 1000;

    static final int MAX_LIST_BACKOFF_MS = 16_000;

    /** The first calls of proxies that are started together are spread over this time. */
    static final int FIRST_CALL_SPREAD_MS = 100;

    static final int INITIAL_BACKOFF_MS = 150;
    static final int MAX_BACKOFF_MS = 1000;

    /**
     * The shortest delay before a watch that had worked is retried promptly, because changes may count as notified
     * meanwhile. Prompt retries are at least {@link #MIN_PROMPT_RETRY_INTERVAL_MS} apart, or a service that ends every
     * watch would be called continuously.
     */
    static final int MIN_PROMPT_RETRY_DELAY_MS = 20;

    static final int PROMPT_RETRY_SPREAD_MS = 100;
    static final int MIN_PROMPT_RETRY_INTERVAL_MS = 2000;

    /** The shortest delay of the retry after a list older than the one held; the longest is twice as much. */
    static final int MIN_STALE_RETRY_DELAY_MS = 150;
    /** Older lists are accepted only after this time, which is longer than a replica of the service may lag. */
    static final int MIN_STALE_TIME_MS = 6500;

    /**
     * How long a watch at an agent may stay open without a list while the list held may be outdated. The first call of
     * a process requests changes only, so it may rightly bring none; the whole list is requested next.
     */
    static final int FIRST_CHANGES_TIMEOUT_MS = 250;

    /** The same for a watch that requests the whole list. */
    static final int FIRST_LIST_TIMEOUT_MS = 2500;

    /** Bounds {@link #MAX_LIST_BACKOFF_MS} where an agent pushes lists: its lists cost nothing. */
    static final int MAX_PUSHED_LIST_BACKOFF_MS = 1000;

    private static final int PUSH_TIMEOUTS_PER_GRACE = 4;
    private static final int MIN_PUSH_TIMEOUT_MS = 50;

    private WatchTimeouts() {}

    /**
     * The connect timeout, and the bound of the backoff before its random draw, in milliseconds, where an agent pushes
     * lists.
     */
    static int pushTimeoutMs(long drainGraceMs) {
        if (drainGraceMs == 0) {
            return CONNECT_TIMEOUT_MS;
        }
        return (int)
                Math.max(MIN_PUSH_TIMEOUT_MS, Math.min(CONNECT_TIMEOUT_MS, drainGraceMs / PUSH_TIMEOUTS_PER_GRACE));
    }
}
