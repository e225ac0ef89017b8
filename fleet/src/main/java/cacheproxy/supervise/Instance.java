package cacheproxy.supervise;

import java.util.ArrayList;
import java.util.List;

/** The supervisor's view of one instance. Times are in milliseconds of the supervisor's clock. */
public final class Instance {
    public final String name;
    /** Null while the instance is not declared. */
    InstanceSpec spec;

    DesiredState desired = DesiredState.RUNNING;
    /** The instance was removed, but the journal does not yet record that its earlier stop command is void. */
    boolean resetUnrecorded;

    InstanceState state = InstanceState.DECLARED;
    long stateSinceMs;

    /** Number of the last start; never decreases. */
    int lastStart;

    /** Secret of the last start; this and the next three fields describe that start. */
    String secret = "";

    /** Launch digest that the process was started with. */
    String launchDigest = "";
    /** The process; null while it is not known. */
    UniqueProcessId identity;
    /**
     * If the process of the last start does not exist this long after its announcement, it is assumed never to be
     * created.
     */
    long forkMs = SupervisionPolicy.DEFAULT.forkMs();
    /**
     * Earlier starts whose process was not observed to end, oldest first: one of these processes may still run and hold
     * the name lock.
     */
    final List<Start> unconfirmedStarts = new ArrayList<>();

    /** The last start ended because another process holds the name lock; that process is being searched for. */
    boolean nameHeld;
    /** Index into {@link #unconfirmedStarts}, from the newest, of the start being searched for as lock holder. */
    int holderIndex;
    /** Number of consecutive starts that ended because another process held the name lock. */
    int startsWithNameHeld;

    /**
     * The supervisor is searching for the process of a start by an earlier agent, or for the holder of the name lock
     * ({@link #nameHeld}). Until the search ends, the process may still appear.
     */
    boolean searching;

    boolean searchPending;
    /** When the last search began or failed. */
    long lastSearchMs;

    /** -1: has not been ready since its last start. */
    long readySinceMs = -1;

    long lastAnswerMs;
    long nextProbeMs;
    boolean probePending;

    /** SIGTERM was sent, at {@link #sigtermMs}. */
    boolean terminating;

    long sigtermMs;
    boolean sigkillSent;
    boolean restartAfterExit;
    /** The process is being terminated because it was not ready in time; this counts as a crash. */
    boolean readinessTimedOut;

    int consecutiveCrashes;
    /** The journal records the end of the last start; the backoff due after its crashes has not been applied yet. */
    boolean replayedEnd;
    /** Earliest time of the next start. */
    long nextStartMs;
    /** Exit code of the process that ended last; -1: unknown. */
    int exitCode = -1;

    /** Digest of the configuration in use, as last reported by the instance. */
    String configurationDigest = "";

    String refusalReason = "";
    String refusedDigest = "";
    /** Digest of the configuration declared when the pending reload was sent. */
    String reloadDigest = "";

    boolean reloadPending;
    long nextReloadMs;
    /** Number of consecutive reload requests that failed or were not answered. */
    int consecutiveReloadFailures;

    /** Description of the current fault; empty if there is none. */
    String fault = "";

    /**
     * What identifies the process of one start.
     *
     * @param identity null if the process was never known
     */
    record Start(int number, String secret, String launchDigest, UniqueProcessId identity, long forkMs) {}

    Instance(String name) {
        this.name = name;
    }

    /** The last start, as an entry for {@link #unconfirmedStarts}. */
    Start asUnconfirmedStart() {
        return new Start(lastStart, secret, launchDigest, identity, forkMs);
    }

    void enter(InstanceState next, long now) {
        state = next;
        stateSinceMs = now;
    }

    /** The declared policy; the default policy while the instance is not declared. */
    SupervisionPolicy policy() {
        return spec == null ? SupervisionPolicy.DEFAULT : spec.policy();
    }

    /** The fault, formatted to end a sentence; empty if there is none. */
    String faultClause() {
        return fault.isEmpty() ? "" : ", " + fault;
    }

    /** Resets the state for a start that has been written to the journal. */
    void begin(int number, String startSecret, String launch, long forkWithinMs, long now) {
        lastStart = number;
        secret = startSecret;
        launchDigest = launch;
        forkMs = forkWithinMs;
        identity = null;
        configurationDigest = "";
        refusalReason = "";
        refusedDigest = "";
        consecutiveReloadFailures = 0;
        probePending = false;
        lastAnswerMs = now;
        nextProbeMs = now;
        fault = "";
        enter(InstanceState.STARTING, now);
    }

    /** Clears the state that belongs only to the process that has ended. */
    void clearProcessState() {
        readinessTimedOut = false;
        terminating = false;
        sigkillSent = false;
        reloadPending = false;
        probePending = false;
        readySinceMs = -1;
    }

    public InstanceState state() {
        return state;
    }

    /** Whether the instance should run. */
    public boolean wanted() {
        return desired == DesiredState.RUNNING;
    }

    /** Number of the last start; 0: never started. */
    public int lastStart() {
        return lastStart;
    }

    /** The process of the last start; null if not known. */
    public UniqueProcessId identity() {
        return identity;
    }

    public String secret() {
        return secret;
    }

    /** When the instance entered its state, in milliseconds of the supervisor's clock. */
    public long stateSinceMs() {
        return stateSinceMs;
    }

    public int consecutiveCrashes() {
        return consecutiveCrashes;
    }

    /** Exit code of the process that ended last; -1: unknown, as for processes that this agent did not start. */
    public int exitCode() {
        return exitCode;
    }

    /** Description of the current fault; empty if there is none. */
    public String fault() {
        return fault;
    }

    /** Digest of the configuration in use, as last reported by the instance. */
    public String configurationDigest() {
        return configurationDigest;
    }

    /** Why the instance rejected the declared configuration; empty if it did not. */
    public String refusalReason() {
        return spec != null && refusedDigest.equals(spec.configuration()) ? refusalReason : "";
    }

    /** Whether the launch parameters differ from the declared ones, so that a restart is needed. */
    public boolean outdated() {
        return state.mayRun() && spec != null && !launchDigest.equals(spec.launch());
    }

    /** Null while the instance is not declared. */
    public InstanceSpec spec() {
        return spec;
    }
}
