package cacheproxy.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.logging.Log;
import cacheproxy.routing.RequestRouter;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingRequest;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against an exception or Error in the router that stops the delivery of all later events. Every request then
 * failed at its deadline, while {@code mn} was still answered {@code MN}.
 */
@Timeout(60)
class RouterErrorTest {
    private static final List<Supplier<Throwable>> FAULTS = List.of(
            () -> new IllegalStateException("planted"),
            () -> new AssertionError("planted"),
            () -> new NoClassDefFoundError("planted"),
            () -> new StackOverflowError("planted"));

    /** Intercepts the calls of the router; {@code passOn} makes the original call. */
    private interface Hook {
        void call(String method, Object[] args, Runnable passOn) throws Throwable;
    }

    /** A proxy with one node whose router is called through a hook, and its log lines. */
    private static final class HookedProxy implements Closeable {
        final Peer.Listener discovery = new Peer.Listener();
        final Peer.Listener node = new Peer.Listener();
        final List<String> logged = new CopyOnWriteArrayList<>();
        private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        private final cacheproxy.server.ProxyServer proxy;

        HookedProxy(Hook hook) throws IOException {
            this(hook, line -> {});
        }

        /** @param writer receives each log line */
        HookedProxy(Hook hook, Consumer<String> writer) throws IOException {
            Path file = Files.createTempFile("config", ".json");
            Files.writeString(
                    file,
                    ProxyFixture.json(
                            ProxyFixture.endpointList(1, true, ProxyFixture.listEntry(0, "SERVING", node)),
                            ProxyFixture.SETTINGS,
                            1024));
            proxy = cacheproxy.server.ProxyServer.create(
                    ProxyConfiguration.load(ProxyFixture.env(file, discovery.address())),
                    loop,
                    HostEnvironment.real(),
                    new Log(System::nanoTime, l -> {
                        logged.add(l);
                        writer.accept(l);
                    }),
                    router -> intercept(router, hook));
            proxy.open();
            ProxyFixture.makeReadyWithConfiguredList(proxy, loop);
            Files.delete(file);
        }

        private static RequestRouter intercept(RequestRouter inner, Hook hook) {
            return (RequestRouter) Proxy.newProxyInstance(
                    RouterErrorTest.class.getClassLoader(),
                    new Class<?>[] {RequestRouter.class},
                    (self, method, args) -> {
                        hook.call(method.getName(), args, () -> {
                            try {
                                method.invoke(inner, args);
                            } catch (InvocationTargetException | IllegalAccessException e) {
                                throw new IllegalStateException(e);
                            }
                        });
                        return null;
                    });
        }

        Peer client() throws IOException {
            return Peer.to(proxy.address());
        }

        void assertFaultLogged() {
            assertTrue(logged.stream().anyMatch(l -> l.contains("planted")), logged::toString);
        }

        @Override
        public void close() throws IOException {
            node.close();
            discovery.close();
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Sends a read and responds on the given connection to the node, or on the next one if it is null. */
    private static Peer sendAndServe(HookedProxy hookedProxy, Peer client, String id, Peer openConnection)
            throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        Peer node = openConnection != null ? openConnection : hookedProxy.node.next();
        assertEquals("O" + id, CommandArrivals.readCommandId(node));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
        return node;
    }

    /** Throws once, at the first call of the given method. */
    private static final class ThrowOnce implements Hook {
        private final String faultyMethod;
        private final boolean before;
        private final Throwable fault;
        private boolean armed = true;

        ThrowOnce(String faultyMethod, boolean before, Throwable fault) {
            this.faultyMethod = faultyMethod;
            this.before = before;
            this.fault = fault;
        }

        @Override
        public void call(String method, Object[] args, Runnable passOn) throws Throwable {
            boolean throwNow = armed && method.equals(faultyMethod);
            armed &= !throwNow;
            if (!throwNow || !before) {
                passOn.run();
            }
            if (throwNow) {
                throw fault;
            }
        }
    }

    @Test
    void servesAndLogsAfterRouterThrowsOnRequest() throws Exception {
        for (Supplier<Throwable> fault : FAULTS) {
            try (HookedProxy hookedProxy = new HookedProxy(new ThrowOnce("onRequest", true, fault.get()));
                    Peer client = hookedProxy.client()) {
                client.send(ProxyFixture.readCommand("a1", 300));
                client.expect("SERVER_ERROR failed"); // the router did not receive the request
                Peer node = sendAndServe(hookedProxy, client, "a2", null);
                sendAndServe(hookedProxy, client, "a3", node);
                hookedProxy.assertFaultLogged();
            }
        }
    }

    @Test
    void respondsAndServesAfterRouterThrowsOnOutcome() throws Exception {
        for (Supplier<Throwable> fault : FAULTS) {
            try (HookedProxy hookedProxy = new HookedProxy(new ThrowOnce("onOutcome", true, fault.get()));
                    Peer client = hookedProxy.client()) {
                Peer node = sendAndServe(hookedProxy, client, "a1", null);
                sendAndServe(hookedProxy, client, "a2", node);
                hookedProxy.assertFaultLogged();
            }
        }
    }

    /** Actions that the router requested before it failed take effect, and the request gets exactly one response. */
    @Test
    void answersRequestSentBeforeRouterThrows() throws Exception {
        for (Supplier<Throwable> fault : FAULTS) {
            try (HookedProxy hookedProxy = new HookedProxy(new ThrowOnce("onRequest", false, fault.get()));
                    Peer client = hookedProxy.client()) {
                Peer node = sendAndServe(hookedProxy, client, "a1", null);
                sendAndServe(hookedProxy, client, "a2", node);
                client.send("mn\r\n");
                client.expect("MN");
            }
        }
    }

    /** Guards against an exception at one endpoint list ending the watch silently. */
    @Test
    void appliesNextEndpointListAfterRouterThrowsOnList() throws Exception {
        for (Supplier<Throwable> fault : FAULTS) {
            boolean[] armed = new boolean[1];
            Hook hook = (method, args, passOn) -> {
                if (armed[0] && method.equals("onEndpointList")) {
                    armed[0] = false;
                    throw fault.get();
                }
                passOn.run();
            };
            try (HookedProxy hookedProxy = new HookedProxy(hook);
                    Peer.Listener other = new Peer.Listener();
                    Peer client = hookedProxy.client()) {
                Peer watch = ProxyFixture.watch(hookedProxy.discovery);
                armed[0] = true;
                ProxyFixture.sendChunks(
                        watch,
                        ProxyFixture.endpointList(2, true, ProxyFixture.listEntry(0, "SERVING", hookedProxy.node)));
                ProxyFixture.sendListsAndAwaitClose(
                        watch, ProxyFixture.endpointList(3, true, ProxyFixture.listEntry(1, "SERVING", other)));
                client.send(ProxyFixture.readCommand("a1", 4000));
                assertEquals("Oa1", CommandArrivals.readCommandId(other.next()));
            }
        }
    }

    /**
     * Guards against a router that responds to a request more than once. The first response waits behind an earlier
     * request of the connection, and must be neither replaced nor followed by another.
     */
    @Test
    void ignoresFurtherResponsesOfRouterToARequest() throws Exception {
        Hook hook = (method, args, passOn) -> {
            passOn.run();
            if (method.equals("onRequest") && ((RoutingRequest) args[1]).requestClass == 1) { // the charge
                long id = ((RoutingRequest) args[1]).id;
                RoutingActions actions = (RoutingActions) args[2];
                actions.reject(id, 7_000);
                actions.fail(id);
                actions.reject(id, 9_000);
            }
        };
        try (HookedProxy hookedProxy = new HookedProxy(hook);
                Peer client = hookedProxy.client()) {
            client.send(ProxyFixture.readCommand("a1", 4000) + ProxyFixture.writeCommand("charge", "c1", 4000));
            Peer read = hookedProxy.node.next();
            assertEquals("Oa1", CommandArrivals.readCommandId(read));
            Peer write = hookedProxy.node.next();
            read.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1", "SERVER_ERROR busy 7");
            client.send("mn\r\n");
            client.expect("MN");
            assertFalse(write.ready(), "the request was sent after it had been answered");
        }
    }

    // ---- out of memory: describing or logging the error may fail as well ----

    private static Error errorWithoutDescription() {
        return new OutOfMemoryError("planted") {
            private static final long serialVersionUID = 1L;

            @Override
            public String toString() {
                throw new OutOfMemoryError("planted, from toString");
            }
        };
    }

    private static void failToLogFault(String line) {
        if (line.contains("fault:")) {
            throw new OutOfMemoryError("planted, from the log writer");
        }
    }

    @Test
    void servesAndLogsAfterErrorThatCannotBeDescribed() throws Exception {
        try (HookedProxy hookedProxy = new HookedProxy(new ThrowOnce("onRequest", true, errorWithoutDescription()));
                Peer client = hookedProxy.client()) {
            client.send(ProxyFixture.readCommand("a1", 300));
            client.expect("SERVER_ERROR failed");
            Peer node = sendAndServe(hookedProxy, client, "a2", null);
            sendAndServe(hookedProxy, client, "a3", node);
            assertTrue(
                    hookedProxy.logged.stream().anyMatch(l -> l.contains("fault: it cannot be described")),
                    hookedProxy.logged::toString);
        }
    }

    @Test
    void servesAfterErrorThatCannotBeLogged() throws Exception {
        try (HookedProxy hookedProxy = new HookedProxy(
                        new ThrowOnce("onRequest", true, errorWithoutDescription()), RouterErrorTest::failToLogFault);
                Peer client = hookedProxy.client()) {
            client.send(ProxyFixture.readCommand("a1", 300));
            client.expect("SERVER_ERROR failed");
            Peer node = sendAndServe(hookedProxy, client, "a2", null);
            sendAndServe(hookedProxy, client, "a3", node);
        }
    }

    /**
     * Guards against an event that fails staying at the head of the events held back by a stall, where it blocks all
     * others forever.
     */
    @Test
    void servesAfterErrorInEventHeldBackByStall() throws Exception {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        int[] calls = new int[1];
        Hook hook = (method, args, passOn) -> {
            int call = method.equals("onRequest") ? ++calls[0] : 0;
            if (call == 1) {
                loopBlocked.countDown();
                release.await();
            } else if (call == 2) {
                throw errorWithoutDescription();
            }
            passOn.run();
        };
        try (HookedProxy hookedProxy = new HookedProxy(hook, RouterErrorTest::failToLogFault);
                Peer first = hookedProxy.client();
                Peer second = hookedProxy.client();
                Peer third = hookedProxy.client()) {
            for (Peer connection : List.of(second, third)) {
                connection.send("mn\r\n");
                connection.expect("MN"); // accepted, so that its next request is read first after the stall
            }
            first.send(ProxyFixture.readCommand("a1", 4000));
            loopBlocked.await();
            second.send(ProxyFixture.readCommand("a2", 900));
            long start = System.nanoTime();
            while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(600)) {
                Thread.onSpinWait(); // longer than a quarter of the drain grace period
            }
            release.countDown();
            Peer node = hookedProxy.node.next();
            assertEquals("Oa1", CommandArrivals.readCommandId(node));
            node.send("VA 1 Oa1\r\n1\r\n");
            first.expect("VA 1 Oa1", "1");
            second.expect("SERVER_ERROR failed");
            sendAndServe(hookedProxy, third, "a3", node);
        }
    }
}
