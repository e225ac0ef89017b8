package cacheproxy.lab.simulation;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** What stand-ins run on: a clock, timers and connections, in simulated time or on real loopback sockets. */
public interface Network {
    long nowNs();

    /** Wall clock in ms since the epoch; advances with {@link #nowNs}. */
    long unixMs();

    /** Runs a task on the network's single thread after a delay. */
    void after(long delayNs, Runnable task);

    /** Accepts connections at an address; {@code who} is the stand-in's host name in the record. */
    Listener listen(String who, InetSocketAddress at, Supplier<Link.Handler> handlers);

    void dial(String who, InetSocketAddress to, Link.Handler handler);

    /** Adds a fact to the record. */
    void fact(String who, String what, String detail);
}
