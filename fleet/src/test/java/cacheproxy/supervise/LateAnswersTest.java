package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Answers that come late, twice, or not at all. */
class LateAnswersTest extends SupervisorFixture {
    @Test
    void aSearchThatCouldNotBeMadeIsRepeatedAfterAPause() {
        startReady();
        restartAgent(false, spec("a"));
        actions.takeActions();
        supervisor.searchFailed(now, "a", 1);
        supervisor.searchFailed(now, "a", 7);
        supervisor.tick(now);
        assertEquals(List.of(), actions.takeActions());
        advanceTime(100); // a fifth of probeMs is over, and forkMs is not
        assertEquals(List.of("search a 1 11"), actions.takeActions());
        supervisor.searchCompleted(now, "a", 1, P1);
        supervisor.searchFailed(now, "a", 1);
        assertEquals(InstanceState.ADOPTED, a().state());
    }

    @Test
    void answersAboutEarlierStartsAreIgnored() {
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
    void aLostProbeIsRepeated() {
        startReady();
        advanceTime(200);
        actions.done.clear();
        advanceTime(700);
        assertFalse(actions.done.contains("probe a 1"));
        advanceTime(600);
        assertTrue(actions.done.contains("probe a 1"));
        assertEquals(InstanceState.READY, a().state()); // it is the agent that lost it
    }

    @Test
    void aProcessThatCouldNotBeMade() {
        declare(spec("a"));
        supervisor.spawnFailed(now, "a", 1, "no memory");
        assertEquals(InstanceState.BACKING_OFF, a().state());
        assertEquals(1, a().consecutiveCrashes());
        assertTrue(a().fault().contains("no memory"));
    }
}
