package cacheproxy.cli;

import cacheproxy.common.InvalidInputException;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command-line tool. Its commands call agents and print their replies; the agents make all decisions. */
@Command(
        name = "cacheproxyctl",
        mixinStandardHelpOptions = true,
        version = "cacheproxyctl 0.1.0",
        description = "Manages many instances of the proxy through their agents.",
        subcommands = {
            CheckCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            ListCommand.class,
            StatusCommand.class,
            StartCommand.class,
            StopCommand.class,
            RestartCommand.class,
            ReloadCommand.class,
            RollingRestartCommand.class,
            LogsCommand.class,
            EventsCommand.class,
            WaitCommand.class,
            UpCommand.class,
            DownCommand.class,
            AgentCommand.class,
            CompletionCommand.class,
            StateCommand.class,
            OrderCommand.class
        })
public final class CacheproxyctlCommand {
    CacheproxyctlCommand() {}

    /** Runs one command on the standard streams; returns the exit code. */
    public static int run(String... arguments) {
        return run(
                new PrintWriter(System.out, true, Charset.defaultCharset()),
                new PrintWriter(System.err, true, Charset.defaultCharset()),
                arguments);
    }

    static int run(PrintWriter out, PrintWriter err, String... arguments) {
        CommandLine line = new CommandLine(new CacheproxyctlCommand());
        line.setOut(out).setErr(err);
        line.getCommandSpec()
                .usageMessage()
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(exitCodes());
        line.setExecutionExceptionHandler((failure, command, parsed) -> {
            err.println("cacheproxyctl: " + TerminalText.line(message(failure)));
            return exitCode(failure).value();
        });
        int code = line.execute(arguments);
        out.flush();
        err.flush();
        return code;
    }

    private static Map<String, String> exitCodes() {
        Map<String, String> codes = new LinkedHashMap<>();
        for (ExitCode code : ExitCode.values()) {
            codes.put(Integer.toString(code.value()), code.meaning());
        }
        return codes;
    }

    private static String message(Exception failure) {
        boolean expected = failure instanceof CommandFailure || failure instanceof InvalidInputException;
        return expected ? failure.getMessage() : failure.toString();
    }

    private static ExitCode exitCode(Exception failure) {
        if (failure instanceof CommandFailure command) {
            return command.exitCode();
        }
        return failure instanceof InvalidInputException ? ExitCode.REFUSED : ExitCode.NOT_IN_DESIRED_STATE;
    }
}
