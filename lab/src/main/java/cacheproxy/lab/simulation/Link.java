package cacheproxy.lab.simulation;

/** One end of a connection, as a stand-in uses it. All calls are made on the network's thread. */
public interface Link {
    /** Unique within the network; in simulated time both ends have the same id. */
    long id();

    /** Never blocks: bytes are sent as the window allows. */
    void send(byte[] bytes);

    /** Closes the sending side after everything sent so far (FIN). */
    void end();

    /** Resets the connection (RST); undelivered bytes are lost. */
    void reset();

    /** Stops or resumes reading; meanwhile the peer is blocked by the window. */
    void reading(boolean on);

    boolean open();

    /** The peer's host name; empty if not known. */
    default String peer() {
        return "";
    }

    /** Receives the events of a link. */
    interface Handler {
        void opened(Link link);

        void received(Link link, byte[] bytes);

        /** The peer closed its sending side; called once. This side may still send. */
        void ended(Link link);

        /**
         * The connection was reset, or the dial was refused or timed out, in which case the link may be null. The last
         * call.
         */
        void broken(Link link, String why);
    }
}
