package cacheproxy.server;

import cacheproxy.discovery.ListedEndpoint;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.EndpointState;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds endpoints whose address another one has taken over. One process listens on an address at a time, so of two
 * endpoints that are listed with one address the one that started later has replaced the other, whose end may be listed
 * later or was missed. Requests to the replaced one would reach a process that has just started.
 */
final class AddressOwners {
    private AddressOwners() {}

    /**
     * The entries that state that the replaced ones are gone; empty if none is replaced.
     *
     * @param received the entries of a list that has just been received
     * @param held all endpoints that are listed otherwise
     */
    static List<ListedEndpoint> replaced(Collection<ListedEndpoint> received, Collection<ListedEndpoint> held) {
        Map<SocketAddress, ListedEndpoint> latest = latestStartByAddress(received);
        if (latest.isEmpty()) {
            return List.of();
        }
        List<ListedEndpoint> gone = new ArrayList<>();
        for (Collection<ListedEndpoint> endpoints : List.of(held, received)) {
            for (ListedEndpoint endpoint : endpoints) {
                ListedEndpoint owner = latest.get(endpoint.address());
                if (owner != null && isReplaced(endpoint.info(), owner.info())) {
                    gone.add(gone(endpoint));
                }
            }
        }
        return gone;
    }

    private static Map<SocketAddress, ListedEndpoint> latestStartByAddress(Collection<ListedEndpoint> received) {
        Map<SocketAddress, ListedEndpoint> latest = new HashMap<>();
        for (ListedEndpoint endpoint : received) {
            EndpointInfo info = endpoint.info();
            if (info.state != EndpointState.GONE && info.startedUs != Long.MIN_VALUE) {
                latest.merge(endpoint.address(), endpoint, (a, b) -> b.info().startedUs > a.info().startedUs ? b : a);
            }
        }
        return latest;
    }

    private static boolean isReplaced(EndpointInfo endpoint, EndpointInfo owner) {
        return endpoint.id != owner.id && endpoint.startedUs < owner.startedUs && endpoint.state != EndpointState.GONE;
    }

    private static ListedEndpoint gone(ListedEndpoint endpoint) {
        EndpointInfo info = new EndpointInfo();
        info.id = endpoint.info().id;
        info.zone = endpoint.info().zone;
        info.kind = endpoint.info().kind;
        info.cell = endpoint.info().cell;
        info.weight = endpoint.info().weight;
        info.startedUs = endpoint.info().startedUs;
        info.state = EndpointState.GONE;
        return new ListedEndpoint(info, endpoint.name(), endpoint.address());
    }
}
