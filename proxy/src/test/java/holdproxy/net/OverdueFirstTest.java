package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.Router;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Danger: a pause brings a burst; read before those whose time ended meanwhile are answered, it puts their answers off by
 * as much again, and one that comes half a second late counts as lost.
 */
@Timeout(60)
class OverdueFirstTest {
    private static final int WAIT_MS = 300;
    private static final int BURST = 40;

    @Test
    void afterAPauseWhatIsOverIsAnsweredBeforeTheBurstIsTakenUp() throws Exception {
        ConcurrentLinkedQueue<String> heard = new ConcurrentLinkedQueue<>();
        try (Fixture f = new Fixture(1)) {
            f.proxy.warmUp();
            holdproxy.net.Proxy proxy = Fixture.start(f.config, f.loop, module -> recording(module, heard));
            Peer waits = Peer.to(proxy.address());
            waits.send(Fixture.read("a0", WAIT_MS));
            Peer node = f.nodes.get(0).next();
            assertTrue(node.line().contains(" Oa0 "));
            List<Peer> burst = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                burst.add(Peer.to(proxy.address()));
            }
            CountDownLatch paused = new CountDownLatch(1);
            CountDownLatch on = new CountDownLatch(1);
            f.loop.execute(() -> {
                paused.countDown();
                try {
                    on.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            paused.await();
            long start = System.nanoTime();
            for (int i = 0; i < BURST; i++) {
                burst.get(i).send(Fixture.read("b" + i, 4_000));
            }
            while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(2 * WAIT_MS)) {
                Thread.onSpinWait(); // until it is over by far
            }
            heard.clear();
            on.countDown();
            assertEquals("SERVER_ERROR failed", waits.line());
            while (heard.stream().noneMatch(e -> e.equals("onRequest"))) {
                Thread.onSpinWait();
            }
            List<String> order = List.copyOf(heard);
            assertTrue(order.indexOf("onAborted") >= 0 && order.indexOf("onAborted") < order.indexOf("onRequest"), order.toString());
        }
    }

    private static Router recording(Router module, ConcurrentLinkedQueue<String> heard) {
        return (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class}, (self, method, arguments) -> {
            heard.add(method.getName());
            try {
                return method.invoke(module, arguments);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        });
    }
}
