package cacheproxy.lab.scenario;

import cacheproxy.lab.standin.ScriptedNode;
import cacheproxy.lab.standin.SiteSettings;
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
import java.util.ArrayList;
import java.util.List;

/** Keys that are routed to a newly started node, as any client can compute from the published code. */
public final class NewNodeKeys {
    private static final int MOST_TRIES = 8_000;

    private NewNodeKeys() {}

    /** Finds up to this many keys that a proxy routes to this node if no limit applies. */
    public static List<String> of(List<ScriptedNode> nodes, ScriptedNode cold, SiteSettings settings, int count) {
        RoutingSettings s = new RoutingSettings();
        RequestClass reads = new RequestClass();
        reads.idempotency = Idempotency.IDEMPOTENT;
        reads.latencyObjectiveUs = 750_000;
        reads.deadlineUs = 1_500_000;
        s.requestClasses = new RequestClass[] {reads};
        s.slowStartInitialCapacity = settings.coldFrom;
        s.slowStartUs = (long) (settings.coldMs * 1000);
        EndpointInfo[] list = new EndpointInfo[nodes.size()];
        for (int i = 0; i < list.length; i++) {
            list[i] = new EndpointInfo();
            list[i].id = CachePlacement.number(nodes.get(i).name());
            list[i].startedUs = nodes.get(i) == cold ? 0 : Long.MIN_VALUE;
        }
        int[] last = new int[1];
        RoutingActions out = (RoutingActions) Proxy.newProxyInstance(
                NewNodeKeys.class.getClassLoader(), new Class<?>[] {RoutingActions.class}, (self, method, args) -> {
                    last[0] = method.getName().equals("sendAttempt") ? (Integer) args[1] : last[0];
                    return null;
                });
        List<String> keys = new ArrayList<>();
        FairRouter router = null;
        for (long key = 1; key < MOST_TRIES && keys.size() < count; key++) {
            if (router == null) {
                router = new FairRouter(s, 1, 0, out);
                router.onEndpointList(0, EndpointListKind.FULL, list, list.length, out);
            }
            RoutingRequest q = new RoutingRequest();
            q.id = key;
            q.key = key;
            q.deadlineAtUs = 1_000_000;
            router.onRequest(0, q, out);
            if (last[0] == CachePlacement.number(cold.name())) {
                keys.add(Long.toHexString(key));
                router = null; // the next proxy has sent it none yet
            } else {
                router.onOutcome(0, key, 0, AttemptOutcome.OK, 1000, true, CacheResult.NONE, new LoadReport(), out);
            }
        }
        return keys;
    }
}
