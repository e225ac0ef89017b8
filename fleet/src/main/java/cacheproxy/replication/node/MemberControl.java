package cacheproxy.replication.node;

import cacheproxy.control.ControlServer;
import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.EntryKind;
import cacheproxy.replication.InvalidFieldException;
import cacheproxy.replication.MemberMetric;
import cacheproxy.replication.OperatorCommand;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.Replica;
import cacheproxy.replication.ReplicatedValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The operations of a member's control socket: {@code state}, {@code entries}, {@code order} (submits a command),
 * {@code told} (reports an endpoint's status) and {@code says} (reports a metric). Requests are handled on the member's
 * event loop.
 */
final class MemberControl implements ControlServer.RequestHandler {
    private final MemberService member;
    private final long incarnation;
    /** Replies to submitted commands, by sequence number, until they are acknowledged. */
    private final Map<Long, ControlServer.Reply> awaitingAck = new HashMap<>();

    MemberControl(MemberService member, long incarnation) {
        this.member = member;
        this.incarnation = incarnation;
    }

    @Override
    public void handle(String op, Map<String, Object> request, ControlServer.Reply reply) {
        member.loop().execute(() -> {
            try {
                dispatch(op, request, reply);
            } catch (IllegalArgumentException | IllegalStateException e) {
                reply.fail(String.valueOf(e.getMessage()));
            }
        });
    }

    private void dispatch(String op, Map<String, Object> request, ControlServer.Reply reply) {
        switch (op) {
            case "state" -> reply.end(describeState());
            case "entries" -> reply.end(Map.of("entries", describeEntries()));
            case "order" -> awaitingAck.put(submitCommand(request), reply);
            case "told" -> {
                reportEndpoint(request);
                reply.end(Map.of());
            }
            case "says" -> {
                reportMetric(request);
                reply.end(Map.of());
            }
            default -> reply.fail("op: " + op + " is not one of state, entries, order, told, says");
        }
    }

    private long submitCommand(Map<String, Object> request) {
        return member.replica()
                .submitCommand(
                        text(request, "subject"),
                        text(request, "verb"),
                        text(request, "who"),
                        text(request, "why"),
                        member.nowMs(),
                        member.wallMs());
    }

    private void reportEndpoint(Map<String, Object> request) {
        EndpointStatus status =
                new EndpointStatus(number(request, "startedMs").longValue(), endpointState(text(request, "state")));
        member.replica().reportEndpoint(text(request, "node"), status, member.nowMs());
    }

    private static EndpointStatus.State endpointState(String name) {
        for (EndpointStatus.State state : EndpointStatus.State.values()) {
            if (state.name().equals(name)) {
                return state;
            }
        }
        throw new InvalidFieldException("state", name + " is not one of " + List.of(EndpointStatus.State.values()));
    }

    private void reportMetric(Map<String, Object> request) {
        EntryKind kind = EntryKind.ofPrefix(text(request, "kind").toLowerCase(Locale.ROOT));
        double amount =
                request.containsKey("amount") ? number(request, "amount").doubleValue() : 0;
        member.replica().reportMetric(kind, text(request, "about"), amount, member.nowMs());
    }

    /** Replies to the request that submitted this command. */
    void commandAcknowledged(long sequence, boolean durable, int copies) {
        ControlServer.Reply reply = awaitingAck.remove(sequence);
        if (reply == null) {
            return;
        }
        if (durable) {
            reply.end(Map.of("life", incarnation, "number", sequence, "disks", copies));
        } else {
            reply.fail("not acknowledged: it is on " + copies + " disks of "
                    + member.file().settings().durableCopies()
                    + "; it stands here and may yet spread, give it again to be sure");
        }
    }

    private static String text(Map<String, Object> request, String field) {
        if (!(request.get(field) instanceof String s)) {
            throw new InvalidFieldException(field, "missing, or no text");
        }
        return s;
    }

    private static Number number(Map<String, Object> request, String field) {
        if (!(request.get(field) instanceof Number n)) {
            throw new InvalidFieldException(field, "missing, or no number");
        }
        return n;
    }

    private Map<String, Object> describeState() {
        Replica.Status status = member.replica().status(member.nowMs());
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", member.file().name());
        fields.put("state", status.state().name());
        fields.put("sinceMs", member.nowMs() - status.sinceMs());
        fields.put("awayMs", status.silentMs());
        fields.put("giver", status.donor() == null ? "" : status.donor());
        fields.put("entries", status.entries());
        fields.put("contradictions", status.conflicts());
        fields.put("digest", Long.toHexString(status.digest()));
        fields.put("waiting", status.pendingCommands());
        fields.put("sentBytes", status.sentBytes());
        fields.put("late", status.staleMessages());
        fields.put("refused", status.rejectedEntries());
        fields.put("unsent", member.peers().droppedMessages());
        fields.put("unreadable", member.peers().malformedFrames());
        fields.put("diskSkipped", member.skippedLogBytes());
        fields.put("diskFault", member.diskFault());
        return fields;
    }

    private List<Map<String, Object>> describeEntries() {
        List<Map<String, Object>> entries = new ArrayList<>();
        member.replica().forEach((key, value) -> {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("key", key);
            fields.put("digest", Long.toHexString(value.digest()));
            fields.put("value", describeValue(value));
            if (value instanceof OperatorCommands commands) {
                putCommands(commands, fields);
            }
            entries.add(fields);
        });
        return entries;
    }

    private static void putCommands(OperatorCommands commands, Map<String, Object> fields) {
        fields.put("contradict", commands.conflicting());
        List<Map<String, Object>> active = new ArrayList<>();
        for (OperatorCommand command : commands.active()) {
            Map<String, Object> described = new LinkedHashMap<>();
            described.put("verb", command.action());
            described.put("who", command.operator());
            described.put("why", command.reason());
            described.put("atMs", command.timestampMs());
            described.put("dot", command.incarnation() + ":" + command.sequence());
            active.add(described);
        }
        fields.put("standing", active);
        List<String> versions = new ArrayList<>();
        commands.versionVector().forEach((i, sequence) -> versions.add(i + ":" + sequence));
        fields.put("heard", versions);
    }

    private static String describeValue(ReplicatedValue value) {
        if (value instanceof OperatorCommands commands) {
            return commands.effective() == null ? "none" : commands.effective().action();
        }
        if (value instanceof EndpointStatus status) {
            return status.state() + " since " + status.startedMs();
        }
        return String.valueOf(((MemberMetric) value).amount());
    }
}
