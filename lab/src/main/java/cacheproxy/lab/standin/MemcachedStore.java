package cacheproxy.lab.standin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Responses of memcached 1.6 to meta commands. */
final class MemcachedStore {
    private final int most;
    private final Map<String, byte[]> kept = new LinkedHashMap<>(16, 0.75f, true);

    MemcachedStore(int most) {
        this.most = most;
    }

    void clear() {
        kept.clear();
    }

    String answer(NodeCommand c) {
        if (c.bad != null) {
            return "CLIENT_ERROR " + c.bad + "\r\n";
        }
        return switch (c.verb) {
            case "mn" -> "MN\r\n";
            case "mg" -> read(c);
            case "ms" -> write(c);
            default -> "ERROR\r\n";
        };
    }

    private String read(NodeCommand c) {
        byte[] value = kept.get(c.key);
        if (value == null) {
            return "EN\r\n";
        }
        String flags = flags(c, value);
        if (flags == null) {
            return "CLIENT_ERROR invalid flag\r\n";
        }
        return c.flags.contains("v")
                ? "VA " + value.length + flags + "\r\n" + new String(value, StandardCharsets.ISO_8859_1) + "\r\n"
                : "HD" + flags + "\r\n";
    }

    private String write(NodeCommand c) {
        String flags = flags(c, c.value);
        if (flags == null) {
            return "CLIENT_ERROR invalid flag\r\n";
        }
        String mode = "S";
        for (String flag : c.flags) {
            mode = flag.startsWith("M") ? flag.substring(1) : mode;
        }
        boolean had = kept.containsKey(c.key);
        switch (mode.isEmpty() ? ' ' : Character.toUpperCase(mode.charAt(0))) {
            case 'S' -> put(c.key, c.value);
            case 'E' -> {
                if (had) {
                    return "NS" + flags + "\r\n";
                }
                put(c.key, c.value);
            }
            case 'R' -> {
                if (!had) {
                    return "NS" + flags + "\r\n";
                }
                put(c.key, c.value);
            }
            default -> {
                return "CLIENT_ERROR invalid mode for ms\r\n";
            }
        }
        return "HD" + flags + "\r\n";
    }

    private void put(String key, byte[] value) {
        kept.put(key, value);
        if (kept.size() > most) {
            kept.remove(kept.keySet().iterator().next());
        }
    }

    /** The returned flags in the order of the request; null if one is unknown. */
    private String flags(NodeCommand c, byte[] value) {
        StringBuilder out = new StringBuilder();
        for (String flag : c.flags) {
            switch (flag.charAt(0)) {
                case 'O' -> out.append(' ').append(flag);
                case 'k' -> out.append(" k").append(c.key);
                case 's' -> out.append(" s").append(value.length);
                case 't' -> out.append(" t-1");
                case 'f' -> out.append(" f0");
                case 'h' -> out.append(" h1");
                case 'v', 'P', 'L', 'T', 'M', 'F', 'I', 'b', 'q' -> {} // not returned
                default -> {
                    return null;
                }
            }
        }
        return out.toString();
    }
}
