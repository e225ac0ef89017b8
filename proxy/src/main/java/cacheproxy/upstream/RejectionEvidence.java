package cacheproxy.upstream;

/**
 * The history of a client connection, used to decide whether a rejection ({@code CLIENT_ERROR}) of one of its requests
 * is the fault of the endpoint or of the client.
 */
public interface RejectionEvidence {
    /** An endpoint served one of the client's requests. */
    void requestServed();

    /** The endpoint of this pool rejected a request; returns whether the endpoint may be the one at fault. */
    boolean requestRejectedBy(EndpointPool pool);
}
