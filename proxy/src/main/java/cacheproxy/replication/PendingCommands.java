package cacheproxy.replication;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Commands that were submitted to this member and are not known to be on enough disks yet. */
final class PendingCommands {
    static final int MAX_PENDING = 64;
    /** After this the operator is notified that the command isn't durable, and how many disks hold it. */
    static final long TIMEOUT_MS = 10_000;

    static final class PendingCommand {
        final String key;
        final OperatorCommand command;
        private final long submittedMs;
        private final Set<String> confirmedBy = new HashSet<>();
        private boolean durableHere;
        private int rounds;

        private PendingCommand(String key, OperatorCommand command, long submittedMs) {
            this.key = key;
            this.command = command;
            this.submittedMs = submittedMs;
        }

        /** Counts a round and returns whether peers are asked to confirm in it: in rounds 1, 2, 4, 8 and so on. */
        boolean dueThisRound() {
            rounds++;
            return Integer.bitCount(rounds) == 1;
        }

        void confirm(String peer) {
            confirmedBy.add(peer);
        }

        boolean confirmedBy(String peer) {
            return confirmedBy.contains(peer);
        }

        void markDurableHere() {
            durableHere = true;
        }

        /** Disks that are known to hold the command. */
        int copies() {
            return confirmedBy.size() + (durableHere ? 1 : 0);
        }

        boolean durable(int requiredCopies) {
            return durableHere && copies() >= requiredCopies;
        }

        /** Equal for equal progress; see {@link Replica#fingerprint}. */
        long fingerprint() {
            return ReplicatedValue.mix(
                    command.sequence() * 31 + (durableHere ? 1 : 0) + confirmedBy.hashCode() * 1_021L + 13 * rounds);
        }
    }

    private final Map<Long, PendingCommand> bySequence = new LinkedHashMap<>();

    boolean full() {
        return bySequence.size() >= MAX_PENDING;
    }

    void add(String key, OperatorCommand command, long nowMs) {
        bySequence.put(command.sequence(), new PendingCommand(key, command, nowMs));
    }

    /** Null if it isn't pending. */
    PendingCommand get(long sequence) {
        return bySequence.get(sequence);
    }

    int size() {
        return bySequence.size();
    }

    Iterable<PendingCommand> all() {
        return bySequence.values();
    }

    /** Removes the commands that are durable or have timed out. */
    void settle(int requiredCopies, long nowMs, Consumer<PendingCommand> onSettled) {
        for (Iterator<PendingCommand> i = bySequence.values().iterator(); i.hasNext(); ) {
            PendingCommand pending = i.next();
            if (pending.durable(requiredCopies) || nowMs - pending.submittedMs >= TIMEOUT_MS) {
                i.remove();
                onSettled.accept(pending);
            }
        }
    }
}
