package cacheproxy.routing;

/**
 * Bounds retries and hedged requests, so that they do not multiply an overload: each spends from a budget that
 * successful attempts fill. One unit is the price of one retry.
 */
final class RetryBudget {
    static final double RETRY_PRICE = 1;
    /** Lower after a reset or refused connection, because a retry repeats hardly any work. */
    static final double CONNECTION_RETRY_PRICE = 0.25;
    /**
     * Price of an attempt that is started while another is in flight. It may prove unnecessary, and it causes a miss at
     * a second endpoint.
     */
    static final double HEDGE_PRICE = 5;

    private static final double EARNED_PER_SUCCESS = 0.1;
    private static final double MAX_BUDGET = 10;
    private static final double INITIAL_BUDGET = 1;

    private double budget = INITIAL_BUDGET;

    void earn() {
        budget = Math.min(MAX_BUDGET, budget + EARNED_PER_SUCCESS);
    }

    boolean covers(double price) {
        return budget >= price;
    }

    void spend(double price) {
        budget -= price;
    }
}
