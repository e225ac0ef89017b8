package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An instance comes to the configuration declared, or its refusal is known. */
class ConfigurationReloadsTest extends SupervisorFixture {
    @Test
    void aChangedConfigurationIsReloadedAndOneInstanceRefusesIt() {
        startReady(POLICY, "a", "b");
        InstanceSpec a2 = spec("a", "L1", "C2", POLICY);
        InstanceSpec b2 = spec("b", "L1", "C2", POLICY);
        declare(a2, b2);
        assertEquals(List.of("reload a 1", "reload b 1"), actions.takeActions());
        assertEquals(InstanceState.RELOADING, a().state());
        supervisor.reloaded(now, "a", 1, true, "", "C2");
        supervisor.reloaded(now, "b", 1, false, "line 3", "");
        assertEquals(InstanceState.READY, a().state());
        assertEquals("C2", a().configurationDigest());
        assertEquals("", a().refusalReason());
        Instance b = supervisor.instance("b");
        assertEquals(InstanceState.READY, b.state());
        assertEquals("line 3", b.refusalReason());
        assertEquals("C1", b.configurationDigest());
        for (int i = 0; i < 10; i++) {
            now += 100;
            reportReady("b", 1);
            supervisor.probed(now, "a", 1, true, "", "C2");
        }
        assertEquals(List.of(), actions.takeActions()); // not again and again
        assertTrue(b.fault().contains("line 3"));
        declare(a2, spec("b")); // back to what it has
        assertEquals("", b.refusalReason());
        reportReady("b", 1);
        assertEquals("", b.fault());
        declare(a2, spec("b", "L1", "C3", POLICY));
        assertEquals(List.of("reload b 1"), actions.takeActions());
    }

    @Test
    void aReloadSucceedsWhileTheConfigurationChangesAgain() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        declare(spec("a", "L1", "C3", POLICY));
        assertEquals(List.of("reload a 1"), actions.takeActions()); // one at a time
        supervisor.reloaded(now, "a", 1, true, "", "C2");
        assertEquals(List.of("reload a 1"), actions.takeActions());
        supervisor.reloaded(now, "a", 1, true, "", "C3");
        assertEquals(InstanceState.READY, a().state());
        assertEquals(List.of(), actions.takeActions());
    }

    @Test
    void reloadsThatNeverYieldTheDeclaredConfigurationArePaced() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        advanceTime(1000, () -> supervisor.reloaded(now, "a", 1, true, "", "C9"));
        assertEquals(4, actions.takeActions().size()); // probeMs after each answer, and not at once
    }

    @Test
    void aRefusalWhileAnotherConfigurationIsDeclared() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        declare(spec("a", "L1", "C3", POLICY));
        actions.takeActions();
        supervisor.reloaded(now, "a", 1, false, "line 3", "");
        assertEquals("", a().refusalReason()); // that was C2
        assertEquals(List.of("reload a 1"), actions.takeActions()); // C3 was not asked about yet
    }

    @Test
    void anInstanceThatDoesNotAnswerAReloadIsHung() {
        startReady();
        supervisor.reload(now, "a");
        assertEquals(List.of("reload a 1"), actions.takeActions());
        advanceTime(900, () -> failHealthCheck("a", 1));
        assertEquals(InstanceState.HUNG, a().state());
        supervisor.reloaded(now, "a", 1, false, "no answer", "");
        assertEquals(InstanceState.HUNG, a().state());
    }

    @Test
    void aReloadThatDoesNotReachTheInstanceIsRetriedWithBackoff() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        assertEquals(List.of("reload a 1"), actions.takeActions());
        supervisor.reloadFailed(now, "a", 1, "nobody listens");
        assertEquals(InstanceState.READY, a().state());
        assertEquals("", a().refusalReason());
        assertTrue(actions.hasLogged("a: reload failed: nobody listens; is asked again in 200 ms"));
        advanceTime(100, () -> reportReady("a", 1));
        assertEquals(List.of(), actions.takeActions());
        assertTrue(a().fault().contains("reload failed")); // also while it answers
        advanceTime(100, () -> reportReady("a", 1));
        assertEquals(List.of("reload a 1"), actions.takeActions());
        advanceTime(10_000, () -> {
            reportReady("a", 1);
            supervisor.reloadFailed(now, "a", 1, "nobody listens");
        });
        int asks = actions.takeActions().size();
        assertTrue(asks >= 15 && asks <= 22, asks + " times"); // 500 ms between two, and a tick
        supervisor.reloadFailed(now, "a", 1, "nobody listens");
        advanceTime(600, () -> reportReady("a", 1));
        supervisor.reloaded(now, "a", 1, true, "", "C2");
        assertEquals("", a().fault());
        actions.takeActions();
        advanceTime(2000, () -> supervisor.probed(now, "a", 1, true, "", "C2"));
        assertEquals(List.of(), actions.takeActions());
    }

    /** A wish to read the same configuration again is not lost either. */
    @Test
    void aRequestedReloadThatDoesNotReachTheInstanceIsRetried() {
        startReady();
        assertNull(supervisor.reload(now, "a"));
        supervisor.reloadFailed(now, "a", 1, "nobody listens");
        actions.takeActions();
        advanceTime(300, () -> reportReady("a", 1));
        assertEquals(List.of("reload a 1"), actions.takeActions());
        supervisor.reloaded(now, "a", 1, true, "", "C1");
        advanceTime(2000, () -> reportReady("a", 1));
        assertEquals(List.of(), actions.takeActions());
    }
}
