package cacheproxy.cli;

import cacheproxy.control.ControlClient;
import java.io.IOException;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code events}. */
@Command(name = "events", description = "Shows the events of an agent.")
final class EventsCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    private static final long REPLY_TIMEOUT_MS = 60_000;
    /** Longer than any command runs, and small enough not to overflow when converted to nanoseconds. */
    private static final long NO_TIMEOUT_MS = Long.MAX_VALUE / 2_000_000;

    @Option(
            names = {"-f", "--follow"},
            description = "Keeps showing new events.")
    private boolean follow;

    @Option(names = "--from", paramLabel = "NUMBER", description = "Number of the first event to show (default: 1).")
    private long from = 1;

    @Override
    ExitCode run() {
        AgentClient agent = options.agent();
        try (ControlClient connection = agent.open(REPLY_TIMEOUT_MS)) {
            connection.send(
                    AgentClient.request(AgentOperation.EVENTS, "from", from, "follow", follow), REPLY_TIMEOUT_MS);
            while (true) {
                Map<String, Object> reply = connection.next(follow ? NO_TIMEOUT_MS : REPLY_TIMEOUT_MS);
                agent.checkReply(AgentOperation.EVENTS, reply);
                ListedEvent.of(reply).forEach(this::print);
                if (Boolean.TRUE.equals(reply.get("end")) || options.out().checkError()) {
                    return ExitCode.OK;
                }
            }
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.UNREACHABLE, "agent " + agent.name() + ": " + e.getMessage());
        }
    }

    private void print(ListedEvent event) {
        if (options.json()) {
            options.printJson(event.fields());
        } else {
            options.printLine(event.line());
        }
    }
}
