package cacheproxy.lab.standin;

/** A command being processed by a cache node. */
final class NodeJob {
    enum State {
        WAITING,
        READY,
        RUNNING,
        PASSED_ON,
        OVER
    }

    final NodeCommand command;
    final NodeConnection line;
    final NodeFault fault;
    final long beganNs;
    State state = State.WAITING;
    /** Whether it is only a health check. */
    boolean probe;
    /** Processor time of the connection's handshake, charged before it. */
    double extraMs;
    /** Whether it occupies a slot. */
    boolean slot;
    /** The response, once it may be sent. */
    byte[] out;
    /** Whether it has waited long enough for the next response to be sent first. */
    boolean held;

    boolean heldEnough;

    NodeJob(NodeCommand command, NodeConnection line, NodeFault fault, long beganNs) {
        this.command = command;
        this.line = line;
        this.fault = fault;
        this.beganNs = beganNs;
    }
}
