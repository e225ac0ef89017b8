package cacheproxy.lab.cli;

import cacheproxy.lab.experiment.Experiment;
import cacheproxy.lab.experiment.ExperimentFile;
import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.report.Report;
import cacheproxy.lab.scenario.SiteSimulation;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Plays one seed of one variant again, and prints all of it.")
final class ReplayCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "the experiment")
    private Path file;

    @Parameters(index = "1", paramLabel = "SEED", description = "which seed")
    private long seed;

    @Option(names = "--variant", paramLabel = "NAME", description = "which variant; the first one if none is named")
    private String variant;

    @Spec
    private CommandSpec spec;

    static Experiment.Variant named(Experiment x, String name, Path file, CommandSpec spec) {
        return name == null
                ? x.variants().get(0)
                : x.variants().stream()
                        .filter(v -> v.name().equals(name))
                        .findFirst()
                        .orElseThrow(() -> new ParameterException(
                                spec.commandLine(), "--variant: there is no " + name + " in " + file));
    }

    @Override
    public Integer call() throws Exception {
        Experiment x = ExperimentFile.read(file);
        Experiment.Variant v = named(x, variant, file, spec);
        if (!v.build().isEmpty()) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--variant: " + v.name() + " is of build " + v.build() + ", and this one replays itself alone");
        }
        Outcome o = SiteSimulation.run(v.site(), v.faults(), seed);
        PrintWriter out = spec.commandLine().getOut();
        o.figures().forEach((name, value) -> out.printf("%-28s %s%n", name, Report.number(value)));
        out.printf("%-28s %d%n%-28s %d%n", "requests", o.asked(), "events", o.events());
        o.broken().forEach(b -> out.println("broken: " + b));
        out.flush();
        return o.broken().isEmpty() ? 0 : Main.BROKEN;
    }
}
