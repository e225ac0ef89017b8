package cacheproxy.limits;

/**
 * A limit on the bytes that all connections together may hold for one purpose. The caller that reserves bytes has to
 * release them. Used on the event loop only.
 */
public final class ByteBudget {
    private final long maxBytes;
    private long reservedBytes;

    /** {@code maxBytes}: what may be reserved at a time. */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves the bytes; returns false if the budget has no room for them. */
    public boolean reserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
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
