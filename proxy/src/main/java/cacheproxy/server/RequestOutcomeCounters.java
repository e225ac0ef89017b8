package cacheproxy.server;

import cacheproxy.memcache.MetaCommand;
import cacheproxy.routing.RoutingSettings;
import java.util.LinkedHashMap;
import java.util.Map;

/** Counts request outcomes since the process start, by class and by tenant. Used on the event loop only. */
final class RequestOutcomeCounters {
    /**
     * The outcome of a request; the lower-case names are keys of the control channel's status. A request that the proxy
     * rejects with busy counts as REFUSED; REJECTED counts only CLIENT_ERROR.
     */
    enum Outcome {
        SERVED,
        /** Cache miss ({@code EN}). */
        MISSED,
        /** Rejected with {@code SERVER_ERROR busy}: a retry is harmless. */
        REFUSED,
        /** {@code SERVER_ERROR failed}: the request may have been executed. */
        FAILED,
        /** {@code CLIENT_ERROR}: the request itself is at fault. */
        REJECTED,
        /** The client closed its connection before the response. */
        LEFT
    }

    private static final Outcome[] OUTCOMES = Outcome.values();

    private final RoutingSettings settings;
    private final long[][] byClass;
    private final long[][] byTenant;

    RequestOutcomeCounters(RoutingSettings settings) {
        this.settings = settings;
        byClass = new long[settings.requestClasses.length][OUTCOMES.length];
        byTenant = new long[Math.max(1, settings.tenants.length)][OUTCOMES.length];
    }

    void count(MetaCommand command, Outcome outcome) {
        byClass[command.requestClass()][outcome.ordinal()]++;
        byTenant[command.tenant()][outcome.ordinal()]++;
    }

    /** Adds the counts in the format of the control channel: in total, by class and by tenant. */
    void putInto(Map<String, Object> status) {
        long[] totals = new long[OUTCOMES.length];
        Map<String, Object> classes = new LinkedHashMap<>();
        for (int i = 0; i < byClass.length; i++) {
            classes.put(settings.requestClasses[i].name, named(byClass[i]));
            for (int e = 0; e < totals.length; e++) {
                totals[e] += byClass[i][e];
            }
        }
        Map<String, Object> tenants = new LinkedHashMap<>();
        for (int i = 0; i < settings.tenants.length; i++) {
            tenants.put(settings.tenants[i].name, named(byTenant[i]));
        }
        status.put("answered", named(totals));
        status.put("classes", classes);
        status.put("tenants", tenants);
    }

    private static Map<String, Object> named(long[] counts) {
        Map<String, Object> named = new LinkedHashMap<>();
        for (Outcome e : OUTCOMES) {
            named.put(e.name().toLowerCase(java.util.Locale.ROOT), counts[e.ordinal()]);
        }
        return named;
    }
}
