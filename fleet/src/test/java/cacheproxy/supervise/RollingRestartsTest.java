package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Rolling restarts: order, stops at a failure, and the death of the agent. */
class RollingRestartsTest extends SupervisorFixture {
    private void restarted(String name, int start) {
        supervisor.processEnded(now, name, start - 1, 0);
        supervisor.spawned(now, name, start, P2);
        reportReady(name, start);
    }

    @Test
    void instancesAreRestartedOneAfterTheOther() {
        startReady(POLICY, "a", "b", "c");
        assertNull(supervisor.beginRollingRestart(now, List.of("a", "b", "c", "a"), 2));
        assertNotNull(supervisor.beginRollingRestart(now, List.of("a"), 1));
        assertEquals(List.of("terminate a 11", "terminate b 12"), actions.takeActions());
        assertEquals(Map.of("done", List.of(), "restarting", List.of("a", "b"), "left", List.of("c")), supervisor.rollingRestartProgress());
        supervisor.processEnded(now, "b", 1, 0);
        supervisor.spawned(now, "b", 2, P2);
        advanceTime(100);
        assertEquals(List.of("spawn b 2"), actions.takeActions()); // not ready yet: c waits
        reportReady("b", 2);
        assertEquals(List.of("terminate c 13"), actions.takeActions());
        restarted("a", 2);
        restarted("c", 2);
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("rolling restart 1 is done"));
    }

    @Test
    void aRollingRestartStopsAtTheFirstThatFails() {
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
    void aRollingRestartStopsAtAnInstanceThatHangs() {
        startReady(POLICY, "a", "b");
        supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
        advanceTime(1100, () -> reportReady("b", 1));
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("stopped: a is hung, does not end"));
    }

    @Test
    void aRollingRestartLeavesOutStoppedAndRemovedInstances() {
        startReady(POLICY, "a", "b", "c", "d");
        supervisor.beginRollingRestart(now, List.of("a", "b", "c", "d"), 1);
        supervisor.setDesiredState(now, "b", false);
        declare(spec("a"), spec("b"), spec("d"));
        supervisor.processEnded(now, "b", 1, 0);
        supervisor.processEnded(now, "c", 1, 0);
        restarted("a", 2);
        assertEquals(InstanceState.STOPPED, supervisor.instance("b").state());
        restarted("d", 2);
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("b: left out"));
        assertTrue(actions.hasLogged("rolling restart 1 is done"));
    }

    @Test
    void aRollingRestartStopsIfAnInstanceBeingRestartedIsStoppedOrRemoved() {
        startReady(POLICY, "a", "b");
        supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
        supervisor.setDesiredState(now, "a", false);
        supervisor.tick(now);
        assertNull(supervisor.rollingRestartProgress());
        assertEquals(InstanceState.READY, supervisor.instance("b").state());
    }

    /** The agent dies when a is taken: before it is told, after, after it is gone, and when it is started. */
    @Test
    void theNextAgentGoesOnWithTheRollingRestart() {
        InstanceSpec[] specs = {spec("a"), spec("b")};
        for (int point = 0; point < 5; point++) {
            for (boolean compacted : new boolean[] {false, true}) {
                actions = new RecordedActions();
                supervisor = new Supervisor(actions);
                now = 0;
                startReady(POLICY, "a", "b");
                supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
                UniqueProcessId b = supervisor.instance("b").identity();
                if (point > 1) {
                    supervisor.processEnded(now, "a", 1, 0);
                }
                if (point > 2) {
                    supervisor.spawned(now, "a", 2, P2);
                }
                if (point > 3) {
                    reportReady("a", 2);
                }
                restartAgent(compacted, specs);
                supervisor.searchCompleted(now, "b", 1, b);
                reportReady("b", 1);
                if (point < 2) {
                    supervisor.searchCompleted(now, "a", 1, point == 0 ? P1 : null); // told and gone meanwhile: no crash
                    supervisor.processEnded(now, "a", 1, -1);
                } else if (point == 2) {
                    advanceTime(400, () -> supervisor.searchCompleted(now, "a", 2, null));
                    advanceTime(600, () -> supervisor.searchCompleted(now, "a", 2, null)); // announced, never made
                } else {
                    supervisor.searchCompleted(now, "a", 2, P2);
                }
                if (point < 3) {
                    int start = a().lastStart();
                    assertEquals(InstanceState.STARTING, a().state(), "point " + point);
                    supervisor.spawned(now, "a", start, P2);
                }
                reportReady("a", a().lastStart());
                String at = "point " + point + ", compacted " + compacted;
                assertEquals(0, a().consecutiveCrashes(), at);
                advanceTime(100);
                assertEquals(InstanceState.READY, a().state(), at);
                assertEquals(
                        Map.of("done", List.of("a"), "restarting", List.of("b"), "left", List.of()),
                        supervisor.rollingRestartProgress(),
                        at);
                supervisor.processEnded(now, "b", 1, -1);
                supervisor.spawned(now, "b", 2, P1);
                reportReady("b", 2);
                assertNull(supervisor.rollingRestartProgress(), at);
                assertTrue(actions.hasLogged("is done"), at);
            }
        }
    }

    @Test
    void aRollingRestartTakesAnInstanceInBackoffAndTheNextAgentGoesOn() {
        declare(spec("a"));
        crash(1);
        advanceTime(100);
        crash(2);
        supervisor.beginRollingRestart(now, List.of("a"), 1);
        JournalRecord last;
        do { // died right after it was taken
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
    void aRollingRestartThatStoppedWhileTheJournalFailedIsOver() {
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
                actions.logged.stream()
                        .filter(s -> s.contains("rolling restart 1 stopped"))
                        .count());
        actions.journalFails = false;
        advanceTime(100);
        assertTrue(actions.journal.get(actions.journal.size() - 1) instanceof JournalRecord.RollingRestartEnded);
        restartAgent(false, spec("a"), spec("b"));
        assertNull(supervisor.rollingRestartProgress());
    }

    @Test
    void aRollingRestartOfNoInstanceIsRejected() {
        startReady();
        assertNotNull(supervisor.beginRollingRestart(now, List.of(), 1));
        assertNotNull(supervisor.beginRollingRestart(now, List.of("a"), 0));
        assertNotNull(supervisor.beginRollingRestart(now, List.of("x"), 1));
        assertNull(supervisor.rollingRestartProgress());
    }
}
