package cacheproxy.lab.verification;

import static cacheproxy.lab.verification.Violation.Rule.ANSWER;
import static cacheproxy.lab.verification.Violation.Rule.FORM;
import static cacheproxy.lab.verification.Violation.Rule.TWICE;

import cacheproxy.lab.verification.RuleSettings.Effect;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Rule 2: no effect twice and no rejection of a request that may have been executed. Also checks that attempts carry
 * what the client sent, and that none follows the final response.
 */
final class EffectRule {
    private static final double NS_PER_MS = 1e6;

    private final RequestHistory history;
    private final Trace trace;
    private final RuleSettings rules;
    private final ProcessLifetimes lifetimes;
    private final Findings out;
    /** Ids of requests for which a second effect or a rejection was already reported as a violation. */
    private final Set<String> reported = new HashSet<>();

    EffectRule(RequestHistory history, ProcessLifetimes lifetimes, Findings out) {
        this.history = history;
        this.trace = history.trace;
        this.rules = history.rules;
        this.lifetimes = lifetimes;
        this.out = out;
    }

    void judge() {
        for (Attempt attempt : history.malformedCommands) {
            out.violation(
                    FORM,
                    attempt.connection.proxy + " sent " + attempt.node + " a command without a form",
                    attempt.firstByteSent);
        }
        Set<ClientRequest> requests = new java.util.LinkedHashSet<>();
        for (Attempt attempt : history.attempts) {
            out.counted("attempts");
            if (attempt.complete()) {
                out.counted("whole attempts");
            }
            checkForm(attempt);
            if (attempt.request != null) {
                requests.add(attempt.request);
            }
        }
        requests.forEach(this::judge);
        checkExecutions();
    }

    private void checkForm(Attempt attempt) {
        ClientRequest request = attempt.request;
        if (request == null) {
            out.violation(
                    FORM,
                    attempt.connection.proxy + " sent " + attempt.node + " a request that no client sent it, "
                            + attempt.command.id,
                    attempt.firstByteSent);
            return;
        }
        RecordedRequest sent = attempt.command;
        RecordedRequest asked = request.command;
        boolean same = sent.verb.equals(asked.verb)
                && sent.key.equals(asked.key)
                && Objects.equals(sent.idempotencyKey, asked.idempotencyKey)
                && (!sent.complete
                        || Arrays.equals(
                                attempt.connection.streams[0].bytes(),
                                sent.valueFrom,
                                sent.valueTo,
                                request.bytes,
                                asked.valueFrom,
                                asked.valueTo));
        if (!same) {
            out.violation(
                    FORM,
                    request.describe() + " went to " + attempt.node + " with another command, key, value or k",
                    request.sent,
                    attempt.firstByteSent);
        }
        checkAfterResponse(attempt, request);
    }

    private void checkAfterResponse(Attempt attempt, ClientRequest request) {
        long apart = attempt.connection.recorded[0] ? 0 : (long) (rules.transitMs * NS_PER_MS);
        if (request.responseSent < attempt.firstByteSent
                && trace.timeNs(attempt.firstByteSent) - trace.timeNs(request.responseSent) >= apart) {
            boolean refused = request.response.kind == RecordedResponse.Kind.REJECTED
                    && request.effect != Effect.SAFE
                    && attempt.complete();
            if (refused) {
                reported.add(request.command.id);
            }
            out.violation(
                    refused ? TWICE : ANSWER,
                    request.describe() + " was sent to " + attempt.node + " after its final answer"
                            + (refused ? ", a refusal" : ""),
                    request.sent,
                    request.responseSent,
                    attempt.firstByteSent);
        }
        int gone = lifetimes.clientGone(request);
        if (gone < attempt.firstByteSent
                && trace.timeNs(attempt.firstByteSent) - trace.timeNs(gone)
                        > (rules.slackMs + rules.transitMs) * NS_PER_MS) {
            out.note(
                    ANSWER,
                    request.describe() + " was sent to " + attempt.node + " although its client had left",
                    gone,
                    attempt.firstByteSent);
        }
    }

    private void judge(ClientRequest request) {
        List<Attempt> complete = new ArrayList<>(request.attempts);
        complete.removeIf(attempt -> !attempt.complete());
        for (int i = 1; i < complete.size(); i++) {
            Attempt attempt = complete.get(i);
            if (request.effect != Effect.SAFE) {
                checkRepeat(request, complete.subList(0, i), attempt);
            }
            if (!rules.hedging) {
                checkConcurrentAttempt(request, complete.subList(0, i), attempt);
            }
        }
        if (request.response != null
                && request.response.kind == RecordedResponse.Kind.REJECTED
                && request.response.complete
                && request.effect != Effect.SAFE) {
            checkRejection(request, complete);
        }
    }

    private static List<Attempt> possiblyExecuted(List<Attempt> of, int at) {
        List<Attempt> out = new ArrayList<>(of);
        out.removeIf(attempt -> attempt.firstByteSent >= at || attempt.knownNotExecuted(at));
        return out;
    }

    /** Checks a repeated attempt of a request that is not safe to repeat. */
    private void checkRepeat(ClientRequest request, List<Attempt> earlier, Attempt attempt) {
        List<Attempt> possiblyExecuted = possiblyExecuted(earlier, attempt.firstByteSent);
        if (possiblyExecuted.isEmpty()) {
            return;
        }
        String why = null;
        if (request.effect == Effect.UNSAFE) {
            why = request.requestClass.effect() == Effect.KEYED
                    ? "has no key, so that nothing discards its repeat"
                    : "is unsafe";
        } else if (possiblyExecuted.stream()
                .anyMatch(earlierAttempt ->
                        !rules.sameGroup(request.requestClass.group(), earlierAttempt.nodeId, attempt.nodeId))) {
            why = "is discarded only within its " + request.requestClass.group();
        } else if (trace.timeNs(attempt.firstByteSent) > windowEnd(request, possiblyExecuted)) {
            why = "is discarded only until " + seconds(windowEnd(request, possiblyExecuted));
        }
        if (why != null) {
            reported.add(request.command.id);
            out.violation(
                    TWICE,
                    request.describe() + " " + why + ", and went whole to " + attempt.node + " at "
                            + seconds(trace.timeNs(attempt.firstByteSent)) + " while "
                            + describe(possiblyExecuted, attempt.firstByteSent) + " may have run",
                    entries(possiblyExecuted, attempt.firstByteSent, attempt.firstByteSent, attempt.executed));
        }
    }

    /** The time in ns until which the proxy may rely on nodes to discard a repeat of a keyed request. */
    private long windowEnd(ClientRequest request, List<Attempt> possiblyExecuted) {
        return trace.timeNs(possiblyExecuted.get(0).sent)
                + (long) ((request.requestClass.repeatWindowMs() + rules.slackMs) * NS_PER_MS);
    }

    private String describe(List<Attempt> possiblyExecuted, int at) {
        List<String> out = new ArrayList<>();
        for (Attempt earlierAttempt : possiblyExecuted) {
            out.add("its attempt at " + earlierAttempt.node + " (told: " + earlierAttempt.knowledgeAt(at)
                    + "; in truth: " + earlierAttempt.groundTruth() + ")");
        }
        return String.join(" and ", out);
    }

    private static int[] entries(List<Attempt> possiblyExecuted, int at, int... more) {
        List<Integer> out = new ArrayList<>();
        for (Attempt earlierAttempt : possiblyExecuted) {
            out.add(earlierAttempt.sent);
            out.add(earlierAttempt.executed);
            out.add(earlierAttempt.responseArrived < at ? earlierAttempt.responseArrived : Trace.NEVER);
        }
        Arrays.stream(more).forEach(out::add);
        return out.stream().mapToInt(i -> i).toArray();
    }

    /** Checks for two attempts in flight at once; closing the connection abandons an attempt. */
    private void checkConcurrentAttempt(ClientRequest request, List<Attempt> earlier, Attempt attempt) {
        for (Attempt earlierAttempt : earlier) {
            if (earlierAttempt.responseArrived > attempt.arrived && !givenUp(earlierAttempt, attempt.arrived)) {
                out.violation(
                        TWICE,
                        request.describe() + " went to " + attempt.node + " while its attempt at " + earlierAttempt.node
                                + " was out on an open connection",
                        earlierAttempt.sent,
                        attempt.sent);
                return;
            }
        }
    }

    private boolean givenUp(Attempt attempt, int at) {
        RecordedConnection connection = attempt.connection;
        long late = connection.recorded[0] ? 0 : (long) (rules.slackMs * NS_PER_MS); // the node sees the close later
        return connection.peerCloseSeen(0) < at
                || connection.closed(0) < at
                || late > 0
                        && connection.closed(0) != Trace.NEVER
                        && trace.timeNs(connection.closed(0)) <= trace.timeNs(at) + late;
    }

    /** A rejection promises the client that a retry is harmless. */
    private void checkRejection(ClientRequest request, List<Attempt> complete) {
        List<Attempt> possiblyExecuted = possiblyExecuted(complete, request.responseFirstByteSent);
        if (possiblyExecuted.isEmpty()) {
            return;
        }
        String why = null;
        if (request.effect == Effect.UNSAFE) {
            why = "";
        } else if (request.requestClass.group() != RuleSettings.Group.ALL) {
            why = ", and only its " + request.requestClass.group() + " discards a repeat";
        } else if (retryNs(request) > windowEnd(request, possiblyExecuted)) {
            why = ", and a retry at " + seconds(retryNs(request)) + " is discarded only until "
                    + seconds(windowEnd(request, possiblyExecuted));
        }
        if (why != null) {
            reported.add(request.command.id);
            out.violation(
                    TWICE,
                    request.describe() + " was refused while "
                            + describe(possiblyExecuted, request.responseFirstByteSent) + " may have run" + why,
                    entries(possiblyExecuted, request.responseFirstByteSent, request.responseFirstByteSent));
        }
    }

    /** When a rejected client retries, in ns: after the Retry-After, else at its deadline at the latest. */
    private long retryNs(ClientRequest request) {
        return rules.retryAfterSent && request.response.retryAfterMs >= 0
                ? trace.timeNs(request.responseSent) + (long) (request.response.retryAfterMs * NS_PER_MS)
                : trace.timeNs(request.sent) + (long) (request.requestClass.deadlineMs() * NS_PER_MS);
    }

    private record Execution(String id, int entry, ClientRequest request) {}

    /** Reports effects that happened twice according to the nodes, whatever the proxy could know. */
    private void checkExecutions() {
        Map<String, List<Execution>> byEffect = new HashMap<>();
        List<String> order = new ArrayList<>();
        for (Trace.Fact fact : trace.facts) {
            if (!fact.word(0).equals("ran")) {
                continue;
            }
            String id = history.requestId(fact.word(1));
            List<ClientRequest> sameId = history.byId.getOrDefault(id, List.of());
            ClientRequest request = sameId.stream()
                    .filter(candidate ->
                            candidate.attempts.stream().anyMatch(attempt -> attempt.executed == fact.entry()))
                    .findFirst()
                    .orElse(sameId.isEmpty() ? null : sameId.get(0));
            if (request == null || request.effect == Effect.SAFE) {
                continue;
            }
            String effect = request.effect == Effect.KEYED ? "k " + request.command.idempotencyKey : "id " + id;
            List<Execution> executions = byEffect.computeIfAbsent(effect, key -> new ArrayList<>());
            if (executions.isEmpty()) {
                order.add(effect);
            }
            executions.add(new Execution(id, fact.entry(), request));
        }
        for (String effect : order) {
            List<Execution> sameEffect = byEffect.get(effect);
            if (sameEffect.size() > 1 && sameEffect.stream().noneMatch(execution -> reported.contains(execution.id))) {
                checkExecutions(sameEffect);
            }
        }
    }

    private void checkExecutions(List<Execution> executions) {
        int[] entries = executions.stream().mapToInt(Execution::entry).toArray();
        Execution first = executions.get(0);
        List<ClientRequest> sameId = history.byId.get(first.id);
        boolean resent = executions.stream().skip(1).anyMatch(execution -> execution.id.equals(first.id));
        if (resent && sameId.subList(0, sameId.size() - 1).stream().anyMatch(earlier -> earlier.crossedClose)) {
            out.violation(
                    TWICE,
                    first.request.describe()
                            + " ran although it had crossed the end of its connection,"
                            + " after which clients send it again",
                    entries);
            return;
        }
        for (Execution again : executions) {
            for (Execution before : executions) {
                if (before.entry < again.entry
                        && retriedAsAdvised(before.request, again.request)
                        && !rejectionWasJustified(before.request, again)) {
                    out.violation(
                            TWICE,
                            before.request.describe() + " was refused and had run, and its retry as " + again.id
                                    + " ran too",
                            before.entry,
                            before.request.responseSent,
                            again.request.sent,
                            again.entry);
                    return;
                }
            }
        }
        boolean lied = first.request.attempts.stream().anyMatch(Attempt::falselyRejected);
        out.note(
                TWICE,
                first.request.describe() + " ran " + executions.size()
                        + " times, which the proxy could not know"
                        + (lied ? ": a node had told that it never ran" : ""),
                entries);
    }

    /** Whether the client retried because of the rejection, at the time that it allowed. */
    private boolean retriedAsAdvised(ClientRequest refused, ClientRequest retry) {
        return refused.response != null
                && refused.response.kind == RecordedResponse.Kind.REJECTED
                && refused.response.complete
                && refused.responseSent < retry.sent
                && trace.timeNs(retry.sent) <= retryNs(refused) + (long) (rules.slackMs * NS_PER_MS);
    }

    /**
     * Whether the rejection was justified by what the proxy could know: the node had rejected the attempt, or the retry
     * arrived while its node still had to discard the repeat.
     */
    private boolean rejectionWasJustified(ClientRequest refused, Execution again) {
        List<Attempt> possiblyExecuted = new ArrayList<>(refused.attempts);
        possiblyExecuted.removeIf(attempt -> !attempt.complete());
        possiblyExecuted = possiblyExecuted(possiblyExecuted, refused.responseFirstByteSent);
        if (possiblyExecuted.isEmpty()) {
            return true;
        }
        long until =
                trace.timeNs(possiblyExecuted.get(0).sent) + (long) (refused.requestClass.repeatWindowMs() * NS_PER_MS);
        return again.request.attempts.stream()
                .anyMatch(attempt -> attempt.executed == again.entry && trace.timeNs(attempt.arrived) <= until);
    }

    private static String seconds(long ns) {
        return String.format(java.util.Locale.ROOT, "%.3f s", ns / 1e9);
    }
}
