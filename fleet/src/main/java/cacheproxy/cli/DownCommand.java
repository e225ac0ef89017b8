package cacheproxy.cli;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code down}. */
@Command(name = "down", description = "Stops all instances of a local agent, then the agent.")
final class DownCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Mixin
    private WaitOptions wait;

    @Override
    ExitCode run() throws InterruptedException {
        AgentClient agent = options.agent();
        agent.requireLocal(); // the command waits for the end of the agent's process
        agent.call(AgentOperation.STOP, "names", List.of());
        ExitCode code =
                new InstanceWaiter(options, agent, List.of(), InstanceWaiter.Goal.ENDED).await(wait.timeoutSeconds);
        if (code == ExitCode.OK) {
            LocalAgent.end(agent);
        }
        return code;
    }
}
