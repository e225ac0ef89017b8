package cacheproxy.discovery;

/**
 * Until when the list that is being received may take. A long list takes as long as its entries need at the pace of the
 * service, however many there are; one that stalls, or comes byte by byte, is given up. Times are in microseconds on
 * the caller's clock.
 */
final class ListProgress {
    private static final long STALL_US = WatchTimeouts.LIST_STALL_MS * 1000L;
    private static final long US_PER_ENTRY = 1_000_000L / WatchTimeouts.MIN_LIST_ENTRIES_PER_S;

    private long beganUs;
    private long lastEntryUs;
    private int entries;

    /** A list begins. */
    void begin(long nowUs) {
        beganUs = nowUs;
        lastEntryUs = nowUs;
        entries = 0;
    }

    /** {@code entriesReceived}: complete entries of the list so far. */
    void received(int entriesReceived, long nowUs) {
        if (entriesReceived > entries) {
            entries = entriesReceived;
            lastEntryUs = nowUs;
        }
    }

    /** When the list is given up unless further entries come. */
    long deadlineUs() {
        return Math.min(lastEntryUs + STALL_US, beganUs + STALL_US + entries * US_PER_ENTRY);
    }
}
