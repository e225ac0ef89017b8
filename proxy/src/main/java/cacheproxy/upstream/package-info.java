/**
 * Connections to cache endpoints: one pool per endpoint, a common limit on file descriptors, and on each connection the
 * attempts in the order of their responses. Everything runs on the event loop. This package doesn't decide where a
 * request is sent or whether it is retried; each attempt ends with exactly one
 * {@link cacheproxy.upstream.AttemptCompletion}.
 */
package cacheproxy.upstream;
