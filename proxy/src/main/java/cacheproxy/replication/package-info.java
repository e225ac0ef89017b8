/**
 * State that all members of a site hold by gossip: merges, anti-entropy, state transfer and operator commands, without
 * I/O. Used by the member process ({@code replication.node}) alone: no routing decision reads it.
 */
package cacheproxy.replication;
