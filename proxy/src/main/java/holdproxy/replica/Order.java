package holdproxy.replica;

/**
 * What an operator wants, as given once.
 *
 * @param life of the member that took it: drawn anew at each start, so that a member put back to an old
 *     disk cannot name two orders alike
 * @param number of the order within that life, from 1
 * @param stamp hybrid time: after all that the member had heard of, but no further ahead of its own clock
 *     than a bound
 * @param verb what is wanted, {@link #CLEAR} to want nothing any more
 * @param who for the record
 * @param why for the record
 */
public record Order(long life, long number, long stamp, String verb, String who, String why) {
    public static final String CLEAR = "clear";
    /** Characters of a verb or name, and of a reason. */
    public static final int LONGEST = 128;
    public static final int LONGEST_WHY = 512;

    public Order {
        check("verb", verb, LONGEST);
        check("who", who, LONGEST);
        check("why", why, LONGEST_WHY);
        if (number < 1) {
            throw new IllegalArgumentException("number: " + number + " is under 1");
        }
    }

    private static void check(String field, String text, int most) {
        if (text == null || text.length() > most) {
            throw new IllegalArgumentException(field + ": missing, or over " + most + " characters");
        }
    }

    boolean clears() {
        return verb.equals(CLEAR);
    }

    /** Total and the same everywhere. */
    static int compare(Order a, Order b) {
        int order = Long.compare(a.stamp, b.stamp);
        order = order == 0 ? Long.compare(a.life, b.life) : order;
        return order == 0 ? Long.compare(a.number, b.number) : order;
    }

    long digest() {
        return Value.hash(life ^ Value.mix(number), verb);
    }
}
