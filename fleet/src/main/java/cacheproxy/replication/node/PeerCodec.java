package cacheproxy.replication.node;

import cacheproxy.replication.EndpointStatus;
import cacheproxy.replication.EntryKind;
import cacheproxy.replication.InvalidFieldException;
import cacheproxy.replication.MemberMetric;
import cacheproxy.replication.Message;
import cacheproxy.replication.OperatorCommand;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.ReplicatedEntry;
import cacheproxy.replication.ReplicatedValue;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes messages between members, and values in the command log, as CBOR. A message is a map with short keys:
 *
 * <pre>
 * v  version, 1                      f  name of the sender       l  its incarnation
 * b  whether it is catching up       n  its clock, ms            r  readings: {member: [incarnation, clock, held]}
 * k  type of the body                all other keys belong to the body
 * </pre>
 *
 * <p>A value is an array: {@code ["t", startedMs, state]}, {@code ["c", incarnation, sequence, amount]} or {@code ["o",
 * [[incarnation, sequence], ...], [[incarnation, sequence, timestampMs, action, operator, reason], ...]]}.
 *
 * <p>Newer versions may append fields to a status, a metric or a command; these are kept with it and encoded again in
 * their place. Entries of kinds, and values of types, that this version doesn't know are left out, since it can't merge
 * them. Other members send them again after an update of this one.
 */
final class PeerCodec {
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();
    private static final int VERSION = 1;
    private static final int BUCKETS = 256;
    private static final int MAX_ELEMENTS = 65_536;
    private static final int MAX_READINGS = 64;
    /** Fields that newer versions may have appended to those known here. */
    private static final int MAX_UNKNOWN_FIELDS = 16;

    private static final String STATUS = "t";
    private static final int STATUS_FIELDS = 3;
    private static final String METRIC = "c";
    private static final int METRIC_FIELDS = 4;
    private static final String COMMANDS = "o";
    private static final int COMMAND_FIELDS = 6;

    private PeerCodec() {}

    // ---- encoding ----

    static byte[] encodeMessage(Message message) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("v", VERSION);
        map.put("f", message.from());
        map.put("l", message.incarnation());
        map.put("b", message.catchingUp());
        map.put("n", message.nowMs());
        Map<String, Object> readings = new LinkedHashMap<>();
        message.readings().forEach((name, r) -> readings.put(name, List.of(r.incarnation(), r.clockMs(), r.heldMs())));
        map.put("r", readings);
        putBody(message.body(), map);
        return encode(map);
    }

    private static void putBody(Message.Body body, Map<String, Object> map) {
        if (body instanceof Message.Update update) {
            map.put("k", "news");
            map.put("i", encodeEntries(update.entries()));
            map.put("c", update.confirm());
        } else if (body instanceof Message.DigestSummary summary) {
            map.put("k", "sum");
            map.put("d", summary.digest());
        } else if (body instanceof Message.BucketDigests buckets) {
            map.put("k", "buckets");
            List<Long> digests = new ArrayList<>();
            for (long digest : buckets.digests()) {
                digests.add(digest);
            }
            map.put("d", digests);
        } else if (body instanceof Message.KeyDigests keys) {
            map.put("k", "keys");
            map.put("b2", keys.buckets());
            List<Long> pairs = new ArrayList<>();
            keys.digests().forEach((keyHash, digest) -> {
                pairs.add(keyHash);
                pairs.add(digest);
            });
            map.put("d", pairs);
        } else if (body instanceof Message.EntryRequest request) {
            map.put("k", "want");
            map.put("d", request.keyHashes());
        } else if (body instanceof Message.DurableAck ack) {
            map.put("k", "stored");
            map.put("key", ack.key());
            map.put("d", List.of(ack.incarnation(), ack.sequence()));
        } else if (body instanceof Message.TransferRequest request) {
            map.put("k", "ask");
            map.put("d", request.afterHash());
            map.put("c", request.first());
        } else if (body instanceof Message.TransferPage page) {
            map.put("k", "page");
            map.put("i", encodeEntries(page.entries()));
            map.put("d", page.nextHash());
            map.put("c", page.last());
            map.put("y", page.busy());
        }
    }

    private static List<Object> encodeEntries(List<ReplicatedEntry> entries) {
        List<Object> encoded = new ArrayList<>();
        for (ReplicatedEntry entry : entries) {
            encoded.add(List.of(entry.key(), entry.ageMs(), encodeValue(entry.value())));
        }
        return encoded;
    }

    static List<Object> encodeValue(ReplicatedValue value) {
        if (value instanceof EndpointStatus status) {
            return withUnknownFields(
                    status.unknownFields(),
                    STATUS,
                    status.startedMs(),
                    status.state().name());
        }
        if (value instanceof MemberMetric metric) {
            return withUnknownFields(
                    metric.unknownFields(), METRIC, metric.incarnation(), metric.sequence(), metric.amount());
        }
        OperatorCommands commands = (OperatorCommands) value;
        List<Object> versions = new ArrayList<>();
        commands.versionVector().forEach((incarnation, sequence) -> versions.add(List.of(incarnation, sequence)));
        List<Object> active = new ArrayList<>();
        for (OperatorCommand c : commands.active()) {
            active.add(withUnknownFields(
                    c.unknownFields(),
                    c.incarnation(),
                    c.sequence(),
                    c.timestampMs(),
                    c.action(),
                    c.operator(),
                    c.reason()));
        }
        return List.of(COMMANDS, versions, active);
    }

    private static List<Object> withUnknownFields(String unknownFields, Object... known) {
        List<Object> all = new ArrayList<>(List.of(known));
        if (!unknownFields.isEmpty()) {
            try {
                all.addAll((List<?>) CBOR.anyFrom(unknownFields.getBytes(StandardCharsets.ISO_8859_1)));
            } catch (IOException e) {
                throw new IllegalArgumentException("unknown fields are not CBOR: " + e.getMessage(), e);
            }
        }
        return all;
    }

    /** Encodes maps, lists, strings and numbers. */
    static byte[] encode(Object o) {
        try {
            return CBOR.asBytes(o);
        } catch (IOException e) {
            throw new IllegalArgumentException("not encodable as CBOR: " + e.getMessage(), e);
        }
    }

    // ---- decoding ----

    /**
     * Decodes a message.
     *
     * @throws InvalidFieldException that names the key with an invalid value
     */
    static Message decodeMessage(byte[] bytes) {
        Map<String, Object> map;
        try {
            map = CBOR.mapFrom(bytes);
        } catch (IOException | ClassCastException | IllegalArgumentException e) {
            throw new InvalidFieldException("message", "not a CBOR map: " + e.getMessage());
        }
        if (map == null || integer(map, "v") != VERSION) {
            throw new InvalidFieldException("v", (map == null ? "missing" : map.get("v")) + " is not " + VERSION);
        }
        return new Message(
                text("f", map.get("f")),
                integer(map, "l"),
                bool(map, "b"),
                integer(map, "n"),
                decodeReadings(map.get("r")),
                decodeBody(map));
    }

    private static Map<String, Message.ClockReading> decodeReadings(Object encoded) {
        if (!(encoded instanceof Map<?, ?> byName) || byName.size() > MAX_READINGS) {
            throw new InvalidFieldException("r", encoded + " is not a map of up to " + MAX_READINGS + " readings");
        }
        Map<String, Message.ClockReading> readings = new LinkedHashMap<>();
        byName.forEach((name, reading) -> {
            long[] r = integers("r", list("r", reading, 3, 3));
            readings.put(String.valueOf(name), new Message.ClockReading(r[0], r[1], r[2]));
        });
        return readings;
    }

    private static Message.Body decodeBody(Map<String, Object> map) {
        String type = text("k", map.get("k"));
        return switch (type) {
            case "news" -> new Message.Update(decodeEntries(map.get("i")), bool(map, "c"));
            case "sum" -> new Message.DigestSummary(integer(map, "d"));
            case "buckets" -> new Message.BucketDigests(integers("d", list("d", map.get("d"), BUCKETS, BUCKETS)));
            case "keys" -> decodeKeyDigests(map);
            case "want" -> new Message.EntryRequest(decodeKeyHashes(map.get("d")));
            case "stored" -> {
                long[] id = integers("d", list("d", map.get("d"), 2, 2));
                yield new Message.DurableAck(text("key", map.get("key")), id[0], id[1]);
            }
            case "ask" -> new Message.TransferRequest(integer(map, "d"), bool(map, "c"));
            case "page" ->
                new Message.TransferPage(
                        decodeEntries(map.get("i")), integer(map, "d"), bool(map, "c"), bool(map, "y"));
            default -> throw new InvalidFieldException("k", type + " is not a known message type");
        };
    }

    private static Message.KeyDigests decodeKeyDigests(Map<String, Object> map) {
        List<Integer> buckets = new ArrayList<>();
        for (long bucket : integers("b2", list("b2", map.get("b2"), 0, BUCKETS))) {
            if (bucket < 0 || bucket >= BUCKETS) {
                throw new InvalidFieldException("b2", bucket + " is not from 0 to " + (BUCKETS - 1));
            }
            buckets.add((int) bucket);
        }
        long[] pairs = integers("d", list("d", map.get("d"), 0, 2 * MAX_ELEMENTS));
        Map<Long, Long> digests = new LinkedHashMap<>();
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            digests.put(pairs[i], pairs[i + 1]);
        }
        return new Message.KeyDigests(buckets, digests);
    }

    private static List<Long> decodeKeyHashes(Object encoded) {
        List<Long> keyHashes = new ArrayList<>();
        for (long keyHash : integers("d", list("d", encoded, 0, MAX_ELEMENTS))) {
            keyHashes.add(keyHash);
        }
        return keyHashes;
    }

    private static List<ReplicatedEntry> decodeEntries(Object encoded) {
        List<ReplicatedEntry> entries = new ArrayList<>();
        for (Object element : list("i", encoded, 0, MAX_ELEMENTS)) {
            List<?> parts = list("i", element, 3, 3);
            String key = text("i", parts.get(0));
            long ageMs = integer("i", parts.get(1));
            if (ageMs < 0) {
                throw new InvalidFieldException("i", "an age of " + ageMs + " ms");
            }
            ReplicatedValue value = EntryKind.ofKey(key) == null ? null : decodeValue(parts.get(2));
            if (value != null) {
                entries.add(new ReplicatedEntry(key, value, ageMs));
            }
        }
        return entries;
    }

    /**
     * Decodes a value; null if this version doesn't know its type or state.
     *
     * @throws InvalidFieldException if it is malformed
     */
    static ReplicatedValue decodeValue(Object encoded) {
        List<?> fields = list("value", encoded, 3, METRIC_FIELDS + MAX_UNKNOWN_FIELDS);
        return switch (text("value", fields.get(0))) {
            case STATUS -> decodeStatus(fields);
            case METRIC -> decodeMetric(fields);
            case COMMANDS -> decodeCommands(fields);
            default -> null;
        };
    }

    private static EndpointStatus decodeStatus(List<?> fields) {
        String name = text("value", fields.get(2));
        for (EndpointStatus.State state : EndpointStatus.State.values()) {
            if (state.name().equals(name)) {
                return new EndpointStatus(integer("value", fields.get(1)), state, unknownFields(fields, STATUS_FIELDS));
            }
        }
        return null;
    }

    private static MemberMetric decodeMetric(List<?> fields) {
        if (fields.size() < METRIC_FIELDS || !(fields.get(3) instanceof Number amount)) {
            throw new InvalidFieldException("value", "a metric without an amount");
        }
        return new MemberMetric(
                integer("value", fields.get(1)),
                integer("value", fields.get(2)),
                amount.doubleValue(),
                unknownFields(fields, METRIC_FIELDS));
    }

    private static OperatorCommands decodeCommands(List<?> fields) {
        Map<Long, Long> versions = new LinkedHashMap<>();
        for (Object version : list("heard", fields.get(1), 0, MAX_ELEMENTS)) {
            long[] v = integers("heard", list("heard", version, 2, 2));
            versions.put(v[0], v[1]);
        }
        List<OperatorCommand> active = new ArrayList<>();
        for (Object command : list("standing", fields.get(2), 0, MAX_ELEMENTS)) {
            active.add(decodeCommand(list("standing", command, COMMAND_FIELDS, COMMAND_FIELDS + MAX_UNKNOWN_FIELDS)));
        }
        return OperatorCommands.of(versions, active);
    }

    private static OperatorCommand decodeCommand(List<?> fields) {
        return new OperatorCommand(
                integer("life", fields.get(0)),
                integer("number", fields.get(1)),
                integer("stamp", fields.get(2)),
                text("verb", fields.get(3)),
                text("who", fields.get(4)),
                text("why", fields.get(5)),
                unknownFields(fields, COMMAND_FIELDS));
    }

    /** The fields after the known ones, as encoded by this codec: the same bytes on every machine. */
    private static String unknownFields(List<?> fields, int known) {
        return fields.size() == known
                ? ""
                : new String(
                        encode(new ArrayList<>(fields.subList(known, fields.size()))), StandardCharsets.ISO_8859_1);
    }

    /**
     * Decodes a record of the command log: a key and a value.
     *
     * @throws InvalidFieldException if it is malformed
     */
    static Map.Entry<String, OperatorCommands> decodeRecord(byte[] bytes) {
        Object decoded;
        try {
            decoded = CBOR.anyFrom(bytes);
        } catch (IOException | ClassCastException | IllegalArgumentException e) {
            throw new InvalidFieldException("record", "not CBOR: " + e.getMessage());
        }
        List<?> parts = list("record", decoded, 2, 2);
        if (!(decodeValue(parts.get(1)) instanceof OperatorCommands commands)) {
            throw new InvalidFieldException("record", "its value is not of type operator commands");
        }
        return Map.entry(text("record", parts.get(0)), commands);
    }

    private static List<?> list(String field, Object value, int minSize, int maxSize) {
        if (!(value instanceof List<?> list) || list.size() < minSize || list.size() > maxSize) {
            throw new InvalidFieldException(field, "not a list of " + minSize + " to " + maxSize);
        }
        return list;
    }

    private static long[] integers(String field, List<?> list) {
        return list.stream().mapToLong(n -> integer(field, n)).toArray();
    }

    private static long integer(Map<String, Object> map, String field) {
        return integer(field, map.get(field));
    }

    private static long integer(String field, Object value) {
        if (!(value instanceof Number n) || n instanceof Double || n instanceof Float) {
            throw new InvalidFieldException(field, value + " is not an integer");
        }
        return n.longValue();
    }

    private static String text(String field, Object value) {
        if (!(value instanceof String s)) {
            throw new InvalidFieldException(field, value + " is not a string");
        }
        return s;
    }

    private static boolean bool(Map<String, Object> map, String field) {
        if (!(map.get(field) instanceof Boolean b)) {
            throw new InvalidFieldException(field, map.get(field) + " is not true or false");
        }
        return b;
    }
}
