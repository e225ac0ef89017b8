package cacheproxy.lab.simulation;

import cacheproxy.lab.verification.RecordedEvent;
import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * One end of a connection in its machine's kernel: what is in flight to it, what has arrived and is unread, and how
 * much more may be sent.
 */
final class SimSocket {
    /** The program that owns the socket; called from the network's events, not from its own loop. */
    interface User {
        /** A connect succeeded or was refused. */
        void connected(String refused);

        /** There is more to read: bytes, the end of the stream or a reset. */
        void readable();

        /** There is room to send again, after {@link #awaitRoom}. */
        void writable();
    }

    private enum Kind {
        DATA,
        END,
        RESET,
        OPEN
    }

    private record Segment(long at, Kind kind, byte[] data, String note) {}

    final SimHost host;
    final InetSocketAddress local;
    final InetSocketAddress remote;
    private final SimNetwork net;
    private final SimulationScheduler scheduler;
    private SimConnection wire;
    private SimSocket peer;
    private User user;

    /** Packets in flight to this end, in order: one that would overtake another arrives with it. */
    private final ArrayDeque<Segment> way = new ArrayDeque<>(4);

    private final Runnable arrival = this::arrive;
    private long arriveAt = SimNetwork.EVER;
    private SimConnection.Cut cut;

    private final ArrayDeque<byte[]> unread = new ArrayDeque<>(4);
    private int firstRead;
    private int unreadBytes;
    private boolean ended;
    private boolean reset;

    /** Bytes sent and not yet read by the peer's program. */
    private int outstanding;

    private boolean wantsRoom;
    private boolean roomTold;
    private boolean endSent;
    private boolean resetSent;
    private boolean up;
    private boolean closed;
    /** Whether a packet was dropped because the machine had vanished. */
    private boolean missed;

    SimSocket(SimNetwork net, SimHost host, InetSocketAddress local, InetSocketAddress remote) {
        this.net = net;
        this.scheduler = net.scheduler();
        this.host = host;
        this.local = local;
        this.remote = remote;
    }

    void join(SimConnection w, SimSocket other) {
        wire = w;
        peer = other;
    }

    /** The peer machine. */
    String peer() {
        return peer == null ? "" : peer.host.name;
    }

    /** Whether its side of the connection is established. */
    void up() {
        up = true;
        host.opened(this);
    }

    boolean isUp() {
        return up;
    }

    void user(User u) {
        user = u;
    }

    User user() {
        return user;
    }

    long id() {
        return wire.id;
    }

    // ---- sending ----

    /** Free space of the send buffer, in bytes. */
    int room() {
        return net.window() - outstanding;
    }

    /** Whether the socket is writable: kernels report this only when a good part of the buffer is free. */
    boolean roomy() {
        return room() >= Math.max(1, net.window() / 3);
    }

    /** Asks for a call once there is room again. */
    void awaitRoom() {
        wantsRoom = true;
    }

    /** Sends at most as many bytes as there is room for, and records them. */
    void write(byte[] data) {
        if (reset) {
            return;
        }
        net.record(RecordedEvent.Kind.SENT, wire.id, host.name, data, null);
        outstanding += data.length;
        peer.send(Kind.DATA, data, null);
    }

    /** Closes the sending side (FIN). */
    void end() {
        if (!endSent && !reset && !resetSent) {
            endSent = true;
            net.record(RecordedEvent.Kind.END_SENT, wire.id, host.name, null, null);
            peer.send(Kind.END, null, null);
        }
    }

    /** Resets the connection; bytes in flight are lost. */
    void reset() {
        if (!resetSent && !reset && up) {
            peer.way.clear();
            sendReset("");
        }
        close();
    }

    private void sendReset(String why) {
        if (!resetSent) {
            resetSent = true;
            net.record(RecordedEvent.Kind.RESET_SENT, wire.id, host.name, null, why);
            peer.send(Kind.RESET, null, why);
        }
    }

    /**
     * Closes the socket. With unread bytes a kernel resets the connection: after the FIN, since Java shuts down the
     * output first. If packets are reordered, the reset may overtake what is in flight, which is lost then.
     */
    void close() {
        if (closed) {
            return;
        }
        if (up && !reset && !resetSent) {
            if (unreadBytes > 0 && net.overtaking()) {
                peer.way.clear();
            } else {
                end();
            }
            if (unreadBytes > 0) {
                sendReset("closed with bytes unread");
            }
        }
        drop();
    }

    /** The program was killed: the kernel still sends what it has. */
    void killed() {
        if (up && !reset) {
            sendReset("killed");
        }
        drop();
    }

    /** The machine vanished. */
    void vanished() {
        drop();
    }

    /** The machine is back without this connection: it answers further packets with a reset. */
    void found() {
        if (missed && !reset) {
            sendReset("unknown");
        }
    }

    private void drop() {
        closed = true;
        unread.clear();
        unreadBytes = 0;
        host.sockets.remove(this);
        user = null;
        if (wire != null) {
            wire.closedOneEnd();
        }
    }

    boolean closed() {
        return closed;
    }

    // ---- on the way ----

    private void send(Kind kind, byte[] data, String note) {
        way.add(new Segment(scheduler.now() + wire.wayNs(), kind, data, note));
        move();
    }

    /** The final ACK of the handshake: the peer's kernel has the connection then. */
    void sendOpen() {
        send(Kind.OPEN, null, null);
    }

    void cutAfter(SimConnection.Cut c) {
        cut = c;
        if (c.left <= 0) {
            wire.cut();
        }
    }

    void cutOff() {
        way.clear();
        if (!reset) {
            way.add(new Segment(scheduler.now(), Kind.RESET, null, "cut"));
            move();
        }
    }

    /** Schedules the next arrival. */
    void move() {
        if (!way.isEmpty()) {
            long when = Math.max(scheduler.now(), Math.max(way.peek().at, wire.heldUntil(host)));
            if (when < arriveAt) { // a path that is closed without an end is checked again when it is opened
                arriveAt = when;
                scheduler.at(when, arrival);
            }
        }
    }

    private void arrive() {
        if (arriveAt != scheduler.now()) {
            return; // superseded by an earlier wake-up
        }
        arriveAt = SimNetwork.EVER;
        while (!way.isEmpty() && way.peek().at <= scheduler.now() && wire.heldUntil(host) <= scheduler.now()) {
            arrived(way.poll());
        }
        move();
    }

    private void arrived(Segment s) {
        if (host.vanished) {
            missed = true;
            return;
        }
        switch (s.kind) {
            case DATA -> data(s.data);
            case END -> arrivedEnd();
            case RESET -> arrivedReset(s.note);
            case OPEN -> opened();
        }
    }

    private void arrivedEnd() {
        if (closed && !endSent) {
            sendReset("closed");
        } else if (!ended && !reset) {
            ended = true;
            net.record(RecordedEvent.Kind.END_ARRIVED, wire.id, host.name, null, null);
            told();
        }
    }

    private void arrivedReset(String why) {
        if (!up) {
            drop(); // no program has it
        } else if (!reset) {
            reset = true;
            net.record(RecordedEvent.Kind.RESET_ARRIVED, wire.id, host.name, null, why);
            told();
        }
    }

    private void opened() {
        SimAddress.Acceptor acceptor = wire.place.acceptor;
        if (acceptor == null || wire.place.host != host) {
            sendReset("nobody listens any more");
            drop();
            return;
        }
        up();
        net.record(RecordedEvent.Kind.OPEN, wire.id, host.name, null, wire.dialler.name);
        acceptor.accept(this);
    }

    private void data(byte[] all) {
        byte[] data = all;
        if (cut != null && cut.left < data.length) {
            data = Arrays.copyOf(data, (int) cut.left);
        }
        if (reset || resetSent) {
            return; // only the kernels' state is left
        }
        if (closed) {
            sendReset("closed");
            return;
        }
        if (data.length > 0) {
            net.record(RecordedEvent.Kind.ARRIVED, wire.id, host.name, data, null);
            unread.add(data);
            unreadBytes += data.length;
        }
        if (cut != null) {
            cut.left -= data.length;
            if (cut.left == 0) {
                wire.cut();
            }
        }
        if (data.length > 0) {
            told();
        }
    }

    private void told() {
        if (!closed && user != null) {
            user.readable();
        }
    }

    // ---- reading ----

    boolean readable() {
        return unreadBytes > 0 || ended || reset;
    }

    boolean ended() {
        return ended;
    }

    boolean wasReset() {
        return reset;
    }

    int unreadBytes() {
        return unreadBytes;
    }

    /** The next segment as it arrived, or null. */
    byte[] take() {
        byte[] first = unread.poll();
        if (first == null) {
            return null;
        }
        if (firstRead > 0) {
            first = Arrays.copyOfRange(first, firstRead, first.length);
            firstRead = 0;
        }
        took(first.length);
        return first;
    }

    /** Reads as much as is available and fits. */
    int read(ByteBuf into, int most) {
        int n = 0;
        while (n < most && !unread.isEmpty()) {
            byte[] first = unread.peek();
            int part = Math.min(most - n, first.length - firstRead);
            into.writeBytes(first, firstRead, part);
            n += part;
            firstRead += part;
            if (firstRead == first.length) {
                unread.poll();
                firstRead = 0;
            }
        }
        took(n);
        return n;
    }

    private void took(int n) {
        unreadBytes -= n;
        peer.outstanding -= n;
        peer.wakeWriter();
    }

    /** Notifies of room one delay later, since the window update is in flight too. */
    private void wakeWriter() {
        if (wantsRoom && !roomTold && !closed && roomy()) {
            roomTold = true;
            scheduler.after(wire.latencyNs, () -> {
                roomTold = false;
                if (!closed && wantsRoom) {
                    wantsRoom = false;
                    user.writable();
                }
            });
        }
    }
}
