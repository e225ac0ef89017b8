package cacheproxy.lab.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/** Signals, stalls and departures that the driver and the clients report: when a process could do its work. */
final class ProcessLifetimes {
    /** A span of time in ns. */
    record TimeSpan(long fromNs, long toNs) {}

    private final Trace trace;
    private final Map<String, List<Trace.Fact>> kills = new HashMap<>();
    private final Map<String, List<Trace.Fact>> terms = new HashMap<>();
    private final Map<String, List<TimeSpan>> pauses = new HashMap<>();
    /** Stalls of the stand-ins: what arrived meanwhile was observed only afterwards. */
    private final List<TimeSpan> observerStalls = new ArrayList<>();

    private final Map<String, Integer> gone = new HashMap<>();
    private final Map<Long, List<TimeSpan>> notReading = new HashMap<>();

    ProcessLifetimes(Trace trace) {
        this.trace = trace;
        Map<Long, Long> off = new HashMap<>();
        for (Trace.Fact fact : trace.facts) {
            long at = trace.timeNs(fact.entry());
            switch (fact.word(0)) {
                case "kill" ->
                    kills.computeIfAbsent(fact.who(), host -> new ArrayList<>()).add(fact);
                // SIGTERM concerns the process that ran at the time
                case "start", "term" ->
                    terms.computeIfAbsent(fact.who(), host -> new ArrayList<>()).add(fact);
                case "paused" ->
                    pauses.computeIfAbsent(fact.who(), host -> new ArrayList<>())
                            .add(new TimeSpan(at, at + Long.parseLong(fact.word(1))));
                case "blind" -> observerStalls.add(new TimeSpan(at - Long.parseLong(fact.word(1)), at));
                case "gone" -> gone.putIfAbsent(fact.word(1), fact.entry());
                case "reading" -> {
                    long link = Long.parseLong(fact.word(2));
                    if (fact.word(1).equals("off")) {
                        off.putIfAbsent(link, at);
                    } else if (off.containsKey(link)) {
                        addNotReading(link, off.remove(link), at);
                    }
                }
                default -> {}
            }
        }
        off.forEach((link, from) -> addNotReading(link, from, Long.MAX_VALUE));
    }

    private void addNotReading(long link, long from, long to) {
        notReading.computeIfAbsent(link, l -> new ArrayList<>()).add(new TimeSpan(from, to));
    }

    /** The entry of the first kill of a proxy at or after a time. */
    int firstKill(String proxy, long fromNs) {
        return first(kills.getOrDefault(proxy, List.of()), e -> trace.timeNs(e) >= fromNs);
    }

    /** The entry of the last SIGTERM of a proxy before a time, unless it was started again since. */
    int lastSigterm(String proxy, long beforeNs) {
        int out = Trace.NEVER;
        for (Trace.Fact fact : terms.getOrDefault(proxy, List.of())) {
            if (trace.timeNs(fact.entry()) < beforeNs) {
                out = fact.word(0).equals("term") ? fact.entry() : Trace.NEVER;
            }
        }
        return out;
    }

    private static int first(List<Trace.Fact> facts, IntPredicate which) {
        return facts.stream()
                .mapToInt(Trace.Fact::entry)
                .filter(which)
                .findFirst()
                .orElse(Trace.NEVER);
    }

    /** The entry in which the client closed its connection or abandoned this request. */
    int clientGone(ClientRequest request) {
        Integer reported = gone.get(request.command.id);
        if (reported == null) {
            reported = gone.get("O" + request.command.id);
        }
        return Math.min(
                reported == null || reported < request.sent ? Trace.NEVER : reported, request.connection.closed(0));
    }

    /** Extends a time limit, in ns, by the stalls of the proxy's event loop and of the observers. */
    long afterPauses(String proxy, long limitNs, long slackNs) {
        long limit = after(pauses.getOrDefault(proxy, List.of()), limitNs, slackNs);
        return after(observerStalls, limit, slackNs);
    }

    private static long after(List<TimeSpan> spans, long limitNs, long slackNs) {
        long limit = limitNs;
        for (TimeSpan span : spans) {
            if (span.fromNs <= limit) {
                limit = Math.max(limit, span.toNs + slackNs);
            }
        }
        return limit;
    }

    /** Extends a time limit, in ns, while the client did not read; {@link Long#MAX_VALUE} if it never read again. */
    long afterReading(long link, long limitNs, long slackNs) {
        long limit = limitNs;
        for (TimeSpan span : notReading.getOrDefault(link, List.of())) {
            if (span.fromNs <= limit) {
                limit = span.toNs == Long.MAX_VALUE ? Long.MAX_VALUE : Math.max(limit, span.toNs + slackNs);
            }
        }
        return limit;
    }
}
