package cacheproxy.replication;

import cacheproxy.replication.Message.ClockReading;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Bounds the age of messages without comparing two clocks. Every member forwards the readings of others' clocks that it
 * has received, with the time it has held them, so that each message returns a reading of the receiver's own clock. The
 * time since that reading is the longest that the message can have been in transit. Relayed readings make this work
 * where messages from the sender arrive but those to it do not. Without the bound, a message that a faulty link delayed
 * for longer than removals are remembered would bring removed entries back.
 */
final class ClockReadings {
    /** Readings in a message: the receiver's and some others. */
    private static final int READINGS_PER_MESSAGE = 5;

    private static final int MAX_MEMBERS = 4_096;

    private record Received(long incarnation, long clockMs, long heldMs, long receivedMs) {}

    private final String member;
    private final long incarnation;
    private final Map<String, Received> received = new HashMap<>();
    private final List<String> names = new ArrayList<>();

    ClockReadings(String member, long incarnation) {
        this.member = member;
        this.incarnation = incarnation;
    }

    /** The longest time that the message can have been in transit; Long.MAX_VALUE if it returns no reading. */
    long maxAgeMs(Message message, long nowMs) {
        ClockReading own = message.readings().get(member);
        if (own == null || own.incarnation() != incarnation || own.clockMs() > nowMs) {
            return Long.MAX_VALUE;
        }
        return Math.max(0, nowMs - own.clockMs() - own.heldMs());
    }

    /** Remembers the readings in a message, that of its sender included. */
    void receive(Message message, long nowMs) {
        keep(message.from(), new Received(message.incarnation(), message.nowMs(), 0, nowMs));
        message.readings().forEach((name, r) -> {
            if (!name.equals(member) && !name.equals(message.from())) {
                keep(name, new Received(r.incarnation(), r.clockMs(), r.heldMs(), nowMs));
            }
        });
    }

    private void keep(String name, Received reading) {
        Received before = received.get(name);
        if (before == null) {
            if (names.size() >= MAX_MEMBERS) {
                return;
            }
            names.add(name);
        } else if (!newer(reading, before)) {
            return;
        }
        received.put(name, reading);
    }

    /** An older reading, perhaps of an incarnation that has ended, must not replace that of the current one. */
    private static boolean newer(Received reading, Received before) {
        return before.incarnation == reading.incarnation
                ? before.clockMs < reading.clockMs
                : reading.heldMs < before.heldMs + reading.receivedMs - before.receivedMs;
    }

    /** The readings to send to this peer: its own, and others drawn at random. */
    Map<String, ClockReading> forPeer(String peer, long nowMs, SplittableRandom random) {
        Map<String, ClockReading> readings = new LinkedHashMap<>();
        put(readings, peer, nowMs);
        for (int i = 1; i < READINGS_PER_MESSAGE && !names.isEmpty(); i++) {
            put(readings, names.get(random.nextInt(names.size())), nowMs);
        }
        return readings;
    }

    private void put(Map<String, ClockReading> readings, String name, long nowMs) {
        Received r = received.get(name);
        if (r != null) {
            readings.put(name, new ClockReading(r.incarnation, r.clockMs, r.heldMs + nowMs - r.receivedMs));
        }
    }
}
