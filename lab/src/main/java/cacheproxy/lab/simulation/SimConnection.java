package cacheproxy.lab.simulation;

/** The state shared by both ends of a simulated connection. */
final class SimConnection {
    final SimNetwork net;
    final long id;
    final SimHost dialler;
    final SimAddress place;
    final SimHost acceptor;
    final long latencyNs;
    long heldUntil;
    SimSocket near;
    SimSocket far;

    SimConnection(SimNetwork net, long id, SimHost dialler, SimAddress place, SimHost acceptor, long latencyNs) {
        this.net = net;
        this.id = id;
        this.dialler = dialler;
        this.place = place;
        this.acceptor = acceptor;
        this.latencyNs = latencyNs;
    }

    /** For packets on the way to this machine. */
    long heldUntil(SimHost to) {
        if ((to == dialler ? acceptor : dialler).apart(to)) {
            return SimNetwork.EVER;
        }
        long hosts = Math.max(dialler.heldUntil, acceptor.heldUntil);
        return Math.max(Math.max(heldUntil, place.heldUntil), hosts);
    }

    /** For packets sent from now on. */
    long wayNs() {
        return latencyNs + place.extraNs + dialler.extraNs + acceptor.extraNs + net.jitter();
    }

    /** Breaks the connection by the network: both ends are reset. */
    void cut() {
        near.cutOff();
        far.cutOff();
    }

    void closedOneEnd() {
        if (near.closed() && far.closed()) {
            net.forget(this);
        }
    }

    /** Breaks the connection after a number of bytes, in both directions together or in one. */
    static final class Cut {
        long left;

        Cut(long left) {
            this.left = left;
        }
    }
}
