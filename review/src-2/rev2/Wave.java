package rev2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sound clients send writes of 64 KiB and lookups, many at once, and take each answer. Beside them some bad clients stop in
 * the middle of a value and stay. Judged: requests of the sound clients that the proxy's machine has taken, and whose
 * connection the proxy ends without an answer.
 */
final class Wave {
    private static final int SOUND = 8;
    private static final int WRITES = 6;
    private static final int READS = 5;
    private static final int VALUE_BYTES = 64 << 10;
    private static final int SEND_BUFFER_BYTES = 8 << 10;
    private static final int BAD = 100;
    private static final int BAD_BYTES = 60_000;
    private static final int WAVES = 15;
    private static final long WAVE_MS = 1_000;

    /** One request of a sound client: its id, and where its last byte lies in what its connection sends. */
    private record Sent(String id, long end) {}

    public static void main(String[] args) {
        Case.run(args, (folder, rec, trouble) -> {
            Discovery discovery = new Discovery("discovery", rec);
            for (int i = 0; i < 8; i++) {
                discovery.set(
                        new Node("s-" + i, rec, command -> {
                            Thread.sleep(30);
                            return command.node().served(command, new byte[100]);
                        }),
                        "SERVING",
                        0);
            }
            try (Proxy proxy = new Proxy("n0", folder, rec, Proxy.settings())) {
                proxy.start(discovery.address(), discovery.list());
                proxy.awaitReady();
                Thread.sleep(500);
                double untilMs = rec.nowMs() + WAVES * WAVE_MS;
                AtomicLong answered = new AtomicLong();
                List<String> lost = Collections.synchronizedList(new ArrayList<>());
                List<Thread> sound = new ArrayList<>();
                for (int i = 0; i < SOUND; i++) {
                    String name = "sound-" + i;
                    sound.add(Node.daemon(() -> {
                        while (rec.nowMs() < untilMs) {
                            connection(proxy, rec, name, untilMs, answered, lost);
                        }
                    }));
                }
                while (rec.nowMs() < untilMs) {
                    if (trouble) {
                        wave(proxy, rec);
                    }
                    Thread.sleep(WAVE_MS);
                }
                for (Thread client : sound) {
                    client.join();
                }
                Case.need(proxy.alive(), "the proxy has ended");
                Case.need(answered.get() > 1_000, "only " + answered.get() + " requests were answered");
                rec.line("case", answered.get() + " requests of sound clients were answered");
                lost.forEach(line -> rec.line("judge", line));
                return lost.size();
            }
        });
    }

    /** Bad clients, all at once: each sends most of a write and says no more until it is turned away. */
    private static void wave(Proxy proxy, Rec rec) throws IOException {
        byte[] bytes = Client.write("k", Client.newId(), "c=phrase-submit,d=2500,k=1", new byte[VALUE_BYTES]);
        CyclicBarrier together = new CyclicBarrier(BAD);
        for (int i = 0; i < BAD; i++) {
            Socket socket = new Socket("127.0.0.1", proxy.port);
            Node.daemon(() -> {
                try (socket) {
                    together.await();
                    socket.getOutputStream().write(bytes, 0, BAD_BYTES);
                    socket.setSoTimeout(6_000);
                    while (socket.getInputStream().read() >= 0) {
                        // its error line
                    }
                }
            });
        }
        rec.line("bad", BAD + " clients stop in the middle of a value");
    }

    /**
     * One connection of a sound client. A request counts as taken once all of it has left the client's machine: what
     * the client has written, less its send buffer, which bounds what its own kernel still holds.
     */
    private static void connection(
            Proxy proxy, Rec rec, String name, double untilMs, AtomicLong answered, List<String> lost)
            throws IOException, InterruptedException {
        Socket socket = new Socket();
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        socket.setTcpNoDelay(true);
        socket.connect(new java.net.InetSocketAddress("127.0.0.1", proxy.port));
        int held = socket.getSendBufferSize();
        try (Client client = new Client(socket)) {
            client.socket.setSoTimeout(8_000);
            long[] position = new long[1];
            AtomicLong written = new AtomicLong();
            long takenAtError = -1;
            while (rec.nowMs() < untilMs) {
                List<Sent> sent = new ArrayList<>();
                byte[] burst = burst(sent, position[0]);
                position[0] += burst.length;
                StringBuilder ids = new StringBuilder();
                sent.forEach(request -> ids.append(' ').append(request.id));
                rec.line(name, "sends" + ids);
                Thread writer = Node.daemon(() -> {
                    for (int at = 0; at < burst.length; at += 4096) {
                        int count = Math.min(4096, burst.length - at);
                        client.out.write(burst, at, count);
                        written.addAndGet(count);
                    }
                });
                for (int i = 0; i < sent.size(); i++) {
                    String answer;
                    try {
                        answer = client.answer();
                    } catch (IOException e) {
                        answer = null;
                    }
                    if (answer == null) {
                        long taken = takenAtError >= 0 ? takenAtError : written.get() - held;
                        double atMs = rec.line(name, "the proxy has ended the connection");
                        // an end before the first answer of a burst may cross it between two requests, which is allowed
                        for (Sent request : sent.subList(i, sent.size())) {
                            if (i > 0 && request.end <= taken) {
                                lost.add(String.format(
                                        "%s of %s, taken (%d bytes behind it), got no answer: ended at %.1f",
                                        request.id, name, taken - request.end, atMs));
                            }
                        }
                        return;
                    }
                    if (answer.startsWith("CLIENT_ERROR")) {
                        takenAtError = written.get() - held; // what is taken later is not counted
                    }
                    answered.incrementAndGet();
                    rec.line(name, sent.get(i).id + " is answered " + answer);
                }
                writer.join();
            }
        }
    }

    private static byte[] burst(List<Sent> sent, long position) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < WRITES; i++) {
            String id = Client.newId();
            String key = Long.toHexString(ThreadLocalRandom.current().nextLong());
            String fields = "c=phrase-submit,d=2500,k=" + id.substring(1);
            out.writeBytes(Client.write(key, id, fields, new byte[VALUE_BYTES]));
            sent.add(new Sent(id, position + out.size()));
            for (int j = 0; j < READS; j++) {
                String readId = Client.newId();
                String readKey = Long.toHexString(ThreadLocalRandom.current().nextLong());
                out.writeBytes(Client.read(readKey, readId, "c=phrase-lookup,d=1500"));
                sent.add(new Sent(readId, position + out.size()));
            }
        }
        return out.toByteArray();
    }
}
