package cacheproxy.discovery;

import cacheproxy.routing.EndpointInfo;
import java.net.SocketAddress;

/**
 * One entry of an endpoint list.
 *
 * @param info the properties of the endpoint that the router uses; {@code info.id} is set once the list is accepted
 * @param name the {@code id} field of the entry, a string; {@code info.id} is the number that {@link EndpointNumbers}
 *     assigns to it
 * @param address the address that the endpoint listens on; null if it is gone and the entry has no address
 */
public record ListedEndpoint(EndpointInfo info, String name, SocketAddress address) {}
