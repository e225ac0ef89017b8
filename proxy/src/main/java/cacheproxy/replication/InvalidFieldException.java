package cacheproxy.replication;

/** A field of an entry, a message or a setting that is missing, malformed or out of range. */
public final class InvalidFieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * @param field the name of the field, as in the message or file it came from
     * @param problem its value or what is wrong with it, and what was expected
     */
    public InvalidFieldException(String field, String problem) {
        super(field + ": " + problem);
        this.field = field;
    }

    /** The name of the field. */
    public String field() {
        return field;
    }
}
