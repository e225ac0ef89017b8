package cacheproxy.lab.cli;

import cacheproxy.lab.experiment.Builds;
import cacheproxy.lab.experiment.Engine;
import cacheproxy.lab.experiment.Experiment;
import cacheproxy.lab.experiment.ExperimentFile;
import cacheproxy.lab.experiment.ResultStore;
import cacheproxy.lab.experiment.Results;
import cacheproxy.lab.experiment.Runner;
import cacheproxy.lab.report.Report;
import cacheproxy.lab.stats.PairedDifference;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays an experiment and writes its report. Ended halfway, it goes on where it was.")
final class RunCommand implements Callable<Integer> {
    private static final List<String> SHOWN = List.of(
            "figure",
            "in time",
            "late",
            "refused",
            "failed",
            "p99 ms",
            "during",
            "back after s",
            "attempts a request",
            "wasted work",
            "nodes fallen");

    @Parameters(paramLabel = "FILE", description = "the experiment")
    private Path file;

    @Option(names = "--out", paramLabel = "FOLDER", description = "for results and report; found/NAME if none is named")
    private Path out;

    @Option(names = "--threads", paramLabel = "N", description = "plays at once; the processors if not said")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Option(names = "--seeds", paramLabel = "N", description = "so many, in place of what the file says")
    private Integer seeds;

    @Option(
            names = "--engine",
            paramLabel = "NAME",
            description = "simulated, or processes: real ones on loopback, in real"
                    + " time, one play after the other (${DEFAULT-VALUE})")
    private Engine engine = Engine.SIMULATED;

    @Option(
            names = "--proxy-jar",
            paramLabel = "FILE",
            description = "the proxy that processes run; the one built beside" + " the lab if none is named")
    private Path proxyJar;

    @Option(
            names = "--repository",
            paramLabel = "FOLDER",
            description = "where commits are looked for (${DEFAULT-VALUE})")
    private Path repository = Path.of(".");

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (threads < 1 || threads > 256) {
            throw new ParameterException(spec.commandLine(), "--threads: from 1 to 256, not " + threads);
        }
        if (seeds != null && (seeds < 1 || seeds > 10_000)) {
            throw new ParameterException(spec.commandLine(), "--seeds: from 1 to 10000, not " + seeds);
        }
        Experiment read = ExperimentFile.read(file);
        Experiment x = seeds == null
                ? read
                : new Experiment(read.name(), read.question(), read.firstSeed(), seeds, read.variants());
        Path folder = out == null ? Path.of("found", x.name()) : out;
        PrintWriter err = spec.commandLine().getErr();
        try (ResultStore store = new ResultStore(folder.resolve("results.db"));
                Builds builds = new Builds(folder, repository, engine, proxyJar == null ? beside() : proxyJar)) {
            Results r = new Runner(store, builds, engine == Engine.PROCESSES ? 1 : threads).run(x, (done, all) -> {
                err.printf("\r%d of %d plays", done, all);
                err.flush();
            });
            err.println();
            Path html = Report.write(r, folder);
            print(r);
            spec.commandLine().getOut().println("report: " + html);
            return r.broken().isEmpty() ? 0 : Main.BROKEN;
        }
    }

    /** The proxy of this build, in {@code proxy/target} beside {@code lab/target/cacheproxy-lab.jar}. */
    static Path beside() {
        Path jar = Path.of(System.getProperty("java.class.path").split(java.io.File.pathSeparator)[0])
                .toAbsolutePath();
        Path root = jar.getParent() == null || jar.getParent().getParent() == null
                ? null
                : jar.getParent().getParent().getParent();
        return root == null ? Path.of("cacheproxy.jar") : root.resolve(Path.of("proxy", "target", "cacheproxy.jar"));
    }

    private void print(Results r) {
        PrintWriter to = spec.commandLine().getOut();
        List<Experiment.Variant> all = r.experiment().variants();
        to.printf("%-20s", "");
        all.forEach(v -> to.printf(" %22s", v.name()));
        to.println();
        for (String figure : SHOWN) {
            to.printf("%-20s", figure);
            all.forEach(v -> to.printf(" %22s", Report.cell(r, v.name(), figure)));
            to.println();
        }
        for (int i = 1; i < all.size(); i++) {
            PairedDifference d = r.difference(all.get(i).name(), "figure");
            to.printf(
                    "%s against %s, figure: %+.4f (%.4f to %.4f), %s%n",
                    all.get(i).name(), all.get(0).name(), d.mean(), d.low(), d.high(), Report.verdict("figure", d));
        }
        r.broken().stream().limit(10).forEach(b -> to.println("broken: " + b));
        to.flush();
    }
}
