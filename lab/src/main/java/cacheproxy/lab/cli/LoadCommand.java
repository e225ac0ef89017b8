package cacheproxy.lab.cli;

import cacheproxy.lab.load.InstantServer;
import cacheproxy.lab.load.Load;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.LoadResult;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Loads proxies over sockets, open loop; Ctrl-C ends it with what was measured so far.")
final class LoadCommand implements Callable<Integer> {
    private static final long LINGER_S = 20;

    @Option(
            names = "--to",
            paramLabel = "HOST:PORT",
            split = ",",
            description = "proxies on loopback; without it a"
                    + " stand-in of its own, which tells what the tool itself can do")
    private List<String> to = new ArrayList<>();

    @Option(names = "--rate", paramLabel = "N", description = "requests a second (${DEFAULT-VALUE})")
    private double rate = 1_000;

    @Option(names = "--seconds", paramLabel = "N", description = "for so long (${DEFAULT-VALUE})")
    private double seconds = 10;

    @Option(names = "--warm-seconds", paramLabel = "N", description = "of these do not count (${DEFAULT-VALUE})")
    private double warm = 1;

    @Option(names = "--connections", paramLabel = "N", description = "in all (${DEFAULT-VALUE})")
    private int connections = 64;

    @Option(
            names = "--pipeline",
            paramLabel = "N",
            description = "requests on one before its first is answered (${DEFAULT-VALUE})")
    private int pipeline = 1;

    @Option(names = "--loops", paramLabel = "N", description = "threads (${DEFAULT-VALUE})")
    private int loops = 2;

    @Option(names = "--class", paramLabel = "NAME=SHARE", split = ",", description = "classes that read")
    private Map<String, Double> reads = new LinkedHashMap<>();

    @Option(names = "--write-class", paramLabel = "NAME=SHARE", split = ",", description = "classes that write")
    private Map<String, Double> writes = new LinkedHashMap<>();

    @Option(names = "--tenant", paramLabel = "NAME=SHARE", split = ",", description = "tenants")
    private Map<String, Double> tenants = new LinkedHashMap<>();

    @Option(names = "--keys", paramLabel = "N", description = "distinct ones (${DEFAULT-VALUE})")
    private int keys = 10_000;

    @Option(names = "--zipf", paramLabel = "X", description = "exponent of their popularity (${DEFAULT-VALUE})")
    private double zipf = 0.9;

    @Option(names = "--value-bytes", paramLabel = "N|N-M", description = "of a write (${DEFAULT-VALUE})")
    private String valueBytes = "40";

    @Option(names = "--ramp-from", paramLabel = "N", description = "the rate grows evenly from this one to --rate")
    private Double rampFrom;

    @Option(
            names = "--judge",
            description =
                    "keep all bytes, and have the checker judge whether each request had one whole" + " answer in time")
    private boolean judge;

    @Option(names = "--wait-ms", paramLabel = "N", description = "an answer is waited for (${DEFAULT-VALUE})")
    private int waitMs = 1_500;

    @Option(names = "--seed", paramLabel = "N", description = "of arrivals and keys (${DEFAULT-VALUE})")
    private long seed = 1;

    @Option(
            names = "--steps",
            paramLabel = "N",
            description = "steps, each 1.25 times the one before, until --p99-ms or"
                    + " --served does not hold (${DEFAULT-VALUE})")
    private int steps = 1;

    @Option(names = "--p99-ms", paramLabel = "MS", description = "a step holds up to this (${DEFAULT-VALUE})")
    private double p99Ms = 750;

    @Option(names = "--served", paramLabel = "SHARE", description = "a step holds from this on (${DEFAULT-VALUE})")
    private double served = 0.99;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (steps < 1 || steps > 100) {
            throw new ParameterException(spec.commandLine(), "--steps: from 1 to 100, not " + steps);
        }
        if (steps > 1 && rampFrom != null) {
            throw new ParameterException(spec.commandLine(), "--ramp-from: not together with --steps");
        }
        if (!valueBytes.matches("[0-9]{1,6}(-[0-9]{1,6})?")) {
            throw new ParameterException(spec.commandLine(), "--value-bytes: N or N-M, not " + valueBytes);
        }
        if (!to.isEmpty()) {
            return steps(to.stream().map(this::address).toList());
        }
        try (InstantServer node = new InstantServer(2)) {
            spec.commandLine().getOut().println("against a stand-in of the tool's own");
            return steps(List.of(node.address()));
        }
    }

    private InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), "--to: HOST:PORT, not " + text);
        }
    }

    private LoadPlan plan(List<InetSocketAddress> targets) {
        List<LoadPlan.Part> classes = new ArrayList<>();
        reads.forEach((name, share) -> classes.add(new LoadPlan.Part(name, share, false)));
        writes.forEach((name, share) -> classes.add(new LoadPlan.Part(name, share, true)));
        if (classes.isEmpty()) {
            classes.add(new LoadPlan.Part("phrase-lookup", 1, false));
        }
        List<LoadPlan.Part> all = new ArrayList<>();
        tenants.forEach((name, share) -> all.add(new LoadPlan.Part(name, share, false)));
        if (all.isEmpty()) {
            all.add(new LoadPlan.Part("kannur-district", 1, false));
        }
        String[] sizes = valueBytes.split("-");
        try {
            return new LoadPlan(
                    targets,
                    rate,
                    seconds,
                    warm,
                    connections,
                    pipeline,
                    loops,
                    classes,
                    all,
                    keys,
                    zipf,
                    Integer.parseInt(sizes[0]),
                    Integer.parseInt(sizes[sizes.length - 1]),
                    waitMs,
                    seed,
                    rampFrom == null ? rate : rampFrom,
                    judge);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private int steps(List<InetSocketAddress> targets) throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        LoadPlan first = plan(targets);
        out.printf(
                "%10s %10s %8s %8s %8s %8s %9s %9s %9s %9s%n",
                "asked/s",
                "served/s",
                "served",
                "refused",
                "failed",
                "lost",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "late p99");
        double knee = 0;
        Interrupt interrupt = new Interrupt();
        Runtime.getRuntime().addShutdownHook(interrupt);
        try {
            for (int i = 0; i < steps && !interrupt.came; i++) {
                LoadPlan p = i == 0 ? first : first.at(rate * Math.pow(1.25, i));
                Load load = new Load(p);
                interrupt.load = load;
                LoadResult r = load.run(line -> {
                    err.print("\r" + line + "   ");
                    err.flush();
                });
                err.print("\r");
                row(out, p, r);
                if (broken(out, r)) {
                    return Main.BROKEN;
                }
                if (!r.voidFor().isEmpty()) {
                    out.println("void: " + r.voidFor());
                    out.flush();
                    return Main.FAILED;
                }
                if (r.served() < served || !(r.latencyMs(99) <= p99Ms)) {
                    break;
                }
                knee = p.perS();
            }
            if (steps > 1) {
                out.println(
                        knee == 0
                                ? "even the first step does not hold"
                                : String.format("holds up to %.0f a second", knee));
            }
            out.flush();
            return 0;
        } finally {
            interrupt.done.countDown();
        }
    }

    private static boolean broken(PrintWriter out, LoadResult r) {
        if (r.strays() > 0) {
            out.println("broken: " + r.strays() + " answers that nobody asked for");
        }
        if (r.findings() != null) {
            out.println("judged: " + r.findings().counts());
            r.findings().violations().stream().limit(10).forEach(v -> out.println("broken: " + v));
        }
        out.flush();
        return r.strays() > 0
                || r.findings() != null && !r.findings().violations().isEmpty();
    }

    private static void row(PrintWriter out, LoadPlan p, LoadResult r) {
        out.printf(
                "%10.0f %10.0f %8.4f %8d %8d %8d %9.2f %9.2f %9.2f %9.2f%n",
                p.perS(),
                r.servedPerS(),
                r.served(),
                r.count(LoadResult.End.REFUSED),
                r.count(LoadResult.End.FAILED) + r.count(LoadResult.End.WRONG),
                r.count(LoadResult.End.LOST) + r.count(LoadResult.End.UNSENT),
                r.latencyMs(50),
                r.latencyMs(99),
                r.latencyMs(99.9),
                r.lateMs(99));
        out.flush();
    }

    /** On Ctrl-C the load ends, and the process waits until the figures are printed. */
    private static final class Interrupt extends Thread {
        private final CountDownLatch done = new CountDownLatch(1);
        private volatile Load load;
        private volatile boolean came;

        @Override
        public void run() {
            came = true;
            Load now = load;
            if (now != null) {
                now.stop();
            }
            try {
                done.await(LINGER_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
