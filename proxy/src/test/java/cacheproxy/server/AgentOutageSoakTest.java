package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A soak drawn from a seed: lists are pushed, and a proxy process goes through outages of its agent, with watches that
 * end, unreadable lists, kills, restarts and SIGHUP before and inside them, while nodes begin to drain. Nothing may
 * reach a node later than the drain grace after its drain counts as notified; a proxy that was up to date serves on;
 * after each outage it serves again. By hand: {@code mvn test -pl proxy -Dtest=AgentOutageSoakTest -Doutages.seeds=50
 * -Doutages.seed=1}.
 */
@Timeout(7200)
class AgentOutageSoakTest {
    private static final long FIRST_SEED = Long.getLong("outages.seed", 1);
    private static final int SEEDS = Integer.getInteger("outages.seeds", 3);
    private static final int OUTAGES = Integer.getInteger("outages.count", 3);

    @Test
    void sendsNothingToDrainingNodesAcrossOutages() throws Exception {
        List<String> broken = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            try (Run run = new Run(seed)) {
                broken.addAll(run.play());
            }
        }
        assertEquals(List.of(), broken.stream().limit(20).toList(), broken.size() + " broken rules");
    }

    /** What happens right before or inside an outage. */
    private enum Trouble {
        NONE,
        WATCH_RESET,
        LIST_UNREADABLE,
        KILLED,
        KILLED_TWICE,
        RELOADED,
        RELOADED_AND_BACK
    }

    /** A command that a node has received. */
    private record Arrival(int node, long atNs) {}

    /** An agent that the proxy was told to use, from when on its list counts as notified. */
    private record Epoch(int agent, long countsFromNs, long startedNs) {}

    /** One run of one seed. */
    private static final class Run implements AutoCloseable {
        private static final long SEED_SPREAD = 0x9E3779B97F4A7C15L;
        private static final int NODES = 6;
        private static final long NEVER = Long.MAX_VALUE;
        private static final long MS = 1_000_000;
        /** The drain grace and 50 ms, by which each time limit is longer on sockets. */
        private static final long GRACE_NS = 1050 * MS;

        private static final long RELOAD_NOTIFIED_NS = 4000 * MS;
        private static final String SETTINGS = ProxyFixture.SETTINGS
                .replace("\"subscribe\"", "\"automatic\"")
                .replace("\"quotaPerS\":50.0", "\"quotaPerS\":1e6");

        private final long seed;
        private final Random random;
        private final List<ServingNode> nodes = new ArrayList<>();
        private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        private final List<ScriptedAgent> agents = new ArrayList<>();
        /** When each agent had the drain of each node. */
        private final long[][] drainedAtNs = new long[2][NODES];

        private final List<Epoch> epochs = new ArrayList<>();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final List<String> broken = new ArrayList<>();
        private final Thread client = new Thread(this::ask, "client");
        private volatile boolean ended;
        private volatile ProxyChildProcess child;
        private int version = 1;
        private int draining;
        private final String firstList;

        Run(long seed) throws IOException {
            this.seed = seed;
            random = new Random(seed * SEED_SPREAD); // neighbouring seeds draw alike at first
            for (int i = 0; i < NODES; i++) {
                int number = i;
                nodes.add(new ServingNode(new Peer.Listener(), atNs -> arrivals.add(new Arrival(number, atNs))));
                drainedAtNs[0][i] = NEVER;
                drainedAtNs[1][i] = NEVER;
            }
            firstList = list();
            agents.add(new ScriptedAgent(firstList));
            agents.add(new ScriptedAgent(firstList));
        }

        private String list() {
            String[] entries = new String[NODES];
            for (int i = 0; i < NODES; i++) {
                entries[i] = ProxyFixture.listEntry(i, i < draining ? "DRAINING" : "SERVING", nodes.get(i).listener);
            }
            return ProxyFixture.endpointList(version, true, entries);
        }

        List<String> play() throws Exception {
            start();
            client.setDaemon(true);
            client.start();
            for (int outage = 0; outage < OUTAGES; outage++) {
                awaitServed(20); // up to date
                playOutage();
            }
            awaitServed(20);
            ended = true;
            client.join();
            judge();
            broken.replaceAll(rule -> "seed " + seed + ": " + rule);
            return broken;
        }

        private void start() throws IOException {
            ProxyChildProcess.Start options = new ProxyChildProcess.Start();
            options.settings = SETTINGS;
            options.jvmOptions = ProxyChildProcess.deployedJvmOptions();
            long startedNs = System.nanoTime();
            epochs.add(new Epoch(0, startedNs, startedNs));
            child = options.with(agents.get(0).listener, firstList);
        }

        private void startAndAwaitListening() throws IOException, InterruptedException {
            start();
            child.connect();
        }

        private void playOutage() throws Exception {
            Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
            ScriptedAgent.Outage style =
                    ScriptedAgent.Outage.values()[random.nextInt(ScriptedAgent.Outage.values().length)];
            boolean changes = random.nextBoolean() || trouble != Trouble.NONE;
            int servedBefore = served.get();
            int refusedBefore = refused.get();
            before(trouble, changes);
            agents.get(0).begin(style);
            agents.get(1).begin(style);
            inside(trouble);
            TimeUnit.MILLISECONDS.sleep(1500 + random.nextInt(4000)); // the length of the outage, drawn
            int servedInside = served.get() - servedBefore;
            boolean upToDate = trouble == Trouble.NONE && style != ScriptedAgent.Outage.HALF_A_LIST;
            if (upToDate && refused.get() > refusedBefore) {
                broken.add("refused " + (refused.get() - refusedBefore) + " although up to date, " + style);
            }
            System.out.println("outages seed " + seed + ": " + trouble + ", " + style + ", a change " + changes
                    + ": served " + servedInside + ", refused " + (refused.get() - refusedBefore));
            agents.get(0).end();
            agents.get(1).end();
        }

        /** A change right before the outage that the proxy has not received, where {@code trouble} is why. */
        private void before(Trouble trouble, boolean changes) throws Exception {
            if (trouble == Trouble.WATCH_RESET) {
                agents.get(0).begin(ScriptedAgent.Outage.SILENT); // at the same moment
                agents.get(0).resetWatches();
            } else if (trouble == Trouble.LIST_UNREADABLE) {
                agents.get(0).begin(ScriptedAgent.Outage.SILENT);
                agents.get(0).sendUnreadableList();
            } else if (trouble == Trouble.KILLED || trouble == Trouble.KILLED_TWICE) {
                kill();
            }
            if (changes) {
                boolean onlyNewAgent = trouble == Trouble.RELOADED || trouble == Trouble.RELOADED_AND_BACK;
                drainNext(onlyNewAgent);
            }
        }

        private void inside(Trouble trouble) throws Exception {
            switch (trouble) {
                case KILLED -> startAndAwaitListening();
                case KILLED_TWICE -> {
                    startAndAwaitListening();
                    TimeUnit.MILLISECONDS.sleep(1000 + random.nextInt(1000)); // the second kill, drawn
                    kill();
                    startAndAwaitListening();
                }
                case RELOADED -> {
                    reload(1);
                    TimeUnit.MILLISECONDS.sleep(4500); // until its list is due
                }
                case RELOADED_AND_BACK -> {
                    reload(1);
                    TimeUnit.MILLISECONDS.sleep(500 + random.nextInt(5000)); // drawn
                    reload(0);
                }
                default -> {}
            }
        }

        private void kill() throws IOException, InterruptedException {
            child.signal("KILL");
            child.awaitExit(10);
            child.close();
            judge(); // the next process is told anew
        }

        private void reload(int agent) throws IOException, InterruptedException {
            String address = agents.get(agent).listener.address();
            Files.writeString(
                    child.config,
                    ProxyFixture.json(firstList, SETTINGS, 1024)
                            .replace("{\"name\"", "{\"discovery\":\"" + address + "\",\"name\""));
            int lines = child.errorLines.size();
            long atNs = System.nanoTime();
            child.signal("HUP");
            epochs.add(new Epoch(agent, atNs + RELOAD_NOTIFIED_NS, atNs));
            child.awaitErrorLine(lines, "configuration taken");
        }

        /** The next node begins to drain, as the agents have it from now on; two nodes always serve. */
        private void drainNext(boolean onlyNewAgent) {
            if (draining == NODES - 2) {
                return;
            }
            draining++;
            version++;
            for (int agent = onlyNewAgent ? 1 : 0; agent < agents.size(); agent++) {
                drainedAtNs[agent][draining - 1] = System.nanoTime();
                agents.get(agent).list(list(), true);
            }
        }

        private void awaitServed(int count) throws InterruptedException {
            int wanted = served.get() + count;
            child.await("to serve again", () -> served.get() >= wanted);
        }

        /** Asks for other keys, one at a time, without a look at {@code mn}. */
        private void ask() {
            for (int request = 0; !ended; ) {
                try (Peer connection = Peer.to(child.address)) {
                    while (!ended) {
                        String id = "a" + request++;
                        String key = String.format("%016x", 1000L * request);
                        connection.send(ProxyFixture.readCommand(id, 1200).replace("7f3a9c21e0b4d655", key));
                        String line = connection.line();
                        if (line == null) {
                            break; // killed
                        }
                        if (line.startsWith("VA ")) {
                            connection.line();
                            served.incrementAndGet();
                        } else {
                            refused.incrementAndGet();
                        }
                        TimeUnit.MILLISECONDS.sleep(2); // the client's rate
                    }
                } catch (IOException | InterruptedException e) {
                    Thread.onSpinWait(); // killed, or not listening yet
                }
            }
        }

        /** Judges what the process has sent. */
        private void judge() {
            for (Arrival arrival : arrivals) {
                long notifiedNs = notifiedAtNs(arrival.node());
                if (notifiedNs != NEVER && arrival.atNs() > notifiedNs + GRACE_NS) {
                    broken.add("node " + arrival.node() + ", which drains, got a request "
                            + (arrival.atNs() - notifiedNs) / MS + " ms after that counts as notified");
                }
            }
            arrivals.clear();
            epochs.clear();
        }

        /** When the drain of a node counts as notified to the process: by the agents in force, one after the other. */
        private long notifiedAtNs(int node) {
            long notifiedNs = NEVER;
            for (int i = 0; i < epochs.size(); i++) {
                Epoch epoch = epochs.get(i);
                long endNs = i + 1 < epochs.size() ? epochs.get(i + 1).startedNs() : NEVER;
                long drainedNs = drainedAtNs[epoch.agent()][node];
                long countsNs = drainedNs == NEVER ? NEVER : Math.max(epoch.countsFromNs(), drainedNs);
                if (countsNs < endNs) {
                    notifiedNs = Math.min(notifiedNs, countsNs);
                }
            }
            return notifiedNs;
        }

        @Override
        public void close() throws Exception {
            ended = true;
            child.close();
            client.join();
            for (ScriptedAgent agent : agents) {
                agent.close();
            }
            for (ServingNode node : nodes) {
                node.close();
            }
        }
    }
}
