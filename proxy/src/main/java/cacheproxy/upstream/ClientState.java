package cacheproxy.upstream;

/** What is known of the client of a request at the moment in which an attempt for it is to begin. */
public enum ClientState {
    /** It was connected a moment ago. */
    CONNECTED,
    /** It has closed its connection. */
    GONE,
    /** It may have closed its connection behind what is still on its way; known a little later. */
    IN_DOUBT,
    /** Its socket is just being read; known once that read has ended. */
    BEING_READ
}
