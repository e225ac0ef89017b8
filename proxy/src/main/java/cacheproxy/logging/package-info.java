/** The operators' log: rate limits per topic, optional lines on single requests, and writing on a separate thread. */
package cacheproxy.logging;
