package cacheproxy.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Prints the listings of several agents; the exit code reports whether all instances are in their desired state. */
final class ListingPrinter {
    /** Protocol fields of an instance's status that are not printed. */
    private static final Set<String> HIDDEN = Set.of("v", "ok", "end", "name");

    private final OutputOptions output;
    private final List<Map<String, Object>> listings;
    private boolean unreachable;
    private boolean refused;
    private boolean notInDesiredState;

    ListingPrinter(OutputOptions output, List<Map<String, Object>> listings) {
        this.output = output;
        this.listings = listings;
    }

    /** @param details whether the table is followed by the status that each instance reports */
    ExitCode print(boolean details) {
        TextTable table = table();
        if (output.json()) {
            output.printJson(new LinkedHashMap<>(Map.of("agents", listings)));
        } else {
            table.print(output.out());
            if (details) {
                listings.forEach(listing -> ReplyFields.instances(listing).forEach(this::printDetails));
            }
        }
        if (unreachable) {
            return ExitCode.UNREACHABLE;
        }
        if (refused) {
            return ExitCode.REFUSED;
        }
        return notInDesiredState ? ExitCode.NOT_IN_DESIRED_STATE : ExitCode.OK;
    }

    private TextTable table() {
        TextTable table = new TextTable().row("AGENT", "NAME", "STATE", "FOR", "PID", "STARTS", "LISTEN", "REMARK");
        for (Map<String, Object> listing : listings) {
            boolean reachable = Boolean.TRUE.equals(listing.get("reachable"));
            if (!reachable) {
                unreachable = true;
                agentRow(table, listing, "unreachable", lastListingAge(listing) + "; " + listing.get("error"));
            }
            for (ListedInstance instance : ReplyFields.instances(listing)) {
                notInDesiredState |= reachable && !instance.inDesiredState();
                instanceRow(table, listing, instance, reachable);
            }
            refused |= listing.get("refused") != null;
            for (String field : List.of("refused", "trouble", "rolling")) {
                if (listing.get(field) != null) {
                    agentRow(table, listing, field, listing.get(field));
                }
            }
        }
        return table;
    }

    private static String lastListingAge(Map<String, Object> listing) {
        return listing.get("ageMs") == null
                ? "its instances are unknown"
                : "below: last listing, " + TextTable.formatDuration(listing.get("ageMs")) + " ago";
    }

    private static void agentRow(TextTable table, Map<String, Object> listing, String state, Object remark) {
        table.row(listing.get("agent"), "-", state, "", "", "", "", remark);
    }

    private static void instanceRow(
            TextTable table, Map<String, Object> listing, ListedInstance instance, boolean reachable) {
        Map<String, Object> fields = instance.fields();
        Object state = reachable ? fields.get("state") : "unknown (" + fields.get("state") + ")";
        table.row(
                listing.get("agent"),
                fields.get("name"),
                state,
                TextTable.formatDuration(fields.get("forMs")),
                fields.get("pid"),
                fields.get("start"),
                fields.get("listen"),
                instance.remark());
    }

    private void printDetails(ListedInstance instance) {
        if (instance.fields().get("told") instanceof Map<?, ?> status) {
            output.out().println();
            output.printLine(instance.name() + ":");
            status.forEach((field, value) -> {
                if (!HIDDEN.contains(field)) {
                    output.printLine("  " + field + ": " + value);
                }
            });
        }
    }
}
