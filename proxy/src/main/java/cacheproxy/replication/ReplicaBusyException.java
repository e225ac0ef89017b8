package cacheproxy.replication;

/** A replica rejected a command because it has reached a limit, which the message names. */
public final class ReplicaBusyException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    ReplicaBusyException(String limit) {
        super("busy: " + limit);
    }
}
