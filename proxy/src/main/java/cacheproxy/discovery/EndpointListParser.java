package cacheproxy.discovery;

import cacheproxy.common.InvalidInputException;
import cacheproxy.configuration.FieldReader;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.EndpointState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * Converts an endpoint list from parsed JSON, which has the fields {@code {"version", "full", "servers": [{"id",
 * "state", "addr", "zone", "kind", "cell", "weight", "started_ms"}]}}. A malformed field is reported by name, and the
 * whole list is rejected even if only one entry is malformed.
 */
final class EndpointListParser {
    /** Limits the weight of an endpoint: one that is wrongly high would leave the other endpoints without traffic. */
    private static final double MAX_WEIGHT = 1000;
    /** Numbers from here on are rejected: no field needs them, and larger integers are not exact as a double. */
    private static final double NUMBER_LIMIT = 1e15;

    private final ProxyConfiguration config;
    private final LongUnaryOperator unixMsToClockUs;

    /** {@code unixMsToClockUs}: converts Unix milliseconds to microseconds on the event loop's clock. */
    EndpointListParser(ProxyConfiguration config, LongUnaryOperator unixMsToClockUs) {
        this.config = config;
        this.unixMsToClockUs = unixMsToClockUs;
    }

    /** The version of a parsed list; throws {@link InvalidInputException} if it has none. */
    static long version(Map<String, Object> list) {
        if (list.get("version") instanceof Number number) {
            return number.longValue();
        }
        throw new InvalidInputException("version is missing from the list");
    }

    /** The entries of a parsed list, without numbers; throws {@link InvalidInputException} for a malformed entry. */
    List<ListedEndpoint> entries(Map<String, Object> list) {
        if (!(list.get("servers") instanceof List<?> servers)) {
            throw new InvalidInputException("servers is missing from the list");
        }
        List<ListedEndpoint> entries = new ArrayList<>(servers.size());
        for (Object server : servers) {
            if (!(server instanceof Map<?, ?>)) {
                throw new InvalidInputException("a list entry is not a JSON object");
            }
            @SuppressWarnings("unchecked") // the parser creates only maps of this type
            Map<String, Object> fields = (Map<String, Object>) server;
            entries.add(entry(fields));
        }
        return entries;
    }

    private ListedEndpoint entry(Map<String, Object> fields) {
        String entryDescription = "a list entry";
        String id = FieldReader.requireString(fields, "id", entryDescription);
        EndpointInfo info = new EndpointInfo();
        info.state = switch (FieldReader.requireString(fields, "state", entryDescription)) {
            case "SERVING" -> EndpointState.READY;
            case "DRAINING" -> EndpointState.DRAINING;
            case "DELETED" -> EndpointState.GONE;
            default -> throw new InvalidInputException("a list entry has an unknown state");
        };
        info.zone = config.zones.indexOf(fields.get("zone"));
        info.kind = config.kinds.indexOf(fields.get("kind"));
        info.cell = (int) numberOrDefault(fields, "cell", 0);
        info.weight = Math.min(MAX_WEIGHT, numberOrDefault(fields, "weight", 1));
        double startedUnixMs = numberOrDefault(fields, "started_ms", 0);
        info.startedUs = startedUnixMs > 0 ? unixMsToClockUs.applyAsLong((long) startedUnixMs) : Long.MIN_VALUE;
        InetSocketAddress address = info.state == EndpointState.GONE && !(fields.get("addr") instanceof String)
                ? null
                : FieldReader.address(
                        FieldReader.requireString(fields, "addr", entryDescription), "addr in a list entry");
        return new ListedEndpoint(info, id, address);
    }

    private static double numberOrDefault(Map<String, Object> fields, String key, double defaultValue) {
        Object value = fields.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() >= 0 && number.doubleValue() < NUMBER_LIMIT) {
            return number.doubleValue();
        }
        throw new InvalidInputException(key + " in a list entry is not a number of at least 0 and less than 1e15");
    }
}
