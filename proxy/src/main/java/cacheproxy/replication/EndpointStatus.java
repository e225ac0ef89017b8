package cacheproxy.replication;

/**
 * The state of a cache endpoint as an endpoint list reported it. Merge order: a later start of the endpoint wins over
 * an earlier one, since its cache is colder. Within one start the safer state wins: gone over draining over serving,
 * since using an endpoint that is going away is an error, while not using one that serves costs little.
 *
 * @param startedMs when the endpoint last started, Unix time in ms, 0 if long ago; identifies its incarnation
 * @param unknownFields see {@link ReplicatedValue#requireUnknownFields}
 */
public record EndpointStatus(long startedMs, State state, String unknownFields) implements ReplicatedValue {
    private static final int FIXED_BYTES = 12;

    /** In ascending order of safety. The names are part of the wire format. */
    public enum State {
        SERVING,
        DRAINING,
        GONE
    }

    public EndpointStatus {
        ReplicatedValue.requireUnknownFields(unknownFields);
    }

    public EndpointStatus(long startedMs, State state) {
        this(startedMs, state, "");
    }

    @Override
    public ReplicatedValue merge(ReplicatedValue other) {
        if (!(other instanceof EndpointStatus s)) {
            throw new IllegalArgumentException("an endpoint status cannot be merged with "
                    + other.getClass().getSimpleName());
        }
        if (startedMs != s.startedMs) {
            return startedMs > s.startedMs ? this : s;
        }
        int order = state.compareTo(s.state);
        order = order == 0 ? ReplicatedValue.compareUnknownFields(unknownFields, s.unknownFields) : order;
        return order >= 0 ? this : s;
    }

    @Override
    public long digest() {
        return ReplicatedValue.mix(startedMs * 31 + state.ordinal() + 1)
                + ReplicatedValue.unknownFieldsDigest(unknownFields);
    }

    @Override
    public int encodedBytes() {
        return FIXED_BYTES + unknownFields.length();
    }
}
