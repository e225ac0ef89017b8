package cacheproxy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the control server with scripted operations, and with well-behaved and faulty clients. */
@Timeout(60)
class ControlServerTest {
    private static final int MAX_CONNECTIONS = 32;

    private final BlockingQueue<ControlServer.Reply> keptReplies = new LinkedBlockingQueue<>();
    private final AtomicInteger handledRequests = new AtomicInteger();
    private final AtomicInteger bigReplies = new AtomicInteger();
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private Path folder;
    private Path path;

    @BeforeEach
    void folder() throws IOException {
        folder = Files.createTempDirectory("control"); // with mode 700
        path = folder.resolve("s");
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable c : opened) {
            c.close();
        }
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(p);
            }
        }
    }

    private void answer(String op, Map<String, Object> request, ControlServer.Reply reply) {
        handledRequests.incrementAndGet();
        switch (op) {
            case "echo" -> reply.end(Map.of("text", String.valueOf(request.get("text"))));
            case "keep" -> keptReplies.add(reply);
            case "big" -> {
                bigReplies.incrementAndGet();
                reply.end(Map.of("text", "x".repeat(1 << 16)));
            }
            case "throw" -> throw new IllegalStateException("for the test");
            default -> reply.fail("no such operation");
        }
    }

    private ControlServer startServer(Path at) {
        ControlServer server = ControlServer.open(loop, at, this::answer);
        opened.add(server);
        return server;
    }

    private RawClient client() throws IOException {
        RawClient client = new RawClient(path);
        opened.add(client);
        return client;
    }

    private static String request(String op, String id) {
        return "{\"v\":1,\"op\":\"" + op + "\",\"id\":" + id + ",\"text\":\"t" + id.replace("\"", "") + "\"}";
    }

    private static void assertEchoed(RawClient client, String id) throws IOException {
        assertEquals(
                Map.of("v", 1, "id", Integer.parseInt(id), "ok", true, "text", "t" + id, "end", true),
                client.ask(request("echo", id)));
    }

    private ControlServer.Reply takeKeptReply() throws InterruptedException {
        ControlServer.Reply reply = keptReplies.poll(10, TimeUnit.SECONDS);
        assertTrue(reply != null, "no request was handled");
        return reply;
    }

    // ---- requests and replies ----

    @Test
    void replyRepeatsIdAndMarksEnd() throws Exception {
        startServer(path);
        RawClient client = client();
        assertEchoed(client, "7");
        assertEchoed(client, "7"); // the server doesn't require ids to be unique
        assertEquals("a", client.ask(request("echo", "\"a\"")).get("id"));
        assertEquals(
                List.of(1, 2),
                client.ask("{\"v\":1,\"op\":\"echo\",\"id\":[1,2]}").get("id"));
        assertFalse(client.ask("{\"v\":1,\"op\":\"echo\"}").containsKey("id"));
        assertEquals(
                "tä", client.ask("{\"v\":1,\"op\":\"echo\",\"text\":\"tä\"}").get("text"));
    }

    @Test
    void ignoresPartsAfterLastReply() throws Exception {
        startServer(path);
        RawClient client = client();
        client.send(request("keep", "1") + "\n");
        ControlServer.Reply reply = takeKeptReply();
        reply.part(Map.of("n", 1));
        reply.part(Map.of("n", 2));
        reply.end(Map.of("n", 3));
        reply.part(Map.of("n", 4));
        reply.end(Map.of("n", 5));
        reply.fail("late");
        for (int i = 1; i <= 3; i++) {
            assertEquals(Map.of("v", 1, "id", 1, "ok", true, "n", i, "end", i == 3), client.reply());
        }
        assertEchoed(client, "2");
    }

    @Test
    void keepsConnectionOpenAfterFailedRequest() throws Exception {
        startServer(path);
        RawClient client = client();
        assertEquals(
                Map.of("v", 1, "id", 1, "ok", false, "error", "no such operation", "end", true),
                client.ask(request("nothing", "1")));
        assertEchoed(client, "2");
    }

    @Test
    void controlClientReceivesReplyOrTimesOut() throws Exception {
        startServer(path);
        Map<String, Object> request = ControlCodec.request("echo");
        request.put("text", "hello");
        assertEquals("hello", ControlClient.call(path, request, 10_000).get("text"));
        IOException silent =
                assertThrows(IOException.class, () -> ControlClient.call(path, ControlCodec.request("keep"), 50));
        assertEquals("no reply in time", silent.getMessage());
    }

    /** A request of another version may mean something else and must not be handled. */
    @Test
    void rejectsUnknownVersionsAndMalformedRequests() throws Exception {
        startServer(path);
        for (String bad : new String[] {
            "{\"v\":2,\"op\":\"echo\"}",
            "{\"v\":0,\"op\":\"echo\"}",
            "{\"op\":\"echo\"}",
            "{\"v\":\"1\",\"op\":\"echo\"}",
            "{\"v\":1.5,\"op\":\"echo\"}",
            "{\"v\":4294967297,\"op\":\"echo\"}",
            "{\"v\":null,\"op\":\"echo\"}"
        }) {
            RawClient client = client();
            Map<String, Object> reply = client.ask(bad);
            assertEquals(false, reply.get("ok"), bad);
            assertTrue(reply.get("error").toString().contains("is not spoken here, only 1"), bad);
            client.expectEnd();
        }
        for (String bad : new String[] {
            "x",
            "",
            "[]",
            "1",
            "null",
            "\"echo\"",
            "{",
            "{\"v\":1}",
            "{}",
            "{\"v\":1,\"op\":7}",
            "GET / HTTP/1.1",
            "\u0000\u0001",
            "{\"v\":1,\"op\":\"echo\"",
            "{\"v\":1,\"op\":\"echo\",\"n\":" + "1".repeat(9000) + "}",
            "{\"v\":1,\"op\":\"echo\",\"n\":" + "[".repeat(30_000) + "]".repeat(30_000) + "}"
        }) {
            RawClient client = client();
            Map<String, Object> reply = client.ask(bad);
            assertEquals("not a JSON object with an op", reply.get("error"), bad);
            client.expectEnd();
        }
        assertEquals(0, handledRequests.get());
        assertEchoed(client(), "1");
    }

    /** What follows a malformed request may be a part of it: a drain in it must not be handled. */
    @Test
    void ignoresRequestsAfterMalformedOne() throws Exception {
        startServer(path);
        RawClient client = client();
        client.send("x\n" + (request("echo", "1") + "\n").repeat(50));
        assertEquals("not a JSON object with an op", client.reply().get("error"));
        client.expectEnd();
        assertEchoed(client(), "2");
        assertEquals(1, handledRequests.get());
    }

    @Test
    void closesOnlyConnectionWhoseHandlerThrows() throws Exception {
        startServer(path);
        RawClient other = client();
        assertEchoed(other, "1");
        RawClient client = client();
        client.send(request("throw", "1") + "\n");
        client.expectEnd();
        assertEchoed(other, "2");
        assertEchoed(client(), "3");
    }

    // ---- lines ----

    @Test
    void acceptsRequestsOfUpTo64Kilobytes() throws Exception {
        startServer(path);
        String shortest = "{\"v\":1,\"op\":\"echo\",\"text\":\"\"}";
        String text = "x".repeat(ControlCodec.MAX_REQUEST_BYTES - shortest.length());
        RawClient client = client();
        assertEquals(
                text, client.ask(shortest.replace("\"\"", "\"" + text + "\"")).get("text"));
        client.send(shortest.replace("\"\"", "\"x" + text + "\"") + "\n");
        assertEquals("a request of more than 65536 bytes", client.reply().get("error"));
        client.expectEnd();
        assertEquals(1, handledRequests.get());
    }

    /** A line without a line feed must not be buffered without limit. */
    @Test
    void rejectsLineWithoutLineFeedOnceTooLong() throws Exception {
        startServer(path);
        RawClient client = client();
        String piece = "x".repeat(1 << 16);
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 1000; i++) {
                        client.send(piece);
                    }
                },
                "64 MB of one line were read");
    }

    @Test
    void ignoresIncompleteLineAtEndOfStream() throws Exception {
        startServer(path);
        RawClient client = client();
        client.send(request("echo", "1")); // without its line feed the request may be incomplete
        client.endSending();
        client.expectEnd();
        assertEquals(0, handledRequests.get());
    }

    /** Clients like {@code nc} shut down their output after the request and then wait for the reply. */
    @Test
    void repliesToClientThatHasShutDownItsOutput() throws Exception {
        startServer(path);
        RawClient client = client();
        client.send(request("echo", "1") + "\n");
        client.endSending();
        assertEquals("t1", client.reply().get("text"));
        client.expectEnd();
    }

    /** Clients that hang must not use up the connection limit. */
    @Test
    void closesIdleConnections() throws Exception {
        opened.add(ControlServer.open(loop, path, this::answer, 100));
        RawClient silent = client();
        RawClient half = client();
        half.send("{\"v\":1,");
        RawClient after = client();
        assertEchoed(after, "1");
        silent.expectEnd();
        half.expectEnd();
        after.expectEnd();
    }

    /** A drain takes long; a client that waits for its end is not idle. */
    @Test
    void keepsConnectionThatWaitsForReply() throws Exception {
        opened.add(ControlServer.open(loop, path, this::answer, 100));
        RawClient client = client();
        client.send(request("keep", "1") + "\n");
        ControlServer.Reply reply = takeKeptReply();
        for (int i = 0; i < 3; i++) {
            client().expectEnd(); // the server closes each after the idle timeout of 100 ms
        }
        reply.end(Map.of("n", 1));
        assertEquals(1, client.reply().get("n"));
        client.expectEnd();
    }

    // ---- limits ----

    /** Pipelined requests are handled one after the other, however many a client writes at once. */
    @Test
    void handlesPipelinedRequestsSequentially() throws Exception {
        startServer(path);
        RawClient client = client();
        RawClient other = client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            all.append(request("keep", Integer.toString(i))).append('\n');
        }
        client.send(all.toString());
        for (int i = 0; i < 300; i++) {
            ControlServer.Reply reply = takeKeptReply();
            assertEchoed(other, Integer.toString(i));
            assertTrue(keptReplies.isEmpty(), "the next request was handled before the last reply to this one");
            reply.part(Map.of());
            reply.end(Map.of());
            assertEquals(i, client.reply().get("id"));
            assertEquals(i, client.reply().get("id"));
        }
    }

    /** Replies that a client doesn't read must not use up the memory of the server. */
    @Test
    void stopsReadingFromClientThatReadsNoReplies() throws Exception {
        startServer(path);
        RawClient other = client();
        List<RawClient> nonReading = new ArrayList<>();
        List<ByteBuffer> out = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            nonReading.add(client());
            out.add(StandardCharsets.UTF_8.encode((request("big", "1") + "\n").repeat(20_000)));
        }
        for (int idleRounds = 0, round = 0; idleRounds < 50; round++) { // until the server reads no more for 50 rounds
            int taken = 0;
            for (int i = 0; i < nonReading.size(); i++) {
                taken += nonReading.get(i).offer(out.get(i));
            }
            assertEchoed(other, Integer.toString(round));
            idleRounds = taken == 0 ? idleRounds + 1 : 0;
        }
        assertTrue(bigReplies.get() >= nonReading.size(), "requests of the clients were handled");
        assertTrue(bigReplies.get() <= 10 * nonReading.size(), bigReplies + " replies of 64 KB for ten that read none");
        assertEquals(
                1 << 16, nonReading.get(0).reply().get("text").toString().length(), "replies must not be truncated");
    }

    @Test
    void closesClientThatReadsNoReplies() throws Exception {
        opened.add(ControlServer.open(loop, path, this::answer, 100));
        RawClient nonReading = client();
        assertThrows(IOException.class, () -> {
            while (true) {
                nonReading.send(request("big", "1") + "\n"); // until the server reads no more and then closes
            }
        });
    }

    @Test
    void detectsClientGoneWhileSendingParts() throws Exception {
        startServer(path);
        RawClient client = client();
        client.send(request("keep", "1") + "\n");
        ControlServer.Reply reply = takeKeptReply();
        assertTrue(reply.isOpen());
        client.close();
        for (long end = System.nanoTime() + 10_000_000_000L; reply.isOpen(); Thread.yield()) {
            reply.part(Map.of());
            assertTrue(System.nanoTime() < end);
        }
    }

    /** The connection of a client that has disconnected must be closed even while there is no reply to send. */
    @Test
    void detectsClientGoneWithoutSending() throws Exception {
        opened.add(ControlServer.open(loop, path, this::answer, 100));
        RawClient client = client();
        client.send(request("keep", "1") + "\n");
        ControlServer.Reply reply = takeKeptReply();
        client.close();
        for (long end = System.nanoTime() + 10_000_000_000L; reply.isOpen(); Thread.yield()) {
            assertTrue(System.nanoTime() < end);
        }
    }

    @Test
    void handlesRequestsSentDuringLongReplyAfterwards() throws Exception {
        opened.add(ControlServer.open(loop, path, this::answer, 100));
        RawClient client = client();
        client.send(request("keep", "1") + "\n");
        ControlServer.Reply reply = takeKeptReply();
        client.send(request("keep", "2") + "\n" + request("keep", "3") + "\n");
        for (int i = 0; i < 4; i++) {
            client().expectEnd(); // the server closes each after the idle timeout of 100 ms
        }
        assertTrue(keptReplies.isEmpty(), "the next request was handled before the last reply to this one");
        for (int i = 1; i <= 3; i++) {
            reply.end(Map.of());
            assertEquals(i, client.reply().get("id"));
            reply = i < 3 ? takeKeptReply() : null;
        }
    }

    /** Each connection holds a file descriptor, which the process needs for requests. */
    @Test
    void rejectsConnectionsOverLimit() throws Exception {
        startServer(path);
        List<RawClient> first = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            first.add(client());
            assertEchoed(first.get(i), "1");
        }
        for (int i = MAX_CONNECTIONS; i < 100; i++) {
            RawClient more = client();
            assertEquals(Map.of("v", 1, "ok", false, "error", "too many connections", "end", true), more.reply());
            more.expectEnd();
        }
        for (RawClient c : first) {
            assertEchoed(c, "2");
        }
        first.get(0).send("x\n");
        first.get(0).reply();
        first.get(0).expectEnd(); // the server stops counting it before the client sees the close
        assertEchoed(client(), "3");
    }

    @Test
    void servesOrRejectsEachOf100ConcurrentConnections() throws Exception {
        startServer(path);
        List<RawClient> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            RawClient c = client();
            all.add(c);
            try {
                c.send(request("echo", "1") + "\n");
            } catch (IOException e) {
                // already rejected; the reply has the reason
            }
        }
        int answered = 0;
        for (RawClient c : all) {
            Map<String, Object> reply = c.reply();
            boolean ok = Boolean.TRUE.equals(reply.get("ok"));
            answered += ok ? 1 : 0;
            assertTrue(ok || reply.get("error").equals("too many connections"), reply.toString());
        }
        assertEquals(MAX_CONNECTIONS, answered);
    }

    /** A client that floods the socket with malformed requests must not starve others. */
    @Test
    void servesOthersDuringFloodOfMalformedRequests() throws Exception {
        startServer(path);
        RawClient wellBehaved = client();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger ended = new AtomicInteger();
        Thread bad = new Thread(() -> {
            while (!over.get()) {
                try (RawClient c = new RawClient(path)) {
                    while (true) {
                        c.send("\u0000x{]\n".repeat(10_000));
                    }
                } catch (IOException e) {
                    ended.incrementAndGet();
                }
            }
        });
        bad.start();
        for (int i = 0; i < 2_000 || ended.get() < 20; i++) {
            assertEchoed(wellBehaved, Integer.toString(i));
        }
        over.set(true);
        bad.join();
        assertEquals(0, keptReplies.size());
    }

    // ---- socket path and folder ----

    private String openFailure(Path at) {
        return assertThrows(InvalidInputException.class, () -> startServer(at)).getMessage();
    }

    private static String mode(Path folder) throws IOException {
        return PosixFilePermissions.toString(Files.getPosixFilePermissions(folder));
    }

    private Path ofLength(int bytes) {
        return folder.resolve("x".repeat(bytes - folder.toString().length() - 1));
    }

    @Test
    void rejectsSocketPathOverLimit() throws Exception {
        startServer(ofLength(ControlCodec.MAX_SOCKET_PATH_BYTES));
        String why = openFailure(ofLength(ControlCodec.MAX_SOCKET_PATH_BYTES + 1));
        assertTrue(why.contains("too long, 107 bytes, limit 106"), why);
        Path wide = folder.resolve("ä"
                .repeat((ControlCodec.MAX_SOCKET_PATH_BYTES - folder.toString().length()) / 2 + 1));
        assertTrue(openFailure(wide).contains("too long"), "the limit counts bytes");
    }

    @Test
    void createsMissingFolderWithMode700() throws Exception {
        Path deep = folder.resolve("a").resolve("b");
        startServer(deep.resolve("s"));
        assertEquals("rwx------", mode(deep));
        assertEquals("rwx------", mode(deep.getParent()));
    }

    /** Any user who can connect to the socket can end the process. */
    @Test
    void rejectsFolderAccessibleToOthers() throws Exception {
        for (String open : new String[] {"rwxr-xr-x", "rwx--x---", "rwx-----x", "rwx-w----", "rwxrwxrwx"}) {
            Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString(open));
            String why = openFailure(path);
            assertTrue(why.contains("accessible to other users (" + open + ")") && why.contains("mode 700"), why);
            assertFalse(Files.exists(path, LinkOption.NOFOLLOW_LINKS));
        }
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        startServer(path);
    }

    @Test
    void replacesStaleSocket() throws Exception {
        try (ServerSocketChannel dead = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            dead.bind(UnixDomainSocketAddress.of(path));
        }
        assertTrue(Files.exists(path));
        startServer(path);
        assertEchoed(client(), "1");
    }

    @Test
    void rejectsSocketInUse() throws Exception {
        startServer(path);
        assertTrue(openFailure(path).endsWith("is in use by another process"));
        assertEchoed(client(), "1");
    }

    /** The socket of a stopped process must neither block the start nor be taken for stale. */
    @Test
    void keepsSocketWhoseBacklogIsFull() throws Exception {
        try (ServerSocketChannel stopped = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            stopped.bind(UnixDomainSocketAddress.of(path), 1);
            for (boolean room = true; room; ) {
                SocketChannel c = SocketChannel.open(StandardProtocolFamily.UNIX);
                opened.add(c);
                c.configureBlocking(false);
                try {
                    c.connect(UnixDomainSocketAddress.of(path));
                } catch (IOException e) {
                    room = false;
                }
            }
            assertTrue(openFailure(path).contains("cannot check the existing control socket"));
            assertTrue(Files.exists(path));
        }
    }

    /** A plain file refuses connections like a stale socket but must not be removed. */
    @Test
    void keepsFileThatIsNotASocket() throws Exception {
        Files.writeString(path, "kept");
        assertTrue(openFailure(path).contains("the existing file is no socket"));
        assertEquals("kept", Files.readString(path));
        Path empty = Files.createDirectory(folder.resolve("empty"));
        openFailure(empty);
        assertTrue(Files.isDirectory(empty));
    }

    @Test
    void removesSocketOnClose() throws Exception {
        ControlServer server = startServer(path);
        assertNull(loop.submit(server::close).get(), "must not block on the event loop either");
        assertFalse(Files.exists(path));
    }
}
