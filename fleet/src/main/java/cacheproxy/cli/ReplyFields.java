package cacheproxy.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads fields of an agent's reply, whose values may be of any JSON type. */
final class ReplyFields {
    private ReplyFields() {}

    /** The list in a field; empty if it holds none. */
    static List<?> list(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }

    /** The objects of a list; elements of other types are skipped. */
    @SuppressWarnings("unchecked") // the JSON parser's objects have strings for keys
    static List<Map<String, Object>> objects(Object value) {
        List<Map<String, Object>> objects = new ArrayList<>();
        for (Object element : list(value)) {
            if (element instanceof Map<?, ?> object) {
                objects.add((Map<String, Object>) object);
            }
        }
        return objects;
    }

    static List<ListedInstance> instances(Map<String, Object> reply) {
        return objects(reply.get("instances")).stream().map(ListedInstance::new).toList();
    }

    /**
     * The number in a field; throws {@link CommandFailure} that names the agent and the field if it is not a number.
     */
    static long number(AgentClient agent, Map<String, Object> reply, String field) {
        if (reply.get(field) instanceof Number number) {
            return number.longValue();
        }
        throw new CommandFailure(
                ExitCode.UNREACHABLE,
                "agent " + agent.name() + " sent a reply without a number in " + field + ": "
                        + TerminalText.shortened(reply.get(field)));
    }

    /** Removes the fields for version, success and end of reply, which matter only to the control channel. */
    static void removeProtocolFields(Map<String, Object> reply) {
        reply.keySet().removeAll(List.of("v", "ok", "end"));
    }
}
