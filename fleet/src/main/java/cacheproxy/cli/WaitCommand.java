package cacheproxy.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code wait}. */
@Command(name = "wait", description = "Waits until instances are in the given state.")
final class WaitCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Mixin
    private WaitOptions wait;

    @Option(names = "--for", paramLabel = "STATE", description = "ready (default) or stopped.")
    private String state = "ready";

    @Parameters(paramLabel = "NAME", description = "Instances (default: all).")
    private List<String> names = new ArrayList<>();

    @Override
    ExitCode run() throws InterruptedException {
        InstanceWaiter.Goal goal = goal();
        AgentClient agent = options.agent();
        Set<String> known = InstanceWaiter.starts(agent).keySet();
        for (String name : names) {
            if (!known.contains(name)) {
                throw new CommandFailure(ExitCode.REFUSED, "agent " + agent.name() + ": no instance is named " + name);
            }
        }
        return new InstanceWaiter(options, agent, names, goal).await(wait.timeoutSeconds);
    }

    private InstanceWaiter.Goal goal() {
        return switch (state) {
            case "ready" -> InstanceWaiter.Goal.READY;
            case "stopped" -> InstanceWaiter.Goal.ENDED;
            default -> throw new CommandFailure(ExitCode.USAGE, "--for: expected ready or stopped, got " + state);
        };
    }
}
