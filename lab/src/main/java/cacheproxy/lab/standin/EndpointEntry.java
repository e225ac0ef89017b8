package cacheproxy.lab.standin;

import java.net.InetSocketAddress;

/** A cache node as the endpoint list describes it. */
public record EndpointEntry(
        String id,
        InetSocketAddress address,
        String zone,
        String kind,
        int cell,
        String state,
        double weight,
        long startedMs) {
    static final String SERVING = "SERVING";
    public static final String DRAINING = "DRAINING";
    static final String DELETED = "DELETED";

    public EndpointEntry state(String now) {
        return new EndpointEntry(id, address, zone, kind, cell, now, weight, startedMs);
    }

    EndpointEntry started(long unixMs) {
        return new EndpointEntry(id, address, zone, kind, cell, state, weight, unixMs);
    }

    public EndpointEntry at(InetSocketAddress where) {
        return new EndpointEntry(id, where, zone, kind, cell, state, weight, startedMs);
    }

    String json() {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + text(address) + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"" + kind + "\",\"cell\":" + cell + ",\"state\":\"" + state
                + "\",\"weight\":" + weight + ",\"started_ms\":" + startedMs + "}";
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Loopback address number {@code i}, up to 60,000, in the subnet {@code 127.0.NET} and those after it. */
    public static InetSocketAddress address(int net, int i, int port) {
        return address("127." + i / 254 + "." + net + "." + (i % 254 + 1) + ":" + port);
    }

    /** Formats an address as digits and a port, as in {@code 127.0.2.1:11211}. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
