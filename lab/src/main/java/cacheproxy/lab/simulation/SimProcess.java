package cacheproxy.lab.simulation;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFactory;
import io.netty.channel.PreferHeapByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;

/** A process on a machine of the simulated network as Netty sees it: event loop, sockets, memory. */
public final class SimProcess {
    private final SimNetwork net;
    private final SimHost host;
    private final InetSocketAddress ip;
    private final SimEventLoop loop;
    private final UnpooledByteBufAllocator unpooled = new UnpooledByteBufAllocator(false, true);
    /** Allocates on the heap, for sockets too, so that the memory of a killed process is collected. */
    final ByteBufAllocator alloc = new PreferHeapByteBufAllocator(unpooled);

    private long skewMs;
    private long nextChannel;

    SimProcess(SimNetwork net, SimHost host, InetSocketAddress ip) {
        this.net = net;
        this.host = host;
        this.ip = ip;
        loop = new SimEventLoop(net.scheduler());
    }

    String name() {
        return host.name;
    }

    public SimEventLoop loop() {
        return loop;
    }

    public ChannelFactory<SimChannel> outgoing() {
        return () -> new SimChannel(this);
    }

    public ChannelFactory<SimServerChannel> listening() {
        return () -> new SimServerChannel(this);
    }

    /** Its wall clock, in ms since the epoch. */
    public LongSupplier unixMs() {
        return () -> net.unixMs() + skewMs;
    }

    /** Sets the error of its wall clock, in ms. */
    void skew(long ms) {
        skewMs = ms;
    }

    /** Stalls the process until then; the kernel continues. */
    public void pause(long untilNs) {
        loop.pause(untilNs);
    }

    void kill() {
        net.kill(host.name);
    }

    void vanish() {
        net.vanish(host.name);
    }

    /** Connections that are open now, and the largest number there has been on this machine. */
    int sockets() {
        return host.sockets.size();
    }

    int mostSockets() {
        return host.mostSockets;
    }

    /** Bytes of buffers that its channels allocated and nobody released. */
    long heldBytes() {
        return unpooled.metric().usedHeapMemory() + unpooled.metric().usedDirectMemory();
    }

    SimNetwork net() {
        return net;
    }

    SimHost host() {
        return host;
    }

    InetSocketAddress ip() {
        return ip;
    }

    SimChannelId channelId() {
        return new SimChannelId(nextChannel++);
    }
}
