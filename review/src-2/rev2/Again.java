package rev2;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A keyed write runs, and its connection is reset before the answer. The client tries again as the pages let it: once on
 * the failure, within the window for repeats, and once more on a refusal, after the wait that it was told. Judged: how
 * often the nodes carry the write out.
 */
final class Again {
    private static final int WINDOW_MS = 500;
    /** Each time limit is 50 ms longer on sockets: so long a repeat after the window is dropped as well. */
    private static final int SLACK_MS = 50;

    private static final int WORK_MS = 100;
    private static final int CLIENT_WAIT_MS = 200;
    /** The nodes have their queues full from then until then, counted from the first try. */
    private static final int FULL_FROM_MS = 250;

    private static final int FULL_UNTIL_MS = 400;

    private static final int TRY_MS = 1_250;
    private static final int ROUNDS = 3;

    private final Rec rec;
    private final boolean trouble;
    private final Map<String, Double> ranAt = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private double roundMs;
    private int commands;
    private volatile boolean inRound;

    private Again(Rec rec, boolean trouble) {
        this.rec = rec;
        this.trouble = trouble;
    }

    public static void main(String[] args) {
        Case.run(args, (folder, rec, trouble) -> {
            Again again = new Again(rec, trouble);
            Discovery discovery = new Discovery("discovery", rec);
            for (int i = 0; i < 6; i++) {
                discovery.set(new Node("s-" + i, rec, again::answer), "SERVING", 0);
            }
            Map<String, Object> settings = Proxy.settings();
            settings.put("grades", List.of(Proxy.grade("phrase-lookup", "pure", 1500.0, 0.5), submit()));
            try (Proxy proxy = new Proxy("n0", folder, rec, settings)) {
                proxy.start(discovery.address(), discovery.list());
                proxy.awaitReady();
                for (int i = 0; i < 4; i++) {
                    Node.daemon(() -> again.read(proxy));
                }
                Thread.sleep(3_000);
                long broken = 0;
                int carried = 0;
                for (int round = 0; round < ROUNDS; round++) {
                    String token = Client.newId().substring(1);
                    again.inRound = true;
                    Thread.sleep(50);
                    again.beginRound();
                    again.write(proxy, token);
                    int times = again.runs.getOrDefault(token, 0);
                    rec.line("judge", "k=" + token + " was carried out " + times + " times");
                    carried += times;
                    broken += times > 1 ? 1 : 0;
                    again.inRound = false;
                    Thread.sleep(3_000);
                }
                Case.need(carried > 0, "no write was carried out");
                return broken;
            }
        });
    }

    private static Map<String, Object> submit() {
        Map<String, Object> grade = Proxy.grade("phrase-submit", "token", 2500.0, 0.3);
        grade.put("repeatWindowMs", (double) WINDOW_MS);
        return grade;
    }

    private synchronized void beginRound() {
        roundMs = rec.nowMs();
        commands = 0;
    }

    /** Another client: lookups, one after the other, but for the time of a round. */
    private void read(Proxy proxy) throws Exception {
        Random random = new Random();
        try (Client client = new Client(proxy)) {
            while (true) {
                if (inRound) {
                    Thread.sleep(5);
                    continue;
                }
                client.out.write(
                        Client.read(Long.toHexString(random.nextLong()), Client.newId(), "c=phrase-lookup,d=1500"));
                client.answer();
                Thread.sleep(20);
            }
        }
    }

    /** The client: up to two tries after the first one, as long as the class's give-up time lasts. */
    private void write(Proxy proxy, String token) throws Exception {
        double firstMs = rec.nowMs();
        for (int attempt = 0; attempt <= 2; attempt++) {
            String id = Client.newId();
            String fields = "c=phrase-submit,d=" + TRY_MS + (attempt > 0 ? ",r=1" : "") + ",k=" + token;
            String answer;
            try (Client client = new Client(proxy)) {
                client.socket.setSoTimeout(3_000);
                double sentMs = rec.line("client", "sends " + id + " P" + fields);
                client.out.write(Client.write(token, id, fields, "hello".getBytes()));
                answer = client.answer();
                rec.line("client", String.format("is answered %s after %.0f ms", answer, rec.nowMs() - sentMs));
            }
            Case.need(answer != null, "a request got no answer");
            if (answer.startsWith("HD ")) {
                return;
            }
            boolean refused = answer.startsWith("SERVER_ERROR busy");
            // as the wire page has it: on a failure only within the window, on a refusal at any time
            if (!refused && rec.nowMs() + CLIENT_WAIT_MS > firstMs + WINDOW_MS) {
                return;
            }
            String[] words = answer.split(" ");
            long toldMs = refused && words.length > 2 ? Long.parseLong(words[2]) : 0;
            Thread.sleep(toldMs > 0 ? toldMs : CLIENT_WAIT_MS); // as told, neither sooner nor later
        }
    }

    /** A node: carries a write out when it begins, and drops a repeat of its key for the window. All share the keys. */
    private byte[] answer(Node.Command command) throws InterruptedException {
        boolean first;
        synchronized (this) {
            double sinceMs = command.atMs() - roundMs;
            if (sinceMs >= FULL_FROM_MS && sinceMs < FULL_UNTIL_MS) {
                rec.line(command.node().name, command.id() + " is turned away: queue full");
                return Node.line("SERVER_ERROR busy");
            }
            if (command.verb().equals("mg")) {
                return command.node().served(command, new byte[100]);
            }
            first = commands++ == 0;
            String token = command.field("k");
            Double earlier = ranAt.get(token);
            if (earlier != null && command.atMs() - earlier <= WINDOW_MS + SLACK_MS) {
                rec.line(command.node().name, "k=" + token + " is a repeat, dropped");
            } else {
                ranAt.put(token, command.atMs());
                runs.merge(token, 1, Integer::sum);
                rec.line(command.node().name, "carries out k=" + token);
            }
        }
        Thread.sleep(WORK_MS);
        if (first && trouble) {
            rec.line(command.node().name, command.id() + ": its connection is reset");
            return null;
        }
        return command.node().served(command, new byte[0]);
    }
}
