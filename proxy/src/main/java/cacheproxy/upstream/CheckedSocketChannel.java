package cacheproxy.upstream;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.BooleanSupplier;

/**
 * A connection that asks right before it writes the first byte of a message whether it may still do so. The process may
 * be held up at any moment, also between the decision to send a message and the system call that writes it.
 */
public final class CheckedSocketChannel extends NioSocketChannel {
    /** Why a message was not written. */
    static final class WithheldException extends Exception {
        private static final long serialVersionUID = 1L;

        private WithheldException() {
            super("withheld before its first byte was written", null, false, false);
        }
    }

    private static final WithheldException WITHHELD = new WithheldException();

    private BooleanSupplier mayBegin = () -> true;

    /** Sets what decides whether a message may begin; one that may not is removed and fails, the connection stays. */
    void mayBegin(BooleanSupplier decision) {
        mayBegin = decision;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer messages) throws Exception {
        boolean begins = messages.current() != null && messages.currentProgress() == 0;
        if (begins && !mayBegin.getAsBoolean()) {
            messages.remove(WITHHELD);
            return;
        }
        super.doWrite(messages);
    }
}
