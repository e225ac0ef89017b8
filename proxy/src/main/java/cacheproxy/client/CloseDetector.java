package cacheproxy.client;

import cacheproxy.eventloop.SocketReadiness;
import cacheproxy.memcache.MetaProtocolDecoder;
import io.netty.channel.Channel;
import java.util.function.BooleanSupplier;

/**
 * Looks for the close of one client connection while its reading is suspended, by reading ahead as far as memory
 * allows. Where unread bytes are left behind that, {@link ClientPresence} tells whether the client may be gone. Used on
 * the event loop only.
 */
final class CloseDetector {
    /** Interval of the checks for a closed client: nothing may be sent for it 0.1 s after it closes. */
    private static final long CHECK_INTERVAL_US = 50_000;
    /** A suspended connection is read ahead this far, which shows a close behind as many unread bytes. */
    private static final int READ_AHEAD_BYTES = 8 << 10;
    /** A suspended connection is read ahead this far while all of them together hold little. */
    private static final int FAR_READ_AHEAD_BYTES = 256 << 10;

    /** Two turns of the event loop in which what a client sends without a pause does not wait for long. */
    private static final long SHORT_TURNS_US = 10_000;

    private final ClientConnections connections;
    private final MetaProtocolDecoder decoder;
    /** Whether a request is open, or bytes may hold one, for which a close matters. */
    private final BooleanSupplier mayHaveRequest;

    private final ClientPresence presence = new ClientPresence();
    private Channel channel;
    /** Bytes received up to the last read. */
    private long receivedBytes;

    /** Since when the socket is read as soon as it is readable. */
    private long readingSinceUs;

    private long readBegunUs;
    /** Whether some of what the client has sent may have waited in the kernel for long, and the rest may follow. */
    private boolean waitedLong;
    /** What the current read finds arrived after this time. */
    private long arrivedAfterUs;

    private boolean checkScheduled;
    private boolean readingAhead;
    /** Undecoded bytes that were counted for this connection while its reading was suspended. */
    private int countedBytes;

    CloseDetector(ClientConnections connections, MetaProtocolDecoder decoder, BooleanSupplier mayHaveRequest) {
        this.connections = connections;
        this.decoder = decoder;
        this.mayHaveRequest = mayHaveRequest;
    }

    /** The connection was opened on this channel, by a client that may have connected at {@code waitingSinceUs}. */
    void opened(Channel openedChannel, long waitingSinceUs) {
        channel = openedChannel;
        presence.connected(waitingSinceUs);
        arrivedAfterUs = waitingSinceUs;
        readingSinceUs = connections.clock().nowUs();
    }

    /** Reading is no longer suspended. */
    void readingResumed() {
        readingSinceUs = connections.clock().nowUs();
    }

    ClientPresence presence() {
        return presence;
    }

    /**
     * Called before the first bytes of a read are decoded; {@code idle}: all that came before is answered. Returns
     * whether to decode them only after the read, which then goes on until a close would be seen: they may have waited
     * in the kernel for so long that their client may have left behind them.
     */
    boolean readBegins(boolean idle) {
        if (readingAhead) {
            return false;
        }
        long now = connections.clock().nowUs();
        readBegunUs = now;
        long allReadUntilUs = connections.clock().allReadUntilUs(now);
        boolean settled = presence.isSettled(now); // else the bytes may have been sent before those of the last read
        waitedLong = !settled && (waitedLong || now - allReadUntilUs > SHORT_TURNS_US);
        if (settled || idle && !waitedLong) {
            arrivedAfterUs = isReadPromptly(now) ? allReadUntilUs : presence.connectedAtUs();
            presence.connected(arrivedAfterUs);
        }
        boolean known = presence.isKnown(now);
        waitedLong |= !known;
        return !known && SocketReadiness.readToEnd(channel, this::hasRoomToRead);
    }

    /** Whether the socket was read as soon as it was readable, as far as the event loop has got. */
    private boolean isReadPromptly(long now) {
        return channel.config().isAutoRead()
                && readingSinceUs < connections.clock().allReadUntilUs(now);
    }

    /** How long what the last read has found may have waited in the kernel, in microseconds. */
    long mayHaveWaitedUs(long now) {
        return now - arrivedAfterUs;
    }

    /** Called after each read of the socket. */
    void readCompleted() {
        if (!readingAhead) {
            presence.promptReadCompleted(
                    readBegunUs,
                    newlyReceivedBytes(),
                    !SocketReadiness.mayHoldMore(channel),
                    SocketReadiness.foundNothing(channel),
                    connections.clock().nowUs());
        }
    }

    private long newlyReceivedBytes() {
        long before = receivedBytes;
        receivedBytes = decoder.receivedBytes();
        return receivedBytes - before;
    }

    /** Whether the client was connected a moment ago, as far as is known without reading. */
    boolean isClientKnown() {
        long now = connections.clock().nowUs();
        if (!presence.isInDoubt() && isReadPromptly(now)) {
            presence.connected(connections.clock().allReadUntilUs(now));
        }
        return presence.isKnown(now);
    }

    /** Reads ahead if necessary; returns whether the client is connected, false also if that cannot be known. */
    boolean seesClient() {
        if (!isClientKnown()) {
            look();
        }
        return channel.isActive() && isClientKnown();
    }

    private void look() {
        if (!channel.config().isAutoRead()) {
            readAhead();
        } else if (!SocketReadiness.readNow(channel)) {
            readCompleted(); // not every channel reports a read that has found nothing
        }
    }

    /** While reading is suspended and a request is or may be pending, reads a little at times to detect a close. */
    void scheduleCheck() {
        if (checkScheduled || channel.config().isAutoRead() || !mayHaveRequest.getAsBoolean()) {
            return;
        }
        checkScheduled = true;
        connections.clock().schedule(CHECK_INTERVAL_US, () -> {
            checkScheduled = false;
            if (!channel.config().isAutoRead() && mayHaveRequest.getAsBoolean()) {
                readAhead();
            }
            if (channel.isActive()) {
                scheduleCheck();
            }
        });
    }

    /** Reads until the kernel holds nothing more, or as far as the connection may be read ahead. */
    private void readAhead() {
        boolean foundNothing = false;
        readingAhead = true;
        while (!foundNothing && mayReadAhead()) {
            SocketReadiness.readNow(channel);
            foundNothing = SocketReadiness.foundNothing(channel);
        }
        readingAhead = false;
        presence.readAhead(
                newlyReceivedBytes(), foundNothing, connections.clock().nowUs());
        if (mayReadAhead()) {
            channel.read(); // with auto-read off this reads one buffer, once it has arrived
        }
    }

    private boolean mayReadAhead() {
        return channel.isActive() && !channel.config().isAutoRead() && hasRoomToRead();
    }

    /** Whether the connection may hold more undecoded bytes. */
    private boolean hasRoomToRead() {
        int undecoded = decoder.undecodedBytes();
        return undecoded < READ_AHEAD_BYTES || undecoded < Math.min(FAR_READ_AHEAD_BYTES, connections.readAheadLimit());
    }

    /** Counts the undecoded bytes that are held while reading is suspended. */
    void countReadAhead(int bytes) {
        connections.addReadAheadBytes(bytes - countedBytes);
        countedBytes = bytes;
    }
}
