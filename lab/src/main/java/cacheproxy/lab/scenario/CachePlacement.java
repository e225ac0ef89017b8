package cacheproxy.lab.scenario;

import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.ScriptedNode;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CacheResult;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.EndpointListKind;
import cacheproxy.routing.FairRouter;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LoadReport;
import cacheproxy.routing.RequestClass;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingRequest;
import cacheproxy.routing.RoutingSettings;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Fills caches as in a site that has been running for long: each key at the two nodes that proxies choose for it,
 * popular keys most recently used. Requesting every key would take longer than the run.
 */
public final class CachePlacement {
    /** Time between two requests, so that no key counts as popular. */
    private static final long APART_US = 200_000_000;

    private CachePlacement() {}

    /** A node's number in the router, derived from its id alone. */
    static int number(String id) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x100000001b3L;
        }
        return (int) (h ^ h >>> 32);
    }

    /** Nodes must be running and warm; each keeps as many keys as it has capacity for. */
    public static void of(List<ScriptedNode> nodes, int keys) {
        java.util.Map<Integer, ScriptedNode> byNumber = new java.util.HashMap<>();
        EndpointInfo[] list = new EndpointInfo[nodes.size()];
        for (int i = 0; i < list.length; i++) {
            ScriptedNode n = nodes.get(i);
            list[i] = new EndpointInfo();
            list[i].id = number(n.name());
            list[i].weight = n.entry().weight();
            byNumber.put(list[i].id, n);
        }
        RequestClass reads = new RequestClass();
        reads.idempotency = Idempotency.IDEMPOTENT;
        reads.latencyObjectiveUs = 750_000;
        reads.deadlineUs = 1_500_000;
        RoutingSettings settings = new RoutingSettings();
        settings.requestClasses = new RequestClass[] {reads};
        int[] sent = new int[1];
        RoutingActions out = (RoutingActions) Proxy.newProxyInstance(
                CachePlacement.class.getClassLoader(), new Class<?>[] {RoutingActions.class}, (self, method, args) -> {
                    sent[0] = method.getName().equals("sendAttempt") ? (Integer) args[1] : sent[0];
                    return null;
                });
        FairRouter router = new FairRouter(settings, 1, 0, out);
        router.onEndpointList(0, EndpointListKind.FULL, list, list.length, out);
        LoadReport report = new LoadReport();
        long now = 0;
        for (int k = keys - 1; k >= 0; k--) {
            String key = ClientModel.key(k);
            ScriptedNode first = null;
            for (int copy = 0; copy < 2; copy++) { // while the first is in flight the second goes to the other node
                now += APART_US;
                RoutingRequest q = new RoutingRequest();
                q.id = 2L * k + copy;
                q.key = Long.parseUnsignedLong(key, 16);
                q.deadlineAtUs = now + 1_000_000;
                router.onRequest(now, q, out);
                ScriptedNode at = byNumber.get(sent[0]);
                if (copy == 0) {
                    first = at;
                } else {
                    at.keep(key);
                }
            }
            first.keep(key);
            for (int copy = 0; copy < 2; copy++) {
                router.onOutcome(now, 2L * k + copy, 0, AttemptOutcome.OK, 1_000, true, CacheResult.HIT, report, out);
            }
        }
    }
}
