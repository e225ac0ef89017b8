package cacheproxy.discovery;

import cacheproxy.routing.EndpointListKind;
import java.util.List;

/** Receives the events of a {@link DiscoveryClient}. Called on the event loop. */
public interface EndpointListListener {
    /**
     * An endpoint list was accepted, or a call to discovery has failed.
     *
     * @param kind {@code FULL} for all endpoints, {@code DELTA} for changes, {@code FAILED} for a failed call
     * @param endpoints in the order of the list, numbered; empty for a failed call
     */
    void endpointsReceived(EndpointListKind kind, List<ListedEndpoint> endpoints);

    /**
     * The watch has sent data, all of it was decoded and, unless an agent pushes lists, it includes a list that was
     * accepted: every change that discovery had until now has been received.
     */
    void watchUpToDate();

    /**
     * The list held may be older than the list agent's ({@code outdated}), so that no attempt may begin; or it is up to
     * date again. Called on each change; at the start the list is not outdated.
     */
    void endpointListOutdated(boolean outdated);

    /** Several consecutive connections to discovery have failed: changes cannot be received for now. */
    void discoveryUnreachable();
}
