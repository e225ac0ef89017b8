package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A proxy of the project, started as a process of its own by the {@code run} line of the deploy file. */
final class ProxyProcess {
    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Record record;
    private final Path root;
    private final Path folder;
    private final String name;
    final String listen;
    private int starts;
    private Process process;

    /** {@code folder}: for its configuration and temporary files. */
    ProxyProcess(Record record, Path root, Path folder, String name, String listen) {
        this.record = record;
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.listen = listen;
    }

    /** Starts the process; returns {@link System#nanoTime} just after its start. */
    long start(String discovery, String settings, String knownList, Path log) throws IOException {
        Path config = folder.resolve(name + ".json");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be96" + starts++ + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                        + "\"sockets\":1024},\"known\":" + knownList + ",\"settings\":" + settings + "}\n");
        Path temporary = Files.createDirectories(folder.resolve("tmp-" + name + "-" + starts));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
        builder.directory(root.toFile());
        builder.environment()
                .putAll(Map.of(
                        "LB_NAME", name,
                        "LB_LISTEN", listen,
                        "LB_DISCOVERY", discovery,
                        "LB_CONFIG", config.toString(),
                        "TMPDIR", temporary.toString()));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(new File("/dev/null"));
        process = builder.start();
        STARTED.add(process);
        long startedNs = System.nanoTime();
        record.say("proxy %s started, listens on %s, discovery at %s", name, listen, discovery);
        return startedNs;
    }

    private String runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        record.say("proxy %s killed with SIGKILL", name);
    }
}
