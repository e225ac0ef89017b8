package cacheproxy.server;

import cacheproxy.routing.RequestRouter;
import cacheproxy.routing.RoutingRequest;
import java.lang.reflect.InvocationTargetException;
import java.util.concurrent.CountDownLatch;

/** Blocks the event loop in the middle of reading, when it passes a request of {@link #SIZE} to the router. */
final class RequestBlockingRouter {
    /** Field for the {@code P} token that marks the request. */
    static final String BLOCKED_REQUEST_FIELD = "size=7,";

    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    RequestRouter wrap(RequestRouter inner) {
        return (RequestRouter) java.lang.reflect.Proxy.newProxyInstance(
                RequestBlockingRouter.class.getClassLoader(),
                new Class<?>[] {RequestRouter.class},
                (proxy, method, args) -> {
                    if (method.getName().equals("onRequest") && ((RoutingRequest) args[1]).sizeBytes == 7) {
                        blocked.countDown();
                        released.await();
                    }
                    try {
                        return method.invoke(inner, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    void await() throws InterruptedException {
        blocked.await();
    }

    void release() {
        released.countDown();
    }
}
