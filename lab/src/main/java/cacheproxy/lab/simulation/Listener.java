package cacheproxy.lab.simulation;

import java.net.InetSocketAddress;

/** A listening socket; closing it refuses new connections and keeps the established ones. */
public interface Listener extends AutoCloseable {
    /** The bound address, with the port chosen by the network if port 0 was requested. */
    InetSocketAddress address();

    @Override
    void close();
}
