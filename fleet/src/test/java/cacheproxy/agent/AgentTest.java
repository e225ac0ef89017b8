package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.control.ControlCodec;
import cacheproxy.control.InstanceLock;
import cacheproxy.supervise.JournalRecord;
import cacheproxy.supervise.Supervisor;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real agent with real instances: reports of instances that hang, crash or fail to start, and agent restarts. */
@Timeout(200)
class AgentTest {
    /** An invalid JVM option, so that the instance exits at once; cheaper than a full start. */
    private static final String INVALID_JVM_OPTION = ",\"-XX:+NoSuchFlag\"";

    private static final String QUICK_POLICY = "\"probeMs\":300,\"hungAfterMs\":1000,\"stopWithinMs\":6000,"
            + "\"readyWithinMs\":60000,\"backoffMs\":100,\"giveUpAfter\":3,\"forkMs\":1500";

    private static AgentRig rig(int instances) throws Exception {
        AgentRig rig = new AgentRig(instances);
        rig.policy = QUICK_POLICY;
        return rig;
    }

    private static void startAndApply(AgentRig rig) throws Exception {
        rig.startAndAwait();
        rig.callOk("apply", "site", rig.site());
        rig.await("all to be ready", () -> rig.allInState("ready"));
    }

    private static String faultOf(AgentRig rig, String name) throws IOException {
        return String.valueOf(rig.instance(name).get("trouble"));
    }

    private static void assertRejected(AgentRig rig, String site, String why) throws Exception {
        Map<String, Object> reply = rig.call("apply", "site", site);
        assertEquals(false, reply.get("ok"), reply.toString());
        assertTrue(String.valueOf(reply.get("error")).contains(why), reply.toString());
    }

    private static long msSince(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    // ---- hung instances are never reported as stopped ----

    /** Guards against reporting a hung instance as stopped, after which a second process would be started beside it. */
    @Test
    void reportsSuspendedInstanceAsHungUntilItContinues() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"stopWithinMs\":6000", "\"stopWithinMs\":1500");
            startAndApply(rig);
            long pid = rig.pid("p0");
            AgentRig.signal("STOP", pid);
            long startNs = System.nanoTime();
            rig.await("to be reported as hung", () -> rig.isInState("hung", "p0"));
            long ms = msSince(startNs);
            assertTrue(ms >= 700 && ms < 10_000, "reported after " + ms + " ms");
            assertTrue(faultOf(rig, "p0").contains("SIGSTOP"), () -> rig.diagnostics());
            AgentRig.signal("CONT", pid);
            rig.await("to be ready again", () -> rig.isInState("ready", "p0"));
            assertEquals(pid, rig.pid("p0"));

            // a process stopped by SIGSTOP does not handle SIGTERM, so it does not exit
            AgentRig.signal("STOP", pid);
            rig.callOk("stop", "names", List.of("p0"));
            rig.await("to be reported as hung", () -> rig.isInState("hung", "p0"));
            assertTrue(faultOf(rig, "p0").contains("does not end"), () -> rig.diagnostics());
            rig.kill();
            rig.startAndAwait();
            rig.await("to be reported as hung by the next agent", () -> {
                assertFalse(rig.isInState("stopped", "p0"), "reported as stopped while its process runs");
                return rig.isInState("hung", "p0");
            });
            assertEquals(Map.of("p0", Set.of(pid)), rig.observer.scan());
            assertFalse(rig.hasEvent("SIGKILL"), () -> rig.diagnostics());
            AgentRig.signal("CONT", pid);
            rig.await("to be stopped", () -> rig.isInState("stopped", "p0"));
            assertEquals(Map.of(), rig.observer.scan());
            rig.assertStarts(1);
        }
    }

    /** The shell starts the agent with SIGTERM ignored; its instances inherit this, and the JVM does not change it. */
    @Test
    void reportsInstanceThatIgnoresSigtermAsHung() throws Exception {
        try (AgentRig rig = rig(2)) {
            rig.policy = QUICK_POLICY.replace("\"stopWithinMs\":6000", "\"stopWithinMs\":1500");
            rig.startAgent("trap '' TERM", new String[0]);
            rig.awaitAnswer();
            rig.callOk("apply", "site", rig.site());
            rig.await("all to be ready", () -> rig.allInState("ready"));
            long pid = rig.pid("p0");
            AgentRig.signal("TERM", pid);
            rig.callOk("stop", "names", List.of("p0"));
            rig.await("to be reported as hung", () -> rig.isInState("hung", "p0"));
            assertTrue(faultOf(rig, "p0").contains("does not end"), () -> rig.diagnostics());
            assertEquals(Set.of(pid), rig.observer.scan().get("p0"));
            String listOutput = runListTool(rig, 1);
            assertTrue(listOutput.matches("(?s).*p0 +hung .*does not end: SIGTERM.*p1 +ready .*"), listOutput);
            assertFalse(rig.hasEvent("SIGKILL"), () -> rig.diagnostics());
            AgentRig.signal("KILL", pid);
            rig.await("to be stopped", () -> rig.isInState("stopped", "p0"));
            listOutput = runListTool(rig, 0);
            assertTrue(listOutput.matches("(?s).*p0 +stopped .*p1 +ready .*"), listOutput);
            rig.assertStarts(1);
        }
    }

    /** The output of the command line tool, run as a separate process. */
    private static String runListTool(AgentRig rig, int code) throws Exception {
        Process tool = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cacheproxy.fleet.Main",
                        "ctl",
                        "list",
                        "--agent",
                        rig.folder.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(code, tool.waitFor(), output);
        return output;
    }

    @Test
    void killsHungInstanceIfThePolicyAllowsAndLogsIt() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy += ",\"killAfterMs\":500";
            startAndApply(rig);
            long pid = rig.pid("p0");
            AgentRig.signal("STOP", pid);
            rig.await("to be killed", () -> rig.hasEvent("SIGKILL, as its policy says"));
            rig.await("to be started again", () -> rig.isInState("ready", "p0") && rig.pid("p0") != pid);
            assertTrue(rig.hasEvent("p0 hung: its process is stopped (SIGSTOP)"), () -> rig.diagnostics());
            assertTrue(rig.hasEvent("p0 crashed, code 137"), () -> rig.diagnostics());
            rig.assertStarts(2);
        }
    }

    // ---- crashes ----

    @Test
    void reportsCrashAndRestartsInstance() throws Exception {
        try (AgentRig rig = rig(1)) {
            startAndApply(rig);
            for (boolean adopted : new boolean[] {false, true}) {
                long pid = rig.pid("p0");
                AgentRig.signal("KILL", pid);
                long startNs = System.nanoTime();
                String expectedEvent = adopted ? "p0 crashed, code unknown" : "p0 crashed, code 137";
                rig.await("the crash to be reported", () -> rig.hasEvent(expectedEvent));
                long reportedMs = msSince(startNs);
                rig.await("to be ready again", () -> rig.isInState("ready", "p0") && rig.pid("p0") != pid);
                System.out.println((adopted ? "adopted" : "own") + ": reported " + reportedMs
                        + " ms after SIGKILL, ready " + msSince(startNs) + " ms after it");
                assertTrue(reportedMs < 5_000, "reported after " + reportedMs + " ms");
                rig.kill();
                rig.startAndAwait();
                rig.await("to be adopted", () -> rig.isInState("ready", "p0"));
            }
            rig.assertStarts(3);
        }
    }

    /** Guards against endless restarts, and against an agent restart that resets the count of crashes. */
    @Test
    void givesUpCrashingInstanceUntilAStartCommand() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.extraJvmOptions = INVALID_JVM_OPTION;
            rig.startAndAwait();
            rig.callOk("apply", "site", rig.site());
            rig.await("to be given up", () -> rig.isInState("given up", "p0"));
            assertTrue(faultOf(rig, "p0").contains("crashed 3 times in a row"), () -> rig.diagnostics());
            assertTrue(
                    rig.hasEvent("is started again in 100 ms") && rig.hasEvent("is started again in 200 ms"),
                    () -> rig.diagnostics());
            assertEquals("1", rig.instance("p0").get("exitCode"));
            rig.kill();
            rig.startAndAwait();
            rig.await("to be given up after the agent restart", () -> rig.isInState("given up", "p0"));
            assertEquals(3, rig.instance("p0").get("start"));

            rig.callOk("start", "names", List.of("p0"));
            rig.await(
                    "to be given up again",
                    () -> rig.isInState("given up", "p0")
                            && Integer.valueOf(6).equals(rig.instance("p0").get("start")));
            rig.extraJvmOptions = "";
            rig.callOk("apply", "site", rig.site());
            rig.callOk("start", "names", List.of("p0"));
            rig.await("to be ready", () -> rig.isInState("ready", "p0"));
            assertEquals(1, rig.startCount("p0"));
        }
    }

    @Test
    void reportsReasonWhenThePortIsInUse() throws Exception {
        try (AgentRig rig = rig(1);
                ServerSocket portHolder = new ServerSocket(rig.ports[0], 1, InetAddress.getLoopbackAddress())) {
            assertTrue(portHolder.isBound());
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1");
            rig.startAndAwait();
            rig.callOk("apply", "site", rig.site());
            rig.await("to be given up", () -> rig.isInState("given up", "p0"));
            assertEquals("2", rig.instance("p0").get("exitCode"));
            assertTrue(faultOf(rig, "p0").contains("already in use"), () -> rig.diagnostics());
        }
    }

    // ---- held name locks ----

    @Test
    void supervisorUsesTheExitCodeOfTheInstanceLock() {
        // the supervisor has its own constant, since it does not depend on the control package
        assertEquals(InstanceLock.EXIT_CODE_HELD, Supervisor.NAME_HELD_EXIT_CODE);
    }

    /**
     * Guards against an instance that keeps serving although its end is in the journal: its name would count crashes,
     * and nothing would terminate it.
     */
    @Test
    void adoptsLockHolderFoundByTheSecretOfItsStart() throws Exception {
        try (AgentRig rig = rig(1)) {
            startAndApply(rig);
            long pid = rig.pid("p0");
            rig.kill();
            try (Journal journal = Journal.open(rig.folder.resolve("journal"), entry -> {})) {
                // makes the next agent assume that the process has ended
                journal.append(new JournalRecord.ProcessEnded("p0", 1, -1, 0));
            }
            rig.startAndAwait();
            rig.await("the holder to be adopted", () -> rig.isInState("ready", "p0") && rig.pid("p0") == pid);
            assertTrue(rig.hasEvent("ended, code 3: its name is held by another process"), () -> rig.diagnostics());
            assertTrue(rig.hasEvent("start 1 holds its name: adopted, pid " + pid), () -> rig.diagnostics());
            assertFalse(rig.hasEvent("p0 crashed"), () -> rig.diagnostics());
            rig.kill();
            rig.startAndAwait();
            rig.await("to be adopted by the next agent", () -> rig.isInState("ready", "p0") && rig.pid("p0") == pid);
            rig.callOk("stop", "names", List.of("p0"));
            rig.await("to be stopped", () -> rig.isInState("stopped", "p0"));
            assertEquals(Map.of(), rig.observer.scan());
        }
    }

    /** Guards against giving up an instance while its name is held, and against not starting it afterwards. */
    @Test
    void startsInstanceOnceAnUnknownProcessReleasesItsName() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1,\"backoffMostMs\":400");
            rig.startAndAwait();
            Path lock = rig.folder.resolve("run").resolve("p0.sock.lock");
            Files.createDirectories(lock.getParent());
            try (RandomAccessFile file = new RandomAccessFile(lock.toFile(), "rw")) {
                assertTrue(file.getChannel().tryLock().isValid());
                rig.callOk("apply", "site", rig.site());
                rig.await(
                        "to be started repeatedly",
                        () -> rig.log("p0")
                                        .lines()
                                        .filter(l -> l.contains("is held by another process"))
                                        .count()
                                >= 3);
                rig.await(
                        "the fault to be reported",
                        () -> faultOf(rig, "p0").contains("its name is held by another process"));
                assertFalse(rig.hasEvent("given up"), () -> rig.diagnostics());
            }
            rig.await("to be ready", () -> rig.isInState("ready", "p0"));
        }
    }

    // ---- reloads ----

    /** Guards against treating an undelivered reload as a rejection, after which it would not be retried. */
    @Test
    void retriesUndeliveredReloadWithoutReportingARejection() throws Exception {
        try (AgentRig rig = rig(1)) {
            startAndApply(rig);
            long pid = rig.pid("p0");
            AgentRig.signal("STOP", pid);
            rig.callOk("reload", "names", List.of("p0"));
            rig.await("the reload to be reported as failed", () -> rig.hasEvent("p0 reload failed: "));
            AgentRig.signal("CONT", pid);
            rig.await("to be reloaded", () -> rig.hasEvent("p0 configuration taken"));
            assertFalse(rig.hasEvent("configuration refused"), () -> rig.diagnostics());
            rig.await("to be ready", () -> rig.isInState("ready", "p0"));
            assertEquals(pid, rig.pid("p0"));
        }
    }

    // ---- exit and start of the agent ----

    @ParameterizedTest
    @ValueSource(strings = {"TERM", "INT"})
    void keepsInstancesRunningAndAdoptsThemAfterAgentExit(String signal) throws Exception {
        try (AgentRig rig = rig(2)) {
            startAndApply(rig);
            Map<String, Long> before = rig.pids();
            AgentRig.signal(signal, rig.agent.pid());
            rig.awaitExit();
            assertTrue(rig.hasEvent("agent ends; instances go on"), () -> rig.diagnostics());
            assertEquals(before.keySet(), rig.observer.scan().keySet());
            rig.startAndAwait();
            rig.await("all to be adopted", () -> rig.allInState("ready"));
            assertEquals(before, rig.pids());
            rig.assertStarts(1);
        }
    }

    /** A background job of a script inherits SIGINT as ignored; a Ctrl-C for the script must not end the agent. */
    @Test
    void ignoresSigintIfItWasInheritedAsIgnored() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.sigintIgnored = true;
            startAndApply(rig);
            AgentRig.signal("INT", rig.agent.pid());
            rig.callOk("reload", "names", List.of("p0")); // its reply arrives after the signal was handled
            assertTrue(rig.agent.isAlive(), () -> rig.diagnostics());
            AgentRig.signal("TERM", rig.agent.pid());
            rig.awaitExit();
            assertTrue(rig.hasEvent("agent ends; instances go on"), () -> rig.diagnostics());
        }
    }

    @Test
    void rejectsSecondAgentOnTheSameFolder() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.startAndAwait();
            Process first = rig.agent;
            rig.startAgent();
            assertEquals(InstanceLock.EXIT_CODE_HELD, rig.awaitExit());
            assertTrue(
                    rig.output().contains("the name agent is held by another process (pid " + first.pid() + ")"),
                    rig.output());
            assertTrue(first.isAlive());
            assertEquals(Map.of(), rig.list());
        }
    }

    // ---- the journal ----

    @Test
    void cutsOffTornJournalLineAndAdoptsRunningInstance() throws Exception {
        try (AgentRig rig = rig(1)) {
            startAndApply(rig);
            Map<String, Long> before = rig.pids();
            rig.kill();
            try (RandomAccessFile journal =
                    new RandomAccessFile(rig.folder.resolve("journal").toFile(), "rw")) {
                journal.setLength(journal.length() - 3); // cuts the record that holds the pid
            }
            rig.startAndAwait();
            rig.await("the instance to be adopted", () -> rig.allInState("ready"));
            assertEquals(before, rig.pids());
            rig.assertStarts(1);
        }
    }

    @Test
    void rejectsDamagedOrNewerJournalWithoutChangingIt() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1");
            rig.extraJvmOptions = INVALID_JVM_OPTION;
            rig.startAndAwait();
            rig.callOk("apply", "site", rig.site());
            rig.await("to be given up", () -> rig.isInState("given up", "p0"));
            rig.kill();
            Path journal = rig.folder.resolve("journal");
            List<String> lines = Files.readAllLines(journal, StandardCharsets.ISO_8859_1);
            assertJournalRejected(
                    rig,
                    journal,
                    String.join("\n", lines).replaceFirst("intent", "intenT") + "\n",
                    "is damaged in line 3, byte ");
            lines.set(0, journalLine("{\"journal\":2}"));
            assertJournalRejected(rig, journal, String.join("\n", lines) + "\n", "is of version 2, written by a newer");
        }
    }

    private static String journalLine(String object) {
        CRC32C crc = new CRC32C();
        crc.update(object.getBytes(StandardCharsets.ISO_8859_1));
        return String.format("%08x", crc.getValue()) + " " + object;
    }

    /** Guards against adopting or terminating an unrelated process that got the pid of a crashed instance. */
    @Test
    void neitherAdoptsNorTerminatesUnrelatedProcessWithTheSamePid() throws Exception {
        Process unrelatedProcess = new ProcessBuilder("sleep", "600").start();
        try (AgentRig rig = rig(1)) {
            startAndApply(rig);
            long pid = rig.pid("p0");
            rig.kill();
            AgentRig.signal("KILL", pid);
            Path journal = rig.folder.resolve("journal");
            List<String> lines = Files.readAllLines(journal, StandardCharsets.ISO_8859_1);
            int before = lines.hashCode();
            lines.replaceAll(l -> l.contains("\"pid\":" + pid + ",")
                    ? journalLine(
                            l.substring(9).replace("\"pid\":" + pid + ",", "\"pid\":" + unrelatedProcess.pid() + ","))
                    : l);
            assertNotEquals(before, lines.hashCode(), "the journal does not contain this pid");
            Files.writeString(journal, String.join("\n", lines) + "\n", StandardCharsets.ISO_8859_1);
            rig.startAndAwait();
            rig.await("the instance to be started again", () -> rig.isInState("ready", "p0"));
            assertNotEquals(unrelatedProcess.pid(), rig.pid("p0"));
            rig.callOk("stop", "names", List.of("p0"));
            rig.await("to be stopped", () -> rig.isInState("stopped", "p0"));
            assertTrue(unrelatedProcess.isAlive());
            rig.assertStarts(2);
        } finally {
            unrelatedProcess.destroyForcibly();
        }
    }

    private static void assertJournalRejected(AgentRig rig, Path journal, String text, String why) throws Exception {
        Files.writeString(journal, text, StandardCharsets.ISO_8859_1);
        rig.startAgent();
        assertEquals(2, rig.awaitExit(), rig.output());
        assertTrue(rig.output().contains(why), rig.output());
        assertEquals(text, Files.readString(journal, StandardCharsets.ISO_8859_1));
    }

    /** Guards against starting an instance that is not in the journal, and against an agent exit on a full disk. */
    @Test
    void reportsFullDiskAndRejectsCommandsThatCannotBeJournaled() throws Exception {
        try (AgentRig rig = rig(1)) {
            startAndApply(rig);
            long pid = rig.pid("p0");
            rig.kill();
            // limits files to 8 kB; repeated start commands soon fill what is left for the journal
            rig.startAgent("ulimit -f 16", new String[0]);
            rig.awaitAnswer();
            rig.await("to be adopted", () -> rig.isInState("ready", "p0"));
            rig.await(
                    "the journal to be full",
                    () -> Boolean.TRUE.equals(
                                    rig.call("start", "names", List.of("p0")).get("ok"))
                            && "the journal cannot be written"
                                    .equals(rig.callOk("list").get("trouble")));
            Map<String, Object> results = rig.callOk("stop", "names", List.of("p0"));
            assertEquals(Map.of("p0", "the journal cannot be written: nothing is changed"), results.get("results"));
            assertEquals(Boolean.TRUE, rig.instance("p0").get("wanted"));
            assertRejected(rig, rig.site(), "the journal cannot be written: nothing is changed");
            AgentRig.signal("KILL", pid);
            rig.await("the crash to be reported", () -> rig.hasEvent("p0 crashed"));
            rig.await("not to be started", () -> faultOf(rig, "p0").contains("the journal cannot be written"));
            assertEquals(Map.of(), rig.observer.scan());
            rig.kill();
            rig.startAndAwait();
            rig.await("to be started by the next agent", () -> rig.isInState("ready", "p0"));
            rig.assertStarts(2);
        }
    }

    // ---- rejected sites ----

    @Test
    void rejectsInvalidSiteWithoutAnyChange() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1");
            rig.extraJvmOptions = INVALID_JVM_OPTION;
            rig.startAndAwait();
            rig.callOk("apply", "site", rig.site());
            rig.await("to be given up", () -> rig.isInState("given up", "p0"));
            Map<String, Object> before = rig.instance("p0");
            byte[] journal = Files.readAllBytes(rig.folder.resolve("journal"));
            assertRejected(
                    rig, rig.site(rig.group("p{i}", 0, 2, ""), rig.group("p1", 0, 1, "")), "p1 is declared twice");
            assertRejected(rig, rig.site(rig.group("p{i}", 0, 1, ",\"confguration\":{}")), "meant is perhaps");
            assertRejected(rig, rig.site(rig.group("p/{i}", 0, 1, "")), "instances[0].name");
            assertRejected(rig, rig.site(rig.group("p{i}", 0, 1, ",\"program\":\"sh\"")), "program");
            assertRejected(rig, "{", "not a JSON object");
            String[] many = new String[150]; // with one configuration each, well over the request limit of an instance
            Arrays.setAll(many, i -> rig.group("q" + i, 0, 1, ""));
            many[149] = rig.group("q0", 0, 1, "");
            assertTrue(rig.site(many).length() > 2 * ControlCodec.MAX_REQUEST_BYTES);
            assertRejected(rig, rig.site(many), "q0 is declared twice");
            assertRejected(
                    rig,
                    " ".repeat(ControlCodec.MAX_SITE_REQUEST_BYTES) + "{",
                    "a request of more than " + ControlCodec.MAX_SITE_REQUEST_BYTES);
            assertEquals(before.get("start"), rig.instance("p0").get("start"));
            assertEquals(Set.of("p0"), rig.list().keySet());
            assertEquals(journal.length, Files.size(rig.folder.resolve("journal")));
        }
    }

    /** Guards against a rejection that restarts the instance, affects other instances, or is retried endlessly. */
    @Test
    void reportsRejectedConfigurationAndKeepsTheOldOne() throws Exception {
        try (AgentRig rig = rig(2)) {
            startAndApply(rig);
            Map<String, Long> before = rig.pids();
            String good = rig.group("p{i}", 0, 1, "");
            String bad = rig.group("p{i}", 1, 1, "").replace("\"tickMs\":5.0", "\"tickMs\":\"soon\"");
            rig.callOk("apply", "site", rig.site(good, bad));
            rig.await(
                    "the configuration to be rejected", () -> rig.instance("p1").containsKey("refused"));
            assertTrue(String.valueOf(rig.instance("p1").get("refused")).contains("tickMs"), () -> rig.diagnostics());
            assertTrue(rig.allInState("ready"), () -> rig.diagnostics());
            assertFalse(rig.instance("p0").containsKey("refused"));
            rig.callOk("apply", "site", rig.site());
            rig.await(
                    "no configuration to be rejected", () -> !rig.instance("p1").containsKey("refused"));
            assertEquals(before, rig.pids());
            rig.assertStarts(1);
        }
    }
}
