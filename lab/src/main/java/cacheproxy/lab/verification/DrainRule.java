package cacheproxy.lab.verification;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Rule 3: no new attempt to a draining or deleted node after the grace time. A proxy's state of a node is the newest
 * version that names it, where a full list names all nodes, from when the notification arrived: see
 * {@link Notifications}. A change that discovery reports as due counts as notified after
 * {@link RuleSettings#notificationDeadlineMs}, also for a proxy that neither watches nor polls.
 */
final class DrainRule {
    private static final double NS_PER_MS = 1e6;

    /** A proxy's state of a node: whether it accepts work, since when not, and by which entry of the record. */
    private record NodeState(long version, boolean serving, long sinceNs, int entry) {}

    /** A change of a proxy's state or an attempt, replayed in order of time. */
    private record TimelineStep(long atNs, int entry, Runnable what) {}

    private final RequestHistory history;
    private final Trace trace;
    private final RuleSettings rules;
    private final Notifications notifications;
    private final Findings out;

    DrainRule(RequestHistory history, Notifications notifications, Findings out) {
        this.history = history;
        this.notifications = notifications;
        this.trace = history.trace;
        this.rules = history.rules;
        this.out = out;
    }

    void judge() {
        Map<String, ProxyView> views = new HashMap<>();
        for (String proxy : trace.proxies) {
            views.put(proxy, new ProxyView());
        }
        for (Trace.Fact fact : trace.facts) {
            if (fact.word(0).equals("start") && views.containsKey(fact.who())) {
                views.get(fact.who()).starts.add(trace.timeNs(fact.entry()));
            }
        }
        for (Trace.Fact fact : trace.facts) {
            ProxyView own = views.get(fact.who());
            ProxyView target = views.get(fact.word(1));
            if (own != null && fact.word(0).equals("start")) {
                own.add(fact.entry(), () -> own.onStart(fact.entry()));
            } else if (own != null && fact.word(0).equals("hup")) {
                own.add(fact.entry(), () -> own.discoveryChanged(fact.entry()));
            } else if (target != null && fact.word(0).equals("told")) {
                target.onNotification(fact);
            } else if (target != null && fact.word(0).equals("due")) {
                target.onDue(fact);
            }
        }
        for (Attempt attempt : history.attempts) {
            ProxyView own = views.get(attempt.connection.proxy);
            if (own != null) {
                own.add(attempt.firstByteSent, () -> own.checkAttempt(attempt));
            }
        }
        views.values().forEach(ProxyView::replay);
    }

    static long number(String text) {
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    /** Whether each listed node accepts work. */
    private static Map<String, Boolean> parseEntries(String text) {
        Map<String, Boolean> out = new HashMap<>();
        for (String entry : text.split(",")) {
            int colon = entry.lastIndexOf(':');
            if (colon > 0) {
                out.put(entry.substring(0, colon), entry.substring(colon + 1).equals("SERVING"));
            }
        }
        return out;
    }

    /** What one proxy was notified of, over all its starts. */
    private final class ProxyView {
        private final List<TimelineStep> steps = new ArrayList<>();
        private final Map<String, NodeState> known = new HashMap<>();
        /** The newest full list: nodes that no list named count as deleted since the first one. */
        private NodeState fullList;

        private long startNs;
        /** The newest version it was notified of, which includes all changes due up to that version. */
        private long newest = -1;
        /** States that a due change replaced, to restore them if a later version does not contain the change. */
        private final Map<String, NodeState> beforeDue = new HashMap<>();

        private int startEntry = -1;
        private int hupEntry = -1;
        private final List<Long> starts = new ArrayList<>();

        void add(int entry, Runnable what) {
            steps.add(new TimelineStep(trace.timeNs(entry), entry, what));
        }

        void replay() {
            steps.sort(Comparator.comparingLong(TimelineStep::atNs).thenComparingInt(TimelineStep::entry));
            steps.forEach(step -> step.what.run());
        }

        void onStart(int entry) {
            known.clear();
            fullList = null;
            newest = -1;
            beforeDue.clear();
            startNs = trace.timeNs(entry);
            startEntry = entry;
        }

        /** Another discovery service may number its versions differently. */
        void discoveryChanged(int entry) {
            hupEntry = entry;
            newest = -1;
            known.replaceAll((node, state) -> new NodeState(-1, state.serving, state.sinceNs, state.entry));
            fullList = fullList == null ? null : new NodeState(-1, false, fullList.sinceNs, fullList.entry);
        }

        /**
         * A notification counts from its arrival, for the process that it was written to. A node that becomes serving
         * may get work as soon as the notification is written.
         */
        void onNotification(Trace.Fact fact) {
            long version = number(fact.word(2));
            boolean full = fact.word(3).equals("full");
            Map<String, Boolean> entries = parseEntries(fact.word(4));
            // an empty change takes no bytes to send
            long counts = entries.isEmpty() && !full ? trace.timeNs(fact.entry()) : notifications.arrivedNs(fact);
            if (counts > trace.timeNs(fact.entry())) {
                add(fact.entry(), () -> servingOnItsWay(version, entries, fact.entry()));
            }
            steps.add(new TimelineStep(counts, fact.entry(), () -> {
                if (startEntry < fact.entry()) {
                    newest = hupEntry < fact.entry() ? Math.max(newest, version) : newest;
                    apply(hupEntry < fact.entry() ? version : -1, full, entries, fact.entry(), counts);
                    revertDue(version, entries);
                }
            }));
        }

        private void servingOnItsWay(long version, Map<String, Boolean> entries, int entry) {
            entries.forEach((node, serving) -> {
                NodeState current = known.get(node);
                if (serving && (current == null || current.version <= version)) {
                    known.put(node, new NodeState(version, true, trace.timeNs(entry), entry));
                }
            });
        }

        /**
         * A due change counts after the deadline for the running proxy. For one that starts later it is due again: when
         * it polls, which discovery reports by another fact, or if it never polls, after the longest allowed time.
         */
        void onDue(Trace.Fact fact) {
            long at = trace.timeNs(fact.entry());
            applyDueAt(fact, at + (long) (rules.notificationDeadlineMs * NS_PER_MS), startedNs -> startedNs <= at);
            long unasked = (long) (Math.max(rules.notificationDeadlineMs, rules.pollWithinMs) * NS_PER_MS);
            for (long from : starts) {
                if (from > at) {
                    applyDueAt(fact, from + unasked, startedNs -> startedNs == from);
                }
            }
        }

        private void applyDueAt(Trace.Fact fact, long counts, LongPredicate started) {
            steps.add(new TimelineStep(counts, fact.entry(), () -> {
                if (started.test(startNs) && number(fact.word(2)) > newest) {
                    parseEntries(fact.word(3)).keySet().forEach(node -> beforeDue.putIfAbsent(node, known.get(node)));
                    apply(number(fact.word(2)), false, parseEntries(fact.word(3)), fact.entry(), counts);
                }
            }));
        }

        /** Restores states whose due change is missing from a later version: it was reverted meanwhile. */
        private void revertDue(long version, Map<String, Boolean> entries) {
            beforeDue.forEach((node, before) -> {
                NodeState current = known.get(node);
                if (!entries.containsKey(node) && current != null && current.version <= version) {
                    known.put(
                            node,
                            before == null ? new NodeState(version, true, current.sinceNs, current.entry) : before);
                }
            });
            beforeDue.clear();
        }

        void apply(long version, boolean full, Map<String, Boolean> entries, int entry, long atNs) {
            Set<String> named = new HashSet<>(entries.keySet());
            if (full && (fullList == null || version >= fullList.version)) {
                named.addAll(known.keySet());
                long since = fullList == null ? atNs : fullList.sinceNs;
                fullList = new NodeState(version, false, since, fullList == null ? entry : fullList.entry);
            }
            for (String node : named) {
                NodeState current = known.get(node);
                boolean serving = entries.getOrDefault(node, false);
                if (current != null && current.version > version) {
                    continue; // older than the known version
                }
                boolean stays = current != null && !current.serving && !serving;
                known.put(
                        node,
                        new NodeState(version, serving, stays ? current.sinceNs : atNs, stays ? current.entry : entry));
            }
        }

        void checkAttempt(Attempt attempt) {
            NodeState state = known.getOrDefault(attempt.nodeId, fullList);
            if (state == null || state.serving) {
                return;
            }
            long lateNs = trace.timeNs(attempt.firstByteSent) - state.sinceNs;
            double networkHoldMs = attempt.connection.recorded[0] ? 0 : rules.networkHoldMs;
            if (lateNs > (rules.drainGraceMs + rules.slackMs + networkHoldMs) * NS_PER_MS) {
                out.violation(
                        Violation.Rule.DRAIN,
                        attempt.connection.proxy + " sent " + attempt.command.id + " to " + attempt.node
                                + " "
                                + Math.round(lateNs / NS_PER_MS) + " ms after it counted as told that this node ("
                                + attempt.nodeId + ") drains or is gone",
                        state.entry,
                        attempt.firstByteSent);
            }
        }
    }
}
