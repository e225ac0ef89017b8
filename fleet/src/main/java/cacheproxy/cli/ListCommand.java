package cacheproxy.cli;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code list}. */
@Command(name = "list", description = "Lists all instances of all agents, one per line.")
final class ListCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Override
    ExitCode run() {
        return new ListingPrinter(options, AgentListing.of(options.agents(), AgentOperation.LIST, List.of()))
                .print(false);
    }
}
