package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Starts, stops, restarts and removals in every state of an instance. */
class DesiredStateTest extends SupervisorFixture {
    @Test
    void doesNotCountACrashWhenStartedDuringAStop() {
        startReady();
        supervisor.setDesiredState(now, "a", false);
        supervisor.setDesiredState(now, "a", true);
        supervisor.processEnded(now, "a", 1, 0);
        assertEquals(0, a().consecutiveCrashes());
        assertEquals(List.of("terminate a 11", "spawn a 2"), actions.takeActions());
    }

    @Test
    void stopsInstanceInBackoffOrGivenUp() {
        declare(spec("a"));
        crash(1);
        supervisor.setDesiredState(now, "a", false);
        assertEquals(InstanceState.STOPPED, a().state());
        supervisor.setDesiredState(now, "a", true);
        for (int start = 2; start < 6; start++) {
            crash(start);
            advanceTime(500);
        }
        assertEquals(InstanceState.GIVEN_UP, a().state());
        supervisor.setDesiredState(now, "a", false);
        assertEquals(InstanceState.STOPPED, a().state());
    }

    @Test
    void stopsInstanceBeingTerminatedForAReadinessTimeout() {
        declare(spec("a"));
        supervisor.spawned(now, "a", 1, P1);
        advanceTime(3200);
        assertEquals(InstanceState.STOPPING, a().state());
        supervisor.setDesiredState(now, "a", false);
        supervisor.processEnded(now, "a", 1, 0);
        assertEquals(InstanceState.STOPPED, a().state());
        supervisor.setDesiredState(now, "a", true);
        supervisor.spawned(now, "a", 2, P1);
        reportReady("a", 2);
        supervisor.restart(now, "a");
        supervisor.processEnded(now, "a", 2, 0);
        assertEquals(InstanceState.STARTING, a().state()); // the readiness timeout of the first start is cleared
    }

    @Test
    void terminatesInstanceStoppedBeforeItsPidIsKnown() {
        declare(spec("a"));
        supervisor.setDesiredState(now, "a", false);
        assertEquals(InstanceState.STARTING, a().state());
        supervisor.spawned(now, "a", 1, P1);
        assertEquals(List.of("spawn a 1", "terminate a 11"), actions.takeActions());
    }

    @Test
    void skipsRestartBeforeThePidIsKnownUnlessOutdated() {
        declare(spec("a"));
        supervisor.restart(now, "a");
        supervisor.spawned(now, "a", 1, P1);
        // no termination: the announced start already uses the declared launch parameters
        assertEquals(List.of("spawn a 1"), actions.takeActions());
        reportReady("a", 1);
        supervisor.processEnded(now, "a", 1, 1);
        advanceTime(100);
        declare(spec("a", "L2", "C1", POLICY));
        assertTrue(a().outdated());
        supervisor.restart(now, "a");
        supervisor.spawned(now, "a", 2, P1);
        assertEquals(List.of("spawn a 2", "terminate a 11"), actions.takeActions());
        supervisor.processEnded(now, "a", 2, 0);
        assertFalse(a().outdated());
        assertEquals(List.of("spawn a 3"), actions.takeActions());
    }

    @Test
    void rejectsCommandThatCannotBeJournaled() {
        startReady();
        actions.journalFails = true;
        assertTrue(supervisor.setDesiredState(now, "a", false).contains("journal"));
        assertTrue(supervisor.restart(now, "a").contains("journal"));
        assertTrue(supervisor.beginRollingRestart(now, List.of("a"), 1).contains("journal"));
        assertEquals(InstanceState.READY, a().state());
        assertEquals(List.of(), actions.takeActions());
    }

    @Test
    void terminatesAndDropsRemovedInstance() {
        startReady(POLICY, "a", "b");
        declare(spec("b"));
        assertEquals(List.of("terminate a 11"), actions.takeActions());
        assertEquals(InstanceState.STOPPING, a().state()); // still listed while its process runs
        assertNotNull(supervisor.setDesiredState(now, "a", true));
        assertNotNull(supervisor.restart(now, "a"));
        assertNotNull(supervisor.reload(now, "a"));
        assertNotNull(supervisor.beginRollingRestart(now, List.of("a"), 1));
        supervisor.processEnded(now, "a", 1, 0);
        assertNull(a());
        assertEquals(List.of(), actions.takeActions());
    }

    @Test
    void continuesStartNumbersWhenARemovedInstanceIsDeclaredAgain() {
        startReady();
        supervisor.setDesiredState(now, "a", false);
        supervisor.processEnded(now, "a", 1, 0);
        declare();
        assertNull(a());
        declare(spec("a"));
        assertEquals(List.of("terminate a 11", "spawn a 2"), actions.takeActions()); // start numbers continue
        supervisor.spawned(now, "a", 2, P2);
        supervisor.processEnded(now, "a", 1, 0); // late report about an earlier start
        assertEquals(InstanceState.STARTING, a().state());
        restartAgent(false, spec("a"));
        assertTrue(a().wanted());
    }

    @Test
    void keepsRemovedInstanceUntilItsResetIsJournaled() {
        startReady();
        supervisor.setDesiredState(now, "a", false);
        supervisor.processEnded(now, "a", 1, 0);
        actions.journalFails = true;
        declare();
        advanceTime(500);
        assertEquals(InstanceState.STOPPED, a().state());
        actions.journalFails = false;
        advanceTime(100);
        assertNull(a());
    }

    @Test
    void startsInstanceDeclaredAgainDuringTermination() {
        startReady();
        declare();
        declare(spec("a"));
        supervisor.processEnded(now, "a", 1, 0);
        assertEquals(List.of("terminate a 11", "spawn a 2"), actions.takeActions());
        assertEquals(0, a().consecutiveCrashes());
    }

    @Test
    void marksInstanceOutdatedWithoutRestartWhenTheLaunchChanges() {
        startReady();
        declare(spec("a", "L2", "C1", POLICY));
        assertTrue(a().outdated());
        assertEquals(List.of(), actions.takeActions());
    }
}
