package cacheproxy.lab.verification;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The record indexed by connection and by reporter of a fact. An entry is identified by its index in the record, which
 * also orders entries of the same time.
 */
final class Trace {
    /** No entry; compares as later than all others. */
    static final int NEVER = Integer.MAX_VALUE;

    /** A reported fact, split into words. */
    record Fact(int entry, String who, String[] words) {
        String word(int i) {
            return i < words.length ? words[i] : "";
        }

        /** The value of a word of the form {@code name=value}; null if there is none. */
        String field(String name) {
            for (String word : words) {
                if (word.startsWith(name) && word.length() > name.length() && word.charAt(name.length()) == '=') {
                    return word.substring(name.length() + 1);
                }
            }
            return null;
        }
    }

    final List<RecordedEvent> events;
    final Map<Long, RecordedConnection> connections = new LinkedHashMap<>();
    final List<Fact> facts = new ArrayList<>();
    final Set<String> proxies = new LinkedHashSet<>();
    final Set<String> discoveries = new LinkedHashSet<>();
    private final Set<String> nodes = new LinkedHashSet<>();
    final long endNs;

    Trace(List<RecordedEvent> events, RuleSettings rules) {
        this.events = events;
        proxies.addAll(rules.proxies.values());
        for (int i = 0; i < events.size(); i++) {
            if (events.get(i).kind() == RecordedEvent.Kind.FACT) {
                fact(new Fact(
                        i, events.get(i).who(), events.get(i).note().trim().split(" +")));
            }
        }
        for (int i = 0; i < events.size(); i++) {
            RecordedEvent event = events.get(i);
            if (event.kind() != RecordedEvent.Kind.FACT && event.kind() != RecordedEvent.Kind.REFUSED) {
                boolean accepts = nodes.contains(event.who()) || discoveries.contains(event.who());
                connections
                        .computeIfAbsent(event.link(), RecordedConnection::new)
                        .add(event, i, accepts);
            }
        }
        connections.values().forEach(RecordedConnection::finish);
        endNs = events.isEmpty() ? 0 : events.get(events.size() - 1).atNs();
    }

    private void fact(Fact fact) {
        facts.add(fact);
        switch (fact.word(0)) {
            case "start" -> (fact.field("cold") != null ? nodes : proxies).add(fact.who());
            case "begin", "ran", "dropped", "fell" -> nodes.add(fact.who());
            case "told", "due" -> discoveries.add(fact.who());
            default -> {}
        }
    }

    long timeNs(int entry) {
        return entry == NEVER ? Long.MAX_VALUE : events.get(entry).atNs();
    }

    /** Whether a client dialled a proxy; a proxy's connection to itself belongs to nobody. */
    boolean isClientConnection(RecordedConnection connection) {
        return !proxies.contains(connection.hosts[0])
                && (connection.hosts[1] == null ? connection.hosts[0] != null : proxies.contains(connection.hosts[1]));
    }

    /** Whether a proxy dialled a node. */
    boolean isNodeConnection(RecordedConnection connection) {
        return connection.hosts[1] != null
                && !proxies.contains(connection.hosts[1])
                && !isDiscoveryConnection(connection);
    }

    /** Whether a proxy dialled the discovery service. */
    boolean isDiscoveryConnection(RecordedConnection connection) {
        return connection.hosts[1] != null && discoveries.contains(connection.hosts[1]);
    }
}
