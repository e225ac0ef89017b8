package cacheproxy.supervise;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Restarts instances in turn, at most {@code maxDown} at a time; the next one begins once an earlier one is ready.
 * Stops at the first failure. Only one rolling restart runs at a time; the next agent resumes it from the journal.
 */
final class RollingRestarts {
    private final Supervisor supervisor;
    private final SupervisorActions actions;
    private final InstanceRegistry instances;
    /** The rolling restart in progress; null if there is none. */
    private RollingRestart current;

    private int lastId;

    private static final class RollingRestart {
        final int id;
        final int maxDown;
        final ArrayDeque<String> pending = new ArrayDeque<>();
        /** Instances being restarted, with the number of the start being replaced. */
        final Map<String, Integer> restarting = new LinkedHashMap<>();

        final List<String> done = new ArrayList<>();
        /**
         * Why it ended, kept until the end is in the journal; empty if all instances were restarted, null while in
         * progress.
         */
        String endReason;

        RollingRestart(int id, List<String> names, int maxDown) {
            this.id = id;
            this.maxDown = maxDown;
            pending.addAll(names);
        }
    }

    RollingRestarts(Supervisor supervisor, SupervisorActions actions, InstanceRegistry instances) {
        this.supervisor = supervisor;
        this.actions = actions;
        this.instances = instances;
    }

    /** Instances restarted, being restarted and still pending; null if no rolling restart is in progress. */
    Map<String, List<String>> progress() {
        if (current == null || current.endReason != null) {
            return null;
        }
        return Map.of(
                "done",
                List.copyOf(current.done),
                "restarting",
                List.copyOf(current.restarting.keySet()),
                "left",
                List.copyOf(current.pending));
    }

    /** Whether the rolling restart is replacing this start, so that its end is not a crash. */
    boolean replaces(String name, int start) {
        return current != null && current.restarting.getOrDefault(name, -1) == start;
    }

    /** Returns why the rolling restart cannot begin; null if it has begun. */
    String begin(long now, List<String> names, int maxDown) {
        if (current != null && current.endReason != null) {
            return Supervisor.JOURNAL_FAILS;
        }
        if (current != null) {
            return "a rolling restart is under way";
        }
        for (String name : names) {
            Instance instance = instances.get(name);
            if (instance == null || instance.desired == DesiredState.REMOVED) {
                return "no instance is named " + name;
            }
        }
        if (names.isEmpty() || maxDown < 1) {
            return "a rolling restart needs names, and at least one that may be down";
        }
        List<String> distinct = List.copyOf(new LinkedHashSet<>(names));
        if (!actions.appendToJournal(new JournalRecord.RollingRestartBegun(++lastId, distinct, maxDown))) {
            return Supervisor.JOURNAL_FAILS;
        }
        current = new RollingRestart(lastId, distinct, maxDown);
        actions.logEvent(
                "", "rolling restart " + lastId + " of " + distinct.size() + " begins, " + maxDown + " at once");
        advance(now);
        return null;
    }

    /** Continues the rolling restart; must be called whenever the state of an instance may have changed. */
    void advance(long now) {
        if (current == null) {
            return;
        }
        if (current.endReason != null) {
            end(current.endReason);
            return;
        }
        for (String name : List.copyOf(current.restarting.keySet())) {
            String failure = failure(name);
            if (failure != null) {
                end(failure);
                return;
            }
            checkRestarted(instances.get(name), now);
        }
        if (!restartNext(now)) {
            return;
        }
        if (current.restarting.isEmpty() && current.pending.isEmpty()) {
            end("");
        }
    }

    /** Why the rolling restart must stop at this instance; null if it need not. */
    private String failure(String name) {
        Instance instance = instances.get(name);
        if (instance == null) {
            return name + " is gone";
        }
        boolean failed = instance.state == InstanceState.GIVEN_UP
                || instance.state == InstanceState.HUNG
                || instance.consecutiveCrashes > 0
                || instance.nameHeld
                || instance.desired != DesiredState.RUNNING;
        return failed ? name + " is " + instance.state.words() + instance.faultClause() : null;
    }

    private void checkRestarted(Instance instance, long now) {
        int replacedStart = current.restarting.get(instance.name);
        if (instance.lastStart > replacedStart && instance.state == InstanceState.READY) {
            current.restarting.remove(instance.name);
            current.done.add(instance.name);
            actions.appendToJournal(new JournalRecord.RollingRestartInstanceDone(current.id, instance.name));
            actions.logEvent(
                    instance.name, "restarted, " + current.done.size() + " done, " + current.pending.size() + " left");
        } else if (instance.lastStart == replacedStart
                && instance.state.mayRun()
                && !instance.terminating
                && !instance.searching) {
            // the previous agent died after writing the record and before sending SIGTERM
            instance.restartAfterExit = true;
            supervisor.step(instance, now);
        }
    }

    /**
     * Begins restarts up to the limit. Returns false if a restart could not be written to the journal or the rolling
     * restart has ended.
     */
    private boolean restartNext(long now) {
        while (current.restarting.size() < current.maxDown && !current.pending.isEmpty()) {
            Instance instance = instances.get(current.pending.peek());
            if (instance == null || instance.desired != DesiredState.RUNNING) {
                actions.logEvent(current.pending.poll(), "left out of the rolling restart: it is not to run");
                continue;
            }
            if (instance.searching) {
                return true;
            }
            if (!actions.appendToJournal(
                    new JournalRecord.RollingRestartInstanceBegun(current.id, instance.name, instance.lastStart))) {
                return false;
            }
            current.pending.poll();
            current.restarting.put(instance.name, instance.lastStart);
            instance.consecutiveCrashes = 0;
            String failure = supervisor.restart(now, instance.name);
            if (failure != null) {
                end(failure);
                return false;
            }
        }
        return true;
    }

    private void end(String reason) {
        if (current.endReason == null) {
            actions.logEvent(
                    "", "rolling restart " + current.id + (reason.isEmpty() ? " is done" : " stopped: " + reason));
            current.endReason = reason;
        }
        // until this record is in the journal, the next agent would resume the rolling restart
        if (actions.appendToJournal(new JournalRecord.RollingRestartEnded(current.id, current.endReason))) {
            current = null;
        }
    }

    void replay(JournalRecord record) {
        if (record instanceof JournalRecord.RollingRestartBegun begun) {
            current = new RollingRestart(begun.id(), begun.names(), begun.mostDown());
            lastId = Math.max(lastId, begun.id());
        } else if (current != null && record instanceof JournalRecord.RollingRestartInstanceBegun begun) {
            current.pending.remove(begun.name());
            current.restarting.put(begun.name(), begun.start());
            instances.getOrCreate(begun.name()).consecutiveCrashes = 0;
        } else if (current != null && record instanceof JournalRecord.RollingRestartInstanceDone done) {
            current.restarting.remove(done.name());
            current.done.add(done.name());
        } else if (record instanceof JournalRecord.RollingRestartEnded) {
            current = null;
        }
    }

    /** The records from which {@link #replay} restores the rolling restart in progress. */
    List<JournalRecord> snapshot() {
        List<JournalRecord> records = new ArrayList<>();
        if (current == null || current.endReason != null) {
            return records;
        }
        List<String> names = new ArrayList<>(current.done);
        names.addAll(current.restarting.keySet());
        names.addAll(current.pending);
        records.add(new JournalRecord.RollingRestartBegun(current.id, names, current.maxDown));
        current.restarting.forEach(
                (name, start) -> records.add(new JournalRecord.RollingRestartInstanceBegun(current.id, name, start)));
        for (String name : current.done) {
            records.add(new JournalRecord.RollingRestartInstanceBegun(current.id, name, 0));
            records.add(new JournalRecord.RollingRestartInstanceDone(current.id, name));
        }
        return records;
    }
}
