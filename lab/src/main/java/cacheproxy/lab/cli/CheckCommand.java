package cacheproxy.lab.cli;

import cacheproxy.lab.experiment.Experiment;
import cacheproxy.lab.experiment.ExperimentFile;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Says all that is wrong with an experiment's file.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the experiment")
    private Path file;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Experiment x = ExperimentFile.read(file);
        spec.commandLine().getOut().println(file + ": " + x.variants().size() + " variants, " + x.seeds() + " seeds");
        return 0;
    }
}
