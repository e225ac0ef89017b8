package cacheproxy.lab.simulation;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.MessageSizeEstimator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannelConfig;
import java.util.Map;

/** Socket options; only half close, SO_LINGER and the backlog have an effect in the simulation. */
final class SimChannelConfig extends DefaultChannelConfig implements DuplexChannelConfig {
    private static final int NOT_SET = -1;

    private final Runnable autoReadCleared;
    private boolean allowHalfClosure;
    private boolean noDelay = true;
    private boolean reuse;
    private boolean keepAlive;
    private int linger = NOT_SET;
    private int backlog = 128;
    private int sendBuffer = 1 << 18;
    private int receiveBuffer = 1 << 18;

    SimChannelConfig(
            Channel channel, RecvByteBufAllocator reading, ByteBufAllocator buffers, Runnable autoReadCleared) {
        super(channel, reading); // the allocator learns here how much the channel may read per iteration
        this.autoReadCleared = autoReadCleared;
        setAllocator(buffers);
    }

    @Override
    protected void autoReadCleared() {
        autoReadCleared.run();
    }

    int linger() {
        return linger;
    }

    int backlog() {
        return backlog;
    }

    @Override
    public Map<ChannelOption<?>, Object> getOptions() {
        return getOptions(
                super.getOptions(),
                ChannelOption.ALLOW_HALF_CLOSURE,
                ChannelOption.TCP_NODELAY,
                ChannelOption.SO_LINGER,
                ChannelOption.SO_REUSEADDR,
                ChannelOption.SO_KEEPALIVE,
                ChannelOption.SO_BACKLOG,
                ChannelOption.SO_SNDBUF,
                ChannelOption.SO_RCVBUF);
    }

    @Override
    @SuppressWarnings("unchecked") // each option has the type of its value
    public <T> T getOption(ChannelOption<T> option) {
        Object own = own(option);
        return own == null ? super.getOption(option) : (T) own;
    }

    private Object own(ChannelOption<?> option) {
        if (option == ChannelOption.ALLOW_HALF_CLOSURE) {
            return allowHalfClosure;
        } else if (option == ChannelOption.TCP_NODELAY) {
            return noDelay;
        } else if (option == ChannelOption.SO_LINGER) {
            return linger;
        } else if (option == ChannelOption.SO_REUSEADDR) {
            return reuse;
        } else if (option == ChannelOption.SO_KEEPALIVE) {
            return keepAlive;
        } else if (option == ChannelOption.SO_BACKLOG) {
            return backlog;
        } else if (option == ChannelOption.SO_SNDBUF) {
            return sendBuffer;
        }
        return option == ChannelOption.SO_RCVBUF ? receiveBuffer : null;
    }

    @Override
    public <T> boolean setOption(ChannelOption<T> option, T value) {
        validate(option, value);
        if (option == ChannelOption.ALLOW_HALF_CLOSURE) {
            allowHalfClosure = (Boolean) value;
        } else if (option == ChannelOption.TCP_NODELAY) {
            noDelay = (Boolean) value;
        } else if (option == ChannelOption.SO_LINGER) {
            linger = (Integer) value;
        } else if (option == ChannelOption.SO_REUSEADDR) {
            reuse = (Boolean) value;
        } else if (option == ChannelOption.SO_KEEPALIVE) {
            keepAlive = (Boolean) value;
        } else if (option == ChannelOption.SO_BACKLOG) {
            backlog = (Integer) value;
        } else if (option == ChannelOption.SO_SNDBUF) {
            sendBuffer = (Integer) value;
        } else if (option == ChannelOption.SO_RCVBUF) {
            receiveBuffer = (Integer) value;
        } else {
            return super.setOption(option, value);
        }
        return true;
    }

    @Override
    public boolean isAllowHalfClosure() {
        return allowHalfClosure;
    }

    @Override
    public SimChannelConfig setAllowHalfClosure(boolean allow) {
        allowHalfClosure = allow;
        return this;
    }

    @Override
    @Deprecated
    public SimChannelConfig setMaxMessagesPerRead(int most) {
        super.setMaxMessagesPerRead(most);
        return this;
    }

    @Override
    public SimChannelConfig setWriteSpinCount(int count) {
        super.setWriteSpinCount(count);
        return this;
    }

    @Override
    public SimChannelConfig setAllocator(ByteBufAllocator allocator) {
        super.setAllocator(allocator);
        return this;
    }

    @Override
    public SimChannelConfig setRecvByteBufAllocator(RecvByteBufAllocator allocator) {
        super.setRecvByteBufAllocator(allocator);
        return this;
    }

    @Override
    public SimChannelConfig setAutoRead(boolean autoRead) {
        super.setAutoRead(autoRead);
        return this;
    }

    @Override
    public SimChannelConfig setAutoClose(boolean autoClose) {
        super.setAutoClose(autoClose);
        return this;
    }

    @Override
    public SimChannelConfig setMessageSizeEstimator(MessageSizeEstimator estimator) {
        super.setMessageSizeEstimator(estimator);
        return this;
    }

    @Override
    public SimChannelConfig setWriteBufferWaterMark(WriteBufferWaterMark mark) {
        super.setWriteBufferWaterMark(mark);
        return this;
    }
}
