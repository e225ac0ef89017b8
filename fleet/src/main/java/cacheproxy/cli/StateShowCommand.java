package cacheproxy.cli;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code state show}. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Shows the entries of a member, with the operator commands, who submitted them and why.")
final class StateShowCommand extends ToolCommand {
    @Mixin
    private MemberOptions options;

    @Override
    ExitCode run() {
        boolean conflict = false;
        for (MemberClient member : options.members()) {
            Map<String, Map<String, Object>> entries = member.entries();
            if (options.json()) {
                options.printJson(Map.of("member", member.folderName(), "entries", List.copyOf(entries.values())));
            } else {
                conflict |= printTable(entries);
            }
        }
        return conflict ? ExitCode.NOT_IN_DESIRED_STATE : ExitCode.OK;
    }

    /** Returns whether an entry has conflicting operator commands. */
    private boolean printTable(Map<String, Map<String, Object>> entries) {
        boolean anyConflict = false;
        TextTable table = new TextTable().row("KEY", "COUNTS", "ORDERS");
        for (Map<String, Object> entry : entries.values()) {
            boolean conflict = Boolean.TRUE.equals(entry.get("contradict"));
            anyConflict |= conflict;
            table.row(entry.get("key"), entry.get("value"), (conflict ? "CONTRADICT: " : "") + operatorCommands(entry));
        }
        table.print(options.out());
        return anyConflict;
    }

    private static String operatorCommands(Map<String, Object> entry) {
        return ReplyFields.objects(entry.get("standing")).stream()
                .map(operatorCommand -> operatorCommand.get("verb") + " by " + operatorCommand.get("who") + " ("
                        + operatorCommand.get("why") + ")")
                .collect(Collectors.joining("; "));
    }
}
