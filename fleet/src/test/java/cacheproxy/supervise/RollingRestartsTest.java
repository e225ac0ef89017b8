package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Rolling restarts: their order, the stop at a failure, and agent restarts. */
class RollingRestartsTest extends SupervisorFixture {
    private void completeRestart(String name, int start) {
        supervisor.processEnded(now, name, start - 1, 0);
        supervisor.spawned(now, name, start, P2);
        reportReady(name, start);
    }

    @Test
    void restartsNextInstanceOnceAnEarlierOneIsReady() {
        startReady(POLICY, "a", "b", "c");
        assertNull(supervisor.beginRollingRestart(now, List.of("a", "b", "c", "a"), 2));
        assertNotNull(supervisor.beginRollingRestart(now, List.of("a"), 1));
        assertEquals(List.of("terminate a 11", "terminate b 12"), actions.takeActions());
        assertEquals(
                Map.of("done", List.of(), "restarting", List.of("a", "b"), "left", List.of("c")),
                supervisor.rollingRestartProgress());
        supervisor.processEnded(now, "b", 1, 0);
        supervisor.spawned(now, "b", 2, P2);
        advanceTime(100);
        assertEquals(List.of("spawn b 2"), actions.takeActions()); // not ready yet: c waits
        reportReady("b", 2);
        assertEquals(List.of("terminate c 13"), actions.takeActions());
        completeRestart("a", 2);
        completeRestart("c", 2);
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("rolling restart 1 is done"));
    }

    @Test
    void stopsAtFirstInstanceThatCrashes() {
        startReady(POLICY, "a", "b");
        supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
        supervisor.processEnded(now, "a", 1, 0);
        supervisor.spawned(now, "a", 2, P2);
        supervisor.processEnded(now, "a", 2, 1);
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("rolling restart 1 stopped: a is backing off"));
        assertEquals(InstanceState.READY, supervisor.instance("b").state());
        assertNull(supervisor.beginRollingRestart(now, List.of("b"), 1));
    }

    @Test
    void stopsAtAnInstanceThatHangs() {
        startReady(POLICY, "a", "b");
        supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
        advanceTime(1100, () -> reportReady("b", 1));
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("stopped: a is hung, does not end"));
    }

    @Test
    void skipsStoppedAndRemovedInstances() {
        startReady(POLICY, "a", "b", "c", "d");
        supervisor.beginRollingRestart(now, List.of("a", "b", "c", "d"), 1);
        supervisor.setDesiredState(now, "b", false);
        declare(spec("a"), spec("b"), spec("d"));
        supervisor.processEnded(now, "b", 1, 0);
        supervisor.processEnded(now, "c", 1, 0);
        completeRestart("a", 2);
        assertEquals(InstanceState.STOPPED, supervisor.instance("b").state());
        completeRestart("d", 2);
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("b: left out"));
        assertTrue(actions.hasLogged("rolling restart 1 is done"));
    }

    @Test
    void stopsWhenAnInstanceBeingRestartedIsStopped() {
        startReady(POLICY, "a", "b");
        supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
        supervisor.setDesiredState(now, "a", false);
        supervisor.tick(now);
        assertNull(supervisor.rollingRestartProgress());
        assertEquals(InstanceState.READY, supervisor.instance("b").state());
    }

    /**
     * The agent dies while instance a is restarted: before SIGTERM takes effect, after it, after the process has ended,
     * after the next start, and once it is ready.
     */
    @Test
    void resumesAfterAgentRestart() {
        InstanceSpec[] specs = {spec("a"), spec("b")};
        for (int deathPoint = 0; deathPoint < 5; deathPoint++) {
            for (boolean compacted : new boolean[] {false, true}) {
                actions = new RecordedActions();
                supervisor = new Supervisor(actions);
                now = 0;
                startReady(POLICY, "a", "b");
                supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
                UniqueProcessId b = supervisor.instance("b").identity();
                if (deathPoint > 1) {
                    supervisor.processEnded(now, "a", 1, 0);
                }
                if (deathPoint > 2) {
                    supervisor.spawned(now, "a", 2, P2);
                }
                if (deathPoint > 3) {
                    reportReady("a", 2);
                }
                restartAgent(compacted, specs);
                supervisor.searchCompleted(now, "b", 1, b);
                reportReady("b", 1);
                if (deathPoint < 2) {
                    // at point 1 it was terminated meanwhile, which is not a crash
                    supervisor.searchCompleted(now, "a", 1, deathPoint == 0 ? P1 : null);
                    supervisor.processEnded(now, "a", 1, -1);
                } else if (deathPoint == 2) {
                    advanceTime(400, () -> supervisor.searchCompleted(now, "a", 2, null));
                    // start 2 was announced, but its process never created
                    advanceTime(600, () -> supervisor.searchCompleted(now, "a", 2, null));
                } else {
                    supervisor.searchCompleted(now, "a", 2, P2);
                }
                if (deathPoint < 3) {
                    int start = a().lastStart();
                    assertEquals(InstanceState.STARTING, a().state(), "point " + deathPoint);
                    supervisor.spawned(now, "a", start, P2);
                }
                reportReady("a", a().lastStart());
                String description = "point " + deathPoint + ", compacted " + compacted;
                assertEquals(0, a().consecutiveCrashes(), description);
                advanceTime(100);
                assertEquals(InstanceState.READY, a().state(), description);
                assertEquals(
                        Map.of("done", List.of("a"), "restarting", List.of("b"), "left", List.of()),
                        supervisor.rollingRestartProgress(),
                        description);
                supervisor.processEnded(now, "b", 1, -1);
                supervisor.spawned(now, "b", 2, P1);
                reportReady("b", 2);
                assertNull(supervisor.rollingRestartProgress(), description);
                assertTrue(actions.hasLogged("is done"), description);
            }
        }
    }

    @Test
    void restartsInstanceInBackoffAfterAgentRestart() {
        declare(spec("a"));
        crash(1);
        advanceTime(100);
        crash(2);
        supervisor.beginRollingRestart(now, List.of("a"), 1);
        JournalRecord last;
        do { // the agent died right after the record that begins the restart
            last = actions.journal.remove(actions.journal.size() - 1);
        } while (!(last instanceof JournalRecord.RollingRestartInstanceBegun));
        actions.journal.add(last);
        restartAgent(false, spec("a"));
        assertEquals(List.of("spawn a 3"), actions.takeActions());
        supervisor.spawned(now, "a", 3, P1);
        reportReady("a", 3);
        assertTrue(actions.hasLogged("rolling restart 1 is done"));
    }

    @Test
    void staysStoppedWhenItsEndCouldNotBeJournaledAtFirst() {
        startReady(POLICY, "a", "b");
        supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
        actions.journalFails = true;
        supervisor.processEnded(now, "a", 1, 0);
        advanceTime(200);
        supervisor.setDesiredState(now, "a", false);
        advanceTime(1000);
        actions.journalFails = false;
        supervisor.setDesiredState(now, "a", false);
        actions.journalFails = true;
        advanceTime(200);
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(supervisor.beginRollingRestart(now, List.of("b"), 1).contains("journal"));
        assertEquals(
                1,
                actions.loggedEvents.stream()
                        .filter(s -> s.contains("rolling restart 1 stopped"))
                        .count());
        actions.journalFails = false;
        advanceTime(100);
        assertTrue(actions.journal.get(actions.journal.size() - 1) instanceof JournalRecord.RollingRestartEnded);
        restartAgent(false, spec("a"), spec("b"));
        assertNull(supervisor.rollingRestartProgress());
    }

    @Test
    void rejectsInvalidRollingRestart() {
        startReady();
        assertNotNull(supervisor.beginRollingRestart(now, List.of(), 1));
        assertNotNull(supervisor.beginRollingRestart(now, List.of("a"), 0));
        assertNotNull(supervisor.beginRollingRestart(now, List.of("x"), 1));
        assertNull(supervisor.rollingRestartProgress());
    }
}
