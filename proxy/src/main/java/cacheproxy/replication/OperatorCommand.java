package cacheproxy.replication;

/**
 * A command of an operator about one subject.
 *
 * @param incarnation of the member that accepted it, generated at each start, so that a member restored from an old
 *     disk can't give two commands the same identity
 * @param sequence of the command within that incarnation, from 1
 * @param timestampMs hybrid logical time, Unix time in ms: later than all commands known to the member, but at most a
 *     bound ahead of its own clock
 * @param action the action to take, or {@link #CLEAR} to withdraw earlier commands
 * @param operator name of the operator, for the record
 * @param reason the operator's reason, for the record
 * @param unknownFields see {@link ReplicatedValue#requireUnknownFields}
 */
public record OperatorCommand(
        long incarnation,
        long sequence,
        long timestampMs,
        String action,
        String operator,
        String reason,
        String unknownFields) {
    public static final String CLEAR = "clear";
    /** Limit of the characters in an action or an operator's name. */
    public static final int MAX_NAME_LENGTH = 128;
    /** Limit of the characters in a reason. */
    public static final int MAX_REASON_LENGTH = 512;

    /** Throws {@link InvalidFieldException}, with the field's name on the wire. */
    public OperatorCommand {
        requireText("verb", action, MAX_NAME_LENGTH);
        requireText("who", operator, MAX_NAME_LENGTH);
        requireText("why", reason, MAX_REASON_LENGTH);
        if (sequence < 1) {
            throw new InvalidFieldException("number", sequence + " is under 1");
        }
        ReplicatedValue.requireUnknownFields(unknownFields);
    }

    public OperatorCommand(
            long incarnation, long sequence, long timestampMs, String action, String operator, String reason) {
        this(incarnation, sequence, timestampMs, action, operator, reason, "");
    }

    private static void requireText(String field, String text, int maxLength) {
        if (text == null || text.length() > maxLength) {
            throw new InvalidFieldException(field, "missing, or over " + maxLength + " characters");
        }
    }

    boolean clears() {
        return action.equals(CLEAR);
    }

    /** A total order by timestamp that is the same on every member. */
    static int compare(OperatorCommand a, OperatorCommand b) {
        int order = Long.compare(a.timestampMs, b.timestampMs);
        order = order == 0 ? Long.compare(a.incarnation, b.incarnation) : order;
        return order == 0 ? Long.compare(a.sequence, b.sequence) : order;
    }

    /** Whether both are copies of one command; one of them may have lost its unknown fields. */
    boolean sameIdentity(OperatorCommand other) {
        return incarnation == other.incarnation && sequence == other.sequence;
    }

    /** The more complete of two copies of one command; a total order, whatever the copies contain. */
    OperatorCommand moreComplete(OperatorCommand other) {
        int order = ReplicatedValue.compareUnknownFields(unknownFields, other.unknownFields);
        order = order == 0 ? Long.compare(timestampMs, other.timestampMs) : order;
        order = order == 0 ? action.compareTo(other.action) : order;
        order = order == 0 ? operator.compareTo(other.operator) : order;
        order = order == 0 ? reason.compareTo(other.reason) : order;
        return order >= 0 ? this : other;
    }

    long digest() {
        return ReplicatedValue.hash(incarnation ^ ReplicatedValue.mix(sequence), action)
                + ReplicatedValue.unknownFieldsDigest(unknownFields);
    }
}
