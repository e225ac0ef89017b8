package cacheproxy.lab.cli;

import cacheproxy.lab.replication.FaultSchedule;
import cacheproxy.lab.replication.ModelChecker;
import cacheproxy.lab.replication.ProcessFaultSchedule;
import cacheproxy.lab.replication.ScalingExperiment;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "replica",
        mixinStandardHelpOptions = true,
        subcommands = CommandLine.HelpCommand.class,
        description =
                "The state that members replicate: every order of events among three, schedules of faults, and how it grows.")
final class ReplicaCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "explore, schedules, replay or scale");
    }

    @Command(
            description =
                    "Goes through all orders of messages, losses, repeats, disk writes, ticks, orders and deaths of three members.",
            mixinStandardHelpOptions = true)
    int explore(
            @Option(names = "--depth", defaultValue = "5", description = "steps (${DEFAULT-VALUE})") int depth,
            @Option(names = "--kills", defaultValue = "1", description = "deaths on a path (${DEFAULT-VALUE})")
                    int kills,
            @Option(names = "--losses", defaultValue = "1", description = "lost messages on a path (${DEFAULT-VALUE})")
                    int losses,
            @Option(
                            names = "--twice",
                            defaultValue = "1",
                            description = "repeated messages on a path (${DEFAULT-VALUE})")
                    int twice,
            @Option(names = "--states", defaultValue = "2000000", description = "at most (${DEFAULT-VALUE})")
                    long states,
            @Option(
                            names = "--fault",
                            defaultValue = "NONE",
                            description = "broken on purpose: ${COMPLETION-CANDIDATES}")
                    ModelChecker.Fault fault) {
        if (depth < 1 || depth > 30) {
            throw new ParameterException(spec.commandLine(), "--depth: from 1 to 30, not " + depth);
        }
        PrintWriter out = spec.commandLine().getOut();
        long began = System.nanoTime();
        ModelChecker.Result r = ModelChecker.explore(new ModelChecker.Plan(depth, kills, losses, twice, states), fault);
        out.printf(
                Locale.ROOT,
                "depth %d: %d states, %d ends, %s, %.1f s%n",
                depth,
                r.states(),
                r.paths(),
                r.complete() ? "all of them" : "cut off at --states",
                (System.nanoTime() - began) / 1e9);
        if (r.violation() != null) {
            out.println("wrong: " + r.violation());
            out.println("  " + String.join("; ", r.path()));
        }
        out.flush();
        return r.violation() == null ? 0 : Main.BROKEN;
    }

    @Command(description = "Plays schedules of faults, each from its seed.", mixinStandardHelpOptions = true)
    int schedules(
            @Option(names = "--seeds", defaultValue = "2000", description = "how many (${DEFAULT-VALUE})") int seeds,
            @Option(names = "--from", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
                    long from) {
        PrintWriter out = spec.commandLine().getOut();
        List<FaultSchedule.Outcome> all = LongStream.range(from, from + seeds)
                .parallel()
                .mapToObj(FaultSchedule::run)
                .toList();
        long broken = all.stream().filter(p -> !p.violations().isEmpty()).count();
        all.stream()
                .filter(p -> !p.violations().isEmpty())
                .limit(10)
                .forEach(p ->
                        out.println("seed " + p.seed() + ": " + p.violations().get(0)));
        long[] after = all.stream()
                .filter(p -> p.violations().isEmpty())
                .mapToLong(FaultSchedule.Outcome::equalAfterMs)
                .sorted()
                .toArray();
        out.printf(
                Locale.ROOT,
                "%d schedules, %d broken, %d orders given, %d acknowledged%n",
                all.size(),
                broken,
                all.stream().mapToInt(FaultSchedule.Outcome::given).sum(),
                all.stream().mapToInt(FaultSchedule.Outcome::acknowledged).sum());
        if (after.length > 0) {
            out.printf(
                    Locale.ROOT,
                    "equal again after the last fault: p50 %d ms, p99 %d ms, most %d ms%n",
                    after[after.length / 2],
                    after[(int) (after.length * 0.99)],
                    after[after.length - 1]);
        }
        out.flush();
        return broken == 0 ? 0 : Main.BROKEN;
    }

    @Command(description = "Plays one schedule and says what happened in it.", mixinStandardHelpOptions = true)
    int replay(@Parameters(paramLabel = "SEED") long seed) {
        PrintWriter out = spec.commandLine().getOut();
        FaultSchedule.Outcome p = FaultSchedule.run(seed);
        out.println(p.members() + " members");
        p.events().forEach(out::println);
        p.violations().forEach(w -> out.println("wrong: " + w));
        out.flush();
        return p.violations().isEmpty() ? 0 : Main.BROKEN;
    }

    @Command(
            description = "Plays schedules of faults among members that are processes, with doors between them.",
            mixinStandardHelpOptions = true)
    int processes(
            @Option(names = "--seeds", defaultValue = "20", description = "how many (${DEFAULT-VALUE})") int seeds,
            @Option(names = "--from", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})") long from,
            @Option(names = "--members", defaultValue = "5", description = "from 3 to 12 (${DEFAULT-VALUE})")
                    int members,
            @Option(
                            names = "--jar",
                            paramLabel = "FILE",
                            defaultValue = "fleet/target/cacheproxyctl.jar",
                            description = "(${DEFAULT-VALUE})")
                    Path jar,
            @Option(names = "--log", description = "says what was done in each") boolean log)
            throws Exception {
        if (members < 3 || members > 12) {
            throw new ParameterException(spec.commandLine(), "--members: from 3 to 12, not " + members);
        }
        PrintWriter out = spec.commandLine().getOut();
        int broken = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            Path root = Files.createTempDirectory("members");
            ProcessFaultSchedule.Outcome p = ProcessFaultSchedule.run(seed, members, jar, root);
            out.printf(
                    Locale.ROOT,
                    "seed %d: %s, %d of %d orders acknowledged, equal after %d ms, frames %d passed %d lost%n",
                    seed,
                    p.violations().isEmpty() ? "kept" : "BROKEN",
                    p.acknowledged(),
                    p.given(),
                    p.equalAfterMs(),
                    p.forwardedFrames(),
                    p.droppedFrames());
            if (log || !p.violations().isEmpty()) {
                p.events().forEach(out::println);
                p.violations().forEach(w -> out.println("wrong: " + w));
                out.println("folders: " + root);
            } else {
                try (Stream<Path> all = Files.walk(root)) {
                    for (Path f : all.sorted(Comparator.reverseOrder()).toList()) {
                        Files.deleteIfExists(f);
                    }
                }
            }
            out.flush();
            broken += p.violations().isEmpty() ? 0 : 1;
        }
        out.printf(Locale.ROOT, "%d schedules, %d broken%n", seeds, broken);
        out.flush();
        return broken == 0 ? 0 : Main.BROKEN;
    }

    @Command(
            description = "Time until all know and bytes a second, by the number of members.",
            mixinStandardHelpOptions = true)
    int scale(
            @Option(names = "--members", split = ",", defaultValue = "4,26,200,1000", paramLabel = "N")
                    List<Integer> members,
            @Option(
                            names = "--restarts",
                            defaultValue = "0.1",
                            description = "part of them that restarts in a minute (${DEFAULT-VALUE})")
                    double restarts,
            @Option(
                            names = "--figures-ms",
                            defaultValue = "2000",
                            description = "a member's figures, up to 25 members (${DEFAULT-VALUE})")
                    long figures,
            @Option(names = "--seed", defaultValue = "1") long seed) {
        if (members.stream().anyMatch(n -> n < 2 || n > 4_000)) {
            throw new ParameterException(spec.commandLine(), "--members: from 2 to 4000");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println(
                "members  known p50 ms     p99    most  unknown  B/s each  busiest  at rest  current p50 ms    most");
        for (int n : members) {
            ScalingExperiment.Row r = ScalingExperiment.of(n, restarts, figures, seed);
            out.printf(
                    Locale.ROOT,
                    "%7d  %12.0f %7.0f %7.0f %8d %9.0f %8.0f %8.0f %15.0f %7.0f%n",
                    n,
                    r.knownP50Ms(),
                    r.knownP99Ms(),
                    r.knownMostMs(),
                    r.unknown(),
                    r.bytesPerS(),
                    r.busiestPerS(),
                    r.atRestPerS(),
                    r.currentP50Ms(),
                    r.currentMostMs());
            out.flush();
        }
        return 0;
    }
}
