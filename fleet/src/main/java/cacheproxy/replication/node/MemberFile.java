package cacheproxy.replication.node;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.NumericAddress;
import cacheproxy.replication.InvalidFieldException;
import cacheproxy.replication.ReplicationSettings;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A member's configuration, {@code member.json} in its folder. It is validated completely before any file or socket is
 * opened.
 *
 * @param name unique among the members
 * @param listen where peers connect to, a loopback address
 * @param peers the addresses of all other members, by name
 * @param clockOffsetMs added to the wall clock, for tests with wrong clocks
 */
record MemberFile(
        String name,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> peers,
        ReplicationSettings settings,
        long clockOffsetMs) {
    static final String FILE = "member.json";

    private static final int MAX_FILE_BYTES = 1 << 20;
    private static final int MAX_PEERS = 4_000;
    private static final int MAX_NAME_LENGTH = 64;
    private static final Set<String> FIELDS = Set.of("name", "listen", "peers", "settings", "clockOffMs");

    /**
     * Reads the file in this folder.
     *
     * @throws InvalidInputException that names the field with an invalid value
     */
    static MemberFile read(Path folder) {
        Path file = folder.resolve(FILE);
        Map<String, Object> json = parse(file);
        for (String field : json.keySet()) {
            if (!FIELDS.contains(field)) {
                throw new InvalidInputException(file + ": " + field + ": is not one of " + FIELDS);
            }
        }
        String name = parseName("name", json.get("name"));
        Map<String, InetSocketAddress> peers = parsePeers(file, json.get("peers"));
        peers.remove(name);
        return new MemberFile(
                name,
                parseLoopback("listen", json.get("listen")),
                peers,
                parseSettings(json.get("settings")),
                parseInteger("clockOffMs", json.getOrDefault("clockOffMs", 0)));
    }

    private static Map<String, Object> parse(Path file) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidInputException(file + ": over " + MAX_FILE_BYTES + " bytes");
            }
            return JSON.std.mapFrom(Files.readString(file));
        } catch (IOException e) {
            throw new InvalidInputException(file + " cannot be read: " + e.getMessage());
        }
    }

    private static Map<String, InetSocketAddress> parsePeers(Path file, Object value) {
        if (!(value instanceof Map<?, ?> addresses) || addresses.size() > MAX_PEERS) {
            throw new InvalidInputException(file + ": peers: not an object of name and address, or over " + MAX_PEERS);
        }
        Map<String, InetSocketAddress> peers = new TreeMap<>();
        addresses.forEach(
                (peer, address) -> peers.put(parseName("peers", peer), parseLoopback("peers." + peer, address)));
        return peers;
    }

    private static String parseName(String field, Object value) {
        if (!(value instanceof String s)
                || s.isEmpty()
                || s.length() > MAX_NAME_LENGTH
                || !s.matches("[A-Za-z0-9_.-]+")) {
            throw new InvalidInputException(field + ": '" + value
                    + "' is not a name of letters, digits, '.', '_' and '-', length limit " + MAX_NAME_LENGTH);
        }
        return s;
    }

    /** Peers are not authenticated, so other machines are excluded. */
    private static InetSocketAddress parseLoopback(String field, Object value) {
        InetSocketAddress address = NumericAddress.parse(field, String.valueOf(value));
        if (!address.getAddress().isLoopbackAddress()) {
            throw new InvalidInputException(
                    field + ": " + value + " is not on this machine; members use loopback addresses only");
        }
        return address;
    }

    private static long parseInteger(String field, Object value) {
        if (!(value instanceof Number n) || n.doubleValue() != n.longValue()) {
            throw new InvalidInputException(field + ": " + value + " is not an integer");
        }
        return n.longValue();
    }

    private static ReplicationSettings parseSettings(Object value) {
        if (value == null) {
            return ReplicationSettings.DEFAULTS;
        }
        if (!(value instanceof Map<?, ?> given)) {
            throw new InvalidInputException("settings: not an object");
        }
        ReplicationSettings defaults = ReplicationSettings.DEFAULTS;
        Map<String, Long> byKey = new LinkedHashMap<>();
        byKey.put("tickMs", defaults.roundMs());
        byKey.put("bytesPerS", (long) defaults.gossipBytesPerS());
        byKey.put("copyBytesPerS", (long) defaults.transferBytesPerS());
        byKey.put("copies", (long) defaults.durableCopies());
        byKey.put("awayMs", defaults.silenceTimeoutMs());
        byKey.put("aloneMs", defaults.donorTimeoutMs());
        byKey.put("lateMs", defaults.maxMessageAgeMs());
        byKey.put("driftMs", defaults.maxClockDriftMs());
        given.forEach((key, setting) -> {
            if (byKey.replace(String.valueOf(key), parseInteger("settings." + key, setting)) == null) {
                throw new InvalidInputException("settings." + key + ": is not one of " + byKey.keySet());
            }
        });
        try {
            return new ReplicationSettings(
                    byKey.get("tickMs"),
                    toInt("bytesPerS", byKey),
                    toInt("copyBytesPerS", byKey),
                    toInt("copies", byKey),
                    byKey.get("awayMs"),
                    byKey.get("aloneMs"),
                    byKey.get("lateMs"),
                    byKey.get("driftMs"));
        } catch (InvalidFieldException e) {
            throw new InvalidInputException("settings." + e.getMessage());
        }
    }

    private static int toInt(String key, Map<String, Long> byKey) {
        long value = byKey.get(key);
        if (value != (int) value) {
            throw new InvalidFieldException(key, value + " does not fit 32 bits");
        }
        return (int) value;
    }
}
