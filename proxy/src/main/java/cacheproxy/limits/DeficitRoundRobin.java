package cacheproxy.limits;

import java.util.ArrayDeque;

/**
 * Deficit round robin (Shreedhar and Varghese, 1995) over flows with queued work. Each flow gets a quantum of work per
 * turn; what it uses beyond that is deducted from its next turns. The work done for two flows that are always queued
 * differs by at most a quantum and the most expensive piece of work of each.
 *
 * <p>Not thread-safe: one event loop calls all methods.
 */
public final class DeficitRoundRobin<K> {
    /** The credit of one flow and whether it is queued; stored by the owner of the flow. */
    public static final class FlowState {
        private double credit;
        private boolean queued;

        /** Deducts the cost of work that was started; a flow in deficit has to wait. */
        public void charge(double cost) {
            credit -= cost;
        }

        /** Whether the flow may start further work now. */
        public boolean hasCredit() {
            return credit > 0;
        }

        private void addQuantum(double quantum) {
            credit = Math.min(quantum, credit + quantum);
        }
    }

    private final double quantum;
    private final ArrayDeque<K> flows = new ArrayDeque<>();
    /** The states of {@link #flows}, in the same order. */
    private final ArrayDeque<FlowState> states = new ArrayDeque<>();

    /** {@code quantum}: work per turn, in the unit of {@link FlowState#charge}. */
    public DeficitRoundRobin(double quantum) {
        this.quantum = quantum;
    }

    /** New work has arrived for a flow. A flow that isn't queued gets a quantum at once; its deficit remains. */
    public void onWorkArrived(FlowState state) {
        if (!state.queued) {
            state.addQuantum(quantum);
        }
    }

    /** Queues a flow behind all others; returns false if it is queued already. */
    public boolean enqueue(K flow, FlowState state) {
        if (state.queued) {
            return false;
        }
        state.queued = true;
        flows.add(flow);
        states.add(state);
        return true;
    }

    /**
     * The number of queued flows. A caller that takes at most this many turns in a round gives none to flows queued
     * meanwhile.
     */
    public int queuedFlows() {
        return flows.size();
    }

    /** Removes the next flow from the queue and adds a quantum to its credit; null if none is queued. */
    public K next() {
        FlowState state = states.poll();
        if (state == null) {
            return null;
        }
        state.queued = false;
        state.addQuantum(quantum);
        return flows.poll();
    }
}
