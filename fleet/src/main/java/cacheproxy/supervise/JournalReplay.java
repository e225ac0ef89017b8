package cacheproxy.supervise;

import java.util.ArrayList;
import java.util.List;

/** Restores instances from the journal of the previous agent and creates the records of a compacted journal. */
final class JournalReplay {
    private final InstanceRegistry instances;

    JournalReplay(InstanceRegistry instances) {
        this.instances = instances;
    }

    /** Applies a record; records about the site and rolling restarts are ignored. */
    void replay(JournalRecord record) {
        if (record instanceof JournalRecord.DesiredStateSet set) {
            desiredStateSet(set);
        } else if (record instanceof JournalRecord.StartAnnounced announced) {
            startAnnounced(announced);
        } else if (record instanceof JournalRecord.ProcessStarted started) {
            instances.getOrCreate(started.name()).identity = started.identity();
        } else if (record instanceof JournalRecord.ProcessEnded ended) {
            processEnded(ended);
        }
    }

    private void desiredStateSet(JournalRecord.DesiredStateSet set) {
        Instance instance = instances.getOrCreate(set.name());
        instance.desired = set.running() ? DesiredState.RUNNING : DesiredState.STOPPED;
        instance.consecutiveCrashes = set.running() ? 0 : instance.consecutiveCrashes;
    }

    private void startAnnounced(JournalRecord.StartAnnounced announced) {
        Instance instance = instances.getOrCreate(announced.name());
        if (instance.state == InstanceState.ADOPTED && !instance.nameHeld) {
            InstanceRegistry.addUnconfirmedStart(instance); // the record of its end could not be written
        }
        instance.lastStart = announced.start();
        instance.secret = announced.secret();
        instance.launchDigest = announced.launch();
        instance.forkMs = announced.forkMs();
        instance.identity = null;
        instance.state = InstanceState.ADOPTED;
        instance.searching = true;
        instance.nameHeld = false;
        instance.fault = "";
        instance.replayedEnd = false;
    }

    private void processEnded(JournalRecord.ProcessEnded ended) {
        Instance instance = instances.getOrCreate(ended.name());
        if (ended.code() < 0 && ended.start() == instance.lastStart && instance.state == InstanceState.ADOPTED) {
            InstanceRegistry.addUnconfirmedStart(instance);
        }
        // true if the previous agent died while searching for the lock holder
        instance.nameHeld = ended.code() == Supervisor.NAME_HELD_EXIT_CODE;
        instance.state = instance.nameHeld ? InstanceState.ADOPTED : InstanceState.STOPPED;
        instance.fault = instance.nameHeld ? NameHolderSearch.NAME_HELD : "";
        instance.searching = instance.nameHeld;
        instance.identity = null;
        instance.exitCode = ended.code();
        instance.consecutiveCrashes = ended.failures();
        instance.replayedEnd = !instance.nameHeld;
    }

    /** The records from which {@link #replay} restores the present state of the instances. */
    List<JournalRecord> snapshot() {
        List<JournalRecord> records = new ArrayList<>();
        List<Instance> recorded = new ArrayList<>(instances.all());
        recorded.addAll(instances.removedWithUnconfirmedStarts());
        for (Instance instance : recorded) {
            if (instance.desired == DesiredState.STOPPED) {
                records.add(new JournalRecord.DesiredStateSet(instance.name, false));
            }
            addUnconfirmedStarts(records, instance);
            if (instance.lastStart > 0) {
                addLastStart(records, instance);
            }
        }
        return records;
    }

    private static void addUnconfirmedStarts(List<JournalRecord> records, Instance instance) {
        for (Instance.Start start : instance.unconfirmedStarts) {
            if (start.number() != instance.lastStart) { // the last start is added below
                addStart(records, instance.name, start);
                records.add(new JournalRecord.ProcessEnded(instance.name, start.number(), -1, 0));
            }
        }
    }

    private static void addLastStart(List<JournalRecord> records, Instance instance) {
        int number = instance.lastStart;
        if (instance.consecutiveCrashes > 0 && instance.state.mayRun()) {
            records.add(new JournalRecord.ProcessEnded(
                    instance.name, number - 1, instance.exitCode, instance.consecutiveCrashes));
        }
        addStart(records, instance.name, instance.asUnconfirmedStart());
        if (!instance.state.mayRun() || instance.nameHeld) {
            records.add(new JournalRecord.ProcessEnded(
                    instance.name, number, instance.exitCode, instance.consecutiveCrashes));
        }
    }

    private static void addStart(List<JournalRecord> records, String name, Instance.Start start) {
        records.add(new JournalRecord.StartAnnounced(
                name, start.number(), start.secret(), start.launchDigest(), start.forkMs()));
        if (start.identity() != null) {
            records.add(new JournalRecord.ProcessStarted(name, start.number(), start.identity()));
        }
    }
}
