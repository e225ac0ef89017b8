package cacheproxy.lab.experiment;

import cacheproxy.lab.metrics.Outcome;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs in parallel what a store lacks of an experiment, and returns all of its results. */
public final class Runner {
    private static final Logger LOG = LoggerFactory.getLogger(Runner.class);
    private final ResultStore store;
    private final Builds builds;
    private final int threads;

    /** Creates a runner; each of the threads keeps a whole site in memory. */
    public Runner(ResultStore store, Builds builds, int threads) {
        this.store = store;
        this.builds = builds;
        this.threads = threads;
    }

    /**
     * Runs all variants with all seeds.
     *
     * @param progress receives the number of finished runs and of all, on any thread, one call at a time
     * @throws InterruptedException if the thread was interrupted; finished outcomes are stored
     */
    public Results run(Experiment x, BiConsumer<Integer, Integer> progress) throws IOException, InterruptedException {
        Map<String, VariantRunner> runners = builds.of(x);
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        int all = x.variants().size() * x.seeds();
        int[] done = {0};
        try {
            Map<String, List<Future<Outcome>>> asked = new LinkedHashMap<>();
            x.variants().forEach(v -> asked.put(v.name(), new ArrayList<>()));
            for (long seed :
                    x.allSeeds()) { // all variants of a seed together, so that an interrupted run has complete pairs
                for (Experiment.Variant v : x.variants()) {
                    asked.get(v.name()).add(pool.submit(one(v, runners.get(v.name()), seed, () -> {
                        synchronized (done) {
                            progress.accept(++done[0], all);
                        }
                    })));
                }
            }
            Map<String, List<Outcome>> outcomes = new LinkedHashMap<>();
            for (Map.Entry<String, List<Future<Outcome>>> e : asked.entrySet()) {
                List<Outcome> some = new ArrayList<>();
                for (Future<Outcome> f : e.getValue()) {
                    some.add(f.get());
                }
                outcomes.put(e.getKey(), some);
            }
            return new Results(x, outcomes, Build.id());
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private Callable<Outcome> one(Experiment.Variant v, VariantRunner runner, long seed, Runnable done) {
        return () -> {
            Outcome o = store.find(v, seed, runner.build()).orElse(null);
            if (o == null) {
                o = runner.run(v, seed);
                store.keep(v, o, runner.build());
                LOG.debug(
                        "{} seed {}: {} requests, {} events in {} ms",
                        v.name(),
                        seed,
                        o.asked(),
                        o.events(),
                        o.wallMs());
            }
            done.run();
            return o;
        };
    }
}
