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

/** A real agent with real instances: what it tells of those that hang, crash or cannot start, and its own ends. */
@Timeout(200)
class AgentTest {
    /** A JVM that ends at once: it costs little. */
    private static final String NO_START = ",\"-XX:+NoSuchFlag\"";

    private static final String QUICK_POLICY = "\"probeMs\":300,\"hungAfterMs\":1000,\"stopWithinMs\":6000,"
            + "\"readyWithinMs\":60000,\"backoffMs\":100,\"giveUpAfter\":3,\"forkMs\":1500";

    private static AgentRig rig(int instances) throws Exception {
        AgentRig rig = new AgentRig(instances);
        rig.policy = QUICK_POLICY;
        return rig;
    }

    private static void applied(AgentRig rig) throws Exception {
        rig.up();
        rig.done("apply", "site", rig.site());
        rig.until("all to be ready", () -> rig.all("ready"));
    }

    private static String trouble(AgentRig rig, String name) throws IOException {
        return String.valueOf(rig.one(name).get("trouble"));
    }

    private static void refused(AgentRig rig, String site, String why) throws Exception {
        Map<String, Object> reply = rig.call("apply", "site", site);
        assertEquals(false, reply.get("ok"), reply.toString());
        assertTrue(String.valueOf(reply.get("error")).contains(why), reply.toString());
    }

    private static long msSince(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - ns);
    }

    // ---- hung, and never called stopped ----

    /** Danger: what hangs is called stopped, and a second one is started beside it. */
    @Test
    void oneThatIsStoppedBySignalIsToldAsHungInTimeAndIsReadyOnceItGoesOn() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"stopWithinMs\":6000", "\"stopWithinMs\":1500");
            applied(rig);
            long pid = rig.pid("p0");
            AgentRig.signal("STOP", pid);
            long since = System.nanoTime();
            rig.until("to be told as hung", () -> rig.in("hung", "p0"));
            long ms = msSince(since);
            assertTrue(ms >= 700 && ms < 10_000, "told after " + ms + " ms");
            assertTrue(trouble(rig, "p0").contains("SIGSTOP"), () -> rig.account());
            AgentRig.signal("CONT", pid);
            rig.until("to be ready again", () -> rig.in("ready", "p0"));
            assertEquals(pid, rig.pid("p0"));

            // an end that does not come: SIGTERM is not taken by one that is stopped
            AgentRig.signal("STOP", pid);
            rig.done("stop", "names", List.of("p0"));
            rig.until("to be told as hung", () -> rig.in("hung", "p0"));
            assertTrue(trouble(rig, "p0").contains("does not end"), () -> rig.account());
            rig.kill();
            rig.up();
            rig.until("to be told as hung by the next", () -> {
                assertFalse(rig.in("stopped", "p0"), "called stopped while it lives");
                return rig.in("hung", "p0");
            });
            assertEquals(Map.of("p0", Set.of(pid)), rig.running.look());
            assertFalse(rig.happened("SIGKILL"), () -> rig.account());
            AgentRig.signal("CONT", pid);
            rig.until("to be stopped", () -> rig.in("stopped", "p0"));
            assertEquals(Map.of(), rig.running.look());
            rig.begun(1);
        }
    }

    /** An agent that a shell started with SIGTERM ignored: so are its instances, which the JVM then leaves so. */
    @Test
    void oneThatIgnoresSigtermIsHungToAgentAndToolAndNeverStopped() throws Exception {
        try (AgentRig rig = rig(2)) {
            rig.policy = QUICK_POLICY.replace("\"stopWithinMs\":6000", "\"stopWithinMs\":1500");
            rig.begin("trap '' TERM", new String[0]);
            rig.answers();
            rig.done("apply", "site", rig.site());
            rig.until("all to be ready", () -> rig.all("ready"));
            long pid = rig.pid("p0");
            AgentRig.signal("TERM", pid);
            rig.done("stop", "names", List.of("p0"));
            rig.until("to be told as hung", () -> rig.in("hung", "p0"));
            assertTrue(trouble(rig, "p0").contains("does not end"), () -> rig.account());
            assertEquals(Set.of(pid), rig.running.look().get("p0"));
            String listed = listed(rig, 1);
            assertTrue(listed.matches("(?s).*p0 +hung .*does not end: SIGTERM.*p1 +ready .*"), listed);
            assertFalse(rig.happened("SIGKILL"), () -> rig.account());
            AgentRig.signal("KILL", pid);
            rig.until("to be stopped", () -> rig.in("stopped", "p0"));
            listed = listed(rig, 0);
            assertTrue(listed.matches("(?s).*p0 +stopped .*p1 +ready .*"), listed);
            rig.begun(1);
        }
    }

    /** What the tool prints, as a process of its own. */
    private static String listed(AgentRig rig, int code) throws Exception {
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
        String said = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(code, tool.waitFor(), said);
        return said;
    }

    @Test
    void onlyAPolicyThatSaysSoKillsOneThatHangsAndItIsSaid() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy += ",\"killAfterMs\":500";
            applied(rig);
            long pid = rig.pid("p0");
            AgentRig.signal("STOP", pid);
            rig.until("to be killed", () -> rig.happened("SIGKILL, as its policy says"));
            rig.until("to be started again", () -> rig.in("ready", "p0") && rig.pid("p0") != pid);
            assertTrue(rig.happened("p0 hung: its process is stopped (SIGSTOP)"), () -> rig.account());
            assertTrue(rig.happened("p0 crashed, code 137"), () -> rig.account());
            rig.begun(2);
        }
    }

    // ---- crashes ----

    @Test
    void aCrashIsSeenAndItIsStartedAgain() throws Exception {
        try (AgentRig rig = rig(1)) {
            applied(rig);
            for (boolean adopted : new boolean[] {false, true}) {
                long pid = rig.pid("p0");
                AgentRig.signal("KILL", pid);
                long since = System.nanoTime();
                String said = adopted ? "p0 crashed, code unknown" : "p0 crashed, code 137";
                rig.until("the crash to be told", () -> rig.happened(said));
                long told = msSince(since);
                rig.until("to be ready again", () -> rig.in("ready", "p0") && rig.pid("p0") != pid);
                System.out.println((adopted ? "adopted" : "own") + ": told " + told + " ms after SIGKILL, ready "
                        + msSince(since) + " ms after it");
                assertTrue(told < 5_000, "told after " + told + " ms");
                rig.kill();
                rig.up();
                rig.until("to be adopted", () -> rig.in("ready", "p0"));
            }
            rig.begun(3);
        }
    }

    /** Danger: it is started again and again without end, or a restart of the agent begins it anew. */
    @Test
    void oneThatDiesAgainAndAgainIsGivenUpUntilSomebodyStartsIt() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.jvm = NO_START;
            rig.up();
            rig.done("apply", "site", rig.site());
            rig.until("to be given up", () -> rig.in("given up", "p0"));
            assertTrue(trouble(rig, "p0").contains("crashed 3 times in a row"), () -> rig.account());
            assertTrue(
                    rig.happened("is started again in 100 ms") && rig.happened("is started again in 200 ms"),
                    () -> rig.account());
            assertEquals("1", rig.one("p0").get("exitCode"));
            rig.kill();
            rig.up();
            rig.until("to be given up still", () -> rig.in("given up", "p0"));
            assertEquals(3, rig.one("p0").get("start"));

            rig.done("start", "names", List.of("p0"));
            rig.until(
                    "to be given up again",
                    () -> rig.in("given up", "p0")
                            && Integer.valueOf(6).equals(rig.one("p0").get("start")));
            rig.jvm = "";
            rig.done("apply", "site", rig.site());
            rig.done("start", "names", List.of("p0"));
            rig.until("to be ready", () -> rig.in("ready", "p0"));
            assertEquals(1, rig.begun("p0"));
        }
    }

    @Test
    void aPortThatIsTakenIsReportedWithItsReason() throws Exception {
        try (AgentRig rig = rig(1);
                ServerSocket other = new ServerSocket(rig.ports[0], 1, InetAddress.getLoopbackAddress())) {
            assertTrue(other.isBound());
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1");
            rig.up();
            rig.done("apply", "site", rig.site());
            rig.until("to be given up", () -> rig.in("given up", "p0"));
            assertEquals("2", rig.one("p0").get("exitCode"));
            assertTrue(trouble(rig, "p0").contains("already in use"), () -> rig.account());
        }
    }

    // ---- its name is held ----

    @Test
    void theCoreKnowsTheCodeOfOneWhoseNameIsHeld() {
        assertEquals(InstanceLock.EXIT_CODE_HELD, Supervisor.NAME_HELD_EXIT_CODE); // the core depends on no channel
    }

    /** Danger: the one that serves is taken for gone, its name counts crashes, and nobody ends it. */
    @Test
    void oneThatHoldsItsNameIsFoundByTheSecretOfItsStart() throws Exception {
        try (AgentRig rig = rig(1)) {
            applied(rig);
            long pid = rig.pid("p0");
            rig.kill();
            try (Journal journal = Journal.open(rig.folder.resolve("journal"), entry -> {})) {
                journal.append(new JournalRecord.ProcessEnded("p0", 1, -1, 0)); // so the next agent believes
            }
            rig.up();
            rig.until("the holder to be adopted", () -> rig.in("ready", "p0") && rig.pid("p0") == pid);
            assertTrue(rig.happened("ended, code 3: its name is held by another process"), () -> rig.account());
            assertTrue(rig.happened("start 1 holds its name: adopted, pid " + pid), () -> rig.account());
            assertFalse(rig.happened("p0 crashed"), () -> rig.account());
            rig.kill();
            rig.up();
            rig.until("to be adopted by the next", () -> rig.in("ready", "p0") && rig.pid("p0") == pid);
            rig.done("stop", "names", List.of("p0"));
            rig.until("to be stopped", () -> rig.in("stopped", "p0"));
            assertEquals(Map.of(), rig.running.look());
        }
    }

    /** Danger: it is given up while who has its name serves, or it is not started once the name is free. */
    @Test
    void oneWhoseNameAStrangerHoldsIsStartedOnceItIsFree() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1,\"backoffMostMs\":400");
            rig.up();
            Path lock = rig.folder.resolve("run").resolve("p0.sock.lock");
            Files.createDirectories(lock.getParent());
            try (RandomAccessFile file = new RandomAccessFile(lock.toFile(), "rw")) {
                assertTrue(file.getChannel().tryLock().isValid());
                rig.done("apply", "site", rig.site());
                rig.until(
                        "to be tried again and again",
                        () -> rig.log("p0")
                                        .lines()
                                        .filter(l -> l.contains("is held by another process"))
                                        .count()
                                >= 3);
                rig.until(
                        "the trouble to be told",
                        () -> trouble(rig, "p0").contains("its name is held by another process"));
                assertFalse(rig.happened("given up"), () -> rig.account());
            }
            rig.until("to be ready", () -> rig.in("ready", "p0"));
        }
    }

    // ---- reloads ----

    /** Danger: a configuration counts as refused that nobody has read, and is never asked for again. */
    @Test
    void aReloadThatDoesNotReachItIsNoRefusalAndIsAskedForAgain() throws Exception {
        try (AgentRig rig = rig(1)) {
            applied(rig);
            long pid = rig.pid("p0");
            AgentRig.signal("STOP", pid);
            rig.done("reload", "names", List.of("p0"));
            rig.until("to be told as failed", () -> rig.happened("p0 reload failed: "));
            AgentRig.signal("CONT", pid);
            rig.until("to be reloaded", () -> rig.happened("p0 configuration taken"));
            assertFalse(rig.happened("configuration refused"), () -> rig.account());
            rig.until("to be ready", () -> rig.in("ready", "p0"));
            assertEquals(pid, rig.pid("p0"));
        }
    }

    // ---- the agent's own ends and starts ----

    @ParameterizedTest
    @ValueSource(strings = {"TERM", "INT"})
    void instancesOutliveItAndAreAdopted(String signal) throws Exception {
        try (AgentRig rig = rig(2)) {
            applied(rig);
            Map<String, Long> before = rig.pids();
            AgentRig.signal(signal, rig.agent.pid());
            rig.ends();
            assertTrue(rig.happened("agent ends; instances go on"), () -> rig.account());
            assertEquals(before.keySet(), rig.running.look().keySet());
            rig.up();
            rig.until("all to be adopted", () -> rig.all("ready"));
            assertEquals(before, rig.pids());
            rig.begun(1);
        }
    }

    /** Danger: a script's background inherits SIGINT as ignored; a Ctrl-C meant for others would end the agent. */
    @Test
    void whereSigintIsInheritedAsIgnoredItStaysSoAndOnlySigtermEndsIt() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.ignoresInt = true;
            applied(rig);
            AgentRig.signal("INT", rig.agent.pid());
            rig.done("reload", "names", List.of("p0")); // its answer comes after the signal was dealt with
            assertTrue(rig.agent.isAlive(), () -> rig.account());
            AgentRig.signal("TERM", rig.agent.pid());
            rig.ends();
            assertTrue(rig.happened("agent ends; instances go on"), () -> rig.account());
        }
    }

    @Test
    void aSecondAgentOnTheSameFolderEndsWithALine() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.up();
            Process first = rig.agent;
            rig.begin();
            assertEquals(InstanceLock.EXIT_CODE_HELD, rig.ends());
            assertTrue(
                    rig.said().contains("the name agent is held by another process (pid " + first.pid() + ")"),
                    rig.said());
            assertTrue(first.isAlive());
            assertEquals(Map.of(), rig.list());
        }
    }

    // ---- the journal ----

    @Test
    void aTornLastLineIsCutOffAndWhatRunsIsFoundAllTheSame() throws Exception {
        try (AgentRig rig = rig(1)) {
            applied(rig);
            Map<String, Long> before = rig.pids();
            rig.kill();
            try (RandomAccessFile journal =
                    new RandomAccessFile(rig.folder.resolve("journal").toFile(), "rw")) {
                journal.setLength(journal.length() - 3); // of the line that tells its pid
            }
            rig.up();
            rig.until("it to be adopted", () -> rig.all("ready"));
            assertEquals(before, rig.pids());
            rig.begun(1);
        }
    }

    @Test
    void aDamagedOrNewerJournalIsRefusedAndNothingIsChanged() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1");
            rig.jvm = NO_START;
            rig.up();
            rig.done("apply", "site", rig.site());
            rig.until("to be given up", () -> rig.in("given up", "p0"));
            rig.kill();
            Path journal = rig.folder.resolve("journal");
            List<String> lines = Files.readAllLines(journal, StandardCharsets.ISO_8859_1);
            refusedJournal(
                    rig,
                    journal,
                    String.join("\n", lines).replaceFirst("intent", "intenT") + "\n",
                    "is damaged in line 3, byte ");
            lines.set(0, summed("{\"journal\":2}"));
            refusedJournal(rig, journal, String.join("\n", lines) + "\n", "is of version 2, written by a newer");
        }
    }

    private static String summed(String object) {
        CRC32C crc = new CRC32C();
        crc.update(object.getBytes(StandardCharsets.ISO_8859_1));
        return String.format("%08x", crc.getValue()) + " " + object;
    }

    /** Danger: after a crash the kernel gives the pid to a stranger, who is then adopted, or ended. */
    @Test
    void aStrangerWithAnInstancesPidIsNeitherTakenForItNorEnded() throws Exception {
        Process stranger = new ProcessBuilder("sleep", "600").start();
        try (AgentRig rig = rig(1)) {
            applied(rig);
            long pid = rig.pid("p0");
            rig.kill();
            AgentRig.signal("KILL", pid);
            Path journal = rig.folder.resolve("journal");
            List<String> lines = Files.readAllLines(journal, StandardCharsets.ISO_8859_1);
            int before = lines.hashCode();
            lines.replaceAll(l -> l.contains("\"pid\":" + pid + ",")
                    ? summed(l.substring(9).replace("\"pid\":" + pid + ",", "\"pid\":" + stranger.pid() + ","))
                    : l);
            assertNotEquals(before, lines.hashCode(), "the journal has no such pid");
            Files.writeString(journal, String.join("\n", lines) + "\n", StandardCharsets.ISO_8859_1);
            rig.up();
            rig.until("it to be started again", () -> rig.in("ready", "p0"));
            assertNotEquals(stranger.pid(), rig.pid("p0"));
            rig.done("stop", "names", List.of("p0"));
            rig.until("to be stopped", () -> rig.in("stopped", "p0"));
            assertTrue(stranger.isAlive());
            rig.begun(2);
        } finally {
            stranger.destroyForcibly();
        }
    }

    private static void refusedJournal(AgentRig rig, Path journal, String text, String why) throws Exception {
        Files.writeString(journal, text, StandardCharsets.ISO_8859_1);
        rig.begin();
        assertEquals(2, rig.ends(), rig.said());
        assertTrue(rig.said().contains(why), rig.said());
        assertEquals(text, Files.readString(journal, StandardCharsets.ISO_8859_1));
    }

    /** Danger: an instance is started that no journal knows of, or the agent ends with its disk. */
    @Test
    void aFullDiskIsSaidAndNothingIsDoneThatCouldNotBeWrittenDown() throws Exception {
        try (AgentRig rig = rig(1)) {
            applied(rig);
            long pid = rig.pid("p0");
            rig.kill();
            // files of at most 8 kB: the journal has some left, which wishes soon fill
            rig.begin("ulimit -f 16", new String[0]);
            rig.answers();
            rig.until("to be adopted", () -> rig.in("ready", "p0"));
            rig.until(
                    "the journal to be full",
                    () -> Boolean.TRUE.equals(
                                    rig.call("start", "names", List.of("p0")).get("ok"))
                            && "the journal cannot be written"
                                    .equals(rig.done("list").get("trouble")));
            Map<String, Object> results = rig.done("stop", "names", List.of("p0"));
            assertEquals(Map.of("p0", "the journal cannot be written: nothing is changed"), results.get("results"));
            assertEquals(Boolean.TRUE, rig.one("p0").get("wanted"));
            refused(rig, rig.site(), "the journal cannot be written: nothing is changed");
            AgentRig.signal("KILL", pid);
            rig.until("its crash to be seen", () -> rig.happened("p0 crashed"));
            rig.until("not to be started", () -> trouble(rig, "p0").contains("the journal cannot be written"));
            assertEquals(Map.of(), rig.running.look());
            rig.kill();
            rig.up();
            rig.until("to be started by the next", () -> rig.in("ready", "p0"));
            rig.begun(2);
        }
    }

    // ---- sites that are refused ----

    @Test
    void aSiteWithANameTwiceOrAFaultIsRefusedAndChangesNothing() throws Exception {
        try (AgentRig rig = rig(1)) {
            rig.policy = QUICK_POLICY.replace("\"giveUpAfter\":3", "\"giveUpAfter\":1");
            rig.jvm = NO_START;
            rig.up();
            rig.done("apply", "site", rig.site());
            rig.until("to be given up", () -> rig.in("given up", "p0"));
            Map<String, Object> before = rig.one("p0");
            byte[] journal = Files.readAllBytes(rig.folder.resolve("journal"));
            refused(rig, rig.site(rig.group("p{i}", 0, 2, ""), rig.group("p1", 0, 1, "")), "p1 is declared twice");
            refused(rig, rig.site(rig.group("p{i}", 0, 1, ",\"confguration\":{}")), "meant is perhaps");
            refused(rig, rig.site(rig.group("p/{i}", 0, 1, "")), "instances[0].name");
            refused(rig, rig.site(rig.group("p{i}", 0, 1, ",\"program\":\"sh\"")), "program");
            refused(rig, "{", "not a JSON object");
            String[] many = new String[150]; // with a configuration each: well over what an instance may be asked
            Arrays.setAll(many, i -> rig.group("q" + i, 0, 1, ""));
            many[149] = rig.group("q0", 0, 1, "");
            assertTrue(rig.site(many).length() > 2 * ControlCodec.MAX_REQUEST_BYTES);
            refused(rig, rig.site(many), "q0 is declared twice");
            refused(
                    rig,
                    " ".repeat(ControlCodec.MAX_SITE_REQUEST_BYTES) + "{",
                    "a request of more than " + ControlCodec.MAX_SITE_REQUEST_BYTES);
            assertEquals(before.get("start"), rig.one("p0").get("start"));
            assertEquals(Set.of("p0"), rig.list().keySet());
            assertEquals(journal.length, Files.size(rig.folder.resolve("journal")));
        }
    }

    /** Danger: the one that refuses is restarted, takes the others with it, or is asked without end. */
    @Test
    void aConfigurationThatIsRefusedIsToldAndTheOldOneStays() throws Exception {
        try (AgentRig rig = rig(2)) {
            applied(rig);
            Map<String, Long> before = rig.pids();
            String good = rig.group("p{i}", 0, 1, "");
            String bad = rig.group("p{i}", 1, 1, "").replace("\"tickMs\":5.0", "\"tickMs\":\"soon\"");
            rig.done("apply", "site", rig.site(good, bad));
            rig.until("it to be refused", () -> rig.one("p1").containsKey("refused"));
            assertTrue(String.valueOf(rig.one("p1").get("refused")).contains("tickMs"), () -> rig.account());
            assertTrue(rig.all("ready"), () -> rig.account());
            assertFalse(rig.one("p0").containsKey("refused"));
            rig.done("apply", "site", rig.site());
            rig.until("nothing to be refused", () -> !rig.one("p1").containsKey("refused"));
            assertEquals(before, rig.pids());
            rig.begun(1);
        }
    }
}
