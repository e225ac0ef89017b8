package cacheproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs three members as processes and checks the tool's output while one is killed and restarted. */
@Timeout(90)
class StateCommandsTest {
    private static final int MEMBERS = 3;

    @TempDir
    Path root;

    private final List<Process> processes = new ArrayList<>();

    private Path folder(int member) {
        return root.resolve("m" + member);
    }

    private String allFolders() {
        return folder(0) + "," + folder(1) + "," + folder(2);
    }

    private void writeMemberFiles() throws Exception {
        int[] ports = new int[MEMBERS];
        for (int member = 0; member < MEMBERS; member++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports[member] = free.getLocalPort();
            }
        }
        String peers = "{\"m0\":\"127.0.0.1:" + ports[0] + "\",\"m1\":\"127.0.0.1:" + ports[1]
                + "\",\"m2\":\"127.0.0.1:" + ports[2] + "\"}";
        for (int member = 0; member < MEMBERS; member++) {
            Files.createDirectories(folder(member));
            Files.writeString(
                    folder(member).resolve("member.json"),
                    "{\"name\":\"m" + member + "\",\"listen\":\"127.0.0.1:" + ports[member] + "\",\"peers\":" + peers
                            + ",\"settings\":{\"tickMs\":50,\"aloneMs\":1500}}");
        }
    }

    private Process start(int member) throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cacheproxy.fleet.Main",
                        "member",
                        folder(member).toString())
                .redirectErrorStream(true)
                .redirectOutput(folder(member).resolve("out").toFile())
                .start();
        processes.add(process);
        return process;
    }

    @AfterEach
    void killProcesses() {
        processes.forEach(process -> process.destroyForcibly().onExit().join());
    }

    private final StringWriter output = new StringWriter();

    private int runTool(String... arguments) {
        output.getBuffer().setLength(0);
        PrintWriter out = new PrintWriter(output, true);
        return CacheproxyctlCommand.run(out, out, arguments);
    }

    /** Polls until the exit code matches; the timeout of the test bounds the wait. */
    private void awaitStateCode(int code) throws InterruptedException {
        while (runTool("state", "-m", allFolders()) != code) {
            Thread.sleep(50);
        }
    }

    @Test
    void stateAndOperatorCommandsSurviveRestartOfAMember() throws Exception {
        writeMemberFiles();
        for (int member = 0; member < MEMBERS; member++) {
            start(member);
        }
        awaitStateCode(ExitCode.OK.value());
        assertTrue(output.toString().contains("all replicas are equal"), output.toString());
        assertEquals(
                ExitCode.OK.value(),
                runTool("order", "-m", folder(0).toString(), "drain", "s-1", "--why", "disk errors", "--who", "anna"),
                output.toString());
        assertTrue(
                output.toString().contains("drain s-1: on 2 disks")
                        || output.toString().contains("on 3 disks"),
                output.toString());
        processes.get(2).destroyForcibly().waitFor();
        assertEquals(ExitCode.UNREACHABLE.value(), runTool("state", "-m", allFolders()));
        assertTrue(output.toString().contains("UNREACHABLE"), output.toString());
        start(2);
        awaitStateCode(ExitCode.OK.value());
        assertEquals(
                ExitCode.OK.value(), runTool("state", "diff", "-m", folder(0) + "," + folder(2)), output.toString());
        assertEquals(
                ExitCode.OK.value(), runTool("state", "show", "-m", folder(2).toString()));
        assertTrue(output.toString().contains("drain by anna (disk errors)"), output.toString());
        assertEquals(
                ExitCode.REFUSED.value(), runTool("order", "-m", folder(0).toString(), "drain", "a/b", "--why", "x"));
        assertTrue(output.toString().contains("a part of a key"), output.toString());
    }
}
