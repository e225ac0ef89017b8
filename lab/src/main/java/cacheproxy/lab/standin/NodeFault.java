package cacheproxy.lab.standin;

/** A fault of a cache node in handling a command or sending its response. */
public sealed interface NodeFault {
    /** The response is delayed by this long. */
    record Stall(long ns) implements NodeFault {}

    /** The work is done and no response is sent. */
    record Never() implements NodeFault {}

    /** The work is done; this much later the connection closes without the response. */
    record Hang(long ns, boolean reset) implements NodeFault {}

    /** The response is sent twice: in the same write, or this much later. */
    record Twice(long laterNs) implements NodeFault {}

    /** Rejects with {@code SERVER_ERROR busy} without any work; repeats it after this time unless negative. */
    record Busy(long laterNs) implements NodeFault {}

    /** Responds {@code SERVER_ERROR failed}; the effect has happened, or never will. */
    record Failed(boolean runs) implements NodeFault {}

    /** Responds {@code CLIENT_ERROR} without any work. */
    record Refused() implements NodeFault {}

    /** The work is done, and this text replaces the response. */
    record Says(String bytes) implements NodeFault {}

    /** The response is corrupted. */
    record Spoil(How how) implements NodeFault {}

    /** The next response is sent first, if it is ready within this time. */
    record Reorder(long mostNs) implements NodeFault {}

    /** The response is sent in pieces. */
    record Drip(int bytes, long everyNs) implements NodeFault {}

    /** The connection is reset or closed. */
    record Break(When when, boolean reset) implements NodeFault {}

    /** How a response is corrupted. */
    enum How {
        /** Arbitrary bytes with a line end. */
        GARBAGE,
        /** The id of another request. */
        WRONG_ID,
        /** No id. */
        NO_ID,
        /** The value is truncated and nothing follows. */
        CUT_VALUE,
        /** The stated length of the value is too large. */
        LONG_LENGTH,
        /** The stated length of the value is too small. */
        SHORT_LENGTH,
        /** Bytes without a line end follow the response. */
        NOISE_BEHIND,
        /** A second response with an unknown id follows. */
        STRANGER_BEHIND,
        /** A receipt for a read or a value for a write. */
        WRONG_KIND
    }

    /** When the connection is closed. */
    enum When {
        /** As soon as it is established. */
        AT_OPEN,
        /** At the first bytes of a command, which is not executed. */
        BEFORE_READ,
        /** After the command was read, without executing it. */
        BEFORE_RUN,
        /** After execution, before the response. */
        BEFORE_ANSWER,
        /** In the middle of the response. */
        MID_ANSWER,
        /** Right after the response. */
        AFTER_ANSWER
    }
}
