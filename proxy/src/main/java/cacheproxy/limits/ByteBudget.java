package cacheproxy.limits;

import java.util.function.BooleanSupplier;

/**
 * A limit on the bytes that all connections together may hold for one purpose. The caller that reserves bytes has to
 * release them. Used on the event loop only.
 */
public final class ByteBudget {
    private final long maxBytes;
    private long reservedBytes;
    /** Called to release reserved bytes when the budget is exhausted; returns false if it can't. */
    private BooleanSupplier reclaimer = () -> false;

    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets the callback that releases one reservation per call when the budget is exhausted. */
    public void reclaimWith(BooleanSupplier reclaimer) {
        this.reclaimer = reclaimer;
    }

    /** Reserves the bytes; returns false if the budget is exhausted and nothing can be reclaimed. */
    public boolean reserve(long bytes) {
        while (reservedBytes + bytes > maxBytes) {
            if (!reclaimer.getAsBoolean()) {
                return false;
            }
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases bytes that were reserved. */
    public void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** The bytes that are currently reserved. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
