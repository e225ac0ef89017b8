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
 * Who a process is, from the real /proc and from folders like it. Danger: another's pid is taken for an instance, which
 * a stop then ends.
 */
@Timeout(60)
class ProcFsTest {
    private static final Path REAL = Path.of("/proc");

    @TempDir
    Path proc;

    @BeforeEach
    void boot() throws IOException {
        Files.createDirectories(proc.resolve("sys/kernel/random"));
        boot("one");
    }

    private void boot(String id) throws IOException {
        Files.writeString(proc.resolve("sys/kernel/random/boot_id"), id + "\n");
    }

    // ---- a /proc that is not ours ----

    @Test
    void aProcThatDoesNotShowThisProcessIsRefused() throws IOException {
        long self = ProcessHandle.current().pid();
        new ProcFs(REAL).requireOwnProcessVisible(self);
        refused(self); // nothing is there
        Files.createSymbolicLink(proc.resolve("self"), Path.of("7")); // as from another pid namespace
        process(7, "java", "S", 1);
        process(self, "stranger", "S", 1);
        refused(self);
        Files.delete(proc.resolve("self"));
        Files.createSymbolicLink(proc.resolve("self"), Path.of(Long.toString(self)));
        new ProcFs(proc).requireOwnProcessVisible(self);
        Files.delete(proc.resolve("sys/kernel/random/boot_id")); // another boot could not be told from this
        refused(self);
    }

    private void refused(long pid) {
        String why = assertThrows(InvalidInputException.class, () -> new ProcFs(proc).requireOwnProcessVisible(pid))
                .getMessage();
        assertTrue(why.contains("does not show this process (pid " + pid + ")"), why);
    }

    /** As proc(5) has it: 52 fields, of which the 22nd is the start. */
    private void process(long pid, String name, String state, long ticks) throws IOException {
        StringBuilder stat = new StringBuilder(pid + " (" + name + ") " + state);
        for (int field = 4; field <= 52; field++) {
            stat.append(' ').append(field == 22 ? Long.toString(ticks) : "9" + field);
        }
        Path folder = Files.createDirectories(proc.resolve(Long.toString(pid)));
        Files.write(folder.resolve("stat"), (stat + "\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private void environment(long pid, String environ) throws IOException {
        Files.writeString(proc.resolve(Long.toString(pid)).resolve("environ"), environ);
    }

    @Test
    void thisProcessIsItselfAndAlive() throws IOException {
        ProcFs real = new ProcFs(REAL);
        long pid = ProcessHandle.current().pid();
        UniqueProcessId self = real.identity(pid);
        assertEquals(pid, self.pid());
        assertEquals(Files.readString(REAL.resolve("sys/kernel/random/boot_id")).strip(), self.bootId());
        assertTrue(self.startTicks() > 0);
        assertEquals(self, new ProcFs(REAL).identity(pid), "the same at each look");
        assertTrue(real.isAlive(self));
        assertFalse(real.isStopped(pid));
        assertFalse(real.isAlive(new UniqueProcessId(pid, self.startTicks() + 1, self.bootId())));
        assertFalse(real.isAlive(new UniqueProcessId(pid, self.startTicks(), "another")));
        assertFalse(real.isAlive(null));
    }

    @Test
    void aRealProcessIsFoundByItsEnvironmentAndGoneWhenItIsAZombie() throws Exception {
        ProcFs real = new ProcFs(REAL);
        String startVariable = "LB_START=n0/1/" + ProcessHandle.current().pid() + "/" + System.nanoTime();
        // its child ends once its parent has become a cat, which waits for nobody: ended before, the shell reaps it
        ProcessBuilder b = new ProcessBuilder(
                "sh", "-c", "(until [ \"$c\" = cat ]; do read c < /proc/$$/comm; done) & echo $!; exec cat");
        b.environment().put("LB_START", startVariable.substring(startVariable.indexOf('=') + 1));
        Process parent = b.start();
        try {
            long child = Long.parseLong(parent.inputReader().readLine());
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (real.identity(child) != null && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertNull(real.identity(child), "a zombie is gone");
            assertTrue(Files.exists(REAL.resolve(Long.toString(child))), "and yet there");
            UniqueProcessId found = real.findByEnvironmentVariable(startVariable);
            assertNotNull(found);
            assertEquals(parent.pid(), found.pid());
            assertNull(real.findByEnvironmentVariable(startVariable + "0"));
            assertNull(real.findByEnvironmentVariable(startVariable.substring(0, startVariable.length() - 1)));

            Process kill = new ProcessBuilder("kill", "-STOP", Long.toString(found.pid())).start();
            assertEquals(0, kill.waitFor());
            while (!real.isStopped(found.pid()) && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertTrue(real.isStopped(found.pid()));
            assertTrue(real.isAlive(found), "stopped, and there");
            parent.destroyForcibly().waitFor();
            assertFalse(real.isAlive(found));
            assertNull(real.findByEnvironmentVariable(startVariable));
        } finally {
            parent.destroyForcibly();
        }
    }

    @Test
    void aPidThatIsUsedAgainIsAnother() throws IOException {
        process(7, "java", "S", 1000);
        ProcFs procFs = new ProcFs(proc);
        UniqueProcessId first = procFs.identity(7);
        assertEquals(new UniqueProcessId(7, 1000, "one"), first);
        assertTrue(procFs.isAlive(first));
        process(7, "java", "S", 1001);
        assertFalse(procFs.isAlive(first));
        process(7, "java", "S", 1000);
        boot("two");
        assertFalse(new ProcFs(proc).isAlive(first), "the same ticks after another start of the machine");
    }

    @Test
    void theStateTellsWhoIsThere() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (String state : new String[] {"R", "S", "D", "T", "t", "I"}) {
            process(7, "java", state, 5);
            assertNotNull(procFs.identity(7), state);
            assertEquals(state.equalsIgnoreCase("T"), procFs.isStopped(7), state);
        }
        for (String state : new String[] {"Z", "X"}) {
            process(7, "java", state, 5);
            assertNull(procFs.identity(7), state);
            assertFalse(procFs.isAlive(new UniqueProcessId(7, 5, "one")), state);
        }
        assertNull(procFs.identity(8));
        assertFalse(procFs.isStopped(8));
    }

    @Test
    void aNameMayHoldAnything() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (String name : List.of("a b", "a) Z 1 1", ")", "((", ") T 0 0 (", "x\ny", "", "\u00ff\u00fe")) {
            process(7, name, "S", 1234);
            assertEquals(new UniqueProcessId(7, 1234, "one"), procFs.identity(7), name);
            assertFalse(procFs.isStopped(7), name);
        }
    }

    @Test
    void aStatThatCannotBeReadIsNobody() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (String stat : List.of("", "7", "7 (java)", "7 (java) S 1 1", "7 (java) S" + " x".repeat(49))) {
            Files.createDirectories(proc.resolve("7"));
            Files.writeString(proc.resolve("7").resolve("stat"), stat);
            assertNull(procFs.identity(7), stat);
        }
    }

    @Test
    void theEnvironmentIsSearchedForAWholeVariable() throws IOException {
        ProcFs procFs = new ProcFs(proc);
        for (int pid = 1; pid <= 9; pid++) {
            process(pid, "java", "S", pid);
        }
        environment(1, "A=1\0XLB=n/1\0");
        environment(2, "LB=n/10\0");
        environment(3, "A=LB=n/1\0");
        environment(4, "");
        environment(5, "LB=n/1"); // its end is not there
        environment(6, "lb=n/1\0");
        // 7 has none that may be read
        assertNull(procFs.findByEnvironmentVariable("LB=n/1"));
        environment(8, "A=1\0LB=n/1\0B=2\0");
        assertEquals(8, procFs.findByEnvironmentVariable("LB=n/1").pid());
        environment(8, "LB=n/1\0");
        assertEquals(new UniqueProcessId(8, 8, "one"), procFs.findByEnvironmentVariable("LB=n/1"));
        Files.createDirectories(proc.resolve("1a"));
        Files.writeString(proc.resolve("1a").resolve("environ"), "LB=n/1\0");
        assertEquals(8, procFs.findByEnvironmentVariable("LB=n/1").pid(), "no process");
        process(8, "java", "Z", 8);
        assertNull(procFs.findByEnvironmentVariable("LB=n/1"), "what is left of one is not it");
        process(9, "java", "S", 9);
        environment(9, "LB=n/1\0");
        assertEquals(9, procFs.findByEnvironmentVariable("LB=n/1").pid());
    }

    @Test
    void withoutAnyProcNobodyIsKnown() {
        ProcFs none = new ProcFs(proc.resolve("none"));
        assertNull(none.identity(ProcessHandle.current().pid()));
        assertFalse(none.isStopped(1));
        assertFalse(none.isAlive(new UniqueProcessId(1, 1, "unknown")));
        assertNull(none.findByEnvironmentVariable("LB=n/1"));
    }
}
