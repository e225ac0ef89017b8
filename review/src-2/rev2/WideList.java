package rev2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;

/**
 * A fleet of 3,200 nodes; lists are pushed, indented. A new configuration names another agent, and some seconds later a
 * quarter of the nodes begin to drain. Judged: what is sent to them once the drain counts as told.
 */
final class WideList {
    private static final int NODES = 3_200;
    private static final double TOLD_AFTER_SIGHUP_MS = 4_000;
    private static final double GRACE_MS = 1_000;
    private static final double SLACK_MS = 50;

    public static void main(String[] args) {
        Case.run(args, (folder, rec, trouble) -> {
            Discovery first = new Discovery("agent1", rec);
            Discovery second = new Discovery("agent2", rec);
            List<Node.Command> begun = Collections.synchronizedList(new ArrayList<>());
            Map<String, String> all = new LinkedHashMap<>();
            Map<String, String> quarter = new LinkedHashMap<>();
            boolean[] draining = new boolean[1];
            for (int i = 0; i < NODES; i++) {
                boolean drains = i % 4 == 0;
                String id = UUID.nameUUIDFromBytes(("node " + i).getBytes(StandardCharsets.US_ASCII)).toString();
                Node node = new Node(id, "127." + (100 + i % 7) + "." + (100 + i / 100) + "." + (100 + i % 100), rec, command -> {
                    begun.add(command);
                    if (drains && draining[0]) {
                        return Node.line("SERVER_ERROR busy");
                    }
                    Thread.sleep(40);
                    return command.node().served(command, new byte[100]);
                });
                all.put(node.name, node.address());
                if (drains) {
                    quarter.put(node.name, node.address());
                }
            }
            long startedMs = System.currentTimeMillis() - 3_600_000;
            for (Discovery agent : List.of(first, second)) {
                agent.indented = true;
                agent.rough = true;
                agent.set(all, "SERVING", startedMs);
            }
            Map<String, Object> settings = Proxy.settings();
            settings.put("registryMode", "automatic");
            try (Proxy proxy = new Proxy("n0", folder, rec, settings)) {
                proxy.start(first.address(), first.list());
                proxy.awaitReady();
                double readyMs = rec.nowMs();
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < 8; i++) {
                    clients.add(Node.daemon(() -> ask(proxy, rec, readyMs + 16_000)));
                }
                Thread.sleep(2_000);
                double hupMs = rec.nowMs();
                if (trouble) {
                    proxy.configure(second.address(), first.list());
                    proxy.signal("HUP");
                    first.retire();
                }
                Thread.sleep(6_000);
                draining[0] = true;
                double drainMs = rec.line("case", "a quarter of the nodes begin to drain");
                first.set(quarter, "DRAINING", startedMs);
                second.set(quarter, "DRAINING", startedMs);
                for (Thread client : clients) {
                    client.join();
                }
                Case.need(proxy.alive(), "the proxy has ended");
                Case.need(begun.size() > 500, "only " + begun.size() + " requests were sent on");
                double lateMs = Math.max(drainMs, hupMs + TOLD_AFTER_SIGHUP_MS) + GRACE_MS + SLACK_MS;
                return begun.stream()
                        .filter(c -> quarter.containsKey(c.node().name) && c.atMs() > lateMs)
                        .peek(c -> rec.line(
                                "judge",
                                String.format(
                                        "%s was sent to %s, which drains, at %.1f: %.0f ms after the drain",
                                        c.id(), c.node().name, c.atMs(), c.atMs() - drainMs)))
                        .count();
            }
        });
    }

    private static void ask(Proxy proxy, Rec rec, double untilMs) throws IOException, InterruptedException {
        Random random = new Random();
        try (Client client = new Client(proxy)) {
            client.socket.setSoTimeout(3_000);
            while (rec.nowMs() < untilMs) {
                String id = Client.newId();
                byte[] read = Client.read(Long.toHexString(random.nextLong()), id, "c=phrase-lookup,d=1500");
                rec.line("client", "sends " + Client.firstLine(read));
                client.out.write(read);
                rec.line("client", id + " is answered " + client.answer());
                Thread.sleep(40);
            }
        }
    }
}
