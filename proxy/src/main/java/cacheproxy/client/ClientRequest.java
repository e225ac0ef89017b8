package cacheproxy.client;

/** An open request of a client. */
public interface ClientRequest {
    /** Called when the client has closed its connection and the response is no longer needed. */
    void clientClosed();
}
