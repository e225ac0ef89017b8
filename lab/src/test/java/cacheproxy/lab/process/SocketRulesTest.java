package cacheproxy.lab.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.scenario.NewNodeKeys;
import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.EndpointEntry;
import cacheproxy.lab.standin.IdempotencyMemory;
import cacheproxy.lab.standin.NodeFault;
import cacheproxy.lab.standin.RawConnection;
import cacheproxy.lab.standin.RequestLedger;
import cacheproxy.lab.standin.ScriptedClient;
import cacheproxy.lab.standin.ScriptedDiscovery;
import cacheproxy.lab.standin.ScriptedNode;
import cacheproxy.lab.standin.SiteSettings;
import cacheproxy.lab.verification.Findings;
import cacheproxy.lab.verification.RecordedEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The four rules over real sockets: whole proxies under load, and the checker's word on what clients, nodes and
 * discovery saw. What cannot be caused here on purpose to the millisecond, simulated time has.
 *
 * <p>Guards against: a rule that holds in simulated time alone. A kernel reads, accepts and closes at moments of its
 * own, and each proxy here runs on a thread of its own.
 */
@Timeout(60)
class SocketRulesTest {
    private static final long MS = LoopbackSite.MS;

    /** The proxy goes on reading for half a second after SIGTERM. */
    private static final long STILL_READ_MS = 300;

    /** For so long a retry waits for its connection before its node is told to drain. */
    private static final long WAITED_MS = 40;

    /** Rounds of load for which a test waits at the most until it has seen enough of what it is about. */
    private static final int MAX_ROUNDS = 4;

    private final SiteSettings settings = new SiteSettings();
    private LoopbackSite site;

    /** Work is short and quotas are what the nodes can do, so that nothing is refused but for faults. */
    SocketRulesTest() {
        work(6);
        settings.askWithinMs = 100;
        settings.tenants.replaceAll(t -> new SiteSettings.Tenant(t.name(), t.quotaPerS() * 16, t.share(), 1));
    }

    private void work(double ms) {
        settings.kinds.replaceAll(k -> new SiteSettings.Kind(
                k.name(),
                k.effect(),
                k.group(),
                k.targetMs(),
                k.deadlineMs(),
                k.lateWorth(),
                k.windowMs(),
                k.value(),
                k.share(),
                ms,
                0.2));
    }

    private void share(String kind, double share) {
        SiteSettings.Kind k = settings.kind(kind);
        settings.put(new SiteSettings.Kind(
                k.name(),
                k.effect(),
                k.group(),
                k.targetMs(),
                k.deadlineMs(),
                k.lateWorth(),
                k.windowMs(),
                k.value(),
                share,
                k.workMs(),
                k.cv()));
    }

    private void town(int proxies, int nodes) {
        site = new LoopbackSite(settings, proxies, nodes);
        site.open();
    }

    @AfterEach
    void close() {
        if (site != null) {
            site.close();
        }
    }

    /** One that waits for its answer much longer than it says, and so sees what comes late or never. */
    private static ClientModel patient() {
        ClientModel m = new ClientModel();
        m.patienceMs = 3000;
        m.honour = 1;
        m.keys = 300;
        return m;
    }

    private Findings clean() {
        Findings all = site.judge();
        assertEquals(List.of(), all.violations(), all.toString());
        return all;
    }

    private ScriptedNode node(int i) {
        return site.nodes.get(i);
    }

    /** Deals out some faults in turn, one for every so many commands that it is asked about. */
    private static final class Deal {
        private final int every;
        private final NodeFault[] faults;
        private final Map<NodeFault, Integer> dealt = new LinkedHashMap<>();
        private int asked;
        private int next;

        Deal(int every, NodeFault... faults) {
            this.every = every;
            this.faults = faults;
        }

        NodeFault next() {
            if (++asked % every != 0) {
                return null;
            }
            NodeFault f = faults[next++ % faults.length];
            dealt.merge(f, 1, Integer::sum);
            return f;
        }

        /** Each of them at least so often. */
        boolean dealt(int least) {
            return dealt.keySet().containsAll(List.of(faults))
                    && dealt.values().stream().allMatch(n -> n >= least);
        }
    }

    // ---- rule 1: no request is lost ----

    /** Sends some requests of all classes at once; all are answered, in their order. */
    private void ask(RawConnection raw, ScriptedClient client, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            SiteSettings.Kind kind = settings.kinds.get(i % settings.kinds.size());
            String k = kind.effect() == SiteSettings.Effect.TOKEN ? ",k=" + client.newId() : "";
            all.append(client.command(kind, ClientModel.key(i), client.newId(), "acme", 1000, k));
        }
        raw.send(all.toString());
    }

    /** Answers, whole ones; values have no line ends in them. */
    private static int answers(RawConnection raw) {
        int count = 0;
        int at = 0;
        String text = raw.text();
        for (int end = text.indexOf("\r\n"); end >= 0; end = text.indexOf("\r\n", at)) {
            boolean value = text.startsWith("VA ", at);
            at = end + 2;
            if (value) {
                end = text.indexOf("\r\n", at);
                if (end < 0) {
                    return count;
                }
                at = end + 2;
            }
            count++;
        }
        return count;
    }

    /**
     * Guards against: a request whose node is cut, stalled, spoilt or restarted, or whose proxy is told to end, is left
     * without an answer, or its connection ends before it.
     */
    @Test
    void noRequestIsLost() {
        settings.multiplex = 4;
        share("charge", 0.2);
        share("submit", 0.2);
        town(2, 4);
        ScriptedClient one = site.client(patient());
        ClientModel model = patient();
        model.pipeline = 4;
        model.connections = 8;
        ScriptedClient many = site.client(model, List.of(site.proxySlots.get(1).listen));
        Deal faults = new Deal(
                8,
                new NodeFault.Stall(400 * MS),
                new NodeFault.Never(),
                new NodeFault.Spoil(NodeFault.How.GARBAGE),
                new NodeFault.Spoil(NodeFault.How.CUT_VALUE),
                new NodeFault.Spoil(NodeFault.How.WRONG_ID),
                new NodeFault.Spoil(NodeFault.How.LONG_LENGTH),
                new NodeFault.Spoil(NodeFault.How.STRANGER_BEHIND),
                new NodeFault.Twice(3 * MS),
                new NodeFault.Break(NodeFault.When.BEFORE_RUN, true),
                new NodeFault.Break(NodeFault.When.MID_ANSWER, false),
                new NodeFault.Drip(5, MS),
                new NodeFault.Busy(-1),
                new NodeFault.Failed(true),
                new NodeFault.Refused());
        site.on(() -> site.nodes.forEach(
                n -> n.faults(c -> c.key.equals("slow") ? new NodeFault.Stall(800 * MS) : faults.next())));
        site.load(one, 120);
        site.load(many, 120);
        site.every(25, () -> many.askAndLeave("lookup", "beta", ClientModel.key(1), 8 * MS, true));
        RawConnection steady = site.call(() -> one.raw(site.proxySlots.get(0).listen));
        long[] until = {Long.MAX_VALUE};
        site.every(20, () -> ask(steady, one, site.now() < until[0] ? 1 : 0));
        site.on(() -> steady.whenOver = steady::end);

        site.flow(300);
        RawConnection burst = site.call(() -> one.raw(site.proxySlots.get(1).listen));
        site.on(() -> {
            ask(burst, many, 30);
            node(0).cutAll(true);
            node(1).pause(300 * MS);
        });
        site.flow(150);
        site.on(() -> {
            node(2).restart(1, 100 * MS);
            node(3).refuse(true);
            node(3).cutAll(false);
        });
        site.flow(300);
        site.on(() -> node(3).refuse(false));
        site.await("all faults", () -> faults.dealt(2) && node(2).up());
        site.flow(200);

        RawConnection last = site.call(() -> one.raw(site.proxySlots.get(0).listen));
        RawConnection slow = site.call(() -> one.raw(site.proxySlots.get(0).listen));
        site.await("they are open", () -> last.opened() && slow.opened());
        site.on(() -> {
            ask(last, many, 30);
            slow.send(one.command(settings.kind("charge"), "slow", one.newId(), "acme", 2000, ""));
            until[0] = site.now() + STILL_READ_MS * MS;
        });
        site.term(site.proxySlots.get(0));
        site.await("the proxy ends", () -> site.proxySlots.get(0).drained());
        long ended = site.now();
        site.flow(300);
        site.settle();
        site.await("the burst is answered", () -> answers(burst) == 30);

        Findings all = clean();
        assertEquals(1, answers(slow), "answered after the proxy closed its door");
        assertEquals(30, answers(last), "asked when the proxy was told to end");
        assertTrue(steady.ended && answers(steady) > 40, answers(steady) + " answers on one connection");
        assertTrue(all.count("requests") > 500 && all.count("served") > 250, all.toString());
        assertTrue(all.count("gone") > 5, all.toString());
        assertTrue(site.facts(null, "begin", ended, Long.MAX_VALUE) > 20, "the other proxy goes on");
        assertEquals(0, site.facts(null, "stray"));
    }

    /**
     * Guards against: clients go on using a connection for as long as it is open; what comes there while an answer
     * keeps it open is never read, and its connection ends under it.
     */
    @Test
    void whatComesOnAConnectionThatTheEndLeavesOpenIsAnswered() {
        town(1, 1);
        site.on(() -> node(0).next(new NodeFault.Stall(900 * MS)));
        ScriptedClient client = site.client(patient());
        RawConnection raw = site.call(() -> client.raw(site.proxySlots.get(0).listen));
        raw.whenOver = raw::end;
        site.on(() -> ask(raw, client, 1));
        site.await("it is asked", () -> node(0).begun > 0);
        site.term(site.proxySlots.get(0));
        site.flow(650);
        site.on(() -> ask(raw, client, 1));
        site.await("the proxy ends", () -> site.proxySlots.get(0).drained());
        site.settle();
        clean();
        assertEquals(2, answers(raw));
    }

    // ---- rule 2: no effect twice ----

    /**
     * Guards against: an unsafe request that may have run is sent again or refused, since a reset, silence or a line
     * that is not its own was taken for proof that it never ran.
     */
    @Test
    void anUnsafeRequestHasNoSecondEffect() {
        settings.secondCopies = false;
        settings.put(settings.kind("charge").deadline(700));
        share("charge", 1.2);
        town(2, 3);
        Deal faults = new Deal(
                3,
                new NodeFault.Busy(10 * MS),
                new NodeFault.Busy(0),
                new NodeFault.Break(NodeFault.When.BEFORE_RUN, true),
                new NodeFault.Break(NodeFault.When.BEFORE_ANSWER, true),
                new NodeFault.Busy(10 * MS),
                new NodeFault.Busy(-1),
                new NodeFault.Break(NodeFault.When.BEFORE_ANSWER, false),
                new NodeFault.Break(NodeFault.When.MID_ANSWER, true),
                new NodeFault.Spoil(NodeFault.How.NO_ID),
                new NodeFault.Says("SERVER_ERROR failed\r\n"),
                new NodeFault.Stall(900 * MS),
                new NodeFault.Never(),
                new NodeFault.Failed(true),
                new NodeFault.Spoil(NodeFault.How.WRONG_ID),
                new NodeFault.Spoil(NodeFault.How.WRONG_KIND),
                new NodeFault.Says("SERVER_ERROR failed\r\nSERVER_ERROR busy\r\n"),
                new NodeFault.Hang(60 * MS, true),
                new NodeFault.Break(NodeFault.When.AFTER_ANSWER, false));
        Deal early = new Deal(
                1,
                new NodeFault.Break(NodeFault.When.BEFORE_READ, true),
                new NodeFault.Break(NodeFault.When.AT_OPEN, true),
                new NodeFault.Break(NodeFault.When.BEFORE_READ, false));
        site.on(() -> site.nodes.forEach(n -> n.faults(c -> c.kind().equals("charge") ? faults.next() : null)));
        ScriptedClient client = site.client(patient());
        site.load(client, 200);
        site.every(70, () -> node((int) (site.now() / MS) % 3).next(early.next()));
        site.flow(1500);
        site.await("all faults", () -> faults.dealt(3) && early.dealt(2));
        site.settle();

        Findings all = clean();
        Map<String, Integer> ends = new TreeMap<>();
        int again = 0;
        Map<String, List<String>> begun = site.begun();
        for (RequestLedger.Entry e : site.ledger.entries()) {
            if (e.kind.name().equals("charge")) {
                ends.merge(e.result.toString(), 1, Integer::sum);
                again += e.ids.stream()
                                .anyMatch(
                                        id -> begun.getOrDefault(id, List.of()).size() > 1)
                        ? 1
                        : 0;
            }
        }
        assertTrue(ends.getOrDefault("IN_TIME", 0) > 50 && ends.getOrDefault("FAILED", 0) > 20, "" + ends);
        assertTrue(again > 0, "some were busy at one node, and went to another: " + again);
        assertTrue(all.count("served") > 100, all.toString());
    }

    /**
     * Guards against: an error line has no id. The second copy of a {@code busy} comes when the connection carries the
     * next request, which is then thought never to have run, while it does.
     */
    @Test
    void aLateSecondBusyIsNotTakenForTheAnswerOfTheNext() {
        settings.secondCopies = false;
        share("charge", 0.9); // the others earn what sending charges again is paid from
        town(1, 3);
        int[] asked = new int[1];
        site.on(() -> site.nodes.forEach(n ->
                n.faults(c -> c.write() && ++asked[0] % 3 == 0 ? new NodeFault.Busy(25 * MS) : null)));
        ScriptedClient client = site.client(patient());
        site.load(client, 250);
        site.flow(500);
        site.await(
                "enough were busy",
                () -> site.nodes.stream().mapToInt(n -> n.rejected).sum() > 30);
        site.settle();
        clean();
        assertTrue(
                site.begun().values().stream().filter(nodes -> nodes.size() > 1).count() > 2,
                "what is busy at one node goes to another");
        assertTrue(site.ledger.count(RequestLedger.Result.IN_TIME) > 40);
    }

    /** Whether more than two keyed writes of each group were sent again and answered in time. */
    private boolean repeatsWereSeen() {
        return site.call(() -> {
            Map<String, List<String>> begun = site.begun();
            Map<String, Integer> repeated = new HashMap<>();
            for (RequestLedger.Entry e : site.ledger.entries()) {
                boolean again = e.ids.stream()
                        .anyMatch(id -> begun.getOrDefault(id, List.of()).size() > 1);
                if (again && e.result == RequestLedger.Result.IN_TIME) {
                    repeated.merge(e.kind.name(), 1, Integer::sum);
                }
            }
            return List.of("submit", "zone", "cell").stream().allMatch(kind -> repeated.getOrDefault(kind, 0) > 2);
        });
    }

    /**
     * Guards against: a keyed write is sent again, or refused with advice, where or when nodes no longer discard its
     * repeat. It runs, and its connection breaks so much later that the window's end lies in between.
     */
    @Test
    void aKeyedWriteIsRepeatedOnlyWithinItsGroupAndWindow() {
        settings.secondCopies = false;
        settings.cellNodes = 2;
        settings.dialTimeoutMs = 60;
        settings.maxAttempts = 2;
        SiteSettings.Kind keyed = settings.kind("submit").window(600).deadline(1500);
        settings.put(keyed);
        for (IdempotencyMemory.Group g : List.of(IdempotencyMemory.Group.ZONE, IdempotencyMemory.Group.CELL)) {
            settings.kinds.add(new SiteSettings.Kind(
                    g.name().toLowerCase(java.util.Locale.ROOT),
                    keyed.effect(),
                    g,
                    keyed.targetMs(),
                    keyed.deadlineMs(),
                    keyed.lateWorth(),
                    keyed.windowMs(),
                    1,
                    0,
                    6,
                    0.2));
        }
        share("lookup", 0.7);
        share("charge", 0);
        for (String kind : List.of("submit", "zone", "cell")) {
            share(kind, 0.1);
        }
        town(2, 8);
        ScriptedClient client = site.client(patient());
        Map<String, Integer> seen = new HashMap<>();
        int[] dealt = new int[2];
        site.on(() -> site.nodes.forEach(n -> n.faults(c -> {
            if (!c.write()) {
                return null;
            }
            int before = c.token() == null ? 0 : seen.merge(c.token(), 1, Integer::sum) - 1;
            if (before == 0) { // up to 0.9 s, each step as often
                return new NodeFault.Hang(dealt[0]++ * 7 % 19 * 50 * MS, dealt[0] % 2 == 0);
            }
            return before < 2 && c.token().hashCode() % 2 == 0
                    ? new NodeFault.Break(NodeFault.When.BEFORE_ANSWER, true)
                    : null;
        })));
        List<RawConnection> keyless = new ArrayList<>();
        site.load(client, 260);
        site.every(40, () -> {
            String kind = List.of("submit", "zone", "cell").get(keyless.size() % 3);
            RawConnection raw =
                    client.malformed(site.front.get(keyless.size() % 2), kind, "acme", ScriptedClient.Flaw.NO_TOKEN);
            raw.whenText = raw::end;
            keyless.add(raw);
        });
        for (int round = 0; round < MAX_ROUNDS && (round == 0 || !repeatsWereSeen()); round++) {
            site.flow(3400); // beside much load few repeats are in time, and a fixed time saw too few of them
        }
        site.settle();
        site.await("all without a key are over", () -> keyless.stream().allMatch(r -> r.ended));

        Findings all = clean();
        Map<String, List<String>> begun = site.begun();
        Map<String, Integer> what = new TreeMap<>();
        for (RequestLedger.Entry e : site.ledger.entries()) {
            String kind = e.kind.name();
            boolean again = e.ids.stream()
                    .anyMatch(id -> begun.getOrDefault(id, List.of()).size() > 1);
            what.merge(kind + (again ? " sent again" : " sent once") + ", " + e.result, 1, Integer::sum);
            what.merge(kind + " as " + e.ids.size(), 1, Integer::sum);
        }
        for (String kind : List.of("submit", "zone", "cell")) {
            assertTrue(what.getOrDefault(kind + " sent again, IN_TIME", 0) > 2, kind + " repeated: " + what);
            assertTrue(what.getOrDefault(kind + " sent once, FAILED", 0) > 5, kind + " beyond its window: " + what);
        }
        assertTrue(what.getOrDefault("submit as 2", 0) > 2, "refused, and asked again as advised: " + what);
        assertTrue(site.facts(null, "dropped") > 10, "repeats were discarded");
        assertTrue(retriesDropped() > 2, "those of clients too");
        long failed = keyless.stream()
                .filter(r -> r.text().equals("SERVER_ERROR failed\r\n"))
                .count();
        assertTrue(failed > 10, failed + " without a key ran and had no second chance");
        assertTrue(all.count("refused") > 2, all.toString());
    }

    /** Keyed writes that nodes discarded under another id than the one that had run. */
    private int retriesDropped() {
        Map<String, String> ran = new HashMap<>();
        int count = 0;
        for (RecordedEvent e : site.net.events()) {
            String[] words = e.kind() == RecordedEvent.Kind.FACT ? e.note().split(" ") : new String[0];
            if (words.length == 3 && words[0].equals("ran")) {
                ran.putIfAbsent(words[2], words[1]);
            } else if (words.length == 3 && words[0].equals("dropped")) {
                count += words[1].equals(ran.get(words[2])) ? 0 : 1;
            }
        }
        return count;
    }

    // ---- rule 3: nothing new to a node that drains ----

    private void awaitTold() {
        for (LoopbackSite.ProxySlot s : site.proxySlots) {
            site.await(
                    s.name() + " is told",
                    () -> discovery().told(s.name()) == discovery().version()
                            && discovery().watches(s.name()) > 0);
        }
    }

    private ScriptedDiscovery discovery() {
        return site.discovery;
    }

    /**
     * Guards against: a node that drains or is gone goes on getting work, since the word of it came in another form or
     * by another way than one change on one watch.
     */
    @Test
    void nothingNewReachesANodeThatDrainsHoweverThatIsTold() {
        town(2, 7);
        ScriptedClient client = site.client(patient());
        site.load(client, 300);
        site.await("all nodes are used", () -> site.nodes.stream().allMatch(n -> n.begun > 8));
        long[] told = new long[4];
        told[0] = told[1] = site.now();
        site.on(() -> {
            discovery().drain("s-0");
            discovery().remove("s-1");
        });
        awaitTold();
        told[2] = site.now();
        site.on(() -> {
            discovery().killWatches("n0", false);
            discovery().drain("s-2");
        });
        awaitTold();
        told[3] = site.now();
        site.on(() -> {
            discovery().killWatches("n1", true);
            discovery().remove("s-3");
            discovery().forget();
        });
        awaitTold();
        long last = site.now();
        site.flow(1400);
        site.settle();
        clean();
        for (int i = 0; i < 7; i++) {
            String who = node(i).name();
            assertTrue(site.facts(who, "begin", 0, i < 4 ? told[i] : last) > 5, who + " was used before");
            long after = site.facts(who, "begin", last + 1050 * MS, Long.MAX_VALUE);
            assertTrue(i < 4 ? after == 0 : after > 5, after + " times " + who + " was used afterwards");
            assertTrue(i < 4 || site.facts(who, "begin", last, last + 1000 * MS) > 5, who + " meanwhile");
        }
        assertTrue(site.facts("registry", "told n1 " + discovery().version() + " full") > 0, "a whole list");
    }

    /** Guards against: at the start an older list is heard after a newer one, or not all of it. */
    @Test
    void nothingReachesANodeThatDrainedBeforeTheProxyStarted() {
        site = new LoopbackSite(settings, 2, 5);
        LoopbackSite.ProxySlot proxySlot = site.proxySlots.get(0);
        site.start(proxySlot, 1, site.firstList());
        ScriptedClient client = site.client(patient());
        site.load(client, 250);
        site.await("all nodes are used", () -> site.nodes.stream().allMatch(n -> n.begun > 5));
        site.on(() -> discovery().drain("s-1"));
        site.on(() -> discovery().remove("s-3"));
        List<EndpointEntry> known = new ArrayList<>(site.firstList());
        known.set(2, known.get(2).state(EndpointEntry.DRAINING));
        site.on(() -> site.front.clear()); // from here on the second takes all that is new
        long start = site.now();
        LoopbackSite.ProxySlot second = site.proxySlots.get(1);
        site.start(second, 1, known);
        site.await("all goes there", () -> site.front.contains(second.listen));
        awaitTold();
        long told = site.now();
        site.flow(1400);
        site.settle();
        clean();
        assertEquals(0, site.facts("s-2", "begin", start + 1000 * MS, Long.MAX_VALUE), "listed as draining");
        for (int i : new int[] {0, 4}) {
            String who = node(i).name();
            assertTrue(site.facts(who, "begin", start, told) > 0, who + " meanwhile");
            assertTrue(site.facts(who, "begin", told + 1050 * MS, Long.MAX_VALUE) > 5, who + " afterwards");
        }
    }

    /**
     * Guards against: a retry whose connection comes up only when its node has long been told to drain. The node's
     * queue is full, and has room again when the kernel attempts once more, after one second.
     */
    @Test
    void aRetryThatWaitsForAConnectionDoesNotOutlastTheGrace() throws Exception {
        settings.dialTimeoutMs = 5000; // only the grace bounds it
        settings.drainGraceMs = 400;
        settings.secondCopies = false;
        settings.put(settings.kind("lookup").deadline(3000));
        town(1, 2);
        ClientModel once = patient();
        once.retries = 0;
        once.tryShare = 1;
        ScriptedClient client = site.client(once);
        RequestLedger.Entry warm = site.call(() -> client.ask("lookup", "acme", ClientModel.key(3)));
        site.await("one is answered", () -> warm.result == RequestLedger.Result.IN_TIME);
        int at = node(0).begun > 0 ? 0 : 1; // which comes first for this key
        ScriptedNode first = node(at);
        ScriptedNode other = node(1 - at);
        site.on(() -> other.refuse(true));
        try (UnresponsivePort deaf = new UnresponsivePort(other.address())) {
            site.on(() -> first.next(new NodeFault.Break(NodeFault.When.BEFORE_RUN, true)));
            RequestLedger.Entry e = site.call(() -> client.ask("lookup", "acme", ClientModel.key(3)));
            site.await("the first node breaks off", () -> first.begun > 1);
            site.flow(WAITED_MS);
            site.on(() -> discovery().drain(other.name()));
            site.flow(500);
            deaf.giveUp();
            site.on(() -> other.refuse(false));
            site.flow(1000);
            site.settle();
            clean();
            long begun = site.net.events().stream()
                    .filter(x -> x.kind() == RecordedEvent.Kind.FACT && x.note().equals("begin " + e.id()))
                    .findFirst()
                    .orElseThrow()
                    .atNs();
            assertTrue(e.endedNs - begun >= WAITED_MS * MS, "the retry waited for a connection");
            assertEquals(RequestLedger.Result.REFUSED, e.result);
        }
        assertEquals(0, other.begun);
    }

    // ---- rule 4: no cold node over its multiple ----

    /**
     * Guards against: clients that ask the keys of a node just started and leave at once push it over, since nobody
     * learns from what is cancelled, and each of four proxies counts for itself.
     */
    @Test
    void aColdNodeIsNotPushedOverByClientsThatLeave() {
        work(25); // 40 a second and node, as the quotas have it: a few requests too many are seen at once
        settings.tenants.replaceAll(t -> new SiteSettings.Tenant(t.name(), t.quotaPerS() * 0.147, t.share(), 1));
        town(4, 3);
        ScriptedNode cold = site.node();
        List<String> keys = NewNodeKeys.of(site.nodes, cold, settings, 200);
        assertTrue(keys.size() > 80, keys.size() + " keys");
        ScriptedClient ordinary = site.client(patient());
        ScriptedClient leaving = site.client(new ClientModel());
        site.load(ordinary, 30);
        site.on(() -> {
            cold.start(settings.coldFrom);
            discovery().serving(cold.entry());
        });
        awaitTold();
        int[] asked = new int[1];
        long from = site.now();
        site.every(
                6,
                () -> { // so many a second also where the machine is late
                    while (asked[0] < Math.min(400, (site.now() - from) / MS * 160 / 1000)) {
                        String key = keys.get(asked[0]++ % keys.size());
                        leaving.askAndLeave("lookup", "acme", key, 8 * MS, false);
                    }
                });
        site.await("all that leave have asked", () -> asked[0] == 400);
        List<RequestLedger.Entry> staying = new ArrayList<>();
        site.every(40, () -> staying.add(ordinary.ask("lookup", "acme", keys.get(staying.size() % keys.size()))));
        site.await("an ordinary request reaches it", () -> {
            Map<String, List<String>> begun = site.begun();
            return cold.fallen()
                    || staying.stream()
                            .anyMatch(e -> e.result.served()
                                    && begun.getOrDefault(e.id(), List.of()).contains(cold.name()));
        });
        site.settle();
        Findings all = clean();
        assertEquals(1, all.count("cold starts"), all.toString());
        assertTrue(cold.begun > 10, "it is used: " + cold.begun);
        assertFalse(cold.fallen());
    }
}
