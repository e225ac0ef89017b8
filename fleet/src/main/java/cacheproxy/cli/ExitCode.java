package cacheproxy.cli;

/** Exit codes of the tool; scripts depend on their values. */
enum ExitCode {
    OK(0, "done"),
    /**
     * The command completed, but an instance is not in its desired state, or the operation failed for an instance. Also
     * returned if the tool fails with an unexpected exception.
     */
    NOT_IN_DESIRED_STATE(1, "done, but something is not in its desired state"),
    USAGE(2, "invalid usage"),
    UNREACHABLE(3, "an agent is unreachable"),
    /** The agent refused the request, or the input is invalid. */
    REFUSED(4, "refused, nothing was changed"),
    TIMED_OUT(5, "timed out");

    private final int value;
    private final String meaning;

    ExitCode(int value, String meaning) {
        this.value = value;
        this.meaning = meaning;
    }

    int value() {
        return value;
    }

    /** The meaning that {@code --help} prints. */
    String meaning() {
        return meaning;
    }
}
