package cacheproxy.lab.experiment;

import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.process.ProcessSite;
import cacheproxy.lab.scenario.SiteSimulation;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import javax.tools.Diagnostic;
import javax.tools.DiagnosticCollector;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/**
 * The proxies that variants run on: this build's, and those of other commits, compiled against this lab's libraries and
 * loaded by a class loader of their own. The lab is always this one, so that only the proxy differs.
 */
public final class Builds implements AutoCloseable {
    /** Source folders of the proxy: with modules, and before there were any. */
    private static final List<String> SOURCE_ROOTS = List.of("proxy/src/main/java/", "src/main/java/");
    /** The proxy's packages under today's names: all of its module. */
    private static final String MODULE = "proxy/src/main/java/cacheproxy/";

    private static final String ENTRY_CLASS = "cacheproxy.app.Main";
    /** The proxy's packages under the names of earlier versions, in whichever module. */
    private static final List<String> EARLIER_PACKAGES =
            List.of("holdproxy/net/", "holdproxy/sim/", "holdproxy/control/", "holdproxy/limits/");

    private static final String EARLIER_TOP_LEVEL = "holdproxy/[A-Za-z]+\\.java";
    /**
     * The entry point. Before there were modules it started the agent too, and such a commit cannot be run as a
     * process.
     */
    private static final String EARLIER_ENTRY = "proxy/src/main/java/holdproxy/app/";

    private static final String EARLIER_ENTRY_CLASS = "holdproxy.app.Main";
    private static final int MOST_ERRORS = 5;
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:CompileThresholdScaling=0.3",
            "-Xms40m",
            "-Xmx80m",
            "-Xmn24m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:-UsePerfData",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.noPreferDirect=true",
            "-Dio.netty.eventLoopThreads=1");

    private final Path folder;
    private final Path repository;
    private final Engine engine;
    private final Path proxyJar;
    private final Map<String, VariantRunner> runners = new HashMap<>();
    private final List<URLClassLoader> loaders = new ArrayList<>();

    /**
     * Creates the builds of a run.
     *
     * @param folder for compiled classes, and for configurations and logs of processes
     * @param proxyJar of this build; used for processes only
     */
    public Builds(Path folder, Path repository, Engine engine, Path proxyJar) {
        this.folder = folder;
        this.repository = repository;
        this.engine = engine;
        this.proxyJar = proxyJar;
    }

    /**
     * Prepares the builds of all variants before the first run.
     *
     * @throws IOException if one cannot be built, with the variant and the reason
     */
    Map<String, VariantRunner> of(Experiment x) throws IOException {
        Map<String, VariantRunner> all = new HashMap<>();
        for (Experiment.Variant v : x.variants()) {
            try {
                VariantRunner p = runners.get(v.build());
                if (p == null) {
                    p = v.build().isEmpty() ? own() : guest(v.build());
                    runners.put(v.build(), p);
                }
                all.put(v.name(), p);
            } catch (IOException e) {
                throw new IOException("variant " + v.name() + ": " + e.getMessage(), e);
            }
        }
        return all;
    }

    private VariantRunner own() throws IOException {
        if (engine == Engine.PROCESSES) {
            if (!Files.exists(proxyJar)) {
                throw new IOException("there is no " + proxyJar + ": build the proxy first");
            }
            return processes(digest(proxyJar), List.of("-jar", proxyJar.toString()));
        }
        return runner(Build.id(), (v, seed) -> SiteSimulation.run(v.site(), v.faults(), seed));
    }

    private VariantRunner guest(String revision) throws IOException {
        Path classes = compiled(commit(revision));
        if (engine == Engine.PROCESSES) {
            return processes(
                    digest(classes),
                    List.of(
                            "-cp",
                            classes + File.pathSeparator + classPath(),
                            earlierNames(classes) ? EARLIER_ENTRY_CLASS : ENTRY_CLASS));
        }
        if (earlierNames(classes)) {
            // the loader below would load this build's proxy instead
            throw new IOException(revision + " names its packages as earlier versions did (holdproxy): it can only be"
                    + " played with --engine processes");
        }
        List<URL> urls = new ArrayList<>();
        urls.add(url(classes));
        for (String entry : classPath().split(File.pathSeparator)) {
            urls.add(url(Path.of(entry)));
        }
        URLClassLoader loader = new URLClassLoader(urls.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
        loaders.add(loader);
        try {
            Class<?> guest = loader.loadClass(ForeignBuild.class.getName());
            Method play = guest.getMethod("run", String.class, long.class);
            String build = (String) guest.getMethod("build").invoke(null);
            return runner(build, (v, seed) -> {
                String text = ExperimentFile.mapper().writeValueAsString(v);
                return ExperimentFile.mapper().readValue((String) invoke(play, revision, text, seed), Outcome.class);
            });
        } catch (ReflectiveOperationException e) {
            throw new IOException(revision + " does not fit this lab: " + e, e);
        }
    }

    private static boolean earlierNames(Path classes) {
        return Files.isDirectory(classes.resolve("holdproxy"));
    }

    private static Object invoke(Method m, String revision, Object... arguments) throws IOException {
        try {
            return m.invoke(null, arguments);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof LinkageError) {
                throw new IOException(revision + " does not fit this lab: " + e.getCause(), e.getCause());
            }
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    private interface VariantRun {
        Outcome run(Experiment.Variant v, long seed) throws IOException, InterruptedException;
    }

    private static VariantRunner runner(String build, VariantRun plays) {
        return new VariantRunner() {
            @Override
            public String build() {
                return build;
            }

            @Override
            public Outcome run(Experiment.Variant v, long seed) throws IOException, InterruptedException {
                return plays.run(v, seed);
            }
        };
    }

    private VariantRunner processes(String digest, List<String> program) {
        List<String> command = serve(program);
        return runner(
                "processes " + digest,
                (v, seed) -> ProcessSite.run(
                        v.site(),
                        v.faults(),
                        seed,
                        new ProcessSite.Program(
                                command,
                                folder.resolve("logs")
                                        .resolve(v.name() + "-" + seed)
                                        .toAbsolutePath())));
    }

    /**
     * The command line of a proxy process with the JVM flags of its deployment; {@code program} is -jar or -cp and what
     * follows.
     */
    public static List<String> serve(List<String> program) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(program);
        command.add("serve");
        return command;
    }

    private static String classPath() {
        return System.getProperty("java.class.path");
    }

    private static URL url(Path p) throws IOException {
        try {
            return p.toUri().toURL();
        } catch (MalformedURLException e) {
            throw new IOException(e);
        }
    }

    private static String digest(Path from) throws IOException {
        java.security.MessageDigest sha = Build.sha();
        try (Stream<Path> all = Files.walk(from)) {
            for (Path p : all.filter(Files::isRegularFile).sorted().toList()) {
                sha.update(Files.readAllBytes(p));
            }
        }
        return HexFormat.of().formatHex(sha.digest(), 0, 8);
    }

    // ---- a commit's proxy ----

    private String commit(String revision) throws IOException {
        return new String(
                        git("rev-parse", "--verify", "--end-of-options", revision + "^{commit}"),
                        StandardCharsets.US_ASCII)
                .strip();
    }

    private byte[] git(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("git", "-C", repository.toString()));
        command.addAll(List.of(arguments));
        Path errors = Files.createTempFile("cacheproxy-lab", ".err");
        try {
            Process p =
                    new ProcessBuilder(command).redirectError(errors.toFile()).start();
            byte[] out = p.getInputStream().readAllBytes();
            if (p.waitFor() != 0) {
                throw new IOException("git " + arguments[0] + ": "
                        + Files.readString(errors).strip().lines().findFirst().orElse("failed"));
            }
            return out;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new java.io.InterruptedIOException();
        } finally {
            Files.delete(errors);
        }
    }

    /** Compiles the classes of a commit once; the folder gets its name only when it is complete. */
    private Path compiled(String commit) throws IOException {
        Path done = folder.resolve("builds").resolve(commit).toAbsolutePath();
        if (Files.exists(done)) {
            return done;
        }
        JavaCompiler javac = ToolProvider.getSystemJavaCompiler();
        if (javac == null) {
            throw new IOException("a build needs a JDK, and this is a Java runtime without its compiler");
        }
        Files.createDirectories(done.getParent());
        Path work = Files.createTempDirectory(done.getParent(), "work");
        try {
            Path sources = work.resolve("src");
            List<Path> files = sources(commit, sources);
            if (files.isEmpty()) {
                throw new IOException(commit + " has no proxy");
            }
            Path classes = Files.createDirectories(work.resolve("classes"));
            DiagnosticCollector<JavaFileObject> said = new DiagnosticCollector<>();
            try (StandardJavaFileManager manager = javac.getStandardFileManager(said, null, StandardCharsets.UTF_8)) {
                boolean good = javac.getTask(
                                new StringWriter(),
                                manager,
                                said,
                                List.of(
                                        "-d",
                                        classes.toString(),
                                        "-proc:none",
                                        "-nowarn",
                                        "-implicit:none",
                                        "-cp",
                                        classPath()),
                                null,
                                manager.getJavaFileObjectsFromPaths(files))
                        .call();
                if (!good) {
                    throw new IOException(commit + " does not compile: "
                            + String.join(
                                    "; ",
                                    said.getDiagnostics().stream()
                                            .filter(d -> d.getKind() == Diagnostic.Kind.ERROR)
                                            .limit(MOST_ERRORS)
                                            .map(Builds::shown)
                                            .toList()));
                }
            }
            Files.move(classes, done, StandardCopyOption.ATOMIC_MOVE);
            return done;
        } finally {
            try (Stream<Path> all = Files.walk(work)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    private static String shown(Diagnostic<? extends JavaFileObject> d) {
        String file = d.getSource() == null
                ? ""
                : Path.of(d.getSource().toUri()).getFileName() + ":" + d.getLineNumber() + ": ";
        return file + d.getMessage(java.util.Locale.ROOT).lines().findFirst().orElse("");
    }

    private List<Path> sources(String commit, Path into) throws IOException {
        List<Path> files = new ArrayList<>();
        try (ZipInputStream zip = new ZipInputStream(archive(commit))) {
            for (ZipEntry e = zip.getNextEntry(); e != null; e = zip.getNextEntry()) {
                String name = e.getName();
                String root = SOURCE_ROOTS.stream()
                        .filter(name::startsWith)
                        .findFirst()
                        .orElse(null);
                if (root == null || !name.endsWith(".java") || !ofProxy(name, name.substring(root.length()))) {
                    continue;
                }
                Path file = into.resolve(name.substring(root.length())).normalize();
                if (!file.startsWith(into)) {
                    throw new IOException(commit + ": " + name + " leads out of its folder");
                }
                Files.createDirectories(file.getParent());
                Files.copy(zip, file);
                files.add(file);
            }
        }
        return files;
    }

    private InputStream archive(String commit) throws IOException {
        return new java.io.ByteArrayInputStream(git("archive", "--format=zip", commit));
    }

    private static boolean ofProxy(String name, String inSourceRoot) {
        return name.startsWith(MODULE)
                || name.startsWith(EARLIER_ENTRY)
                || EARLIER_PACKAGES.stream().anyMatch(inSourceRoot::startsWith)
                || inSourceRoot.matches(EARLIER_TOP_LEVEL);
    }

    @Override
    public void close() throws IOException {
        for (URLClassLoader l : loaders) {
            l.close();
        }
    }
}
