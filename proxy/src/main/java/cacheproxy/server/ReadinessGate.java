package cacheproxy.server;

import cacheproxy.logging.Log;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Decides when the proxy reports that it is ready. Load balancers send clients to a proxy once it has answered
 * {@code mn}. The proxy is ready when an endpoint is serving and discovery has sent its endpoint list. A change that
 * discovery, or the platform's agent that pushes lists, announced before this process started counts as known to this
 * process, so the configuration's list, which may be older, is not used while a newer one is available: a list that may
 * be out of date (see {@code discovery.ListFreshness}) does not make the proxy ready. Used on the event loop only.
 */
final class ReadinessGate {
    private static final int MAX_PENDING = 4096;

    /** Why the proxy became ready, for the log. */
    enum Cause {
        LIST_RECEIVED("discovery has sent its endpoint list"),
        DISCOVERY_UNREACHABLE("discovery is unreachable, the endpoint list of the configuration is used"),
        TIMED_OUT("no endpoint list with a serving endpoint came in time");

        private final String text;

        Cause(String text) {
            this.text = text;
        }
    }

    private final Log log;
    private final BooleanSupplier listMayBeOutdated;
    private final ArrayDeque<Runnable> pending = new ArrayDeque<>();
    /** Set once the proxy listens. Before that only the JIT warm-up sends {@code mn}, and it is answered at once. */
    private boolean started;

    private boolean ready;
    /** Why the proxy no longer waits for the first list; null while it waits. */
    private Cause cause;

    ReadinessGate(Log log, BooleanSupplier listMayBeOutdated) {
        this.log = log;
        this.listMayBeOutdated = listMayBeOutdated;
    }

    /** Called when the proxy begins to listen: from now on responses wait until it is ready. */
    void start() {
        started = true;
    }

    boolean isReady() {
        return ready;
    }

    /** Runs {@code response} once the proxy is ready; at once if too many are pending already. */
    void whenReady(Runnable response) {
        if (!started || ready || pending.size() >= MAX_PENDING) {
            response.run();
        } else {
            pending.add(response);
        }
    }

    /** Ends the wait for the first list. {@code canServe}: whether an endpoint is serving. */
    void stopWaiting(Cause reason, boolean canServe) {
        if (cause == null) {
            cause = reason;
        }
        endpointsChanged(canServe);
    }

    /** Called when the endpoint list has changed. {@code canServe}: whether an endpoint is serving. */
    void endpointsChanged(boolean canServe) {
        if (!ready && canServe && cause != null && !listMayBeOutdated.getAsBoolean()) {
            becomeReady(cause);
        }
    }

    /** Makes the proxy ready even without an endpoint; its rejections then show that discovery is down. */
    void timeOut() {
        if (!ready) {
            becomeReady(Cause.TIMED_OUT);
        }
    }

    private void becomeReady(Cause reason) {
        ready = true;
        log.line("ready: " + reason.text);
        for (Runnable next = pending.poll(); next != null; next = pending.poll()) {
            next.run();
        }
    }
}
