package cacheproxy.cli;

import picocli.CommandLine.Command;

/** {@code start}. */
@Command(name = "start", description = "Starts instances.")
final class StartCommand extends InstanceCommand {
    StartCommand() {
        super(AgentOperation.START, InstanceWaiter.Goal.READY);
    }
}
