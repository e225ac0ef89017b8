package cacheproxy.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Every instance ends up with the declared configuration, or its rejection is reported. */
class ConfigurationReloadsTest extends SupervisorFixture {
    @Test
    void reloadsChangedConfigurationAndReportsRejection() {
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
        assertEquals(List.of(), actions.takeActions()); // a rejected configuration is not sent again
        assertTrue(b.fault().contains("line 3"));
        declare(a2, spec("b")); // back to the configuration in use
        assertEquals("", b.refusalReason());
        reportReady("b", 1);
        assertEquals("", b.fault());
        declare(a2, spec("b", "L1", "C3", POLICY));
        assertEquals(List.of("reload b 1"), actions.takeActions());
    }

    @Test
    void reloadsAgainWhenTheConfigurationChangedDuringAReload() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        declare(spec("a", "L1", "C3", POLICY));
        assertEquals(List.of("reload a 1"), actions.takeActions()); // only one reload at a time
        supervisor.reloaded(now, "a", 1, true, "", "C2");
        assertEquals(List.of("reload a 1"), actions.takeActions());
        supervisor.reloaded(now, "a", 1, true, "", "C3");
        assertEquals(InstanceState.READY, a().state());
        assertEquals(List.of(), actions.takeActions());
    }

    @Test
    void delaysReloadsThatDoNotYieldTheDeclaredConfiguration() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        advanceTime(1000, () -> supervisor.reloaded(now, "a", 1, true, "", "C9"));
        assertEquals(4, actions.takeActions().size()); // one probeMs after each answer, not immediately
    }

    @Test
    void ignoresRejectionOfAnOutdatedConfiguration() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        declare(spec("a", "L1", "C3", POLICY));
        actions.takeActions();
        supervisor.reloaded(now, "a", 1, false, "line 3", "");
        assertEquals("", a().refusalReason()); // the rejection concerned C2
        assertEquals(List.of("reload a 1"), actions.takeActions()); // C3 has not been tried yet
    }

    @Test
    void marksInstanceHungThatDoesNotAnswerAReload() {
        startReady();
        supervisor.reload(now, "a");
        assertEquals(List.of("reload a 1"), actions.takeActions());
        advanceTime(900, () -> failHealthCheck("a", 1));
        assertEquals(InstanceState.HUNG, a().state());
        supervisor.reloaded(now, "a", 1, false, "no answer", "");
        assertEquals(InstanceState.HUNG, a().state());
    }

    @Test
    void retriesUndeliveredReloadWithBackoff() {
        startReady();
        declare(spec("a", "L1", "C2", POLICY));
        assertEquals(List.of("reload a 1"), actions.takeActions());
        supervisor.reloadFailed(now, "a", 1, "nobody listens");
        assertEquals(InstanceState.READY, a().state());
        assertEquals("", a().refusalReason());
        assertTrue(actions.hasLogged("a: reload failed: nobody listens; is asked again in 200 ms"));
        advanceTime(100, () -> reportReady("a", 1));
        assertEquals(List.of(), actions.takeActions());
        assertTrue(a().fault().contains("reload failed")); // even while health checks are answered
        advanceTime(100, () -> reportReady("a", 1));
        assertEquals(List.of("reload a 1"), actions.takeActions());
        advanceTime(10_000, () -> {
            reportReady("a", 1);
            supervisor.reloadFailed(now, "a", 1, "nobody listens");
        });
        int reloadCount = actions.takeActions().size();
        assertTrue(reloadCount >= 15 && reloadCount <= 22, reloadCount + " times"); // backoff of 500 ms plus one tick
        supervisor.reloadFailed(now, "a", 1, "nobody listens");
        advanceTime(600, () -> reportReady("a", 1));
        supervisor.reloaded(now, "a", 1, true, "", "C2");
        assertEquals("", a().fault());
        actions.takeActions();
        advanceTime(2000, () -> supervisor.probed(now, "a", 1, true, "", "C2"));
        assertEquals(List.of(), actions.takeActions());
    }

    /** A requested reload must not be lost, even if the configuration is unchanged. */
    @Test
    void retriesUndeliveredReloadOfUnchangedConfiguration() {
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
