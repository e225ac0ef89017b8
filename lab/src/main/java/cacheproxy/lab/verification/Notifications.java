package cacheproxy.lab.verification;

import java.util.HashMap;
import java.util.Map;

/**
 * When notifications of the discovery service arrived at proxies. Discovery reports them when it writes; if the record
 * has both sides of the connection, the bytes may be delayed or lost, and the proxy cannot know of them before.
 */
final class Notifications {
    private final Trace trace;
    private final long deadlineNs;
    private final Map<Integer, Long> arrivedNs = new HashMap<>();

    Notifications(Trace trace, RuleSettings rules) {
        this.trace = trace;
        deadlineNs = (long) (rules.notificationDeadlineMs * 1e6);
    }

    /**
     * The time in ns from which a notification counts, {@link RuleSettings#notificationDeadlineMs} after it at the
     * latest.
     */
    long arrivedNs(Trace.Fact notification) {
        return arrivedNs.computeIfAbsent(notification.entry(), event -> findArrival(notification));
    }

    private long findArrival(Trace.Fact notification) {
        long at = trace.timeNs(notification.entry());
        for (int i = notification.entry() + 1; i < trace.events.size(); i++) {
            RecordedEvent event = trace.events.get(i);
            if (event.atNs() != at || nextNotification(event, notification)) {
                break;
            }
            RecordedConnection connection = trace.connections.get(event.link());
            if (event.kind() == RecordedEvent.Kind.SENT
                    && connection != null
                    && bothEnds(connection, notification)
                    && event.who().equals(connection.hosts[1])) {
                return Math.min(
                        at + deadlineNs,
                        trace.timeNs(connection.streams[1].arrivedEntry(lastByte(connection.streams[1], i))));
            }
        }
        return hadConnection(notification) ? at + deadlineNs : at;
    }

    /** Whether an entry is the next notification of the same proxy: what is sent after it belongs to that one. */
    private static boolean nextNotification(RecordedEvent event, Trace.Fact notification) {
        return event.kind() == RecordedEvent.Kind.FACT
                && event.who().equals(notification.who())
                && event.note().startsWith("told " + notification.word(1) + " ");
    }

    /** Whether this is the proxy's connection to that discovery service, recorded on both sides. */
    private static boolean bothEnds(RecordedConnection connection, Trace.Fact notification) {
        return connection.recorded[0]
                && connection.recorded[1]
                && notification.word(1).equals(connection.hosts[0])
                && notification.who().equals(connection.hosts[1]);
    }

    /** The last byte of the endpoint list that begins in an entry; it may be written in parts or never completely. */
    private static int lastByte(RecordedStream stream, int entry) {
        byte[] bytes = stream.bytes();
        int at = stream.offsetOf(entry);
        while (at + 1 < bytes.length && !(bytes[at] == ']' && bytes[at + 1] == '}')) {
            at++;
        }
        return at + 1;
    }

    /**
     * Whether the proxy had a connection to be notified on, although nothing was written to it. Without one, the driver
     * reports the endpoint list that a proxy starts with, or the record has no such connections.
     */
    private boolean hadConnection(Trace.Fact notification) {
        int start = -1;
        for (Trace.Fact fact : trace.facts) {
            if (fact.entry() < notification.entry()
                    && fact.who().equals(notification.word(1))
                    && fact.word(0).equals("start")) {
                start = fact.entry();
            }
        }
        for (RecordedConnection connection : trace.connections.values()) {
            if (connection.opened > start
                    && connection.opened < notification.entry()
                    && bothEnds(connection, notification)) {
                return true;
            }
        }
        return false;
    }
}
