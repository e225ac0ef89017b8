package cacheproxy.client;

/**
 * What is known of whether a client is still connected. Its close lies behind all that it has sent, which may wait in
 * the socket or, while the socket takes no more, at the client's machine. So a client is seen to be connected
 *
 * <ul>
 *   <li>when a read finds the socket empty and has not found so much that the client may have been held back,
 *   <li>as long as its socket is read as soon as it is readable, until the time up to which that was done, or
 *   <li>by writing: a client that has closed its connection resets it when a response comes, and the next write fails.
 * </ul>
 *
 * <p>Times are in microseconds on the caller's clock; used on the event loop only.
 */
final class ClientPresence {
    /** Time in which a reset that a write causes, or bytes that are on their way, are received. */
    static final long ROUND_TRIP_US = 20_000;

    /**
     * How long after it was seen a client counts as connected: half of the 0.1 s after its close from which on nothing
     * may be sent for it, the other half is left for the sending.
     */
    private static final long VALID_US = 50_000;
    /** The same while it is in doubt what the client has sent meanwhile, counted from the read that began the doubt. */
    private static final long VALID_IN_DOUBT_US = 60_000;
    /** How long a client that was held back may take to go on: TCP probes a full receive window after 0.2 s. */
    private static final long HELD_BACK_US = 300_000;
    /** Unread bytes for which the receive window surely has room; more may hold a client back. */
    private static final long OPEN_WINDOW_BYTES = 32 << 10;

    private static final long NO_WRITE = -1;

    private long connectedAtUs;
    /** Until when bytes may come that were sent before the last read. */
    private long settledAtUs;

    private boolean socketEmpty = true;
    private boolean inDoubt;
    private long writtenAtUs = NO_WRITE;

    /** The connection was opened, or the client has sent something new that is read at once. */
    void connected(long atUs) {
        connectedAtUs = Math.max(connectedAtUs, atUs);
    }

    /** Whether everything that the client sent before the last read has surely come with that read. */
    boolean isSettled(long nowUs) {
        return socketEmpty && nowUs >= settledAtUs;
    }

    /**
     * A read that took place as soon as bytes had come has ended.
     *
     * @param begunUs when it began
     * @param emptied whether no bytes are left in the socket; a close may be
     * @param foundNothing whether no close is left in the socket either
     */
    void promptReadCompleted(long begunUs, long bytes, boolean emptied, boolean foundNothing, long nowUs) {
        boolean wasKnown = !inDoubt && isKnown(begunUs);
        boolean windowWasOpen = bytes < OPEN_WINDOW_BYTES;
        if (windowWasOpen && socketEmpty && emptied) {
            settledAtUs = Math.min(settledAtUs, nowUs); // whoever was held back has sent the rest
        }
        settle(emptied, foundNothing, windowWasOpen ? 0 : ROUND_TRIP_US, nowUs);
        if (inDoubt && wasKnown) {
            connected(begunUs);
        }
    }

    /** The socket of a client whose reading is suspended was read, until it was empty or as far as memory allows. */
    void readAhead(long bytes, boolean foundNothing, long nowUs) {
        settle(foundNothing, foundNothing, foundNothing && bytes < OPEN_WINDOW_BYTES ? 0 : HELD_BACK_US, nowUs);
    }

    private void settle(boolean emptied, boolean foundNothing, long doubtUs, long nowUs) {
        socketEmpty = emptied;
        settledAtUs = doubtUs == 0 ? settledAtUs : Math.max(settledAtUs, nowUs + doubtUs);
        inDoubt = !emptied || nowUs < settledAtUs;
        connectedAtUs = inDoubt || !foundNothing ? connectedAtUs : nowUs;
    }

    /** Whether the last read has left no bytes in the socket. */
    boolean isSocketEmpty() {
        return socketEmpty;
    }

    /** How long bytes may still come that were sent before the last read. */
    long settlesInUs(long nowUs) {
        return Math.max(0, settledAtUs - nowUs);
    }

    /** When the client was last seen to be connected. */
    long connectedAtUs() {
        return connectedAtUs;
    }

    /** A response was written successfully. */
    void written(long nowUs) {
        if (writtenAtUs == NO_WRITE) {
            writtenAtUs = nowUs;
        } else if (nowUs - writtenAtUs >= ROUND_TRIP_US) {
            connectedAtUs = Math.max(connectedAtUs, writtenAtUs);
            writtenAtUs = nowUs;
        }
    }

    /** The next write begins a check by writing. */
    void beginCheckByWriting() {
        writtenAtUs = NO_WRITE;
    }

    /** Whether the last read has left open what the client sent before it. */
    boolean isInDoubt() {
        return inDoubt;
    }

    /** Whether the client was connected a moment ago. */
    boolean isKnown(long nowUs) {
        return nowUs - connectedAtUs <= (inDoubt ? VALID_IN_DOUBT_US : VALID_US);
    }
}
