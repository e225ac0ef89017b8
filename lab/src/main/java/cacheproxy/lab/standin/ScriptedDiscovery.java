package cacheproxy.lab.standin;

import cacheproxy.lab.simulation.Link;
import cacheproxy.lab.simulation.Listener;
import cacheproxy.lab.simulation.Network;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * The platform's discovery service. Each proxy calls an address of its own, which identifies it, and the driver may
 * inject faults per proxy.
 */
public final class ScriptedDiscovery {
    /** A fault of a call or of a watch event. */
    public enum Fault {
        NONE,
        /** A call gets 503; a watch ends. */
        ERROR,
        RESET,
        /** No response, now and later on this connection. */
        SILENT,
        /** Half of the line, then silence. */
        HALF,
        /** Half of the line, then the connection closes. */
        HALF_AND_END,
        /** A line that is not JSON; the watch continues as if the event had been sent. */
        BAD_JSON,
        /** Valid JSON that is not an endpoint list. */
        NO_LIST,
        /** The full list of an earlier version. */
        BACK,
        /** The correct line, twice. */
        TWICE,
        /** Bytes that are not HTTP. */
        NO_HTTP,
        /** The correct line in pieces of a few bytes. */
        DRIP
    }

    private static final String PATH = "/registry/instances";
    private static final long HEARTBEAT_NS = 2_000_000_000L;
    /** Time after which a due change counts as notified, in ns. */
    private static final long NOTIFICATION_DEADLINE_NS = 6_000_000_000L;

    private static final int MAX_HEADERS = 100;

    /** The state that discovery keeps of a proxy. */
    private static final class ProxyState {
        private final String proxy;
        private final List<ProxyConnection> watches = new ArrayList<>();
        private final ArrayDeque<Fault> nextCalls = new ArrayDeque<>();
        private final ArrayDeque<Fault> nextNotifications = new ArrayDeque<>();
        private Fault always = Fault.NONE;
        private long lateNs;
        /** The last version it was notified of; -1 if none. */
        private long notified = -1;

        private long dueVersion = -1;
        private long lastPollNs;
        private boolean failed;

        private ProxyState(String proxy) {
            this.proxy = proxy;
        }
    }

    private final Network net;
    private final String who;
    private final double pollWithinMs;
    private final Map<String, ProxyState> proxies = new LinkedHashMap<>();
    private final Map<InetSocketAddress, String> addresses = new LinkedHashMap<>();
    private final Map<InetSocketAddress, Listener> listening = new LinkedHashMap<>();
    private final List<ProxyConnection> open = new ArrayList<>();
    private final EndpointHistory endpoints;
    private boolean down;
    private long freeAtNs;

    /** Throughput in list lines per second; 0 for unlimited. */
    public double linesPerS;
    /** Cost of a call in lines, in addition to its list lines. */
    public int callLines = 50;
    /** Maps an entry to what a proxy sees: with zones apart, each has its own address of a node. */
    public BiFunction<String, EndpointEntry, EndpointEntry> seenBy = (proxy, e) -> e;
    /** A call that would wait longer gets 503. */
    double timeoutMs = 2000;

    int calls;
    int watchesBegun;

    public ScriptedDiscovery(
            Network net, String who, double pollWithinMs, long version, Collection<EndpointEntry> entries) {
        this.net = net;
        this.who = who;
        this.pollWithinMs = pollWithinMs;
        endpoints = new EndpointHistory(version, entries);
    }

    /** Listens for the calls of a proxy at an address; may be called several times. Returns the bound address. */
    public InetSocketAddress serve(String proxy, InetSocketAddress at) {
        stateOf(proxy);
        Listener l = listen(proxy, at);
        addresses.put(l.address(), proxy);
        listening.put(l.address(), l);
        return l.address();
    }

    private Listener listen(String proxy, InetSocketAddress at) {
        return net.listen(who, at, () -> new ProxyConnection(stateOf(proxy)));
    }

    private ProxyState stateOf(String proxy) {
        return proxies.computeIfAbsent(proxy, ProxyState::new);
    }

    public long version() {
        return endpoints.version();
    }

    /** The current endpoint list. */
    public List<EndpointEntry> entries() {
        return endpoints.current();
    }

    public int watches(String proxy) {
        return stateOf(proxy).watches.size();
    }

    /** The last version the proxy was notified of; -1 if none. */
    public long told(String proxy) {
        return stateOf(proxy).notified;
    }

    /** Changes entries in one version; DELETED ones are removed. */
    void set(EndpointEntry... changed) {
        endpoints.change(changed);
        long at = endpoints.version();
        for (ProxyState s : proxies.values()) {
            if (s.watches.isEmpty()) {
                reportDueUnlessPolled(s, at, net.nowNs());
            } else {
                reportDue(s, Arrays.asList(changed));
                net.after(s.lateNs, () -> notifyWatches(s));
            }
        }
    }

    /** Changes an entry after a delay. */
    public void setAfter(long ns, EndpointEntry... changed) {
        net.after(ns, () -> set(changed));
    }

    /** Lists a node that has started. */
    public void serving(EndpointEntry e) {
        set(e.state(EndpointEntry.SERVING));
    }

    public void drain(String id) {
        EndpointEntry e = endpoints.find(id);
        if (e != null) {
            set(e.state(EndpointEntry.DRAINING));
        }
    }

    public void remove(String id) {
        EndpointEntry e = endpoints.find(id);
        if (e != null) {
            set(e.state(EndpointEntry.DELETED));
        }
    }

    /** Faults for the proxy's next calls, one each. */
    public void nextCalls(String proxy, Fault... some) {
        stateOf(proxy).nextCalls.addAll(List.of(some));
    }

    /** Faults for its next watch events, one each. */
    public void nextNotifications(String proxy, Fault... some) {
        stateOf(proxy).nextNotifications.addAll(List.of(some));
    }

    /** The fault of all its calls and watch events that have no other. */
    public void always(String proxy, Fault fault) {
        stateOf(proxy).always = fault;
    }

    /** The proxy restarted with a list of this version; -1 if unknown. */
    public void restarted(String proxy, long knownVersion) {
        stateOf(proxy).notified = knownVersion;
        stateOf(proxy).lastPollNs = net.nowNs();
        stateOf(proxy).failed = false;
    }

    /** Delays all bytes written to it. */
    public void late(String proxy, long ns) {
        stateOf(proxy).lateNs = ns;
    }

    /** Silences its watches, which stay open. */
    public void silence(String proxy) {
        for (ProxyConnection c : stateOf(proxy).watches) {
            c.silent = true;
        }
    }

    /** Ends its watches; null for those of all proxies. */
    public void killWatches(String proxy, boolean reset) {
        for (ProxyState s : proxies.values()) {
            if (proxy == null || proxy.equals(s.proxy)) {
                for (ProxyConnection c : new ArrayList<>(s.watches)) {
                    c.finish(reset);
                }
            }
        }
    }

    /** Forgets older versions: whoever asks for changes since one gets the full list. */
    public void forget() {
        endpoints.forgetOlder();
    }

    /** Sends this line to its watch; does not count as a notification. */
    public void say(String proxy, String line) {
        for (ProxyConnection c : stateOf(proxy).watches) {
            c.sendChunk(line);
        }
    }

    /** Goes down, refusing new connections and resetting open ones, or comes back with the current endpoint list. */
    public void down(boolean now) {
        if (down == now) {
            return;
        }
        down = now;
        if (down) {
            refuse(true);
            for (ProxyConnection c : new ArrayList<>(open)) {
                c.finish(true);
            }
        } else {
            refuse(false);
        }
    }

    void refuse(boolean on) {
        if (on) {
            listening.values().forEach(Listener::close);
            listening.clear();
        } else if (listening.isEmpty()) {
            addresses.forEach((at, proxy) -> listening.put(at, listen(proxy, at)));
        }
    }

    private static String format(Iterable<EndpointEntry> entries) {
        StringBuilder text = new StringBuilder();
        for (EndpointEntry e : entries) {
            text.append(text.length() == 0 ? "" : ",")
                    .append(e.id())
                    .append(':')
                    .append(e.state());
        }
        return text.toString();
    }

    private void reportDue(ProxyState s, List<EndpointEntry> entries) {
        s.dueVersion = endpoints.version();
        if (!entries.isEmpty()) {
            net.fact(who, "due", s.proxy + " " + endpoints.version() + " " + format(entries));
        }
    }

    /**
     * A proxy that neither watches nor polls for the stated time, four times as long after a failed call, counts as
     * notified of what was listed that long ago. Reported as due so that the usual 6 s end then.
     */
    private void reportDueUnlessPolled(ProxyState s, long at, long changedNs) {
        long askWithinNs = (long) (pollWithinMs * 1e6) * (s.failed ? 4 : 1);
        long lastPollNs = s.lastPollNs;
        long dueNs = Math.max(changedNs, lastPollNs) + askWithinNs - NOTIFICATION_DEADLINE_NS;
        net.after(Math.max(0, dueNs - net.nowNs()), () -> {
            if (s.dueVersion >= at || s.notified >= at || !endpoints.knows(at)) {
                return;
            }
            if (s.lastPollNs != lastPollNs || !s.watches.isEmpty()) {
                reportDueUnlessPolled(s, at, changedNs); // it has polled since and failed
                return;
            }
            s.dueVersion = at;
            List<EndpointEntry> changes = endpoints.changes(s.notified, at);
            net.fact(who, "due", s.proxy + " " + at + " " + format(changes == null ? endpoints.at(at) : changes));
        });
    }

    private void notifyWatches(ProxyState s) {
        for (ProxyConnection c : new ArrayList<>(s.watches)) {
            if (c.begun && !c.silent && c.version < endpoints.version()) {
                Fault next = s.nextNotifications.poll();
                c.sendEvent(next == null ? s.always : next);
            }
        }
    }

    /** One connection of a proxy: requests, the last of which may be a watch. */
    private final class ProxyConnection implements Link.Handler {
        private final ProxyState proxyState;
        private final LineBuffer in = new LineBuffer();
        private Link link;
        private String request;
        private int headers;
        private boolean busy;
        private boolean watch;
        /** Whether the head of the watch's response was sent. */
        private boolean begun;

        private boolean silent;
        private boolean closed;
        private long version;

        ProxyConnection(ProxyState proxyState) {
            this.proxyState = proxyState;
        }

        @Override
        public void opened(Link opened) {
            link = opened;
            open.add(this);
        }

        @Override
        public void received(Link from, byte[] bytes) {
            if (!closed) {
                in.add(bytes);
                read();
            }
        }

        private void read() {
            while (!closed && !busy && !watch) {
                String line = in.line();
                if (line == null) {
                    return;
                }
                if (!line.isEmpty()) {
                    request = request == null ? line : request;
                    if (++headers > MAX_HEADERS) {
                        finish(true);
                    }
                } else if (request != null) {
                    String whole = request;
                    request = null;
                    headers = 0;
                    onRequest(whole);
                }
            }
        }

        private void onRequest(String get) {
            String[] words = get.split(" ");
            if (words.length != 3 || !words[0].equals("GET") || !words[2].equals("HTTP/1.1")) {
                net.fact(who, "malformed", proxyState.proxy + " " + get);
                send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                finish(false);
                return;
            }
            int mark = words[1].indexOf('?');
            String path = mark < 0 ? words[1] : words[1].substring(0, mark);
            String query = mark < 0 ? "" : words[1].substring(mark + 1);
            if (!path.equals(PATH)) {
                send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            calls++;
            proxyState.lastPollNs = net.nowNs();
            List<String> fields = Arrays.asList(query.split("&"));
            boolean stream = fields.contains("stream=1");
            long index = -1;
            for (String f : fields) {
                if (f.startsWith("index=")) {
                    index = Long.parseLong(f.substring(6));
                }
            }
            onCall(stream, index);
        }

        private void onCall(boolean stream, long index) {
            Fault next = proxyState.nextCalls.poll();
            Fault fault = next == null ? proxyState.always : next;
            proxyState.failed = fault == Fault.ERROR || fault == Fault.RESET;
            long waitNs = queueDelayNs();
            if (waitNs < 0) {
                proxyState.failed = true;
                fault = Fault.ERROR;
                waitNs = (long) (timeoutMs * 1e6);
            }
            if (fault == Fault.RESET) {
                finish(true);
                return;
            }
            if (fault == Fault.ERROR) {
                busy = true;
                net.after(waitNs, () -> {
                    busy = false;
                    send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    read();
                });
                return;
            }
            if (stream) {
                watch = true;
                watchesBegun++;
                version = index;
                proxyState.watches.add(this);
            }
            busy = true;
            List<EndpointEntry> changes = endpoints.changes(stream ? index : proxyState.notified, endpoints.version());
            reportDue(proxyState, changes == null ? entries() : changes);
            Fault now = fault;
            net.after(waitNs + proxyState.lateNs, () -> respond(now));
        }

        /** Delay of the call by those before it and by its own lines, in ns; -1 if too long. */
        private long queueDelayNs() {
            if (linesPerS <= 0) {
                return 0;
            }
            long now = net.nowNs();
            long from = Math.max(now, freeAtNs);
            if (from - now > timeoutMs * 1e6) {
                return -1;
            }
            freeAtNs = from + (long) ((callLines + entries().size()) / linesPerS * 1e9);
            return freeAtNs - now;
        }

        private void respond(Fault fault) {
            if (closed) {
                return;
            }
            busy = false;
            silent |= fault == Fault.SILENT;
            if (silent) {
                return;
            }
            if (fault == Fault.NO_HTTP) {
                send("\u0007\u00ff no http\r\n\r\n");
                return;
            }
            if (!watch) {
                sendList(fault);
                read();
                return;
            }
            send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            begun = true;
            sendEvent(fault);
            sendHeartbeats();
        }

        private void sendList(Fault fault) {
            String body = body(fault, true);
            String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                    + "\r\n\r\n";
            if (fault == Fault.HALF || fault == Fault.HALF_AND_END) {
                send(head + body.substring(0, body.length() / 2));
                silent = true;
                if (fault == Fault.HALF_AND_END) {
                    finish(false);
                }
                return;
            }
            send(head + body);
        }

        /** The list or the changes to send, recorded as a notification if they are sent. */
        private String body(Fault fault, boolean full) {
            if (fault == Fault.BAD_JSON) {
                return "{\"version\":" + endpoints.version() + ",\"full\":true,\"servers\":[{\"id\":]}";
            }
            if (fault == Fault.NO_LIST) {
                return "{\"version\":" + endpoints.version() + ",\"servers\":{}}";
            }
            long to = endpoints.version();
            if (fault == Fault.BACK) {
                to = endpoints.before(to);
            }
            List<EndpointEntry> changes = full || fault == Fault.BACK ? null : endpoints.changes(version, to);
            Collection<EndpointEntry> notified = changes == null ? endpoints.at(to) : changes;
            if (fault != Fault.HALF && fault != Fault.HALF_AND_END) {
                proxyState.notified = to;
                proxyState.failed = false;
                net.fact(
                        who,
                        "told",
                        proxyState.proxy + " " + to + (changes == null ? " full " : " delta ") + format(notified));
            }
            version = to;
            return SiteSettings.list(
                    to,
                    changes == null,
                    notified.stream()
                            .map(e -> seenBy.apply(proxyState.proxy, e))
                            .toList());
        }

        /** Sends a line of the watch. */
        private void sendEvent(Fault fault) {
            if (closed || silent) {
                return;
            }
            switch (fault) {
                case ERROR -> finish(false);
                case RESET, NO_HTTP -> finish(true);
                case SILENT -> silent = true;
                case HALF, HALF_AND_END -> {
                    String line = body(fault, false);
                    String part = line.substring(0, line.length() / 2);
                    send(Integer.toHexString(line.length() + 1) + "\r\n" + part);
                    silent = true;
                    if (fault == Fault.HALF_AND_END) {
                        finish(false);
                    }
                }
                case TWICE -> {
                    String line = body(fault, false);
                    sendChunk(line);
                    sendChunk(line);
                }
                case DRIP -> {
                    String line = body(fault, false) + "\n";
                    sendInPieces(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n", 0);
                }
                default -> sendChunk(body(fault, false));
            }
        }

        private void sendInPieces(String text, int from) {
            if (closed) {
                return;
            }
            int to = Math.min(text.length(), from + 7);
            silent = to < text.length(); // nothing may be sent in between
            link.send(LineBuffer.bytes(text.substring(from, to)));
            if (silent) {
                net.after(1_000_000, () -> sendInPieces(text, to));
            } else {
                notifyWatches(proxyState); // changes that arrived meanwhile
            }
        }

        private void sendChunk(String line) {
            send(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }

        /** Sends an empty line periodically as a heartbeat. */
        private void sendHeartbeats() {
            net.after(HEARTBEAT_NS, () -> {
                if (!closed) {
                    sendChunk("");
                    sendHeartbeats();
                }
            });
        }

        private void send(String text) {
            if (!closed && !silent) {
                link.send(text.getBytes(StandardCharsets.ISO_8859_1));
            }
        }

        private void finish(boolean reset) {
            if (closed) {
                return;
            }
            if (reset) {
                link.reset();
            } else {
                link.end();
            }
            onClosed();
        }

        private void onClosed() {
            closed = true;
            open.remove(this);
            proxyState.watches.remove(this);
        }

        @Override
        public void ended(Link from) {
            finish(false);
        }

        @Override
        public void broken(Link from, String why) {
            if (!closed) {
                onClosed();
            }
        }
    }
}
