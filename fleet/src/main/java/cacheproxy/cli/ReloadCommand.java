package cacheproxy.cli;

import picocli.CommandLine.Command;

/** {@code reload}. */
@Command(name = "reload", description = "Makes instances reload their configuration.")
final class ReloadCommand extends InstanceCommand {
    ReloadCommand() {
        super(AgentOperation.RELOAD, InstanceWaiter.Goal.READY);
    }
}
