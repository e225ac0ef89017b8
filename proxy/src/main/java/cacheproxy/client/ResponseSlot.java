package cacheproxy.client;

import io.netty.buffer.ByteBuf;

/** The position of one request's response in the ordered responses of a connection. */
public final class ResponseSlot {
    private ByteBuf response;
    private ClientRequest request;
    /** Bytes of the value of the open request; 0 if there is none. */
    private int valueBytes;
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

    int valueBytes() {
        return valueBytes;
    }

    void request(ClientRequest openRequest, int bytesOfValue) {
        request = openRequest;
        valueBytes = bytesOfValue;
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
        valueBytes = 0;
    }
}
