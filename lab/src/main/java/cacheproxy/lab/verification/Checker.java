package cacheproxy.lab.verification;

import java.util.List;

/**
 * Checks the four rules against the record of a run alone: the bytes on all connections with their times, and the facts
 * that stand-ins and the driver report. It parses the bytes itself and shares no code with the proxy. A record of both
 * sides of each connection (simulated time) is judged by when bytes were sent and arrived; one of the stand-ins' sides
 * only (real sockets) by what these observed.
 *
 * <p>A client reports {@code reading off LINK} and {@code reading on LINK}: responses on that link wait in between.
 */
public final class Checker {
    private Checker() {}

    /** Checks a record, which must be in order of time. */
    public static Findings check(List<RecordedEvent> record, RuleSettings rules) {
        Findings out = new Findings(record);
        Trace trace = new Trace(record, rules);
        ProcessLifetimes lifetimes = new ProcessLifetimes(trace);
        RequestHistory history = new RequestHistory(trace, rules);
        AnswerRule answerRule = new AnswerRule(history, lifetimes, out);
        answerRule.match();
        history.assignAttempts();
        answerRule.judge();
        new EffectRule(history, lifetimes, out).judge();
        Notifications notifications = new Notifications(trace, rules);
        new DrainRule(history, notifications, out).judge();
        new RecoveryRule(history, notifications, out).judge();
        return out;
    }

    /** Checks a record and returns the violations only. */
    public static List<Violation> violations(List<RecordedEvent> record, RuleSettings rules) {
        return check(record, rules).violations();
    }
}
