package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Kills the agent at every failpoint and at random times; the next agent must resume its work. The starts of instances
 * are counted from their own logs and from /proc. {@code -Dagent.instances=20} runs the full test.
 */
@Timeout(400)
class AgentKillTest {
    private static final int INSTANCES = Integer.getInteger("agent.instances", 8);
    private static final int SERVING_INSTANCES = Integer.getInteger("agent.instances", 4);

    /** All instances become ready, none was started twice, and those that ran before keep their pids. */
    private static void assertAllReadyAndStartedOnce(AgentRig rig, Map<String, Long> pidsBefore) throws Exception {
        rig.await("all to be ready", () -> rig.allInState("ready"));
        rig.assertStarts(1);
        Map<String, Long> pidsNow = rig.pids();
        pidsBefore.forEach((name, pid) -> assertEquals(pid, pidsNow.get(name), name));
    }

    private static Map<String, Long> runningPids(AgentRig rig) {
        Map<String, Long> pids = new TreeMap<>();
        rig.observer
                .scan()
                .forEach((name, instancePids) ->
                        pids.put(name, instancePids.iterator().next()));
        return pids;
    }

    private static void applyAndAwaitDeath(AgentRig rig) throws Exception {
        try {
            rig.call("apply", "site", rig.site());
        } catch (IOException e) {
            // the agent died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.awaitExit(), rig.output());
    }

    @Test
    void startsEachInstanceOnceWhenAgentsDieAtSuccessiveFailpoints() throws Exception {
        try (AgentRig rig = new AgentRig(INSTANCES)) {
            rig.startAndAwait("-Dcacheproxy.failpoint=after-SiteDeclared:1");
            applyAndAwaitDeath(rig);
            for (String point : List.of(
                    "before-StartAnnounced:2",
                    "after-StartAnnounced:1",
                    "before-fork:1",
                    "after-fork:2",
                    "before-ProcessStarted:1",
                    "after-ProcessStarted:1")) {
                rig.startAgent("-Dcacheproxy.failpoint=" + point);
                assertEquals(Failpoint.EXIT_CODE, rig.awaitExit(), point);
            }
            Map<String, Long> pidsBefore = runningPids(rig);
            rig.startAndAwait();
            assertAllReadyAndStartedOnce(rig, pidsBefore);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "before-StartAnnounced",
                "after-StartAnnounced",
                "before-fork",
                "after-fork",
                "before-ProcessStarted",
                "after-ProcessStarted"
            })
    @EnabledIfSystemProperty(named = "agent.instances", matches = "\\d+")
    void startsEachInstanceOnceWhenTheAgentDiesAtItsFifthStart(String point) throws Exception {
        try (AgentRig rig = new AgentRig(INSTANCES)) {
            rig.startAndAwait("-Dcacheproxy.failpoint=" + point + ":5");
            applyAndAwaitDeath(rig);
            Map<String, Long> pidsBefore = runningPids(rig);
            rig.startAndAwait();
            assertAllReadyAndStartedOnce(rig, pidsBefore);
        }
    }

    @Test
    void startsEachInstanceOnceWhenAgentsAreKilledAtRandomTimes() throws Exception {
        killAtRandomTimes(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 5, 6, 7})
    @EnabledIfSystemProperty(named = "agent.instances", matches = "\\d+")
    void startsEachInstanceOnceWhenAgentsAreKilledAtRandomTimes(long seed) throws Exception {
        killAtRandomTimes(seed);
    }

    private static void killAtRandomTimes(long seed) throws Exception {
        Random random = new Random(seed);
        try (AgentRig rig = new AgentRig(INSTANCES)) {
            rig.startAndAwait();
            rig.callOk("apply", "site", rig.site());
            for (int i = 0; i < 4; i++) {
                Thread.sleep(random.nextInt(i == 0 ? 300 : 1500)); // the agent is killed at a random time
                rig.kill();
                rig.startAgent();
            }
            Map<String, Long> pidsBefore = runningPids(rig);
            rig.awaitAnswer();
            assertAllReadyAndStartedOnce(rig, pidsBefore);
        }
    }

    /**
     * Guards against a rolling restart that an agent death leaves unfinished, repeats, or lets exceed its limit of
     * instances down at once.
     */
    @Test
    void resumesReloadRollingRestartAndStopWithoutFailedRequests() throws Exception {
        try (AgentRig rig = new AgentRig(SERVING_INSTANCES)) {
            rig.startAndAwait();
            rig.callOk("apply", "site", rig.site());
            rig.await("all to be ready", () -> rig.allInState("ready"));
            Map<String, Long> initialPids = rig.pids();
            try (SteadyLoad load = new SteadyLoad(rig.ports, rig.node, 3)) {
                reload(rig);
                assertEquals(initialPids, rig.pids(), "a reload must not restart an instance");
                rollingRestart(rig);
                rig.pids().forEach((name, pid) -> assertTrue(!pid.equals(initialPids.get(name)), name));
                assertEquals(
                        List.of(),
                        load.stopAndGetFailures(),
                        load.answered + " answered, " + load.resent + " sent to another");
                assertTrue(load.answered.get() > 100, load.answered + " answered");
                System.out.println("reload and roll of " + SERVING_INSTANCES + ": " + load.answered + " answered, "
                        + load.resent + " sent to another instance, none failed");
            }
            stop(rig);
            rig.assertStarts(2);
        }
    }

    private static void reload(AgentRig rig) throws Exception {
        rig.kill();
        rig.startAndAwait("-Dcacheproxy.failpoint=mid-reload:2");
        rig.await("all to be ready", () -> rig.allInState("ready"));
        rig.socketLimit = 2048;
        try {
            rig.call("apply", "site", rig.site());
        } catch (IOException e) {
            // the agent died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.awaitExit());
        rig.startAndAwait();
        rig.await(
                "all to have the new configuration",
                () -> IntStream.range(0, rig.ports.length).allMatch(i -> {
                    try {
                        return rig.log("p" + i).contains("configuration taken");
                    } catch (IOException e) {
                        return false;
                    }
                }));
        rig.await("all to be ready", () -> rig.allInState("ready"));
    }

    private static void rollingRestart(AgentRig rig) throws Exception {
        rig.kill();
        rig.startAndAwait("-Dcacheproxy.failpoint=after-RollingRestartInstanceBegun:1");
        rig.await("all to be ready", () -> rig.allInState("ready"));
        try {
            rig.call("roll", "names", List.of(), "mostDown", 1);
        } catch (IOException e) {
            // the agent died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.awaitExit());
        for (String point : List.of(
                "before-terminate:1",
                "after-terminate:1",
                "before-StartAnnounced:1",
                "after-fork:1",
                "after-RollingRestartInstanceDone:1")) {
            rig.startAgent("-Dcacheproxy.failpoint=" + point);
            assertEquals(Failpoint.EXIT_CODE, rig.awaitExit(), point);
        }
        rig.startAndAwait();
        rig.await("the rolling restart to end", () -> !rig.callOk("list").containsKey("rolling"));
        assertTrue(rig.hasEvent("is done"), () -> rig.diagnostics());
        rig.await("all to be ready", () -> rig.allInState("ready"));
    }

    private static void stop(AgentRig rig) throws Exception {
        rig.kill();
        rig.startAndAwait("-Dcacheproxy.failpoint=before-terminate:2");
        rig.await("all to be ready", () -> rig.allInState("ready"));
        try {
            rig.call("stop", "names", List.of());
        } catch (IOException e) {
            // the agent died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.awaitExit());
        rig.startAndAwait();
        List<String> names = List.copyOf(rig.list().keySet());
        rig.callOk("stop", "names", names); // the operator got no answer and repeats the command
        rig.await("all to be stopped", () -> rig.allInState("stopped"));
        assertEquals(Map.of(), rig.observer.scan());
    }
}
