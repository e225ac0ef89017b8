package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Results that arrive late, twice, or never. */
class LateAnswersTest extends SupervisorFixture {
    @Test
    void repeatsFailedSearchAfterADelay() {
        startReady();
        restartAgent(false, spec("a"));
        actions.takeActions();
        supervisor.searchFailed(now, "a", 1);
        supervisor.searchFailed(now, "a", 7);
        supervisor.tick(now);
        assertEquals(List.of(), actions.takeActions());
        advanceTime(100); // a fifth of probeMs has passed, but not forkMs
        assertEquals(List.of("search a 1 11"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, P1);
        supervisor.searchFailed(now, "a", 1);
        assertEquals(InstanceState.ADOPTED, a().state());
    }

    @Test
    void ignoresResultsOfEarlierStarts() {
        startReady();
        supervisor.processEnded(now, "a", 1, 1);
        supervisor.processEnded(now, "a", 1, 1);
        assertEquals(1, a().consecutiveCrashes());
        supervisor.spawned(now, "a", 1, P1);
        reportReady("a", 1);
        assertEquals(InstanceState.BACKING_OFF, a().state());
        advanceTime(100);
        supervisor.processEnded(now, "a", 1, 1);
        reportReady("a", 1);
        failHealthCheck("a", 1);
        supervisor.spawnFailed(now, "a", 1, "?");
        supervisor.searchCompleted(now, "a", 2, null);
        supervisor.reloaded(now, "a", 2, true, "", "C9");
        assertEquals(InstanceState.STARTING, a().state());
        assertNull(a().identity());
        reportReady("nobody", 1);
    }

    @Test
    void repeatsLostHealthCheck() {
        startReady();
        advanceTime(200);
        actions.requestedActions.clear();
        advanceTime(700);
        assertFalse(actions.requestedActions.contains("probe a 1"));
        advanceTime(600);
        assertTrue(actions.requestedActions.contains("probe a 1"));
        assertEquals(InstanceState.READY, a().state()); // the agent lost the result; the instance is not at fault
    }

    @Test
    void countsFailedProcessCreationAsACrash() {
        declare(spec("a"));
        supervisor.spawnFailed(now, "a", 1, "no memory");
        assertEquals(InstanceState.BACKING_OFF, a().state());
        assertEquals(1, a().consecutiveCrashes());
        assertTrue(a().fault().contains("no memory"));
    }
}
