package cacheproxy.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** Options of the commands that call members of the replicated state. */
final class MemberOptions extends OutputOptions {
    @Option(
            names = {"-m", "--member"},
            paramLabel = "FOLDER",
            split = ",",
            description = "A member's folder; may be repeated or comma-separated.")
    private List<Path> folders = new ArrayList<>();

    /**
     * The members given; throws {@link CommandFailure} if there is none. The option is not marked as required because
     * picocli would then require it both before and after the name of a subcommand of {@code state}.
     */
    List<MemberClient> members() {
        if (folders.isEmpty()) {
            throw new CommandFailure(ExitCode.USAGE, "--member: the folder of a member is missing");
        }
        return folders.stream().map(MemberClient::new).toList();
    }
}
