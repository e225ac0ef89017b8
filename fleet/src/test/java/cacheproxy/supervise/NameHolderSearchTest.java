package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Starts that find their name lock held, by the process of an earlier start or by an unknown process. */
class NameHolderSearchTest extends SupervisorFixture {
    /**
     * Start 1 is announced and its agent dies. Its process is not found in time, so start 2 is made and finds the name
     * lock held.
     */
    private void startWithNameHeldByFirstStart(boolean compacted) {
        declare(spec("a"));
        restartAgent(compacted, spec("a"));
        advanceTime(600, () -> supervisor.searchCompleted(now, "a", 1, null));
        List<String> recorded = actions.takeActions();
        assertEquals("spawn a 2", recorded.get(recorded.size() - 1));
        supervisor.spawned(now, "a", 2, P2);
        supervisor.processEnded(now, "a", 2, Supervisor.NAME_HELD_EXIT_CODE);
    }

    @Test
    void adoptsLockHolderWithoutCountingACrash() {
        for (boolean compacted : new boolean[] {false, true}) {
            actions = new RecordedActions();
            supervisor = new Supervisor(actions);
            now = 0;
            startWithNameHeldByFirstStart(compacted);
            assertEquals(List.of("search a 1"), actions.takeActions());
            assertEquals(InstanceState.ADOPTED, a().state());
            assertEquals(0, a().consecutiveCrashes());
            assertEquals("its name is held by another process", a().fault());
            assertTrue(actions.hasLogged("ended, code 3: its name is held by another process"));
            supervisor.spawned(now, "a", 2, P2); // late report about the start that has ended
            reportReady("a", 2);
            supervisor.processEnded(now, "a", 2, Supervisor.NAME_HELD_EXIT_CODE);
            assertEquals(InstanceState.ADOPTED, a().state());
            supervisor.searchCompleted(now, "a", 1, P1);
            assertEquals(P1, a().identity());
            assertEquals("s1", a().secret());
            assertEquals(3, a().lastStart());
            assertTrue(actions.hasLogged("a: start 1 holds its name: adopted, pid 11"));
            reportReady("a", 3);
            assertEquals(InstanceState.READY, a().state());
            assertEquals(List.of(), actions.takeActions());
            restartAgent(compacted, spec("a"));
            assertEquals(List.of("search a 3 11"), actions.takeActions());
            supervisor.searchCompleted(now, "a", 3, P1);
            assertEquals("s1", a().secret());
            supervisor.setDesiredState(now, "a", false);
            assertEquals(List.of("terminate a 11"), actions.takeActions());
        }
    }

    @Test
    void resumesSearchForLockHolderAfterAgentRestart() {
        for (boolean compacted : new boolean[] {false, true}) {
            actions = new RecordedActions();
            supervisor = new Supervisor(actions);
            now = 0;
            startWithNameHeldByFirstStart(false);
            restartAgent(compacted, spec("a"));
            assertEquals(List.of("search a 1"), actions.takeActions());
            assertEquals(InstanceState.ADOPTED, a().state());
            supervisor.searchCompleted(now, "a", 1, P1);
            reportReady("a", 3);
            assertEquals(InstanceState.READY, a().state());
        }
    }

    /** The end of the process was reported without an exit code, although the process still runs. */
    @Test
    void adoptsProcessWhoseEndWasReportedWrongly() {
        startReady();
        supervisor.processEnded(now, "a", 1, -1);
        assertEquals(1, a().consecutiveCrashes());
        advanceTime(100);
        crash(2); // observed to end, so it cannot hold the lock
        advanceTime(200);
        actions.takeActions();
        supervisor.spawned(now, "a", 3, P2);
        supervisor.processEnded(now, "a", 3, Supervisor.NAME_HELD_EXIT_CODE);
        assertEquals(2, a().consecutiveCrashes());
        assertEquals(List.of("search a 1"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, P1);
        reportReady("a", 4);
        assertEquals(InstanceState.READY, a().state());
    }

    @Test
    void remembersUnconfirmedStartWhoseEndCouldNotBeJournaled() {
        startReady();
        actions.journalFails = true;
        supervisor.processEnded(now, "a", 1, -1);
        actions.journalFails = false;
        advanceTime(100);
        assertEquals(List.of("spawn a 2"), actions.takeActions());
        restartAgent(false, spec("a"));
        supervisor.searchCompleted(now, "a", 2, P2);
        actions.takeActions();
        supervisor.processEnded(now, "a", 2, Supervisor.NAME_HELD_EXIT_CODE);
        assertEquals(List.of("search a 1"), actions.takeActions());
    }

    @Test
    void remembersUnconfirmedStartsOfRemovedInstance() {
        declare(spec("a"));
        crash(1);
        advanceTime(100);
        restartAgent(true, spec("a"));
        advanceTime(600, () -> supervisor.searchCompleted(now, "a", 2, null));
        declare();
        supervisor.searchCompleted(now, "a", 3, null);
        advanceTime(500, () -> supervisor.searchCompleted(now, "a", 3, null));
        supervisor.spawnFailed(now, "a", 3, "no memory");
        assertNull(a());
        restartAgent(true);
        declare(spec("a"));
        int start = a().lastStart();
        assertTrue(start > 3, start + "");
        actions.takeActions();
        supervisor.processEnded(now, "a", start, Supervisor.NAME_HELD_EXIT_CODE);
        assertEquals(List.of("search a 3"), actions.takeActions()); // whether start 3 ever had a process is unknown
        supervisor.searchCompleted(now, "a", 3, null);
        assertEquals(List.of("search a 2"), actions.takeActions());
    }

    @Test
    void retriesWithoutGivingUpWhileAnUnknownProcessHoldsTheName() {
        startWithNameHeldByFirstStart(false);
        for (int start = 2; start < 40; start++) {
            supervisor.searchCompleted(now, "a", 1, null);
            assertEquals(InstanceState.BACKING_OFF, a().state());
            assertTrue(a().fault().contains("held by another process, which is none of its starts"));
            actions.takeActions();
            advanceTime(100);
            assertEquals(List.of(), actions.takeActions());
            advanceTime(400);
            assertEquals(List.of("spawn a " + (start + 1)), actions.takeActions());
            supervisor.spawned(now, "a", start + 1, P2);
            supervisor.processEnded(now, "a", start + 1, Supervisor.NAME_HELD_EXIT_CODE);
            assertEquals(0, a().consecutiveCrashes());
            assertEquals(List.of("search a 1"), actions.takeActions()); // the secret of start 1 is still known
        }
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals("s1", a().secret());
    }

    @Test
    void terminatesLockHolderWhenTheInstanceIsStopped() {
        startWithNameHeldByFirstStart(false);
        supervisor.setDesiredState(now, "a", false);
        assertEquals(InstanceState.ADOPTED, a().state());
        actions.takeActions();
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals(List.of("terminate a 11"), actions.takeActions());
        supervisor.processEnded(now, "a", 3, -1);
        assertEquals(InstanceState.STOPPED, a().state());
    }

    @Test
    void stopsOrRemovesInstanceWhileAnUnknownProcessHoldsTheName() {
        startWithNameHeldByFirstStart(false);
        supervisor.setDesiredState(now, "a", false);
        supervisor.searchCompleted(now, "a", 1, null);
        assertEquals(InstanceState.STOPPED, a().state());
        supervisor.setDesiredState(now, "a", true);
        supervisor.processEnded(now, "a", 3, Supervisor.NAME_HELD_EXIT_CODE);
        declare();
        supervisor.searchCompleted(now, "a", 1, null);
        assertNull(a());
        assertEquals(
                1,
                actions.loggedEvents.stream()
                        .filter(s -> s.contains("forgotten"))
                        .count());
        declare(spec("a")); // unconfirmed starts are kept across the removal
        actions.takeActions();
        supervisor.processEnded(now, "a", 4, Supervisor.NAME_HELD_EXIT_CODE);
        assertEquals(List.of("search a 1"), actions.takeActions());
    }

    @Test
    void dropsObservedUnconfirmedStartsOnceAStartHoldsTheName() {
        for (boolean observed : new boolean[] {false, true}) {
            for (boolean compacted : new boolean[] {false, true}) {
                actions = new RecordedActions();
                supervisor = new Supervisor(actions);
                now = 0;
                if (observed) {
                    startReady();
                    supervisor.processEnded(now, "a", 1, -1);
                } else {
                    startWithNameHeldByFirstStart(false);
                    supervisor.searchCompleted(now, "a", 1, null);
                }
                advanceTime(300);
                int start = a().lastStart();
                supervisor.spawned(now, "a", start, P2);
                reportReady("a", start);
                supervisor.processEnded(now, "a", start, 1);
                if (compacted) {
                    restartAgent(true, spec("a"));
                }
                advanceTime(400);
                actions.takeActions();
                supervisor.processEnded(now, "a", start + 1, Supervisor.NAME_HELD_EXIT_CODE);
                assertEquals(observed ? List.of() : List.of("search a 1"), actions.takeActions());
                assertEquals(observed ? InstanceState.BACKING_OFF : InstanceState.ADOPTED, a().state());
            }
        }
    }

    @Test
    void delaysAdoptionOfLockHolderUntilItIsJournaled() {
        startWithNameHeldByFirstStart(false);
        actions.takeActions();
        actions.journalFails = true;
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals(InstanceState.ADOPTED, a().state());
        assertNull(a().identity());
        actions.journalFails = false;
        advanceTime(100);
        assertEquals(List.of("search a 1"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals(P1, a().identity());
    }

    @Test
    void stopsRollingRestartAtAnInstanceWhoseNameIsHeld() {
        startReady(POLICY, "a", "b");
        supervisor.beginRollingRestart(now, List.of("a", "b"), 1);
        supervisor.processEnded(now, "a", 1, -1);
        supervisor.spawned(now, "a", 2, P2);
        supervisor.processEnded(now, "a", 2, Supervisor.NAME_HELD_EXIT_CODE);
        assertNull(supervisor.rollingRestartProgress());
        assertTrue(actions.hasLogged("stopped: a is adopted, its name is held by another process"));
        supervisor.searchCompleted(now, "a", 1, P1);
        reportReady("a", 3);
        assertFalse(actions.hasLogged("is done"));
    }
}
