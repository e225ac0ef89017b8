package cacheproxy.cli;

import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code order}. */
@Command(
        name = "order",
        mixinStandardHelpOptions = true,
        description =
                "Submits an operator command to a member; returns once it is on as many disks as the settings require.")
final class OrderCommand extends ToolCommand {
    @Mixin
    private MemberOptions options;

    @Parameters(paramLabel = "VERB", description = "drain, close, refuse ...; clear withdraws earlier commands.")
    private String verb;

    @Parameters(paramLabel = "SUBJECT", description = "The node, site or tenant that the command is for.")
    private String subject;

    @Option(names = "--why", required = true, paramLabel = "TEXT", description = "Reason, recorded with the command.")
    private String why;

    @Option(
            names = "--who",
            paramLabel = "NAME",
            description = "Operator, recorded with the command (default: the user's name).")
    private String who = System.getProperty("user.name", "unknown");

    @Override
    ExitCode run() {
        List<MemberClient> members = options.members();
        if (members.size() != 1) {
            throw new CommandFailure(ExitCode.USAGE, "--member: expected one member, got " + members.size());
        }
        Map<String, Object> reply = members.get(0).operatorCommand(subject, verb, who, why);
        if (options.json()) {
            options.printJson(Map.of("disks", reply.get("disks"), "number", reply.get("number")));
        } else {
            options.printLine(verb + " " + subject + ": on " + reply.get("disks") + " disks");
        }
        return ExitCode.OK;
    }
}
