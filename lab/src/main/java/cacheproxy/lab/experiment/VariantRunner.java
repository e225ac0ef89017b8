package cacheproxy.lab.experiment;

import cacheproxy.lab.metrics.Outcome;
import java.io.IOException;

/** Runs variants on one build of the proxy. */
interface VariantRunner {
    /** The build under which results are stored. */
    String build();

    /**
     * Runs a variant with a seed; errors of the run are part of its outcome.
     *
     * @throws IOException if it cannot be run at all
     */
    Outcome run(Experiment.Variant v, long seed) throws IOException, InterruptedException;
}
