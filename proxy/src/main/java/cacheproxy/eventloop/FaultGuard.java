package cacheproxy.eventloop;

import cacheproxy.logging.Log;

/**
 * Runs tasks of the event loop and logs what they throw. An exception must not prevent the work that follows the task:
 * a timer that is not scheduled again, or an event that is never completed, would stop the proxy.
 */
public final class FaultGuard {
    /** A constant, because building a message can fail for lack of memory. */
    private static final String UNDESCRIBED_FAULT = "fault: it cannot be described";

    private final Log log;

    public FaultGuard(Log log) {
        this.log = log;
    }

    /** Runs a task; never throws, not even an {@link Error}. */
    public void run(Runnable task) {
        try {
            task.run();
        } catch (Throwable fault) {
            try {
                StackTraceElement[] stackTrace = fault.getStackTrace();
                log.line("fault: " + fault + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
            } catch (Throwable descriptionFailure) {
                logUndescribedFault();
            }
        }
    }

    private void logUndescribedFault() {
        try {
            log.line(UNDESCRIBED_FAULT);
        } catch (Throwable loggingFailure) {
            // Logging failed as well; the tasks that follow must run nevertheless.
        }
    }
}
