package review;

import java.util.ArrayList;
import java.util.List;

/** Settings and lists of a small deployment: those of kannur-legal-cache, as the page of the wire shows them. */
final class Site {
    static final long DRAIN_GRACE_MS = 1000;
    static final String[] ZONES = {"kannur-town", "thalassery", "payyanur"};
    static final String[] TENANTS = {
        "kannur-district", "thalassery-sessions", "payyanur-munsiff", "taliparamba-family", "iritty-magistrate"
    };

    private Site() {}

    static String settings(String registryMode) {
        return "{\"az\":0,\"index\":0,\"balancers\":4,\"stage\":0,\"tiers\":[\"phrase-cache\"],\"tickMs\":5.0,"
                + "\"localities\":[\"kannur-town\",\"thalassery\",\"payyanur\"],"
                + "\"kinds\":[\"full-node\",\"half-node\"],\"weights\":\"rough\",\"countedBy\":\"request\","
                + "\"domainType\":\"cache\",\"registryMode\":\"" + registryMode + "\",\"overShareWorth\":0.05,"
                + "\"caps\":{\"cpuUsPerRequest\":10.0,\"cpuUsPerS\":15000,\"dialTimeoutMs\":250.0,"
                + "\"idleCloseMs\":30000.0,\"maxAttempts\":4,\"maxRetryAfterMs\":2000.0,\"mayCancel\":true,"
                + "\"multiplex\":1,\"openCap\":20000,\"peers\":false,\"probing\":true,\"retryAfter\":true,"
                + "\"secondCopies\":true},"
                + "\"clients\":{\"marksRetry\":true},"
                + "\"deductions\":{\"connection\":0.0,\"crossZone\":0.03,\"handshake\":0.0,\"lateFail\":0.05,"
                + "\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.03,\"registryMode\":0.0,\"waste\":0.04},"
                + "\"familyInfo\":{\"mode\":\"through\",\"originFallMs\":3000.0,\"originFallMultiple\":0.0,"
                + "\"originKind\":-1},"
                + "\"grades\":[" + grade("phrase-lookup", "pure", 1500, 0.5) + ","
                + grade("usage-charge", "side_effect", 2500, 0.5) + ","
                + grade("phrase-submit", "token", 2500, 0.3) + "],"
                + "\"reporting\":{\"fields\":[\"busy\"],\"source\":\"inline\"},"
                + "\"rules\":{\"askWithinMs\":10000.0,\"coldFrom\":0.17,\"coldMs\":24000.0,\"drainGraceMs\":"
                + DRAIN_GRACE_MS + ".0,\"fallMs\":2000.0,\"graceToAnswerMs\":20.0,\"tipMultiple\":4.0},"
                + "\"scoreParts\":{\"whole\":0.4,\"worstClass\":0.1,\"worstTenant\":0.4,\"worstWindow\":0.1},"
                + "\"tenants\":[" + tenant(0, 25) + "," + tenant(1, 8) + "," + tenant(2, 8) + "," + tenant(3, 8) + ","
                + tenant(4, 8) + "]}";
    }

    private static String grade(String name, String effect, int deadlineMs, double lateWorth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"deadlineMs\":" + deadlineMs
                + ".0,\"targetMs\":750.0,\"group\":\"all\",\"lateWorth\":" + lateWorth
                + ",\"repeatWindowMs\":5000.0,\"stream\":false,\"value\":1.0}";
    }

    private static String tenant(int index, int quotaPerS) {
        return "{\"name\":\"" + TENANTS[index] + "\",\"quotaPerS\":" + quotaPerS + ".0,\"share\":"
                + (index == 0 ? 0.434 : 0.141) + "}";
    }

    /** A list of discovery; {@code draining}: how many of the nodes, from the first on, drain. */
    static String list(int version, boolean full, List<CacheNode> nodes, int draining) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            entries.add("{\"id\":\"" + nodes.get(i).id + "\",\"addr\":\"" + nodes.get(i).address() + "\",\"zone\":\""
                    + ZONES[i % ZONES.length] + "\",\"kind\":\"" + (i % 2 == 0 ? "full-node" : "half-node")
                    + "\",\"cell\":" + i % ZONES.length + ",\"state\":\"" + (i < draining ? "DRAINING" : "SERVING")
                    + "\",\"weight\":1.0,\"started_ms\":0}");
        }
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }
}
