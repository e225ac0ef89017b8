package cacheproxy.simulator;

import cacheproxy.routing.RoutingActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes the routers' actions as the records of one reply frame; each belongs to the instance last set. */
final class FrameWriter implements RoutingActions {
    static final int SEND_ATTEMPT = 80;
    static final int REJECT = 81;
    static final int FAIL = 82;
    static final int CANCEL_ATTEMPT = 83;
    static final int START_TIMER = 84;
    static final int CHECK_HEALTH = 85;
    static final int CLOSE_IDLE_CONNECTIONS = 86;
    static final int SEND_GOSSIP = 87;
    static final int FETCH_ENDPOINTS = 91;
    static final int LOG_LINE = 88;
    static final int INTERNAL_ERROR = 89;
    static final int SUBSCRIBE = 90;
    static final int HEADER_BYTES = 12;
    private static final int MAX_TEXT_BYTES = 2000;

    private byte[] bytes = new byte[1 << 16];
    private int position = HEADER_BYTES;
    private int recordCount;
    private int instance;

    /** Sets the instance that the following actions belong to. */
    void setInstance(int instanceNumber) {
        instance = instanceNumber;
    }

    /** Writes the whole reply and starts the next one. */
    void flush(int batchNumber, OutputStream out) throws IOException {
        int size = position;
        position = 0;
        put(batchNumber, 4);
        put(recordCount, 4);
        put(size - HEADER_BYTES, 4);
        out.write(bytes, 0, size);
        out.flush();
        position = HEADER_BYTES;
        recordCount = 0;
    }

    private void put(long value, int byteCount) {
        for (int shift = 8 * (byteCount - 1); shift >= 0; shift -= 8) {
            bytes[position++] = (byte) (value >>> shift);
        }
    }

    private void putMillis(long us) {
        put(Double.doubleToRawLongBits(us / 1000.0), 8);
    }

    private void record(int code, int fieldBytes) {
        if (position + fieldBytes + 16 > bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * bytes.length + fieldBytes);
        }
        bytes[position++] = (byte) code;
        put(4 + fieldBytes, 4);
        put(instance, 4);
        recordCount++;
    }

    private void text(int code, String text) {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(utf8.length, MAX_TEXT_BYTES);
        record(code, 2 + length);
        put(length, 2);
        System.arraycopy(utf8, 0, bytes, position, length);
        position += length;
    }

    @Override
    public void sendAttempt(long request, int endpoint, long timeoutUs) {
        record(SEND_ATTEMPT, 20);
        put(request, 8);
        put(endpoint, 4);
        putMillis(timeoutUs);
    }

    @Override
    public void reject(long request, long retryAfterUs) {
        record(REJECT, 16);
        put(request, 8);
        putMillis(retryAfterUs);
    }

    @Override
    public void fail(long request) {
        record(FAIL, 8);
        put(request, 8);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        record(CANCEL_ATTEMPT, 9);
        put(request, 8);
        put(attempt, 1);
    }

    @Override
    public void startTimer(long delayUs, long label) {
        record(START_TIMER, 16);
        putMillis(delayUs);
        put(label, 8);
    }

    @Override
    public void checkHealth(int endpoint) {
        record(CHECK_HEALTH, 4);
        put(endpoint, 4);
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        record(CLOSE_IDLE_CONNECTIONS, 4);
        put(endpoint, 4);
    }

    @Override
    public void subscribeToEndpoints() {
        record(SUBSCRIBE, 1);
        put(1, 1);
    }

    @Override
    public void fetchEndpoints() {
        record(FETCH_ENDPOINTS, 0);
    }

    @Override
    public void sendGossip(int proxy, byte[] data) {
        record(SEND_GOSSIP, 4 + data.length);
        put(proxy, 2);
        put(data.length, 2);
        System.arraycopy(data, 0, bytes, position, data.length);
        position += data.length;
    }

    @Override
    public void log(String line) {
        text(LOG_LINE, line);
    }

    void reportInternalError(String cause) {
        text(INTERNAL_ERROR, cause);
    }
}
