package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** An example of a proxy that embeds the router and uses only {@link RequestRouter} and {@link RoutingActions}. */
class EmbeddingExampleTest {

    /** A proxy whose endpoint always responds; a real one would send the attempt on a connection. */
    private static final class MinimalProxy implements RoutingActions {
        private final RequestRouter router;
        private final Queue<Long> attempts = new ArrayDeque<>();
        final List<String> responses = new ArrayList<>();
        private long nowUs;

        MinimalProxy(RoutingSettings settings, long seed) {
            router = new FairRouter(settings, seed, 0, this);
        }

        void updateEndpoints(EndpointInfo... endpoints) {
            router.onEndpointList(nowUs, EndpointListKind.FULL, endpoints, endpoints.length, this);
        }

        void handle(RoutingRequest request) {
            router.onRequest(nowUs, request, this);
            while (!attempts.isEmpty()) {
                long id = attempts.remove();
                nowUs += 2_000;
                responses.add(id + " served"); // delivers the first success to the client, then reports it
                router.onOutcome(nowUs, id, 0, AttemptOutcome.OK, 2_000, true, CacheResult.HIT, new LoadReport(), this);
            }
        }

        @Override
        public void sendAttempt(long request, int endpoint, long timeoutUs) {
            attempts.add(request);
        }

        @Override
        public void reject(long request, long retryAfterUs) {
            responses.add(request + " rejected");
        }

        @Override
        public void fail(long request) {
            responses.add(request + " failed");
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            // stop waiting for it, then report AttemptOutcome.CANCELLED
        }

        @Override
        public void startTimer(long delayUs, long label) {
            // call router.onTimer(now, label, this) once delayUs have passed
        }

        @Override
        public void checkHealth(int endpoint) {
            // check the endpoint, then call router.onHealthCheck
        }

        @Override
        public void closeIdleConnections(int endpoint) {
            // close idle pooled connections to the endpoint
        }

        @Override
        public void subscribeToEndpoints() {
            // subscribe to service discovery; every list goes to router.onEndpointList
        }

        @Override
        public void fetchEndpoints() {
            // fetch the full list from service discovery; it goes to router.onEndpointList
        }

        @Override
        public void sendGossip(int proxyIndex, byte[] data) {
            // send to another proxy, whose router gets onGossip
        }

        @Override
        public void log(String line) {
            System.out.println(line);
        }
    }

    @Test
    void proxyServesRequestsThroughTheRouter() {
        RoutingSettings settings = new RoutingSettings();
        RequestClass lookup = new RequestClass();
        lookup.idempotency = Idempotency.IDEMPOTENT;
        lookup.latencyObjectiveUs = 300_000;
        settings.requestClasses = new RequestClass[] {lookup};
        settings.maxAttempts = 3;
        MinimalProxy proxy = new MinimalProxy(settings, 42);
        RoutingRequest request = new RoutingRequest();
        request.id = 1;
        request.key = 7;
        request.deadlineAtUs = 600_000;
        proxy.handle(request);
        EndpointInfo endpoint = new EndpointInfo();
        endpoint.id = 11;
        proxy.updateEndpoints(endpoint);
        request.id = 2;
        proxy.handle(request);
        assertEquals(List.of("1 rejected", "2 served"), proxy.responses);
    }
}
