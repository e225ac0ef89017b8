package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A start that finds its name held by another process: its own earlier start, or a stranger. */
class NameHolderSearchTest extends SupervisorFixture {
    /** Start 1 was announced, its agent died, nobody found it in time, and start 2 met its lock. */
    private void heldByTheFirst(boolean compacted) {
        declare(spec("a"));
        restartAgent(compacted, spec("a"));
        advanceTime(600, () -> supervisor.searchCompleted(now, "a", 1, null));
        List<String> news = actions.takeActions();
        assertEquals("spawn a 2", news.get(news.size() - 1));
        supervisor.spawned(now, "a", 2, P2);
        supervisor.processEnded(now, "a", 2, Supervisor.NAME_HELD_EXIT_CODE);
    }

    @Test
    void aHeldNameIsNoCrashAndItsHolderIsAdopted() {
        for (boolean compacted : new boolean[] {false, true}) {
            actions = new RecordedActions();
            supervisor = new Supervisor(actions);
            now = 0;
            heldByTheFirst(compacted);
            assertEquals(List.of("search a 1"), actions.takeActions());
            assertEquals(InstanceState.ADOPTED, a().state());
            assertEquals(0, a().consecutiveCrashes());
            assertEquals("its name is held by another process", a().fault());
            assertTrue(actions.hasLogged("ended, code 3: its name is held by another process"));
            supervisor.spawned(now, "a", 2, P2); // late, of the one that has ended
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
    void theNextAgentSearchesForTheHolderToo() {
        for (boolean compacted : new boolean[] {false, true}) {
            actions = new RecordedActions();
            supervisor = new Supervisor(actions);
            now = 0;
            heldByTheFirst(false);
            restartAgent(compacted, spec("a"));
            assertEquals(List.of("search a 1"), actions.takeActions());
            assertEquals(InstanceState.ADOPTED, a().state());
            supervisor.searchCompleted(now, "a", 1, P1);
            reportReady("a", 3);
            assertEquals(InstanceState.READY, a().state());
        }
    }

    /** Its end was told wrongly: nobody had an exit code. */
    @Test
    void aProcessTakenForGoneIsAdoptedAgain() {
        startReady();
        supervisor.processEnded(now, "a", 1, -1);
        assertEquals(1, a().consecutiveCrashes());
        advanceTime(100);
        crash(2); // seen to end, so it holds nothing
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
    void aProcessTakenForGoneWhileTheJournalFailedIsKnownToTheNextAgent() {
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
    void aProcessNeverSeenIsKnownAfterItsInstanceWasRemoved() {
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
        assertEquals(List.of("search a 3"), actions.takeActions()); // nobody can tell that it was never made
        supervisor.searchCompleted(now, "a", 3, null);
        assertEquals(List.of("search a 2"), actions.takeActions());
    }

    @Test
    void aNameHeldByAStrangerIsRetriedWithBackoffAndNeverGivenUp() {
        heldByTheFirst(false);
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
            assertEquals(List.of("search a 1"), actions.takeActions()); // its secret is known still
        }
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals("s1", a().secret());
    }

    @Test
    void aStopOfAnInstanceWhoseNameIsHeldTerminatesTheHolder() {
        heldByTheFirst(false);
        supervisor.setDesiredState(now, "a", false);
        assertEquals(InstanceState.ADOPTED, a().state());
        actions.takeActions();
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals(List.of("terminate a 11"), actions.takeActions());
        supervisor.processEnded(now, "a", 3, -1);
        assertEquals(InstanceState.STOPPED, a().state());
    }

    @Test
    void aStopOrRemovalWhileAStrangerHoldsTheName() {
        heldByTheFirst(false);
        supervisor.setDesiredState(now, "a", false);
        supervisor.searchCompleted(now, "a", 1, null);
        assertEquals(InstanceState.STOPPED, a().state());
        supervisor.setDesiredState(now, "a", true);
        supervisor.processEnded(now, "a", 3, Supervisor.NAME_HELD_EXIT_CODE);
        declare();
        supervisor.searchCompleted(now, "a", 1, null);
        assertNull(a());
        assertEquals(
                1, actions.logged.stream().filter(s -> s.contains("forgotten")).count());
        declare(spec("a")); // what it might meet is not forgotten
        actions.takeActions();
        supervisor.processEnded(now, "a", 4, Supervisor.NAME_HELD_EXIT_CODE);
        assertEquals(List.of("search a 1"), actions.takeActions());
    }

    @Test
    void onceAStartHasTheNameOnlyStartsNeverSeenMayStillCome() {
        for (boolean seen : new boolean[] {false, true}) {
            for (boolean compacted : new boolean[] {false, true}) {
                actions = new RecordedActions();
                supervisor = new Supervisor(actions);
                now = 0;
                if (seen) {
                    startReady();
                    supervisor.processEnded(now, "a", 1, -1);
                } else {
                    heldByTheFirst(false);
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
                assertEquals(seen ? List.of() : List.of("search a 1"), actions.takeActions());
                assertEquals(seen ? InstanceState.BACKING_OFF : InstanceState.ADOPTED, a().state());
            }
        }
    }

    @Test
    void adoptionOfAHolderWaitsForTheJournal() {
        heldByTheFirst(false);
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
    void aRollingRestartStopsAtAnInstanceWhoseNameIsHeld() {
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
