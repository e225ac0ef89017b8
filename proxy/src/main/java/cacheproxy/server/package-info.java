/**
 * One proxy on real sockets. {@code ProxyServer} combines client connections, request exchanges, the router behind its
 * dispatcher, endpoint connections and discovery. {@code ProxyProcess} adds signals, reload and the control channel.
 * Each proxy runs on one event loop.
 */
package cacheproxy.server;
