package cacheproxy.server;

import cacheproxy.common.PrintableText;
import cacheproxy.discovery.DiscoveryClient;
import cacheproxy.discovery.ListedEndpoint;
import cacheproxy.logging.Log;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.EndpointListKind;
import cacheproxy.routing.EndpointState;
import cacheproxy.upstream.EndpointPool;
import cacheproxy.upstream.EndpointPools;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The listed endpoints and their states. Passes each received list to the connection pools, which need the addresses,
 * and to the router, in such an order that no attempt goes to an endpoint that has left. Used on the event loop only.
 */
final class EndpointList {
    /** Number of endpoints that one log line names. */
    private static final int MAX_LOGGED = 12;

    private final RouterDispatcher router;
    private final EndpointPools pools;
    private final DiscoveryClient discovery;
    private final Log log;
    /** The endpoints that are listed and not gone, by number. */
    private final Map<Integer, ListedEndpoint> listed = new HashMap<>();

    EndpointList(RouterDispatcher router, EndpointPools pools, DiscoveryClient discovery, Log log) {
        this.router = router;
        this.pools = pools;
        this.discovery = discovery;
        this.log = log;
    }

    /**
     * Applies a received list; if it names an endpoint twice, the later entry counts. An endpoint whose address another
     * one has taken over is gone, whatever the list says.
     */
    void update(EndpointListKind kind, List<ListedEndpoint> received) {
        Map<Integer, ListedEndpoint> byNumber = new LinkedHashMap<>();
        received.forEach(endpoint -> byNumber.put(endpoint.info().id, endpoint));
        AddressOwners.replaced(byNumber.values(), heldOtherwise(byNumber.keySet()))
                .forEach(endpoint -> byNumber.put(endpoint.info().id, endpoint));
        List<String> changes = new ArrayList<>();
        EndpointInfo[] infos = new EndpointInfo[byNumber.size()];
        int infoCount = 0;
        for (ListedEndpoint endpoint : byNumber.values()) {
            infos[infoCount++] = endpoint.info();
            updateEndpoint(endpoint, changes);
        }
        router.endpointListReceived(kind, infos);
        for (EndpointInfo info : infos) {
            if (info.state != EndpointState.READY) {
                drainOrRemove(info.id, info.state == EndpointState.GONE);
            } else {
                pools.routerNotified(info.id);
            }
        }
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            removeAllBut(byNumber.keySet(), changes);
        }
        logChanges(changes);
    }

    private List<ListedEndpoint> heldOtherwise(Set<Integer> received) {
        return listed.values().stream()
                .filter(endpoint -> !received.contains(endpoint.info().id))
                .toList();
    }

    private void updateEndpoint(ListedEndpoint endpoint, List<String> changes) {
        EndpointInfo info = endpoint.info();
        recordChange(changes, info.id, endpoint.name(), info.state);
        if (info.state != EndpointState.GONE) {
            pools.put(info.id, endpoint.name(), endpoint.address(), info.startedUs);
            listed.put(info.id, endpoint);
        }
    }

    private void removeAllBut(Set<Integer> listedNumbers, List<String> changes) {
        for (Integer number : List.copyOf(listed.keySet())) {
            if (!listedNumbers.contains(number)) {
                EndpointPool pool = pools.get(number);
                recordChange(changes, number, pool == null ? "" : pool.name(), EndpointState.GONE);
                drainOrRemove(number, true);
            }
        }
    }

    private void drainOrRemove(int number, boolean removed) {
        pools.drainOrRemove(number, removed);
        if (removed) {
            listed.remove(number);
            discovery.releaseNumber(
                    number); // even if it was never listed, else discovery would keep its number forever
        }
    }

    /** Records a state change for the log; must be called before {@link #listed} changes. */
    private void recordChange(List<String> changes, int number, String name, EndpointState newState) {
        ListedEndpoint old = listed.get(number);
        EndpointState oldState = old == null ? EndpointState.GONE : old.info().state;
        if (newState != oldState) {
            changes.add(PrintableText.of(name) + " " + oldState + " to " + newState);
        }
    }

    /** Logs one line for all endpoints whose state has changed; the first of them are named. */
    private void logChanges(List<String> changes) {
        if (!changes.isEmpty()) {
            int shown = Math.min(MAX_LOGGED, changes.size());
            log.line(
                    Log.Topic.DISCOVERY,
                    "endpoint list: " + String.join(", ", changes.subList(0, shown))
                            + (shown < changes.size() ? " and " + (changes.size() - shown) + " more" : ""));
        }
    }

    /** Whether any endpoint accepts requests. */
    boolean canServe() {
        return readyEndpoints() > 0;
    }

    /** The number of endpoints in each state, under the control channel's names for the states. */
    Map<String, Object> countByState() {
        long ready = readyEndpoints();
        return Map.of("serving", (int) ready, "draining", (int) (listed.size() - ready));
    }

    private long readyEndpoints() {
        return listed.values().stream()
                .filter(endpoint -> endpoint.info().state == EndpointState.READY)
                .count();
    }
}
