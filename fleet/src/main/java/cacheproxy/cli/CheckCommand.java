package cacheproxy.cli;

import cacheproxy.site.SiteFile;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code check}. */
@Command(name = "check", description = "Validates a site file without calling an agent.")
final class CheckCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    ExitCode run() {
        boolean json = options.json();
        SiteFile site = SiteFile.parse(SiteSource.read(file));
        int count = site.instances().size();
        if (json) {
            Map<String, Object> summary = new LinkedHashMap<>();
            summary.put("site", site.name());
            summary.put("instances", count);
            options.printJson(summary);
        } else {
            options.printLine(site.name() + ": " + count + " instances, valid");
        }
        return ExitCode.OK;
    }
}
