package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

/** A supervisor with recorded actions, and shorthands for events, most of them of an instance named a. */
abstract class SupervisorFixture {
    /** In ms: ready within 3000, stopped within 1000, hung after 800, backoff 100 to 500; given up after 4 crashes. */
    static final SupervisionPolicy POLICY = new SupervisionPolicy(3000, 1000, 800, -1, 100, 500, 4, 2000, 200, 400);

    static final UniqueProcessId P1 = new UniqueProcessId(11, 100, "boot");
    static final UniqueProcessId P2 = new UniqueProcessId(12, 200, "boot");

    /** Records the actions that the supervisor requests. */
    static final class RecordedActions implements SupervisorActions {
        final List<JournalRecord> journal = new ArrayList<>();
        final List<String> requestedActions = new ArrayList<>();
        final List<String> loggedEvents = new ArrayList<>();
        boolean journalFails;
        int secretCount;

        @Override
        public boolean appendToJournal(JournalRecord journalRecord) {
            if (!journalFails) {
                journal.add(journalRecord);
            }
            return !journalFails;
        }

        @Override
        public String secret() {
            return "s" + ++secretCount;
        }

        @Override
        public void spawn(String name, int start, String secret) {
            JournalRecord last = journal.get(journal.size() - 1);
            assertTrue(
                    last instanceof JournalRecord.StartAnnounced i
                            && i.start() == start
                            && i.secret().equals(secret),
                    "" + last);
            requestedActions.add("spawn " + name + " " + start);
        }

        @Override
        public void search(String name, int start, UniqueProcessId identity, String secret) {
            requestedActions.add("search " + name + " " + start + (identity == null ? "" : " " + identity.pid()));
        }

        @Override
        public void terminate(String name, UniqueProcessId identity) {
            requestedActions.add("terminate " + name + " " + identity.pid());
        }

        @Override
        public void kill(String name, UniqueProcessId identity) {
            requestedActions.add("kill " + name + " " + identity.pid());
        }

        @Override
        public void probe(String name, int start) {
            requestedActions.add("probe " + name + " " + start);
        }

        @Override
        public void reload(String name, int start) {
            requestedActions.add("reload " + name + " " + start);
        }

        @Override
        public void logEvent(String name, String what) {
            loggedEvents.add(name + ": " + what);
        }

        /** Returns and clears the requested actions, without health checks. */
        List<String> takeActions() {
            List<String> recorded = new ArrayList<>(requestedActions);
            recorded.removeIf(s -> s.startsWith("probe"));
            requestedActions.clear();
            return recorded;
        }

        boolean hasLogged(String text) {
            return loggedEvents.stream().anyMatch(s -> s.contains(text));
        }
    }

    RecordedActions actions = new RecordedActions();
    Supervisor supervisor = new Supervisor(actions);
    long now;

    static InstanceSpec spec(String name, String launch, String configuration, SupervisionPolicy policy) {
        return new InstanceSpec(name, launch, configuration, policy);
    }

    static InstanceSpec spec(String name) {
        return spec(name, "L1", "C1", POLICY);
    }

    static SupervisionPolicy policyWithKillAfter(long killAfterMs) {
        return new SupervisionPolicy(3000, 1000, 800, killAfterMs, 100, 500, 4, 2000, 200, 400);
    }

    Instance a() {
        return supervisor.instance("a");
    }

    void declare(InstanceSpec... specs) {
        supervisor.declare(now, List.of(specs));
    }

    /** Advances time in ticks of 100 ms and runs {@code onTick} before each. */
    void advanceTime(long durationMs, Runnable onTick) {
        for (long endMs = now + durationMs; now < endMs; ) {
            now += 100;
            onTick.run();
            supervisor.tick(now);
        }
    }

    void advanceTime(long durationMs) {
        advanceTime(durationMs, () -> {});
    }

    void failHealthCheck(String name, int start) {
        supervisor.probeFailed(now, name, start, "no answer");
    }

    void reportReady(String name, int start) {
        supervisor.probed(now, name, start, true, "", "C1");
    }

    /** Declares these instances and makes each ready after its first start. */
    void startReady(SupervisionPolicy policy, String... names) {
        InstanceSpec[] specs = new InstanceSpec[names.length];
        for (int i = 0; i < names.length; i++) {
            specs[i] = spec(names[i], "L1", "C1", policy);
        }
        declare(specs);
        int pid = 11;
        for (String name : names) {
            supervisor.spawned(now, name, 1, new UniqueProcessId(pid, pid++ == 11 ? 100 : 200, "boot"));
            reportReady(name, 1);
            assertEquals(InstanceState.READY, supervisor.instance(name).state());
        }
        actions.takeActions();
    }

    void startReady() {
        startReady(POLICY, "a");
    }

    /** Replaces the agent by one that replays the journal or a snapshot; its clock starts at 0. */
    void restartAgent(boolean compacted, InstanceSpec... specs) {
        List<JournalRecord> journal = compacted ? supervisor.snapshot() : actions.journal;
        actions = new RecordedActions();
        actions.journal.addAll(journal);
        supervisor = new Supervisor(actions);
        now = 0;
        journal = List.copyOf(journal);
        journal.forEach(supervisor::replay);
        supervisor.searchForProcesses(now);
        declare(specs);
    }

    void crash(int start) {
        supervisor.spawned(now, "a", start, P1);
        supervisor.processEnded(now, "a", start, 1);
    }
}
