package cacheproxy.cli;

import java.util.concurrent.Callable;

/** A command of the tool, as picocli calls it. */
abstract class ToolCommand implements Callable<Integer> {
    /** Runs the command. Throws {@link CommandFailure} if it fails. */
    abstract ExitCode run() throws InterruptedException;

    @Override
    public final Integer call() throws InterruptedException {
        return run().value();
    }
}
