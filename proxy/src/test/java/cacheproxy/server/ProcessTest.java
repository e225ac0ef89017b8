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

    private Child startProxy(Child.Start options) throws IOException {
        return options.with(discovery, Fixture.list(1, true, Fixture.entry(0, "SERVING", node)));
    }

    private Child startProxy() throws IOException {
        return startProxy(new Child.Start());
    }

    /** Has a request served by the node, on {@code openConnection} or, if that is null, on a new connection. */
    private Peer serve(Peer client, String id, Peer openConnection) throws Exception {
        client.send(Fixture.read(id, 4000));
        Peer connection = openConnection != null ? openConnection : node.next();
        assertEquals("O" + id, Arrivals.command(connection));
        connection.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        return connection;
    }

    // ---- standard error ----

    private Child startWithFullPipe() throws IOException {
        Child.Start options = new Child.Start();
        options.shellCommands = FULL_PIPE;
        options.errorOutputUnread = true;
        return startProxy(options);
    }

    /** If the reader of standard error hangs, a line written on the event loop would block all requests. */
    @Test
    void servesRequestsWithFullPipeOnStandardError() throws Exception {
        try (Child child = startWithFullPipe()) {
            Peer client = child.greeted();
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
        try (Child child = startWithFullPipe()) {
            child.greeted().close();
            assertTrue(child.process.getErrorStream().available() >= 65_536, "the pipe is full");
            child.signal("TERM");
            assertEquals(0, child.ends(6));
        }
    }

    // ---- the event loop ----

    /** A proxy whose event loop has terminated serves nothing; it must neither keep running nor exit with code 0. */
    @Test
    void exitsWithCode70IfEventLoopTerminates() throws Exception {
        Path aliveFile = Files.createTempFile("alive", "");
        Child.Start options = new Child.Start();
        options.program = new String[] {"cacheproxy.server.CrashingEventLoopMain", aliveFile.toString()};
        try (Child child = startProxy(options)) {
            serve(child.greeted(), "a1", null);
            Files.delete(aliveFile);
            assertEquals(70, child.ends(10));
            assertTrue(
                    child.said.stream().anyMatch(line -> line.contains("the loop has ended")), child.said.toString());
        }
    }

    /** The drain runs on the event loop: waiting for it without a limit would never end if the loop hangs. */
    @Test
    void exitsOnSigtermIfEventLoopHangs() throws Exception {
        Path aliveFile = Files.createTempFile("alive", "");
        Child.Start options = new Child.Start();
        options.program = new String[] {"cacheproxy.server.HangingEventLoopMain", aliveFile.toString()};
        try (Child child = startProxy(options)) {
            child.greeted();
            Files.delete(aliveFile);
            child.says(0, "hanging");
            child.signal("TERM");
            assertEquals(0, child.ends(12));
            child.assertErrorLine("the loop hangs");
        }
    }

    /**
     * A logger that Netty creates before the proxy's factory is set opens files at its first line, which ends the event
     * loop if no file descriptor is free.
     */
    @Test
    void nettyLogsToLogOfProxy() throws Exception {
        Child.Start options = new Child.Start();
        options.program = new String[] {"cacheproxy.server.NettyLoggerProbe"};
        try (Child child = startProxy(options)) {
            child.says(0, "LOGGER ");
            child.assertErrorLine("LOGGER cacheproxy.logging.NettyLoggerFactory");
        }
    }

    // ---- starts that fail ----

    /** A proxy that cannot start would never exit if it blocked on writing the reason. */
    @Test
    void exitsWithCode2AfterFailedStartWithFullPipeOnStandardError() throws Exception {
        try (ServerSocket portHolder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Child.Start options = new Child.Start();
            options.port = portHolder.getLocalPort();
            options.shellCommands = FULL_PIPE;
            options.errorOutputUnread = true;
            try (Child child = startProxy(options)) {
                assertEquals(2, child.ends(15));
            }
        }
    }

    /** Threads that were already started would keep a process running that serves nobody. */
    @Test
    void exitsWithCode70IfStartFailsUnexpectedly() throws Exception {
        Child.Start options = new Child.Start();
        options.program = new String[] {"cacheproxy.server.UncreatableEventLoopMain"};
        try (Child child = startProxy(options)) {
            assertEquals(70, child.ends(15));
            child.assertErrorLine("cannot start: java.lang.IllegalStateException: planted");
        }
    }

    // ---- signals during the start ----

    /** A reload of all proxies must not end one that is still starting. */
    @Test
    void reloadsAfterStartOnSighupDuringStart() throws Exception {
        try (Child child = startProxy()) {
            child.loads("cacheproxy.configuration.ProxyConfiguration"); // main is running
            for (int i = 0; i < 5; i++) {
                child.signal("HUP");
            }
            serve(child.greeted(), "a1", null);
            child.says(0, "configuration taken");
        }
    }

    /** Before the handler is installed, while the first classes are loaded, SIGHUP would end the process. */
    @Test
    void reloadsAfterStartOnSighupDuringClassLoading() throws Exception {
        try (Child child = startProxy()) {
            child.loads("cacheproxy.server.ProxyProcess");
            child.signal("HUP");
            serve(child.greeted(), "a1", null);
            child.says(0, "configuration taken");
        }
    }

    private void assertExitsOnSigtermOnceLoaded(String className) throws Exception {
        try (Child child = startProxy()) {
            child.loads(className);
            child.signal("TERM");
            assertEquals(0, child.ends(6), "SIGTERM once " + className + " is loaded");
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
            Child.Start options = new Child.Start();
            options.port = portHolder.getLocalPort();
            try (Child child = startProxy(options)) {
                child.loads("java.net.BindException");
                child.signal("TERM");
                assertEquals(0, child.ends(6));
            }
        }
    }

    @Test
    void exitsWithCode0OnRepeatedSighupAndSigtermDuringStart() throws Exception {
        try (Child child = startProxy()) {
            child.loads("cacheproxy.configuration.ProxyConfiguration");
            for (int i = 0; i < 3 && child.process.isAlive(); i++) {
                child.signal("HUP");
                child.signal("TERM");
            }
            assertEquals(0, child.ends(6));
        }
    }

    // ---- shutdown ----

    /** The front end learns of the shutdown only later; the requests that it sends meanwhile would be rejected. */
    @Test
    void keepsServingForSomeTimeAfterSigtermAndThenExits() throws Exception {
        try (Child child = startProxy()) {
            Peer client = child.greeted();
            Peer connection = serve(client, "a", null);
            long sigtermNs = System.nanoTime();
            child.signal("TERM");
            child.says(0, "shutting down");
            int requests = 0;
            for (boolean expectServed = true; expectServed; requests++) { // the front end keeps sending
                boolean served = trySending(child, client, connection, "a" + requests);
                expectServed = System.nanoTime() - sigtermNs < 400_000_000L;
                assertTrue(
                        served || !expectServed, "rejected within 0.4 s of SIGTERM, after " + requests + " requests");
            }
            client.close();
            assertEquals(0, child.ends(6));
        }
    }

    /** Sends {@code mn} on a new connection and a request on the existing one; returns whether both were served. */
    private static boolean trySending(Child child, Peer client, Peer connection, String id) {
        try (Peer newClient = Peer.to(child.address)) {
            newClient.send("mn\r\n");
            client.send(Fixture.read(id, 4000));
            if (!"MN".equals(newClient.line()) || !("O" + id).equals(Arrivals.command(connection))) {
                return false;
            }
            connection.send("VA 1 O" + id + "\r\n1\r\n");
            return ("VA 1 O" + id).equals(client.line()) && "1".equals(client.line());
        } catch (IOException | AssertionError e) {
            return false;
        }
    }

    // ---- file descriptors ----

    private static long openDescriptors(Child child) {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + child.process.pid() + "/fd"))) {
            return descriptors.count();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Netty's first warning of it made the JDK's logger open files, which ended the event loop, with exit code 0. */
    @Test
    void survivesLackOfDescriptorsAndServesAgainAfterwards() throws Exception {
        int maxDescriptors = 96;
        Child.Start options = new Child.Start();
        options.shellCommands = "ulimit -n " + maxDescriptors;
        try (Child child = startProxy(options)) {
            Peer earlyClient = child.greeted();
            List<Peer> flood = new ArrayList<>();
            for (int i = 0; i < 2 * maxDescriptors; i++) {
                flood.add(Peer.to(child.address));
            }
            child.until("to run out of descriptors", () -> openDescriptors(child) >= maxDescriptors);
            earlyClient.send("mn\r\n");
            earlyClient.expect("MN");
            earlyClient.send(Fixture.read("a1", 1000));
            child.until(
                    "to respond without a descriptor for a connection to a node",
                    () -> node.count() > 0 || hasInput(earlyClient));
            if (node.count() == 0) {
                assertTrue(earlyClient.line().startsWith("SERVER_ERROR "));
            }
            flood.get(0).expectEnd(); // closed after 2 s of silence: accepting has failed for as long
            for (Peer idleClient : flood) {
                idleClient.close();
            }
            child.until("to have descriptors again", () -> openDescriptors(child) < maxDescriptors - 16);
            Peer client = child.greeted();
            int connectionsBefore = node.count();
            for (int i = 0; node.count() == connectionsBefore; i++) { // some keys may still be rejected
                assertTrue(i < 100, "rejected each time");
                client.send(Fixture.read("b" + i, 4000).replace("7f3a9c21e0b4d655", "b" + i));
                child.until("to serve again", () -> node.count() > connectionsBefore || hasInput(client));
                assertTrue(node.count() > connectionsBefore || client.line().startsWith("SERVER_ERROR busy"));
            }
            for (int i = 0; i < connectionsBefore; i++) {
                node.next();
            }
            Peer connection = node.next();
            String id = Arrivals.command(connection);
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
        return Fixture.list(1, true, Fixture.entry(0, "SERVING", node));
    }

    private static int reload(Child child, String json) throws Exception {
        int firstLine = child.said.size();
        Files.writeString(child.config, json);
        child.signal("HUP");
        child.says(firstLine, "configuration taken");
        return firstLine;
    }

    private static List<String> restartLines(Child child, int firstLine) {
        return child.said.stream()
                .skip(firstLine)
                .filter(line -> line.contains("needs a restart:"))
                .toList();
    }

    /** Otherwise operators could not tell whether a reload has worked, or why a change has no effect. */
    @Test
    void logsReloadAndFieldsThatNeedRestart() throws Exception {
        try (Child child = startProxy();
                Peer.Listener newDiscovery = new Peer.Listener()) {
            child.greeted();
            String original = Fixture.json(knownList(), Fixture.SETTINGS, 1024);
            int addressChangedAt = reload(
                    child,
                    original.replace(
                            "{\"name\":\"n0\"", "{\"discovery\":\"" + newDiscovery.address() + "\",\"name\":\"n0\""));
            int settingsChangedAt = reload(
                    child,
                    original.replace("\"maxAttempts\":4", "\"maxAttempts\":3")
                            .replace("\"sockets\":1024", "\"sockets\":512"));
            child.says(settingsChangedAt, "needs a restart:");
            assertEquals(
                    0,
                    restartLines(child, addressChangedAt).size()
                            - restartLines(child, settingsChangedAt).size(),
                    "a new address of discovery needs no restart: " + child.said);
            String logged = String.join("\n", restartLines(child, settingsChangedAt));
            assertTrue(logged.contains("settings.caps.maxAttempts"), logged);
            assertTrue(logged.contains("limits.sockets"), logged);
            assertFalse(logged.contains("settings.caps.multiplex"), logged);
        }
    }

    /** If it were logged only at the first reload, the change would look as if it had taken effect. */
    @Test
    void logsFieldThatNeedsRestartAtEachReloadUntilReverted() throws Exception {
        try (Child child = startProxy()) {
            child.greeted();
            String original = Fixture.json(knownList(), Fixture.SETTINGS, 1024);
            String changed = original.replace("\"maxAttempts\":4", "\"maxAttempts\":3");
            for (int i = 0; i < 2; i++) {
                int reloadedAt = reload(child, changed);
                child.says(reloadedAt, "settings.caps.maxAttempts");
            }
            int revertedAt = reload(child, original);
            int changedAgainAt = reload(child, changed);
            child.says(changedAgainAt, "settings.caps.maxAttempts");
            assertEquals(
                    restartLines(child, changedAgainAt),
                    restartLines(child, revertedAt),
                    "no restart is needed for the configuration in use");
        }
    }

    @Test
    void logsRejectedReload() throws Exception {
        try (Child child = startProxy()) {
            child.greeted();
            Files.writeString(child.config, "{\"name\":");
            child.signal("HUP");
            child.says(0, "the new configuration is not taken");
            serve(child.greeted(), "a1", null);
        }
    }
}
