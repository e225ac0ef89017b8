package cacheproxy.supervise;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the instances of a site in their declared state. Events and clock readings arrive as method calls (times in
 * milliseconds of one monotonic clock), and effects go out through {@link SupervisorActions}. The class does no I/O,
 * has no clock and no threads, and calls must not overlap. It never lets two processes of one instance serve: a start
 * is announced only after the previous process has ended or is assumed to have ended
 * ({@link Instance#unconfirmedStarts}; the name lock stops the second process if the assumption was wrong), and is in
 * the journal before the process is created.
 *
 * <p>This class holds the life cycle of an instance. The other decisions are made by {@link RollingRestarts},
 * {@link NameHolderSearch}, {@link HealthCheckResults}, {@link ConfigurationReloads} and {@link JournalReplay}.
 */
public final class Supervisor {
    /** Exit code of a process that found its name lock held by another process; not counted as a crash. */
    public static final int NAME_HELD_EXIT_CODE = 3;

    /** Why an operation is rejected when it cannot be written to the journal. */
    static final String JOURNAL_FAILS = "the journal cannot be written: nothing is changed";

    private final SupervisorActions actions;
    private final InstanceRegistry instances = new InstanceRegistry();
    private final JournalReplay journalReplay = new JournalReplay(instances);
    private final RollingRestarts rollingRestarts;
    private final NameHolderSearch nameHolderSearch;
    private final ConfigurationReloads reloads;
    private final HealthCheckResults healthCheckResults;

    public Supervisor(SupervisorActions actions) {
        this.actions = actions;
        rollingRestarts = new RollingRestarts(this, actions, instances);
        nameHolderSearch = new NameHolderSearch(this, actions, rollingRestarts);
        reloads = new ConfigurationReloads(this, actions, instances);
        healthCheckResults = new HealthCheckResults(this, actions, instances, rollingRestarts);
    }

    // ---- queries ----

    public Collection<Instance> instances() {
        return instances.all();
    }

    /** Null if there is none. */
    public Instance instance(String name) {
        return instances.get(name);
    }

    /** Instances restarted, being restarted and still pending; null if no rolling restart is in progress. */
    public Map<String, List<String>> rollingRestartProgress() {
        return rollingRestarts.progress();
    }

    // ---- journal replay ----

    /**
     * Applies the journal records of an earlier agent; called in their order, before any other method.
     * {@link JournalRecord.SiteDeclared} is handled by the caller.
     */
    public void replay(JournalRecord record) {
        journalReplay.replay(record);
        rollingRestarts.replay(record);
    }

    /** The records from which {@link #replay} restores the present state; used to compact the journal. */
    public List<JournalRecord> snapshot() {
        List<JournalRecord> records = rollingRestarts.snapshot();
        records.addAll(journalReplay.snapshot());
        return records;
    }

    // ---- declarations and operator commands ----

    /** Replaces the declared site; names are unique. Instances no longer declared are terminated and removed. */
    public void declare(long now, List<InstanceSpec> specs) {
        Map<String, InstanceSpec> declared = new LinkedHashMap<>();
        for (InstanceSpec spec : specs) {
            declared.put(spec.name(), spec);
            Instance instance = instances.getOrCreate(spec.name());
            instance.spec = spec;
            if (instance.desired == DesiredState.REMOVED) {
                instance.desired = DesiredState.RUNNING;
            }
            if (instance.replayedEnd && instance.consecutiveCrashes > 0 && instance.desired == DesiredState.RUNNING) {
                backOff(instance, now);
            }
            instance.replayedEnd = false;
        }
        for (Instance instance : instances.copy()) {
            if (!declared.containsKey(instance.name) && instance.desired != DesiredState.REMOVED) {
                instance.resetUnrecorded = instance.desired == DesiredState.STOPPED || instance.consecutiveCrashes > 0;
                instance.consecutiveCrashes = 0;
                instance.desired = DesiredState.REMOVED;
            }
            step(instance, now);
        }
        rollingRestarts.advance(now);
    }

    /**
     * Searches for the processes of an earlier agent; called after all records are replayed, before {@link #declare}.
     */
    public void searchForProcesses(long now) {
        for (Instance instance : instances.copy()) {
            if (instance.state == InstanceState.ADOPTED) {
                instance.stateSinceMs = now;
                instance.lastAnswerMs = now;
                instance.searching = true;
                nameHolderSearch.search(instance, now);
            }
            step(instance, now);
        }
    }

    /** Sets whether an instance should run. Returns why the command was rejected; null if it was accepted. */
    public String setDesiredState(long now, String name, boolean running) {
        Instance instance = instances.get(name);
        if (instance == null || instance.desired == DesiredState.REMOVED) {
            return "no instance is named " + name;
        }
        if (!actions.appendToJournal(new JournalRecord.DesiredStateSet(name, running))) {
            return JOURNAL_FAILS;
        }
        instance.desired = running ? DesiredState.RUNNING : DesiredState.STOPPED;
        instance.resetUnrecorded = false;
        if (running) {
            instance.consecutiveCrashes = 0;
            instance.startsWithNameHeld = 0;
        }
        if (instance.state == InstanceState.GIVEN_UP || instance.state == InstanceState.BACKING_OFF) {
            instance.enter(InstanceState.STOPPED, now);
        }
        instance.nextStartMs = now;
        step(instance, now);
        return null;
    }

    /**
     * Restarts an instance, or starts it if it has no process. Returns why the command was rejected; null if it was
     * accepted.
     */
    public String restart(long now, String name) {
        String why = setDesiredState(now, name, true);
        Instance instance = instances.get(name);
        if (why == null && instance.state.mayRun() && !startJustAnnounced(instance)) {
            instance.restartAfterExit = true;
            step(instance, now);
        }
        return why;
    }

    /** Whether the start was announced just now by the command itself, so that no restart is needed. */
    private static boolean startJustAnnounced(Instance instance) {
        return instance.state == InstanceState.STARTING
                && !instance.searching
                && instance.identity == null
                && !instance.outdated();
    }

    /**
     * Requests a reload, even if the configuration has not changed. Returns why the reload cannot be requested; null if
     * it was.
     */
    public String reload(long now, String name) {
        return reloads.reload(now, name);
    }

    /**
     * Restarts instances in turn, {@code maxDown} at a time; stops at the first that fails. Returns why the rolling
     * restart cannot begin; null if it has begun.
     */
    public String beginRollingRestart(long now, List<String> names, int maxDown) {
        return rollingRestarts.begin(now, names, maxDown);
    }

    // ---- events ----

    /**
     * A health check was answered.
     *
     * @param ready whether the instance reports that it is ready
     * @param notServing why a client connection is not served; empty if it is
     * @param digest digest of the configuration in use
     */
    public void probed(long now, String name, int start, boolean ready, String notServing, String digest) {
        healthCheckResults.probed(now, name, start, ready, notServing, digest);
    }

    /** A health check failed or was not answered. */
    public void probeFailed(long now, String name, int start, String why) {
        healthCheckResults.probeFailed(now, name, start, why);
    }

    /** A reload was answered: the instance applied the configuration, or rejected it with a reason. */
    public void reloaded(long now, String name, int start, boolean applied, String why, String digest) {
        reloads.reloaded(now, name, start, applied, why, digest);
    }

    /** The reload request could not be sent or was not answered, so the validity of the configuration is unknown. */
    public void reloadFailed(long now, String name, int start, String why) {
        reloads.reloadFailed(now, name, start, why);
    }

    /** The process of this start was created. */
    public void spawned(long now, String name, int start, UniqueProcessId identity) {
        Instance instance = instances.withStart(name, start);
        if (instance == null || !instance.state.mayRun()) {
            return;
        }
        instance.identity = identity;
        instance.searching = false;
        actions.appendToJournal(new JournalRecord.ProcessStarted(
                name, start, identity)); // if this fails, the next agent searches by the environment variable LB_START
        instance.nextProbeMs = now;
        step(instance, now);
    }

    /** The process of this start could not be created. */
    public void spawnFailed(long now, String name, int start, String why) {
        Instance instance = instances.withStart(name, start);
        if (instance != null && instance.state.mayRun()) {
            instance.fault = "could not be started: " + why;
            processEnded(now, name, start, -1);
        }
    }

    /** A search completed; {@code identity} is the process found, null if there is none at present. */
    public void searchCompleted(long now, String name, int start, UniqueProcessId identity) {
        Instance current = instances.get(name);
        if (current != null && current.nameHeld) {
            nameHolderSearch.searchCompleted(current, now, start, identity);
            return;
        }
        Instance instance = instances.withStart(name, start);
        if (instance == null || !instance.searching) {
            return;
        }
        instance.searchPending = false;
        if (identity != null) {
            boolean recorded = identity.equals(instance.identity);
            instance.searching = false;
            instance.identity = identity;
            if (!recorded) {
                actions.appendToJournal(new JournalRecord.ProcessStarted(name, start, identity));
            }
            actions.logEvent(name, "adopted, pid " + identity.pid());
            instance.nextProbeMs = now;
            step(instance, now);
        } else if (instance.identity != null) {
            processEnded(now, name, start, -1);
        } else if (instance.lastSearchMs >= instance.stateSinceMs + instance.forkMs) {
            processNeverCreated(instance, now); // the search began after the time by which the process had to exist
        }
    }

    /** The start was announced but its process was never created: the previous agent died in between. */
    private void processNeverCreated(Instance instance, long now) {
        actions.logEvent(instance.name, "start " + instance.lastStart + " was announced and never made");
        instance.fault = "";
        if (actions.appendToJournal(
                new JournalRecord.ProcessEnded(instance.name, instance.lastStart, -1, instance.consecutiveCrashes))) {
            instance.searching = false;
            InstanceRegistry.addUnconfirmedStart(instance);
            instance.exitCode = -1;
            instance.enter(InstanceState.STOPPED, now);
            instance.nextStartMs = now;
            instance.restartAfterExit = false;
            instance.terminating = false;
        }
        step(instance, now);
    }

    /** A search could not be carried out; it is repeated after a pause. */
    public void searchFailed(long now, String name, int start) {
        Instance instance = instances.get(name);
        if (instance != null
                && instance.searching
                && instance.searchPending
                && NameHolderSearch.startBeingSearched(instance) == start) {
            instance.searchPending = false;
            instance.lastSearchMs = now;
        }
    }

    /** The process of this start has ended; exit code -1: unknown. */
    public void processEnded(long now, String name, int start, int code) {
        processEnded(now, name, start, code, "");
    }

    /** The process of this start has ended; {@code why} is the reason it logged, empty if none. */
    public void processEnded(long now, String name, int start, int code, String why) {
        Instance instance = instances.withStart(name, start);
        if (instance == null || !instance.state.mayRun()) {
            return;
        }
        if (code == NAME_HELD_EXIT_CODE) {
            nameHolderSearch.startFoundNameHeld(instance, now);
            return;
        }
        if (code < 0 && instance.identity != null) {
            InstanceRegistry.addUnconfirmedStart(instance);
        }
        boolean terminated = instance.restartAfterExit || instance.terminating || rollingRestarts.replaces(name, start);
        boolean crashed = instance.desired == DesiredState.RUNNING && (instance.readinessTimedOut || !terminated);
        boolean wasStable = instance.readySinceMs >= 0
                && now - instance.readySinceMs >= instance.policy().stableMs();
        if (!crashed) {
            instance.consecutiveCrashes = 0;
        } else {
            instance.consecutiveCrashes = wasStable ? 1 : instance.consecutiveCrashes + 1;
        }
        instance.exitCode = code;
        instance.identity = null;
        instance.searching = false;
        if (crashed && !instance.readinessTimedOut && !why.isEmpty()) {
            instance.fault = why;
        }
        actions.appendToJournal(new JournalRecord.ProcessEnded(name, start, code, instance.consecutiveCrashes));
        actions.logEvent(
                name,
                (crashed ? "crashed" : "ended")
                        + (code >= 0 ? ", code " + code : ", code unknown")
                        + (crashed && !why.isEmpty() ? ": " + why : ""));
        instance.restartAfterExit = false;
        instance.clearProcessState();
        if (!crashed) {
            instance.fault = "";
            instance.enter(InstanceState.STOPPED, now);
            instance.nextStartMs = now;
        } else {
            instance.enter(InstanceState.CRASHED, now);
            backOff(instance, now);
        }
        step(instance, now);
        rollingRestarts.advance(now);
    }

    private void backOff(Instance instance, long now) {
        SupervisionPolicy policy = instance.policy();
        if (instance.consecutiveCrashes >= policy.giveUpAfter()) {
            instance.fault = "crashed " + instance.consecutiveCrashes + " times in a row" + instance.faultClause();
            instance.enter(InstanceState.GIVEN_UP, now);
            actions.logEvent(instance.name, "given up: " + instance.fault);
        } else {
            long backoffMs = policy.backoffMs(instance.consecutiveCrashes - 1);
            instance.nextStartMs = now + backoffMs;
            instance.enter(InstanceState.BACKING_OFF, now);
            actions.logEvent(instance.name, "is started again in " + backoffMs + " ms");
        }
    }

    /** Applies time limits; must be called at least every {@code probeMs}. */
    public void tick(long now) {
        for (Instance instance : instances.copy()) {
            step(instance, now);
        }
        rollingRestarts.advance(now);
    }

    // ---- transitions ----

    /** Takes the actions that are due for the state of an instance and the time. */
    void step(Instance instance, long now) {
        if (instance.resetUnrecorded
                && actions.appendToJournal(new JournalRecord.DesiredStateSet(instance.name, true))) {
            instance.resetUnrecorded = false;
        }
        if (!instance.state.mayRun()) {
            removeOrStart(instance, now);
        } else if (instance.searching) {
            searchAgain(instance, now);
        } else {
            if (instance.desired != DesiredState.RUNNING || instance.restartAfterExit) {
                terminate(instance, now);
            }
            probe(instance, now);
            applyTimeLimits(instance, now);
        }
    }

    private void searchAgain(Instance instance, long now) {
        // a pending search may have been lost; one that found nothing is repeated sooner
        long retryDelayMs =
                instance.searchPending ? instance.forkMs : instance.policy().notReadyProbeMs();
        if (now >= instance.lastSearchMs + retryDelayMs) {
            nameHolderSearch.search(instance, now);
        }
    }

    private void probe(Instance instance, long now) {
        SupervisionPolicy policy = instance.policy();
        boolean lost = now - instance.nextProbeMs >= policy.hungAfterMs();
        if (instance.identity != null && now >= instance.nextProbeMs && (!instance.probePending || lost)) {
            instance.probePending = true;
            boolean ready = instance.state == InstanceState.READY;
            instance.nextProbeMs = now + (ready ? policy.probeMs() : policy.notReadyProbeMs());
            actions.probe(instance.name, instance.lastStart);
        }
    }

    /** Applies the time limits of the current state: not ready in time, hung, SIGKILL, reload. */
    private void applyTimeLimits(Instance instance, long now) {
        SupervisionPolicy policy = instance.policy();
        if (instance.state == InstanceState.STARTING
                && now - instance.stateSinceMs > policy.readyWithinMs()
                && instance.identity != null) {
            instance.readinessTimedOut = true;
            instance.fault = "not ready within " + policy.readyWithinMs() + " ms";
            actions.logEvent(instance.name, instance.fault);
            terminate(instance, now);
        } else if (instance.terminating
                && instance.state != InstanceState.HUNG
                && now - instance.sigtermMs > policy.stopWithinMs()) {
            enterHung(instance, now, "does not end: SIGTERM was " + (now - instance.sigtermMs) + " ms ago");
        } else if (hungWithoutAnswer(instance.state) && now - instance.lastAnswerMs > policy.hungAfterMs()) {
            enterHung(instance, now, instance.fault.isEmpty() ? "does not answer" : instance.fault);
        } else if (instance.state == InstanceState.HUNG
                && policy.killAfterMs() >= 0
                && !instance.sigkillSent
                && now - instance.stateSinceMs >= policy.killAfterMs()) {
            kill(instance, now);
        } else if (ConfigurationReloads.due(instance, now)) {
            reloads.reload(now, instance.name);
        }
    }

    /** Whether an instance in this state becomes hung once it has not answered for too long. */
    private static boolean hungWithoutAnswer(InstanceState state) {
        return state == InstanceState.UNREADY || state == InstanceState.ADOPTED || state == InstanceState.RELOADING;
    }

    private void kill(Instance instance, long now) {
        instance.sigkillSent = true;
        actions.logEvent(
                instance.name, "SIGKILL, as its policy says: hung for " + (now - instance.stateSinceMs) + " ms");
        actions.kill(instance.name, instance.identity);
    }

    private void enterHung(Instance instance, long now, String why) {
        instance.fault = why;
        instance.enter(InstanceState.HUNG, now);
        actions.logEvent(instance.name, "hung: " + why);
    }

    /** Removes or starts an instance that has no process. */
    private void removeOrStart(Instance instance, long now) {
        if (instance.desired == DesiredState.REMOVED && !instance.resetUnrecorded) {
            instances.remove(instance);
            actions.logEvent(instance.name, "forgotten: it is not declared any more");
        } else if (instance.desired == DesiredState.RUNNING
                && instance.spec != null
                && instance.state != InstanceState.GIVEN_UP
                && now >= instance.nextStartMs) {
            start(instance, now);
        }
    }

    /** Starts a process after announcing it in the journal; otherwise the next agent could not recognise it. */
    private void start(Instance instance, long now) {
        InstanceSpec spec = instance.spec;
        int number = instance.lastStart + 1;
        String secret = actions.secret();
        long forkMs = instance.policy().forkMs();
        if (!actions.appendToJournal(
                new JournalRecord.StartAnnounced(instance.name, number, secret, spec.launch(), forkMs))) {
            instance.nextStartMs = now + instance.policy().backoffMs();
            instance.fault = "not started: the journal cannot be written";
            return;
        }
        instance.begin(number, secret, spec.launch(), forkMs, now);
        actions.spawn(instance.name, number, secret);
    }

    private void terminate(Instance instance, long now) {
        if (instance.terminating || instance.identity == null) {
            return;
        }
        instance.terminating = true;
        instance.sigtermMs = now;
        if (instance.state != InstanceState.HUNG) {
            instance.enter(InstanceState.STOPPING, now);
        }
        actions.terminate(instance.name, instance.identity);
    }
}
