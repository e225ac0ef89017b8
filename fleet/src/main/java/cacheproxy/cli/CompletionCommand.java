package cacheproxy.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code completion}. */
@Command(name = "completion", description = "Prints a completion script for bash: source <(cacheproxyctl completion)")
final class CompletionCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Override
    ExitCode run() {
        options.out().print(AutoComplete.bash("cacheproxyctl", new CommandLine(new CacheproxyctlCommand())));
        return ExitCode.OK;
    }
}
