package cacheproxy.replication;

import cacheproxy.replication.Message.DurableAck;
import cacheproxy.replication.Message.Update;
import cacheproxy.replication.PendingCommands.PendingCommand;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Operator commands from submission to acknowledgement: their identity and timestamp, their writes to this member's
 * disk, and the confirmations of other members that have them on disk.
 */
final class CommandReplication {
    /** Peers that are asked to confirm a command at a time. */
    private static final int CONFIRMING_PEERS = 3;
    /** Limit of writes in flight; beyond it the oldest are dropped, as when the disk has stopped responding. */
    private static final int MAX_WRITES = 4_096;

    /** A write to disk, and the commands to confirm to a peer, or to this member itself, once it is done. */
    private record Write(String confirmTo, String key, List<OperatorCommand> commands) {}

    private final String member;
    private final long incarnation;
    private final int peers;
    private final ReplicationSettings settings;
    private final ReplicatedStore store;
    private final MessageSender sender;
    private final ReplicaActions actions;
    private final PendingCommands pending = new PendingCommands();
    private final Map<Long, Write> writes = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Write> eldest) {
            return size() > MAX_WRITES;
        }
    };

    private long lastTimestampMs;
    private long lastSequence;
    private long lastToken;

    CommandReplication(
            String member,
            long incarnation,
            int peers,
            ReplicationSettings settings,
            ReplicatedStore store,
            MessageSender sender,
            ReplicaActions actions) {
        this.member = member;
        this.incarnation = incarnation;
        this.peers = peers;
        this.settings = settings;
        this.store = store;
        this.sender = sender;
        this.actions = actions;
    }

    /** Records the timestamps of received commands, so that later commands of this member come after them. */
    void observe(OperatorCommands commands) {
        lastTimestampMs = Math.max(lastTimestampMs, commands.lastTimestampMs());
    }

    /** Accepts a command and starts its write to disk; see {@link Replica#submitCommand}. */
    OperatorCommand submit(String key, String action, String operator, String reason, long nowMs, long wallMs) {
        // hybrid logical time: later than all known commands, except those more than the allowed drift ahead of this
        // clock
        lastTimestampMs = Math.max(wallMs, Math.min(lastTimestampMs + 1, wallMs + settings.maxClockDriftMs()));
        OperatorCommand command =
                new OperatorCommand(incarnation, lastSequence + 1, lastTimestampMs, action, operator, reason);
        ReplicatedStore.Entry before = store.get(key);
        OperatorCommands after =
                OperatorCommands.superseding(before == null ? null : (OperatorCommands) before.value(), command);
        if (!store.merge(key, after, 0, nowMs)) {
            throw new ReplicaBusyException("there are " + ReplicatedStore.MAX_SUBJECTS + " subjects");
        }
        lastSequence++;
        pending.add(key, command, nowMs);
        write(key, after, new Write(member, key, List.of(command)));
        return command;
    }

    /** Throws {@link ReplicaBusyException} if no further command can be pending. */
    void requireCapacity() {
        if (pending.full()) {
            throw new ReplicaBusyException(PendingCommands.MAX_PENDING + " orders wait for other disks");
        }
    }

    /**
     * Writes received commands to disk.
     *
     * @param confirmTo the peer to which the received commands are confirmed after the write, null if none requested it
     */
    void persistReceived(String key, OperatorCommands received, String confirmTo) {
        ReplicatedStore.Entry entry = store.get(key);
        if (entry == null) {
            return; // the store is full: nothing is confirmed
        }
        Write write =
                confirmTo == null ? new Write(member, key, List.of()) : new Write(confirmTo, key, received.active());
        write(key, (OperatorCommands) entry.value(), write);
    }

    private void write(String key, OperatorCommands commands, Write write) {
        long token = ++lastToken;
        writes.put(token, write);
        actions.store(key, commands, token);
    }

    /** The write with this token is on disk: confirms its commands to the member that waits for it. */
    void onStored(long token, long nowMs) {
        Write write = writes.remove(token);
        if (write == null) {
            return;
        }
        for (OperatorCommand command : write.commands) {
            if (!write.confirmTo.equals(member)) {
                DurableAck ack = new DurableAck(write.key, command.incarnation(), command.sequence());
                sender.send(write.confirmTo, ack, nowMs);
            } else if (pending.get(command.sequence()) != null) {
                pending.get(command.sequence()).markDurableHere();
            }
        }
        settle(nowMs);
    }

    void onDurableAck(String from, DurableAck ack, long nowMs) {
        PendingCommand command = ack.incarnation() == incarnation ? pending.get(ack.sequence()) : null;
        if (command != null && command.key.equals(ack.key())) {
            command.confirm(from);
            settle(nowMs);
        }
    }

    /** Acknowledges commands that are durable, and reports those that have timed out as not durable. */
    void settle(long nowMs) {
        int required = settings.durableCopies();
        pending.settle(
                required,
                nowMs,
                c -> actions.commandAcknowledged(c.command.sequence(), c.durable(required), c.copies()));
    }

    /**
     * Sends pending commands to some peers for confirmation, and with backoff to others until enough have confirmed.
     */
    void requestConfirmations(long nowMs) {
        for (PendingCommand command : pending.all()) {
            if (!command.dueThisRound()) {
                continue;
            }
            ReplicatedStore.Entry entry = store.get(command.key);
            for (int i = 0; i < CONFIRMING_PEERS && i < peers; i++) {
                String peer = sender.randomPeer();
                if (!command.confirmedBy(peer)) {
                    sender.send(peer, new Update(List.of(entry.toMessageEntry(nowMs)), true), nowMs);
                }
            }
        }
    }

    int pendingCount() {
        return pending.size();
    }

    /** Equal for equal pending commands; see {@link Replica#fingerprint}. */
    long pendingFingerprint() {
        long sum = 0;
        for (PendingCommand command : pending.all()) {
            sum += command.fingerprint();
        }
        return sum;
    }

    /** Equal for equal counters. */
    long counterFingerprint() {
        return lastTimestampMs + lastSequence + lastToken;
    }

    int writesFingerprint() {
        return writes.keySet().hashCode();
    }
}
