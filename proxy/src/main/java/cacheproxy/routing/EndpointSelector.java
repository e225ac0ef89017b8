package cacheproxy.routing;

/**
 * Selects the endpoint of an attempt. A key's candidates are ranked by weighted rendezvous hashing; of the first two
 * that are eligible for the request the less busy one is selected. An endpoint is not eligible if it was tried already,
 * if the retry policy forbids it, if slow start does not admit the request, or if it is passed over as an outlier.
 * While the endpoint list may be out of date, none is eligible.
 */
final class EndpointSelector {
    private static final int CANDIDATES = 2;
    /** Endpoints that are ranked: the candidates and replacements for endpoints that are not eligible. */
    private static final int MAX_RANKED = 6;
    /** With equal requests in flight the second candidate is selected if it reports this much less CPU utilization. */
    private static final double UTILIZATION_MARGIN = 0.2;

    private final EndpointTable table;
    private final KeyPopularity popularity;
    private final SlowStartLimiter slowStart;
    private final OutlierDetector outliers;
    private final RetryPolicy retryPolicy;
    private final SplitMix64 random;

    EndpointSelector(
            EndpointTable table,
            KeyPopularity popularity,
            SlowStartLimiter slowStart,
            OutlierDetector outliers,
            RetryPolicy retryPolicy,
            SplitMix64 random) {
        this.table = table;
        this.popularity = popularity;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.retryPolicy = retryPolicy;
        this.random = random;
    }

    /** Null: no endpoint is eligible for the request now. */
    Endpoint select(PendingRequest pending, long nowUs) {
        if (table.isOutdated()) {
            return null;
        }
        long key = hashKey(pending, nowUs);
        Endpoint[] ranked = table.rank(key, MAX_RANKED);
        Endpoint selected = null;
        int candidates = 0;
        for (int i = 0; i < ranked.length && ranked[i] != null && candidates < CANDIDATES; i++) {
            if (!isEligible(ranked[i], pending, key, nowUs)) {
                continue;
            }
            if (candidates == 0 || isLessBusy(ranked[i], selected, nowUs)) {
                selected = ranked[i];
            }
            candidates++;
        }
        return selected;
    }

    /** The key to rank by: random for a request without a key; for a popular key, one of several variants of it. */
    private long hashKey(PendingRequest pending, long nowUs) {
        if (pending.key == 0) {
            pending.popular = false;
            return random.next();
        }
        int pairs = popularity.pairs(pending.key, table.readyCount, nowUs);
        pending.popular = pairs > 1;
        return pairs > 1 ? pending.key ^ (long) (random.nextDouble() * pairs) << 48 : pending.key;
    }

    private boolean isEligible(Endpoint endpoint, PendingRequest pending, long key, long nowUs) {
        return !pending.hasTried(endpoint)
                && retryPolicy.maySend(pending, endpoint, nowUs)
                && (!table.isWarmingUp(endpoint, nowUs)
                        || slowStart.admits(endpoint, pending, key, table.totalWeight, nowUs))
                && !outliers.passesOver(endpoint, key, nowUs);
    }

    /** Compares this proxy's requests in flight; if they are equal, as they often are, the CPU utilization. */
    private static boolean isLessBusy(Endpoint endpoint, Endpoint other, long nowUs) {
        if (endpoint.inFlight != other.inFlight) {
            return endpoint.inFlight < other.inFlight;
        }
        return other.cpuUtilization.get(nowUs) > endpoint.cpuUtilization.get(nowUs) + UTILIZATION_MARGIN;
    }

    /** Cache-aside: the origin with the fewest requests of this proxy in flight; null: none is eligible. */
    Endpoint selectOrigin() {
        if (table.isOutdated()) {
            return null;
        }
        Endpoint selected = null;
        for (Endpoint origin : table.origins) {
            if (selected == null || origin.inFlight < selected.inFlight) {
                selected = origin;
            }
        }
        return selected;
    }
}
