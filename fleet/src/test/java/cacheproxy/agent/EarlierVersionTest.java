package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.site.SiteFile;
import cacheproxy.supervise.Instance;
import cacheproxy.supervise.InstanceState;
import cacheproxy.supervise.JournalRecord;
import cacheproxy.supervise.Supervisor;
import cacheproxy.supervise.SupervisorActions;
import cacheproxy.supervise.UniqueProcessId;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compatibility with files of the version whose programs were named hatchctl and holdproxy. The journal and the site
 * file in {@code earlier/} come from a run of that version whose agent was killed while its instances kept running.
 */
class EarlierVersionTest {
    private static final String BOOT = "0263e76c-11c3-4e79-a819-39fa2892c72d";
    private static final UniqueProcessId DISCOVERY = new UniqueProcessId(7498, 107100, BOOT);
    private static final UniqueProcessId NODE = new UniqueProcessId(7695, 107642, BOOT);
    private static final String DISCOVERY_LAUNCH = "46f3eb43ffd5d51f";
    private static final String NODE_LAUNCH = "eda50337e9489bca";
    private static final String NODE_SECRET = "c6d2922f9fa46fbdc67bf74791a49351";

    @TempDir
    Path folder;

    private static byte[] readResource(String name) throws IOException {
        try (InputStream in = EarlierVersionTest.class.getResourceAsStream("/earlier/" + name)) {
            return in.readAllBytes();
        }
    }

    private List<JournalRecord> journal() throws IOException {
        Path journal = folder.resolve("journal");
        Files.write(journal, readResource("journal"));
        List<JournalRecord> records = new ArrayList<>();
        Journal.open(journal, records::add).close();
        assertEquals(
                new String(readResource("journal"), StandardCharsets.UTF_8),
                Files.readString(journal),
                "reading an undamaged journal leaves it as it is");
        return records;
    }

    private static JournalRecord.StartAnnounced startAnnounced(String name, int start, String secret) {
        return new JournalRecord.StartAnnounced(
                name, start, secret, name.equals("node0") ? NODE_LAUNCH : DISCOVERY_LAUNCH, 3_000);
    }

    @Test
    void readsEveryRecordOfTheEarlierJournal() throws IOException {
        assertEquals(
                List.of(
                        new JournalRecord.SiteDeclared(new String(readResource("site.json"), StandardCharsets.UTF_8)),
                        startAnnounced("discovery", 1, "180bcf6f2e4652366fab3ecf288fd30c"),
                        startAnnounced("node0", 1, "569c73321b75992ef640023a7ae153dd"),
                        new JournalRecord.ProcessStarted("node0", 1, new UniqueProcessId(7259, 106760, BOOT)),
                        new JournalRecord.ProcessStarted("discovery", 1, new UniqueProcessId(7258, 106759, BOOT)),
                        new JournalRecord.DesiredStateSet("discovery", true),
                        new JournalRecord.DesiredStateSet("node0", true),
                        new JournalRecord.RollingRestartBegun(1, List.of("discovery", "node0"), 1),
                        new JournalRecord.RollingRestartInstanceBegun(1, "discovery", 1),
                        new JournalRecord.DesiredStateSet("discovery", true),
                        new JournalRecord.ProcessEnded("discovery", 1, 143, 0),
                        startAnnounced("discovery", 2, "f97179ef54638aad03e0de7ce062529d"),
                        new JournalRecord.ProcessStarted("discovery", 2, DISCOVERY),
                        new JournalRecord.RollingRestartInstanceDone(1, "discovery"),
                        new JournalRecord.RollingRestartInstanceBegun(1, "node0", 1),
                        new JournalRecord.DesiredStateSet("node0", true),
                        new JournalRecord.ProcessEnded("node0", 1, 143, 0),
                        startAnnounced("node0", 2, "209bbc548d174a200d16029bcfbf8753"),
                        new JournalRecord.ProcessStarted("node0", 2, new UniqueProcessId(7543, 107270, BOOT)),
                        new JournalRecord.RollingRestartInstanceDone(1, "node0"),
                        new JournalRecord.RollingRestartEnded(1, ""),
                        new JournalRecord.DesiredStateSet("node0", false),
                        new JournalRecord.ProcessEnded("node0", 2, 143, 0),
                        new JournalRecord.DesiredStateSet("node0", true),
                        startAnnounced("node0", 3, NODE_SECRET),
                        new JournalRecord.ProcessStarted("node0", 3, NODE)),
                journal());
    }

    @Test
    void adoptsInstancesOfTheEarlierVersionWithoutRestart() throws IOException {
        RecordedActions actions = new RecordedActions();
        Supervisor supervisor = new Supervisor(actions);
        SiteFile site = null;
        for (JournalRecord record : journal()) {
            if (record instanceof JournalRecord.SiteDeclared declared) {
                site = SiteFile.parse(declared.site());
            } else {
                supervisor.replay(record);
            }
        }
        supervisor.searchForProcesses(0);
        supervisor.declare(0, site.specs());
        assertEquals(List.of("search discovery/2 " + DISCOVERY, "search node0/3 " + NODE), actions.calls);
        supervisor.searchCompleted(1, "discovery", 2, DISCOVERY);
        supervisor.searchCompleted(1, "node0", 3, NODE);
        for (Instance instance : supervisor.instances()) {
            assertEquals(InstanceState.ADOPTED, instance.state());
            assertFalse(instance.outdated(), "the launch digest must match the one computed from the site file");
        }
        assertEquals(
                List.of(
                        "search discovery/2 " + DISCOVERY,
                        "search node0/3 " + NODE,
                        "say discovery adopted, pid 7498",
                        "probe discovery/2",
                        "say node0 adopted, pid 7695",
                        "probe node0/3"),
                actions.calls);
    }

    @Test
    void findsProcessByItsStartVariableWhateverTheProgramIsCalled() throws Exception {
        ProcFs processes = new ProcFs(Path.of("/proc"));
        String secret = new InstanceClient().secret(); // unique to this run, so that no other process has it
        ProcessBuilder builder = new ProcessBuilder("sleep", "60");
        builder.environment().put("LB_START", "node0/3/" + secret);
        Process process = builder.start();
        try {
            long deadlineNs = System.nanoTime() + 10_000_000_000L;
            UniqueProcessId found = null;
            // the new environment is visible only after exec(2)
            while (found == null && System.nanoTime() < deadlineNs) {
                found = processes.findByEnvironmentVariable(Launcher.startVariable("node0", 3, secret));
            }
            assertEquals(processes.identity(process.pid()), found);
            assertTrue(processes.isAlive(found));
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    /** Records the requested actions without carrying them out. */
    private static final class RecordedActions implements SupervisorActions {
        final List<String> calls = new ArrayList<>();

        @Override
        public boolean appendToJournal(JournalRecord journalRecord) {
            calls.add("note " + journalRecord);
            return true;
        }

        @Override
        public String secret() {
            return "secret";
        }

        @Override
        public void spawn(String name, int start, String secret) {
            calls.add("spawn " + name + "/" + start);
        }

        @Override
        public void search(String name, int start, UniqueProcessId identity, String secret) {
            calls.add("search " + name + "/" + start + " " + identity);
        }

        @Override
        public void terminate(String name, UniqueProcessId identity) {
            calls.add("terminate " + name + " " + identity);
        }

        @Override
        public void kill(String name, UniqueProcessId identity) {
            calls.add("kill " + name + " " + identity);
        }

        @Override
        public void probe(String name, int start) {
            calls.add("probe " + name + "/" + start);
        }

        @Override
        public void reload(String name, int start) {
            calls.add("reload " + name + "/" + start);
        }

        @Override
        public void logEvent(String name, String what) {
            calls.add("say " + name + " " + what);
        }
    }
}
