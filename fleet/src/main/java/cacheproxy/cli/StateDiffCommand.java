package cacheproxy.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code state diff}. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = "Shows where the replicas of two members differ.")
final class StateDiffCommand extends ToolCommand {
    @Mixin
    private MemberOptions options;

    @Override
    ExitCode run() {
        List<MemberClient> members = options.members();
        if (members.size() != 2) {
            throw new CommandFailure(ExitCode.USAGE, "--member: expected two members, got " + members.size());
        }
        List<Map<String, Object>> differences =
                differences(members.get(0).entries(), members.get(1).entries());
        if (options.json()) {
            options.printJson(Map.of("differ", differences));
        } else {
            TextTable table = new TextTable()
                    .row("KEY", members.get(0).folderName(), members.get(1).folderName());
            differences.forEach(row -> table.row(row.get("key"), row.get("a"), row.get("b")));
            table.print(options.out());
        }
        return differences.isEmpty() ? ExitCode.OK : ExitCode.NOT_IN_DESIRED_STATE;
    }

    private static List<Map<String, Object>> differences(
            Map<String, Map<String, Object>> a, Map<String, Map<String, Object>> b) {
        TreeSet<String> keys = new TreeSet<>(a.keySet());
        keys.addAll(b.keySet());
        List<Map<String, Object>> differences = new ArrayList<>();
        for (String key : keys) {
            Object digestOfA = field(a.get(key), "digest");
            Object digestOfB = field(b.get(key), "digest");
            if (digestOfA == null || !digestOfA.equals(digestOfB)) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("key", key);
                row.put("a", digestOfA == null ? "none" : field(a.get(key), "value"));
                row.put("b", digestOfB == null ? "none" : field(b.get(key), "value"));
                differences.add(row);
            }
        }
        return differences;
    }

    private static Object field(Map<String, Object> entry, String name) {
        return entry == null ? null : entry.get(name);
    }
}
