package cacheproxy.memcache;

import cacheproxy.routing.RoutingRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/**
 * One {@code mg} (read) or {@code ms} (write) command of a client: what the router needs to know of the request, and
 * the bytes to forward to an endpoint. Created by {@link MetaCommandDecoder}, which passes it on once it is complete;
 * immutable from then on.
 */
public final class MetaCommand {
    /** The value of {@link #waitMs} if the command states no wait. */
    public static final int WAIT_NOT_STATED = -1;

    private static final byte[] CRLF = {'\r', '\n'};

    private final boolean write;
    private final String opaque;
    private final int requestClass;
    private final int tenant;
    private final long keyHash;
    private final int waitMs;
    private final double costUs;
    private final double sizeBytes;
    private final boolean retry;
    /** The hash of the idempotency key; 0 if there is none. */
    private final long idempotencyKeyHash;
    /** The line up to the number in its {@code d} field; the whole line if it has no such field. */
    private final String beforeWait;
    /** The rest of the line after the number in its {@code d} field; null if it has no such field. */
    private final String afterWait;

    private byte[] value;

    MetaCommand(MetaCommandParser parsed, boolean write, long keyHash, String beforeWait, String afterWait) {
        this.write = write;
        this.keyHash = keyHash;
        this.beforeWait = beforeWait;
        this.afterWait = afterWait;
        opaque = parsed.opaque;
        requestClass = parsed.requestClass;
        tenant = parsed.tenant;
        waitMs = parsed.waitMs;
        costUs = parsed.costUs;
        sizeBytes = parsed.sizeBytes;
        retry = parsed.retry;
        idempotencyKeyHash = parsed.idempotencyKeyHash();
    }

    /** Sets the value of a write. Called once, by the decoder, before it passes the command on. */
    void value(byte[] bytes) {
        value = bytes;
    }

    public boolean isWrite() {
        return write;
    }

    /** The request's id as sent by the client, with its leading {@code O}. */
    public String opaque() {
        return opaque;
    }

    /** The index of its class in the settings. */
    public int requestClass() {
        return requestClass;
    }

    /** The index of its tenant in the settings. */
    public int tenant() {
        return tenant;
    }

    /**
     * How long the client waits for the response, in milliseconds since it sent the command, or
     * {@link #WAIT_NOT_STATED}. 0 means that the wait is over already.
     */
    public int waitMs() {
        return waitMs;
    }

    /** Whether the client marked it as a retry of an earlier request. */
    public boolean isRetry() {
        return retry;
    }

    /** Whether it has an idempotency key. */
    public boolean hasIdempotencyKey() {
        return idempotencyKeyHash != 0;
    }

    /** The length of the value in bytes; 0 for a read. */
    public int valueBytes() {
        return value == null ? 0 : value.length;
    }

    /** Copies the properties of this request, except its id and deadline, into the router's description of it. */
    public void describe(RoutingRequest request) {
        request.requestClass = requestClass;
        request.tenant = tenant;
        request.key = keyHash;
        request.expectedWorkUs = costUs;
        request.sizeBytes = sizeBytes;
        request.clientRetry = retry;
        request.write = write;
        request.idempotencyKey = idempotencyKeyHash;
        request.withoutIdempotencyKey = idempotencyKeyHash == 0;
    }

    /**
     * Encodes the command for an endpoint, with the proxy's wait in place of the client's. The caller releases the
     * buffer.
     *
     * @param waitUs how long the proxy will wait, in microseconds
     */
    public ByteBuf encode(ByteBufAllocator allocator, long waitUs) {
        String wait = afterWait == null ? "" : Long.toString(Math.max(1, waitUs / 1000)) + afterWait;
        ByteBuf out = allocator.buffer(beforeWait.length() + wait.length() + 4 + valueBytes());
        out.writeCharSequence(beforeWait, StandardCharsets.ISO_8859_1);
        out.writeCharSequence(wait, StandardCharsets.ISO_8859_1);
        out.writeBytes(CRLF);
        if (value != null) {
            out.writeBytes(value).writeBytes(CRLF);
        }
        return out;
    }
}
