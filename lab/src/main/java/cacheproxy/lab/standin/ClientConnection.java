package cacheproxy.lab.standin;

import cacheproxy.lab.simulation.Link;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** One connection of a client, with its pending attempts in the order of their responses. */
final class ClientConnection implements Link.Handler {
    private final ScriptedClient client;
    final InetSocketAddress to;
    private final LineBuffer in = new LineBuffer();
    private final ArrayDeque<ClientAttempt> tries = new ArrayDeque<>();
    private Link link;
    private boolean up;
    /** Whether it takes no new requests and closes once nothing is pending. */
    boolean retired;

    private boolean over;
    private int blockLength = -1;
    private String head;
    private long idleSinceNs;

    ClientConnection(ScriptedClient client, InetSocketAddress to) {
        this.client = client;
        this.to = to;
    }

    boolean takes(int pipeline) {
        return !over && !retired && tries.size() < pipeline;
    }

    int waiting() {
        return tries.size();
    }

    void add(ClientAttempt t) {
        tries.add(t);
        t.line = this;
        if (up) {
            write(t);
        }
    }

    private void write(ClientAttempt t) {
        if (!t.over) {
            link.send(client.command(t));
        }
    }

    @Override
    public void opened(Link opened) {
        link = opened;
        up = true;
        if (over) {
            link.end();
            return;
        }
        tries.removeIf(t -> t.over); // not sent, so that no response belongs to them
        for (ClientAttempt t : tries) {
            write(t);
        }
        watchIdle();
    }

    private void watchIdle() {
        idleSinceNs = client.net.nowNs();
        long since = idleSinceNs;
        client.net.after((long) (client.model.idleMs * 1e6), () -> {
            if (!over && tries.isEmpty() && idleSinceNs == since) {
                close(false);
            }
        });
    }

    @Override
    public void received(Link from, byte[] bytes) {
        if (over) {
            return;
        }
        in.add(bytes);
        while (!over && next()) {
            // one response after the other
        }
    }

    /** Whether a line or a block was consumed. */
    private boolean next() {
        if (blockLength >= 0) {
            byte[] block = in.block(blockLength + 2);
            if (block == null) {
                return false;
            }
            blockLength = -1;
            String value = new String(block, StandardCharsets.ISO_8859_1);
            answer(head, value.endsWith("\r\n") ? value.substring(0, value.length() - 2) : null);
            return true;
        }
        String line = in.line();
        if (line == null) {
            return false;
        }
        String[] words = line.split(" ", -1);
        if (words[0].equals("VA") && words.length >= 2 && NodeCommand.number(words[1]) >= 0) {
            blockLength = NodeCommand.number(words[1]);
            head = line;
        } else {
            answer(line, null);
        }
        return true;
    }

    private void answer(String line, String value) {
        ClientAttempt t = tries.poll();
        if (t == null) {
            client.stray(line);
            close(true);
            return;
        }
        String[] words = line.split(" ", -1);
        boolean named = words[0].equals("VA") || words[0].equals("HD");
        if (!named) {
            ended(t, line);
            return;
        }
        boolean write = t.entry.kind.write();
        int at = write ? 1 : 2;
        boolean own = words.length > at && words[at].equals("O" + t.id);
        boolean whole = write
                ? words[0].equals("HD") && words.length > 2 && words[2].startsWith("c")
                : words[0].equals("VA") && value != null;
        if (!own || !whole) {
            client.stray(line);
            client.ended(t, RequestLedger.Result.FAILED, line, 0);
            close(true);
            return;
        }
        client.ended(t, RequestLedger.Result.IN_TIME, line, 0);
        rest();
    }

    private void ended(ClientAttempt t, String line) {
        boolean refused = line.equals("SERVER_ERROR busy") || line.startsWith("SERVER_ERROR busy ");
        int advice = refused && line.length() > 18 ? NodeCommand.number(line.substring(18)) : 0;
        client.ended(
                t, refused ? RequestLedger.Result.REFUSED : RequestLedger.Result.FAILED, line, Math.max(0, advice));
        rest();
    }

    private void rest() {
        if (over) {
            return;
        }
        if (tries.isEmpty()) {
            watchIdle();
        }
        if (retired && tries.stream().allMatch(t -> t.over)) {
            close(false);
        } else {
            client.free();
        }
    }

    /** Abandons an attempt; without other pending ones the connection is closed. */
    void left(boolean reset) {
        retired = true;
        if (tries.stream().allMatch(t -> t.over)) {
            close(reset);
        }
    }

    void close(boolean reset) {
        if (over) {
            return;
        }
        over = true;
        if (link != null) {
            if (reset) {
                link.reset();
            } else {
                link.end();
            }
        }
        client.closed(this);
        fail(RequestLedger.Result.LOST, "closed");
    }

    private void fail(RequestLedger.Result how, String why) {
        while (!tries.isEmpty()) {
            client.ended(tries.poll(), how, why, 0);
        }
    }

    /** The proxy closes: requests that it has not read are sent again on a new connection. */
    @Override
    public void ended(Link from) {
        if (over) {
            return;
        }
        over = true;
        link.end();
        client.closed(this);
        if (blockLength >= 0 || in.size() > 0) {
            client.ended(tries.poll(), RequestLedger.Result.FAILED, "cut", 0);
        }
        while (!tries.isEmpty()) {
            client.crossed(tries.poll());
        }
    }

    @Override
    public void broken(Link from, String why) {
        if (over) {
            return;
        }
        over = true;
        client.closed(this);
        while (!tries.isEmpty()) {
            if (up) {
                client.ended(tries.poll(), RequestLedger.Result.LOST, why, 0);
            } else {
                client.unreachable(tries.poll(), why);
            }
        }
    }
}
