package cacheproxy.supervise;

/**
 * Searches for the processes of starts by an earlier agent, and for the process that holds the name lock of an
 * instance. If the holder is a known start of that instance, it is adopted; if it is any other process, the start is
 * retried with backoff until the lock is free.
 */
final class NameHolderSearch {
    static final String NAME_HELD = "its name is held by another process";

    private final Supervisor supervisor;
    private final SupervisorActions actions;
    private final RollingRestarts rollingRestarts;

    NameHolderSearch(Supervisor supervisor, SupervisorActions actions, RollingRestarts rollingRestarts) {
        this.supervisor = supervisor;
        this.actions = actions;
        this.rollingRestarts = rollingRestarts;
    }

    /** The number of the start that the current search is for. */
    static int startBeingSearched(Instance instance) {
        return instance.nameHeld && !instance.unconfirmedStarts.isEmpty()
                ? candidateHolder(instance).number()
                : instance.lastStart;
    }

    /** The unconfirmed start that is being searched for as the lock holder. */
    private static Instance.Start candidateHolder(Instance instance) {
        return instance.unconfirmedStarts.get(instance.unconfirmedStarts.size() - 1 - instance.holderIndex);
    }

    /**
     * Handles a start that ended because another process holds the name lock: an earlier start of the same instance, or
     * an unrelated process.
     */
    void startFoundNameHeld(Instance instance, long now) {
        actions.appendToJournal(new JournalRecord.ProcessEnded(
                instance.name,
                instance.lastStart,
                Supervisor.NAME_HELD_EXIT_CODE,
                instance.consecutiveCrashes)); // not a crash, so the count stays
        instance.exitCode = Supervisor.NAME_HELD_EXIT_CODE;
        instance.identity = null;
        instance.nameHeld = true;
        instance.searching = true;
        instance.holderIndex = 0;
        instance.startsWithNameHeld++;
        instance.clearProcessState();
        instance.fault = NAME_HELD;
        instance.enter(InstanceState.ADOPTED, now);
        actions.logEvent(
                instance.name,
                "ended, code " + Supervisor.NAME_HELD_EXIT_CODE + ": " + NAME_HELD + "; it is searched for");
        instance.searchPending = false;
        instance.lastSearchMs = now;
        rollingRestarts.advance(now); // the lock holder was not restarted, so a rolling restart stops here
        search(instance, now);
    }

    void searchCompleted(Instance instance, long now, int start, UniqueProcessId identity) {
        if (!instance.searchPending || startBeingSearched(instance) != start) {
            return;
        }
        instance.searchPending = false;
        if (identity == null) {
            instance.holderIndex++;
            if (instance.holderIndex < instance.unconfirmedStarts.size()) {
                search(instance, now);
            } else {
                holderNotFound(instance, now);
            }
            return;
        }
        // start numbers never decrease: record the holder as a new start that keeps its own secret
        Instance.Start holder = candidateHolder(instance);
        if (!actions.appendToJournal(new JournalRecord.StartAnnounced(
                instance.name, instance.lastStart + 1, holder.secret(), holder.launchDigest(), holder.forkMs()))) {
            return; // the search is repeated after a pause
        }
        instance.lastStart++;
        instance.secret = holder.secret();
        instance.launchDigest = holder.launchDigest();
        instance.forkMs = holder.forkMs();
        instance.identity = identity;
        instance.nameHeld = false;
        instance.searching = false;
        instance.configurationDigest = "";
        instance.lastAnswerMs = now;
        instance.nextProbeMs = now;
        instance.fault = "";
        instance.enter(InstanceState.ADOPTED, now);
        actions.appendToJournal(new JournalRecord.ProcessStarted(instance.name, instance.lastStart, identity));
        actions.logEvent(instance.name, "start " + start + " holds its name: adopted, pid " + identity.pid());
        supervisor.step(instance, now);
        rollingRestarts.advance(now);
    }

    /** The lock holder is unknown or has ended meanwhile: start again with backoff, without ever giving up. */
    private void holderNotFound(Instance instance, long now) {
        instance.nameHeld = false;
        instance.searching = false;
        instance.holderIndex = 0;
        instance.restartAfterExit = false;
        instance.fault = NAME_HELD + ", which is none of its starts known here";
        if (instance.desired == DesiredState.RUNNING) {
            SupervisionPolicy policy = instance.policy();
            long backoffMs = policy.backoffMs(instance.startsWithNameHeld);
            instance.nextStartMs = now + backoffMs;
            instance.enter(InstanceState.BACKING_OFF, now);
            actions.logEvent(instance.name, instance.fault + "; is started again in " + backoffMs + " ms");
        } else {
            actions.logEvent(instance.name, instance.fault);
            instance.nextStartMs = now;
            instance.enter(InstanceState.STOPPED, now);
        }
        supervisor.step(instance, now);
        rollingRestarts.advance(now);
    }

    void search(Instance instance, long now) {
        instance.searchPending = true;
        instance.lastSearchMs = now;
        if (!instance.nameHeld) {
            actions.search(instance.name, instance.lastStart, instance.identity, instance.secret);
        } else if (instance.unconfirmedStarts.isEmpty()) {
            holderNotFound(instance, now);
        } else {
            Instance.Start holder = candidateHolder(instance);
            actions.search(instance.name, holder.number(), null, holder.secret());
        }
    }
}
