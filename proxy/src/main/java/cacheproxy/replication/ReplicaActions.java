package cacheproxy.replication;

/**
 * The operations that a {@link Replica} needs from the process that runs it. Called from within the replica's own
 * methods; an implementation must not call back into the replica before those return.
 */
public interface ReplicaActions {
    /** Sends a message to a member if it can be reached. The replica isn't notified whether it was. */
    void send(String peer, Message message);

    /**
     * Writes these commands to disk. {@link Replica#onStored} is called with the token once they are durable, and never
     * if the write fails.
     */
    void store(String key, OperatorCommands commands, long token);

    /** The value under this key has changed, or has been added. */
    void entryChanged(String key);

    /**
     * A command that was submitted here is durable on as many members as the settings ask for, or was not within
     * {@link PendingCommands#TIMEOUT_MS}.
     *
     * @param copies the number of disks that are known to hold it
     */
    void commandAcknowledged(long sequence, boolean durable, int copies);
}
