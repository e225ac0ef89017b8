package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An agent resumes from the journal of its predecessor, whatever state that agent died in. */
class AgentRestartTest extends SupervisorFixture {
    @Test
    void restartsInstanceWhoseProcessWasNeverCreatedAfterTheAnnouncement() {
        declare(spec("a"));
        for (boolean compacted : new boolean[] {false, true}) {
            restartAgent(compacted, spec("a"));
            assertEquals(List.of("search a 1"), actions.takeActions());
            assertEquals(InstanceState.ADOPTED, a().state());
        }
        supervisor.searchCompleted(0, "a", 1, null);
        now = 300;
        supervisor.tick(now);
        assertEquals(List.of("search a 1"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, null); // the fork may still be in progress
        assertEquals(InstanceState.ADOPTED, a().state());
        advanceTime(200);
        assertEquals(List.of("search a 1"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, null);
        assertEquals(List.of("spawn a 2"), actions.takeActions());
        assertEquals(0, a().consecutiveCrashes()); // not counted as a crash
        assertTrue(actions.hasLogged("was announced and never made"));
    }

    @Test
    void ignoresSearchResultThatMayPredateTheForkDeadline() {
        declare(spec("a"));
        restartAgent(false, spec("a"));
        actions.takeActions();
        advanceTime(300);
        assertEquals(List.of(), actions.takeActions()); // only one search at a time
        advanceTime(100);
        assertEquals(List.of("search a 1"), actions.takeActions()); // the first search counts as lost
        restartAgent(false, spec("a"));
        actions.takeActions();
        now = 700; // without a tick in between
        supervisor.searchCompleted(now, "a", 1, null); // the search may have run before the process had to exist
        assertEquals(InstanceState.ADOPTED, a().state());
        supervisor.tick(now);
        assertEquals(List.of("search a 1"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, null);
        assertEquals(List.of("spawn a 2"), actions.takeActions());
    }

    @Test
    void repeatsSearchWhileTheEndOfAStartCannotBeJournaled() {
        declare(spec("a"));
        restartAgent(false, spec("a"));
        advanceTime(300);
        supervisor.searchCompleted(now, "a", 1, null);
        advanceTime(200);
        actions.takeActions();
        actions.journalFails = true;
        supervisor.searchCompleted(now, "a", 1, null);
        assertEquals(InstanceState.ADOPTED, a().state());
        advanceTime(200);
        assertEquals(List.of("search a 1"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, P1); // the process exists after all
        assertEquals(P1, a().identity());
    }

    @Test
    void adoptsProcessWhosePidWasNotJournaled() {
        declare(spec("a"));
        restartAgent(false, spec("a"));
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals(InstanceState.ADOPTED, a().state());
        assertEquals(new JournalRecord.ProcessStarted("a", 1, P1), actions.journal.get(actions.journal.size() - 1));
        reportReady("a", 1);
        assertEquals(InstanceState.READY, a().state());
        assertEquals(List.of("search a 1"), actions.takeActions()); // no second start
        assertEquals("s1", a().secret());
    }

    @Test
    void adoptsAllReadyInstancesWithoutRestart() {
        startReady(POLICY, "a", "b");
        for (boolean compacted : new boolean[] {false, true}) {
            restartAgent(compacted, spec("a"), spec("b"));
            assertEquals(List.of("search a 1 11", "search b 1 12"), actions.takeActions());
            advanceTime(300); // the clock of the new agent starts at 0
            assertEquals(InstanceState.ADOPTED, a().state());
            supervisor.searchCompleted(now, "a", 1, P1);
            supervisor.searchCompleted(now, "b", 1, P2);
            reportReady("a", 1);
            reportReady("b", 1);
            assertEquals(InstanceState.READY, a().state());
            assertEquals(List.of(), actions.takeActions());
        }
    }

    @Test
    void reportsUnknownExitCodeWhenThePidWasReused() {
        startReady();
        restartAgent(false, spec("a"));
        supervisor.searchCompleted(now, "a", 1, null); // the process with this pid has another start time
        assertEquals(InstanceState.BACKING_OFF, a().state());
        assertEquals(-1, a().exitCode());
        assertTrue(actions.hasLogged("crashed, code unknown"));
        advanceTime(100);
        assertEquals("spawn a 2", actions.takeActions().get(1));
    }

    @Test
    void reportsUnknownExitCodeOfAdoptedProcess() {
        startReady();
        restartAgent(true, spec("a"));
        supervisor.searchCompleted(now, "a", 1, P1);
        reportReady("a", 1);
        supervisor.processEnded(now, "a", 1, -1);
        assertEquals(-1, a().exitCode());
        assertEquals(InstanceState.BACKING_OFF, a().state());
    }

    @Test
    void keepsBackoffAndGivenUpStateAcrossAgentRestart() {
        declare(spec("a"));
        crash(1);
        advanceTime(100);
        crash(2);
        for (boolean compacted : new boolean[] {false, true}) {
            restartAgent(compacted, spec("a"));
            assertEquals(InstanceState.BACKING_OFF, a().state());
            assertEquals(2, a().consecutiveCrashes());
            now = 199;
            supervisor.tick(now);
            assertEquals(List.of(), actions.takeActions());
        }
        supervisor.tick(now = 200);
        assertEquals(List.of("spawn a 3"), actions.takeActions());
        crash(3);
        advanceTime(400);
        crash(4);
        assertEquals(InstanceState.GIVEN_UP, a().state());
        for (boolean compacted : new boolean[] {false, true}) {
            restartAgent(compacted, spec("a"));
            assertEquals(InstanceState.GIVEN_UP, a().state());
            advanceTime(5000);
            assertEquals(List.of(), actions.takeActions());
        }
    }

    @Test
    void keepsCrashCountOfRunningInstanceInSnapshot() {
        declare(spec("a"));
        crash(1);
        advanceTime(100);
        crash(2);
        advanceTime(200);
        supervisor.spawned(now, "a", 3, P1);
        restartAgent(true, spec("a"));
        supervisor.searchCompleted(now, "a", 3, P1);
        supervisor.processEnded(now, "a", 3, -1);
        assertEquals(3, a().consecutiveCrashes());
    }

    @Test
    void terminatesAdoptedInstanceThatIsNotReadyInTime() {
        declare(spec("a"));
        supervisor.spawned(now, "a", 1, P1);
        restartAgent(false, spec("a"));
        supervisor.searchCompleted(now, "a", 1, P1);
        supervisor.probed(now, "a", 1, false, "", "C1");
        assertEquals(InstanceState.STARTING, a().state());
        actions.takeActions();
        advanceTime(3100, () -> supervisor.probed(now, "a", 1, false, "", "C1"));
        assertEquals(List.of("terminate a 11"), actions.takeActions());
    }

    @Test
    void defersCommandsWhileSearchingForTheProcess() {
        startReady(POLICY, "a", "b", "c", "d");
        restartAgent(false, spec("a"), spec("b"), spec("c"), spec("d"));
        actions.takeActions();
        assertNull(supervisor.setDesiredState(now, "a", false));
        assertNull(supervisor.restart(now, "b"));
        assertNotNull(supervisor.reload(now, "c"));
        declare(spec("a"), spec("b"), spec("c")); // d is removed
        assertEquals(List.of(), actions.takeActions()); // nothing until the processes are identified
        assertEquals(InstanceState.ADOPTED, supervisor.instance("d").state());
        supervisor.searchCompleted(now, "a", 1, P1);
        supervisor.searchCompleted(now, "b", 1, P2);
        supervisor.searchCompleted(now, "d", 1, new UniqueProcessId(14, 200, "boot"));
        assertEquals(List.of("terminate a 11", "terminate b 12", "terminate d 14"), actions.takeActions());
        supervisor.processEnded(now, "a", 1, -1);
        supervisor.processEnded(now, "b", 1, -1);
        supervisor.processEnded(now, "d", 1, -1);
        assertEquals(InstanceState.STOPPED, a().state());
        assertEquals(List.of("spawn b 2"), actions.takeActions());
        assertEquals(0, supervisor.instance("b").consecutiveCrashes());
        assertNull(supervisor.instance("d"));
    }

    @Test
    void keepsStopCommandAcrossAgentRestart() {
        startReady();
        supervisor.setDesiredState(now, "a", false);
        restartAgent(true, spec("a"));
        supervisor.searchCompleted(now, "a", 1, P1);
        assertEquals(List.of("search a 1 11", "terminate a 11"), actions.takeActions());
        supervisor.processEnded(now, "a", 1, -1);
        restartAgent(true, spec("a"));
        advanceTime(2000);
        assertEquals(InstanceState.STOPPED, a().state());
        assertEquals(List.of(), actions.takeActions());
    }

    @Test
    void usesForkTimeOfThePolicy() {
        SupervisionPolicy slow = new SupervisionPolicy(3000, 1000, 800, -1, 100, 500, 4, 2000, 200, 9000);
        declare(spec("a", "L1", "C1", slow));
        restartAgent(false, spec("a", "L1", "C1", slow));
        advanceTime(8900, () -> supervisor.searchCompleted(now, "a", 1, null));
        assertEquals(InstanceState.ADOPTED, a().state());
        advanceTime(400, () -> supervisor.searchCompleted(now, "a", 1, null));
        assertEquals(InstanceState.STARTING, a().state());
    }
}
