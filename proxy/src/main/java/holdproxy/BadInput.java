package holdproxy;

/** Input that does not follow the wire; the message says what and where, on one line. */
public class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message);
    }
}
