package cacheproxy.lab.metrics;

import java.util.List;
import java.util.Map;

/**
 * What one play of a site came to. The same site, faults, seed and build bring the same, to the digit, but for
 * {@code wallMs}.
 *
 * @param figures by name, as {@code SiteSimulation.FIGURES} lists them, then {@code class NAME} and {@code tenant NAME}
 * @param series values for each second that counts, by name
 * @param broken rules that were broken and faults of the program; empty on a good day
 * @param asked first attempts that counted
 * @param events what happened in simulated time
 * @param wallMs how long it took to play
 */
public record Outcome(
        long seed,
        Map<String, Double> figures,
        Map<String, double[]> series,
        List<String> broken,
        long asked,
        long events,
        long wallMs) {}
