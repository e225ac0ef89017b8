/**
 * Keeps the endpoint list up to date: calls and watches of the discovery service over HTTP, their timeouts and backoff,
 * the parsing of lists, and the migration to another service. Runs on the event loop and notifies an
 * {@link cacheproxy.discovery.EndpointListListener}.
 */
package cacheproxy.discovery;
