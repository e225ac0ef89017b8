package cacheproxy.lab.experiment;

import cacheproxy.lab.scenario.Fault;
import cacheproxy.lab.scenario.SiteModel;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * An experiment: a site in several variants, each run with each seed.
 *
 * @param seeds number of seeds, from {@code firstSeed} on
 * @param variants the first is the one that the others are compared with
 */
public record Experiment(String name, String question, long firstSeed, int seeds, List<Variant> variants) {
    /** One variant: its whole site and faults, and the commit of its proxy, empty for this build's. */
    public record Variant(
            String name,
            SiteModel site,
            @JsonProperty("troubles") List<Fault> faults,
            String build) {}

    /** All seeds in order. */
    public List<Long> allSeeds() {
        return java.util.stream.LongStream.range(firstSeed, firstSeed + seeds)
                .boxed()
                .toList();
    }
}
