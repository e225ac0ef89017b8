package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

/** A supervisor whose actions are recorded, with shorthands for the events of an instance named a. */
abstract class SupervisorFixture {
    /** Ready within 3000, stopped within 1000, hung after 800, back-off 100 to 500, given up after 4. */
    static final SupervisionPolicy POLICY = new SupervisionPolicy(3000, 1000, 800, -1, 100, 500, 4, 2000, 200, 400);

    static final UniqueProcessId P1 = new UniqueProcessId(11, 100, "boot");
    static final UniqueProcessId P2 = new UniqueProcessId(12, 200, "boot");

    /** Records what the supervisor asks for. */
    static final class RecordedActions implements SupervisorActions {
        final List<JournalRecord> journal = new ArrayList<>();
        final List<String> done = new ArrayList<>();
        final List<String> logged = new ArrayList<>();
        boolean journalFails;
        int secrets;

        @Override
        public boolean appendToJournal(JournalRecord entry) {
            if (!journalFails) {
                journal.add(entry);
            }
            return !journalFails;
        }

        @Override
        public String secret() {
            return "s" + ++secrets;
        }

        @Override
        public void spawn(String name, int start, String secret) {
            JournalRecord last = journal.get(journal.size() - 1);
            assertTrue(
                    last instanceof JournalRecord.StartAnnounced i
                            && i.start() == start
                            && i.secret().equals(secret),
                    "" + last);
            done.add("spawn " + name + " " + start);
        }

        @Override
        public void search(String name, int start, UniqueProcessId identity, String secret) {
            done.add("search " + name + " " + start + (identity == null ? "" : " " + identity.pid()));
        }

        @Override
        public void terminate(String name, UniqueProcessId identity) {
            done.add("terminate " + name + " " + identity.pid());
        }

        @Override
        public void kill(String name, UniqueProcessId identity) {
            done.add("kill " + name + " " + identity.pid());
        }

        @Override
        public void probe(String name, int start) {
            done.add("probe " + name + " " + start);
        }

        @Override
        public void reload(String name, int start) {
            done.add("reload " + name + " " + start);
        }

        @Override
        public void logEvent(String name, String what) {
            logged.add(name + ": " + what);
        }

        /** What was done since, probes left out. */
        List<String> takeActions() {
            List<String> news = new ArrayList<>(done);
            news.removeIf(s -> s.startsWith("probe"));
            done.clear();
            return news;
        }

        boolean hasLogged(String part) {
            return logged.stream().anyMatch(s -> s.contains(part));
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

    static SupervisionPolicy policyWithKillAfter(long after) {
        return new SupervisionPolicy(3000, 1000, 800, after, 100, 500, 4, 2000, 200, 400);
    }

    Instance a() {
        return supervisor.instance("a");
    }

    void declare(InstanceSpec... specs) {
        supervisor.declare(now, List.of(specs));
    }

    /** Time goes on in ticks; whoever is asked answers so. */
    void advanceTime(long ms, Runnable answers) {
        for (long end = now + ms; now < end; ) {
            now += 100;
            answers.run();
            supervisor.tick(now);
        }
    }

    void advanceTime(long ms) {
        advanceTime(ms, () -> {});
    }

    void failHealthCheck(String name, int start) {
        supervisor.probeFailed(now, name, start, "no answer");
    }

    void reportReady(String name, int start) {
        supervisor.probed(now, name, start, true, "", "C1");
    }

    /** a and perhaps others, started once and ready. */
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

    /** The agent dies; the next one's clock begins anew. */
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
