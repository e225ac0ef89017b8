package rev2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A client sends some hundred commands at once and closes its connection. Judged: what begins at a node, for this
 * client, later than 0.1 s after the close.
 */
final class Gone {
    private static final int READS = 128;
    private static final int WRITES = 136;
    private static final int VALUE_BYTES = 2_000;
    private static final int READ_WAIT_MS = 1_500;
    private static final int WRITE_WAIT_MS = 2_500;
    private static final int FIRST_WORK_MS = 200;
    private static final int WORK_MS = 300;
    private static final double LATEST_MS = 100;
    private static final double SLACK_MS = 50;

    public static void main(String[] args) {
        Case.run(args, (folder, rec, trouble) -> {
            Discovery discovery = new Discovery("discovery", rec);
            String[] firstId = new String[1];
            List<Node.Command> begun = Collections.synchronizedList(new ArrayList<>());
            for (int i = 0; i < 6; i++) {
                discovery.set(
                        new Node("s-" + i, rec, command -> {
                            begun.add(command);
                            Thread.sleep(command.id().equals(firstId[0]) ? FIRST_WORK_MS : WORK_MS);
                            return command.node().served(command, new byte[100]);
                        }),
                        "SERVING",
                        0);
            }
            try (Proxy proxy = new Proxy("n0", folder, rec, Proxy.settings())) {
                proxy.start(discovery.address(), discovery.list());
                proxy.awaitReady();
                warm(proxy);
                begun.clear();

                Map<String, Integer> waitMs = new HashMap<>();
                ByteArrayOutputStream commands = new ByteArrayOutputStream();
                for (int i = 0; i < READS + WRITES; i++) {
                    String id = Client.newId();
                    boolean read = i < READS;
                    int wait = read ? READ_WAIT_MS : WRITE_WAIT_MS;
                    waitMs.put(id, wait);
                    firstId[0] = i == 0 ? id : firstId[0];
                    String fields = "c=" + (read ? "phrase-lookup" : "usage-charge") + ",d=" + wait;
                    byte[] command = read
                            ? Client.read(id.substring(1), id, fields)
                            : Client.write(id.substring(1), id, fields, new byte[VALUE_BYTES]);
                    rec.line("client", "will send " + Client.firstLine(command));
                    commands.writeBytes(command);
                }
                Client client = new Client(proxy);
                int port = client.socket.getLocalPort();
                client.socket.setSoTimeout(6_000);
                rec.line("client", "sends these " + (READS + WRITES) + " commands, " + commands.size() + " bytes");
                double sentMs = rec.nowMs();
                client.out.write(commands.toByteArray());
                if (!trouble) {
                    for (int i = 0; i < READS + WRITES; i++) {
                        String answer = client.answer();
                        rec.line("client", "is answered " + answer);
                        Case.need(answer != null, "the connection has ended");
                    }
                }
                client.close();
                double closedMs = rec.line("client", "has closed its connection");
                for (int i = 0; trouble && i < 10; i++) {
                    rec.line("kernel", "the proxy's end: " + state(proxy.port, port));
                    Thread.sleep(10);
                }
                Thread.sleep(4_000);
                Case.need(closedMs - sentMs < 50 || !trouble, "sending took too long");
                Case.need(!begun.isEmpty(), "no request was sent on");
                rec.line("case", begun.size() + " attempts of this client have begun");
                // the time that an attempt tells its node shows when the proxy wrote it, whatever the node's delay
                return begun.stream()
                        .filter(c -> c.atMs() > closedMs + LATEST_MS + SLACK_MS)
                        .filter(c -> waitMs.get(c.id()) - Integer.parseInt(c.field("d")) > LATEST_MS + SLACK_MS)
                        .peek(c -> rec.line(
                                "judge",
                                String.format(
                                        Locale.ROOT,
                                        "%s (%s, d=%s of %d) began at %s %.0f ms after its client had gone",
                                        c.id(), c.field("c"), c.field("d"), waitMs.get(c.id()), c.node().name,
                                        c.atMs() - closedMs)))
                        .count();
            }
        });
    }

    private static void warm(Proxy proxy) throws IOException {
        try (Client client = new Client(proxy)) {
            client.socket.setSoTimeout(6_000);
            for (int i = 0; i < 10; i++) {
                String id = Client.newId();
                client.out.write(Client.read(id.substring(1), id, "c=phrase-lookup,d=1500"));
                Case.need(client.answer() != null, "a first request was not answered");
            }
        }
    }

    /** The state of the connection at the proxy, where the system tells it: CLOSE_WAIT once the close has come. */
    private static String state(int proxyPort, int clientPort) throws IOException {
        String local = String.format(":%04X", proxyPort);
        String remote = String.format(":%04X", clientPort);
        for (String file : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.exists(Path.of(file)) ? Files.readAllLines(Path.of(file)) : List.<String>of()) {
                String[] fields = line.strip().split("\\s+");
                if (fields.length > 4 && fields[1].endsWith(local) && fields[2].endsWith(remote)) {
                    return (fields[3].equals("08") ? "CLOSE_WAIT" : "state " + fields[3]) + ", not read: "
                            + Long.parseLong(fields[4].split(":")[1], 16) + " bytes";
                }
            }
        }
        return "not known";
    }
}
