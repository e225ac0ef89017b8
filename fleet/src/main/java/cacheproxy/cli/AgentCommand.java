package cacheproxy.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code agent}. */
@Command(name = "agent", description = "Starts an agent in the background unless one already runs in its state folder.")
final class AgentCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Override
    ExitCode run() throws InterruptedException {
        LocalAgent.start(options.agent());
        return ExitCode.OK;
    }
}
