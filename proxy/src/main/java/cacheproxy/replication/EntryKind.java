package cacheproxy.replication;

/**
 * The kind of an entry, given by the first part of its key: {@code order/SUBJECT}, {@code node/ENDPOINT},
 * {@code sent/ENDPOINT/MEMBER}, {@code level/TENANT/MEMBER}, {@code doubt/ENDPOINT/MEMBER}. Keys hold names of tenants
 * and endpoints, never keys or values of clients.
 */
public enum EntryKind {
    /** Commands of operators; never expire. */
    COMMAND("order", OperatorCommands.class, Long.MAX_VALUE),
    /**
     * The status of an endpoint. Members that see the endpoint in their list report it again before it expires. Without
     * expiry, a partition that lasts longer than a removal is remembered would bring removed endpoints back when it
     * heals.
     */
    ENDPOINT("node", EndpointStatus.class, 60_000),
    /** Requests that a member has sent to a warming endpoint; keyed by its start, so that a later start begins at 0. */
    REQUESTS_SENT("sent", MemberMetric.class, 60_000),
    /** A tenant's level at a member. */
    TENANT_LEVEL("level", MemberMetric.class, 30_000),
    /** How much a member suspects an endpoint to be an outlier. */
    OUTLIER_SUSPICION("doubt", MemberMetric.class, 10_000);

    /** Limit of the characters in a key. */
    public static final int MAX_KEY_LENGTH = 256;

    private final String prefix;
    private final Class<? extends ReplicatedValue> type;
    /**
     * From this age on an entry is neither sent nor accepted. It is held for as long again, so that it isn't accepted
     * back from a member that received it later.
     */
    final long timeToLiveMs;

    EntryKind(String prefix, Class<? extends ReplicatedValue> type, long timeToLiveMs) {
        this.prefix = prefix;
        this.type = type;
        this.timeToLiveMs = timeToLiveMs;
    }

    /** The kind of this key; null if this version doesn't know it. Such entries are ignored. */
    public static EntryKind ofKey(String key) {
        for (EntryKind kind : values()) {
            int end = kind.prefix.length();
            if (key.startsWith(kind.prefix) && key.length() > end && key.charAt(end) == '/') {
                return kind;
            }
        }
        return null;
    }

    /**
     * The kind with this key prefix.
     *
     * @throws InvalidFieldException if there is none
     */
    public static EntryKind ofPrefix(String prefix) {
        for (EntryKind kind : values()) {
            if (kind.prefix.equals(prefix)) {
                return kind;
            }
        }
        throw new InvalidFieldException("kind", prefix + " is not one of order, node, sent, level, doubt");
    }

    /**
     * The key of this kind with these parts.
     *
     * @throws InvalidFieldException if a part is empty or holds a slash, or the key gets too long
     */
    public String key(String... parts) {
        for (String part : parts) {
            if (part.isEmpty() || part.indexOf('/') >= 0) {
                throw new InvalidFieldException("key", "a part of a key is empty or holds '/': '" + part + "'");
            }
        }
        String key = prefix + "/" + String.join("/", parts);
        if (key.length() > MAX_KEY_LENGTH) {
            throw new InvalidFieldException("key", key.length() + " characters, over " + MAX_KEY_LENGTH);
        }
        return key;
    }

    boolean accepts(ReplicatedValue value) {
        return type.isInstance(value);
    }

    /** Whether its values are metrics that each member reports about itself. */
    boolean isMetric() {
        return type == MemberMetric.class;
    }

    boolean expires() {
        return this != COMMAND;
    }
}
