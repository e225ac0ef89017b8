package cacheproxy.lab.cli;

import cacheproxy.lab.experiment.Experiment;
import cacheproxy.lab.experiment.ExperimentFile;
import cacheproxy.lab.experiment.Shrink;
import cacheproxy.lab.scenario.SiteSimulation;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "shrink",
        mixinStandardHelpOptions = true,
        description = "Writes the smallest experiment that still" + " breaks the rule that a seed of this one breaks.")
final class ShrinkCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "the experiment")
    private Path file;

    @Parameters(index = "1", paramLabel = "SEED", description = "one with which a rule is broken")
    private long seed;

    @Option(names = "--variant", paramLabel = "NAME", description = "which variant; the first one if none is named")
    private String variant;

    @Option(names = "--plays", paramLabel = "N", description = "at most (${DEFAULT-VALUE})")
    private int plays = 200;

    @Option(names = "--out", paramLabel = "FILE", description = "where to; NAME-SEED.yaml if none is named")
    private Path out;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (plays < 1 || plays > 100_000) {
            throw new ParameterException(spec.commandLine(), "--plays: from 1 to 100000, not " + plays);
        }
        Experiment x = ExperimentFile.read(file);
        Experiment.Variant v = ReplayCommand.named(x, variant, file, spec);
        if (!v.build().isEmpty()) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--variant: " + v.name() + " is of build " + v.build() + ", and this build's alone can be shrunk");
        }
        PrintWriter err = spec.commandLine().getErr();
        int[] done = {0};
        Shrink.Left left = new Shrink(
                        (site, faults, s) -> {
                            err.printf("\r%d plays", ++done[0]);
                            err.flush();
                            return SiteSimulation.run(site, faults, s).broken();
                        },
                        plays,
                        seed)
                .of(v);
        err.println();
        Path to = out == null ? Path.of(x.name() + "-" + seed + ".yaml") : out;
        Files.writeString(to, Shrink.file(x.name() + "-" + seed, left, seed));
        PrintWriter say = spec.commandLine().getOut();
        say.printf(
                "%d of %d troubles, %d of %d nodes, %d of %d proxies: %s%n",
                left.variant().faults().size(),
                v.faults().size(),
                left.variant().site().nodes(),
                v.site().nodes(),
                left.variant().site().proxies(),
                v.site().proxies(),
                to);
        left.broken().stream().limit(3).forEach(b -> say.println("broken: " + b));
        say.flush();
        return 0;
    }
}
