package cacheproxy.lab.simulation;

import java.net.InetSocketAddress;

/** An address: who listens there, and the faults of the path to it. */
final class SimAddress {
    /** A program that listens on the address. */
    interface Acceptor {
        /** The accept queue is full: the SYN is dropped and retransmitted. */
        boolean full();

        void accept(SimSocket socket);

        /** The listener was closed, or its machine is gone. */
        void gone();
    }

    final InetSocketAddress at;
    SimHost host;
    Acceptor acceptor;
    boolean refuses;
    /** Until then packets in both directions are held back. */
    long heldUntil;

    long extraNs;

    SimAddress(InetSocketAddress at) {
        this.at = at;
    }

    void listen(SimHost who, Acceptor a) {
        host = who;
        acceptor = a;
        who.listening.add(this);
    }

    /** Whether connections are refused. */
    void close() {
        if (acceptor != null) {
            Acceptor a = acceptor;
            acceptor = null;
            host.listening.remove(this);
            a.gone();
        }
    }
}
