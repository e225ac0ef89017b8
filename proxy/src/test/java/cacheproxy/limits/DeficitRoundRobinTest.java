package cacheproxy.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link DeficitRoundRobin} and {@link TokenBucket}. */
class DeficitRoundRobinTest {
    private static final double QUANTUM = 16;
    private static final double MAX_COST = 40;

    private static final class Flow {
        private final DeficitRoundRobin.FlowState state = new DeficitRoundRobin.FlowState();
        private final double maxCost;
        private double servedWork;

        Flow(double maxCost) {
            this.maxCost = maxCost;
        }
    }

    /**
     * Compares with an ideal scheduler, which serves all queued flows equally: the work of two flows differs by at most
     * a quantum and the most expensive piece of work of each, even if a flow has expensive work or leaves the queue and
     * returns.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void servesQueuedFlowsEquallyWithinBound(long seed) {
        Random random = new Random(seed);
        DeficitRoundRobin<Flow> scheduler = new DeficitRoundRobin<>(QUANTUM);
        List<Flow> flows = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Flow flow = new Flow(i % 3 == 0 ? MAX_COST : 1 + random.nextInt(4));
            flows.add(flow);
            scheduler.onWorkArrived(flow.state);
            scheduler.enqueue(flow, flow.state);
        }
        for (int step = 0; step < 20_000; step++) {
            Flow flow = scheduler.next();
            while (flow.state.hasCredit()) {
                double cost = 1 + random.nextDouble() * (flow.maxCost - 1);
                flow.state.charge(cost);
                flow.servedWork += cost;
            }
            assertTrue(flow == flows.get(0) || scheduler.enqueue(flow, flow.state));
            if (flow == flows.get(0)) { // queued again with new work at once, which must not gain it anything
                scheduler.enqueue(flow, flow.state);
                scheduler.onWorkArrived(flow.state);
            }
            double maxServed =
                    flows.stream().mapToDouble(other -> other.servedWork).max().orElseThrow();
            double minServed =
                    flows.stream().mapToDouble(other -> other.servedWork).min().orElseThrow();
            assertTrue(
                    maxServed - minServed <= 2 * (QUANTUM + MAX_COST),
                    "seed " + seed + ", step " + step + ": " + maxServed + " and " + minServed);
        }
    }

    @Test
    void queuesEachFlowOnceInOrder() {
        DeficitRoundRobin<String> scheduler = new DeficitRoundRobin<>(QUANTUM);
        DeficitRoundRobin.FlowState a = new DeficitRoundRobin.FlowState();
        DeficitRoundRobin.FlowState b = new DeficitRoundRobin.FlowState();
        assertTrue(scheduler.enqueue("a", a));
        assertFalse(scheduler.enqueue("a", a));
        assertTrue(scheduler.enqueue("b", b));
        assertEquals(2, scheduler.queuedFlows());
        assertEquals("a", scheduler.next());
        assertEquals("b", scheduler.next());
        assertNull(scheduler.next());
    }

    /** Otherwise a process that was paused would admit a burst of all tokens that accrued meanwhile. */
    @Test
    void tokenBucketHoldsAtMostItsCapacityAfterPause() {
        TokenBucket bucket = new TokenBucket(2, 5, 0);
        int taken = 0;
        for (long nowUs = 0; nowUs < 10_000_000; nowUs += 100_000) {
            taken += bucket.tryConsume(nowUs) ? 1 : 0;
        }
        assertEquals(5 + 19, taken, 1);
        int takenAfterPause = 0;
        for (int i = 0; i < 50; i++) {
            takenAfterPause += bucket.tryConsume(3_600_000_000L) ? 1 : 0;
        }
        assertEquals(5, takenAfterPause);
        assertFalse(bucket.tryConsume(0), "a clock that goes backward adds no tokens");
    }
}
