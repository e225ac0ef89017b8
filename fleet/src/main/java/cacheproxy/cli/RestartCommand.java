package cacheproxy.cli;

import picocli.CommandLine.Command;

/** {@code restart}. */
@Command(name = "restart", description = "Restarts instances, all at once.")
final class RestartCommand extends InstanceCommand {
    RestartCommand() {
        super(AgentOperation.RESTART, InstanceWaiter.Goal.READY);
    }
}
