package cacheproxy.lab.process;

import cacheproxy.lab.scenario.SiteLayout;
import cacheproxy.lab.scenario.SiteModel;
import cacheproxy.lab.standin.EndpointEntry;
import cacheproxy.lab.standin.SiteSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One proxy process in front of given nodes; its discovery service never answers. */
public final class SingleProxy implements AutoCloseable {
    private static final long READY_MS = 30_000;
    private final Process process;
    private final InetSocketAddress listen;

    /**
     * Starts the process and waits until it serves.
     *
     * @throws IOException with its output if it does not
     */
    public SingleProxy(SiteModel model, ProcessSite.Program program, List<InetSocketAddress> nodes)
            throws IOException, InterruptedException {
        Files.createDirectories(program.folder());
        SiteSettings settings = new SiteLayout(model, 1).settings;
        List<EndpointEntry> known = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            known.add(settings.entry(i, nodes.get(i)));
        }
        try (ServerSocket free = new ServerSocket()) {
            free.bind(EndpointEntry.address("127.0.4.1:0"));
            listen = (InetSocketAddress) free.getLocalSocketAddress();
        }
        InetSocketAddress nobody = EndpointEntry.address("127.0.0.1:1");
        Path file = program.folder().resolve("alone.json");
        Path log = program.folder().resolve("alone.log");
        Files.writeString(file, settings.config(0, 1, listen, nobody, 1, 1, known));
        ProcessBuilder b =
                new ProcessBuilder(program.command()).redirectErrorStream(true).redirectOutput(log.toFile());
        b.environment().putAll(SiteSettings.env(0, listen, nobody, file.toString()));
        process = b.start();
        long limit = System.nanoTime() + READY_MS * 1_000_000;
        while (!greets()) {
            if (!process.isAlive() || System.nanoTime() > limit) {
                process.destroyForcibly();
                throw new IOException("the proxy did not get ready: "
                        + String.join(
                                " / ", Files.readAllLines(log).stream().limit(3).toList()));
            }
            Thread.sleep(20);
        }
    }

    private boolean greets() {
        try (Socket s = new Socket(listen.getAddress(), listen.getPort())) {
            s.setSoTimeout(3_000);
            s.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
            return s.getInputStream().read() == 'M';
        } catch (IOException e) {
            return false; // not there yet
        }
    }

    /** The listen address. */
    public InetSocketAddress address() {
        return listen;
    }

    /** Processor time used, in ms; 0 if not available. */
    public long cpuMs() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toMillis)
                .orElse(0L);
    }

    /** Resident memory in MB; empty if not available. */
    public Optional<Long> memoryMb() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS:"))
                    .map(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) / 1024)
                    .findFirst();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Whether the process ended by itself. */
    public boolean dead() {
        return !process.isAlive();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
