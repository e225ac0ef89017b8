package cacheproxy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLHandshakeException;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the control channel with mutual TLS on real sockets: accepted and rejected clients, and resource limits. */
@Timeout(60)
class TlsTest {
    private static final int MAX_CONNECTIONS = 32;
    private static final int HANDSHAKE_TIMEOUT_MS = 1_500;
    private static final int LONG_TIMEOUT_MS = 30_000;
    private static final int CALL_TIMEOUT_MS = 10_000;
    private static final String TOKEN = "0123456789abcdef-token";

    @TempDir
    static Path shared;

    private static Certificates certificates;

    @TempDir
    Path folder;

    private final AtomicInteger handledRequests = new AtomicInteger();
    private final BlockingQueue<ControlServer.Reply> keptReplies = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private InetSocketAddress serverAddress;

    @BeforeAll
    static void createCertificates() throws Exception {
        certificates = new Certificates(shared);
    }

    @AfterEach
    void close() throws Exception {
        Collections.reverse(opened);
        for (AutoCloseable c : opened) {
            c.close();
        }
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void answer(String op, Map<String, Object> request, ControlServer.Reply reply) {
        handledRequests.incrementAndGet();
        if (op.equals("keep")) {
            keptReplies.add(reply);
        } else {
            reply.end(Map.of("text", String.valueOf(request.get("text"))));
        }
    }

    private void startServer(String agent, boolean token, int handshakeTimeoutMs, int idleTimeoutMs, String... clients)
            throws Exception {
        certificates.agent(folder, agent, clients);
        Tls.NamedFile tokenFile =
                token ? new Tls.NamedFile("token", Certificates.file(folder.resolve("word"), TOKEN + "\n")) : null;
        ControlServer.ConnectionGuard guard = Tls.serverGuard(
                new Tls.Credentials(
                        new Tls.NamedFile("certificate", folder.resolve("agent.pem")),
                        new Tls.NamedFile("key", folder.resolve("agent.key")),
                        new Tls.NamedFile("clients", folder.resolve("clients.pem")),
                        tokenFile),
                handshakeTimeoutMs);
        ControlServer server = ControlServer.open(
                loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this::answer, guard, idleTimeoutMs);
        opened.add(server);
        serverAddress = (InetSocketAddress) server.address();
    }

    private void startServer() throws Exception {
        startServer("agent", false, HANDSHAKE_TIMEOUT_MS, LONG_TIMEOUT_MS, "ca");
    }

    private TlsEndpoint endpoint(String name, String trusted, String token) throws Exception {
        Path credentialsFolder = certificates.asking(folder.resolve(name + trusted + token), name, trusted, token);
        return new TlsEndpoint("127.0.0.1:" + serverAddress.getPort(), credentialsFolder);
    }

    private static Map<String, Object> echo(String text) {
        Map<String, Object> request = ControlCodec.request("echo");
        request.put("text", text);
        return request;
    }

    private void assertValidClientServed() throws Exception {
        int before = handledRequests.get();
        assertEquals(
                "good",
                endpoint("client", "ca", TOKEN)
                        .call(echo("good"), CALL_TIMEOUT_MS)
                        .get("text"));
        assertEquals(before + 1, handledRequests.get());
    }

    private Socket plainSocket() throws IOException {
        Socket s = new Socket(serverAddress.getAddress(), serverAddress.getPort());
        s.setSoTimeout(20_000);
        opened.add(s);
        return s;
    }

    private SSLSocket tlsSocket(SSLContext context, String version) throws Exception {
        SSLSocket s = (SSLSocket)
                context.getSocketFactory().createSocket(plainSocket(), "127.0.0.1", serverAddress.getPort(), true);
        s.setEnabledProtocols(new String[] {version});
        return s;
    }

    private static BufferedReader lines(Socket s) throws IOException {
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
    }

    private static void sendRequest(Socket s, Map<String, Object> request) throws IOException {
        s.getOutputStream().write((ControlCodec.encode(request) + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Attempts a handshake and a read; returns why this fails. */
    private String rejectionReason(String name) throws Exception {
        int before = handledRequests.get();
        SSLSocket s = tlsSocket(certificates.context(name), "TLSv1.3");
        IOException why = assertThrows(IOException.class, () -> {
            s.startHandshake();
            s.getInputStream().read();
        });
        assertEquals(before, handledRequests.get());
        return String.valueOf(why.getMessage());
    }

    /** Reads until the server closes; returns how long that took. */
    private static long timeUntilCloseMs(Socket s) throws IOException {
        long since = System.nanoTime();
        try {
            while (s.getInputStream().read() >= 0) {
                continue;
            }
        } catch (SocketException e) {
            assertEquals("Connection reset", e.getMessage());
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
    }

    // ---- accepted clients ----

    @Test
    void servesClientWithCertificateAndToken() throws Exception {
        startServer("agent", true, HANDSHAKE_TIMEOUT_MS, LONG_TIMEOUT_MS, "ca");
        assertValidClientServed();
        try (ControlClient client = endpoint("client", "ca", TOKEN).open(CALL_TIMEOUT_MS)) {
            String big = "x".repeat(60_000); // several records of TLS
            for (int i = 0; i < 50; i++) {
                client.send(echo(big + i), CALL_TIMEOUT_MS);
                assertEquals(big + i, client.next(CALL_TIMEOUT_MS).get("text"));
            }
            client.send(ControlCodec.request("keep"), CALL_TIMEOUT_MS);
            ControlServer.Reply reply = keptReplies.poll(10, TimeUnit.SECONDS);
            reply.part(Map.of("n", 1));
            reply.end(Map.of("n", 2));
            assertEquals(1, client.next(CALL_TIMEOUT_MS).get("n"));
            assertEquals(2, client.next(CALL_TIMEOUT_MS).get("n"));
        }
    }

    @Test
    void acceptsCertificateThatIsItselfTrusted() throws Exception {
        startServer("agent", false, HANDSHAKE_TIMEOUT_MS, LONG_TIMEOUT_MS, "client");
        assertValidClientServed();
        assertTrue(
                rejectionReason("elsewhere").contains("certificate"), "signed by the same CA, but not trusted itself");
    }

    // ---- rejected clients ----

    @Test
    void rejectsClientWithoutCertificate() throws Exception {
        startServer();
        String why = rejectionReason(null);
        assertTrue(why.contains("bad_certificate") || why.contains("certificate_required"), why);
        assertValidClientServed();
    }

    @Test
    void rejectsCertificateOfAnotherCa() throws Exception {
        startServer();
        String why = rejectionReason("stranger");
        assertTrue(why.contains("certificate_unknown"), why);
        assertValidClientServed();
    }

    /** The JDK doesn't check the dates of a certificate that is itself a trust anchor. */
    @Test
    void rejectsExpiredCertificateEvenIfTrusted() throws Exception {
        startServer("agent", false, HANDSHAKE_TIMEOUT_MS, LONG_TIMEOUT_MS, "ca", "past");
        for (String name : new String[] {"expired", "past"}) {
            String why = rejectionReason(name);
            assertTrue(why.contains("certificate"), name + ": " + why);
        }
        assertValidClientServed();
    }

    @Test
    void closesConnectionAfterWrongToken() throws Exception {
        startServer("agent", true, HANDSHAKE_TIMEOUT_MS, LONG_TIMEOUT_MS, "ca");
        for (Object token : new Object[] {"none", TOKEN + "x", TOKEN.substring(1), "", 7, List.of(TOKEN)}) {
            SSLSocket s = tlsSocket(certificates.context("client"), "TLSv1.3");
            Map<String, Object> request = echo("bad");
            if (!token.equals("none")) {
                request.put("token", token);
            }
            Map<String, Object> second = echo("second");
            second.put("token", TOKEN);
            s.getOutputStream()
                    .write((ControlCodec.encode(request) + "\n" + ControlCodec.encode(second) + "\n")
                            .getBytes(StandardCharsets.UTF_8));
            BufferedReader in = lines(s);
            assertEquals(
                    Map.of("v", 1, "ok", false, "error", "the token is missing or wrong", "gate", true, "end", true),
                    ControlCodec.decode(in.readLine()));
            assertEquals(null, in.readLine());
        }
        assertEquals(0, handledRequests.get());
        assertEquals(
                true,
                endpoint("client", "ca", null)
                        .call(echo("bad"), CALL_TIMEOUT_MS)
                        .get("gate"));
        assertEquals(0, handledRequests.get());
        assertValidClientServed();
    }

    @Test
    void rejectsTls12() throws Exception {
        startServer();
        SSLSocket s = tlsSocket(certificates.context("client"), "TLSv1.2");
        String why =
                assertThrows(SSLHandshakeException.class, s::startHandshake).getMessage();
        assertTrue(why.contains("protocol_version"), why);
        assertValidClientServed();
    }

    @Test
    void closesConnectionWithoutTls() throws Exception {
        startServer();
        for (String bytes :
                new String[] {ControlCodec.encode(echo("plain")) + "\n", "GET / HTTP/1.1\r\n\r\n", "\0".repeat(9)}) {
            Socket s = plainSocket();
            s.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            long ms = timeUntilCloseMs(s);
            assertTrue(ms < HANDSHAKE_TIMEOUT_MS, "at once, not after " + ms + " ms");
        }
        assertEquals(0, handledRequests.get());
        assertValidClientServed();
    }

    /** A failing write must not hide the alert that says why the client is rejected. */
    @Test
    void reportsRejectionToClientThatIsStillWriting() throws Exception {
        startServer();
        TlsEndpoint endpoint = endpoint("stranger", "ca", null);
        Map<String, Object> big = echo("x".repeat(4 << 20));
        for (int i = 0; i < 400; i++) {
            Map<String, Object> sent = i % 20 == 0 ? big : echo("small");
            String why = assertThrows(IOException.class, () -> endpoint.call(sent, CALL_TIMEOUT_MS))
                    .getMessage();
            assertTrue(why.startsWith("the handshake is refused: ") && why.contains("certificate_unknown"), why);
        }
        assertEquals(0, handledRequests.get());
        assertValidClientServed();
    }

    // ---- resource limits ----

    @Test
    void closesConnectionWithoutHandshakeInTime() throws Exception {
        startServer();
        Socket silent = plainSocket();
        Socket slowSocket = plainSocket();
        Thread slowWriter = new Thread(() -> {
            try {
                slowSocket.getOutputStream().write(new byte[] {22, 3, 1, 0x40, 0, 1, 0, 0x3f, (byte) 0xfc});
                while (true) {
                    slowSocket.getOutputStream().write(3);
                    Thread.sleep(50);
                }
            } catch (IOException | InterruptedException e) {
                // the server has closed the connection
            }
        });
        slowWriter.start();
        long ms = timeUntilCloseMs(silent);
        assertTrue(ms > HANDSHAKE_TIMEOUT_MS / 2 && ms < HANDSHAKE_TIMEOUT_MS * 4, "after " + ms + " ms");
        assertTrue(timeUntilCloseMs(slowSocket) < HANDSHAKE_TIMEOUT_MS * 4);
        slowWriter.join();
        assertValidClientServed();
    }

    @Test
    void closesIdleConnectionAfterHandshake() throws Exception {
        startServer("agent", false, HANDSHAKE_TIMEOUT_MS, 400, "ca");
        SSLSocket s = tlsSocket(certificates.context("client"), "TLSv1.3");
        s.startHandshake();
        assertTrue(timeUntilCloseMs(s) < 10_000);
        assertValidClientServed();
    }

    @Test
    void closesConnectionsOverLimitWithoutHandshake() throws Exception {
        startServer("agent", false, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, "ca");
        try (ControlClient open = endpoint("client", "ca", null).open(CALL_TIMEOUT_MS)) {
            open.send(echo("first"), CALL_TIMEOUT_MS);
            assertEquals("first", open.next(CALL_TIMEOUT_MS).get("text"));
            List<Socket> silent = new ArrayList<>();
            for (int i = 1; i < MAX_CONNECTIONS; i++) {
                silent.add(plainSocket());
            }
            for (int i = 0; i < 200; i++) {
                Socket over = plainSocket();
                over.setSoTimeout(5_000); // a connection over the limit is closed at once
                assertEquals(-1, over.getInputStream().read(), "closed without any TLS record");
            }
            TlsEndpoint more = endpoint("client", "ca", null);
            assertThrows(IOException.class, () -> more.call(echo("more"), CALL_TIMEOUT_MS));
            open.send(echo("second"), CALL_TIMEOUT_MS);
            assertEquals("second", open.next(CALL_TIMEOUT_MS).get("text"));
            assertEquals(2, handledRequests.get());
            for (Socket s : silent) {
                s.close();
            }
        }
        for (int tries = 0; ; tries++) { // the server frees the slots once it has seen the closes
            try {
                assertValidClientServed();
                return;
            } catch (IOException e) {
                assertTrue(tries < 100, () -> "no free connection slot: " + e);
                Thread.sleep(50);
            }
        }
    }

    @Test
    void servesOpenConnectionDuringFloodOfRejectedHandshakes() throws Exception {
        startServer();
        try (ControlClient open = endpoint("client", "ca", null).open(CALL_TIMEOUT_MS)) {
            SSLContext bad = certificates.context("stranger");
            for (int i = 0; i < 100; i++) {
                SSLSocket s = tlsSocket(bad, "TLSv1.3");
                assertThrows(IOException.class, () -> {
                    s.startHandshake();
                    s.getInputStream().read();
                    throw new SocketException("connection closed"); // over the connection limit
                });
                s.close();
                open.send(echo("n" + i), CALL_TIMEOUT_MS);
                assertEquals("n" + i, open.next(CALL_TIMEOUT_MS).get("text"));
            }
        }
    }

    /** Replies that a client doesn't read must not fill the agent's memory, nor their ciphertext. */
    @Test
    void closesClientThatReadsNoReplies() throws Exception {
        startServer();
        SSLSocket s = tlsSocket(certificates.context("client"), "TLSv1.3");
        s.startHandshake();
        sendRequest(s, ControlCodec.request("keep"));
        ControlServer.Reply reply = keptReplies.poll(10, TimeUnit.SECONDS);
        for (int i = 0; i < 600; i++) {
            reply.part(Map.of("text", "x".repeat(1 << 16)));
        }
        for (int tries = 0; reply.isOpen(); tries++) {
            assertTrue(tries < 200, "38 MB buffered for a client that reads nothing");
            Thread.sleep(50);
        }
        assertValidClientServed();
    }

    /** A session ticket would be accepted after the certificate has expired. */
    @Test
    void requestsCertificateOnEachConnection() throws Exception {
        startServer();
        SSLContext context = certificates.context("client");
        int before = certificates.certificateRequests();
        for (int i = 1; i <= 3; i++) {
            SSLSocket s = tlsSocket(context, "TLSv1.3");
            sendRequest(s, echo("a"));
            assertEquals("a", ControlCodec.decode(lines(s).readLine()).get("text"));
            assertEquals(before + i, certificates.certificateRequests());
            s.close();
        }
    }

    // ---- client ----

    private static String callFailure(TlsEndpoint endpoint, long withinMs) {
        return assertThrows(IOException.class, () -> endpoint.call(echo("no"), withinMs))
                .getMessage();
    }

    @Test
    void clientReportsWhyAgentRejectsIt() throws Exception {
        startServer();
        String why = callFailure(endpoint("stranger", "ca", null), CALL_TIMEOUT_MS);
        assertTrue(why.startsWith("the handshake is refused: ") && why.contains("certificate_unknown"), why);
        assertEquals(0, handledRequests.get());
    }

    @Test
    void clientRejectsAgentOfAnotherCaOrAddressOrExpired() throws Exception {
        startServer();
        String why = callFailure(endpoint("client", "other", null), CALL_TIMEOUT_MS);
        assertTrue(why.startsWith("the handshake is refused: ") && why.contains("PKIX"), why);
        startServer("elsewhere", false, HANDSHAKE_TIMEOUT_MS, LONG_TIMEOUT_MS, "ca");
        why = callFailure(endpoint("client", "ca", null), CALL_TIMEOUT_MS);
        assertTrue(why.contains("127.0.0.1"), why);
        startServer("expired", false, HANDSHAKE_TIMEOUT_MS, LONG_TIMEOUT_MS, "ca");
        why = callFailure(endpoint("client", "ca", null), CALL_TIMEOUT_MS);
        assertTrue(why.contains("handshake is refused"), why);
        assertEquals(0, handledRequests.get());
    }

    @Test
    void clientTimeoutCoversHandshakeRequestAndReply() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            serverAddress = (InetSocketAddress) silent.getLocalSocketAddress();
            long since = System.nanoTime();
            assertEquals("no handshake in time", callFailure(endpoint("client", "ca", null), 500));
            assertTrue(System.nanoTime() - since < 5_000_000_000L);
        }
        startServer();
        TlsEndpoint endpoint = endpoint("client", "ca", null);
        long since = System.nanoTime();
        try (ControlClient client = endpoint.open(CALL_TIMEOUT_MS)) {
            client.send(ControlCodec.request("keep"), CALL_TIMEOUT_MS);
            assertEquals(
                    "no reply in time",
                    assertThrows(IOException.class, () -> client.next(500)).getMessage());
        }
        try (ControlClient client = endpoint.open(CALL_TIMEOUT_MS)) {
            client.send(ControlCodec.request("keep"), CALL_TIMEOUT_MS); // the server reads no more until it has replied
            Map<String, Object> big = echo("x".repeat(30 << 20));
            assertEquals(
                    "request not sent in time",
                    assertThrows(IOException.class, () -> client.send(big, 700)).getMessage());
        }
        assertTrue(System.nanoTime() - since < 15_000_000_000L);
    }

    @Test
    void clientNamesInvalidCredentialFile() throws Exception {
        startServer();
        Path credentialsFolder = certificates.asking(folder.resolve("p"), "client", "ca", "short");
        TlsEndpoint endpoint = new TlsEndpoint("127.0.0.1:" + serverAddress.getPort(), credentialsFolder);
        assertTrue(callFailure(endpoint, CALL_TIMEOUT_MS).startsWith("token: "));
        Files.delete(credentialsFolder.resolve("token"));
        Files.delete(credentialsFolder.resolve("client.key"));
        assertTrue(callFailure(endpoint, CALL_TIMEOUT_MS).startsWith("client.key: "));
        assertThrows(
                cacheproxy.common.InvalidInputException.class, () -> new TlsEndpoint("localhost:1", credentialsFolder));
    }
}
