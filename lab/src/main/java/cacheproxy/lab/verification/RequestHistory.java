package cacheproxy.lab.verification;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The trace of a run as requests, with their responses and attempts. */
final class RequestHistory {
    private static final String UNKNOWN = "?";

    final Trace trace;
    final RuleSettings rules;
    /** All commands of each client's connection in order, also malformed ones. */
    final Map<RecordedConnection, List<ClientRequest>> commands = new LinkedHashMap<>();
    /** The responses of the proxy on each client's connection. */
    final Map<RecordedConnection, List<RecordedResponse>> responses = new LinkedHashMap<>();

    final Map<String, List<ClientRequest>> byId = new HashMap<>();
    final List<Attempt> attempts = new ArrayList<>();
    /** Malformed commands that proxies sent to nodes. */
    final List<Attempt> malformedCommands = new ArrayList<>();

    final Map<String, List<NodeResponse>> nodeResponses = new HashMap<>();
    private final Map<String, List<Trace.Fact>> starts = new HashMap<>();

    RequestHistory(Trace trace, RuleSettings rules) {
        this.trace = trace;
        this.rules = rules;
        for (Trace.Fact fact : trace.facts) {
            if (fact.word(0).equals("start") && fact.field("cold") != null) {
                starts.computeIfAbsent(fact.who(), host -> new ArrayList<>()).add(fact);
            }
        }
        for (RecordedConnection connection : trace.connections.values()) {
            if (trace.isClientConnection(connection)) {
                readClientConnection(connection);
            }
        }
        for (RecordedConnection connection : trace.connections.values()) {
            if (!trace.isClientConnection(connection) && trace.isNodeConnection(connection)) {
                readNodeConnection(connection);
            }
        }
        attempts.sort(Comparator.comparingInt(attempt -> attempt.firstByteSent));
        assignExecutions();
    }

    private void readClientConnection(RecordedConnection connection) {
        connection.proxy = connection.hosts[1] != null ? connection.hosts[1] : rules.proxies.get(connection.address);
        if (connection.proxy == null) {
            connection.proxy =
                    trace.proxies.size() == 1 ? trace.proxies.iterator().next() : UNKNOWN;
        }
        byte[] bytes = connection.streams[0].bytes();
        List<ClientRequest> requests = new ArrayList<>();
        boolean malformedSeen = false;
        for (RecordedRequest command : RecordedRequest.read(bytes, rules.longestLine, rules.largestValue)) {
            ClientRequest request = new ClientRequest(connection, command, bytes, connection.streams[0]);
            if (request.firstByteArrived == Trace.NEVER) {
                break; // it never arrived, nor did anything after it
            }
            requests.add(request);
            classify(request);
            boolean valid = request.wellFormed() ? !command.ambiguous : command.kind == RecordedRequest.Kind.GREETING;
            malformedSeen |= command.complete && !valid;
            request.responseExpected = !malformedSeen && request.wellFormed() && request.arrived != Trace.NEVER;
            if (request.wellFormed()) {
                byId.computeIfAbsent(command.id, id -> new ArrayList<>()).add(request);
            }
        }
        commands.put(connection, requests);
        responses.put(connection, RecordedResponse.read(connection.streams[1].bytes(), false));
    }

    /** Without its key a keyed request counts as unsafe; of several classes the strictest counts. */
    private void classify(ClientRequest request) {
        for (String name : request.command.classes) {
            RuleSettings.RequestClass type = rules.classes.get(name);
            if (type == null) {
                request.requestClass = null;
                return;
            }
            RuleSettings.Effect effect =
                    type.effect() == RuleSettings.Effect.KEYED && request.command.idempotencyKey == null
                            ? RuleSettings.Effect.UNSAFE
                            : type.effect();
            if (request.requestClass == null || effect.compareTo(request.effect) > 0) {
                request.requestClass = type;
                request.effect = effect;
            }
        }
    }

    private void readNodeConnection(RecordedConnection connection) {
        byte[] bytes = connection.streams[0].bytes();
        if (bytes.length >= 4 && bytes[0] == 'G' && bytes[1] == 'E' && bytes[2] == 'T' && bytes[3] == ' ') {
            return; // a discovery service that reported no facts
        }
        List<RecordedRequest> commands = RecordedRequest.read(bytes, Integer.MAX_VALUE - 1, Integer.MAX_VALUE / 2);
        connection.proxy = connection.recorded[0] ? connection.hosts[0] : proxyOf(commands);
        List<Attempt> sentHere = new ArrayList<>();
        for (RecordedRequest command : commands) {
            Attempt attempt = new Attempt(connection, command, nodeId(connection), connection.streams[0]);
            if (attempt.firstByteSent == Trace.NEVER) {
                break;
            }
            sentHere.add(attempt);
            if (command.kind == RecordedRequest.Kind.REQUEST) {
                attempts.add(attempt);
            } else if (command.kind == RecordedRequest.Kind.MALFORMED && command.complete) {
                malformedCommands.add(attempt);
            }
        }
        byte[] responseBytes = connection.streams[1].bytes();
        List<RecordedResponse> responses = RecordedResponse.read(responseBytes, true);
        for (RecordedResponse response : responses) {
            if (response.id != null) {
                nodeResponses
                        .computeIfAbsent(response.id, id -> new ArrayList<>())
                        .add(new NodeResponse(
                                connection,
                                response,
                                responseBytes,
                                connection.streams[1].sentEntry(response.startOffset),
                                response.complete
                                        ? connection.streams[1].arrivedEntry(response.endOffset - 1)
                                        : Trace.NEVER));
            }
        }
        assignResponses(connection, sentHere, responses);
    }

    /**
     * On real sockets a node cannot identify the proxy: request ids can, unless clients sent them to several proxies.
     */
    private String proxyOf(List<RecordedRequest> commands) {
        Set<String> candidates = null;
        for (RecordedRequest command : commands) {
            Set<String> proxiesOfId = new LinkedHashSet<>();
            byId.getOrDefault(command.id, List.of()).forEach(request -> proxiesOfId.add(request.connection.proxy));
            if (candidates == null || !proxiesOfId.isEmpty() && !Collections.disjoint(candidates, proxiesOfId)) {
                proxiesOfId.retainAll(candidates == null ? proxiesOfId : candidates);
                candidates = proxiesOfId;
            }
        }
        return candidates == null || candidates.size() != 1
                ? UNKNOWN
                : candidates.iterator().next();
    }

    /** The id of the node in the endpoint list when the connection was established. */
    private String nodeId(RecordedConnection connection) {
        String id = null;
        for (Trace.Fact fact : starts.getOrDefault(connection.hosts[1], List.of())) {
            if (id == null || fact.entry() <= connection.opened) {
                id = fact.field("id");
            }
        }
        return id == null ? connection.hosts[1] : id;
    }

    /** Assigns each attempt the response that the proxy has to attribute to it: responses come in command order. */
    private void assignResponses(RecordedConnection connection, List<Attempt> sent, List<RecordedResponse> received) {
        Deque<Attempt> open = new ArrayDeque<>();
        int next = 0;
        boolean ambiguous = false;
        boolean loadReportBegun = false;
        for (RecordedResponse response : received) {
            int arrived = response.complete ? connection.streams[1].arrivedEntry(response.endOffset - 1) : Trace.NEVER;
            if (arrived == Trace.NEVER) {
                return;
            }
            while (next < sent.size() && sent.get(next).firstByteSent < arrived) {
                open.add(sent.get(next++));
            }
            Attempt attempt = open.peek();
            if (attempt == null) {
                ambiguous = true; // unsolicited
                continue;
            }
            if (attempt.command.kind == RecordedRequest.Kind.LOAD_REPORT && response.line.startsWith("STAT ")) {
                loadReportBegun = true;
                continue;
            }
            if (attempt.command.kind != RecordedRequest.Kind.REQUEST) {
                boolean fits = response.kind == RecordedResponse.Kind.GREETING
                                && attempt.command.kind == RecordedRequest.Kind.GREETING
                        || response.line.equals("END") && loadReportBegun;
                ambiguous |= !fits;
                loadReportBegun = false;
                open.poll();
                continue;
            }
            if (response.id != null && !response.id.equals(attempt.command.id)) {
                ambiguous = true; // belongs to another request; its own response may follow
                String id = response.id;
                Attempt owner = open.stream()
                        .filter(candidate -> id.equals(candidate.command.id))
                        .findFirst()
                        .orElse(null);
                if (owner == null) {
                    continue;
                }
                attempt = owner;
            }
            open.remove(attempt);
            attempt.response = response;
            attempt.responseSent = connection.streams[1].sentEntry(response.startOffset);
            attempt.responseArrived = arrived;
            attempt.unambiguous = !ambiguous;
            ambiguous |= response.id == null;
        }
    }

    /** Assigns each execution that a node reports to its attempt. */
    private void assignExecutions() {
        Map<String, List<Attempt>> byNodeAndId = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (attempt.complete()) {
                byNodeAndId
                        .computeIfAbsent(attempt.node + " " + attempt.command.id, x -> new ArrayList<>())
                        .add(attempt);
            }
        }
        for (Trace.Fact fact : trace.facts) {
            if (fact.word(0).equals("ran")) {
                Attempt best = null;
                for (Attempt attempt :
                        byNodeAndId.getOrDefault(fact.who() + " " + requestId(fact.word(1)), List.of())) {
                    boolean pending = attempt.responseSent > fact.entry() && attempt.executed == Trace.NEVER;
                    if (attempt.arrived < fact.entry() && (best == null || pending)) {
                        best = attempt;
                    }
                }
                if (best != null) {
                    best.executed = Math.min(best.executed, fact.entry());
                }
            }
        }
    }

    /** A request id from a fact, which may carry the flag letter of the wire. */
    String requestId(String word) {
        return !byId.containsKey(word) && word.startsWith("O") ? word.substring(1) : word;
    }

    static boolean sameProxy(String proxy, String other) {
        return proxy.equals(other) || proxy.equals(UNKNOWN) || other.equals(UNKNOWN);
    }

    /** Assigns each attempt to its request; needs the requests' responses. */
    void assignAttempts() {
        for (Attempt attempt : attempts) {
            ClientRequest best = null;
            boolean bestOpen = false;
            for (ClientRequest request : byId.getOrDefault(attempt.command.id, List.of())) {
                if (request.firstByteArrived > attempt.firstByteSent
                        || !sameProxy(request.connection.proxy, attempt.connection.proxy)) {
                    continue;
                }
                boolean open = request.responseSent > attempt.firstByteSent
                        && Math.min(request.connection.closed(0), request.connection.closed(1)) > attempt.firstByteSent;
                if (best == null || !bestOpen) {
                    best = request;
                    bestOpen = open;
                }
            }
            attempt.request = best;
            if (best != null) {
                best.attempts.add(attempt);
            }
        }
    }
}
