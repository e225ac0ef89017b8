package cacheproxy.lab.verification;

import static cacheproxy.lab.verification.Violation.Rule.ANSWER;

import java.util.Arrays;
import java.util.List;

/**
 * Rule 1: every request gets exactly one complete response in time, and a served response is one that a node produced
 * for this very request.
 */
final class AnswerRule {
    private static final double NS_PER_MS = 1e6;

    private final RequestHistory history;
    private final Trace trace;
    private final RuleSettings rules;
    private final ProcessLifetimes lifetimes;
    private final Findings out;

    AnswerRule(RequestHistory history, ProcessLifetimes lifetimes, Findings out) {
        this.history = history;
        this.trace = history.trace;
        this.rules = history.rules;
        this.lifetimes = lifetimes;
        this.out = out;
    }

    void match() {
        history.commands.forEach((connection, requests) ->
                new ResponseMatcher(out, connection, requests).match(history.responses.get(connection)));
    }

    void judge() {
        history.commands.values().forEach(this::judge);
    }

    private void judge(List<ClientRequest> requests) {
        long before = Long.MIN_VALUE;
        boolean stuck = false;
        for (ClientRequest request : requests) {
            if (request.responseExpected && crossed(request)) {
                request.crossedClose = true;
                out.counted("crossed");
            } else if (request.responseExpected) {
                out.counted("requests");
                stuck |= !judge(request, before, stuck);
            }
            if (request.response != null && request.response.complete) {
                before = answeredNs(request);
            }
        }
    }

    /** Whether the request reached the proxy after the proxy had closed the connection, or just before and unread. */
    private boolean crossed(ClientRequest request) {
        int end = request.connection.closed(1);
        int kill = lifetimes.firstKill(request.connection.proxy, trace.timeNs(request.connection.firstEntry));
        if (end == Trace.NEVER || request.response != null || trace.timeNs(kill) <= trace.timeNs(end)) {
            return false;
        }
        double shortly = request.connection.recorded[1] ? rules.closeCrossingMs : rules.transitMs;
        return end < request.arrived
                || request.attempts.isEmpty()
                        && trace.timeNs(end) - trace.timeNs(request.arrived) <= shortly * NS_PER_MS
                        && shortly > 0;
    }

    private long startNs(ClientRequest request) {
        return Math.max(
                trace.timeNs(request.sent), trace.timeNs(request.arrived) - (long) (rules.transitMs * NS_PER_MS));
    }

    /** When the response arrived, in ns; bytes that the network lost or held count from when they were due. */
    private long answeredNs(ClientRequest request) {
        long left = trace.timeNs(request.responseSent) + (long) (rules.transitMs * NS_PER_MS);
        return Math.min(left, trace.timeNs(request.responseArrived));
    }

    /** The time that the client waits for a response, in ms. */
    private double waitMs(ClientRequest request) {
        return request.command.clientTimeoutMs < 0
                ? request.requestClass.deadlineMs()
                : Math.min(request.command.clientTimeoutMs, request.requestClass.deadlineMs());
    }

    /** Returns whether responses behind this one on the same connection can still be delivered. */
    private boolean judge(ClientRequest request, long beforeNs, boolean stuck) {
        long start = startNs(request);
        double allowedMs = rules.responseGraceMs + rules.slackMs;
        long slack = (long) (allowedMs * NS_PER_MS);
        long limit = Math.max(start + (long) (waitMs(request) * NS_PER_MS), beforeNs) + slack;
        limit = lifetimes.afterPauses(request.connection.proxy, limit, slack);
        limit = lifetimes.afterReading(request.connection.link, limit, slack);
        boolean answered = request.response != null && request.response.complete && !takenBack(request);
        if (answered) {
            answered(request, start, limit);
        }
        if (answered || request.mismatched) {
            return true;
        }
        int end = request.connection.closed(1);
        String excuse = excuse(request, limit, end);
        if (excuse == null && end == Trace.NEVER && stuck) {
            excuse = "behind one without an answer";
        }
        if (excuse == null && end == Trace.NEVER && limit > trace.endNs) {
            excuse = "open at the end";
        }
        int kill = lifetimes.firstKill(request.connection.proxy, trace.timeNs(request.connection.firstEntry));
        if (excuse != null) {
            out.counted(excuse);
        } else if (trace.timeNs(kill) <= limit && planned(request, kill)) {
            out.violation(
                    ANSWER,
                    request.describe() + " came long after SIGTERM, and SIGKILL found it unanswered",
                    request.sent,
                    kill);
        } else if (end == Trace.NEVER || trace.timeNs(end) > limit) {
            out.violation(
                    ANSWER,
                    request.describe() + (request.response == null ? " had no answer" : " had no whole answer") + " by "
                            + seconds(limit),
                    request.sent,
                    request.responseFirstByteSent);
        } else if (request.response != null && request.response.complete) {
            out.violation(
                    ANSWER,
                    request.describe() + " had its answer taken back by the proxy's reset",
                    request.sent,
                    request.responseSent,
                    request.connection.resetSent[1]);
        } else if (request.response == null) {
            out.violation(
                    ANSWER, "the connection of " + request.describe() + " ended without an answer", request.sent, end);
        } else {
            cut(request, end);
        }
        return end != Trace.NEVER || excuse != null && !excuse.startsWith("behind");
    }

    /** Whether the proxy's reset discarded a response that had not arrived yet. */
    private boolean takenBack(ClientRequest request) {
        return request.connection.recorded[1]
                && request.responseArrived == Trace.NEVER
                && request.connection.resetSent[1] != Trace.NEVER
                && request.connection.resetSent[1] > request.responseSent;
    }

    /** Why the proxy need not have delivered a complete response in time; null if there is no reason. */
    private String excuse(ClientRequest request, long limit, int end) {
        int gone = lifetimes.clientGone(request);
        if (trace.timeNs(gone) <= limit && gone < end) {
            return "gone";
        }
        if (limit == Long.MAX_VALUE) {
            return "never read its answers";
        }
        int kill = lifetimes.firstKill(request.connection.proxy, trace.timeNs(request.connection.firstEntry));
        if (trace.timeNs(kill) <= limit && trace.timeNs(kill) <= trace.timeNs(end)) {
            return planned(request, kill) ? null : "killed";
        }
        int broken = request.connection.brokenByNetwork();
        if (trace.timeNs(broken) <= limit && broken < end) {
            return "broken by the net";
        }
        return null;
    }

    /**
     * Whether this SIGKILL ended a graceful shutdown, and the request came so late after SIGTERM that the proxy should
     * already have closed its connection.
     */
    private boolean planned(ClientRequest request, int kill) {
        long killed = trace.timeNs(kill);
        int term = lifetimes.lastSigterm(request.connection.proxy, killed);
        if (term == Trace.NEVER) {
            return false;
        }
        long until = trace.timeNs(term) + (long) (rules.useAfterSigtermMs * NS_PER_MS);
        return trace.timeNs(request.sent) > until && killed >= until + (long) (rules.longestDeadlineMs() * NS_PER_MS);
    }

    private void answered(ClientRequest request, long start, long limit) {
        long at = answeredNs(request);
        if (at > limit && excuse(request, limit, Trace.NEVER) == null) {
            out.violation(
                    ANSWER,
                    request.describe() + " had its answer only at " + seconds(at) + ", due by " + seconds(limit),
                    request.sent,
                    request.responseSent,
                    request.responseArrived);
        }
        switch (request.response.kind) {
            case VALUE, RECEIPT -> {
                out.counted("served");
                if (!request.mismatched) {
                    made(request);
                }
            }
            default -> {
                out.counted(request.response.kind == RecordedResponse.Kind.REJECTED ? "refused" : "failed");
                boolean tried = request.attempts.stream().anyMatch(Attempt::complete);
                if (!tried && at - start > waitMs(request) * NS_PER_MS / 2) {
                    out.note(
                            ANSWER,
                            request.describe() + " was turned away after more than half of its time, untried",
                            request.sent,
                            request.responseSent);
                }
            }
        }
    }

    private List<NodeResponse> made(String id) {
        return history.nodeResponses.getOrDefault(id, List.of());
    }

    /** Checks that a node produced the served response for this very request. */
    private void made(ClientRequest request) {
        if (rules.clientSidesOnly) {
            return;
        }
        RecordedResponse response = request.response;
        int own = Trace.NEVER;
        for (NodeResponse made : made(response.id)) {
            if (!RequestHistory.sameProxy(made.connection().proxy, request.connection.proxy)
                    || made.firstByteSent() > request.responseFirstByteSent) {
                continue;
            }
            if (response.kind == RecordedResponse.Kind.VALUE
                    ? made.sameValue(response, request.responseBytes)
                    : made.sameReceipt(response)) {
                return;
            }
            own = made.firstByteSent();
        }
        if (own != Trace.NEVER) {
            out.violation(
                    ANSWER,
                    request.describe() + " was served with other bytes than a node made for it",
                    request.sent,
                    own,
                    request.responseFirstByteSent);
            return;
        }
        for (List<NodeResponse> candidates : history.nodeResponses.values()) {
            for (NodeResponse made : candidates) {
                boolean same = response.kind == RecordedResponse.Kind.VALUE
                        ? made.sameValue(response, request.responseBytes)
                        : made.sameReceipt(response);
                if (same && made.firstByteSent() < request.responseFirstByteSent) {
                    out.violation(
                            ANSWER,
                            request.describe() + " was served with what a node made for " + made.response().id,
                            request.sent,
                            made.firstByteSent(),
                            request.responseFirstByteSent);
                    return;
                }
            }
        }
        out.violation(
                ANSWER,
                request.describe() + " was served with what no node made",
                request.sent,
                request.responseFirstByteSent);
    }

    /** Judges a truncated response: a fault of the proxy unless the node truncated it. */
    private void cut(ClientRequest request, int end) {
        RecordedResponse response = request.response;
        if (response.kind == RecordedResponse.Kind.VALUE) {
            for (NodeResponse made : made(response.id)) {
                if (!RequestHistory.sameProxy(made.connection().proxy, request.connection.proxy)
                        || made.firstByteSent() > request.responseFirstByteSent) {
                    continue;
                }
                if (!made.beginsWith(response, request.responseBytes)) {
                    out.violation(
                            ANSWER,
                            request.describe() + " was served with the beginning of other bytes than a node"
                                    + " made for it",
                            request.sent,
                            made.firstByteSent(),
                            request.responseFirstByteSent,
                            end);
                    return;
                }
                if (made.response().complete && made.arrived() < end) {
                    out.violation(
                            ANSWER,
                            request.describe() + " had its value cut, which was whole at the proxy",
                            request.sent,
                            made.arrived(),
                            request.responseFirstByteSent,
                            end);
                    return;
                }
                out.counted("cut by a node");
                return;
            }
        }
        String got = new String(
                Arrays.copyOfRange(
                        request.responseBytes,
                        response.startOffset,
                        Math.min(response.endOffset, response.startOffset + 20)),
                java.nio.charset.StandardCharsets.ISO_8859_1);
        out.violation(
                ANSWER,
                request.describe() + " had the beginning of an answer that no node made, \"" + got.strip() + "\"",
                request.sent,
                request.responseFirstByteSent,
                end);
    }

    private static String seconds(long ns) {
        return String.format(java.util.Locale.ROOT, "%.3f s", ns / 1e9);
    }
}
