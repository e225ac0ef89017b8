package cacheproxy.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code state}: compares the replicas of the members. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description =
                "Shows which members lag behind, by how much and since when, whether replicas differ, and conflicting commands.",
        subcommands = {StateDiffCommand.class, StateShowCommand.class})
final class StateCommand extends ToolCommand {
    @Mixin
    private MemberOptions options;

    @Override
    ExitCode run() {
        List<Map<String, Object>> states = new ArrayList<>();
        boolean allCurrent = true;
        boolean unreachable = false;
        TreeSet<String> digests = new TreeSet<>();
        for (MemberClient member : options.members()) {
            Map<String, Object> state;
            try {
                state = new LinkedHashMap<>(member.state());
                digests.add(String.valueOf(state.get("digest")));
                allCurrent &= "CURRENT".equals(state.get("state")) && "".equals(state.get("diskFault"));
            } catch (CommandFailure failure) {
                state = unreachable(member, failure);
                unreachable = true;
            }
            ReplyFields.removeProtocolFields(state);
            state.remove("id");
            states.add(state);
        }
        boolean equal = digests.size() == 1 && !unreachable;
        if (options.json()) {
            options.printJson(Map.of("members", states, "equal", equal));
        } else {
            printTable(states);
            options.out().println(summary(equal, digests.size()));
        }
        if (unreachable) {
            return ExitCode.UNREACHABLE;
        }
        return allCurrent && equal ? ExitCode.OK : ExitCode.NOT_IN_DESIRED_STATE;
    }

    private static Map<String, Object> unreachable(MemberClient member, CommandFailure failure) {
        return new LinkedHashMap<>(
                Map.of("name", member.folderName(), "state", "UNREACHABLE", "error", failure.getMessage()));
    }

    private static String summary(boolean equal, int distinctReplicas) {
        if (equal) {
            return "all replicas are equal";
        }
        return distinctReplicas > 1
                ? "replicas differ: run cacheproxyctl state diff -m A -m B"
                : "not all members are reachable";
    }

    private void printTable(List<Map<String, Object>> states) {
        TextTable table = new TextTable()
                .row(
                        "MEMBER",
                        "STATE",
                        "SINCE",
                        "HEARD",
                        "ENTRIES",
                        "CONTRADICT",
                        "WAITING",
                        "SENT",
                        "LATE",
                        "DIGEST",
                        "DISK");
        for (Map<String, Object> state : states) {
            table.row(
                    state.get("name"),
                    state.get("state"),
                    TextTable.formatDuration(state.get("sinceMs")),
                    TextTable.formatDuration(state.get("awayMs")),
                    state.get("entries"),
                    state.get("contradictions"),
                    state.get("waiting"),
                    state.get("sentBytes"),
                    state.get("late"),
                    state.get("digest"),
                    state.get("diskFault"));
        }
        table.print(options.out());
    }
}
