package cacheproxy.cli;

import java.util.List;
import java.util.Map;

/** One event as an agent lists it. */
record ListedEvent(Map<String, Object> fields) {
    static List<ListedEvent> of(Map<String, Object> reply) {
        return ReplyFields.objects(reply.get("events")).stream()
                .map(ListedEvent::new)
                .toList();
    }

    /** The instance that the event concerns; empty for the agent itself. */
    String name() {
        return String.valueOf(fields.get("name"));
    }

    String description() {
        return String.valueOf(fields.get("what"));
    }

    /** The line that `events` prints. */
    String line() {
        String subject = name().isEmpty() ? "agent" : name();
        return fields.get("time") + "  " + subject + "  " + description();
    }

    /** The outcome of a rolling restart if this event reports its end; else null. */
    ExitCode rollingRestartOutcome() {
        if (!name().isEmpty() || !description().startsWith("rolling restart")) {
            return null;
        }
        if (description().endsWith("is done")) {
            return ExitCode.OK;
        }
        return description().contains(" stopped: ") ? ExitCode.NOT_IN_DESIRED_STATE : null;
    }
}
