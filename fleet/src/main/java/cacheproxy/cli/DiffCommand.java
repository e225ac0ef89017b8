package cacheproxy.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code diff}. */
@Command(name = "diff", description = "Shows what applying a site file would change.")
final class DiffCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    ExitCode run() {
        AgentClient agent = options.agent();
        String site = SiteSource.read(file);
        SiteChange change = new SiteChange(agent.call(AgentOperation.APPLY, "site", site, "dry", true));
        change.print(options);
        return change.isEmpty() ? ExitCode.OK : ExitCode.NOT_IN_DESIRED_STATE;
    }
}
