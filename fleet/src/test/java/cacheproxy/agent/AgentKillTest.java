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
 * The agent dies at every point of what it does, by SIGKILL and by itself; the next one goes on. How often an instance
 * has begun is counted by the instances and the kernel. {@code -Dagent.instances=20} is the full form.
 */
@Timeout(400)
class AgentKillTest {
    private static final int INSTANCES = Integer.getInteger("agent.instances", 8);
    private static final int IN_SERVICE = Integer.getInteger("agent.instances", 4);

    /** All are ready, none was begun twice, and those that ran before have kept their pids. */
    private static void allReadyOnce(AgentRig rig, Map<String, Long> before) throws Exception {
        rig.until("all to be ready", () -> rig.all("ready"));
        rig.begun(1);
        Map<String, Long> now = rig.pids();
        before.forEach((name, pid) -> assertEquals(pid, now.get(name), name));
    }

    private static Map<String, Long> alive(AgentRig rig) {
        Map<String, Long> pids = new TreeMap<>();
        rig.running
                .look()
                .forEach((name, those) -> pids.put(name, those.iterator().next()));
        return pids;
    }

    private static void applyAndDie(AgentRig rig) throws Exception {
        try {
            rig.call("apply", "site", rig.site());
        } catch (IOException e) {
            // it has died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.ends(), rig.said());
    }

    @Test
    void dyingAtOnePointAfterTheOtherWhileItStartsThem() throws Exception {
        try (AgentRig rig = new AgentRig(INSTANCES)) {
            rig.up("-Dcacheproxy.failpoint=after-SiteDeclared:1");
            applyAndDie(rig);
            for (String point : List.of(
                    "before-StartAnnounced:2",
                    "after-StartAnnounced:1",
                    "before-fork:1",
                    "after-fork:2",
                    "before-ProcessStarted:1",
                    "after-ProcessStarted:1")) {
                rig.begin("-Dcacheproxy.failpoint=" + point);
                assertEquals(Failpoint.EXIT_CODE, rig.ends(), point);
            }
            Map<String, Long> before = alive(rig);
            rig.up();
            allReadyOnce(rig, before);
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
    void dyingAtThisPointOfTheFifth(String point) throws Exception {
        try (AgentRig rig = new AgentRig(INSTANCES)) {
            rig.up("-Dcacheproxy.failpoint=" + point + ":5");
            applyAndDie(rig);
            Map<String, Long> before = alive(rig);
            rig.up();
            allReadyOnce(rig, before);
        }
    }

    @Test
    void killedAtAnyTimeWhileItStartsThem() throws Exception {
        killedAtAnyTime(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 5, 6, 7})
    @EnabledIfSystemProperty(named = "agent.instances", matches = "\\d+")
    void killedAtAnyTimeWhileItStartsThem(long seed) throws Exception {
        killedAtAnyTime(seed);
    }

    private static void killedAtAnyTime(long seed) throws Exception {
        Random random = new Random(seed);
        try (AgentRig rig = new AgentRig(INSTANCES)) {
            rig.up();
            rig.done("apply", "site", rig.site());
            for (int i = 0; i < 4; i++) {
                Thread.sleep(random.nextInt(i == 0 ? 300 : 1500)); // the time of its death
                rig.kill();
                rig.begin();
            }
            Map<String, Long> before = alive(rig);
            rig.answers();
            allReadyOnce(rig, before);
        }
    }

    /** Danger: a restart is forgotten half-way, done twice, or takes two down at once where one may be. */
    @Test
    void reloadsRollsAndStopsGoOnAfterItsDeathAndNoRequestFails() throws Exception {
        try (AgentRig rig = new AgentRig(IN_SERVICE)) {
            rig.up();
            rig.done("apply", "site", rig.site());
            rig.until("all to be ready", () -> rig.all("ready"));
            Map<String, Long> first = rig.pids();
            try (SteadyLoad clients = new SteadyLoad(rig.ports, rig.node, 3)) {
                reload(rig);
                assertEquals(first, rig.pids(), "no reload is a restart");
                roll(rig);
                rig.pids().forEach((name, pid) -> assertTrue(!pid.equals(first.get(name)), name));
                assertEquals(
                        List.of(),
                        clients.end(),
                        clients.answered + " answered, " + clients.again + " sent to another");
                assertTrue(clients.answered.get() > 100, clients.answered + " answered");
                System.out.println("reload and roll of " + IN_SERVICE + ": " + clients.answered + " answered, "
                        + clients.again + " sent to another instance, none failed");
            }
            stop(rig);
            rig.begun(2);
        }
    }

    private static void reload(AgentRig rig) throws Exception {
        rig.kill();
        rig.up("-Dcacheproxy.failpoint=mid-reload:2");
        rig.until("all to be ready", () -> rig.all("ready"));
        rig.sockets = 2048;
        try {
            rig.call("apply", "site", rig.site());
        } catch (IOException e) {
            // it has died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.ends());
        rig.up();
        rig.until(
                "all to have the new configuration",
                () -> IntStream.range(0, rig.ports.length).allMatch(i -> {
                    try {
                        return rig.log("p" + i).contains("configuration taken");
                    } catch (IOException e) {
                        return false;
                    }
                }));
        rig.until("all to be ready", () -> rig.all("ready"));
    }

    private static void roll(AgentRig rig) throws Exception {
        rig.kill();
        rig.up("-Dcacheproxy.failpoint=after-RollingRestartInstanceBegun:1");
        rig.until("all to be ready", () -> rig.all("ready"));
        try {
            rig.call("roll", "names", List.of(), "mostDown", 1);
        } catch (IOException e) {
            // it has died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.ends());
        for (String point : List.of(
                "before-terminate:1",
                "after-terminate:1",
                "before-StartAnnounced:1",
                "after-fork:1",
                "after-RollingRestartInstanceDone:1")) {
            rig.begin("-Dcacheproxy.failpoint=" + point);
            assertEquals(Failpoint.EXIT_CODE, rig.ends(), point);
        }
        rig.up();
        rig.until("the roll to end", () -> !rig.done("list").containsKey("rolling"));
        assertTrue(rig.happened("is done"), () -> rig.account());
        rig.until("all to be ready", () -> rig.all("ready"));
    }

    private static void stop(AgentRig rig) throws Exception {
        rig.kill();
        rig.up("-Dcacheproxy.failpoint=before-terminate:2");
        rig.until("all to be ready", () -> rig.all("ready"));
        try {
            rig.call("stop", "names", List.of());
        } catch (IOException e) {
            // it has died before it answered
        }
        assertEquals(Failpoint.EXIT_CODE, rig.ends());
        rig.up();
        List<String> names = List.copyOf(rig.list().keySet());
        rig.done("stop", "names", names); // the operator saw no answer, and asks again
        rig.until("all to be stopped", () -> rig.all("stopped"));
        assertEquals(Map.of(), rig.running.look());
    }
}
