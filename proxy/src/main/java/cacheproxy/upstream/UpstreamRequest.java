package cacheproxy.upstream;

import cacheproxy.memcache.MetaCommand;

/** The request that an attempt is made for, as the connections to endpoints see it. */
public interface UpstreamRequest {
    /** The number under which the router knows the request. */
    long id();

    MetaCommand command();

    /** Whether the request may be executed twice without harm. */
    boolean isIdempotent();

    /** Whether the client got its response or disconnected; nothing more is sent for the request then. */
    boolean isAnswered();

    /** Whether the client is connected; may read its socket, which can change the attempts of any request. */
    ClientState clientState();
}
