package cacheproxy.discovery;

import cacheproxy.routing.RoutingSettings;

/**
 * Whether the endpoint list held may be older than the list of the agent that pushes lists to this proxy. What the
 * agent has counts as notified, so while the answer is yes no attempt may begin: its endpoint may be draining or gone.
 * Readiness and routing both depend on this answer.
 *
 * <p>A list that was up to date when its watch fell silent stays in use: an agent that is cut off from its service
 * learns nothing. A watch that <em>ended</em>, or brought a list that is incomplete or was skipped, leaves open what
 * the agent knows; so does the start of a process, and a reload that names another agent, from
 * {@link WatchTimeouts#MIGRATION_NOTIFIED_MS} after it. Only a watch of the current agent that is up to date answers
 * the question with no again.
 *
 * <p>After a watch was interrupted, most of the drain grace is left for the next one before the list counts as
 * outdated. A process that starts has none left, because its own start has used it up.
 *
 * <p>Where discovery is polled, other limits hold (see {@link WatchTimeouts}) and the answer is always no.
 *
 * <p>All times are in microseconds on the event loop's clock. Does no I/O; used on the event loop only.
 */
public final class ListFreshness {
    /** The time at which the list becomes outdated if nothing suggests that it will. */
    static final long NEVER = Long.MAX_VALUE;

    /** This fraction (1/n) of the drain grace is left for stalls between the decision to send and the write. */
    private static final long GRACE_MARGIN_DIVISOR = 4;

    /** Used where the settings state no drain grace. */
    private static final long DEFAULT_GRACE_US = 1_000_000;

    private final boolean agentPushesLists;
    private final long toleranceUs;
    /** From when on the agent of the watch may have changes that the list held lacks. */
    private long watchOutdatedAtUs = NEVER;
    /** From when on the list of an agent that a reload has named is due. */
    private long migrationOutdatedAtUs = NEVER;
    /** Whether a watch has been up to date since the start. */
    private boolean hasBeenUpToDate;

    public ListFreshness(RoutingSettings settings) {
        agentPushesLists = !settings.subscribeRequired;
        long graceUs = settings.drainGraceUs > 0 ? settings.drainGraceUs : DEFAULT_GRACE_US;
        toleranceUs = graceUs - graceUs / GRACE_MARGIN_DIVISOR;
    }

    /** Whether the list may be older than the agent's for longer than the drain grace allows. */
    public boolean mayBeOutdated(long nowUs) {
        return nowUs >= outdatedAtUs();
    }

    /** When {@link #mayBeOutdated} becomes true unless a watch is up to date before; {@link #NEVER} for never. */
    long outdatedAtUs() {
        return Math.min(watchOutdatedAtUs, migrationOutdatedAtUs);
    }

    /** Whether the agent may have changes that the list held lacks, be it within the drain grace or beyond it. */
    boolean isInDoubt() {
        return outdatedAtUs() != NEVER;
    }

    /** The process has started with the list of its configuration, which may be of any age. */
    void processStarted(long nowUs) {
        if (agentPushesLists) {
            watchOutdatedAtUs = nowUs;
        }
    }

    /** The watch ended, was given up, or holds a list that is incomplete or cannot be used. */
    void watchInterrupted(long nowUs) {
        if (agentPushesLists) {
            watchOutdatedAtUs = Math.min(watchOutdatedAtUs, nowUs + toleranceUs);
        }
    }

    /** A reload has named another agent. A second one does not extend the time that the first one has left. */
    void migrationBegan(long nowUs) {
        if (agentPushesLists) {
            long dueUs = nowUs + WatchTimeouts.MIGRATION_NOTIFIED_MS * 1000L + toleranceUs;
            migrationOutdatedAtUs = Math.min(migrationOutdatedAtUs, dueUs);
        }
    }

    /** A reload has named the agent of the open watch again. */
    void migrationCancelled() {
        migrationOutdatedAtUs = NEVER;
    }

    /** The agent that a reload has named has sent its first list; what follows it is this agent's. */
    void migrationCompleted(long nowUs) {
        migrationOutdatedAtUs = NEVER;
        watchInterrupted(nowUs);
    }

    /** The watch has delivered everything that its agent has. */
    void watchUpToDate() {
        watchOutdatedAtUs = NEVER;
        hasBeenUpToDate = true;
    }

    /**
     * The agent has sent a list older than the one held, and its watch was closed for that reason. At that moment the
     * list held was not outdated. After a start this shows nothing: the agent's version count may have begun anew.
     */
    void olderListReceived(long nowUs) {
        if (hasBeenUpToDate && agentPushesLists) {
            watchOutdatedAtUs = nowUs + toleranceUs;
        }
    }
}
