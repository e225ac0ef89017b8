package cacheproxy.client;

import cacheproxy.eventloop.EventLoopClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.function.IntConsumer;

/**
 * The requests of one connection that are not answered yet, each with a slot for its response, and the responses that
 * the client has not taken. Responses are written in the order of the requests. Used on the event loop only.
 */
final class ResponseQueue {
    private static final String LINE_END = "\r\n";

    private final EventLoopClock clock;
    /** The response in place of one that is no longer valid. */
    private final String failedLine;
    /** Called with each change of the bytes of responses that are not written yet. */
    private final IntConsumer unwrittenBytesChanged;

    private final RequestShares shares;
    private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();
    /** Called after each response, or part of one, that was written to the socket. */
    private Runnable written = () -> {};

    /** The end of the last response, which is written later; null if there is none. */
    private ByteBuf heldEnd;

    private Channel channel;
    /** Bytes of the values of open requests. */
    private long openValueBytes;
    /** Bytes of responses that wait for the responses before them. */
    private long waitingBytes;
    /** Bytes of responses that were passed to the channel and that the client has not taken yet. */
    private long unwrittenBytes;
    /** When the client last took a whole response, or was first due to take one. */
    private long takenUs;

    ResponseQueue(EventLoopClock clock, String failedLine, IntConsumer unwrittenBytesChanged, RequestShares shares) {
        this.clock = clock;
        this.failedLine = failedLine;
        this.unwrittenBytesChanged = unwrittenBytesChanged;
        this.shares = shares;
    }

    /** Sets the channel that responses are written to; called before the first one. */
    void channel(Channel channel) {
        this.channel = channel;
    }

    /** Sets what to call after each response, or part of one, that was written to the socket. */
    void onWritten(Runnable task) {
        written = task;
    }

    /** Adds a slot behind all others. */
    ResponseSlot add() {
        ResponseSlot slot = new ResponseSlot();
        slots.add(slot);
        shares.addRequests(1);
        return slot;
    }

    /** Whether the connection's share has room for a further request. */
    boolean mayAdd() {
        return shares.hasRoom(slots.size(), openValueBytes);
    }

    /** The request of a slot is open; {@code request} is null if it was answered at once. */
    void opened(ResponseSlot slot, ClientRequest request, int valueBytes) {
        if (request != null && !slot.hasResponse()) {
            slot.request(request, valueBytes);
            changeValueBytes(valueBytes);
        }
    }

    private void changeValueBytes(int change) {
        openValueBytes += change;
        shares.addValueBytes(change);
    }

    /** Whether all requests are answered completely. */
    boolean isEmpty() {
        return slots.isEmpty() && heldEnd == null;
    }

    /** Whether the end of the last response is still to be written. */
    boolean holdsEnd() {
        return heldEnd != null;
    }

    /** Whether a request is open whose client can still leave. */
    boolean hasOpenRequest() {
        return slots.stream().anyMatch(slot -> slot.request() != null);
    }

    /** Bytes of responses that were passed to the channel and that the client has not taken yet. */
    long unwrittenBytes() {
        return unwrittenBytes;
    }

    /** Bytes of responses that wait for the responses before them. */
    long waitingBytes() {
        return waitingBytes;
    }

    /** Bytes of all responses that are held for the client. */
    long heldBytes() {
        return waitingBytes + unwrittenBytes;
    }

    /** Whether the client has taken none of the responses that were passed to the channel since {@code sinceUs}. */
    boolean takesNothingSince(long sinceUs) {
        return unwrittenBytes > 0 && takenUs <= sinceUs;
    }

    /** Whether a waiting response is longer than the failure that could replace it. */
    boolean hasResponseToFail() {
        return slots.stream().anyMatch(this::isLongerThanFailure);
    }

    private boolean isLongerThanFailure(ResponseSlot slot) {
        return slot.hasResponse() && slot.response().readableBytes() > failedLine.length() + LINE_END.length();
    }

    /** Replaces the waiting responses by failures. */
    void failWaiting() {
        slots.stream().filter(this::isLongerThanFailure).forEach(this::replaceByFailure);
    }

    /** Sets the response of a slot. Takes ownership of the buffer. */
    void respond(ResponseSlot slot, ByteBuf response) {
        changeValueBytes(-slot.valueBytes());
        slot.response(response);
        changeWaiting(response.readableBytes());
    }

    private void changeWaiting(int change) {
        waitingBytes += change;
        unwrittenBytesChanged.accept(change);
    }

    /**
     * Writes, without a flush, all responses that wait for no earlier one; returns whether there were any.
     *
     * @param holdsLastEnd whether to hold the end of the last response, until {@link #writeHeldEnd} or the next one
     */
    boolean writeReady(boolean holdsLastEnd) {
        boolean anyWritten = false;
        while (!slots.isEmpty() && slots.peek().hasResponse()) {
            ResponseSlot slot = slots.poll();
            shares.addRequests(-1);
            if (clock.nowUs() > slot.validUntilUs()) {
                replaceByFailure(slot);
            }
            writeHeldEnd();
            if (holdsLastEnd && slots.isEmpty()) {
                heldEnd = slot.response();
                write(heldEnd.readRetainedSlice(heldEnd.readableBytes() - LINE_END.length()));
            } else {
                write(slot.response());
            }
            anyWritten = true;
        }
        return anyWritten;
    }

    /** Writes, without a flush, the end of a response that was held; returns whether there was one. */
    boolean writeHeldEnd() {
        if (heldEnd == null) {
            return false;
        }
        ByteBuf end = heldEnd;
        heldEnd = null;
        write(end);
        return true;
    }

    private void write(ByteBuf response) {
        int size = response.readableBytes();
        waitingBytes -= size;
        takenUs = unwrittenBytes == 0 ? clock.nowUs() : takenUs;
        unwrittenBytes += size;
        channel.write(response).addListener(future -> {
            unwrittenBytes -= size;
            takenUs = clock.nowUs();
            unwrittenBytesChanged.accept(-size);
            if (future.isSuccess()) {
                written.run();
            }
        });
    }

    private void replaceByFailure(ResponseSlot slot) {
        ByteBuf failed = encoded(failedLine);
        changeWaiting(failed.readableBytes() - slot.response().readableBytes());
        slot.response().release();
        slot.response(failed);
    }

    /** A response line with its line end. */
    static ByteBuf encoded(String line) {
        return Unpooled.copiedBuffer(line + LINE_END, StandardCharsets.ISO_8859_1);
    }

    /** The client has closed the connection: releases all responses and cancels the open requests. */
    void close() {
        if (heldEnd != null) {
            changeWaiting(-heldEnd.readableBytes());
            heldEnd.release();
            heldEnd = null;
        }
        for (ResponseSlot slot : slots) {
            if (slot.hasResponse()) {
                changeWaiting(-slot.response().readableBytes());
                slot.response().release();
            } else if (slot.request() != null) {
                slot.request().clientClosed();
            }
        }
        shares.addValueBytes(-openValueBytes);
        openValueBytes = 0;
        shares.addRequests(-slots.size());
        slots.clear();
    }
}
