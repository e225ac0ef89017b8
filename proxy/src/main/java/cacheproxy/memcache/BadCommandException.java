package cacheproxy.memcache;

/** A command that cannot be parsed. The message is sent to the client. Has no stack trace, because it is frequent. */
final class BadCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    BadCommandException(String message) {
        super(message, null, false, false);
    }
}
