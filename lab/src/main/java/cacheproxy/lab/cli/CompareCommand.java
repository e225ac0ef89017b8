package cacheproxy.lab.cli;

import cacheproxy.lab.experiment.Experiment;
import cacheproxy.lab.experiment.ExperimentFile;
import cacheproxy.lab.experiment.ResultStore;
import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.report.Report;
import cacheproxy.lab.stats.PairedDifference;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Compares two builds that have played the same"
                + " file, each with its own results, pair by pair of the same variant and seed.")
final class CompareCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "the experiment that both have played")
    private Path file;

    @Parameters(index = "1", paramLabel = "OLD", description = "the folder of the first build's results")
    private Path old;

    @Parameters(index = "2", paramLabel = "NEW", description = "the folder of the second's")
    private Path fresh;

    @Option(names = "--all", description = "all figures, not only those that differ")
    private boolean all;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Experiment x = ExperimentFile.read(file);
        PrintWriter out = spec.commandLine().getOut();
        for (Experiment.Variant v : x.variants()) {
            SortedMap<Long, Outcome> a = read(old, v);
            SortedMap<Long, Outcome> b = read(fresh, v);
            List<Long> seeds = a.keySet().stream().filter(b::containsKey).toList();
            if (seeds.isEmpty()) {
                throw new IOException(v.name() + ": no seed that both have played: nothing to pair");
            }
            out.printf("%s, %d pairs%n", v.name(), seeds.size());
            int same = 0;
            for (String figure : figures(a.values(), b.values())) {
                PairedDifference d =
                        PairedDifference.of(values(a, seeds, figure), values(b, seeds, figure), figure.hashCode());
                String verdict = Report.verdict(figure, d);
                boolean differs = d.verdict() != PairedDifference.Verdict.CANNOT_TELL;
                same += differs ? 0 : 1;
                if ((differs || all) && d.pairs() > 0) {
                    out.printf("  %-28s %+10.4f  (%.4f to %.4f)  %s%n", figure, d.mean(), d.low(), d.high(), verdict);
                }
            }
            out.printf("  %d figures do not differ beyond chance%n", same);
        }
        out.flush();
        return 0;
    }

    /** The outcomes of the one build in a store; with several it would be ambiguous. */
    private SortedMap<Long, Outcome> read(Path folder, Experiment.Variant v) throws IOException {
        Path db = folder.resolve("results.db");
        if (!Files.exists(db)) {
            throw new ParameterException(spec.commandLine(), db + " is not there");
        }
        try (ResultStore store = new ResultStore(db)) {
            Map<String, SortedMap<Long, Outcome>> builds = store.all(v);
            if (builds.isEmpty()) {
                throw new IOException(db + ": " + v.name() + " was not played as the file has it");
            }
            if (builds.size() > 1) {
                throw new IOException(db + ": " + v.name() + " was played by " + builds.size()
                        + " builds; give each a folder of its own");
            }
            return builds.values().iterator().next();
        }
    }

    private static Set<String> figures(Collection<Outcome> a, Collection<Outcome> b) {
        Set<String> names = new LinkedHashSet<>();
        List<Outcome> both = new ArrayList<>(a);
        both.addAll(b);
        both.forEach(o -> names.addAll(o.figures().keySet()));
        return names;
    }

    private static double[] values(Map<Long, Outcome> of, List<Long> seeds, String figure) {
        return seeds.stream()
                .mapToDouble(s -> of.get(s).figures().getOrDefault(figure, Double.NaN))
                .toArray();
    }
}
