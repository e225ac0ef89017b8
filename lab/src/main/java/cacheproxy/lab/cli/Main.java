package cacheproxy.lab.cli;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The lab's command line. Exit codes: 0 success, 1 a rule was violated, 2 a usage or file error, 3 failure. */
@Command(
        name = "cacheproxy-lab",
        mixinStandardHelpOptions = true,
        version = "cacheproxy-lab 0.1.0",
        description = "Tries sites, settings and troubles before anybody rolls them out.",
        footer = "With --log-json its log is one JSON object a line.",
        subcommands = {
            RunCommand.class,
            CheckCommand.class,
            ReplayCommand.class,
            ShrinkCommand.class,
            CompareCommand.class,
            LoadCommand.class,
            AttackCommand.class,
            ReplicaCommand.class
        })
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
        List<String> all = new ArrayList<>(List.of(args));
        if (all.remove("--log-json")) {
            logAsJson();
        }
        System.exit(line().execute(all.toArray(new String[0])));
    }

    /** Logs one JSON object per line to standard error, for log collectors. */
    private static void logAsJson() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        JsonEncoder json = new JsonEncoder();
        json.setContext(context);
        json.start();
        ConsoleAppender<ILoggingEvent> err = new ConsoleAppender<>();
        err.setContext(context);
        err.setTarget("System.err");
        err.setEncoder(json);
        err.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        root.addAppender(err);
    }

    static CommandLine line() {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExitCodeExceptionMapper(e -> FAILED)
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr()
                            .println("cacheproxy-lab: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
                    line.getErr().flush();
                    return e instanceof cacheproxy.lab.experiment.InvalidExperimentException ? USAGE : FAILED;
                });
    }
}
