package cacheproxy.cli;

import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code status}. */
@Command(name = "status", description = "Shows instances with the status that they report.")
final class StatusCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Parameters(paramLabel = "NAME", description = "Instances (default: all).")
    private List<String> names = new ArrayList<>();

    @Override
    ExitCode run() {
        return new ListingPrinter(options, AgentListing.of(options.agents(), AgentOperation.STATUS, names)).print(true);
    }
}
