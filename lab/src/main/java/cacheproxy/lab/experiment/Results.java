package cacheproxy.lab.experiment;

import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.stats.PairedDifference;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The outcomes of an experiment by variant, in the order of the seeds.
 *
 * @param outcomes by the name of the variant; the same number for each
 * @param build the build that produced them
 */
public record Results(Experiment experiment, Map<String, List<Outcome>> outcomes, String build) {
    /** Names of all figures, in the order of the first outcome that has them. */
    public List<String> figures() {
        Set<String> names = new LinkedHashSet<>();
        outcomes.values()
                .forEach(all -> all.forEach(o -> names.addAll(o.figures().keySet())));
        return new ArrayList<>(names);
    }

    /** One figure of a variant by seed; NaN if an outcome has none. */
    public double[] values(String variant, String figure) {
        return outcomes.get(variant).stream()
                .mapToDouble(o -> {
                    Double x = o.figures().get(figure);
                    return x == null ? Double.NaN : x;
                })
                .toArray();
    }

    /** Mean of the finite values; NaN if there are none. */
    public double mean(String variant, String figure) {
        return java.util.Arrays.stream(values(variant, figure))
                .filter(Double::isFinite)
                .average()
                .orElse(Double.NaN);
    }

    /** Difference of a variant from the first one, paired by seed. */
    public PairedDifference difference(String variant, String figure) {
        return PairedDifference.of(
                values(experiment.variants().get(0).name(), figure), values(variant, figure), figure.hashCode());
    }

    /** The results as JSON, with the series: {@code experiment}, {@code build}, and {@code outcomes} by variant. */
    public String json() throws JsonProcessingException {
        return ExperimentFile.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(this);
    }

    /** Violated rules and errors, with variant and seed. */
    public List<String> broken() {
        List<String> all = new ArrayList<>();
        outcomes.forEach((name, some) ->
                some.forEach(o -> o.broken().forEach(b -> all.add(name + ", seed " + o.seed() + ": " + b))));
        return all;
    }
}
