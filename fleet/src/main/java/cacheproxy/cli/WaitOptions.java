package cacheproxy.cli;

import picocli.CommandLine.Option;

/** Whether and how long a command waits until it took effect. */
final class WaitOptions {
    @Option(names = "--timeout", paramLabel = "SECONDS", description = "Maximum time to wait (default: 60).")
    int timeoutSeconds = 60;

    @Option(names = "--no-wait", description = "Returns without waiting for the result.")
    boolean noWait;
}
