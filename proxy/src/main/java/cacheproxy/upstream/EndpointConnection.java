package cacheproxy.upstream;

import cacheproxy.common.PrintableText;
import cacheproxy.eventloop.SocketReadiness;
import cacheproxy.logging.Log;
import cacheproxy.memcache.MetaResponse;
import cacheproxy.memcache.MetaResponseDecoder;
import cacheproxy.memcache.ResponseStatus;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * One connection to an endpoint, with the attempts on it in the order in which their responses are expected. Used on
 * the event loop only. Completes every attempt that was added to it exactly once.
 */
public final class EndpointConnection extends SimpleChannelInboundHandler<MetaResponse> {
    /**
     * The longest tolerated pause between two reads of one response; after a longer one the response is treated as
     * truncated or its length as wrong.
     */
    private static final long RESPONSE_STALL_US = 300_000;

    /** How often an attempt looks again whose client may be gone. */
    private static final long IN_DOUBT_RECHECK_US = 10_000;

    /** How long after its encoding a request may begin to be written: it tells the endpoint how much time is left. */
    private static final long MAX_ENCODED_US = 20_000;

    private final EndpointPools pools;
    private final EndpointPool pool;
    private final SocketAddress remoteAddress;
    private final MetaResponseDecoder decoder;
    /** The attempts on this connection, first the one whose response is expected next. */
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();

    private Channel channel;
    private boolean connected;
    private boolean closed;
    /** Takes no further attempt, for example because the late response of an abandoned one would come first. */
    private boolean retired;
    /** A response without an id was received: a duplicate of it would be taken for the next request's response. */
    private boolean idempotentOnly;
    /** The last expected response was received; the connection becomes idle once the current read is complete. */
    private boolean becomingIdle;
    /** The id of the last response, used to detect a duplicate of it. */
    private String lastOpaque;

    private boolean writeScheduled;
    /** The attempt whose request was passed to the channel and is not written yet; null if there is none. */
    private Attempt beingWritten;

    private long beingWrittenSinceUs;

    private Future<?> stallTimer;
    /** Incremented with each cancellation, so that an outdated timer that is already running does nothing. */
    private int stallTimerGeneration;

    private final long connectStartedUs;
    private final long loopLateAtConnectUs;
    private Future<?> connectTimer;

    EndpointConnection(
            EndpointPools pools, EndpointPool pool, SocketAddress remoteAddress, MetaResponseDecoder decoder) {
        this.pools = pools;
        this.pool = pool;
        this.remoteAddress = remoteAddress;
        this.decoder = decoder;
        connectStartedUs = pools.clock.nowUs();
        loopLateAtConnectUs = pools.clock.totalLatenessUs(connectStartedUs);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** The pool that this connection belongs to. */
    public EndpointPool pool() {
        return pool;
    }

    /** The address that the connection was opened to; the endpoint may have another one by now. */
    SocketAddress remoteAddress() {
        return remoteAddress;
    }

    int load() {
        return attempts.size();
    }

    /** Whether only idempotent requests may use this connection. */
    boolean isIdempotentOnly() {
        return idempotentOnly;
    }

    boolean isUsable() {
        return !closed && !retired && (!connected || channel.isActive()) && remoteAddress.equals(pool.address());
    }

    /**
     * Reads everything that has arrived, then returns whether the connection is usable. If the endpoint has closed the
     * connection and that was not read yet, the next request would have to be treated as possibly executed.
     */
    boolean isUsableAfterRead() {
        readArrived();
        return isUsable();
    }

    /** Reads what has arrived but was not read yet. */
    public void readArrived() {
        if (connected && !closed) {
            SocketReadiness.readNow(channel);
        }
    }

    void add(Attempt attempt) {
        attempt.connection(this);
        attempts.add(attempt);
        if (connected) {
            writeNext();
            becomeIdleIfUnused();
        }
    }

    /** An attempt that is dropped before it was written leaves the connection as it was. */
    private void becomeIdleIfUnused() {
        boolean unused = connected && !closed && !becomingIdle && attempts.isEmpty();
        if (unused && retired) {
            close(UpstreamCloseReason.RETIRED);
        } else if (unused && !pool.isIdle(this)) {
            pool.becameIdle(this);
        }
    }

    /**
     * Writes one attempt at a time, because what is passed to the channel can't be taken back: if the endpoint does not
     * read, it could be written after its request was answered or after the endpoint began to drain.
     */
    private void writeNext() {
        drop(attempt -> attempt.request().isAnswered() || isTooLateToRetry(attempt) || !pool.acceptsAttempts());
        for (Attempt next = nextToWrite(); next != null; next = nextToWrite()) {
            ClientState client = next.request().clientState();
            if (client != ClientState.CONNECTED) {
                trace(next, "not begun, its client is " + client + ",");
            }
            if (client == ClientState.BEING_READ || client == ClientState.IN_DOUBT) {
                writeLater(client == ClientState.BEING_READ ? 0 : IN_DOUBT_RECHECK_US);
                return;
            }
            if (client == ClientState.GONE) {
                Attempt gone = next;
                drop(attempt -> attempt == gone);
            } else if (!next.handedToChannel && attempts.contains(next)) { // else changed by a read of the socket
                write(next);
            }
        }
    }

    private void writeLater(long delayUs) {
        if (!writeScheduled) {
            writeScheduled = true;
            pools.clock.schedule(delayUs, () -> {
                writeScheduled = false;
                writeNext();
                becomeIdleIfUnused();
            });
        }
    }

    /** The first attempt that was not passed to the channel; null if there is none or one before it is not written. */
    private Attempt nextToWrite() {
        if (closed) {
            return null;
        }
        if (attempts.size() == 1) { // the ordinary case, without an iterator
            return attempts.peek().handedToChannel ? null : attempts.peek();
        }
        for (Attempt attempt : attempts) {
            if (!attempt.handedToChannel) {
                return attempt;
            }
            if (!attempt.written) {
                return null;
            }
        }
        return null;
    }

    /**
     * The router allows the connect timeout between its decision and the last byte of a retry, its own or a client's.
     * Written later, a request with an idempotency key could arrive after the endpoint's deduplication window.
     */
    private boolean isTooLateToRetry(Attempt attempt) {
        return mayRepeat(attempt) && pools.clock.nowUs() - attempt.startedUs() > pools.maxConnectUs;
    }

    private static boolean mayRepeat(Attempt attempt) {
        boolean retry = attempt.number() > 0 || attempt.request().command().isRetry();
        return retry && !attempt.request().isIdempotent();
    }

    /** Whether what was just passed to the channel may be written, or is to be decided again. */
    boolean mayBeginNow() {
        boolean fresh = pools.clock.nowUs() - beingWrittenSinceUs <= MAX_ENCODED_US;
        return beingWritten == null
                || fresh
                        && pool.acceptsAttempts()
                        && beingWritten.request().clientState() == ClientState.CONNECTED
                        && !beingWritten.isCompleted();
    }

    private void write(Attempt attempt) {
        beingWritten = attempt;
        beingWrittenSinceUs = pools.clock.nowUs();
        long remainingUs = attempt.timeoutUs() - (beingWrittenSinceUs - attempt.startedUs());
        attempt.handedToChannel = true;
        ByteBuf bytes = attempt.request().command().encode(channel.alloc(), remainingUs);
        Object message = mayRepeat(attempt) ? new DeadlineWrite(bytes, () -> isTooLateToRetry(attempt)) : bytes;
        channel.writeAndFlush(message).addListener(future -> {
            beingWritten = null;
            attempt.written = future.isSuccess();
            trace(attempt, attempt.written ? "written" : "not written");
            if (future.cause() instanceof CheckedSocketChannel.WithheldException) {
                trace(attempt, "held up, decided again,");
                attempt.handedToChannel = false;
                writeLater(0);
            }
            if (attempt.written && !closed && attempts.size() > 1) {
                pools.clock.schedule(0, this::writeNext); // not while writeNext iterates over the attempts
            }
        });
    }

    private void trace(Attempt attempt, String what) {
        if (pools.log.tracesRequests()) {
            pools.log.line(
                    Log.Topic.REQUESTS,
                    "request " + attempt.request().id() + " attempt " + attempt.number() + " " + what + " to "
                            + pool.name() + " after " + (pools.clock.nowUs() - attempt.startedUs()) + " us");
        }
    }

    /** Completes all attempts that were not passed to the channel yet as not sent: they may be sent elsewhere. */
    void dropUnsent() {
        boolean used = !attempts.isEmpty();
        drop(attempt -> true);
        if (used) {
            becomeIdleIfUnused();
        }
    }

    /** Removes all matching attempts before it completes the first: the listener may call this connection again. */
    private void drop(Predicate<Attempt> condition) {
        List<Attempt> dropped = null;
        for (Iterator<Attempt> i = attempts.iterator(); i.hasNext(); ) {
            Attempt attempt = i.next();
            if (!attempt.handedToChannel && condition.test(attempt)) {
                i.remove();
                dropped = dropped == null ? new ArrayList<>(1) : dropped;
                dropped.add(attempt);
            }
        }
        if (dropped != null) {
            dropped.forEach(attempt -> complete(attempt, AttemptCompletion.NOT_SENT, null));
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connectTimer.cancel(false);
        if (pools.clock.nowUs() - connectStartedUs > pools.maxConnectUs) {
            dropUnsent(); // the event loop stalled: the endpoint may be draining by now
            close(UpstreamCloseReason.CONNECTED_TOO_LATE);
            return;
        }
        connected = true;
        // a hedged request may be served, the client disconnected, or the timeout used up by a stall
        drop(attempt ->
                attempt.request().isAnswered() || pools.clock.nowUs() - attempt.startedUs() > attempt.timeoutUs());
        writeNext();
        becomeIdleIfUnused();
    }

    void startConnectTimer() {
        if (!closed) {
            connectTimer = pools.clock.schedule(pools.connectTimeoutUs, this::connectTimedOut);
        }
    }

    /**
     * Does not count the event loop's lateness. Otherwise, after a long pause, every pending connection would be
     * reported as a connect failure of its endpoint.
     */
    private void connectTimedOut() {
        if (connected || closed) {
            return;
        }
        long nowUs = pools.clock.nowUs();
        long elapsedUs = nowUs - connectStartedUs;
        long waitedUs = elapsedUs - (pools.clock.totalLatenessUs(nowUs) - loopLateAtConnectUs);
        if (waitedUs < pools.connectTimeoutUs && elapsedUs < pools.maxConnectUs) {
            connectTimer = pools.clock.schedule(pools.connectTimeoutUs - waitedUs, this::connectTimedOut);
            return;
        }
        if (waitedUs < pools.connectTimeoutUs) {
            dropUnsent(); // the event loop's lateness used up the time, not the endpoint
        }
        close(UpstreamCloseReason.CONNECT_TIMEOUT);
    }

    void connectCompleted(ChannelFuture future) {
        if (!future.isSuccess()) {
            closed(UpstreamCloseReason.CONNECT_FAILED);
        }
    }

    /**
     * Abandons an attempt that timed out or was cancelled. Returns whether it was possibly executed or may be later. If
     * not, it may be sent elsewhere, so this connection must not write its bytes any more.
     *
     * <p>Closes the connection, by which the endpoint learns of the cancellation, unless other attempts still wait on
     * it and this one was written completely. In that case the connection takes no further attempts, and the late
     * response is read and discarded in its turn; matched to the next attempt, it would give a client another client's
     * value.
     */
    public boolean giveUp(Attempt attempt) {
        attempt.markCompleted();
        if (!attempt.handedToChannel) {
            attempts.remove(attempt);
            if (attempts.isEmpty() && !connected) {
                close(UpstreamCloseReason.ATTEMPT_ABANDONED);
            }
            becomeIdleIfUnused();
            return false;
        }
        retired = true;
        if (attempt.written && attempts.stream().anyMatch(other -> !other.isCompleted())) {
            return true;
        }
        boolean written = attempt.written;
        close(UpstreamCloseReason.ATTEMPT_ABANDONED);
        return written;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, MetaResponse response) {
        cancelStallTimer();
        if (closed) {
            return;
        }
        Attempt attempt = attempts.peek();
        if (attempt == null) {
            close(UpstreamCloseReason.UNEXPECTED_BYTES); // the rest could be taken for the response to the next request
            return;
        }
        if (isDuplicateOfLast(response, attempt)) {
            retired = true; // the expected response may still follow
            return;
        }
        String problem = problemWith(response, attempt);
        if (problem != null) {
            protocolError(problem);
            return;
        }
        AttemptCompletion completion = AttemptCompletion.of(response.status());
        if (response.hasNoOpaque() && idempotentOnly && !pools.hedging && completion != AttemptCompletion.MISS) {
            // the response may belong to an earlier request, so this attempt may still be in flight; the connection is
            // closed first, because a retry would otherwise be a hedged request, which is not allowed here
            attempts.poll();
            close(UpstreamCloseReason.AMBIGUOUS_RESPONSE);
            complete(attempt, completion, response);
            return;
        }
        accept(attempt, completion, response);
    }

    private boolean isDuplicateOfLast(MetaResponse response, Attempt attempt) {
        return !response.hasNoOpaque()
                && response.opaque().equals(lastOpaque)
                && !lastOpaque.equals(attempt.request().command().opaque());
    }

    /** Why the response can't be used for the attempt that expects one; null if it can. */
    private String problemWith(MetaResponse response, Attempt attempt) {
        if (response.status() == ResponseStatus.MALFORMED) {
            return PrintableText.of(response.malformedReason());
        }
        if (!attempt.written || !response.matches(attempt.request().command())) {
            return "response does not match the request";
        }
        if (response.hasNoOpaque() && idempotentOnly && !attempt.request().isIdempotent()) {
            return "response without an id may belong to another request";
        }
        return null;
    }

    private void accept(Attempt attempt, AttemptCompletion completion, MetaResponse response) {
        retired |= completion.reuse() == AttemptCompletion.Reuse.CLOSE;
        idempotentOnly |= completion.reuse() == AttemptCompletion.Reuse.IDEMPOTENT_ONLY;
        attempts.poll();
        lastOpaque = response.opaque();
        becomingIdle = attempts.isEmpty();
        complete(attempt, completion, response);
        if (retired && attempts.stream().allMatch(Attempt::isCompleted)) {
            close(UpstreamCloseReason.RETIRED);
        }
    }

    /**
     * A connection becomes idle only here, at the end of a read. Otherwise surplus bytes behind a response, in the same
     * read, would be taken for the response to the next request, which would then be executed in vain.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean insideResponse = decoder.isInsideMessage();
        if (becomingIdle && !closed) {
            becomingIdle = false;
            if (attempts.isEmpty() && (insideResponse || retired)) {
                close(insideResponse ? UpstreamCloseReason.UNEXPECTED_BYTES : UpstreamCloseReason.RETIRED);
            } else {
                becomeIdleIfUnused();
            }
        }
        cancelStallTimer();
        if (insideResponse && !closed) {
            int generation = stallTimerGeneration;
            // data that arrived while the event loop itself stalled is read first
            stallTimer = pools.clock.schedule(
                    RESPONSE_STALL_US, () -> pools.clock.scheduleAfterRead(() -> responseStalled(generation)));
        }
        ctx.fireChannelReadComplete();
    }

    private void responseStalled(int generation) {
        if (stallTimerGeneration == generation && !closed) {
            protocolError("response stopped before it was complete");
        }
    }

    private void cancelStallTimer() {
        stallTimerGeneration++;
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
    }

    /**
     * Completes the attempt that expects the next response as malformed and closes the connection, since it is no
     * longer certain which request a later response belongs to. The request was possibly executed.
     */
    private void protocolError(String problem) {
        pools.log.line("protocol error from endpoint " + pool.name() + ": " + problem);
        Attempt attempt = attempts.poll();
        if (attempt != null) {
            complete(attempt, AttemptCompletion.MALFORMED, null);
        }
        close(UpstreamCloseReason.PROTOCOL_ERROR);
    }

    /** If this connection is about to become idle, makes it close instead. */
    void closeIfBecomingIdle() {
        retired |= becomingIdle;
    }

    private void complete(Attempt attempt, AttemptCompletion completion, MetaResponse response) {
        if (!attempt.isCompleted()) {
            attempt.markCompleted();
            pools.listener.attemptCompleted(attempt, completion, response);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closed(UpstreamCloseReason.CLOSED_BY_PEER);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!closed && pools.log.tracesRequests()) {
            pools.log.line(Log.Topic.REQUESTS, "connection to " + pool.name() + ": " + cause);
        }
        close(UpstreamCloseReason.ERROR);
    }

    void close(UpstreamCloseReason reason) {
        if (!closed && channel != null) {
            channel.close();
        }
        closed(reason);
    }

    /** Completes the remaining attempts: possibly executed if written, otherwise never executed. */
    private void closed(UpstreamCloseReason reason) {
        if (closed) {
            return;
        }
        closed = true;
        if (pools.log.tracesRequests()) {
            pools.log.line(
                    Log.Topic.REQUESTS,
                    "connection to " + pool.name() + " at " + remoteAddress + " closed, " + attempts.size()
                            + " attempts on it: " + reason.text);
        }
        cancelStallTimer();
        if (connectTimer != null) {
            connectTimer.cancel(false);
        }
        pool.remove(this);
        while (!attempts.isEmpty()) {
            Attempt attempt = attempts.poll();
            complete(attempt, attempt.onConnectionLost(), null);
        }
    }
}
