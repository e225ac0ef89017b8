package cacheproxy.supervise;

import java.util.Locale;

/** The state of an instance as known to the supervisor. */
public enum InstanceState {
    /** Declared in the site, never started. */
    DECLARED,
    /** The start has been announced in the journal; the process exists or is about to be created. */
    STARTING,
    /** The control channel reports ready, and a client connection is served. */
    READY,
    /** The process runs, but failed its last health check or reports that it is not ready. */
    UNREADY,
    /** A reload of the configuration was requested. */
    RELOADING,
    /**
     * Not entered at present: a process that was asked to stop is {@link #STOPPING} until it ends or is {@link #HUNG}.
     */
    DRAINING,
    /** SIGTERM was sent to the process. */
    STOPPING,
    /** The process runs, but does not answer health checks or does not stop. */
    HUNG,
    /** The process has ended, as requested. */
    STOPPED,
    /** The process has ended unexpectedly. */
    CRASHED,
    /** The next start waits for a backoff delay. */
    BACKING_OFF,
    /** Crashed too often in a row; not started again until an operator intervenes. */
    GIVEN_UP,
    /**
     * Started by an earlier agent, or a start that found its name lock held: the supervisor is searching for the
     * process or checking its health.
     */
    ADOPTED;

    /** The name as shown to operators and on the control channel: in lower case, with spaces. */
    public String words() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Whether a process may exist in this state. */
    public boolean mayRun() {
        return switch (this) {
            case DECLARED, STOPPED, CRASHED, BACKING_OFF, GIVEN_UP -> false;
            default -> true;
        };
    }
}
