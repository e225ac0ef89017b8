package cacheproxy.memcache;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The indexes of the request classes and tenants in the settings, by their names as they appear in a command line.
 *
 * @param classes index by class name
 * @param tenants index by tenant name; empty if the settings define no tenants
 */
public record RequestNames(Map<String, Integer> classes, Map<String, Integer> tenants) {
    /**
     * Converts a name from the settings to the form that it has in a decoded command line. Lines are decoded as one
     * character per byte, so names with non-ASCII characters differ.
     */
    public static String inCommandLine(String name) {
        return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Whether a command line can contain this name: commas separate request fields, white space separates tokens. */
    public static boolean fitsCommandLine(String name) {
        return !name.isEmpty() && name.chars().noneMatch(c -> c == ',' || c <= ' ');
    }
}
