package cacheproxy.cli;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code apply}. */
@Command(
        name = "apply",
        description = "Applies a site file: starts, stops and reloads the instances that it changes. "
                + "Lists changes that need a restart; use restart or rolling-restart for them.")
final class ApplyCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Mixin
    private WaitOptions wait;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    ExitCode run() throws InterruptedException {
        AgentClient agent = options.agent();
        new SiteChange(agent.call(AgentOperation.APPLY, "site", SiteSource.read(file))).print(options);
        return new InstanceWaiter(options, agent, List.of(), InstanceWaiter.Goal.READY).awaitUnlessDisabled(wait);
    }
}
