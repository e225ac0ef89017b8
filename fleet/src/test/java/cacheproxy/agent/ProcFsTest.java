package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import cacheproxy.supervise.UniqueProcessId;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Identifies processes in the real /proc and in folders laid out like it. Guards against an unrelated process being
 * taken for an instance, which a stop command would then terminate.
 */
@Timeout(60)
class ProcFsTest {
    private static final Path REAL = Path.of("/proc");

    @TempDir
    Path proc;

    @BeforeEach
    void writeBootId() throws IOException {
        Files.createDirectories(proc.resolve("sys/kernel/random"));
        writeBootId("one");
    }

    private void writeBootId(String id) throws IOException {
        Files.writeString(proc.resolve("sys/kernel/random/boot_id"), id + "\n");
    }

    // ---- unusable proc file systems ----

    @Test
    void rejectsProcFileSystemThatDoesNotShowThisProcess() throws IOException {
        long self = ProcessHandle.current().pid();
        new ProcFs(REAL).requireOwnProcessVisible(self);
        assertRejected(self); // the folder is empty
        Files.createSymbolicLink(proc.resolve("self"), Path.of("7")); // as in another pid namespace
        writeProcess(7, "java", "S", 1);
        writeProcess(self, "stranger", "S", 1);
        assertRejected(self);
        Files.delete(proc.resolve("self"));
        Files.createSymbolicLink(proc.resolve("self"), Path.of(Long.toString(self)));
        new ProcFs(proc).requireOwnProcessVisible(self);
        // without the boot id, processes of an earlier boot could not be recognised
        Files.delete(proc.resolve("sys/kernel/random/boot_id"));
        assertRejected(self);
    }

    private void assertRejected(long pid) {
        String message = assertThrows(InvalidInputException.class, () -> new ProcFs(proc).requireOwnProcessVisible(pid))
                .getMessage();
        assertTrue(message.contains("does not show this process (pid " + pid + ")"), message);
    }

    /** Writes a stat file as described in proc(5): 52 fields, of which the 22nd is the start time. */
    private void writeProcess(long pid, String name, String state, long ticks) throws IOException {
        StringBuilder stat = new StringBuilder(pid + " (" + name + ") " + state);
        for (int field = 4; field <= 52; field++) {
            stat.append(' ').append(field == 22 ? Long.toString(ticks) : "9" + field);
        }
        Path folder = Files.createDirectories(proc.resolve(Long.toString(pid)));
        Files.write(folder.resolve("stat"), (stat + "\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private void writeEnvironment(long pid, String environ) throws IOException {
        Files.writeString(proc.resolve(Long.toString(pid)).resolve("environ"), environ);
    }

    @Test
    void identifiesThisProcessAsAlive() throws IOException {
        ProcFs real = new ProcFs(REAL);
        long pid = ProcessHandle.current().pid();
        UniqueProcessId self = real.identity(pid);
        assertEquals(pid, self.pid());
        assertEquals(Files.readString(REAL.resolve("sys/kernel/random/boot_id")).strip(), self.bootId());
        assertTrue(self.startTicks() > 0);
        assertEquals(self, new ProcFs(REAL).identity(pid), "the same on each call");
        assertTrue(real.isAlive(self));
        assertFalse(real.isStopped(pid));
        assertFalse(real.isAlive(new UniqueProcessId(pid, self.startTicks() + 1, self.bootId())));
        assertFalse(real.isAlive(new UniqueProcessId(pid, self.startTicks(), "another")));
        assertFalse(real.isAlive(null));
    }

    @Test
    void findsProcessByItsEnvironmentAndIgnoresZombies() throws Exception {
        ProcFs real = new ProcFs(REAL);
        String startVariable = "LB_START=n0/1/" + ProcessHandle.current().pid() + "/" + System.nanoTime();
        // the child exits only once its parent has become cat, which never waits for it; the shell would reap it
        ProcessBuilder builder = new ProcessBuilder(
                "sh", "-c", "(until [ \"$c\" = cat ]; do read c < /proc/$$/comm; done) & echo $!; exec cat");
        builder.environment().put("LB_START", startVariable.substring(startVariable.indexOf('=') + 1));
        Process parent = builder.start();
        try {
            long child = Long.parseLong(parent.inputReader().readLine());
            long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (real.identity(child) != null && System.nanoTime() < deadlineNs) {
                Thread.onSpinWait();
            }
            assertNull(real.identity(child), "a zombie counts as ended");
            assertTrue(Files.exists(REAL.resolve(Long.toString(child))), "it is still listed");
            UniqueProcessId found = real.findByEnvironmentVariable(startVariable);
            assertNotNull(found);
            assertEquals(parent.pid(), found.pid());
            assertNull(real.findByEnvironmentVariable(startVariable + "0"));
            assertNull(real.findByEnvironmentVariable(startVariable.substring(0, startVariable.length() - 1)));

            Process kill = new ProcessBuilder("kill", "-STOP", Long.toString(found.pid())).start();
            assertEquals(0, kill.waitFor());
            while (!real.isStopped(found.pid()) && System.nanoTime() < deadlineNs) {
                Thread.onSpinWait();
            }
            assertTrue(real.isStopped(found.pid()));
            assertTrue(real.isAlive(found), "stopped but alive");
            parent.destroyForcibly().waitFor();
            assertFalse(real.isAlive(found));
            assertNull(real.findByEnvironmentVariable(startVariable));
        } finally {
            parent.destroyForcibly();
        }
    }

    @Test
    void distinguishesProcessesWithTheSamePid() throws IOException {
        writeProcess(7, "java", "S", 1000);
        ProcFs procFs = new ProcFs(proc);
        UniqueProcessId first = procFs.identity(7);
        assertEquals(new UniqueProcessId(7, 1000, "one"), first);
        assertTrue(procFs.isAlive(first));
        writeProcess(7, "java", "S", 1001);
        assertFalse(procFs.isAlive(first));
        writeProcess(7, "java", "S", 1000);
        writeBootId("two");
        assertFalse(new ProcFs(proc).isAlive(first), "the same start time after a reboot");
    }

    @Test
    void derivesAliveAndStoppedFromTheProcessState() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (String state : new String[] {"R", "S", "D", "T", "t", "I"}) {
            writeProcess(7, "java", state, 5);
            assertNotNull(procFs.identity(7), state);
            assertEquals(state.equalsIgnoreCase("T"), procFs.isStopped(7), state);
        }
        for (String state : new String[] {"Z", "X"}) {
            writeProcess(7, "java", state, 5);
            assertNull(procFs.identity(7), state);
            assertFalse(procFs.isAlive(new UniqueProcessId(7, 5, "one")), state);
        }
        assertNull(procFs.identity(8));
        assertFalse(procFs.isStopped(8));
    }

    @Test
    void parsesStatWithAnyProgramName() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (String name : List.of("a b", "a) Z 1 1", ")", "((", ") T 0 0 (", "x\ny", "", "\u00ff\u00fe")) {
            writeProcess(7, name, "S", 1234);
            assertEquals(new UniqueProcessId(7, 1234, "one"), procFs.identity(7), name);
            assertFalse(procFs.isStopped(7), name);
        }
    }

    @Test
    void returnsNullForMalformedStat() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (String stat : List.of("", "7", "7 (java)", "7 (java) S 1 1", "7 (java) S" + " x".repeat(49))) {
            Files.createDirectories(proc.resolve("7"));
            Files.writeString(proc.resolve("7").resolve("stat"), stat);
            assertNull(procFs.identity(7), stat);
        }
    }

    @Test
    void matchesOnlyWholeEnvironmentVariables() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (int pid = 1; pid <= 9; pid++) {
            writeProcess(pid, "java", "S", pid);
        }
        writeEnvironment(1, "A=1\0XLB=n/1\0");
        writeEnvironment(2, "LB=n/10\0");
        writeEnvironment(3, "A=LB=n/1\0");
        writeEnvironment(4, "");
        writeEnvironment(5, "LB=n/1"); // the terminating NUL is missing
        writeEnvironment(6, "lb=n/1\0");
        // process 7 has no readable environment
        assertNull(procFs.findByEnvironmentVariable("LB=n/1"));
        writeEnvironment(8, "A=1\0LB=n/1\0B=2\0");
        assertEquals(8, procFs.findByEnvironmentVariable("LB=n/1").pid());
        writeEnvironment(8, "LB=n/1\0");
        assertEquals(new UniqueProcessId(8, 8, "one"), procFs.findByEnvironmentVariable("LB=n/1"));
        Files.createDirectories(proc.resolve("1a"));
        Files.writeString(proc.resolve("1a").resolve("environ"), "LB=n/1\0");
        assertEquals(8, procFs.findByEnvironmentVariable("LB=n/1").pid(), "1a is not a pid");
        writeProcess(8, "java", "Z", 8);
        assertNull(procFs.findByEnvironmentVariable("LB=n/1"), "a zombie is not found");
        writeProcess(9, "java", "S", 9);
        writeEnvironment(9, "LB=n/1\0");
        assertEquals(9, procFs.findByEnvironmentVariable("LB=n/1").pid());
    }

    @Test
    void findsNothingWithoutAProcFileSystem() {
        ProcFs missing = new ProcFs(proc.resolve("none"));
        assertNull(missing.identity(ProcessHandle.current().pid()));
        assertFalse(missing.isStopped(1));
        assertFalse(missing.isAlive(new UniqueProcessId(1, 1, "unknown")));
        assertNull(missing.findByEnvironmentVariable("LB=n/1"));
    }
}
