package cacheproxy.lab.simulation;

import io.netty.channel.ChannelId;

/** Sequential channel ids: Netty's are random, which would make the order of channels in hash tables random too. */
record SimChannelId(long number) implements ChannelId {
    private static final long serialVersionUID = 1L;

    @Override
    public String asShortText() {
        return Long.toString(number);
    }

    @Override
    public String asLongText() {
        return asShortText();
    }

    @Override
    public int compareTo(ChannelId o) {
        return Long.compare(number, ((SimChannelId) o).number);
    }
}
