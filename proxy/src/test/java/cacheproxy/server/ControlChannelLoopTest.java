package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.control.RawClient;
import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How often the control channel queries the proxy's event loop, and what it reports while that loop is stalled. */
@Timeout(60)
class ControlChannelLoopTest {
    private static final long STATUS_TTL_MS = 100;
    private static final long STALLED_AFTER_MS = 800;
    private static final long PROGRESS_INTERVAL_MS = 200;
    private static final String STATUS = "{\"v\":1,\"op\":\"status\"}";

    /** A control channel of a proxy in this process that counts its queries to the proxy's event loop. */
    private static final class ControlFixture implements Closeable {
        final ProxyFixture fixture = new ProxyFixture(1);
        final AtomicInteger loopQueries = new AtomicInteger();
        final Path folder = Files.createTempDirectory("control");
        final Path socket = folder.resolve("s");
        private final Path file = folder.resolve("config.json");
        final Map<String, String> env;
        final ControlChannel control;
        private final List<RawClient> clients = new ArrayList<>();

        ControlFixture() throws IOException {
            Files.writeString(file, ProxyFixture.json(ProxyFixture.endpointList(1, true), ProxyFixture.SETTINGS, 1024));
            env = new java.util.HashMap<>(ProxyFixture.env(file, fixture.discovery.address()));
            env.put(ProxyConfiguration.CONTROL_SOCKET_VARIABLE, socket.toString());
            control = ControlChannel.open(env);
        }

        void attachProxy() {
            control.attach(fixture.proxy, countingQueries(fixture.loop));
        }

        private EventLoop countingQueries(EventLoop loop) {
            return (EventLoop) java.lang.reflect.Proxy.newProxyInstance(
                    EventLoop.class.getClassLoader(), new Class<?>[] {EventLoop.class}, (proxy, method, values) -> {
                        if (method.getName().equals("submit") && values[0] instanceof Callable) {
                            loopQueries.incrementAndGet();
                        }
                        try {
                            return method.invoke(loop, values);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        RawClient client() throws IOException {
            RawClient newClient = new RawClient(socket);
            clients.add(newClient);
            return newClient;
        }

        /** Blocks the proxy's event loop until the returned latch is counted down. */
        CountDownLatch blockLoop() throws InterruptedException {
            CountDownLatch blocked = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            fixture.loop.execute(() -> {
                blocked.countDown();
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            blocked.await();
            return release;
        }

        @Override
        public void close() throws IOException {
            for (RawClient openClient : clients) {
                openClient.close();
            }
            control.notifyDrained(true);
            fixture.close();
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted((a, b) -> b.compareTo(a)).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    private static long elapsedMs(long sinceNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
    }

    private static void awaitElapsedMs(long elapsedMs, long sinceNs) {
        while (elapsedMs(sinceNs) < elapsedMs) {
            Thread.onSpinWait();
        }
    }

    @Test
    void reportsStartingBeforeProxyIsAttached() throws Exception {
        try (ControlFixture channel = new ControlFixture()) {
            RawClient client = channel.client();
            assertEquals("starting", client.ask(STATUS).get("phase"));
            for (String op : new String[] {"reload", "drain"}) {
                assertEquals(
                        "it has not started yet",
                        client.ask(STATUS.replace("status", op)).get("error"));
            }
            channel.attachProxy();
            assertEquals("ready", client.ask(STATUS).get("phase"));
        }
    }

    /** Guards against status requests that take event loop time from client requests. */
    @Test
    void queriesEventLoopAtBoundedRateDespiteManyStatusRequests() throws Exception {
        try (ControlFixture channel = new ControlFixture()) {
            channel.attachProxy();
            List<RawClient> clients = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                clients.add(channel.client());
            }
            long startNs = System.nanoTime();
            for (int round = 0; round < 100; round++) {
                for (RawClient client : clients) {
                    client.send((STATUS + "\n").repeat(10));
                }
                for (RawClient client : clients) {
                    for (int i = 0; i < 10; i++) {
                        assertEquals("ready", client.reply().get("phase"));
                    }
                }
            }
            long maxQueries = elapsedMs(startNs) / STATUS_TTL_MS + 2;
            assertTrue(
                    channel.loopQueries.get() <= maxQueries,
                    channel.loopQueries + " queries where " + maxQueries + " are allowed");
            assertTrue(channel.loopQueries.get() > 0, "no query was counted");
        }
    }

    /** Guards against replying only to the first status request of a stall, so that later ones get no reply. */
    @Test
    void repliesStalledToAllStatusRequestsWhileLoopIsBlocked() throws Exception {
        try (ControlFixture channel = new ControlFixture()) {
            channel.attachProxy();
            RawClient client = channel.client();
            RawClient other = channel.client();
            assertEquals("ready", client.ask(STATUS).get("phase"));
            long cachedNs = System.nanoTime();
            CountDownLatch release = channel.blockLoop();
            awaitElapsedMs(STATUS_TTL_MS, cachedNs); // until then the cached status is returned
            other.send(STATUS + "\n");
            long lastStalledMs = 0;
            for (int i = 0; i < 3; i++) {
                Map<String, Object> status = client.ask(STATUS);
                assertEquals("stalled", status.get("phase"));
                assertEquals("n0", status.get("name"));
                long stalledMs = ((Number) status.get("stalledMs")).longValue();
                assertTrue(stalledMs >= STALLED_AFTER_MS && stalledMs >= lastStalledMs, status.toString());
                lastStalledMs = stalledMs;
            }
            assertEquals("stalled", other.reply().get("phase"));
            release.countDown();
            channel.fixture.loop.submit(() -> null).get();
            for (String phase = "stalled"; phase.equals("stalled"); ) {
                phase = client.ask(STATUS).get("phase").toString();
                assertTrue(phase.equals("stalled") || phase.equals("ready"), phase);
            }
        }
    }

    /** Guards against reporting a short delay as a stall because an earlier query was made long enough ago. */
    @Test
    void doesNotReportShortDelayAsStall() throws Exception {
        try (ControlFixture channel = new ControlFixture()) {
            channel.attachProxy();
            RawClient client = channel.client();
            long firstQueryNs = System.nanoTime();
            assertEquals("ready", client.ask(STATUS).get("phase"));
            awaitElapsedMs(STALLED_AFTER_MS - 200, firstQueryNs);
            long blockedNs = System.nanoTime();
            CountDownLatch release = channel.blockLoop();
            client.send(STATUS + "\n");
            awaitElapsedMs(STALLED_AFTER_MS + 200, firstQueryNs);
            release.countDown();
            Map<String, Object> status = client.reply();
            assumeTrue(elapsedMs(blockedNs) < STALLED_AFTER_MS, "the machine itself stalled");
            assertEquals("ready", status.get("phase"));
        }
    }

    /** Guards against each drain request starting its own series of progress queries to the event loop. */
    @Test
    void sharesOneSeriesOfProgressQueriesAmongDrainRequests() throws Exception {
        try (ControlFixture channel = new ControlFixture()) {
            channel.attachProxy();
            AtomicInteger drainRequests = new AtomicInteger();
            channel.control.drainWith(drainRequests::incrementAndGet);
            long startNs = System.nanoTime();
            List<RawClient> clients = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                clients.add(channel.client());
                clients.get(i).send(STATUS.replace("status", "drain") + "\n");
            }
            for (int i = 0; i < 5; i++) {
                for (RawClient client : clients) {
                    assertEquals(0, client.reply().get("open"));
                }
            }
            long maxQueries = elapsedMs(startNs) / PROGRESS_INTERVAL_MS + 2;
            assertTrue(
                    channel.loopQueries.get() <= maxQueries,
                    channel.loopQueries + " queries where " + maxQueries + " are allowed");
            assertEquals(30, drainRequests.get());
            channel.control.notifyDrained(true);
            for (RawClient client : clients) {
                Map<String, Object> reply = client.reply();
                while (Boolean.FALSE.equals(reply.get("end"))) {
                    reply = client.reply();
                }
                assertEquals(Map.of("v", 1, "ok", true, "done", true, "all", true, "end", true), reply);
            }
        }
    }

    private static CompletableFuture<ConfigurationReloader.Result> requestReload(ConfigurationReloader reload) {
        CompletableFuture<ConfigurationReloader.Result> result = new CompletableFuture<>();
        reload.reload(result::complete);
        return result;
    }

    /** Guards against reading the file once per request when many clients request a reload and disconnect. */
    @Test
    void reloadRequestsDuringAReloadShareTheNextOne() throws Exception {
        try (ControlFixture channel = new ControlFixture()) {
            CountDownLatch reading = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            AtomicInteger reloads = new AtomicInteger();
            ConfigurationReloader reload = new ConfigurationReloader(
                    channel.env, ProxyFixture.log(), ProxyConfiguration.load(channel.env), config -> {
                        reloads.incrementAndGet();
                        reading.countDown();
                        try {
                            release.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
            CompletableFuture<ConfigurationReloader.Result> first = requestReload(reload);
            reading.await();
            String changed = ProxyFixture.json(ProxyFixture.endpointList(1, true), ProxyFixture.SETTINGS, 512);
            Files.writeString(channel.file, changed); // reloads requested from here on must read this content
            List<CompletableFuture<ConfigurationReloader.Result>> later = new ArrayList<>();
            for (int i = 0; i < 1000; i++) {
                later.add(requestReload(reload));
            }
            release.countDown();
            assertEquals(2, first.get(10, TimeUnit.SECONDS).generation());
            for (CompletableFuture<ConfigurationReloader.Result> f : later) {
                ConfigurationReloader.Result result = f.get(10, TimeUnit.SECONDS);
                assertEquals(3, result.generation());
                assertEquals(ProxyConfiguration.digest(channel.env, changed), result.digest());
            }
            assertEquals(2, reloads.get());
            assertEquals(4, requestReload(reload).get(10, TimeUnit.SECONDS).generation());
        }
    }
}
