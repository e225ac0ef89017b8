package cacheproxy.lab.verification;

/**
 * One entry of the record of a run.
 *
 * @param atNs time since the start of the run, in ns
 * @param link number of the connection
 * @param who the host at which it happened
 * @param data bytes sent or arrived; must not be modified
 * @param note what depends on the kind
 */
public record RecordedEvent(long atNs, Kind kind, long link, String who, byte[] data, String note) {
    /** What happened. */
    public enum Kind {
        /** {@code who} dials; note: the address. */
        DIAL,
        /** The kernel of {@code who} accepted; note: the dialler's name. */
        OPEN,
        /** The dial of {@code who} was refused. */
        REFUSED,
        /** {@code who} passed the data to its kernel. */
        SENT,
        /** The data arrived at the kernel of {@code who}. */
        ARRIVED,
        END_SENT,
        END_ARRIVED,
        RESET_SENT,
        RESET_ARRIVED,
        /** Reported by a stand-in or the driver; note: the fact and its details, separated by spaces. */
        FACT
    }
}
