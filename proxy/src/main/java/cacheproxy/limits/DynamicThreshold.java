package cacheproxy.limits;

/**
 * Shares a limited amount among flows by dynamic thresholds (Choudhury and Hahne, "Dynamic Queue Length Thresholds for
 * Shared-Memory Packet Switches", 1998): a flow may hold as much as a fixed fraction of what is free. However many
 * flows want all they can get, some of it stays free for a flow that holds nothing.
 */
public final class DynamicThreshold {
    private final long capacity;
    private final int divisor;

    /**
     * @param capacity the amount that all flows share
     * @param divisor a flow may hold 1/divisor of the free amount
     */
    public DynamicThreshold(long capacity, int divisor) {
        this.capacity = capacity;
        this.divisor = divisor;
    }

    /** The amount that one flow may hold while {@code used} is taken; at least 1. */
    public long limit(long used) {
        return Math.max(1, (capacity - used) / divisor);
    }
}
