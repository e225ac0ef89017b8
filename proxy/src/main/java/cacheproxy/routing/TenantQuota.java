package cacheproxy.routing;

/** A tenant and its quota. */
public final class TenantQuota {
    public String name = "";
    /** Requests a second, over all proxies, within the quota; 0 where none is set. */
    public double requestsPerSecond;
    /** The quota as a share of the capacity. */
    public double share;
}
