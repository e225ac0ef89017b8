package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The state transitions of an instance, as listed in the table in docs/design/instances.md. */
class SupervisorStatesTest extends SupervisorFixture {
    @Test
    void startsDeclaredInstanceOnceItsStartIsJournaled() {
        declare(spec("a"));
        // RecordedActions.spawn checks that the announcement is in the journal
        assertEquals(List.of("spawn a 1"), actions.takeActions());
        assertEquals(InstanceState.STARTING, a().state());
        assertTrue(a().state().mayRun());
    }

    @Test
    void startsNothingWhileTheJournalCannotBeWritten() {
        actions.journalFails = true;
        declare(spec("a"));
        advanceTime(2000);
        assertEquals(List.of(), actions.takeActions());
        assertEquals(InstanceState.DECLARED, a().state());
        assertTrue(a().fault().contains("journal"));
        actions.journalFails = false;
        advanceTime(200);
        assertEquals(List.of("spawn a 1"), actions.takeActions());
    }

    @Test
    void marksReadyOnlyIfControlChannelAndClientConnectionAreServed() {
        declare(spec("a"));
        supervisor.spawned(now, "a", 1, P1);
        supervisor.probed(now, "a", 1, false, "", "C1");
        assertEquals(InstanceState.STARTING, a().state());
        supervisor.probed(now, "a", 1, true, "mn not answered", "C1");
        assertEquals(InstanceState.STARTING, a().state());
        reportReady("a", 1);
        assertEquals(InstanceState.READY, a().state());
        assertEquals("C1", a().configurationDigest());
    }

    @Test
    void terminatesInstanceNotReadyInTimeAndCountsACrash() {
        declare(spec("a"));
        supervisor.spawned(now, "a", 1, P1);
        actions.takeActions();
        advanceTime(3000, () -> supervisor.probed(now, "a", 1, false, "", "C1"));
        assertEquals(List.of(), actions.takeActions());
        advanceTime(100);
        assertEquals(List.of("terminate a 11"), actions.takeActions());
        assertEquals(InstanceState.STOPPING, a().state());
        assertTrue(actions.hasLogged("not ready within 3000 ms"));
        supervisor.processEnded(now, "a", 1, 0);
        assertEquals(InstanceState.BACKING_OFF, a().state());
        assertEquals(1, a().consecutiveCrashes());
    }

    @Test
    void marksUnreadyAfterFailedHealthCheckAndHungAfterTimeout() {
        startReady();
        advanceTime(200);
        supervisor.probeFailed(now, "a", 1, "no answer");
        assertEquals(InstanceState.UNREADY, a().state());
        advanceTime(600, () -> failHealthCheck("a", 1));
        assertEquals(InstanceState.UNREADY, a().state()); // 800 ms since the last answer
        advanceTime(100, () -> failHealthCheck("a", 1));
        assertEquals(InstanceState.HUNG, a().state());
        assertTrue(a().state().mayRun());
        assertTrue(actions.hasLogged("hung: no answer"));
        advanceTime(60_000, () -> failHealthCheck("a", 1));
        assertEquals(InstanceState.HUNG, a().state());
        assertEquals(List.of(), actions.takeActions()); // the policy does not allow SIGKILL
        reportReady("a", 1);
        assertEquals(InstanceState.READY, a().state());
        assertEquals("", a().fault());
    }

    @Test
    void marksUnreadyInstanceReadyOnceItAnswers() {
        startReady();
        failHealthCheck("a", 1);
        reportReady("a", 1);
        assertEquals(InstanceState.READY, a().state());
    }

    @Test
    void marksReadyInstanceUnreadyWhenItReportsNotReady() {
        startReady();
        supervisor.probed(now, "a", 1, false, "", "C1");
        assertEquals(InstanceState.UNREADY, a().state());
        advanceTime(5000, () -> supervisor.probed(now, "a", 1, false, "", "C1"));
        assertEquals(InstanceState.UNREADY, a().state()); // it answers, so it is not hung
        reportReady("a", 1);
        assertEquals(InstanceState.READY, a().state());
    }

    @Test
    void marksInstanceHungThatServesNoClient() {
        startReady();
        advanceTime(900, () -> supervisor.probed(now, "a", 1, true, "mn not answered", "C1"));
        assertEquals(InstanceState.HUNG, a().state());
        assertTrue(a().fault().contains("serves no client: mn not answered"));
    }

    @Test
    void marksAdoptedInstanceHungThatDoesNotAnswer() {
        startReady();
        restartAgent(false, spec("a"));
        supervisor.searchCompleted(now, "a", 1, P1);
        advanceTime(800, () -> failHealthCheck("a", 1));
        assertEquals(InstanceState.ADOPTED, a().state());
        advanceTime(100);
        assertEquals(InstanceState.HUNG, a().state());
    }

    @Test
    void doesNotMarkAdoptedInstanceHungAtAnyInitialClockValue() {
        startReady();
        RecordedActions nextActions = new RecordedActions();
        Supervisor nextSupervisor = new Supervisor(nextActions);
        actions.journal.forEach(nextSupervisor::replay);
        nextSupervisor.searchForProcesses(5_000_000);
        nextSupervisor.declare(5_000_000, List.of(spec("a")));
        nextSupervisor.searchCompleted(5_000_010, "a", 1, P1);
        nextSupervisor.tick(5_000_500);
        assertEquals(InstanceState.ADOPTED, nextSupervisor.instance("a").state());
    }

    @Test
    void marksInstanceHungThatIgnoresSigtermEvenIfItAnswers() {
        startReady();
        assertNull(supervisor.setDesiredState(now, "a", false));
        assertEquals(List.of("terminate a 11"), actions.takeActions());
        advanceTime(1000, () -> reportReady("a", 1));
        assertEquals(InstanceState.STOPPING, a().state());
        advanceTime(100, () -> reportReady("a", 1));
        assertEquals(InstanceState.HUNG, a().state());
        assertTrue(actions.hasLogged("hung: does not end"));
        int loggedCount = actions.loggedEvents.size();
        advanceTime(5000, () -> reportReady("a", 1));
        assertEquals(InstanceState.HUNG, a().state());
        assertEquals(loggedCount, actions.loggedEvents.size()); // reported only once
        supervisor.processEnded(now, "a", 1, 0);
        assertEquals(InstanceState.STOPPED, a().state());
    }

    @Test
    void returnsHungInstanceToStoppingIfItAnswersWithinItsStopTime() {
        startReady();
        advanceTime(900, () -> failHealthCheck("a", 1));
        supervisor.setDesiredState(now, "a", false);
        assertEquals(InstanceState.HUNG, a().state());
        supervisor.probed(now, "a", 1, false, "", "C1");
        assertEquals(InstanceState.STOPPING, a().state());
        advanceTime(900, () -> supervisor.probed(now, "a", 1, false, "", "C1"));
        assertEquals(InstanceState.STOPPING, a().state());
        advanceTime(200, () -> supervisor.probed(now, "a", 1, false, "", "C1"));
        assertEquals(InstanceState.HUNG, a().state());
    }

    @Test
    void sendsSigkillOnceAndOnlyIfThePolicyAllows() {
        startReady(policyWithKillAfter(500), "a");
        advanceTime(900, () -> failHealthCheck("a", 1));
        assertEquals(InstanceState.HUNG, a().state());
        advanceTime(400, () -> failHealthCheck("a", 1));
        assertEquals(List.of(), actions.takeActions());
        advanceTime(2000, () -> failHealthCheck("a", 1));
        assertEquals(List.of("kill a 11"), actions.takeActions());
        assertTrue(actions.hasLogged("SIGKILL, as its policy says"));
        supervisor.processEnded(now, "a", 1, 137);
        assertEquals(InstanceState.BACKING_OFF, a().state());
    }

    @Test
    void sendsSigkillToInstanceThatIgnoresSigtermAndAnswers() {
        startReady(policyWithKillAfter(500), "a");
        supervisor.setDesiredState(now, "a", false);
        actions.takeActions();
        advanceTime(2000, () -> reportReady("a", 1));
        assertEquals(List.of("kill a 11"), actions.takeActions());
    }

    @Test
    void sendsSigkillToLaterProcessesAsWell() {
        startReady(policyWithKillAfter(0), "a");
        for (int start = 1; start < 3; start++) {
            int currentStart = start;
            advanceTime(1500, () -> failHealthCheck("a", currentStart));
            assertEquals(List.of("kill a 11"), actions.takeActions());
            supervisor.processEnded(now, "a", start, 137);
            advanceTime(600);
            assertEquals(List.of("spawn a " + (start + 1)), actions.takeActions());
            supervisor.spawned(now, "a", start + 1, P1);
            reportReady("a", start + 1);
        }
    }

    @Test
    void marksEndedProcessStoppedIfRequestedAndCrashedOtherwise() {
        startReady(POLICY, "a", "b");
        supervisor.setDesiredState(now, "a", false);
        supervisor.processEnded(now, "a", 1, 0);
        assertEquals(InstanceState.STOPPED, a().state());
        assertEquals(0, a().consecutiveCrashes());
        assertEquals(0, a().exitCode());
        supervisor.processEnded(now, "b", 1, 139);
        assertEquals(InstanceState.BACKING_OFF, supervisor.instance("b").state());
        assertEquals(139, supervisor.instance("b").exitCode());
        assertTrue(actions.hasLogged("b: crashed, code 139"));
        advanceTime(10_000);
        assertEquals(InstanceState.STOPPED, a().state());
    }

    @Test
    void doublesBackoffUpToItsBoundUntilGivenUp() {
        SupervisionPolicy policy = new SupervisionPolicy(3000, 1000, 800, -1, 100, 500, 6, 2000, 200, 400);
        declare(spec("a", "L1", "C1", policy));
        long[] backoffsMs = {100, 200, 400, 500, 500};
        int start = 1;
        for (long backoffMs : backoffsMs) {
            crash(start);
            assertEquals(InstanceState.BACKING_OFF, a().state());
            assertEquals(start, a().consecutiveCrashes());
            actions.takeActions();
            now += backoffMs - 1;
            supervisor.tick(now);
            assertEquals(List.of(), actions.takeActions());
            supervisor.tick(++now);
            assertEquals(List.of("spawn a " + ++start), actions.takeActions());
        }
        crash(start);
        assertEquals(InstanceState.GIVEN_UP, a().state());
        assertTrue(actions.hasLogged("given up: crashed 6 times in a row"));
        advanceTime(60_000);
        assertEquals(List.of(), actions.takeActions());
        assertNull(supervisor.setDesiredState(now, "a", true));
        assertEquals(List.of("spawn a 7"), actions.takeActions());
        assertEquals(0, a().consecutiveCrashes());
    }

    @Test
    void resetsCrashCountAfterAStableTime() {
        declare(spec("a"));
        crash(1);
        advanceTime(100);
        crash(2);
        advanceTime(200);
        supervisor.spawned(now, "a", 3, P1);
        reportReady("a", 3);
        advanceTime(1900, () -> reportReady("a", 3));
        supervisor.processEnded(now, "a", 3, 1);
        assertEquals(3, a().consecutiveCrashes()); // crashed before it was ready for stableMs
        advanceTime(400);
        supervisor.spawned(now, "a", 4, P1);
        reportReady("a", 4);
        advanceTime(2000, () -> reportReady("a", 4));
        supervisor.processEnded(now, "a", 4, 1);
        assertEquals(1, a().consecutiveCrashes());
    }
}
