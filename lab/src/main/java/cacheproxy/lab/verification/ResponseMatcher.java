package cacheproxy.lab.verification;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Assigns each response on a client's connection to the command that it answers; responses come in command order. */
final class ResponseMatcher {
    private final Findings out;
    private final RecordedConnection connection;
    private final RecordedStream stream;
    private final List<ClientRequest> commands;
    private final byte[] bytes;
    private final Deque<ClientRequest> pending = new ArrayDeque<>();
    private final Map<String, ClientRequest> answered = new HashMap<>();
    private ClientRequest last;

    ResponseMatcher(Findings out, RecordedConnection connection, List<ClientRequest> commands) {
        this.out = out;
        this.connection = connection;
        this.commands = commands;
        stream = connection.streams[1];
        bytes = stream.bytes();
    }

    void match(List<RecordedResponse> answers) {
        int next = 0;
        for (RecordedResponse response : answers) {
            int first = stream.sentEntry(response.startOffset);
            while (next < commands.size() && commands.get(next).firstByteArrived < first) {
                pending.add(commands.get(next++));
            }
            if (response.kind == RecordedResponse.Kind.GREETING) {
                greeting(response);
            } else if (response.id != null
                    && (response.kind == RecordedResponse.Kind.VALUE
                            || response.kind == RecordedResponse.Kind.RECEIPT)) {
                served(response);
            } else {
                line(response);
            }
        }
    }

    private void greeting(RecordedResponse response) {
        ClientRequest request = null;
        for (ClientRequest candidate : pending) {
            request = request == null && candidate.command.kind == RecordedRequest.Kind.GREETING ? candidate : request;
        }
        if (request == null) {
            extra(response, "a greeting that nobody asked for");
        } else {
            take(request, response);
        }
    }

    private void served(RecordedResponse response) {
        ClientRequest request = null;
        for (ClientRequest candidate : pending) {
            request = request == null && response.id.equals(candidate.command.id) ? candidate : request;
        }
        ClientRequest before = answered.get(response.id);
        if (request != null) {
            take(request, response);
        } else if (before != null) {
            out.violation(
                    Violation.Rule.ANSWER,
                    before.describe() + " had its answer, and then another one",
                    before.sent,
                    before.responseSent,
                    stream.sentEntry(response.startOffset));
        } else {
            request = nextInForm();
            if (request == null) {
                extra(response, "an answer that bears an id nobody asked for here, " + response.id);
                return;
            }
            give(request, response);
            request.mismatched = true;
            out.violation(
                    Violation.Rule.ANSWER,
                    request.describe() + " had an answer that bears another id, " + response.id,
                    request.sent,
                    request.responseSent);
        }
    }

    /** A response without an id belongs to the oldest pending command. */
    private void line(RecordedResponse response) {
        ClientRequest request = pending.peek();
        if (request == null) {
            extra(response, "a line that answers nothing");
            return;
        }
        take(request, response);
        if (response.kind == RecordedResponse.Kind.VALUE
                || response.kind == RecordedResponse.Kind.MALFORMED && response.complete) {
            request.mismatched = true;
            out.violation(
                    Violation.Rule.ANSWER,
                    request.describe() + " was served without an id",
                    request.sent,
                    request.responseSent);
        } else if (response.kind == RecordedResponse.Kind.MALFORMED) {
            request.mismatched = true;
            out.violation(
                    Violation.Rule.ANSWER,
                    request.describe() + " had an answer that can't be read",
                    request.sent,
                    stream.sentEntry(response.endOffset - 1));
        }
    }

    private void take(ClientRequest request, RecordedResponse response) {
        ClientRequest before = null;
        for (Iterator<ClientRequest> i = pending.iterator(); i.hasNext(); ) {
            ClientRequest candidate = i.next();
            if (candidate == request) {
                i.remove();
                break;
            }
            if (candidate.wellFormed() || candidate.command.kind == RecordedRequest.Kind.GREETING) {
                before = before == null ? candidate : before;
            } else {
                i.remove(); // malformed commands need no response
            }
        }
        give(request, response);
        if (before != null) {
            out.violation(
                    Violation.Rule.ANSWER,
                    request.describe() + " was answered before " + before.describe()
                            + ", which came first on the connection",
                    before.sent,
                    request.sent,
                    request.responseFirstByteSent);
        }
    }

    private ClientRequest nextInForm() {
        while (!pending.isEmpty() && !pending.peek().wellFormed()) {
            pending.poll();
        }
        return pending.poll();
    }

    private void give(ClientRequest request, RecordedResponse response) {
        request.response = response;
        request.responseBytes = bytes;
        request.responseFirstByteSent = stream.sentEntry(response.startOffset);
        if (response.complete) {
            request.responseSent = stream.sentEntry(response.endOffset - 1);
            request.responseArrived = stream.arrivedEntry(response.endOffset - 1);
            if (request.wellFormed()) {
                answered.put(request.command.id, request);
            }
        }
        last = request;
    }

    private void extra(RecordedResponse response, String what) {
        int before = last == null ? Trace.NEVER : last.responseSent;
        out.violation(
                Violation.Rule.ANSWER,
                connection.proxy + " sent " + connection.hosts[0] + " " + what
                        + (last == null ? "" : ", after the answer to " + last.describe()),
                before,
                stream.sentEntry(response.startOffset));
    }
}
