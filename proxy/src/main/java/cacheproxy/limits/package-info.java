/**
 * Limits that keep one peer from affecting others: fair scheduling, token buckets, byte budgets, and the attribution of
 * failed attempts to endpoint, client or proxy. Performs no I/O.
 */
package cacheproxy.limits;
