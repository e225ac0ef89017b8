package cacheproxy.routing;

import java.util.Arrays;

/**
 * The endpoint list as last known, without endpoints that are gone and have no attempts in flight; and flat arrays of
 * those that are ready.
 */
final class EndpointTable {
    private final LongHashMap<Endpoint> byId = new LongHashMap<>();
    private final boolean cacheAside;
    private final int originKind;
    private final long slowStartUs;
    private Endpoint[] known = new Endpoint[16];
    private int knownCount;
    Endpoint[] ready = new Endpoint[0];
    private long[] salts = new long[0];
    private double[] inverseWeights = new double[0];
    int readyCount;
    Endpoint[] origins = new Endpoint[0];
    /**
     * The total weight that the tenants' quotas were set for: that of all endpoints in the first list, or the largest
     * that was ever warm at the same time. New endpoints do not lower the capacity of one, nor do lost ones raise it.
     */
    double totalWeight;

    /** Whether the list may be out of date, so that none of its endpoints is eligible. */
    private boolean outdated;

    private Endpoint[] best = new Endpoint[0];
    private double[] bestScores = new double[0];

    EndpointTable(RoutingSettings settings) {
        cacheAside = settings.cacheAside;
        originKind = settings.originKind;
        slowStartUs = settings.slowStartUs;
    }

    boolean isWarmingUp(Endpoint endpoint, long nowUs) {
        return endpoint.startedUs != Long.MIN_VALUE && nowUs - endpoint.startedUs < slowStartUs;
    }

    boolean isOrigin(Endpoint endpoint) {
        return cacheAside && endpoint.kind == originKind;
    }

    void setOutdated(boolean newValue) {
        outdated = newValue;
    }

    boolean isOutdated() {
        return outdated;
    }

    void apply(long nowUs, EndpointListKind kind, EndpointInfo[] endpoints, int count) {
        if (kind != EndpointListKind.DELTA) {
            for (int i = 0; i < knownCount; i++) {
                known[i].state = EndpointState.GONE; // overwritten below if the list contains it
            }
        }
        for (int i = 0; i < count; i++) {
            update(endpoints[i]);
        }
        removeGone();
        rebuildReady();
        updateTotalWeight(nowUs);
    }

    private void update(EndpointInfo info) {
        long key = key(info.id);
        Endpoint endpoint = byId.get(key);
        if (endpoint == null) {
            endpoint = new Endpoint(info.id);
            byId.put(key, endpoint);
            if (knownCount == known.length) {
                known = Arrays.copyOf(known, 2 * knownCount);
            }
            known[knownCount++] = endpoint;
        }
        if (info.startedUs != endpoint.startedUs) {
            endpoint.failureProbability.reset(); // a new process
        }
        endpoint.cell = info.cell;
        endpoint.zone = info.zone;
        endpoint.kind = info.kind;
        endpoint.weight = info.weight > 0 ? info.weight : 1;
        endpoint.state = info.state;
        endpoint.startedUs = info.startedUs;
    }

    private static long key(int id) {
        return id & 0xffffffffL;
    }

    int knownCount() {
        return knownCount;
    }

    /** Keeps memory bounded however many endpoints come and go. */
    private void removeGone() {
        int kept = 0;
        for (int i = 0; i < knownCount; i++) {
            Endpoint endpoint = known[i];
            if (endpoint.state == EndpointState.GONE && endpoint.inFlight == 0) {
                byId.remove(key(endpoint.id));
            } else {
                known[kept++] = endpoint;
            }
        }
        Arrays.fill(known, kept, knownCount, null);
        knownCount = kept;
    }

    private void rebuildReady() {
        ready = new Endpoint[knownCount];
        salts = new long[knownCount];
        inverseWeights = new double[knownCount];
        readyCount = 0;
        Endpoint[] readyOrigins = new Endpoint[knownCount];
        int originCount = 0;
        for (int i = 0; i < knownCount; i++) {
            Endpoint endpoint = known[i];
            if (endpoint.state != EndpointState.READY) {
                continue;
            }
            if (isOrigin(endpoint)) {
                readyOrigins[originCount++] = endpoint;
                continue;
            }
            ready[readyCount] = endpoint;
            salts[readyCount] = SplitMix64.mix(endpoint.id);
            inverseWeights[readyCount++] = 1 / endpoint.weight;
        }
        origins = Arrays.copyOf(readyOrigins, originCount);
    }

    private void updateTotalWeight(long nowUs) {
        double warmWeight = 0;
        for (int i = 0; i < readyCount; i++) {
            warmWeight += totalWeight == 0 || !isWarmingUp(ready[i], nowUs) ? ready[i].weight : 0;
        }
        totalWeight = Math.max(totalWeight, warmWeight);
    }

    /**
     * Weighted rendezvous hashing: ranks the endpoints by an approximately exponential draw over their weight, lowest
     * first. The array is reused by the next call and ends with nulls where fewer are ready.
     */
    Endpoint[] rank(long key, int maxRanked) {
        if (best.length < maxRanked) {
            best = new Endpoint[maxRanked];
            bestScores = new double[maxRanked];
        }
        Arrays.fill(best, null);
        int ranked = 0;
        int limit = Math.min(maxRanked, readyCount);
        double worstScore = Double.MAX_VALUE;
        for (int i = 0; i < readyCount; i++) {
            double uniform = SplitMix64.toUnitInterval(SplitMix64.mix(key ^ salts[i]));
            // the first terms of -log(1 - uniform)
            double score = uniform * (1 + 0.5 * uniform) * inverseWeights[i];
            if (ranked == limit && score >= worstScore) {
                continue;
            }
            int position = ranked < limit ? ranked++ : limit - 1;
            for (; position > 0 && bestScores[position - 1] > score; position--) {
                best[position] = best[position - 1];
                bestScores[position] = bestScores[position - 1];
            }
            best[position] = ready[i];
            bestScores[position] = score;
            worstScore = bestScores[ranked - 1];
        }
        return best;
    }
}
