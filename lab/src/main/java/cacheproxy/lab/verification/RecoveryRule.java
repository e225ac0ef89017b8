package cacheproxy.lab.verification;

import static cacheproxy.lab.verification.Violation.Rule.COLD;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Rule 4: no node is overloaded while it warms up. Counts the attempts of all proxies that arrived within any window of
 * {@link RuleSettings#overloadWindowMs}; at most {@link RuleSettings#overloadMultiple} times the node's capacity at the
 * window's begin, plus a tolerance for chance, are allowed. Capacity grows linearly. If less than two thirds came from
 * proxies that were notified of the start, it is a note, not a violation.
 */
final class RecoveryRule {
    private static final double NS_PER_MS = 1e6;
    private static final String NOT_NOTIFIED = "; most from proxies that were not told of the start";

    /** A node's warm-up: from its start until it is warm, overloaded or stopped. */
    private static final class WarmUp {
        final Trace.Fact start;
        final long fromNs;
        final double startShare;
        final double durationMs;
        final double requestsPerS;
        long toNs;
        int overload = Trace.NEVER;

        WarmUp(Trace.Fact start, long fromNs, double startShare, double durationMs, double requestsPerS) {
            this.start = start;
            this.fromNs = fromNs;
            this.startShare = startShare;
            this.durationMs = durationMs;
            this.requestsPerS = requestsPerS;
            toNs = fromNs + (long) (durationMs * NS_PER_MS);
        }

        /** Capacity at a time, in requests per second. */
        double capacity(long atNs) {
            double part = durationMs <= 0 ? 1 : Math.min(1, (atNs - fromNs) / NS_PER_MS / durationMs);
            return requestsPerS * (startShare + (1 - startShare) * part);
        }
    }

    private final RequestHistory history;
    private final Trace trace;
    private final RuleSettings rules;
    private final Notifications notifications;
    private final Findings out;

    RecoveryRule(RequestHistory history, Notifications notifications, Findings out) {
        this.history = history;
        this.notifications = notifications;
        this.trace = history.trace;
        this.rules = history.rules;
        this.out = out;
    }

    void judge() {
        Map<String, List<WarmUp>> spans = new LinkedHashMap<>();
        List<Trace.Fact> fallen = new ArrayList<>();
        for (Trace.Fact fact : trace.facts) {
            List<WarmUp> ofNode = spans.computeIfAbsent(fact.who(), w -> new ArrayList<>());
            WarmUp last = ofNode.isEmpty() ? null : ofNode.get(ofNode.size() - 1);
            boolean start = fact.word(0).equals("start") && fact.field("cold") != null;
            boolean overload = fact.word(0).equals("fell");
            if (last != null
                    && (start
                            || overload
                            || fact.word(0).equals("stop")
                            || fact.word(0).equals("kill"))) {
                last.toNs = Math.min(last.toNs, trace.timeNs(fact.entry()));
            }
            if (start) {
                ofNode.add(new WarmUp(
                        fact,
                        trace.timeNs(fact.entry()),
                        number(fact, "cold", rules.warmUpStartShare),
                        number(fact, "coldMs", rules.warmUpMs),
                        number(fact, "perS", -1)));
            } else if (overload && last != null && last.overload == Trace.NEVER) {
                last.overload = fact.entry();
            } else if (overload) {
                fallen.add(fact);
            }
        }
        fallen.forEach(fact -> out.violation(COLD, fact.who() + " was pushed over", fact.entry()));
        Map<String, List<Attempt>> arrivals = new HashMap<>();
        for (Attempt attempt : history.attempts) {
            if (attempt.complete()) {
                arrivals.computeIfAbsent(attempt.node, n -> new ArrayList<>()).add(attempt);
            }
        }
        arrivals.values().forEach(list -> list.sort(java.util.Comparator.comparingInt(attempt -> attempt.arrived)));
        spans.forEach((node, list) ->
                list.forEach(warmUp -> judge(node, warmUp, arrivals.getOrDefault(node, List.of()))));
    }

    private static double number(Trace.Fact fact, String name, double otherwise) {
        String text = fact.field(name);
        return text == null ? otherwise : Double.parseDouble(text);
    }

    private void judge(String node, WarmUp warmUp, List<Attempt> arrivals) {
        boolean over = warmUp.startShare < 1 && warmUp.requestsPerS > 0 && exceedsBudget(node, warmUp, arrivals);
        if (warmUp.overload != Trace.NEVER && !over) {
            judgeOverload(node, warmUp, arrivals);
        }
    }

    /** Judges an overload that the node itself reported, by what arrived in the window before. */
    private void judgeOverload(String node, WarmUp warmUp, List<Attempt> arrivals) {
        long from = trace.timeNs(warmUp.overload) - (long) (rules.overloadWindowMs * NS_PER_MS);
        List<Attempt> inWindow = arrivals.stream()
                .filter(attempt -> attempt.arrived > warmUp.start.entry()
                        && attempt.arrived < warmUp.overload
                        && trace.timeNs(attempt.arrived) >= from)
                .toList();
        String what = node + " was pushed over";
        if (warmUp.startShare >= 1 || mostlyNotified(inWindow, warmUp)) {
            out.violation(COLD, what, warmUp.start.entry(), warmUp.overload);
        } else {
            out.note(
                    COLD, what + " by " + countByProxy(inWindow) + NOT_NOTIFIED, warmUp.start.entry(), warmUp.overload);
        }
    }

    /** Whether at least two thirds of the attempts came from proxies that were notified of the start. */
    private boolean mostlyNotified(List<Attempt> inWindow, WarmUp warmUp) {
        return 3
                        * inWindow.stream()
                                .filter(attempt -> notified(attempt, warmUp))
                                .count()
                >= 2L * inWindow.size();
    }

    /** Whether a window exceeded its budget and violated the rule; reported once for each start. */
    private boolean exceedsBudget(String node, WarmUp warmUp, List<Attempt> arrivals) {
        out.counted("cold starts");
        long length = (long) (rules.overloadWindowMs * NS_PER_MS);
        boolean noted = false;
        int end = 0;
        for (int i = 0; i < arrivals.size(); i++) {
            long from = trace.timeNs(arrivals.get(i).arrived);
            if (arrivals.get(i).arrived < warmUp.start.entry() || from > warmUp.toNs) {
                continue;
            }
            end = Math.max(end, i);
            long until = Math.min(from + length, warmUp.toNs);
            while (end < arrivals.size() && trace.timeNs(arrivals.get(end).arrived) <= until) {
                end++;
            }
            double budget = rules.overloadMultiple * warmUp.capacity(from) * rules.overloadWindowMs / 1000
                    + rules.warmUpTolerance;
            if (end - i <= budget) {
                continue;
            }
            List<Attempt> inWindow = arrivals.subList(i, end);
            Attempt breaks = inWindow.get((int) Math.floor(budget));
            String what = String.format(
                            java.util.Locale.ROOT,
                            "%s had %d requests within %.0f ms, %.1f are"
                                    + " allowed %.0f ms after its cold start, from ",
                            node,
                            end - i,
                            rules.overloadWindowMs,
                            budget,
                            (from - warmUp.fromNs) / NS_PER_MS)
                    + countByProxy(inWindow);
            if (mostlyNotified(inWindow, warmUp)) {
                out.violation(
                        COLD, what, warmUp.start.entry(), inWindow.get(0).arrived, breaks.arrived, warmUp.overload);
                return true;
            }
            if (!noted) {
                out.note(COLD, what + NOT_NOTIFIED, warmUp.start.entry(), inWindow.get(0).arrived, breaks.arrived);
                noted = true;
            }
        }
        return false;
    }

    private static String countByProxy(List<Attempt> inWindow) {
        Map<String, Integer> shares = new TreeMap<>();
        inWindow.forEach(attempt -> shares.merge(attempt.connection.proxy, 1, Integer::sum));
        return shares.toString();
    }

    private final Map<String, Long> notifiedNs = new HashMap<>();

    /** Whether the proxy was notified of the start, or counts as notified, when it sent this attempt. */
    private boolean notified(Attempt attempt, WarmUp warmUp) {
        long since = notifiedNs.computeIfAbsent(
                attempt.connection.proxy + " " + warmUp.start.entry(), k -> notifiedNs(attempt, warmUp));
        return since <= trace.timeNs(attempt.firstByteSent);
    }

    /**
     * The time in ns of the first notification that names the node after its start, with a version newer than any
     * before the start. A proxy without notifications in the record counts as notified from the beginning.
     */
    private long notifiedNs(Attempt attempt, WarmUp warmUp) {
        Map<String, Long> before = new HashMap<>();
        long version = -1;
        long out = Long.MAX_VALUE;
        boolean hasLists = false;
        for (Trace.Fact fact : trace.facts) {
            boolean told = fact.word(0).equals("told");
            if (!told && !fact.word(0).equals("due")) {
                continue;
            }
            long announced = DrainRule.number(fact.word(2));
            boolean here = fact.word(1).equals(attempt.connection.proxy);
            hasLists |= here;
            if (fact.entry() < warmUp.start.entry()) {
                before.merge(fact.who(), announced, Math::max);
            } else if (here
                    && names(fact, told ? 4 : 3, attempt.nodeId)
                    && announced > before.getOrDefault(fact.who(), -1L)) {
                if (told && announced >= version) {
                    out = Math.min(out, notifications.arrivedNs(fact));
                } else if (!told && version < 0) {
                    version = announced;
                    out = Math.min(out, trace.timeNs(fact.entry()) + (long) (rules.notificationDeadlineMs * NS_PER_MS));
                }
            }
        }
        return hasLists ? out : Long.MIN_VALUE;
    }

    private static boolean names(Trace.Fact fact, int word, String node) {
        for (String entry : fact.word(word).split(",")) {
            if (entry.startsWith(node + ":")) {
                return true;
            }
        }
        return false;
    }
}
