package cacheproxy.cli;

import java.util.List;
import java.util.Map;

/** An operation of an agent's control channel, with the field that its reply must have. */
enum AgentOperation {
    LIST("list", "instances", List.class, "a list"),
    STATUS("status", "instances", List.class, "a list"),
    APPLY("apply", "unchanged", Number.class, "a number"),
    START("start", "results", Map.class, "an object"),
    STOP("stop", "results", Map.class, "an object"),
    RESTART("restart", "results", Map.class, "an object"),
    RELOAD("reload", "results", Map.class, "an object"),
    ROLLING_RESTART("roll", "rolling", String.class, "a text"),
    EVENTS("events", "events", List.class, "a list"),
    LOG("log", "text", String.class, "a text"),
    END("end", "pid", Number.class, "a number");

    private final String wireName;
    private final String replyField;
    private final Class<?> replyType;
    private final String expected;

    AgentOperation(String wireName, String replyField, Class<?> replyType, String expected) {
        this.wireName = wireName;
        this.replyField = replyField;
        this.replyType = replyType;
        this.expected = expected;
    }

    /** The operation's name in a request. */
    String wireName() {
        return wireName;
    }

    /** Describes what is wrong with a reply that should report success; null if it is well-formed. */
    String describeMalformed(Map<String, Object> reply) {
        if (!Boolean.TRUE.equals(reply.get("ok"))) {
            return "ok: expected true or false, got " + TerminalText.shortened(reply.get("ok"));
        }
        Object value = reply.get(replyField);
        return replyType.isInstance(value)
                ? null
                : replyField + ": expected " + expected + ", got " + TerminalText.shortened(value);
    }
}
