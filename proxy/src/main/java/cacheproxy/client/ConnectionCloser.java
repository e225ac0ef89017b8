package cacheproxy.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/** Closes one client connection, at once or after its last responses, and logs why. Used on the event loop only. */
final class ConnectionCloser {
    /** How long the client is given to close its side after the proxy has closed its own. */
    private static final int LINGER_MS = 500;
    /** A closing connection is cut off if the client reads nothing of its last responses for this long. */
    private static final int SLOW_READER_TIMEOUT_MS = 3_000;

    private final ClientConnections connections;
    private final ResponseQueue responses;
    private Channel channel;
    private boolean outputClosed;

    ConnectionCloser(ClientConnections connections, ResponseQueue responses) {
        this.connections = connections;
        this.responses = responses;
    }

    /** Sets the channel to close; called before the other methods. */
    void channel(Channel channelToClose) {
        channel = channelToClose;
    }

    /** Closes the connection now, even with unanswered requests. */
    void close(ClientCloseReason reason) {
        close(reason.text);
    }

    /** Closes the connection because of an error on it. */
    void closeOnError(Throwable cause) {
        close(ClientCloseReason.ERROR.text + ": " + cause);
    }

    private void close(String reason) {
        if (channel.isOpen()) {
            connections.logClose(channel, reason);
        }
        channel.close();
    }

    /**
     * Closes the output, then the connection when the client has closed its side or has had time to. If bytes were
     * unread at the close, the kernel would send a reset, which may overtake the last response. Returns false if the
     * output is closed already.
     */
    boolean closeOutput() {
        if (outputClosed || !channel.isActive()) {
            return false;
        }
        outputClosed = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(future -> {
            if (future.isSuccess()) {
                ((DuplexChannel) channel).shutdownOutput();
            }
            Runnable close = () -> close(ClientCloseReason.CLOSED_AFTER_LAST_RESPONSE);
            channel.eventLoop().schedule(close, LINGER_MS, TimeUnit.MILLISECONDS);
        });
        return true;
    }

    /** Closes a client that reads nothing of its last responses; a slow link is fine as long as it makes progress. */
    void cutOffSlowReader() {
        cutOffSlowReader(responses.unwrittenBytes());
    }

    private void cutOffSlowReader(long previouslyUnwrittenBytes) {
        if (previouslyUnwrittenBytes > 0) {
            Runnable check = () -> {
                if (responses.unwrittenBytes() < previouslyUnwrittenBytes) {
                    cutOffSlowReader(responses.unwrittenBytes());
                } else {
                    close(ClientCloseReason.READS_TOO_SLOWLY);
                }
            };
            channel.eventLoop().schedule(check, SLOW_READER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }
}
