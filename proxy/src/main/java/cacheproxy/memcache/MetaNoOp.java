package cacheproxy.memcache;

/** The {@code mn} command, used by clients and load balancers as a health check. */
public record MetaNoOp() {}
