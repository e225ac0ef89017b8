package holdproxy.lab.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The lab's command line. Exit codes: 0 done, 1 a rule was broken, 2 a mistake in the call or a file, 3 it could not be
 * done.
 */
@Command(name = "hatchlab", mixinStandardHelpOptions = true, version = "hatchlab 0.1.0",
    description = "Tries sites, settings and troubles before anybody rolls them out.",
    subcommands = {Run.class, Check.class, Replay.class, Shrinks.class,
        Compare.class, LoadCommand.class, AttackCommand.class})
public final class Main implements Runnable {
    static final int BROKEN = 1;
    static final int USAGE = 2;
    static final int FAILED = 3;

    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }

    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        return new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true)
            .setExitCodeExceptionMapper(e -> FAILED)
            .setExecutionExceptionHandler((e, line, parsed) -> {
                line.getErr().println("hatchlab: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
                line.getErr().flush();
                return e instanceof holdproxy.lab.experiment.BadExperiment ? USAGE : FAILED;
            });
    }
}
