package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The endpoint table after many changes of the endpoint list. */
class EndpointTableTest {

    private static EndpointInfo endpointInfo(int id, EndpointState state) {
        EndpointInfo info = Fixture.endpoint(id);
        info.state = state;
        return info;
    }

    @Test
    void removesEndpointsThatAreGone() {
        EndpointTable table = new EndpointTable(Fixture.settings(Idempotency.IDEMPOTENT));
        for (int i = 0; i < 200_000; i++) {
            EndpointInfo[] change = {endpointInfo(i, EndpointState.READY), endpointInfo(i - 10, EndpointState.GONE)};
            table.apply(0, EndpointListKind.DELTA, change, 2);
            assertTrue(table.knownCount() <= 10, "known " + table.knownCount());
        }
        assertEquals(10, table.readyCount);
        table.apply(0, EndpointListKind.FULL, new EndpointInfo[] {endpointInfo(7, EndpointState.READY)}, 1);
        assertEquals(1, table.knownCount());
    }

    @Test
    void keepsGoneEndpointWhileAnAttemptIsInFlight() {
        EndpointTable table = new EndpointTable(Fixture.settings(Idempotency.IDEMPOTENT));
        table.apply(0, EndpointListKind.FULL, new EndpointInfo[] {endpointInfo(1, EndpointState.READY)}, 1);
        table.ready[0].inFlight++;
        Endpoint endpoint = table.ready[0];
        table.apply(0, EndpointListKind.DELTA, new EndpointInfo[] {endpointInfo(1, EndpointState.GONE)}, 1);
        assertEquals(1, table.knownCount());
        assertEquals(0, table.readyCount);
        endpoint.inFlight--;
        table.apply(0, EndpointListKind.DELTA, new EndpointInfo[0], 0);
        assertEquals(0, table.knownCount());
    }

    private static EndpointInfo endpointInfo(int id, double weight, long startedUs) {
        EndpointInfo info = Fixture.endpoint(id);
        info.weight = weight;
        info.startedUs = startedUs;
        return info;
    }

    private static EndpointTable tableOf(EndpointInfo... endpoints) {
        EndpointTable table = new EndpointTable(Fixture.settings(Idempotency.IDEMPOTENT));
        table.apply(100 * Fixture.S, EndpointListKind.FULL, endpoints, endpoints.length);
        return table;
    }

    /** Start times differ from the clock's zero. */
    @Test
    void endpointWarmsUpForTheSlowStartTime() {
        EndpointTable table = tableOf(endpointInfo(1, 1, 100 * Fixture.S), endpointInfo(2, 1, Long.MIN_VALUE));
        assertTrue(table.isWarmingUp(table.ready[0], 100 * Fixture.S));
        assertTrue(table.isWarmingUp(table.ready[0], 110 * Fixture.S - 1));
        assertFalse(table.isWarmingUp(table.ready[0], 110 * Fixture.S));
        assertFalse(table.isWarmingUp(table.ready[1], 100 * Fixture.S), "it started long ago");
    }

    /** A restarted endpoint loses its failure probability; a repeated list entry does not reset it. */
    @Test
    void onlyRestartResetsTheFailureProbability() {
        EndpointTable table = tableOf(endpointInfo(1, 1, 5));
        table.ready[0].failureProbability.record(true, 0, 1, 0);
        table.apply(0, EndpointListKind.FULL, new EndpointInfo[] {endpointInfo(1, 1, 5)}, 1);
        assertEquals(0.8, table.ready[0].failureProbability.get(0));
        table.apply(0, EndpointListKind.FULL, new EndpointInfo[] {endpointInfo(1, 1, 6)}, 1);
        assertEquals(0, table.ready[0].failureProbability.get(0));
    }

    /** Quotas are set for the endpoints first listed, or for those that were ever warm at the same time. */
    @Test
    void totalWeightIgnoresWarmingAndLostEndpoints() {
        EndpointTable table = tableOf(endpointInfo(1, 2, 95 * Fixture.S), endpointInfo(2, 1, Long.MIN_VALUE));
        assertEquals(3, table.totalWeight, "all endpoints of the first list, warming or not");
        EndpointInfo[] addedEndpoint = {endpointInfo(3, 4, 99 * Fixture.S)};
        table.apply(100 * Fixture.S, EndpointListKind.DELTA, addedEndpoint, 1);
        assertEquals(3, table.totalWeight, "a warming endpoint does not count yet");
        table.apply(110 * Fixture.S, EndpointListKind.DELTA, addedEndpoint, 1);
        assertEquals(7, table.totalWeight);
        table.apply(120 * Fixture.S, EndpointListKind.FULL, addedEndpoint, 1);
        assertEquals(7, table.totalWeight, "one endpoint does not have the capacity of three");
    }

    @Test
    void treatsInvalidWeightAsOne() {
        EndpointTable table = tableOf(endpointInfo(1, 0, 0), endpointInfo(2, -3, 0), endpointInfo(3, 0.25, 0));
        assertEquals(1, table.ready[0].weight);
        assertEquals(1, table.ready[1].weight);
        assertEquals(0.25, table.ready[2].weight);
    }

    /** The share of keys ranked first at endpoints of weight 3, with the same number of endpoints of weight 1. */
    private static double heavyShare(int countOfEachWeight) {
        EndpointInfo[] endpoints = new EndpointInfo[2 * countOfEachWeight];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = endpointInfo(i, 1 + 2 * (i % 2), 0);
        }
        EndpointTable table = tableOf(endpoints);
        int heavyCount = 0;
        for (long key = 1; key <= 100_000; key++) {
            heavyCount += table.rank(SplitMix64.mix(key), 1)[0].id % 2;
        }
        return heavyCount / 1e5;
    }

    /** For two endpoints the tolerance is larger, because of the approximated logarithm. */
    @Test
    void distributesKeysByWeight() {
        assertEquals(0.75, heavyShare(1), 0.06);
        assertEquals(0.75, heavyShare(8), 0.01);
    }

    /** The order does not depend on how many endpoints are ranked. */
    @Test
    void rankingDoesNotDependOnItsLength() {
        EndpointInfo[] endpoints = new EndpointInfo[12];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = endpointInfo(i + 1, 1 + i % 3, 0);
        }
        EndpointTable table = tableOf(endpoints);
        for (long key = 1; key <= 500; key++) {
            Endpoint[] ranked = table.rank(SplitMix64.mix(key), 6).clone();
            for (int i = 0; i < 6; i++) {
                Endpoint[] fewer = tableOf(endpoints).rank(SplitMix64.mix(key), i + 1);
                assertEquals(ranked[i].id, fewer[i].id, "rank " + i + " of key " + key);
            }
            // without the better endpoints, the next one ranks first
            EndpointInfo[] remaining = endpoints.clone();
            for (int i = 0; i < 3; i++) {
                int bestId = ranked[i].id;
                assertEquals(bestId, tableOf(remaining).rank(SplitMix64.mix(key), 1)[0].id);
                remaining = java.util.Arrays.stream(remaining)
                        .filter(info -> info.id != bestId)
                        .toArray(EndpointInfo[]::new);
            }
        }
    }
}
