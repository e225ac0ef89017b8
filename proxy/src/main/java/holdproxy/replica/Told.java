package holdproxy.replica;

/**
 * What a list has told of a cache node. The rule for copies that differ: a later start of the node goes
 * before an earlier one, since it is colder; within one start the safer state wins, draining over serving
 * and gone over draining, since a proxy that serves on after it was told breaks a rule and one that does
 * not serve loses a little.
 *
 * @param startedMs when the node last started, Unix time in ms as its list says, 0 for long ago: its
 *     incarnation
 */
public record Told(long startedMs, State state) implements Value {
    /** In the order of what is safer. */
    public enum State { SERVING, DRAINING, GONE }

    @Override
    public Value merge(Value other) {
        if (!(other instanceof Told t)) {
            throw new IllegalArgumentException("a told state and " + other.getClass().getSimpleName());
        }
        if (startedMs != t.startedMs) {
            return startedMs > t.startedMs ? this : t;
        }
        return state.compareTo(t.state) >= 0 ? this : t;
    }

    @Override
    public long digest() {
        return Value.mix(startedMs * 31 + state.ordinal() + 1);
    }

    @Override
    public int bytes() {
        return 12;
    }
}
