package cacheproxy.server;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;

/** The proxy in a process of its own, with its standard error read line by line. */
final class ProxyChildProcess implements Closeable {
    private static final long MAX_WAIT_NS = 20_000_000_000L;

    final Process process;
    final InetSocketAddress address;
    /** The lines that the process has written to standard error. */
    final List<String> errorLines = new CopyOnWriteArrayList<>();

    final Path config;
    private final Path classLoadingLog;
    /** The thread that reads standard error; null if it is left unread. */
    private final Thread errorReader;

    private final List<Peer> clients = new ArrayList<>();

    /** The options of the start, each with a default. */
    static final class Start {
        /** Shell commands that run first; the program then replaces the shell, so that the process id is the same. */
        String shellCommands = ":";

        String settings = ProxyFixture.SETTINGS;
        int sockets = 1024;
        /** Whether nobody reads standard error, so that its pipe can fill. */
        boolean errorOutputUnread;

        int port;
        List<String> jvmOptions = List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC");
        /** Environment variables besides those that every start needs. */
        Map<String, String> env = Map.of();

        String[] program = {"cacheproxy.app.Main", "serve"};

        ProxyChildProcess with(Peer.Listener discovery, String known) throws IOException {
            return new ProxyChildProcess(this, discovery, known);
        }
    }

    /**
     * The program in a jar, as it is shipped. The JVM keeps a jar open from the start, while from a directory it opens
     * the file of each class on first use, which fails if no file descriptor is free.
     */
    private static final class Jar {
        static final Path FILE = jar();

        private static Path jar() {
            try {
                Path classes = Path.of(ProxyServer.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .toURI());
                Path file = Files.createTempFile("classes", ".jar");
                file.toFile().deleteOnExit();
                try (ZipOutputStream out = new ZipOutputStream(Files.newOutputStream(file));
                        Stream<Path> paths = Files.walk(classes)) {
                    for (Path path : paths.filter(Files::isRegularFile).toList()) {
                        out.putNextEntry(new ZipEntry(classes.relativize(path).toString()));
                        Files.copy(path, out);
                    }
                }
                return file;
            } catch (IOException | URISyntaxException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private ProxyChildProcess(Start options, Peer.Listener discovery, String known) throws IOException {
        int port = options.port != 0 ? options.port : freePort();
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        config = Files.createTempFile("config", ".json");
        classLoadingLog = Files.createTempFile("classes", ".log");
        Files.writeString(config, ProxyFixture.json(known, options.settings, options.sockets));
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                options.shellCommands + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + classLoadingLog + "::filecount=0",
                "-cp",
                Jar.FILE + File.pathSeparator + System.getProperty("java.class.path"));
        builder.command().addAll(options.jvmOptions);
        builder.command().addAll(List.of(options.program));
        builder.environment().putAll(ProxyFixture.env(config, discovery.address()));
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().putAll(options.env);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        process = builder.start();
        if (options.errorOutputUnread) {
            errorReader = null;
        } else {
            errorReader = new Thread(this::readErrorOutput, "child");
            errorReader.setDaemon(true);
            errorReader.start();
        }
    }

    /** The JVM options of the deploy file's {@code run} line, but for the archive of the packaged classes. */
    static List<String> deployedJvmOptions() throws IOException {
        for (String line : Files.readAllLines(Path.of("..", "deploy", "balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return Stream.of(line.split(" "))
                        .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
                        .filter(word -> !word.contains("SharedArchiveFile"))
                        .toList();
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    /** The most memory that the process has used so far, in bytes. */
    long peakMemoryBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
            }
        }
        throw new IOException("no VmHWM");
    }

    /**
     * Picks a free port below the range that the system assigns to clients: a client that repeatedly connects to a port
     * in that range, on which nobody listens yet, is eventually assigned the same port and connects to itself.
     */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 20_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // the port is in use
            }
        }
        throw new IOException("no free port");
    }

    private void readErrorOutput() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                errorLines.add(line);
            }
        } catch (IOException e) {
            // closed by the test
        }
    }

    /** Waits for {@code done}; fails if the process has exited, because it would never become true. */
    void await(String what, BooleanSupplier done) throws InterruptedException {
        for (long deadlineNs = System.nanoTime() + MAX_WAIT_NS; !done.getAsBoolean(); Thread.sleep(1)) {
            if (!process.isAlive()) {
                throw new AssertionError(what + ": the process has exited with " + process.exitValue()
                        + "; standard error: " + errorLines);
            }
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError(what + ": did not happen; standard error: " + errorLines);
            }
        }
    }

    /** Waits for a line on standard error that contains the text, at index {@code from} or later. */
    void awaitErrorLine(int from, String text) throws InterruptedException {
        await("to write '" + text + "'", () -> errorLines.stream().skip(from).anyMatch(line -> line.contains(text)));
    }

    /** Fails unless a line contains the text; if the process has exited, its last lines are read first. */
    void assertErrorLine(String text) throws InterruptedException {
        if (errorReader != null && !process.isAlive()) {
            errorReader.join();
        }
        if (errorLines.stream().noneMatch(line -> line.contains(text))) {
            throw new AssertionError("'" + text + "' was not written; standard error: " + errorLines);
        }
    }

    /**
     * Waits until the process has loaded a class, which shows how far its start has come and needs no support in the
     * program. The JVM handles signals long before it loads the first class of the proxy.
     */
    void awaitClassLoaded(String name) throws InterruptedException {
        await("to load " + name, () -> classes().contains(" " + name + " source:"));
    }

    /** The JVM's log of the loaded classes. */
    String classes() {
        try {
            return Files.readString(classLoadingLog, StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Connects to the proxy once it listens. */
    Peer connect() throws IOException, InterruptedException {
        Peer[] client = new Peer[1];
        await("to listen", () -> {
            try {
                client[0] = Peer.to(address);
                return true;
            } catch (ConnectException e) {
                return false;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        clients.add(client[0]);
        return client[0];
    }

    /** Connects to the proxy and waits until it is ready. */
    Peer connectWhenReady() throws IOException, InterruptedException {
        Peer client = connect();
        client.send("mn\r\n");
        client.expect("MN");
        return client;
    }

    /** Waits for the process to exit and returns the exit code; all lines that it wrote have been read then. */
    int awaitExit(int seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new AssertionError("still runs after " + seconds + " s; standard error: " + errorLines);
        }
        if (errorReader != null) {
            errorReader.join(TimeUnit.NANOSECONDS.toMillis(MAX_WAIT_NS));
        }
        return process.exitValue();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        for (Peer client : clients) {
            client.close();
        }
        Files.deleteIfExists(config);
        Files.deleteIfExists(classLoadingLog);
    }
}
