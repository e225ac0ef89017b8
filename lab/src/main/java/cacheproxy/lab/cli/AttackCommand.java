package cacheproxy.lab.cli;

import cacheproxy.lab.experiment.Builds;
import cacheproxy.lab.experiment.ExperimentFile;
import cacheproxy.lab.load.Attack;
import cacheproxy.lab.load.InstantServer;
import cacheproxy.lab.load.Load;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.LoadResult;
import cacheproxy.lab.process.ProcessSite;
import cacheproxy.lab.process.SingleProxy;
import cacheproxy.lab.scenario.SiteModel;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

@Command(
        name = "attack",
        mixinStandardHelpOptions = true,
        description = "Starts one proxy before stand-in nodes, and"
                + " measures what a tenant's steady load has of it: calm, and beside clients that mean harm.")
final class AttackCommand implements Callable<Integer> {
    private static final String TENANT = "kannur-district";
    private static final String ATTACKER = "thalassery-sessions";

    @Option(
            names = "--kinds",
            paramLabel = "KIND",
            split = ",",
            description = "of ${COMPLETION-CANDIDATES}; all if none is named")
    private List<Attack.Kind> kinds = List.of(Attack.Kind.values());

    @Option(
            names = "--connections",
            paramLabel = "N",
            split = ",",
            description = "that mean harm; each number is played")
    private List<Integer> connections = List.of(1, 30, 100);

    @Option(names = "--rate", paramLabel = "N", description = "requests a second of the load (${DEFAULT-VALUE})")
    private double rate = 400;

    @Option(names = "--seconds", paramLabel = "N", description = "each (${DEFAULT-VALUE})")
    private double seconds = 4;

    @Option(
            names = "--proxy-jar",
            paramLabel = "FILE",
            description = "which proxy; the one built beside the lab if none is named")
    private Path proxyJar;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (connections.stream().anyMatch(n -> n < 1 || n > 10_000)) {
            throw new ParameterException(spec.commandLine(), "--connections: from 1 to 10000");
        }
        if (!(seconds >= 1 && seconds <= 3_600)) {
            throw new ParameterException(spec.commandLine(), "--seconds: from 1 to 3600, not " + seconds);
        }
        PrintWriter out = spec.commandLine().getOut();
        SiteModel site = ExperimentFile.of("version: 1\nname: attack\nsite: {quotas: 5, proxies: 3, nodes: 200}\n")
                .variants()
                .get(0)
                .site();
        Path jar = proxyJar == null ? RunCommand.beside() : proxyJar;
        out.printf(
                "%-11s %5s %8s %8s %9s %9s %7s %7s %8s%n",
                "attack", "conns", "served", "refused", "p50 ms", "p99 ms", "cpu", "MB", "dialled");
        try (InstantServer a = new InstantServer(1);
                InstantServer b = new InstantServer(1);
                InstantServer c = new InstantServer(1)) {
            for (int k = 0; k < kinds.size(); k++) {
                try (SingleProxy proxy = new SingleProxy(
                        site,
                        new ProcessSite.Program(
                                Builds.serve(List.of("-jar", jar.toString())), Path.of("found", "attack", "logs")),
                        List.of(a.address(), b.address(), c.address()))) {
                    load(proxy, 2);
                    row(out, "calm", 0, proxy, 0);
                    for (int n : connections) {
                        try (Attack attack = new Attack(kinds.get(k), proxy.address(), n, ATTACKER, TENANT)) {
                            row(out, kinds.get(k).name().toLowerCase(java.util.Locale.ROOT), n, proxy, attack.dials());
                        }
                    }
                    if (proxy.dead()) {
                        out.println("the proxy has ended");
                        out.flush();
                        return Main.BROKEN;
                    }
                }
            }
        }
        return 0;
    }

    private LoadResult load(SingleProxy proxy, double lasts) throws Exception {
        return new Load(new LoadPlan(
                        List.of(proxy.address()),
                        rate,
                        lasts,
                        Math.min(1, lasts / 4),
                        32,
                        1,
                        1,
                        List.of(new LoadPlan.Part("phrase-lookup", 1, false)),
                        List.of(new LoadPlan.Part(TENANT, 1, false)),
                        10_000,
                        0.9,
                        40,
                        40,
                        1_500,
                        1,
                        rate,
                        false))
                .run(line -> {});
    }

    private void row(PrintWriter out, String name, int n, SingleProxy proxy, long dials) throws Exception {
        long before = proxy.cpuMs();
        LoadResult r = load(proxy, seconds);
        double cpu = (proxy.cpuMs() - before) / seconds / 1e3;
        out.printf(
                "%-11s %5d %8.4f %8d %9.2f %9.2f %6.0f%% %7s %8d%n",
                name,
                n,
                r.served(),
                r.count(LoadResult.End.REFUSED),
                r.latencyMs(50),
                r.latencyMs(99),
                cpu * 100,
                proxy.memoryMb().map(String::valueOf).orElse("-"),
                dials);
        if (!r.voidFor().isEmpty()) {
            out.println("void: " + r.voidFor());
        }
        out.flush();
    }
}
