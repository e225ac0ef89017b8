package cacheproxy.lab.scenario;

/**
 * Something that goes wrong, from so many seconds after the warm-up on.
 *
 * @param at seconds from the end of the warm-up
 * @param kind what
 * @param seconds how long it lasts, or the time within which it is spread out
 * @param times a multiple: of load, of the fleet, of work, of a tenant's usage
 * @param share a part: of nodes, of proxies, of kept copies, of reads, or of growth that traffic follows
 * @param zone which site, for those that strike one; empty otherwise
 * @param tenant whose, for those that strike one; empty otherwise
 */
public record Fault(double at, Kind kind, double seconds, double times, double share, String zone, String tenant) {
    /** The kinds; experiment files write them in lower case with hyphens. */
    public enum Kind {
        /** Load is {@code times} the usual for {@code seconds}. */
        BURST,
        /** All nodes and proxies of {@code zone} are cut off from everything, and back warm after {@code seconds}. */
        SITE_CUT,
        /** A network partition between {@code zone} with its clients and the rest. */
        SITE_APART,
        /** A one-way partition: what {@code zone} sends does not reach the others, what they send reaches it. */
        SITE_UNHEARD,
        /** {@code share} of the proxies stall for {@code seconds}: a garbage collection pause, a suspended machine. */
        PROXIES_STALLED,
        /** All nodes and proxies of {@code zone} die, and start again cold after {@code seconds}. */
        SITE_LOST,
        /** {@code share} of the nodes take {@code times} as long for {@code seconds}. */
        NODES_SLOW,
        /** {@code share} of the nodes die and start again cold after {@code seconds}. */
        NODES_RESTARTED,
        /** The fleet grows to {@code times} itself within {@code seconds}, cold; traffic follows by {@code share}. */
        GROW,
        /** {@code share} of the cached copies are invalidated, the same keys everywhere. */
        FLUSH,
        /** {@code share} of the reads request keys that nobody else does, for {@code seconds}. */
        SCAN,
        /** {@code share} of the proxies are killed at once, and start again. */
        PROXIES_KILLED,
        /** A rolling restart of all proxies within {@code seconds}. */
        PROXIES_ROLLED,
        /** Discovery answers nobody for {@code seconds}. */
        DISCOVERY_SILENT,
        /** {@code tenant} sends {@code times} its usual for {@code seconds}. */
        TENANT_SURGE;

        boolean zoned() {
            return this == SITE_CUT || this == SITE_APART || this == SITE_UNHEARD || this == SITE_LOST;
        }
    }

    /** The time at which it is over and everything is running again, though perhaps cold; in s after the warm-up. */
    public double endsAt() {
        return switch (kind) {
            case FLUSH, PROXIES_KILLED -> at;
            default -> at + seconds;
        };
    }
}
