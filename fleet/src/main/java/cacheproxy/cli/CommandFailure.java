package cacheproxy.cli;

/** Ends a command: the message is printed as one line on standard error, and the exit code is returned. */
final class CommandFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandFailure(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
