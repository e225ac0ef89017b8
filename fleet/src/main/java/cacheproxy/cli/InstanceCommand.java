package cacheproxy.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A command that asks an agent for one operation on each named instance and waits until it took effect. */
abstract class InstanceCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Mixin
    private WaitOptions wait;

    @Parameters(paramLabel = "NAME", description = "Instances; required unless --all is given.")
    private List<String> names = new ArrayList<>();

    @Option(names = "--all", description = "All instances of the site.")
    private boolean all;

    private final AgentOperation operation;
    private final InstanceWaiter.Goal goal;

    InstanceCommand(AgentOperation operation, InstanceWaiter.Goal goal) {
        this.operation = operation;
        this.goal = goal;
    }

    @Override
    final ExitCode run() throws InterruptedException {
        if (names.isEmpty() != all) {
            throw new CommandFailure(ExitCode.USAGE, "name instances or use --all");
        }
        AgentClient agent = options.agent();
        Map<String, Long> starts = InstanceWaiter.starts(agent);
        Map<String, Object> reply = agent.call(operation, "names", names);
        if (printFailures(reply.get("results"))) {
            return ExitCode.NOT_IN_DESIRED_STATE;
        }
        Map<String, Long> startsBefore = operation == AgentOperation.RESTART ? starts : Map.of();
        return new InstanceWaiter(options, agent, names, goal, startsBefore).awaitUnlessDisabled(wait);
    }

    /** Prints the reason for each instance for which the operation failed; returns whether there is any. */
    private boolean printFailures(Object results) {
        boolean failed = false;
        if (results instanceof Map<?, ?> reasons) {
            for (Map.Entry<?, ?> result : reasons.entrySet()) {
                String reason = String.valueOf(result.getValue());
                if (!reason.isEmpty()) {
                    failed = true;
                    options.printProgress("cacheproxyctl: " + result.getKey() + ": " + reason);
                }
            }
        }
        return failed;
    }
}
