package holdproxy.net;

/** Bytes that may be held for one purpose at a time, over all connections. */
final class Budget {
    private final long most;
    private long held;

    Budget(long most) {
        this.most = most;
    }

    boolean take(long bytes) {
        if (held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    long held() {
        return held;
    }

    void give(long bytes) {
        held -= bytes;
    }
}
