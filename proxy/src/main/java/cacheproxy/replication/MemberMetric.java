package cacheproxy.replication;

/**
 * A metric that one member reports about itself: requests it has sent to a warming endpoint, its level for a tenant,
 * its suspicion of an endpoint. Each has a single writer, so copies differ in age only. Merge order: the later
 * incarnation of the member, then the higher sequence number, then the larger amount. Equal sequence numbers with
 * different amounts occur where a member was restored from an old disk.
 *
 * @param incarnation the reporting member's incarnation; larger for each later start
 * @param sequence increases within an incarnation
 * @param unknownFields see {@link ReplicatedValue#requireUnknownFields}
 */
public record MemberMetric(long incarnation, long sequence, double amount, String unknownFields)
        implements ReplicatedValue {
    private static final int FIXED_BYTES = 20;

    public MemberMetric {
        if (Double.isNaN(amount)) {
            throw new InvalidFieldException("amount", "NaN is not a number");
        }
        ReplicatedValue.requireUnknownFields(unknownFields);
    }

    public MemberMetric(long incarnation, long sequence, double amount) {
        this(incarnation, sequence, amount, "");
    }

    @Override
    public ReplicatedValue merge(ReplicatedValue other) {
        if (!(other instanceof MemberMetric m)) {
            throw new IllegalArgumentException(
                    "a member metric cannot be merged with " + other.getClass().getSimpleName());
        }
        int order = Long.compare(incarnation, m.incarnation);
        order = order == 0 ? Long.compare(sequence, m.sequence) : order;
        order = order == 0 ? Double.compare(amount, m.amount) : order;
        order = order == 0 ? ReplicatedValue.compareUnknownFields(unknownFields, m.unknownFields) : order;
        return order >= 0 ? this : m;
    }

    @Override
    public long digest() {
        long amountHash = ReplicatedValue.mix(Double.doubleToLongBits(amount));
        return ReplicatedValue.mix(incarnation ^ ReplicatedValue.mix(sequence ^ amountHash))
                + ReplicatedValue.unknownFieldsDigest(unknownFields);
    }

    @Override
    public int encodedBytes() {
        return FIXED_BYTES + unknownFields.length();
    }
}
