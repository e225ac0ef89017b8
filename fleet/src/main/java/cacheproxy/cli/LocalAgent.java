package cacheproxy.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts and ends an agent as a background process on this machine. */
public final class LocalAgent {
    /** Options of the agent's JVM: a small heap with a small young generation, since most objects die young. */
    public static final List<String> AGENT_JVM = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-XX:-UsePerfData",
            "-Xss512k",
            "-Xms16m",
            "-Xmn6m",
            "-Xmx64m");

    private static final long START_TIMEOUT_MS = 10_000;
    private static final long REPLY_TIMEOUT_MS = 300;
    private static final long START_POLL_MS = 50;
    private static final long END_POLL_MS = 20;

    private LocalAgent() {}

    /**
     * Starts the agent if none answers, in its own session so that Ctrl-C in this terminal does not reach it. Throws
     * {@link CommandFailure} with the agent's output if it does not start.
     */
    static void start(AgentClient agent) throws InterruptedException {
        agent.requireLocal();
        if (agent.answers(REPLY_TIMEOUT_MS)) {
            return;
        }
        Path log = agent.folder()
                .resolve("agent.log"); // in the folder: outside it, other users could place a symbolic link
        try {
            createFolder(agent.folder());
            Process process = new ProcessBuilder(command(agent.folder()))
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
            while (!agent.answers(REPLY_TIMEOUT_MS)) {
                if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                    throw new CommandFailure(
                            ExitCode.UNREACHABLE,
                            "the agent did not start: " + Files.readString(log).strip());
                }
                Thread.sleep(START_POLL_MS);
            }
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.UNREACHABLE, "the agent cannot be started: " + e.getMessage());
        }
    }

    private static List<String> command(Path folder) {
        List<String> command = new ArrayList<>();
        if (Files.isExecutable(Path.of("/usr/bin/setsid"))) {
            command.add("setsid");
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(AGENT_JVM);
        String classPath = System.getProperty("java.class.path");
        command.addAll(List.of("-cp", classPath, "cacheproxy.fleet.Main", "agent", folder.toString()));
        return command;
    }

    private static void createFolder(Path folder) throws IOException {
        if (Files.notExists(folder)) {
            Files.createDirectories(folder.getParent());
            Files.createDirectory(
                    folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        }
    }

    /** Ends the agent and waits for its process, for at most 10 s. Its instances keep running, so stop them first. */
    static void end(AgentClient agent) throws InterruptedException {
        Map<String, Object> reply = agent.call(AgentOperation.END);
        long pid = ReplyFields.number(agent, reply, "pid");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false) && System.nanoTime() < end) {
            Thread.sleep(END_POLL_MS);
        }
    }
}
