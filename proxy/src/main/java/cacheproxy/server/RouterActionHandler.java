package cacheproxy.server;

import cacheproxy.discovery.DiscoveryClient;
import cacheproxy.eventloop.EventLoopClock;
import cacheproxy.logging.Log;
import cacheproxy.routing.RejectionReason;
import cacheproxy.routing.RoutingActions;
import cacheproxy.upstream.EndpointPool;
import cacheproxy.upstream.EndpointPools;

/** Carries out the actions of the router and decides nothing itself. Used on the event loop only. */
final class RouterActionHandler implements RoutingActions {
    private final RequestExchanges exchanges;
    private final EndpointPools pools;
    private final DiscoveryClient discovery;
    private final RouterDispatcher router;
    private final EventLoopClock clock;
    private final Log log;

    RouterActionHandler(
            RequestExchanges exchanges,
            EndpointPools pools,
            DiscoveryClient discovery,
            RouterDispatcher router,
            EventLoopClock clock,
            Log log) {
        this.exchanges = exchanges;
        this.pools = pools;
        this.discovery = discovery;
        this.router = router;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void sendAttempt(long id, int endpoint, long timeoutUs) {
        exchanges.sendAttempt(id, pools.get(endpoint), timeoutUs);
    }

    @Override
    public void reject(long id, long retryAfterUs) {
        exchanges.reject(id, retryAfterUs);
    }

    @Override
    public void reject(long id, long retryAfterUs, long validUntilUs) {
        exchanges.reject(id, retryAfterUs, validUntilUs);
    }

    @Override
    public void reportRejectionReason(long id, RejectionReason reason) {
        exchanges.explain(id, reason);
    }

    @Override
    public void fail(long id) {
        exchanges.fail(id);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        exchanges.cancelAttempt(id, attempt);
    }

    @Override
    public void startTimer(long delayUs, long label) {
        clock.schedule(delayUs, () -> router.timerExpired(label));
    }

    @Override
    public void checkHealth(int endpoint) {
        router.healthCheckNotSent(endpoint);
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        EndpointPool pool = pools.get(endpoint);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public void subscribeToEndpoints() {
        discovery.startWatch();
    }

    @Override
    public void fetchEndpoints() {
        discovery.fetchList();
    }

    @Override
    public void sendGossip(int proxy, byte[] data) {
        log.line("gossip is not supported: no message is sent to other proxies");
    }

    @Override
    public void log(String line) {
        log.line(line);
    }
}
