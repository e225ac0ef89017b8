package cacheproxy.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One instance as an agent lists it. */
record ListedInstance(Map<String, Object> fields) {
    /** States in which the instance has no process. */
    private static final Set<String> NOT_RUNNING = Set.of("declared", "stopped", "crashed", "backing off", "given up");

    private static final Set<String> ENDED = Set.of("stopped", "declared");

    String name() {
        return String.valueOf(fields.get("name"));
    }

    String state() {
        return String.valueOf(fields.get("state"));
    }

    /** Whether it is declared to run. */
    boolean wanted() {
        return Boolean.TRUE.equals(fields.get("wanted"));
    }

    boolean configurationRefused() {
        return fields.get("refused") != null;
    }

    boolean ready() {
        return state().equals("ready");
    }

    boolean hasEnded() {
        return ENDED.contains(state());
    }

    /** Whether the instance is in its declared state and its configuration was not refused. */
    boolean inDesiredState() {
        return (wanted() ? ready() : NOT_RUNNING.contains(state())) && !configurationRefused();
    }

    /** The number of the last start. */
    long start(AgentClient agent) {
        return ReplyFields.number(agent, fields, "start");
    }

    /** Additional information for the operator; empty if there is none. */
    String remark() {
        List<String> remarks = new ArrayList<>();
        if (!wanted()) {
            remarks.add("not declared to run");
        }
        if (fields.get("needRestart") != null) {
            remarks.add("needs a restart to apply the declared settings");
        }
        if (fields.get("trouble") != null) {
            remarks.add(String.valueOf(fields.get("trouble")));
        }
        if (fields.get("crashes") != null) {
            remarks.add("crashes in a row: " + fields.get("crashes"));
        }
        if (fields.get("exitCode") != null) {
            remarks.add("exit code " + fields.get("exitCode"));
        }
        return String.join("; ", remarks);
    }
}
