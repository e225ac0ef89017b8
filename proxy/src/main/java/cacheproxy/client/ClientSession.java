package cacheproxy.client;

import cacheproxy.eventloop.SocketReadiness;
import cacheproxy.limits.DeficitRoundRobin;
import cacheproxy.limits.TokenBucket;
import cacheproxy.memcache.MetaCommand;
import cacheproxy.memcache.MetaCommandDecoder;
import cacheproxy.memcache.MetaNoOp;
import cacheproxy.memcache.MetaProtocolDecoder;
import cacheproxy.memcache.ProtocolError;
import cacheproxy.upstream.ClientState;
import cacheproxy.upstream.RejectionEvidence;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;

/**
 * One client connection: its requests in order, each with one response, written in that order. Used on the event loop
 * only.
 *
 * <p>Reading is suspended while the client has too many unanswered requests, does not read its responses, has used up
 * its turn, or has just sent something that cannot be decoded. A suspended connection is still read a little from time
 * to time, because a close or a reset only becomes visible by reading.
 */
public final class ClientSession extends SimpleChannelInboundHandler<Object> implements MetaProtocolDecoder.ReadGate {
    /**
     * Tolerated protocol errors, as a burst and per second; one more closes the connection. Counted only if further
     * input is already waiting when the error is found.
     */
    private static final double PROTOCOL_ERROR_BURST = 6;

    private static final double PROTOCOL_ERRORS_PER_S = 0.5;
    /** Scheduling costs: of a no-op or an error, of a request, and the number of value bytes that cost 1. */
    private static final double NO_OP_COST = 1;

    private static final double REQUEST_COST = 4;
    private static final double VALUE_BYTES_PER_COST = 4 << 10;
    /** How long reading pauses after a protocol error. */
    private static final int PROTOCOL_ERROR_PAUSE_MS = 500;

    /**
     * Exceeds the time between the two writes of a check by the time for which the first one may wait for its flush.
     */
    private static final long HELD_END_DELAY_US = ClientPresence.ROUND_TRIP_US + 5_000;

    private static final long STUCK_US = 100_000;
    /** Nodes may be told 0.15 s more than the client has left; the rest is for the time until they are told. */
    private static final long TOLERATED_WAIT_US = 50_000;

    private final ClientConnections connections;
    private final MetaCommandDecoder decoder;
    private final ResponseQueue responses;
    private final CloseDetector closeDetector;
    private final ConnectionCloser closer;
    private final ClientRejections rejections = new ClientRejections();
    private final DeficitRoundRobin.FlowState flowState = new DeficitRoundRobin.FlowState();
    private final long waitingSinceUs;
    private Channel channel;

    // Kept for ConnectionLimiter; times in microseconds.
    long openedUs;
    long idleSinceUs;
    long commandBegunUs;
    /** Whether the connection was used again after it had been idle. */
    boolean reused;

    // Reading
    private boolean inRead;
    /** Whether the current read is decoded only once it has ended. */
    private boolean decodesAfterRead;
    /** Whether the current read only decodes bytes that were read before. */
    private boolean resumed;
    /** Whether the current read has completed a command. */
    private boolean commandCompleted;

    private boolean established;
    /** Whether the decoder holds bytes that it may not decode yet, and since when; 0 if it holds none. */
    private boolean decodingSuspended;

    private long undecodedSinceUs;
    private boolean resumeScheduled;
    private boolean pausedAfterError;
    /** Whether the value that is being received waits for memory. */
    private boolean valueWaitsForMemory;

    /** The wait for the value that is being received. */
    private final ClientWait valueWait;

    private TokenBucket protocolErrors;
    /** The next request is refused: it is not known whether its client is connected, and no response is due. */
    private boolean refusesNext;

    // Writing
    private boolean flushDue;

    // Closing
    /** Whether further input is ignored: after framing was lost, or after the proxy has closed its output. */
    private boolean ignoresInput;

    private boolean framingLost;
    private boolean rejectsRequests;
    /** Whether to close once all pending requests are answered. */
    private boolean closesAfterResponses;
    /** Whether to close when idle; until then it is still read, since the client may go on using it. */
    private boolean draining;

    private boolean finalReadDone;
    /** All requests are answered, but commands already read are waiting for their turn. */
    private boolean idleCheckDue;

    /** @param waitingSinceUs the time after which the client has connected */
    ClientSession(ClientConnections connections, MetaCommandDecoder decoder, long waitingSinceUs) {
        this.connections = connections;
        this.waitingSinceUs = waitingSinceUs;
        this.decoder = decoder;
        responses = new ResponseQueue(
                connections.clock(),
                connections.handler().failedLine(),
                connections::addUnwrittenResponseBytes,
                connections.shares());
        closeDetector = new CloseDetector(connections, decoder, this::hasOrMayHaveRequest);
        responses.onWritten(
                () -> closeDetector.presence().written(connections.clock().nowUs()));
        closer = new ConnectionCloser(connections, responses);
        valueWait = new ClientWait(connections.clock());
        decoder.gate(this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        responses.channel(channel);
        closer.channel(channel);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        closeDetector.opened(channel, waitingSinceUs);
        connections.limiter().opened(this);
    }

    // ---- decoding in turns ----

    @Override
    public boolean keepsAll() {
        if (!channel.isActive()) {
            return true; // closed: the remaining bytes need no response
        }
        if (!inRead) {
            inRead = true;
            decodesAfterRead = closeDetector.readBegins(responses.isEmpty() && !decodingSuspended);
            connections.beginRead(flowState);
        }
        return decodesAfterRead;
    }

    /**
     * Lets the decoder continue while this connection has a turn and room for responses. One read may hold thousands of
     * commands, which would keep all other connections waiting.
     */
    @Override
    public boolean mayRead() {
        boolean hasCapacity = !pausedAfterError && (refusesNext ? responses.isEmpty() : responses.mayAdd());
        if (hasCapacity && flowState.hasCredit() && (refusesNext || isClientKnown())) {
            return true;
        }
        if (!decodingSuspended) {
            decodingSuspended = true;
            long now = connections.clock().nowUs();
            undecodedSinceUs = undecodedSinceUs == 0 ? now - waitedInKernelUs(now) : undecodedSinceUs;
            updateReading();
        }
        if (hasCapacity) {
            connections.awaitTurn(this, flowState);
        }
        return false;
    }

    /**
     * Whether the client was connected a moment ago, which does not matter once the process ends and sends no request
     * any more.
     */
    private boolean isClientKnown() {
        return closeDetector.isClientKnown() || connections.handler().isFinishing();
    }

    /** Whether an attempt may be sent for a request of this client; reads its socket if a close may be in it. */
    public ClientState clientState() {
        if (isClientKnown()) {
            return ClientState.CONNECTED;
        }
        if (inRead) {
            return ClientState.BEING_READ;
        }
        if (closeDetector.seesClient()) {
            return ClientState.CONNECTED;
        }
        return channel.isActive() ? ClientState.IN_DOUBT : ClientState.GONE;
    }

    /**
     * Continues decoding; called when it is this session's turn. No request is begun for a client that may have left
     * behind unread bytes: it waits until the client was seen to take a response.
     */
    void resumeDecoding() {
        if (!decodingSuspended || !channel.isActive()) {
            return;
        }
        if (!isClientKnown() && !closeDetector.seesClient()) {
            if (!channel.isActive() || resumesOnceSettled() || !responses.isEmpty()) {
                return; // closed, or resumed soon or by the next response that is taken
            }
            refusesNext = true;
        }
        decodingSuspended = false;
        resumeDecoder();
    }

    /** Whether it will soon be known whether the client is connected; then continues decoding. */
    private boolean resumesOnceSettled() {
        long settlesInUs =
                closeDetector.presence().settlesInUs(connections.clock().nowUs());
        boolean settles = settlesInUs > 0 && closeDetector.presence().isSocketEmpty();
        if (settles && !resumeScheduled) {
            resumeScheduled = true;
            connections.clock().schedule(settlesInUs, () -> {
                resumeScheduled = false;
                awaitTurnIfSuspended();
            });
        }
        return settles;
    }

    private void resumeDecoder() {
        inRead = true;
        resumed = true;
        try {
            decoder.resume();
        } catch (Exception e) {
            closer.closeOnError(e);
        } finally {
            resumed = false;
        }
    }

    /** Decodes what has been read without waiting for the end of a pause after a protocol error. */
    void decodeNow() {
        pausedAfterError = false;
        awaitTurnIfSuspended();
        updateReading();
    }

    /** Queues the session for a turn if it has undecoded commands and there is room for their requests. */
    void awaitTurnIfSuspended() {
        if (decodingSuspended && !pausedAfterError && responses.mayAdd()) {
            connections.awaitTurn(this, flowState);
        }
    }

    /**
     * Whether something is stuck in the proxy: a response that was not flushed to the kernel, or commands that have
     * waited for their turn for too long. Called between two reads.
     */
    boolean isStuck(long now) {
        boolean commandsWait =
                decodingSuspended && !pausedAfterError && undecodedSinceUs != 0 && now - undecodedSinceUs > STUCK_US;
        return flushDue || commandsWait && responses.mayAdd();
    }

    /** How long the command being decoded may have waited in the kernel and in the proxy, in microseconds. */
    public long waitedUs(long now) {
        return Math.max(waitedInKernelUs(now), undecodedSinceUs == 0 ? 0 : now - undecodedSinceUs);
    }

    /** Less the tolerated error, since most bytes have come later than the earliest that may have come. */
    private long waitedInKernelUs(long now) {
        return Math.max(0, closeDetector.mayHaveWaitedUs(now) - TOLERATED_WAIT_US);
    }

    // ---- requests ----

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (ignoresInput) {
            return;
        }
        inRead = true;
        valueWait.reset();
        ResponseSlot slot = responses.add();
        commandCompleted = true;
        boolean valid = !(message instanceof ProtocolError);
        if (!established && valid) {
            established = true;
            connections.limiter().established(this);
        }
        connections.limiter().busy(this);
        flowState.charge(cost(message));
        boolean refused = refusesNext;
        refusesNext = false;
        if (rejectsRequests && valid) {
            closesAfterResponses = true;
            respond(slot, capacityLine(message, "client connections"));
        } else if (refused && valid) {
            respond(slot, capacityLine(message, "unread bytes of a client"));
        } else if (message instanceof MetaCommand command) {
            responses.opened(slot, connections.handler().onRequest(this, slot, command), command.valueBytes());
        } else if (message instanceof MetaNoOp) {
            connections.handler().onNoOp(this, slot);
        } else if (message instanceof ProtocolError error) {
            onProtocolError(slot, error);
        }
        updateReading();
    }

    private String capacityLine(Object message, String limit) {
        return message instanceof MetaCommand command
                ? connections.handler().capacityLine(command, limit)
                : connections.handler().overloadedLine(limit);
    }

    private static double cost(Object message) {
        return message instanceof MetaCommand command
                ? REQUEST_COST + command.valueBytes() / VALUE_BYTES_PER_COST
                : NO_OP_COST;
    }

    /**
     * Sends the error line at once, then pauses reading: a client that repeats an error as soon as it is answered would
     * use up the event loop's time. If framing is lost, the connection is closed after the pause.
     */
    private void onProtocolError(ResponseSlot slot, ProtocolError error) {
        long now = connections.clock().nowUs();
        protocolErrors = protocolErrors == null
                ? new TokenBucket(PROTOCOL_ERRORS_PER_S, PROTOCOL_ERROR_BURST, now)
                : protocolErrors;
        if (error.framingLost() || decoder.hasUndecodedBytes() && !protocolErrors.tryConsume(now)) {
            framingLost = true;
            ignoresInput = true;
            closesAfterResponses = true;
        }
        if (!pausedAfterError && !connections.handler().isFinishing()) {
            pausedAfterError = true;
            channel.eventLoop().schedule(() -> endPauseAfterError(now), PROTOCOL_ERROR_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        respond(slot, error.line());
    }

    private void endPauseAfterError(long pauseBegunUs) {
        pausedAfterError = false;
        // input that arrived during the pause has waited in the kernel
        undecodedSinceUs = undecodedSinceUs == 0 ? pauseBegunUs : Math.min(undecodedSinceUs, pauseBegunUs);
        connections.clock().scheduleAfterRead(() -> undecodedSinceUs = decodingSuspended ? undecodedSinceUs : 0);
        awaitTurnIfSuspended();
        updateReading();
    }

    /** Makes the session reject its first request and close, because the proxy has no capacity for it. */
    void rejectRequests() {
        rejectsRequests = true;
    }

    /** Sends an error line after all pending responses, then closes. */
    public void failConnection(String line) {
        ResponseSlot slot = responses.add();
        closesAfterResponses = true;
        ignoresInput = true; // reading goes on, to detect that the client closes
        respond(slot, line);
    }

    /** Fails the command whose end has not come in time; a value given up before has had its response already. */
    void commandTimedOut() {
        if (!decoder.isSkippingBlock()) {
            failConnection("CLIENT_ERROR the command does not end");
            return;
        }
        closesAfterResponses = true;
        ignoresInput = true;
        checkIdle();
    }

    // ---- incoming values ----

    /** How long the client was waited for in the middle of the value that it is sending; 0 if it is sending none. */
    long awaitedForValueUs(long now) {
        return decoder.isReceivingBlock() ? valueWait.totalUs(now) : 0;
    }

    /** Gives up the incoming value to release its memory. The commands behind it are read as usual. */
    void discardValue() {
        boolean discarded = decoder.discardBlock();
        if (discarded && !ignoresInput) { // else the command has failed already
            respond(responses.add(), "CLIENT_ERROR the value comes too slowly");
        }
    }

    @Override
    public boolean awaitBudget() {
        valueWaitsForMemory = true;
        connections.incomingValues().await(this);
        updateReading();
        return true;
    }

    /** Tries again to reserve memory for the value that is being received. */
    void resumeValue() {
        if (!valueWaitsForMemory || !channel.isActive()) {
            return;
        }
        valueWaitsForMemory = false;
        resumeDecoder();
    }

    private void trackValueWait() {
        boolean waits =
                decoder.isReceivingBlock() && !ignoresInput && channel.config().isAutoRead();
        if (waits || valueWait.isWaiting()) {
            valueWait.restart(waits);
        }
    }

    /** What endpoints have made of its requests, for the judgement of a rejection. */
    public RejectionEvidence rejections() {
        return rejections;
    }

    // ---- reading ----

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        inRead = false;
        if (!resumed) {
            closeDetector.readCompleted();
        }
        if (decodesAfterRead) {
            decodesAfterRead = false;
            if (!SocketReadiness.foundClose(channel)) {
                resumeDecoder();
            }
            return; // decoding has called this method
        }
        if (flushDue) {
            flushDue = false;
            channel.flush();
        }
        if (!decodingSuspended) {
            undecodedSinceUs = 0; // only an incomplete command is left, whose remainder has not arrived
        }
        updateReading();
        // while reading is suspended, the proxy itself keeps the rest of a command unread
        boolean readingActive = !ignoresInput && channel.config().isAutoRead();
        connections.limiter().readCompleted(this, readingActive && decoder.isInsideMessage(), commandCompleted);
        commandCompleted = false;
        if (decoder.isReceivingBlock()) {
            connections.incomingValues().valueIncomplete();
        }
        if (idleCheckDue) {
            checkIdle();
        }
    }

    /** Bounds memory: suspends reading from a client that sends endlessly or does not read its responses. */
    private void updateReading() {
        boolean hasCapacity = !closesAfterResponses && responses.mayAdd() && channel.isWritable();
        boolean decodable = !pausedAfterError && !framingLost && !decodingSuspended && !valueWaitsForMemory;
        boolean autoRead = decodable && (ignoresInput || hasCapacity);
        boolean readsAgain = autoRead && !channel.config().isAutoRead();
        channel.config().setAutoRead(autoRead);
        if (readsAgain) {
            closeDetector.readingResumed();
        }
        if (readsAgain && !inRead && !ignoresInput && decoder.isInsideMessage()) {
            connections.limiter().readCompleted(this, true, false); // from now on the client itself is awaited
        }
        trackValueWait();
        closeDetector.countReadAhead(autoRead ? 0 : decoder.undecodedBytes());
        closeDetector.scheduleCheck();
    }

    private boolean hasOrMayHaveRequest() {
        return responses.hasOpenRequest() || !framingLost && (pausedAfterError || decodingSuspended);
    }

    /** Reads what has arrived on the socket but was not read yet. */
    void readArrived() {
        SocketReadiness.readNow(channel);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        updateReading();
    }

    // ---- responses ----

    /** Responds with a line that is replaced by a failure if it is written after {@code validUntilUs}. */
    public void respond(ResponseSlot slot, String line, long validUntilUs) {
        slot.validUntilUs(validUntilUs);
        respond(slot, line);
    }

    public void respond(ResponseSlot slot, String line) {
        respond(slot, ResponseQueue.encoded(line));
    }

    /**
     * Sets the one response of a slot, which is written after those of all earlier slots. A second response is ignored.
     * Takes ownership of the buffer.
     */
    public void respond(ResponseSlot slot, ByteBuf response) {
        if (slot.hasResponse() || !channel.isActive()) {
            response.release();
            return;
        }
        responses.respond(slot, response);
        writeResponses();
        connections.limitUnwrittenResponses();
        if (responses.isEmpty() && channel.isActive()) {
            if (framingLost) {
                channel.eventLoop()
                        .schedule(this::closeAfterLostFraming, PROTOCOL_ERROR_PAUSE_MS, TimeUnit.MILLISECONDS);
            } else {
                checkIdle();
            }
        }
    }

    /**
     * Writes the responses that wait for no earlier one. Where commands wait because it is not known whether the client
     * is connected, the end of the last one follows later: by then a client that has left has reset the connection.
     */
    private void writeResponses() {
        boolean mayBeUnread = decodingSuspended || closeDetector.presence().isInDoubt();
        boolean checksByWriting = !ignoresInput && mayBeUnread && decoder.hasUndecodedBytes() && !isClientKnown();
        if (!responses.writeReady(checksByWriting)) {
            return;
        }
        if (responses.holdsEnd()) {
            closeDetector.presence().beginCheckByWriting();
            connections.clock().schedule(HELD_END_DELAY_US, this::writeHeldEnd);
        }
        if (inRead) {
            flushDue = true; // flush once for all responses of this read
        } else {
            channel.flush();
        }
        awaitTurnIfSuspended();
        updateReading();
    }

    private void writeHeldEnd() {
        if (responses.writeHeldEnd()) {
            channel.flush();
            awaitTurnIfSuspended();
            updateReading();
            if (responses.isEmpty() && channel.isActive()) {
                checkIdle();
            }
        }
    }

    ResponseQueue responses() {
        return responses;
    }

    /** Closes the connection because of the responses that are held for its client, and releases them. */
    void closeForUnwrittenResponses() {
        responses.failWaiting(); // the queue itself is released only after the close
        closer.close(ClientCloseReason.RESPONSES_NOT_READ);
    }

    // ---- closing ----

    boolean isOpen() {
        return channel.isOpen();
    }

    /** Closes the connection once it has no unanswered request; until then it is still read. */
    void drain() {
        draining = true;
        if (responses.isEmpty()) {
            checkIdle();
        }
    }

    /**
     * Called when every request is answered: closes the connection if that is due, otherwise marks it idle. Commands
     * that were read but not decoded yet count as accepted, and are answered first.
     */
    private void checkIdle() {
        idleCheckDue = inRead || decodingSuspended && !ignoresInput;
        if (!responses.isEmpty() || idleCheckDue) {
            return;
        }
        if (draining && !finalReadDone) {
            finalReadDone = true;
            readArrived(); // else a command that has already arrived would go unanswered
            checkIdle();
        } else if (closesAfterResponses || draining && (ignoresInput || !decoder.isInsideMessage())) {
            closeOutput();
        } else if (draining) {
            finalReadDone = false;
            connections.limiter().readCompleted(this, true, false); // starts the timeout for the rest of the command
        } else {
            connections.connectionIdle(this);
        }
    }

    /** Closes the connection now, even with unanswered requests. */
    public void closeImmediately() {
        closer.close(ClientCloseReason.IDLE);
    }

    /**
     * Closes the connection if it is idle; returns false if the client has just sent something. Closing with unread
     * bytes would reset the connection and leave those requests unanswered.
     */
    boolean closeIfIdle() {
        readArrived();
        if (!responses.isEmpty() || decodingSuspended) {
            return false;
        }
        closeImmediately();
        return true;
    }

    private void closeOutput() {
        if (closer.closeOutput()) {
            ignoresInput = true;
            updateReading();
            closer.cutOffSlowReader();
        }
    }

    /** Responses to requests before the lost framing are still delivered, even to a client that reads slowly. */
    private void closeAfterLostFraming() {
        if (!channel.isActive()) {
            return;
        }
        readArrived(); // closing with unread bytes would send a reset
        if (responses.unwrittenBytes() > 0) {
            closeOutput();
        } else {
            closer.close(ClientCloseReason.FRAMING_LOST);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connections.connectionClosed(this);
        closeDetector.countReadAhead(0);
        responses.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closer.closeOnError(cause); // an error on one client connection must not affect others
    }
}
