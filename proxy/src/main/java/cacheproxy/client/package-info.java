/**
 * Client connections: reads commands fairly, answers them in order, and decides which connections stay open. Everything
 * runs on the event loop. Requests are handled by {@link cacheproxy.client.RequestHandler}.
 */
package cacheproxy.client;
