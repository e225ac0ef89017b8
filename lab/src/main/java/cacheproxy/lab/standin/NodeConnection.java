package cacheproxy.lab.standin;

import cacheproxy.lab.simulation.Link;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Iterator;

/**
 * One connection of a cache node: receives commands and sends responses in command order, unless a fault says
 * otherwise.
 */
final class NodeConnection implements Link.Handler {
    private static final int LONGEST_LINE = 2048;
    private static final long MOMENT_NS = 1_000_000;

    private final ScriptedNode node;
    private final LineBuffer in = new LineBuffer();
    private final ArrayDeque<NodeJob> jobs = new ArrayDeque<>();
    private Link link;
    private NodeCommand pending;
    /** Whether it is rejected because the node has its maximum number of connections. */
    boolean excess;

    private boolean greeted;
    private boolean leftByPeer;
    private boolean endedHere;
    private boolean closed;
    private boolean dripping;
    private long usedNs;

    NodeConnection(ScriptedNode node) {
        this.node = node;
    }

    @Override
    public void opened(Link opened) {
        link = opened;
        usedNs = node.net.nowNs();
        node.opened(this);
        if (node.peekFault() instanceof NodeFault.Break b && b.when() == NodeFault.When.AT_OPEN) {
            node.takeFault();
            breakOff(b.reset());
        }
        watchIdle();
    }

    /** The peer's host name, if known. */
    String peer() {
        return link.peer();
    }

    @Override
    public void received(Link from, byte[] bytes) {
        node.awake(() -> take(bytes));
    }

    private void take(byte[] bytes) {
        if (closed) {
            return;
        }
        if (endedHere) {
            breakOff(true); // written to a closed connection
            return;
        }
        boolean fresh = in.size() == 0 && pending == null;
        usedNs = node.net.nowNs();
        in.add(bytes);
        if (fresh && node.peekFault() instanceof NodeFault.Break b && b.when() == NodeFault.When.BEFORE_READ) {
            node.takeFault();
            breakOff(b.reset());
            return;
        }
        read();
    }

    private void read() {
        while (!closed && !endedHere && !leftByPeer && jobs.size() < node.model.streams) {
            if (pending == null) {
                String line = in.line();
                if (line == null) {
                    if (in.size() > LONGEST_LINE) {
                        send(LineBuffer.bytes("CLIENT_ERROR line too long\r\n"));
                        end();
                    }
                    return;
                }
                pending = new NodeCommand(line);
            }
            if (pending.length != NodeCommand.NO_VALUE) {
                byte[] block = in.block(pending.length + 2);
                if (block == null) {
                    return;
                }
                if (block[pending.length] != '\r' || block[pending.length + 1] != '\n') {
                    node.malformed(pending.line, "bad data chunk");
                    send(LineBuffer.bytes("CLIENT_ERROR bad data chunk\r\n"));
                    end();
                    return;
                }
                pending.value = Arrays.copyOf(block, pending.length);
            }
            NodeCommand whole = pending;
            pending = null;
            node.begin(this, whole);
        }
    }

    void add(NodeJob job) {
        jobs.add(job);
        if (!greeted) {
            greeted = true;
            job.extraMs = node.model.handshakeMs;
        }
    }

    /** Drops a command that gets no response. */
    void drop(NodeJob job) {
        jobs.remove(job);
        flush();
    }

    /** The peer closed the connection, or abandoned it by closing its sending side. */
    boolean left() {
        return closed || leftByPeer;
    }

    /** Sends all responses that are ready and next in order. */
    void flush() {
        while (!closed && !dripping && !jobs.isEmpty() && jobs.peek().out != null) {
            NodeJob first = jobs.peek();
            if (first.fault instanceof NodeFault.Reorder r && !first.heldEnough) {
                NodeJob second = second();
                if (second == null || second.out == null) {
                    hold(first, r.mostNs());
                    return;
                }
                first.heldEnough = true;
                jobs.remove(second);
                emit(second);
                continue;
            }
            jobs.poll();
            emit(first);
        }
        if (closed) {
            return;
        }
        read();
        if (jobs.isEmpty() && !dripping && (leftByPeer || excess)) {
            end();
        }
    }

    private NodeJob second() {
        Iterator<NodeJob> i = jobs.iterator();
        i.next();
        return i.hasNext() ? i.next() : null;
    }

    private void hold(NodeJob first, long mostNs) {
        if (!first.held) {
            first.held = true;
            node.later(mostNs, () -> {
                first.heldEnough = true;
                flush();
            });
        }
    }

    private void emit(NodeJob job) {
        byte[] out = job.out;
        usedNs = node.net.nowNs();
        if (job.fault instanceof NodeFault.Twice t) {
            twice(out, t.laterNs());
        } else if (job.fault instanceof NodeFault.Busy b && b.laterNs() >= 0) {
            twice(out, b.laterNs());
        } else if (job.fault instanceof NodeFault.Spoil s) {
            send(spoilt(out, s.how(), job.command));
        } else if (job.fault instanceof NodeFault.Drip d) {
            dripping = true;
            drip(out, 0, d);
        } else if (job.fault instanceof NodeFault.Break b && b.when() == NodeFault.When.MID_ANSWER) {
            send(Arrays.copyOf(out, Math.max(1, out.length / 2)));
            breakSoon(b.reset());
        } else if (job.fault instanceof NodeFault.Break b && b.when() == NodeFault.When.AFTER_ANSWER) {
            send(out);
            breakSoon(b.reset());
        } else {
            send(out);
        }
    }

    private void twice(byte[] out, long laterNs) {
        if (laterNs == 0) {
            byte[] both = Arrays.copyOf(out, out.length * 2);
            System.arraycopy(out, 0, both, out.length, out.length);
            send(both);
            return;
        }
        send(out);
        node.later(laterNs, () -> send(out));
    }

    private void drip(byte[] out, int from, NodeFault.Drip d) {
        if (closed) {
            return;
        }
        int to = Math.min(out.length, from + d.bytes());
        send(Arrays.copyOfRange(out, from, to));
        if (to < out.length) {
            node.later(d.everyNs(), () -> drip(out, to, d));
        } else {
            dripping = false;
            flush();
        }
    }

    /** Closes after what was sent has arrived, since a reset would discard it. */
    private void breakSoon(boolean reset) {
        dripping = true; // nothing more is sent
        if (reset) {
            node.later(MOMENT_NS, () -> breakOff(true));
        } else {
            breakOff(false);
        }
    }

    private static byte[] spoilt(byte[] out, NodeFault.How how, NodeCommand command) {
        int lineEnd = 0;
        while (out[lineEnd] != '\r') {
            lineEnd++;
        }
        String line = new String(out, 0, lineEnd, StandardCharsets.ISO_8859_1);
        byte[] rest = Arrays.copyOfRange(out, lineEnd, out.length);
        String id = command.id;
        return switch (how) {
            case GARBAGE -> LineBuffer.bytes("\u00ff\u0007%x? no answer\r\n");
            case WRONG_ID -> joined(LineBuffer.bytes(line.replace(id, id + "0")), rest);
            case NO_ID -> joined(LineBuffer.bytes(line.replace(" " + id, "")), rest);
            case CUT_VALUE -> Arrays.copyOf(out, rest.length > 4 ? lineEnd + 2 + (rest.length - 4) / 2 : lineEnd / 2);
            case LONG_LENGTH -> joined(LineBuffer.bytes(length(line, 7)), rest);
            case SHORT_LENGTH -> joined(LineBuffer.bytes(length(line, -3)), rest);
            case NOISE_BEHIND -> joined(out, LineBuffer.bytes("\u00ff\u0000noise"));
            case STRANGER_BEHIND -> joined(out, LineBuffer.bytes("VA 3 Ostranger\r\nabc\r\n"));
            case WRONG_KIND -> LineBuffer.bytes(command.write() ? "VA 1 " + id + "\r\n1\r\n" : "HD " + id + " c1\r\n");
        };
    }

    private static String length(String line, int more) {
        String[] tokens = line.split(" ");
        if (!tokens[0].equals("VA")) {
            return line;
        }
        tokens[1] = Integer.toString(Math.max(0, Integer.parseInt(tokens[1]) + more));
        return String.join(" ", tokens);
    }

    private static byte[] joined(byte[] a, byte[] b) {
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(a);
        both.writeBytes(b);
        return both.toByteArray();
    }

    private void send(byte[] bytes) {
        if (!closed && !endedHere) {
            link.send(bytes);
        }
    }

    void breakOff(boolean reset) {
        if (closed) {
            return;
        }
        if (reset) {
            link.reset();
            over();
        } else {
            end();
        }
        leave();
    }

    /** Abandons the work of this connection that may be abandoned. */
    private void leave() {
        for (NodeJob job : jobs.toArray(new NodeJob[0])) {
            if (node.leave(job)) {
                jobs.remove(job);
            }
        }
        if (closed) {
            jobs.clear();
        }
    }

    /** Closes the sending side; the connection is finished once both sides are closed. */
    void end() {
        if (closed || endedHere) {
            return;
        }
        endedHere = true;
        link.end();
        if (leftByPeer) {
            over();
        }
    }

    private void over() {
        closed = true;
        node.closed(this);
    }

    private void watchIdle() {
        long idleNs = (long) (node.model.idleMs * 1e6);
        long leftNs = usedNs + idleNs - node.net.nowNs();
        if (closed || endedHere) {
            return;
        }
        if (leftNs <= 0 && jobs.isEmpty()) {
            end();
            return;
        }
        node.later(leftNs > 0 ? leftNs : idleNs, this::watchIdle);
    }

    @Override
    public void ended(Link from) {
        node.awake(() -> {
            if (closed) {
                return;
            }
            leftByPeer = true;
            leave();
            if (endedHere) {
                over();
            } else if (jobs.isEmpty() && !dripping) {
                end();
            }
        });
    }

    @Override
    public void broken(Link from, String why) {
        node.awake(() -> {
            if (!closed) {
                over();
                leave();
            }
        });
    }
}
