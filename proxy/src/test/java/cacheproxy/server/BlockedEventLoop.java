package cacheproxy.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;

/** Blocks an event loop until closed, so that a test can prepare the events that it finds next, in their order. */
final class BlockedEventLoop implements AutoCloseable {
    private final CountDownLatch released = new CountDownLatch(1);

    BlockedEventLoop(EventLoop loop) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
    }

    @Override
    public void close() {
        released.countDown();
    }
}
