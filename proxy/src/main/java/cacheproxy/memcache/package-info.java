/**
 * The part of the memcached meta text protocol that the proxy supports: decoders for the commands of clients and for
 * the responses of cache endpoints, and the framing that both share. Classes here don't depend on connections or on
 * routing decisions; they run on the event loop.
 */
package cacheproxy.memcache;
