package cacheproxy.discovery;

import cacheproxy.common.InvalidInputException;
import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.eventloop.EventLoopListeners;
import cacheproxy.logging.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP request to discovery: either a watch, whose response is an endless stream of endpoint lists, or a request
 * for a single list. It connects when it is started and closes its connection itself, on a failure or by
 * {@link #close}. Used on the event loop only.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> implements EndpointListDecoder.Output {
    /** The client that makes the call and is notified of its events. */
    interface Owner {
        /** Whether this call is the current watch. */
        boolean isWatch(DiscoveryCall call);

        /**
         * Handles a list.
         *
         * @throws InvalidInputException where a field is missing or malformed: the list is skipped
         */
        void listReceived(DiscoveryCall call, Map<String, Object> list);

        /**
         * The watch has sent data, all of it was decoded and, unless an agent pushes lists, it includes a list that was
         * accepted: every change that discovery had until now has been received.
         */
        void watchUpToDate();

        /**
         * The call, a watch, has sent a part of a list or one that was skipped: the service has changes that were not
         * received.
         */
        void watchBehind();

        /**
         * The call, a watch, has responded but brings no list, although one is {@link FirstList#REQUIRED_SOON}; its
         * connection is already closed.
         */
        void listMissing(DiscoveryCall call);

        /** The call has ended other than by {@link DiscoveryCall#close}; its connection is already closed. */
        void callFailed(DiscoveryCall call);

        void connectFailed();
    }

    private final Owner owner;
    private final EventLoop eventLoop;
    private final EventLoopClock clock;
    private final CallTimeouts timeouts;
    private final Log log;
    private final int number;
    private final InetSocketAddress service;
    private final boolean watching;
    private final FirstList firstList;
    private final int firstListTimeoutMs;
    private final long startTimeNs;
    private final EndpointListDecoder listDecoder = new EndpointListDecoder(this);
    private long lastReadTimeNs;
    private final ListProgress listProgress = new ListProgress();
    /** The timeout of the list that is being received; null if there is none. */
    private Future<?> listTimeout;

    private int endedListsAtTimerStart;
    /** Whether a list was given up because of its time or its size. */
    private boolean listGivenUp;

    private Channel channel;
    private boolean closed;
    private boolean responded;
    private boolean timedOut;
    private boolean listAccepted;
    /**
     * Why a list was skipped; null if none was. The call fails only at the end of the current read, so that the other
     * lists of that read are still handled: each entry has an endpoint's complete state, and a drain among them may
     * already count as notified.
     */
    private String skipReason;

    /**
     * @param number identifies the call in the log
     * @param watching whether the call is a watch, whose response is not expected to end
     * @param firstList what the response of a watch must begin with
     * @param firstListTimeoutMs how soon a list must begin that is {@link FirstList#REQUIRED_SOON}
     */
    DiscoveryCall(
            Owner owner,
            EventLoop eventLoop,
            EventLoopClock clock,
            CallTimeouts timeouts,
            Log log,
            int number,
            InetSocketAddress service,
            boolean watching,
            FirstList firstList,
            int firstListTimeoutMs) {
        this.owner = owner;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.timeouts = timeouts;
        this.log = log;
        this.number = number;
        this.service = service;
        this.watching = watching;
        this.firstList = firstList;
        this.firstListTimeoutMs = firstListTimeoutMs;
        startTimeNs = nowNs();
        lastReadTimeNs = startTimeNs;
    }

    /** Connects and sends the request for {@code path}. */
    void start(ChannelFactory<? extends Channel> channels, String path) {
        log.line(
                Log.Topic.DISCOVERY,
                "discovery call " + number + ": GET " + path + " at " + NetUtil.toSocketAddressString(service));
        DiscoveryCall call = this;
        new Bootstrap()
                .group(eventLoop)
                .channelFactory(channels)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeouts.connectTimeoutMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        channel = newChannel;
                        newChannel
                                .pipeline()
                                .addLast(
                                        new ReadSilenceHandler(clock, timeouts.firstByteTimeoutMs()),
                                        new HttpClientCodec(),
                                        call);
                    }
                })
                .connect(service)
                .addListener(EventLoopListeners.onLoop(eventLoop, future -> connectCompleted(future, path)));
    }

    private void connectCompleted(ChannelFuture future, String path) {
        if (!future.isSuccess()) {
            owner.connectFailed();
            fail("connection failed");
            return;
        }
        timeouts.connected();
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(service));
        future.channel().writeAndFlush(request);
    }

    int number() {
        return number;
    }

    InetSocketAddress service() {
        return service;
    }

    long startTimeNs() {
        return startTimeNs;
    }

    long elapsedMs() {
        return elapsedMsSince(startTimeNs);
    }

    /** Whether a list was skipped. */
    boolean listWasSkipped() {
        return skipReason != null;
    }

    /** Whether a failed watch had worked before: it responded or timed out, and none of its lists was skipped. */
    boolean hadWorked() {
        return skipReason == null && (responded || timedOut);
    }

    /**
     * Whether the call has shown nothing that is not in the list held: it never responded, or was up to date when it
     * fell silent.
     */
    boolean endedWithoutNews() {
        return !responded || timedOut && !listGivenUp && isUpToDate();
    }

    /** Whether a list was given up because of its time or its size. */
    boolean listWasGivenUp() {
        return listGivenUp;
    }

    void markListAccepted() {
        listAccepted = true;
    }

    /** From here on the call fails if nothing is received for {@link WatchTimeouts#MAX_SILENCE_MS}. */
    void expectHeartbeats() {
        channel.pipeline()
                .replace(ReadSilenceHandler.class, null, new ReadSilenceHandler(clock, WatchTimeouts.MAX_SILENCE_MS));
    }

    /** Ends the call and logs the reason; the owner is not notified. */
    void close(String reason) {
        log.line(Log.Topic.DISCOVERY, "discovery call " + number + " closed: " + reason);
        close();
    }

    /** Ends the call; the owner is not notified. */
    void close() {
        closed = true;
        listDecoder.stop();
        if (channel != null) {
            channel.close();
        }
    }

    private void fail(String reason) {
        if (closed) {
            return;
        }
        close();
        log.line(
                Log.Topic.DISCOVERY,
                "discovery: " + reason + " (call " + number + ", " + elapsedMs() + " ms after its start, silent for "
                        + elapsedMsSince(lastReadTimeNs) + " ms)");
        owner.callFailed(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (closed) {
            return;
        }
        lastReadTimeNs = nowNs();
        if (message.decoderResult().isFailure()) {
            fail("response is not valid HTTP");
            return;
        }
        if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
            fail("answer " + response.status().code());
            return;
        }
        timeouts.responded();
        if (!responded && owner.isWatch(this)) {
            expectHeartbeats();
        }
        if (!responded && firstList == FirstList.REQUIRED_SOON) {
            clock.schedule(firstListTimeoutMs * 1000L, () -> clock.scheduleAfterRead(this::endIfListIsMissing));
        }
        responded = true;
        if (message instanceof HttpContent content) {
            decode(ByteBufUtil.getBytes(content.content()));
            if (!closed && owner.isWatch(this)) {
                reportProgress();
            }
            if (content instanceof LastHttpContent && !closed) {
                responseEnded();
            }
        }
    }

    private void reportProgress() {
        if (isUpToDate()) {
            owner.watchUpToDate();
        } else if (listDecoder.isInsideList() || skipReason != null) {
            owner.watchBehind();
        }
    }

    /** Without this, an agent that sends nothing but empty lines would be waited for without end. */
    private void endIfListIsMissing() {
        if (closed || listAccepted || skipReason != null || listDecoder.isInsideList()) {
            return;
        }
        close("no list has come");
        owner.listMissing(this);
    }

    private void decode(byte[] bytes) {
        boolean withinSizeLimit = listDecoder.decode(bytes);
        if (listTimeout != null && listDecoder.endedLists() != endedListsAtTimerStart) {
            listTimeout.cancel(false);
            listTimeout = null;
        }
        if (!withinSizeLimit) {
            listGivenUp = true;
            fail("endpoint list exceeds the size limit");
        }
        if (!listDecoder.isInsideList() || closed) {
            return;
        }
        if (listTimeout == null) {
            endedListsAtTimerStart = listDecoder.endedLists();
            listProgress.begin(clock.nowUs());
            scheduleListTimeout(endedListsAtTimerStart);
        }
        listProgress.received(listDecoder.entries(), clock.nowUs());
    }

    private void scheduleListTimeout(int endedListsBefore) {
        listTimeout = clock.schedule(
                listProgress.deadlineUs() - clock.nowUs(),
                () -> clock.scheduleAfterRead(() -> failIfListIsLate(endedListsBefore)));
    }

    /** Without this timeout, a list that arrives byte by byte would keep the watch from ever timing out as silent. */
    private void failIfListIsLate(int endedListsBefore) {
        if (listDecoder.endedLists() != endedListsBefore || !listDecoder.isInsideList() || closed) {
            return;
        }
        if (clock.nowUs() < listProgress.deadlineUs()) {
            scheduleListTimeout(endedListsBefore);
            return;
        }
        timedOut = true;
        listGivenUp = true;
        fail("endpoint list was not completed in time");
    }

    /** Whether everything that the service has sent is in the list held, and it has sent what was required. */
    boolean isUpToDate() {
        return !listDecoder.isInsideList() && skipReason == null && (listAccepted || firstList == FirstList.IF_CHANGED);
    }

    private void responseEnded() {
        if (listDecoder.isInsideList()) {
            skipReason = EndpointListDecoder.TRUNCATED;
        }
        if (watching) {
            fail("discovery ended the watch");
        } else if (skipReason == null) {
            close();
        }
    }

    @Override
    public void listDecoded(Map<String, Object> list) {
        try {
            owner.listReceived(this, list);
        } catch (InvalidInputException e) {
            listSkipped("endpoint list skipped: " + e.getMessage());
        }
    }

    @Override
    public void listSkipped(String reason) {
        skipReason = reason;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (skipReason != null) {
            fail(skipReason);
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        timedOut = cause instanceof ReadTimeoutException;
        if (timedOut && !responded) {
            timeouts.responseTimedOut();
        }
        fail(cause.getClass().getSimpleName());
    }

    private long nowNs() {
        return eventLoop.ticker().nanoTime();
    }

    private long elapsedMsSince(long sinceNs) {
        return TimeUnit.NANOSECONDS.toMillis(nowNs() - sinceNs);
    }
}
