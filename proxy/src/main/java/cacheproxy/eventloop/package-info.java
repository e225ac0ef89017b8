/**
 * The event loop's clock and timers, with a measurement of how late they run, and the handling of exceptions of tasks.
 * Independent of requests.
 */
package cacheproxy.eventloop;
