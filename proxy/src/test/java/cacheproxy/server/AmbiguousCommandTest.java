package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against ambiguous commands, of which the proxy reads one meaning and the node the other. */
@Timeout(60)
class AmbiguousCommandTest {
    private static final String MG = "mg 7f3a9c21e0b4d655 v ";
    private static final String MS = "ms 7f3a9c21e0b4d655 5 ";

    /** Sends each command on its own connection, followed by {@code mn}; all must be answered {@code CLIENT_ERROR}. */
    private static void assertRejected(String... commands) throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            List<Peer> clients = new ArrayList<>();
            for (int i = 0; i < commands.length; i++) {
                Peer client = fixture.client();
                clients.add(client);
                client.send(commands[i].replace("?", "a" + i) + "mn\r\n");
            }
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < commands.length; i++) {
                String line = clients.get(i).line();
                if (!line.startsWith("CLIENT_ERROR ")) {
                    accepted.add(commands[i] + line);
                }
                clients.get(i).expect("MN"); // the connection stays open, and the value is not decoded as commands
            }
            assertEquals(List.of(), accepted);
            assertEquals(0, fixture.nodes.get(0).count(), "no command was forwarded");
        }
    }

    private static String readCommand(String fields) {
        return MG + "O? P" + fields + "\r\n";
    }

    private static String writeCommand(String tokens) {
        return MS + tokens + "\r\nmn\r\nx\r\n"; // the five bytes of the value would decode as a command
    }

    /** Guards against retrying a charge: the node reads class charge, but the proxy lookup, which is safe to retry. */
    @Test
    void rejectsCommandWithTwoFieldLists() throws Exception {
        assertRejected(
                writeCommand("O? Pc=charge,t=acme,d=300,k=5c0f Pc=lookup,t=acme,d=300"),
                writeCommand("O? Pc=lookup,t=acme,d=300 Pc=charge,t=acme,d=300,k=5c0f"),
                writeCommand("Pc=charge,t=acme,d=300 O? Pc=charge,t=acme,d=300"),
                MG + "O? Pc=lookup,t=acme,d=300 Pc=lookup,t=acme,d=300\r\n",
                MG + "O? Pc=lookup,t=acme,d=300 P\r\n");
    }

    /** Guards against a request that runs, but whose response carries the other id and is discarded. */
    @Test
    void rejectsCommandWithTwoIds() throws Exception {
        assertRejected(
                MG + "O? Ob? Pc=lookup,t=acme,d=300\r\n",
                MG + "O? O? Pc=lookup,t=acme,d=300\r\n",
                MG + "O? Pc=lookup,t=acme,d=300 Ob?\r\n",
                MG + "O? Pc=lookup,t=acme,d=300 O\r\n",
                writeCommand("O? Ob? Pc=charge,t=acme,d=300,k=5c0f"));
    }

    @Test
    void rejectsCommandWithDuplicateField() throws Exception {
        assertRejected(
                readCommand("c=charge,c=lookup,t=acme,d=300"),
                readCommand("c=lookup,t=acme,d=300,c=lookup"),
                readCommand("c=lookup,t=acme,t=acme,d=300"),
                readCommand("t=nobody,c=lookup,t=acme,d=300"),
                readCommand("c=lookup,t=acme,d=300,d=299"),
                readCommand("d=300,c=lookup,t=acme,d=300"),
                readCommand("c=lookup,t=acme,d=300,r=1,r=0"),
                readCommand("c=lookup,t=acme,d=300,h=100,h=200"),
                readCommand("c=lookup,t=acme,d=300,size=9,size=8"),
                writeCommand("O? Pc=submit,t=acme,d=300,k=5c0f,k=5c10"),
                writeCommand("O? Pc=submit,t=acme,d=300,k=,k=5c0f"),
                writeCommand("O? Pc=charge,c=lookup,t=acme,d=300,k=5c0f"));
    }

    /** Guards against hits that nodes answer with {@code HD}, no valid response to a read, if {@code v} is missing. */
    @Test
    void rejectsReadThatRequestsNoValue() throws Exception {
        assertRejected(
                "mg 7f3a9c21e0b4d655 O? Pc=lookup,t=acme,d=300\r\n",
                "mg 7f3a9c21e0b4d655 t O? Pc=lookup,t=acme,d=300\r\n");
    }

    /** Fields that occur once are still accepted, in any order and together with unknown fields. */
    @Test
    void forwardsCommandWithUniqueFieldsUnchanged() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.client().send(MG + "O1 Psize=12,x=1,h=100,r=1,k=5c0f,t=acme,c=lookup,d=4000\r\n");
            String line = fixture.nodes.get(0).next().line();
            assertTrue(line.startsWith(MG + "O1 Psize=12,x=1,h=100,r=1,k=5c0f,t=acme,c=lookup,d="), line);
        }
    }

    /** Guards against the remaining time being written into the key, so that another key is requested. */
    @Test
    void forwardsKeyThatLooksLikeFieldsUnchanged() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            String command = "mg Pc=lookup,t=acme,d=4000 v O1 Pc=lookup,t=acme,d=";
            fixture.client().send(command + "4000\r\n");
            String line = fixture.nodes.get(0).next().line();
            assertTrue(line.startsWith(command), line);
        }
    }

    private static String submitCommand(String key) {
        return "ms 7f3a9c21e0b4d655 5 Oc1 Pc=submit,t=acme,d=700" + key + "\r\nhello\r\n";
    }

    /** Guards against a retry that runs twice: nodes detect duplicates only by the idempotency key. */
    @Test
    void doesNotRetryWriteWithoutIdempotencyKeyThatMayHaveRun() throws Exception {
        for (String key : new String[] {"", ",k="}) {
            try (ProxyFixture fixture = new ProxyFixture(2)) {
                Peer client = fixture.client();
                client.send(submitCommand(key));
                Peer node = new CommandArrivals(fixture).next();
                assertEquals("Oc1", CommandArrivals.readCommandId(node));
                node.reset();
                client.expect("SERVER_ERROR failed");
                assertEquals(
                        1,
                        fixture.nodes.get(0).count() + fixture.nodes.get(1).count(),
                        "the command may reach only one node");
            }
        }
    }

    /** Guards against a write that runs twice because the client retries it after a rejection. */
    @Test
    void failsInsteadOfRejectingWriteWithoutIdempotencyKeyThatMayHaveRun() throws Exception {
        for (String key : new String[] {"", ",k="}) {
            try (ProxyFixture fixture = new ProxyFixture(1)) {
                Peer client = fixture.client();
                client.send(submitCommand(key));
                Peer node = fixture.nodes.get(0).next();
                assertEquals("Oc1", CommandArrivals.readCommandId(node));
                client.expect("SERVER_ERROR failed"); // at its deadline, since the node did not respond
            }
        }
    }

    @Test
    void retriesWriteWithIdempotencyKey() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            CommandArrivals arrivals = new CommandArrivals(fixture);
            Peer client = fixture.client();
            client.send(submitCommand(",k=5c0f"));
            Peer node = arrivals.next();
            assertEquals("Oc1", CommandArrivals.readCommandId(node));
            node.reset();
            Peer second = arrivals.next();
            assertEquals("Oc1", CommandArrivals.readCommandId(second));
            second.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }
}
