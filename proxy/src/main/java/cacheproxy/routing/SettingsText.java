package cacheproxy.routing;

import cacheproxy.common.InvalidInputException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads the settings' {@code path=value} lines and maps their paths to the fields of {@link RoutingSettings}. Unknown
 * paths are ignored, missing ones take a safe default.
 */
public final class SettingsText {
    private static final int MAX_ITEMS = 100_000;

    private final Map<String, String> values = new HashMap<>();

    public SettingsText(String text) {
        for (String line : text.split("\n")) {
            int separatorIndex = line.indexOf('=');
            if (separatorIndex > 0) {
                values.put(
                        line.substring(0, separatorIndex),
                        line.substring(separatorIndex + 1).strip());
            } else if (!line.isBlank()) {
                throw new InvalidInputException("settings line without '=': " + printable(line));
            }
        }
    }

    /** Paths and values that were parsed already. */
    public SettingsText(Map<String, String> pairs) {
        values.putAll(pairs);
    }

    /** Throws {@link InvalidInputException} that names the path, the value and what was expected. */
    public RoutingSettings settings() {
        RoutingSettings settings = new RoutingSettings();
        readTier(settings);
        readPermissions(settings);
        readTimes(settings);
        readOverload(settings);
        readObjective(settings);
        return settings;
    }

    private void readTier(RoutingSettings settings) {
        settings.proxyIndex = integer("index", 0, 0);
        settings.proxyCount = integer("balancers", 1, 1);
        settings.zone = integer("az", 0, 0);
        settings.requestClasses = new RequestClass[integer("grades.count", 0, 0)];
        for (int i = 0; i < settings.requestClasses.length; i++) {
            settings.requestClasses[i] = requestClass("grades." + i + ".");
        }
        settings.tenants = new TenantQuota[integer("tenants.count", 0, 0)];
        for (int i = 0; i < settings.tenants.length; i++) {
            TenantQuota tenant = new TenantQuota();
            tenant.name = values.getOrDefault("tenants." + i + ".name", "");
            tenant.requestsPerSecond = number("tenants." + i + ".quotaPerS", 0, 0);
            tenant.share = number("tenants." + i + ".share", 0, 0);
            settings.tenants[i] = tenant;
        }
        settings.cacheAside =
                choice("familyInfo.mode", "through", "through", "aside").equals("aside");
        settings.originKind = integer("familyInfo.originKind", -1, -1);
        settings.subscribeRequired =
                choice("registryMode", "automatic", "automatic", "subscribe").equals("subscribe");
        settings.weightSource = switch (choice("weights", "nominal", "off", "nominal", "rough", "live")) {
            case "off" -> EndpointWeightSource.NONE;
            case "rough" -> EndpointWeightSource.ROUGH;
            case "live" -> EndpointWeightSource.LIVE;
            default -> EndpointWeightSource.NOMINAL;
        };
        settings.loadReportSource = switch (choice("reporting.source", "off", "off", "inline", "on_probe")) {
            case "inline" -> LoadReportSource.RESPONSES;
            case "on_probe" -> LoadReportSource.HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
        settings.clientsMarkRetries = flag("clients.marksRetry");
    }

    private void readPermissions(RoutingSettings settings) {
        settings.cancellationAllowed = flag("caps.mayCancel");
        settings.healthChecksAllowed = flag("caps.probing");
        settings.hedgingAllowed = flag("caps.secondCopies");
        settings.retryAfterAllowed = flag("caps.retryAfter");
        settings.maxRetryAfterUs = microseconds("caps.maxRetryAfterMs", 0);
        settings.maxAttempts = integer("caps.maxAttempts", 1, 1);
        settings.maxOpenRequests = integer("caps.openCap", Integer.MAX_VALUE, 1);
        settings.streamsPerConnection = integer("caps.multiplex", 1, 1);
        settings.gossipAllowed = flag("caps.peers");
        settings.cpuUsPerRequest = number("caps.cpuUsPerRequest", 0, 0);
        settings.cpuUsPerSecond = number("caps.cpuUsPerS", 0, 0);
    }

    private void readTimes(RoutingSettings settings) {
        settings.timerGranularityUs = microseconds("tickMs", 0);
        settings.idleTimeoutUs = microseconds("caps.idleCloseMs", 5_000);
        settings.connectTimeoutUs = microseconds("caps.dialTimeoutMs", 0);
        settings.subscribeWithinUs = microseconds("rules.askWithinMs", 10_000);
        settings.drainGraceUs = microseconds("rules.drainGraceMs", 0);
        settings.responseGraceUs = microseconds("rules.graceToAnswerMs", 0);
    }

    private void readOverload(RoutingSettings settings) {
        settings.slowStartInitialCapacity = number("rules.coldFrom", 1, 0);
        settings.slowStartUs = microseconds("rules.coldMs", 0);
        settings.collapseMultiple = number("rules.tipMultiple", 0, 0);
        settings.collapseUs = microseconds("rules.fallMs", 0);
        settings.originCollapseMultiple = number("familyInfo.originFallMultiple", 0, 0);
        settings.originCollapseUs = microseconds("familyInfo.originFallMs", 0);
    }

    private void readObjective(RoutingSettings settings) {
        settings.valueByWork = choice("countedBy", "request", "request", "work").equals("work");
        settings.overQuotaValue = number("overShareWorth", 1, 0);
        settings.crossZonePrice = number("deductions.crossZone", 0, 0);
        settings.wastedWorkPrice = number("deductions.waste", 0, 0);
        settings.lateResponsePrice = number("deductions.lateFail", 0, 0);
        settings.endpointListPrice = number("deductions.registryMode", 0, 0);
        settings.connectionPrice = number("deductions.connection", 0, 0);
        settings.healthCheckPrice = number("deductions.probe", 0, 0);
        settings.gossipPrice = number("deductions.peer", 0, 0);
        settings.originFetchPrice = number("deductions.origin", 0, 0);
        settings.handshakePrice = number("deductions.handshake", 0, 0);
        settings.wholeRunWeight = number("scoreParts.whole", 1, 0);
        settings.worstWindowWeight = number("scoreParts.worstWindow", 0, 0);
        settings.worstClassWeight = number("scoreParts.worstClass", 0, 0);
        settings.worstTenantWeight = number("scoreParts.worstTenant", 0, 0);
        settings.tailLatencyWeight = number("scoreParts.slowEnd", 0, 0);
        settings.allowedMissShare = number("scoreParts.missAllowed", 1, 0);
    }

    /** The names of the values in the load reports, in their order there. */
    public String[] reportFields() {
        return values.getOrDefault("reporting.fields", "").split(",");
    }

    /** Sets one value of a load report by its name on the wire or in the cache protocol. */
    public static void setReportField(String field, double value, LoadReport report) {
        switch (field) {
            case "rif", "inflight" -> report.inFlight = value;
            case "q", "queue" -> report.queueLength = value;
            case "busy", "util" -> report.cpuUtilization = value;
            case "lat_ms", "latency_ms" -> report.latencyUs = value * 1000.0;
            case "rate", "qps" -> report.requestsPerSecond = value;
            case "fail_rate", "eps" -> report.errorsPerSecond = value;
            case "x0" -> report.hitRatio = value;
            case "x1" -> report.originFetchesInFlight = value;
            default -> {} // an unknown value is ignored
        }
    }

    private RequestClass requestClass(String path) {
        RequestClass result = new RequestClass();
        result.name = values.getOrDefault(path + "name", "");
        result.idempotency = switch (choice(path + "effect", "side_effect", "pure", "token", "side_effect")) {
            case "pure" -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.IDEMPOTENCY_KEY;
            default -> Idempotency.NOT_IDEMPOTENT;
        };
        String group = choice(path + "group", "all", "all", "zone", "cell");
        result.deduplicationScope = DeduplicationScope.valueOf(group.toUpperCase(Locale.ROOT));
        result.latencyObjectiveUs = microseconds(path + "targetMs", 0);
        result.latencyObjectiveStretch = number(path + "aimStretch", 0, 0);
        result.deadlineUs = microseconds(path + "deadlineMs", 0);
        result.deduplicationWindowUs = microseconds(path + "repeatWindowMs", 0);
        result.lateResponseValue = number(path + "lateWorth", 0, 0);
        result.priorityWeight = number(path + "value", 1, 0);
        result.streaming = flag(path + "stream");
        return result;
    }

    private static String printable(String value) {
        String line = value.replaceAll("\\p{Cntrl}", "?");
        return line.length() <= 60 ? line : line.substring(0, 60) + "...";
    }

    private InvalidInputException invalidValue(String path, String expected) {
        return new InvalidInputException(
                "setting " + path + " is not " + expected + ": " + printable(values.get(path)));
    }

    private double number(String path, double defaultValue, double minimum) {
        String text = values.get(path);
        if (text == null || text.isEmpty()) {
            return defaultValue;
        }
        try {
            double parsed = Double.parseDouble(text);
            if (parsed >= minimum && parsed < 1e12) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw invalidValue(path, "a number of at least " + minimum);
    }

    private int integer(String path, int defaultValue, int minimum) {
        double parsed = number(path, defaultValue, minimum);
        boolean count = path.endsWith(".count");
        if (parsed != Math.rint(parsed) || count && parsed > MAX_ITEMS) {
            throw invalidValue(path, "a whole number" + (count ? " up to " + MAX_ITEMS : ""));
        }
        return (int) Math.min(parsed, Integer.MAX_VALUE);
    }

    private long microseconds(String path, double defaultMs) {
        return Math.round(number(path, defaultMs, 0) * 1000);
    }

    private boolean flag(String path) {
        return choice(path, "false", "true", "false").equals("true");
    }

    private String choice(String path, String defaultValue, String... allowed) {
        String text = values.getOrDefault(path, defaultValue);
        for (String choice : allowed) {
            if (choice.equals(text)) {
                return choice;
            }
        }
        throw invalidValue(path, "one of " + String.join(", ", allowed));
    }
}
