package cacheproxy.lab.simulation;

import java.util.ArrayDeque;
import java.util.Arrays;

/** A stand-in's end of a simulated connection. */
final class SimLink implements Link, SimSocket.User {
    private final SimNetwork net;
    private final Handler handler;
    private SimSocket socket;
    private boolean up;
    private boolean dead;
    private boolean reading = true;
    private boolean ending;
    private boolean endTold;
    /** Bytes not yet taken by the send buffer. */
    private ArrayDeque<byte[]> waiting;

    SimLink(SimNetwork net, Handler handler) {
        this.net = net;
        this.handler = handler;
    }

    void dialling(SimSocket s) {
        socket = s;
    }

    void accepted(SimSocket s) {
        socket = s;
        s.user(this);
        up = true;
        handler.opened(this);
    }

    void dialTimedOut() {
        if (!up && !dead && !socket.closed()) {
            dead = true;
            socket.close();
            handler.broken(null, "timed out");
        }
    }

    @Override
    public void connected(String refused) {
        if (refused != null) {
            dead = true;
            handler.broken(null, refused);
            return;
        }
        up = true;
        handler.opened(this);
    }

    @Override
    public String peer() {
        return socket.peer();
    }

    @Override
    public long id() {
        return socket.id();
    }

    @Override
    public void send(byte[] bytes) {
        if (!open() || ending || bytes.length == 0) {
            return;
        }
        if (waiting == null || waiting.isEmpty()) {
            int room = Math.max(0, socket.room());
            if (bytes.length <= room) {
                socket.write(bytes.clone());
                return;
            }
            if (room > 0) {
                socket.write(Arrays.copyOf(bytes, room));
            }
            wait(Arrays.copyOfRange(bytes, room, bytes.length));
            socket.awaitRoom();
        } else {
            wait(bytes.clone());
        }
    }

    private void wait(byte[] bytes) {
        if (waiting == null) {
            waiting = new ArrayDeque<>();
        }
        waiting.add(bytes);
    }

    @Override
    public void writable() {
        while (!waiting.isEmpty() && !socket.wasReset()) {
            byte[] next = waiting.poll();
            int room = Math.max(0, socket.room());
            if (next.length > room) {
                if (room > 0) {
                    socket.write(Arrays.copyOf(next, room));
                }
                waiting.addFirst(Arrays.copyOfRange(next, room, next.length));
                socket.awaitRoom();
                return;
            }
            socket.write(next);
        }
        if (ending) {
            socket.end();
            closeIfOver();
        }
    }

    @Override
    public void end() {
        if (open() && !ending) {
            ending = true;
            if (waiting == null || waiting.isEmpty()) {
                socket.end();
                closeIfOver();
            }
        }
    }

    /** Whether both sides are closed. */
    private void closeIfOver() {
        if (endTold && ending && (waiting == null || waiting.isEmpty())) {
            dead = true;
            socket.close();
        }
    }

    @Override
    public void reset() {
        if (open()) {
            dead = true;
            socket.reset();
        }
    }

    @Override
    public void reading(boolean on) {
        if (on != reading && socket != null) {
            // for the checker: a response that the client does not read cannot complete in time
            net.fact(socket.host.name, "reading", (on ? "on " : "off ") + id());
        }
        if (on && !reading) {
            net.after(0, this::readable); // not reentrantly from the stand-in
        }
        reading = on;
    }

    @Override
    public boolean open() {
        return up && !dead && !socket.closed();
    }

    @Override
    public void readable() {
        while (reading && open()) {
            byte[] next = socket.take();
            if (next == null) {
                break;
            }
            handler.received(this, next);
        }
        if (!open()) {
            return;
        }
        if (socket.wasReset()) {
            dead = true;
            socket.close();
            handler.broken(this, "reset");
        } else if (reading && socket.ended() && !endTold) {
            endTold = true;
            handler.ended(this);
            closeIfOver();
        }
    }
}
