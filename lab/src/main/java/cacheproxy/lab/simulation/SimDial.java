package cacheproxy.lab.simulation;

import cacheproxy.lab.verification.RecordedEvent;
import java.net.InetSocketAddress;

/** A connection being established: SYN, SYN-ACK and their retransmission. */
final class SimDial implements Runnable {
    private static final long FIRST_AGAIN_NS = 1_000_000_000;
    private static final int MOST_TRIES = 7;

    private enum Step {
        ASK,
        ANSWERED,
        REFUSED,
        AGAIN
    }

    private final SimNetwork net;
    private final SimulationScheduler scheduler;
    private final long id;
    private final SimAddress place;
    private final SimSocket near;
    private SimHost acceptor;
    private long againNs = FIRST_AGAIN_NS;
    private int tries;
    private Step next;

    SimDial(SimNetwork net, long id, SimAddress place, SimSocket near) {
        this.net = net;
        this.scheduler = net.scheduler();
        this.id = id;
        this.place = place;
        this.near = near;
    }

    void ask() {
        next = Step.ASK;
        scheduler.after(wayNs(), this);
    }

    private long wayNs() {
        long between = place.host == null ? net.latencyNs() : net.latencyNs(near.host.name, place.host.name);
        return between
                + place.extraNs
                + near.host.extraNs
                + (place.host == null ? 0 : place.host.extraNs)
                + net.jitter();
    }

    private long heldUntil() {
        if (place.host != null
                && (next == Step.ASK || next == Step.AGAIN
                        ? near.host.apart(place.host)
                        : place.host.apart(near.host))) {
            return SimNetwork.EVER;
        }
        return Math.max(near.host.heldUntil, Math.max(place.heldUntil, place.host == null ? 0 : place.host.heldUntil));
    }

    @Override
    public void run() {
        if (near.closed()) {
            return; // the dialler gave up, which the peer does not learn
        }
        long held = heldUntil();
        if (next != Step.AGAIN && held > scheduler.now() && held != SimNetwork.EVER) {
            scheduler.at(held, this);
            return;
        }
        switch (next) {
            case ASK -> asked(held);
            case ANSWERED -> answered(held);
            case REFUSED -> {
                if (held == SimNetwork.EVER) {
                    again();
                } else {
                    failed("refused");
                }
            }
            case AGAIN -> ask();
        }
    }

    private void asked(long held) {
        boolean silent = held == SimNetwork.EVER
                || place.host != null && place.host.vanished
                || place.acceptor != null && place.acceptor.full();
        if (silent && !place.refuses) {
            again();
            return;
        }
        acceptor = place.host;
        next = place.refuses || place.acceptor == null ? Step.REFUSED : Step.ANSWERED;
        scheduler.after(wayNs(), this);
    }

    private void again() {
        if (++tries == MOST_TRIES) {
            failed("timed out");
            return;
        }
        next = Step.AGAIN;
        scheduler.after(againNs, this);
        againNs *= 2;
    }

    private void answered(long held) {
        if (held == SimNetwork.EVER) {
            again();
            return;
        }
        SimConnection wire =
                new SimConnection(net, id, near.host, place, acceptor, net.latencyNs(near.host.name, acceptor.name));
        SimSocket far = new SimSocket(net, acceptor, near.remote, near.local);
        wire.near = near;
        wire.far = far;
        near.join(wire, far);
        far.join(wire, near);
        net.keep(wire);
        near.up();
        far.sendOpen();
        near.user().connected(null);
    }

    private void failed(String why) {
        SimSocket.User user = near.user();
        near.close();
        net.record(RecordedEvent.Kind.REFUSED, id, near.host.name, null, why);
        user.connected(why);
    }

    /** The local address: one that no other connection uses. */
    static InetSocketAddress from(InetSocketAddress host, long number) {
        return new InetSocketAddress(host.getAddress(), 1024 + (int) (number % 64_000));
    }
}
