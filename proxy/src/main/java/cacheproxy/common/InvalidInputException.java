package cacheproxy.common;

/** Thrown for input that violates its format; the message, one line, says what is wrong and where. */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
