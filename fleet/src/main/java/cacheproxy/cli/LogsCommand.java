package cacheproxy.cli;

import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code logs}. */
@Command(name = "logs", description = "Shows the last part of an instance's log.")
final class LogsCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    private static final long FROM_END = -1;

    @Option(
            names = {"-f", "--follow"},
            description = "Keeps showing new output.")
    private boolean follow;

    @Option(
            names = {"-c", "--bytes"},
            paramLabel = "N",
            description = "Number of bytes to show from the end (default: 16384).")
    private int bytes = 16 << 10;

    @Parameters(paramLabel = "NAME")
    private String name;

    @Override
    ExitCode run() throws InterruptedException {
        AgentClient agent = options.agent();
        long from = FROM_END;
        while (true) {
            Map<String, Object> reply = agent.call(AgentOperation.LOG, "name", name, "from", from, "bytes", bytes);
            options.out().print(TerminalText.lines(reply.getOrDefault("text", "")));
            options.out().flush();
            from = ReplyFields.number(agent, reply, "next");
            if (!follow || options.out().checkError()) {
                return ExitCode.OK;
            }
            Thread.sleep(InstanceWaiter.POLL_INTERVAL_MS);
        }
    }
}
