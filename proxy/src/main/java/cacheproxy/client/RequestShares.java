package cacheproxy.client;

import cacheproxy.limits.DynamicThreshold;

/**
 * What all client connections hold of the two things that their unanswered requests need: places and memory for values.
 * Decides how much one connection may hold, so that a client that sends little finds room beside any number that send
 * all they can. Used on the event loop only.
 */
final class RequestShares {
    /** A connection may hold as much as 1/n of what is free. */
    private static final int FREE_DIVISOR = 2;
    /** 1/n of everything is kept for connections that hold nothing yet. */
    private static final int RESERVE_DIVISOR = 8;
    /** A connection never has more unanswered requests than this. */
    private static final int MAX_UNANSWERED = 128;

    private final DynamicThreshold requests;
    private final DynamicThreshold valueBytes;
    private long openRequests;
    private long openValueBytes;

    /**
     * @param maxRequests requests that all connections together may have unanswered
     * @param maxValueBytes bytes of values of these requests
     */
    RequestShares(int maxRequests, long maxValueBytes) {
        requests = new DynamicThreshold(maxRequests - maxRequests / RESERVE_DIVISOR, FREE_DIVISOR);
        valueBytes = new DynamicThreshold(maxValueBytes - maxValueBytes / RESERVE_DIVISOR, FREE_DIVISOR);
    }

    /** Whether a connection that holds this much already may have a further request read. */
    boolean hasRoom(int requestsOfConnection, long valueBytesOfConnection) {
        return requestsOfConnection < Math.min(MAX_UNANSWERED, requests.limit(openRequests))
                && valueBytesOfConnection < valueBytes.limit(openValueBytes);
    }

    void addRequests(int change) {
        openRequests += change;
    }

    void addValueBytes(long change) {
        openValueBytes += change;
    }

    /** Unanswered requests of all connections. */
    long openRequests() {
        return openRequests;
    }
}
