package rev2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Lists are pushed. A proxy is killed, a node begins to drain and the agent has it, discovery goes down for 8 s, and
 * the proxy is started again within that time. Judged: what the new process sends to the draining node.
 */
final class Outage {
    private static final double GRACE_MS = 1000;
    private static final double SLACK_MS = 50;
    private static final long OUTAGE_MS = 8_000;
    private static volatile boolean draining;

    public static void main(String[] args) {
        Case.run(args, (folder, rec, trouble) -> {
            Discovery agent = new Discovery("agent", rec);
            List<Node.Command> begun = Collections.synchronizedList(new ArrayList<>());
            List<Node> nodes = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                Node node = new Node("s-" + i, rec, command -> {
                    begun.add(command);
                    Thread.sleep(40);
                    return command.node().name.equals("s-0") && draining
                            ? Node.line("SERVER_ERROR busy")
                            : command.node().served(command, new byte[100]);
                });
                nodes.add(node);
                agent.set(node, "SERVING", 0);
            }
            Map<String, Object> settings = Proxy.settings();
            settings.put("registryMode", "automatic");
            try (Proxy proxy = new Proxy("n0", folder, rec, settings)) {
                Map<String, Object> known = agent.list();
                proxy.start(agent.address(), known);
                proxy.awaitReady();
                try (Client client = new Client(proxy)) {
                    ask(client, 40, rec);
                }
                Case.need(begun.stream().anyMatch(c -> c.node() == nodes.get(0)), "s-0 was never asked before it drained");

                proxy.signal("KILL");
                Case.need(proxy.awaitEnd(5_000), "the proxy did not end");
                draining = true;
                agent.set(nodes.get(0), "DRAINING", 0);
                Thread.sleep(300);
                double downMs = rec.nowMs();
                if (trouble) {
                    agent.silent(true);
                    Node.daemon(() -> {
                        Thread.sleep(OUTAGE_MS);
                        agent.silent(false);
                    });
                }
                Thread.sleep(200);
                double startedMs = rec.nowMs();
                proxy.start(agent.address(), known);
                proxy.awaitReady();
                double readyMs = rec.nowMs();
                rec.line("case", String.format("the proxy was ready %.0f ms after the outage began", readyMs - downMs));
                try (Client client = new Client(proxy)) {
                    while (rec.nowMs() < startedMs + 12_000) {
                        ask(client, 10, rec);
                        Thread.sleep(50);
                    }
                }
                return begun.stream()
                        .filter(c -> c.node() == nodes.get(0) && c.atMs() > startedMs + GRACE_MS + SLACK_MS)
                        .peek(c -> rec.line(
                                "judge",
                                String.format(
                                        "%s was sent to s-0, which drains, at %.1f: %.0f ms after the process began",
                                        c.id(), c.atMs(), c.atMs() - startedMs)))
                        .count();
            }
        });
    }

    private static void ask(Client client, int count, Rec rec) throws IOException {
        client.socket.setSoTimeout(3_000);
        for (int i = 0; i < count; i++) {
            String id = Client.newId();
            client.out.write(Client.read(id.substring(1), id, "c=phrase-lookup,d=1500"));
            rec.line("client", id + " is answered " + client.answer());
        }
    }
}
