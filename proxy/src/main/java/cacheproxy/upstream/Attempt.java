package cacheproxy.upstream;

import io.netty.util.concurrent.Future;

/**
 * One attempt to get a request served by an endpoint. It begins with the router's decision and ends with exactly one
 * {@link AttemptCompletion}. Times are in microseconds on the event loop's clock.
 */
public final class Attempt {
    private final UpstreamRequest request;
    private final int number;
    private final long startedUs;
    private final long timeoutUs;
    private final long loopLateAtStartUs;
    /** Whether the last byte was written to the socket: from then on the endpoint may execute the request. */
    boolean written;
    /** Whether the request was passed to the channel, which writes it unless the connection breaks. */
    boolean handedToChannel;

    private boolean completed;
    private EndpointConnection connection;
    private Future<?> timeout;

    /**
     * @param number 0 for the first attempt of the request
     * @param loopLateAtStartUs the event loop's total lateness at the start, as its clock counts it
     */
    public Attempt(UpstreamRequest request, int number, long startedUs, long timeoutUs, long loopLateAtStartUs) {
        this.request = request;
        this.number = number;
        this.startedUs = startedUs;
        this.timeoutUs = timeoutUs;
        this.loopLateAtStartUs = loopLateAtStartUs;
    }

    public UpstreamRequest request() {
        return request;
    }

    public int number() {
        return number;
    }

    public long startedUs() {
        return startedUs;
    }

    /** How long the proxy waits for the response. */
    public long timeoutUs() {
        return timeoutUs;
    }

    public long loopLateAtStartUs() {
        return loopLateAtStartUs;
    }

    public boolean isCompleted() {
        return completed;
    }

    /** The connection that it is sent on; null if it was assigned none. */
    public EndpointConnection connection() {
        return connection;
    }

    void connection(EndpointConnection assignedConnection) {
        connection = assignedConnection;
    }

    /** Sets the timer for the timeout; it is cancelled on completion. */
    public void timeout(Future<?> timer) {
        timeout = timer;
    }

    /** Marks the attempt as completed and cancels its timer. */
    public void complete() {
        completed = true;
        timeout.cancel(false);
    }

    /** Marks the attempt as completed and leaves its timer running. */
    void markCompleted() {
        completed = true;
    }

    /** How the attempt completes if its connection is lost. */
    AttemptCompletion onConnectionLost() {
        return written ? AttemptCompletion.CONNECTION_LOST : AttemptCompletion.NOT_WRITTEN;
    }
}
