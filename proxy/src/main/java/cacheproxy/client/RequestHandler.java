package cacheproxy.client;

import cacheproxy.memcache.MetaCommand;

/** Handles the requests of clients. Called on the event loop. */
public interface RequestHandler {
    /**
     * Called for each request read. Its one response is passed to {@link ClientSession#respond}, now or later.
     *
     * @return the object to notify if the client closes its connection first; null if the request was answered already
     */
    ClientRequest onRequest(ClientSession session, ResponseSlot slot, MetaCommand command);

    /** Called for each {@code mn} no-op (readiness probe); the response is passed to {@link ClientSession#respond}. */
    void onNoOp(ClientSession session, ResponseSlot slot);

    /**
     * The response line for what has no effect and is rejected because the proxy itself is at capacity.
     *
     * @param limit the limit that is exceeded, for the log
     */
    String overloadedLine(String limit);

    /**
     * The response line for a request that the proxy itself has no capacity for: a rejection, or a failure where an
     * earlier request of the client may have been executed.
     *
     * @param limit the limit that is exceeded, for the log
     */
    String capacityLine(MetaCommand command, String limit);

    /** The response line for a request that failed. */
    String failedLine();

    /**
     * Whether the process is about to end: all open requests are being or have been failed, and new ones are rejected.
     */
    boolean isFinishing();
}
