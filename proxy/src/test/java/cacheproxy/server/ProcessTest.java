package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy as a process: signals, standard error, file descriptors and exit codes. */
@Timeout(90)
class ProcessTest {
    /** Fills the pipe of standard error, through a separate descriptor so that the proxy's own stays blocking. */
    private static final String FULL_PIPE = "exec 3>&2; "
            + "dd if=/dev/zero of=/proc/self/fd/3 bs=1024 count=4096 oflag=nonblock conv=notrunc 2> /dev/null; exec 3>&-";

    private Peer.Listener discovery;
    private Peer.Listener node;

    @BeforeEach
    void open() throws IOException {
        discovery = new Peer.Listener();
        node = new Peer.Listener();
    }

    @AfterEach
    void close() throws IOException {
        discovery.close();
        node.close();
    }

    private ProxyChildProcess startProxy(ProxyChildProcess.Start options) throws IOException {
        return options.with(discovery, ProxyFixture.endpointList(1, true, ProxyFixture.listEntry(0, "SERVING", node)));
    }

    private ProxyChildProcess startProxy() throws IOException {
        return startProxy(new ProxyChildProcess.Start());
    }

    /** Has a request served by the node, on {@code openConnection} or, if that is null, on a new connection. */
    private Peer serve(Peer client, String id, Peer openConnection) throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        Peer connection = openConnection != null ? openConnection : node.next();
        assertEquals("O" + id, CommandArrivals.readCommandId(connection));
        connection.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        return connection;
    }

    // ---- standard error ----

    private ProxyChildProcess startWithFullPipe() throws IOException {
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.shellCommands = FULL_PIPE;
        options.errorOutputUnread = true;
        return startProxy(options);
    }

    /** If the reader of standard error hangs, a line written on the event loop would block all requests. */
    @Test
    void servesRequestsWithFullPipeOnStandardError() throws Exception {
        try (ProxyChildProcess child = startWithFullPipe()) {
            Peer client = child.connectWhenReady();
            assertTrue(child.process.getErrorStream().available() >= 65_536, "the pipe is full");
            Peer connection = serve(client, "a1", null);
            discovery.next().close(); // this failure is logged
            discovery.next(); // the next call, which is made after the line was logged
            serve(client, "a2", connection);
        }
    }

    /** SIGTERM would hang if the thread that ends the process blocked on writing the last line. */
    @Test
    void exitsOnSigtermWithFullPipeOnStandardError() throws Exception {
        try (ProxyChildProcess child = startWithFullPipe()) {
            child.connectWhenReady().close();
            assertTrue(child.process.getErrorStream().available() >= 65_536, "the pipe is full");
            child.signal("TERM");
            assertEquals(0, child.awaitExit(6));
        }
    }

    // ---- the event loop ----

    /** A proxy whose event loop has terminated serves nothing; it must neither keep running nor exit with code 0. */
    @Test
    void exitsWithCode70IfEventLoopTerminates() throws Exception {
        Path aliveFile = Files.createTempFile("alive", "");
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.program = new String[] {"cacheproxy.server.CrashingEventLoopMain", aliveFile.toString()};
        try (ProxyChildProcess child = startProxy(options)) {
            serve(child.connectWhenReady(), "a1", null);
            Files.delete(aliveFile);
            assertEquals(70, child.awaitExit(10));
            assertTrue(
                    child.errorLines.stream().anyMatch(line -> line.contains("the loop has ended")),
                    child.errorLines.toString());
        }
    }

    /** The drain runs on the event loop: waiting for it without a limit would never end if the loop hangs. */
    @Test
    void exitsOnSigtermIfEventLoopHangs() throws Exception {
        Path aliveFile = Files.createTempFile("alive", "");
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.program = new String[] {"cacheproxy.server.HangingEventLoopMain", aliveFile.toString()};
        try (ProxyChildProcess child = startProxy(options)) {
            child.connectWhenReady();
            Files.delete(aliveFile);
            child.awaitErrorLine(0, "hanging");
            child.signal("TERM");
            assertEquals(0, child.awaitExit(12));
            child.assertErrorLine("the loop hangs");
        }
    }

    /**
     * A logger that Netty creates before the proxy's factory is set opens files at its first line, which ends the event
     * loop if no file descriptor is free.
     */
    @Test
    void nettyLogsToLogOfProxy() throws Exception {
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.program = new String[] {"cacheproxy.server.NettyLoggerProbe"};
        try (ProxyChildProcess child = startProxy(options)) {
            child.awaitErrorLine(0, "LOGGER ");
            child.assertErrorLine("LOGGER cacheproxy.logging.NettyLoggerFactory");
        }
    }

    // ---- starts that fail ----

    /** A proxy that cannot start would never exit if it blocked on writing the reason. */
    @Test
    void exitsWithCode2AfterFailedStartWithFullPipeOnStandardError() throws Exception {
        try (ServerSocket portHolder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ProxyChildProcess.Start options = new ProxyChildProcess.Start();
            options.port = portHolder.getLocalPort();
            options.shellCommands = FULL_PIPE;
            options.errorOutputUnread = true;
            try (ProxyChildProcess child = startProxy(options)) {
                assertEquals(2, child.awaitExit(15));
            }
        }
    }

    /** Threads that were already started would keep a process running that serves nobody. */
    @Test
    void exitsWithCode70IfStartFailsUnexpectedly() throws Exception {
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.program = new String[] {"cacheproxy.server.UncreatableEventLoopMain"};
        try (ProxyChildProcess child = startProxy(options)) {
            assertEquals(70, child.awaitExit(15));
            child.assertErrorLine("cannot start: java.lang.IllegalStateException: planted");
        }
    }

    // ---- signals during the start ----

    /** A reload of all proxies must not end one that is still starting. */
    @Test
    void reloadsAfterStartOnSighupDuringStart() throws Exception {
        try (ProxyChildProcess child = startProxy()) {
            child.awaitClassLoaded("cacheproxy.configuration.ProxyConfiguration"); // main is running
            for (int i = 0; i < 5; i++) {
                child.signal("HUP");
            }
            serve(child.connectWhenReady(), "a1", null);
            child.awaitErrorLine(0, "configuration taken");
        }
    }

    /** Before the handler is installed, while the first classes are loaded, SIGHUP would end the process. */
    @Test
    void reloadsAfterStartOnSighupDuringClassLoading() throws Exception {
        try (ProxyChildProcess child = startProxy()) {
            child.awaitClassLoaded("cacheproxy.server.ProxyProcess");
            child.signal("HUP");
            serve(child.connectWhenReady(), "a1", null);
            child.awaitErrorLine(0, "configuration taken");
        }
    }

    private void assertExitsOnSigtermOnceLoaded(String className) throws Exception {
        try (ProxyChildProcess child = startProxy()) {
            child.awaitClassLoaded(className);
            child.signal("TERM");
            assertEquals(0, child.awaitExit(6), "SIGTERM once " + className + " is loaded");
        }
    }

    /** Otherwise a cancelled restart would count as a crash, or leave a process that nobody supervises. */
    @Test
    void exitsWithCode0OnSigtermAtBeginningOfStart() throws Exception {
        assertExitsOnSigtermOnceLoaded("cacheproxy.configuration.ProxyConfiguration");
    }

    @Test
    void exitsWithCode0OnSigtermDuringJitWarmUp() throws Exception {
        assertExitsOnSigtermOnceLoaded("cacheproxy.server.JitWarmUp");
    }

    /** The proxy waits up to 3 s until the previous process has released the address. */
    @Test
    void exitsWithCode0OnSigtermWhileWaitingForAddress() throws Exception {
        try (ServerSocket portHolder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ProxyChildProcess.Start options = new ProxyChildProcess.Start();
            options.port = portHolder.getLocalPort();
            try (ProxyChildProcess child = startProxy(options)) {
                child.awaitClassLoaded("java.net.BindException");
                child.signal("TERM");
                assertEquals(0, child.awaitExit(6));
            }
        }
    }

    @Test
    void exitsWithCode0OnRepeatedSighupAndSigtermDuringStart() throws Exception {
        try (ProxyChildProcess child = startProxy()) {
            child.awaitClassLoaded("cacheproxy.configuration.ProxyConfiguration");
            for (int i = 0; i < 3 && child.process.isAlive(); i++) {
                child.signal("HUP");
                child.signal("TERM");
            }
            assertEquals(0, child.awaitExit(6));
        }
    }

    // ---- shutdown ----

    /** The front end learns of the shutdown only later; the requests that it sends meanwhile would be rejected. */
    @Test
    void keepsServingForSomeTimeAfterSigtermAndThenExits() throws Exception {
        try (ProxyChildProcess child = startProxy()) {
            Peer client = child.connectWhenReady();
            Peer connection = serve(client, "a", null);
            long sigtermNs = System.nanoTime();
            child.signal("TERM");
            child.awaitErrorLine(0, "shutting down");
            int requests = 0;
            for (boolean expectServed = true; expectServed; requests++) { // the front end keeps sending
                boolean served = trySending(child, client, connection, "a" + requests);
                expectServed = System.nanoTime() - sigtermNs < 400_000_000L;
                assertTrue(
                        served || !expectServed, "rejected within 0.4 s of SIGTERM, after " + requests + " requests");
            }
            client.close();
            assertEquals(0, child.awaitExit(6));
        }
    }

    /** Sends {@code mn} on a new connection and a request on the existing one; returns whether both were served. */
    private static boolean trySending(ProxyChildProcess child, Peer client, Peer connection, String id) {
        try (Peer newClient = Peer.to(child.address)) {
            newClient.send("mn\r\n");
            client.send(ProxyFixture.readCommand(id, 4000));
            if (!"MN".equals(newClient.line()) || !("O" + id).equals(CommandArrivals.readCommandId(connection))) {
                return false;
            }
            connection.send("VA 1 O" + id + "\r\n1\r\n");
            return ("VA 1 O" + id).equals(client.line()) && "1".equals(client.line());
        } catch (IOException | AssertionError e) {
            return false;
        }
    }

    // ---- file descriptors ----

    private static long openDescriptors(ProxyChildProcess child) {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + child.process.pid() + "/fd"))) {
            return descriptors.count();
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Netty's first warning of it formerly made the JDK's logger open files, which ended the event loop, with exit code
     * 0.
     */
    @Test
    void survivesLackOfDescriptorsAndServesAgainAfterwards() throws Exception {
        int maxDescriptors = 96;
        ProxyChildProcess.Start options = new ProxyChildProcess.Start();
        options.shellCommands = "ulimit -n " + maxDescriptors;
        try (ProxyChildProcess child = startProxy(options)) {
            Peer earlyClient = child.connectWhenReady();
            List<Peer> flood = new ArrayList<>();
            for (int i = 0; i < 2 * maxDescriptors; i++) {
                flood.add(Peer.to(child.address));
            }
            child.await("to run out of descriptors", () -> openDescriptors(child) >= maxDescriptors);
            earlyClient.send("mn\r\n");
            earlyClient.expect("MN");
            earlyClient.send(ProxyFixture.readCommand("a1", 1000));
            child.await(
                    "to respond without a descriptor for a connection to a node",
                    () -> node.count() > 0 || hasInput(earlyClient));
            if (node.count() == 0) {
                assertTrue(earlyClient.line().startsWith("SERVER_ERROR "));
            }
            flood.get(0).expectEnd(); // closed after 2 s of silence: accepting has failed for as long
            for (Peer idleClient : flood) {
                idleClient.close();
            }
            child.await("to have descriptors again", () -> openDescriptors(child) < maxDescriptors - 16);
            Peer client = child.connectWhenReady();
            int connectionsBefore = node.count();
            for (int i = 0; node.count() == connectionsBefore; i++) { // some keys may still be rejected
                assertTrue(i < 100, "rejected each time");
                client.send(ProxyFixture.readCommand("b" + i, 4000).replace("7f3a9c21e0b4d655", "b" + i));
                child.await("to serve again", () -> node.count() > connectionsBefore || hasInput(client));
                assertTrue(node.count() > connectionsBefore || client.line().startsWith("SERVER_ERROR busy"));
            }
            for (int i = 0; i < connectionsBefore; i++) {
                node.next();
            }
            Peer connection = node.next();
            String id = CommandArrivals.readCommandId(connection);
            connection.send("VA 1 " + id + "\r\n1\r\n");
            client.expect("VA 1 " + id, "1");
            assertTrue(child.process.isAlive());
        }
    }

    private static boolean hasInput(Peer peer) {
        try {
            return peer.ready();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    // ---- reload ----

    private String knownList() {
        return ProxyFixture.endpointList(1, true, ProxyFixture.listEntry(0, "SERVING", node));
    }

    private static int reload(ProxyChildProcess child, String json) throws Exception {
        int firstLine = child.errorLines.size();
        Files.writeString(child.config, json);
        child.signal("HUP");
        child.awaitErrorLine(firstLine, "configuration taken");
        return firstLine;
    }

    private static List<String> restartLines(ProxyChildProcess child, int firstLine) {
        return child.errorLines.stream()
                .skip(firstLine)
                .filter(line -> line.contains("needs a restart:"))
                .toList();
    }

    /** Otherwise operators could not tell whether a reload has worked, or why a change has no effect. */
    @Test
    void logsReloadAndFieldsThatNeedRestart() throws Exception {
        try (ProxyChildProcess child = startProxy();
                Peer.Listener newDiscovery = new Peer.Listener()) {
            child.connectWhenReady();
            String original = ProxyFixture.json(knownList(), ProxyFixture.SETTINGS, 1024);
            int addressChangedAt = reload(
                    child,
                    original.replace(
                            "{\"name\":\"n0\"", "{\"discovery\":\"" + newDiscovery.address() + "\",\"name\":\"n0\""));
            int settingsChangedAt = reload(
                    child,
                    original.replace("\"maxAttempts\":4", "\"maxAttempts\":3")
                            .replace("\"sockets\":1024", "\"sockets\":512"));
            child.awaitErrorLine(settingsChangedAt, "needs a restart:");
            assertEquals(
                    0,
                    restartLines(child, addressChangedAt).size()
                            - restartLines(child, settingsChangedAt).size(),
                    "a new address of discovery needs no restart: " + child.errorLines);
            String logged = String.join("\n", restartLines(child, settingsChangedAt));
            assertTrue(logged.contains("settings.caps.maxAttempts"), logged);
            assertTrue(logged.contains("limits.sockets"), logged);
            assertFalse(logged.contains("settings.caps.multiplex"), logged);
        }
    }

    /** If it were logged only at the first reload, the change would look as if it had taken effect. */
    @Test
    void logsFieldThatNeedsRestartAtEachReloadUntilReverted() throws Exception {
        try (ProxyChildProcess child = startProxy()) {
            child.connectWhenReady();
            String original = ProxyFixture.json(knownList(), ProxyFixture.SETTINGS, 1024);
            String changed = original.replace("\"maxAttempts\":4", "\"maxAttempts\":3");
            for (int i = 0; i < 2; i++) {
                int reloadedAt = reload(child, changed);
                child.awaitErrorLine(reloadedAt, "settings.caps.maxAttempts");
            }
            int revertedAt = reload(child, original);
            int changedAgainAt = reload(child, changed);
            child.awaitErrorLine(changedAgainAt, "settings.caps.maxAttempts");
            assertEquals(
                    restartLines(child, changedAgainAt),
                    restartLines(child, revertedAt),
                    "no restart is needed for the configuration in use");
        }
    }

    @Test
    void logsRejectedReload() throws Exception {
        try (ProxyChildProcess child = startProxy()) {
            child.connectWhenReady();
            Files.writeString(child.config, "{\"name\":");
            child.signal("HUP");
            child.awaitErrorLine(0, "the new configuration is not taken");
            serve(child.connectWhenReady(), "a1", null);
        }
    }
}
