package cacheproxy.cli;

import java.util.List;
import java.util.Map;

/** The changes that applying a site file makes, as the agent reports them. */
record SiteChange(Map<String, Object> reply) {
    private static final List<String> CHANGES = List.of("added", "removed", "reload", "needRestart");

    boolean isEmpty() {
        return CHANGES.stream()
                .allMatch(change -> ReplyFields.list(reply.get(change)).isEmpty());
    }

    void print(OutputOptions output) {
        if (output.json()) {
            output.printJson(reply);
            return;
        }
        for (String change : CHANGES) {
            ReplyFields.list(reply.get(change)).forEach(name -> output.printLine(change + " " + name));
        }
        output.printLine(reply.get("unchanged") + " unchanged");
    }
}
