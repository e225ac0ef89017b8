package cacheproxy.configuration;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.Fingerprint;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.SettingsText;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The configuration of one proxy, validated and immutable: the environment variables {@code LB_*} and the JSON document
 * that {@code LB_CONFIG} names. The factory methods throw {@link InvalidInputException} if a field is missing or
 * malformed. Reading the file blocks and must not be done on the event loop.
 */
public final class ProxyConfiguration {
    /** The environment variable with the path of the control socket; if it is unset there is no control channel. */
    public static final String CONTROL_SOCKET_VARIABLE = "LB_CONTROL";

    private static final String FILE_VARIABLE = "LB_CONFIG";
    private static final String IN_CONFIGURATION = " in the configuration";
    private static final String CONFIGURATION = "the configuration";
    private static final String SETTINGS_PREFIX = "settings.";
    /** Limits the length of the log line that names the differences. */
    private static final int MAX_NAMED_DIFFERENCES = 20;

    private static final long DEFAULT_CONNECT_TIMEOUT_US = 1_000_000;
    /** Enough for the proxy's own files and a few connections. */
    private static final int MIN_SOCKETS = 128;

    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    public final long seed;
    /** The maximum number of file descriptors of the process. */
    public final int maxFileDescriptors;
    /**
     * The maximum number of connections to one endpoint, above which requests share them; 0 means the endpoint's share
     * of the file descriptors for endpoints.
     */
    public final int maxConnectionsPerEndpoint;

    public final RoutingSettings settings;
    public final List<?> zones;
    public final List<?> kinds;
    /** The last known endpoint list, in the format of discovery. */
    public final Map<String, Object> lastKnownList;

    /** See {@link #digest(Map, String)}. */
    private final String digest;
    /** The values of the fields that take effect only after a restart, by path. */
    private final Map<String, String> restartOnlyFields = new TreeMap<>();

    private ProxyConfiguration(Map<String, String> environment, String text, String source, boolean reloaded) {
        Map<String, Object> document = FieldReader.requireObject(text, source);
        digest = digest(environment, text);
        name = FieldReader.variable(environment, "LB_NAME");
        listen = FieldReader.address(FieldReader.variable(environment, "LB_LISTEN"), "LB_LISTEN");
        discovery = reloaded && document.containsKey("discovery")
                ? FieldReader.address(
                        FieldReader.requireString(document, "discovery", CONFIGURATION), "discovery" + IN_CONFIGURATION)
                : FieldReader.address(FieldReader.variable(environment, "LB_DISCOVERY"), "LB_DISCOVERY");
        seed = FieldReader.hexadecimal(
                FieldReader.requireString(document, "seed", CONFIGURATION), "seed" + IN_CONFIGURATION);
        Map<String, Object> limits = FieldReader.requireObject(document, "limits", CONFIGURATION);
        maxFileDescriptors = FieldReader.requireInteger(limits, "sockets", MIN_SOCKETS, "limits.sockets");
        maxConnectionsPerEndpoint = limits.containsKey("node_connections")
                ? FieldReader.requireInteger(limits, "node_connections", 0, "limits.node_connections")
                : 0;
        lastKnownList = FieldReader.requireObject(document, "known", CONFIGURATION);
        Map<String, Object> settingsObject = FieldReader.requireObject(document, "settings", CONFIGURATION);
        Map<String, String> settingsByPath = new HashMap<>();
        flatten("", settingsObject, settingsByPath);
        settings = checkedSettings(settingsByPath);
        zones = FieldReader.listOrEmpty(settingsObject, "localities");
        kinds = FieldReader.listOrEmpty(settingsObject, "kinds");
        settingsByPath.forEach((path, value) -> restartOnlyFields.put(SETTINGS_PREFIX + path, value));
        restartOnlyFields.put("seed", Long.toHexString(seed));
        restartOnlyFields.put("limits.sockets", Integer.toString(maxFileDescriptors));
        restartOnlyFields.put("limits.node_connections", Integer.toString(maxConnectionsPerEndpoint));
    }

    private static RoutingSettings checkedSettings(Map<String, String> settingsByPath) {
        RoutingSettings settings = new SettingsText(settingsByPath).settings();
        if (settings.connectTimeoutUs == 0) {
            settings.connectTimeoutUs = DEFAULT_CONNECT_TIMEOUT_US; // the router's decisions depend on it
        }
        try {
            settings.check();
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("settings in the configuration: " + e.getMessage());
        }
        return settings;
    }

    /** See {@link #forWarmUp}. */
    private ProxyConfiguration(ProxyConfiguration other) {
        name = other.name;
        listen = other.listen;
        discovery = other.discovery;
        seed = other.seed;
        maxFileDescriptors = other.maxFileDescriptors;
        maxConnectionsPerEndpoint = other.maxConnectionsPerEndpoint;
        zones = other.zones;
        kinds = other.kinds;
        lastKnownList = Map.of("version", 0, "full", true, "servers", List.of());
        digest = null;
        Map<String, String> settingsByPath = new HashMap<>();
        other.restartOnlyFields.forEach((path, value) -> {
            if (path.startsWith(SETTINGS_PREFIX)) {
                settingsByPath.put(path.substring(SETTINGS_PREFIX.length()), value);
            }
        });
        settings = new SettingsText(settingsByPath).settings();
        settings.connectTimeoutUs = other.settings.connectTimeoutUs;
        settings.subscribeRequired = false;
    }

    /** A copy with the same settings and no endpoints, for the JIT warm-up, which must not reach a real endpoint. */
    public ProxyConfiguration forWarmUp() {
        return new ProxyConfiguration(this);
    }

    /** Reads the configuration from the file that {@code LB_CONFIG} names; blocks. */
    public static ProxyConfiguration load(Map<String, String> environment) {
        return new ProxyConfiguration(environment, readFile(environment), source(environment), false);
    }

    /** Reads the configuration from a text instead of a file. */
    public static ProxyConfiguration parse(Map<String, String> environment, String document) {
        return new ProxyConfiguration(environment, document, "the text", false);
    }

    /**
     * Reads a new configuration for a running proxy from a text instead of a file: the field {@code discovery}, if
     * present, replaces {@code LB_DISCOVERY}.
     */
    public static ProxyConfiguration parseReload(Map<String, String> environment, String document) {
        return new ProxyConfiguration(environment, document, "the text", true);
    }

    /** Like {@link #parseReload}, with the text of the file that {@code LB_CONFIG} names. */
    public static ProxyConfiguration reload(Map<String, String> environment, String text) {
        return new ProxyConfiguration(environment, text, source(environment), true);
    }

    /** The paths of fields that differ and take effect only after a restart, sorted; at most the first 20. */
    public List<String> differences(ProxyConfiguration other) {
        Set<String> paths = new TreeSet<>(restartOnlyFields.keySet());
        paths.addAll(other.restartOnlyFields.keySet());
        paths.removeIf(path -> Objects.equals(restartOnlyFields.get(path), other.restartOnlyFields.get(path)));
        return paths.stream().limit(MAX_NAMED_DIFFERENCES).toList();
    }

    /** The first 16 hexadecimal digits of the text's SHA-256; null without a control channel, its only user. */
    public static String digest(Map<String, String> environment, String text) {
        return hasControlChannel(environment) ? Fingerprint.of(text) : null;
    }

    /**
     * Whether a control channel is configured; checked here, so that its classes are not loaded where there is none.
     */
    public static boolean hasControlChannel(Map<String, String> environment) {
        String path = environment.get(CONTROL_SOCKET_VARIABLE);
        return path != null && !path.isBlank();
    }

    /** The digest of the text that this configuration was read from; see {@link #digest(Map, String)}. */
    public String digest() {
        return digest;
    }

    private static String source(Map<String, String> environment) {
        return FieldReader.variable(environment, FILE_VARIABLE) + " (LB_CONFIG)";
    }

    /** Reads the text of the file that {@code LB_CONFIG} names; blocks. */
    public static String readFile(Map<String, String> environment) {
        String path = FieldReader.variable(environment, FILE_VARIABLE);
        try {
            return Files.readString(Path.of(path));
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidInputException("the configuration " + path + " (LB_CONFIG) cannot be read: "
                    + e.getClass().getSimpleName());
        }
    }

    /** Flattens nested settings to the paths and values of the simulator's protocol, so that one reader parses both. */
    private static void flatten(String path, Object value, Map<String, String> valuesByPath) {
        if (value instanceof Map<?, ?> map) {
            String prefix = path.isEmpty() ? "" : path + ".";
            map.forEach((key, nested) -> flatten(prefix + key, nested, valuesByPath));
        } else if (value instanceof List<?> list && list.stream().anyMatch(element -> element instanceof Map)) {
            valuesByPath.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), valuesByPath);
            }
        } else if (value instanceof List<?> list) {
            valuesByPath.put(
                    path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            valuesByPath.put(path, value.toString());
        }
    }
}
