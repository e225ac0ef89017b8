package cacheproxy.cli;

import picocli.CommandLine.Command;

/** {@code stop}. */
@Command(name = "stop", description = "Stops instances until they are started again.")
final class StopCommand extends InstanceCommand {
    StopCommand() {
        super(AgentOperation.STOP, InstanceWaiter.Goal.ENDED);
    }
}
