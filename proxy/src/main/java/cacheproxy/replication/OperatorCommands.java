package cacheproxy.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The commands on one subject that no later command has superseded. A command supersedes all commands that were known
 * to the member which accepted it, whatever their timestamps; otherwise a clock an hour ahead would win for an hour.
 * Concurrent commands are all kept and shown as a conflict; until an operator resolves it the command with the latest
 * timestamp is in effect, and any other command takes precedence over one that clears.
 *
 * <p>A multi-value register with dotted version vectors (Preguica, Baquero, Almeida, Fonte, Goncalves, 2012).
 */
public final class OperatorCommands implements ReplicatedValue {
    /**
     * Limit of the incarnations that have given commands on one subject. The version vector never forgets any, not even
     * where all commands are cleared: a command restored from an old disk would otherwise take effect again.
     */
    static final int MAX_INCARNATIONS = 256;
    /** Limit for a received copy: both sides of a partition may each have reached {@link #MAX_INCARNATIONS}. */
    private static final int MAX_RECEIVED_INCARNATIONS = 4 * MAX_INCARNATIONS;

    private static final int MAX_RECEIVED_COMMANDS = 4 * MAX_INCARNATIONS;
    private static final int VERSION_BYTES = 16;
    private static final int COMMAND_FIXED_BYTES = 28;

    /** Highest known sequence number by incarnation; covers every command in {@link #active}. */
    private final SortedMap<Long, Long> versionVector;

    /** Ordered by timestamp. */
    private final List<OperatorCommand> active;

    private OperatorCommands(SortedMap<Long, Long> versionVector, List<OperatorCommand> active) {
        this.versionVector = versionVector;
        this.active = active;
    }

    /**
     * Builds the value from its decoded parts.
     *
     * @throws InvalidFieldException if there are too many, or the version vector doesn't cover a command
     */
    public static OperatorCommands of(Map<Long, Long> versionVector, List<OperatorCommand> active) {
        if (versionVector.size() > MAX_RECEIVED_INCARNATIONS || active.size() > MAX_RECEIVED_COMMANDS) {
            throw new InvalidFieldException(
                    "orders",
                    active.size() + " commands of " + versionVector.size() + " incarnations, over "
                            + MAX_RECEIVED_COMMANDS + " or " + MAX_RECEIVED_INCARNATIONS);
        }
        List<OperatorCommand> sorted = new ArrayList<>(active);
        sorted.sort(OperatorCommand::compare);
        for (OperatorCommand c : sorted) {
            if (versionVector.getOrDefault(c.incarnation(), 0L) < c.sequence()) {
                throw new InvalidFieldException(
                        "orders",
                        "a command of incarnation " + c.incarnation() + " that its version vector does not cover");
            }
        }
        return new OperatorCommands(new TreeMap<>(versionVector), List.copyOf(sorted));
    }

    /**
     * The value after a command that was given where {@code before} was known.
     *
     * @param before null if there were no commands on the subject
     * @throws InvalidFieldException if the subject has had commands of too many incarnations
     */
    static OperatorCommands superseding(OperatorCommands before, OperatorCommand command) {
        SortedMap<Long, Long> versions = before == null ? new TreeMap<>() : new TreeMap<>(before.versionVector);
        versions.merge(command.incarnation(), command.sequence(), Math::max);
        if (versions.size() > MAX_INCARNATIONS) {
            throw new InvalidFieldException(
                    "subject", "has had orders of " + MAX_INCARNATIONS + " lives, use another name");
        }
        return new OperatorCommands(versions, List.of(command));
    }

    @Override
    public ReplicatedValue merge(ReplicatedValue other) {
        if (!(other instanceof OperatorCommands theirs)) {
            throw new IllegalArgumentException("operator commands cannot be merged with "
                    + other.getClass().getSimpleName());
        }
        SortedMap<Long, Long> versions = new TreeMap<>(versionVector);
        theirs.versionVector.forEach((incarnation, sequence) -> versions.merge(incarnation, sequence, Math::max));
        List<OperatorCommand> merged = new ArrayList<>();
        for (OperatorCommand mine : active) {
            OperatorCommand copy = theirs.copyOf(mine);
            if (copy != null) {
                merged.add(mine.moreComplete(copy));
            } else if (!theirs.covers(mine)) {
                merged.add(mine);
            }
        }
        for (OperatorCommand command : theirs.active) {
            if (!covers(command)) {
                merged.add(command);
            }
        }
        merged.sort(OperatorCommand::compare);
        return new OperatorCommands(versions, List.copyOf(merged));
    }

    private OperatorCommand copyOf(OperatorCommand command) {
        for (OperatorCommand c : active) {
            if (c.sameIdentity(command)) {
                return c;
            }
        }
        return null;
    }

    private boolean covers(OperatorCommand command) {
        return versionVector.getOrDefault(command.incarnation(), 0L) >= command.sequence();
    }

    /** Highest known sequence number by incarnation. */
    public Map<Long, Long> versionVector() {
        return versionVector;
    }

    /** Commands that none has superseded, oldest timestamp first. */
    public List<OperatorCommand> active() {
        return active;
    }

    /** The command in effect; null if there is none or all are cleared. */
    public OperatorCommand effective() {
        OperatorCommand last = null;
        for (OperatorCommand c : active) {
            last = c.clears() ? last : c;
        }
        return last;
    }

    /** Whether concurrent commands request different actions. */
    public boolean conflicting() {
        return active.stream().map(OperatorCommand::action).distinct().count() > 1;
    }

    /** The latest timestamp of the active commands, 0 if there is none. */
    long lastTimestampMs() {
        return active.stream().mapToLong(OperatorCommand::timestampMs).max().orElse(0);
    }

    @Override
    public long digest() {
        long d = 1;
        for (OperatorCommand c : active) {
            d += c.digest();
        }
        for (Map.Entry<Long, Long> e : versionVector.entrySet()) {
            d += ReplicatedValue.mix(e.getKey() ^ ReplicatedValue.mix(e.getValue() + 7));
        }
        return ReplicatedValue.mix(d);
    }

    @Override
    public int encodedBytes() {
        int bytes = VERSION_BYTES * versionVector.size();
        for (OperatorCommand c : active) {
            bytes += COMMAND_FIXED_BYTES
                    + c.action().length()
                    + c.operator().length()
                    + c.reason().length()
                    + c.unknownFields().length();
        }
        return bytes;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof OperatorCommands o && versionVector.equals(o.versionVector) && active.equals(o.active);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(digest());
    }

    @Override
    public String toString() {
        return active + " of " + versionVector;
    }
}
