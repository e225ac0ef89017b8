package cacheproxy.memcache;

/**
 * A protocol violation in a client's input.
 *
 * @param line the error line to send to the client, without its line end
 * @param framingLost whether no further input can be decoded
 */
public record ProtocolError(String line, boolean framingLost) {}
