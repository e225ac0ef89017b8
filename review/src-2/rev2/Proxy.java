package rev2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One proxy, started as a process of its own with the run line of the deploy file. */
final class Proxy implements AutoCloseable {
    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    final String name;
    final int port;
    private final Path folder;
    private final Rec rec;
    private final Map<String, Object> settings;
    private Process process;

    Proxy(String name, Path folder, Rec rec, Map<String, Object> settings) throws IOException {
        this.name = name;
        this.folder = folder;
        this.rec = rec;
        this.settings = settings;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
    }

    /** Settings of a small deployment, after the example of the wire page. */
    static Map<String, Object> settings() {
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("az", 0);
        s.put("balancers", 1);
        s.put("index", 0);
        Map<String, Object> caps = new LinkedHashMap<>();
        caps.put("cpuUsPerRequest", 10.0);
        caps.put("cpuUsPerS", 15000);
        caps.put("dialTimeoutMs", 250.0);
        caps.put("idleCloseMs", 30000.0);
        caps.put("maxAttempts", 4);
        caps.put("maxRetryAfterMs", 2000.0);
        caps.put("mayCancel", true);
        caps.put("multiplex", 1);
        caps.put("openCap", 20000);
        caps.put("peers", false);
        caps.put("probing", true);
        caps.put("retryAfter", true);
        caps.put("secondCopies", true);
        s.put("caps", caps);
        s.put("clients", map("marksRetry", true));
        s.put("countedBy", "request");
        s.put("familyInfo", map("mode", "through", "originFallMs", 3000.0, "originFallMultiple", 0.0, "originKind", -1));
        s.put(
                "grades",
                new ArrayList<>(List.of(
                        grade("phrase-lookup", "pure", 1500.0, 0.5),
                        grade("usage-charge", "side_effect", 2500.0, 0.5),
                        grade("phrase-submit", "token", 2500.0, 0.3))));
        s.put("kinds", List.of("full-node", "half-node"));
        s.put("localities", List.of("kannur-town", "thalassery", "payyanur"));
        s.put("overShareWorth", 0.05);
        s.put("registryMode", "subscribe");
        s.put("reporting", map("fields", List.of("busy"), "source", "inline"));
        s.put(
                "rules",
                map(
                        "askWithinMs", 10000.0, "coldFrom", 0.17, "coldMs", 24000.0, "drainGraceMs", 1000.0, "fallMs",
                        2000.0, "graceToAnswerMs", 20.0, "tipMultiple", 4.0));
        s.put("stage", 0);
        s.put("tickMs", 5.0);
        s.put("tiers", List.of("phrase-cache"));
        s.put("weights", "rough");
        return s;
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static Map<String, Object> grade(String name, String effect, double deadlineMs, double lateWorth) {
        return map(
                "deadlineMs", deadlineMs, "effect", effect, "group", "all", "lateWorth", lateWorth, "name", name,
                "repeatWindowMs", 5000.0, "stream", false, "targetMs", 750.0, "value", 1.0);
    }

    @SuppressWarnings("unchecked")
    static void set(Map<String, Object> settings, String path, Object value) {
        int dot = path.indexOf('.');
        if (dot < 0) {
            settings.put(path, value);
        } else {
            set((Map<String, Object>) settings.get(path.substring(0, dot)), path.substring(dot + 1), value);
        }
    }

    private Path file() {
        return folder.resolve(name + ".json");
    }

    /** Replaces the file of the configuration as a whole. */
    void configure(String discovery, Map<String, Object> known) throws IOException {
        Map<String, Object> config = map(
                "name", name, "listen", "127.0.0.1:" + port, "discovery", discovery, "seed",
                Long.toHexString(System.nanoTime()), "limits",
                map("cores", 1.0, "memory_mb", 192, "sockets", 1024), "known", known, "settings", settings);
        Path next = folder.resolve(name + ".next");
        Files.writeString(next, Json.of(config));
        Files.move(
                next,
                file(),
                java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process; it need not be ready when this returns. */
    void start(String discovery, Map<String, Object> known) throws IOException {
        configure(discovery, known);
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_DISCOVERY", discovery);
        builder.environment().put("LB_CONFIG", file().toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        STARTED.add(process);
        rec.line(name, "is started");
    }

    /** Waits until mn is answered with MN; throws if it takes over 30 s. */
    void awaitReady() throws Exception {
        long end = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                socket.getOutputStream().write("mn\r\n".getBytes());
                InputStream in = socket.getInputStream();
                if ("MN".equals(Node.readLine(in))) {
                    rec.line(name, "answers mn with MN");
                    return;
                }
            } catch (IOException e) {
                if (!process.isAlive()) {
                    break;
                }
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException(name + " did not get ready");
    }

    void signal(String signal) throws Exception {
        rec.line(name, "gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitEnd(long ms) throws InterruptedException {
        boolean ended = process.waitFor(ms, TimeUnit.MILLISECONDS);
        rec.line(name, ended ? "has ended with " + process.exitValue() : "has not ended");
        return ended;
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
