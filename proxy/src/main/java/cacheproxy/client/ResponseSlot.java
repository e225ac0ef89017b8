package cacheproxy.client;

import io.netty.buffer.ByteBuf;

/** The position of one request's response in the ordered responses of a connection. */
public final class ResponseSlot {
    private ByteBuf response;
    private ClientRequest request;
    /** A response written after this time is replaced by a failure. */
    private long validUntilUs = Long.MAX_VALUE;

    boolean hasResponse() {
        return response != null;
    }

    ByteBuf response() {
        return response;
    }

    /** The open request whose response is pending; null if there is none. */
    ClientRequest request() {
        return request;
    }

    void request(ClientRequest openRequest) {
        request = openRequest;
    }

    long validUntilUs() {
        return validUntilUs;
    }

    void validUntilUs(long timeUs) {
        validUntilUs = timeUs;
    }

    /** Takes ownership of the buffer. */
    void response(ByteBuf buffer) {
        response = buffer;
        request = null;
    }
}
