package cacheproxy.lab.standin;

import cacheproxy.lab.simulation.Network;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleSupplier;

/** Clients of the platform that share one connection pool, and misbehaving clients. */
public final class ScriptedClient {
    final Network net;
    final ClientModel model;
    private final String who;
    private final SiteSettings settings;
    private final RequestLedger ledger;
    private final List<InetSocketAddress> proxies;
    private final Random random;
    /** Ids are unique among clients too. */
    private final String prefix;

    private final List<ClientConnection> lines = new ArrayList<>();
    private final ArrayDeque<ClientAttempt> waiting = new ArrayDeque<>();
    private long ids;
    private boolean stopped;
    int dials;
    /** Requests sent again with the same id, since a connection was closed before the proxy read them. */
    int resent;

    /** Targets of new connections; the driver may change the list at any time. */
    public ScriptedClient(
            Network net,
            String who,
            SiteSettings settings,
            ClientModel model,
            RequestLedger ledger,
            List<InetSocketAddress> proxies,
            long seed) {
        this.net = net;
        this.who = who;
        this.settings = settings;
        this.model = model;
        this.ledger = ledger;
        this.proxies = proxies;
        random = new Random(seed);
        prefix = RandomVariates.hex(RandomVariates.hash(who, 2)).substring(0, 8);
    }

    RequestLedger ledger() {
        return ledger;
    }

    public int connections() {
        return lines.size();
    }

    /** Generates requests at this rate per second, evaluated for each, until the given time. */
    public void arrivals(long untilNs, DoubleSupplier perS) {
        double rate = perS.getAsDouble();
        long gapNs = rate > 0 ? Math.min(RandomVariates.gapNs(random, rate), 100_000_000) : 100_000_000;
        boolean due = rate > 0 && gapNs < 100_000_000; // a longer gap is drawn again, since the process is memoryless
        if (net.nowNs() + gapNs >= untilNs) {
            return;
        }
        net.after(gapNs, () -> {
            if (stopped) {
                return;
            }
            if (due) {
                askAny();
            }
            arrivals(untilNs, perS);
        });
    }

    /** Stops arrivals. */
    public void stop() {
        stopped = true;
    }

    /** Sends one request with class, tenant and key drawn by their shares. */
    public RequestLedger.Entry askAny() {
        SiteSettings.Kind kind = kind();
        String key = !kind.write() && model.scans > 0 && random.nextDouble() < model.scans
                ? RandomVariates.hex(random.nextLong())
                : model.key(random);
        return ask(kind.name(), tenant(), key);
    }

    private SiteSettings.Kind kind() {
        double all = 0;
        for (SiteSettings.Kind k : settings.kinds) {
            all += k.share();
        }
        double at = random.nextDouble() * all;
        for (SiteSettings.Kind k : settings.kinds) {
            at -= k.share();
            if (at < 0) {
                return k;
            }
        }
        return settings.kinds.get(0);
    }

    private String tenant() {
        double all = 0;
        for (SiteSettings.Tenant t : settings.tenants) {
            all += t.share() * t.usage();
        }
        double at = random.nextDouble() * all;
        for (SiteSettings.Tenant t : settings.tenants) {
            at -= t.share() * t.usage();
            if (at < 0) {
                return t.name();
            }
        }
        return settings.tenants.get(0).name();
    }

    /** Sends one request now, with retries. */
    public RequestLedger.Entry ask(String kind, String tenant, String key) {
        RequestLedger.Entry e = ledger.asked(settings.kind(kind), tenant, key, net.nowNs());
        if (e.kind.effect() == SiteSettings.Effect.TOKEN) {
            e.token = RandomVariates.hex(random.nextLong());
        }
        attempt(e, 0);
        return e;
    }

    /** Sends one request that is abandoned after a time by closing its connection, without retries. */
    public RequestLedger.Entry askAndLeave(String kind, String tenant, String key, long afterNs, boolean reset) {
        RequestLedger.Entry e = ask(kind, tenant, key);
        e.counted = false;
        net.after(afterNs, () -> {
            ClientAttempt t = e.current;
            if (t != null) {
                over(t);
                net.fact(who, "gone", t.id);
                e.end(RequestLedger.Result.LOST, net.nowNs());
                leave(t, reset);
            }
        });
        return e;
    }

    private void attempt(RequestLedger.Entry e, int before) {
        long now = net.nowNs();
        long lastNs = e.arrivedNs + (long) (e.kind.deadlineMs() * 1e6);
        long giveUpNs = Math.min(lastNs, now + (long) (e.kind.deadlineMs() * model.tryShare * 1e6));
        ClientAttempt t = new ClientAttempt(e, newId(), before, giveUpNs);
        e.ids.add(t.id);
        e.current = t;
        net.after(giveUpNs - now + (long) (model.patienceMs * 1e6), () -> giveUp(t));
        send(t);
    }

    public String newId() {
        return prefix + RandomVariates.hex(++ids).substring(8);
    }

    private void send(ClientAttempt t) {
        InetSocketAddress to = proxies.isEmpty() ? null : proxies.get(random.nextInt(proxies.size()));
        boolean full = lines.size() >= model.connections;
        ClientConnection line = null;
        for (ClientConnection l : lines) { // the oldest one, idle before busy
            if (l.takes(model.pipeline)
                    && (full || l.to.equals(to))
                    && (line == null || l.waiting() < line.waiting())) {
                line = l;
            }
        }
        if (to != null && !full && (line == null || line.waiting() > 0)) {
            line = dial(to);
        }
        if (line == null) {
            waiting.add(t);
        } else {
            line.add(t);
        }
    }

    private ClientConnection dial(InetSocketAddress to) {
        ClientConnection line = new ClientConnection(this, to);
        lines.add(line);
        dials++;
        net.dial(who, to, line);
        return line;
    }

    /** A connection can take another request. */
    void free() {
        ClientAttempt t = waiting.poll();
        while (t != null && t.over) {
            t = waiting.poll();
        }
        if (t != null) {
            send(t);
        }
    }

    void closed(ClientConnection line) {
        lines.remove(line);
        if (!waiting.isEmpty()) {
            net.after(0, this::free); // it is still being closed
        }
    }

    /** Encodes a request at the time of sending. */
    byte[] command(ClientAttempt t) {
        long waitMs = Math.max(0, (t.giveUpNs - net.nowNs()) / 1_000_000);
        if (t.entry.sentNs < 0) {
            t.entry.sentNs = net.nowNs();
        }
        String token = t.entry.token;
        return LineBuffer.bytes(command(
                t.entry.kind,
                t.entry.key,
                t.id,
                t.entry.tenant,
                waitMs,
                (token == null ? "" : ",k=" + token) + (t.before > 0 && settings.marksRetry ? ",r=1" : "")));
    }

    /** Encodes a command; {@code more} are further fields, each preceded by a comma. */
    public String command(SiteSettings.Kind kind, String key, String id, String tenant, long waitMs, String more) {
        String fields = " Pc=" + kind.name() + ",t=" + tenant + ",d=" + waitMs + more + "\r\n";
        return kind.write()
                ? "ms " + key + " " + model.valueBytes + " O" + id + fields + "v".repeat(model.valueBytes) + "\r\n"
                : "mg " + key + " v O" + id + fields;
    }

    private void over(ClientAttempt t) {
        t.over = true;
        if (t.entry.current == t) {
            t.entry.current = null;
        }
    }

    private void giveUp(ClientAttempt t) {
        if (t.over) {
            return;
        }
        over(t);
        net.fact(who, "gone", t.id);
        leave(t, false);
        failed(t, RequestLedger.Result.LOST, 0, true);
    }

    private void leave(ClientAttempt t, boolean reset) {
        if (t.line == null) {
            waiting.remove(t);
        } else {
            t.line.left(reset);
        }
    }

    /** A response arrived, or never will. */
    void ended(ClientAttempt t, RequestLedger.Result how, String answer, long retryAfterMs) {
        if (t == null || t.over) {
            return;
        }
        over(t);
        t.entry.answer = answer;
        t.entry.retryAfterMs = retryAfterMs;
        if (how.served()) {
            boolean late = net.nowNs() - t.entry.arrivedNs > t.entry.kind.targetMs() * 1e6;
            t.entry.end(late ? RequestLedger.Result.LATE : RequestLedger.Result.IN_TIME, net.nowNs());
        } else {
            failed(t, how, retryAfterMs, how != RequestLedger.Result.REFUSED);
        }
    }

    /** The proxy closed the connection and may not have read the request: sends it again on a new one. */
    void crossed(ClientAttempt t) {
        if (t.over) {
            return;
        }
        if (t.again) {
            ended(t, RequestLedger.Result.LOST, "closed", 0);
            return;
        }
        t.again = true;
        resent++;
        if (proxies.isEmpty()) {
            unreachable(t, "no proxy");
        } else {
            dial(proxies.get(random.nextInt(proxies.size()))).add(t);
        }
    }

    /** No byte was sent: any class may be retried. */
    void unreachable(ClientAttempt t, String why) {
        if (!t.over) {
            over(t);
            t.entry.answer = why;
            failed(t, RequestLedger.Result.LOST, 0, false);
        }
    }

    private void failed(ClientAttempt t, RequestLedger.Result how, long retryAfterMs, boolean mayHaveRun) {
        RequestLedger.Entry e = t.entry;
        long now = net.nowNs();
        long waitNs = (long) (model.backoffMs * (1 << t.before) * (0.5 + random.nextDouble()) * 1e6);
        if (retryAfterMs > 0 && random.nextDouble() < model.honour) {
            waitNs = (long) (Math.min(retryAfterMs, settings.maxRetryAfterMs) * 1e6);
        }
        boolean allowed = !mayHaveRun
                || switch (e.kind.effect()) {
                    case PURE -> true;
                    case TOKEN ->
                        e.kind.group() == IdempotencyMemory.Group.ALL
                                && now + waitNs - (e.sentNs < 0 ? now : e.sentNs) < e.kind.windowMs() * 1e6;
                    case SIDE_EFFECT -> false;
                };
        boolean time = now + waitNs < e.arrivedNs + (long) (e.kind.deadlineMs() * 1e6);
        if (!allowed || !time || t.before >= model.retries || e.result != RequestLedger.Result.OPEN || !e.counted) {
            e.end(how, now);
            return;
        }
        net.after(waitNs, () -> attempt(e, t.before + 1));
    }

    void stray(String line) {
        ledger.unmatchedResponses++;
        net.fact(who, "stray", line);
    }

    /** Resets all its connections, as if its machine died. */
    void die() {
        stopped = true;
        for (ClientConnection l : new ArrayList<>(lines)) {
            l.close(true);
        }
    }

    /** Polls a proxy until it responds and then runs the task. */
    public void greet(InetSocketAddress proxy, Runnable ready) {
        RawConnection raw = raw(proxy);
        raw.send("mn\r\n");
        raw.whenText = () -> {
            if (raw.text().startsWith("MN\r\n")) {
                raw.whenText = () -> {};
                raw.whenOver = () -> {};
                raw.end();
                ready.run();
            }
        };
        raw.whenOver = () -> net.after(50_000_000, () -> greet(proxy, ready));
    }

    /** Opens a misbehaving connection. */
    public RawConnection raw(InetSocketAddress to) {
        RawConnection raw = new RawConnection();
        net.dial(who, to, raw);
        return raw;
    }

    /** Opens idle connections. */
    public List<RawConnection> silent(InetSocketAddress to, int count) {
        List<RawConnection> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(raw(to));
        }
        return all;
    }

    /** Sends an incomplete command. */
    public RawConnection half(InetSocketAddress to, String kind, String tenant, int bytes) {
        RawConnection raw = raw(to);
        String whole = command(settings.kind(kind), model.key(random), newId(), tenant, 500, token(kind));
        raw.send(whole.substring(0, Math.min(bytes, whole.length() - 1)));
        return raw;
    }

    /** Sends many reads on a connection that does not read the responses until told to. */
    public RawConnection flood(InetSocketAddress to, String kind, String tenant, int count, long waitMs) {
        RawConnection raw = raw(to);
        raw.reading(false);
        for (int i = 0; i < count; i++) {
            raw.send(command(settings.kind(kind), model.key(random), newId(), tenant, waitMs, token(kind)));
        }
        return raw;
    }

    /** Sends random bytes. */
    public RawConnection garbage(InetSocketAddress to, int bytes) {
        byte[] some = new byte[bytes];
        random.nextBytes(some);
        RawConnection raw = raw(to);
        raw.send(some);
        return raw;
    }

    /** Sends a malformed command. */
    public RawConnection malformed(InetSocketAddress to, String kind, String tenant, Flaw flaw) {
        RawConnection raw = raw(to);
        String id = newId();
        String good = command(settings.kind(kind), model.key(random), id, tenant, 500, token(kind));
        raw.send(flaw.in(good, id));
        return raw;
    }

    private String token(String kind) {
        return settings.kind(kind).effect() == SiteSettings.Effect.TOKEN
                ? ",k=" + RandomVariates.hex(random.nextLong())
                : "";
    }

    /** What is wrong with a malformed command. */
    public enum Flaw {
        TWO_IDS,
        TWO_FIELD_LISTS,
        TWO_CLASSES,
        TWO_WAITS,
        TWO_TOKENS,
        NO_TOKEN,
        EMPTY_TOKEN,
        NO_ID,
        NO_FIELDS,
        NO_KEY,
        BAD_WAIT,
        UNKNOWN_CLASS,
        UNKNOWN_TENANT,
        BAD_LENGTH,
        LONG_VALUE,
        BARE_LINE_FEED;

        String in(String good, String id) {
            int p = good.indexOf(" P");
            int end = good.indexOf("\r\n");
            String fields = good.substring(p, end);
            String[] words = good.split(" ");
            return switch (this) {
                case TWO_IDS -> good.replace(" O" + id, " O" + id + " O" + id + "x");
                case TWO_FIELD_LISTS -> good.substring(0, end) + " Pc=lookup,t=x,d=9" + good.substring(end);
                case TWO_CLASSES -> good.substring(0, end) + ",c=lookup" + good.substring(end);
                case TWO_WAITS -> good.substring(0, end) + ",d=100" + good.substring(end);
                case TWO_TOKENS -> good.substring(0, end) + ",k=1,k=2" + good.substring(end);
                case NO_TOKEN -> good.replaceAll(",k=[^,\\r]*", "");
                case EMPTY_TOKEN -> good.replaceAll(",k=[^,\\r]*", "").replaceFirst("\r\n", ",k=\r\n");
                case NO_ID -> good.replace(" O" + id, "");
                case NO_FIELDS -> good.replace(fields, "");
                case NO_KEY -> good.replaceFirst(" " + words[1] + " ", "  ");
                case BAD_WAIT -> good.replaceFirst(",d=[0-9]+", ",d=-5");
                case UNKNOWN_CLASS -> good.replaceFirst("Pc=[a-z]+", "Pc=none");
                case UNKNOWN_TENANT -> good.replaceFirst(",t=[a-z]+", ",t=nobody");
                case BAD_LENGTH -> length(good, words, " 5x ");
                case LONG_VALUE -> length(good, words, " 70000 ");
                case BARE_LINE_FEED -> good.replace("\r\n", "\n");
            };
        }

        private static String length(String good, String[] words, String told) {
            return words[0].equals("ms") ? good.replaceFirst(" " + words[2] + " ", told) : good;
        }
    }
}
