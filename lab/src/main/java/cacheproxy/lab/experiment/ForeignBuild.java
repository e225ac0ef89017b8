package cacheproxy.lab.experiment;

import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.scenario.SiteSimulation;
import java.io.IOException;

/** The entry point for running a variant within another build's class loader; only strings are exchanged. */
public final class ForeignBuild {
    private ForeignBuild() {}

    /** The build of its outcomes. */
    public static String build() {
        return Build.id();
    }

    /** Runs a variant, given as JSON, and returns its outcome as JSON. */
    public static String run(String variant, long seed) throws IOException {
        Experiment.Variant v = ExperimentFile.mapper().readValue(variant, Experiment.Variant.class);
        Outcome o = SiteSimulation.run(v.site(), v.faults(), seed);
        return ExperimentFile.mapper().writeValueAsString(o);
    }
}
