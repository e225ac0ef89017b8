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

    private Path folder(int i) {
        return root.resolve("m" + i);
    }

    private String all() {
        return folder(0) + "," + folder(1) + "," + folder(2);
    }

    private void write() throws Exception {
        int[] ports = new int[MEMBERS];
        for (int i = 0; i < MEMBERS; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports[i] = free.getLocalPort();
            }
        }
        String peers = "{\"m0\":\"127.0.0.1:" + ports[0] + "\",\"m1\":\"127.0.0.1:" + ports[1]
                + "\",\"m2\":\"127.0.0.1:" + ports[2] + "\"}";
        for (int i = 0; i < MEMBERS; i++) {
            Files.createDirectories(folder(i));
            Files.writeString(
                    folder(i).resolve("member.json"),
                    "{\"name\":\"m" + i + "\",\"listen\":\"127.0.0.1:" + ports[i] + "\",\"peers\":" + peers
                            + ",\"settings\":{\"tickMs\":50,\"aloneMs\":1500}}");
        }
    }

    private Process start(int i) throws Exception {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cacheproxy.fleet.Main",
                        "member",
                        folder(i).toString())
                .redirectErrorStream(true)
                .redirectOutput(folder(i).resolve("out").toFile())
                .start();
        processes.add(p);
        return p;
    }

    @AfterEach
    void end() {
        processes.forEach(p -> p.destroyForcibly().onExit().join());
    }

    private final StringWriter output = new StringWriter();

    private int tool(String... words) {
        output.getBuffer().setLength(0);
        PrintWriter out = new PrintWriter(output, true);
        return CacheproxyctlCommand.run(out, out, words);
    }

    /** Polls until the exit code matches; the timeout of the test bounds the wait. */
    private void untilStateIs(int code) throws InterruptedException {
        while (tool("state", "-m", all()) != code) {
            Thread.sleep(50);
        }
    }

    @Test
    void stateAndOperatorCommandsSurviveRestartOfAMember() throws Exception {
        write();
        for (int i = 0; i < MEMBERS; i++) {
            start(i);
        }
        untilStateIs(ExitCode.OK.value());
        assertTrue(output.toString().contains("all replicas are equal"), output.toString());
        assertEquals(
                ExitCode.OK.value(),
                tool("order", "-m", folder(0).toString(), "drain", "s-1", "--why", "disk errors", "--who", "anna"),
                output.toString());
        assertTrue(
                output.toString().contains("drain s-1: on 2 disks")
                        || output.toString().contains("on 3 disks"),
                output.toString());
        processes.get(2).destroyForcibly().waitFor();
        assertEquals(ExitCode.UNREACHABLE.value(), tool("state", "-m", all()));
        assertTrue(output.toString().contains("UNREACHABLE"), output.toString());
        start(2);
        untilStateIs(ExitCode.OK.value());
        assertEquals(ExitCode.OK.value(), tool("state", "diff", "-m", folder(0) + "," + folder(2)), output.toString());
        assertEquals(ExitCode.OK.value(), tool("state", "show", "-m", folder(2).toString()));
        assertTrue(output.toString().contains("drain by anna (disk errors)"), output.toString());
        assertEquals(ExitCode.REFUSED.value(), tool("order", "-m", folder(0).toString(), "drain", "a/b", "--why", "x"));
        assertTrue(output.toString().contains("a part of a key"), output.toString());
    }
}
