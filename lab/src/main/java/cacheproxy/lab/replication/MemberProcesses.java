package cacheproxy.lab.replication;

import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlCodec;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Members as processes, each with a folder of its own, connected by {@link FaultyLinks}. */
public final class MemberProcesses implements AutoCloseable {
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final String LOG = "orders.log";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final class Member {
        private final String name;
        private final Path folder;
        private final InetSocketAddress listen;
        private Process process;
        private boolean stopped;

        Member(int i) throws IOException {
            name = "m" + i;
            folder = root.resolve(name);
            Files.createDirectories(folder);
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                listen = (InetSocketAddress) free.getLocalSocketAddress();
            }
        }
    }

    public final FaultyLinks links;
    private final Path root;
    private final Path jar;
    private final List<Member> members = new ArrayList<>();
    private final Map<String, Map<String, String>> peersOf = new LinkedHashMap<>();
    private final Map<String, Object> settings;

    /** Starts the members; {@code jar}: cacheproxyctl.jar, with its libraries beside it. */
    public MemberProcesses(int size, Path jar, Path root, Map<String, Object> settings, long seed) throws IOException {
        this.root = root;
        this.jar = jar;
        this.settings = settings;
        links = new FaultyLinks(seed);
        for (int i = 0; i < size; i++) {
            members.add(new Member(i));
        }
        for (Member a : members) {
            Map<String, String> peers = new LinkedHashMap<>();
            for (Member b : members) {
                if (a != b) {
                    peers.put(b.name, text(links.addLink(a.name, b.name, b.listen)));
                }
            }
            peersOf.put(a.name, peers);
        }
        for (int i = 0; i < size; i++) {
            start(i, 0);
        }
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    public int size() {
        return members.size();
    }

    public void start(int i, long clockOffMs) throws IOException {
        Member s = members.get(i);
        Map<String, Object> file = new LinkedHashMap<>();
        file.put("name", s.name);
        file.put("listen", text(s.listen));
        file.put("peers", peersOf.get(s.name));
        file.put("settings", settings);
        file.put("clockOffMs", clockOffMs);
        JSON.writeValue(s.folder.resolve("member.json").toFile(), file);
        Files.deleteIfExists(s.folder.resolve("member.sock"));
        s.process = new ProcessBuilder(
                        "java",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xshare:auto",
                        "-Xmx64m",
                        "-jar",
                        jar.toString(),
                        "member",
                        s.folder.toString())
                .redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(s.folder.resolve("out").toFile()))
                .start();
        s.stopped = false;
    }

    public boolean isRunning(int i) {
        Member s = members.get(i);
        return s.process != null && s.process.isAlive() && !s.stopped;
    }

    public void kill(int i) throws InterruptedException {
        members.get(i).process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    public void signal(int i, String name) throws IOException, InterruptedException {
        Member s = members.get(i);
        new ProcessBuilder("kill", "-" + name, Long.toString(s.process.pid()))
                .start()
                .waitFor();
        s.stopped = name.equals("STOP");
    }

    /** A fault of a disk while its member is down. */
    public enum DiskFault {
        NONE,
        ERASED,
        RESTORED,
        TORN,
        FLIPPED
    }

    public void damageDisk(int i, DiskFault how) throws IOException {
        Path log = members.get(i).folder.resolve(LOG);
        if (!Files.exists(log)) {
            return;
        }
        byte[] all = Files.readAllBytes(log);
        switch (how) {
            case ERASED -> Files.delete(log);
            case RESTORED -> {
                if (Files.exists(backupFile(i))) {
                    Files.copy(backupFile(i), log, StandardCopyOption.REPLACE_EXISTING);
                }
            }
            case TORN -> Files.write(log, java.util.Arrays.copyOf(all, Math.max(0, all.length - 7)));
            case FLIPPED -> {
                if (all.length > 40) {
                    all[all.length / 2] ^= 0x20;
                    Files.write(log, all);
                }
            }
            default -> {
                // nothing to do
            }
        }
    }

    private Path backupFile(int i) {
        return members.get(i).folder.resolve("orders.old");
    }

    public void backUp(int i) throws IOException {
        Path log = members.get(i).folder.resolve(LOG);
        if (Files.exists(log) && !Files.exists(backupFile(i))) {
            Files.copy(log, backupFile(i));
        }
    }

    /** The reply of a member; throws IOException if there is none in time. */
    public Map<String, Object> call(int i, Map<String, Object> request, long timeoutMs) throws IOException {
        return ControlClient.call(members.get(i).folder.resolve("member.sock"), request, timeoutMs);
    }

    /** The member's state; null if it doesn't answer. */
    public Map<String, Object> state(int i) {
        try {
            return call(i, ControlCodec.request("state"), CALL_TIMEOUT_MS);
        } catch (IOException e) {
            return null;
        }
    }

    /** Whether all members answer, are current and hold equal state. */
    public boolean converged() {
        Object digest = null;
        for (int i = 0; i < members.size(); i++) {
            Map<String, Object> s = state(i);
            if (s == null || !"CURRENT".equals(s.get("state")) || digest != null && !digest.equals(s.get("digest"))) {
                return false;
            }
            digest = s.get("digest");
        }
        return true;
    }

    /** Waits for a condition; whether it held in time. */
    public static boolean await(long timeoutMs, java.util.function.BooleanSupplier condition)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }

    @Override
    public void close() {
        for (Member s : members) {
            if (s.process != null) {
                s.process.destroyForcibly().onExit().join(); // none may write to a folder that the caller removes
            }
        }
        links.close();
    }
}
