package cacheproxy.server;

import sun.misc.Signal;

/**
 * Handles SIGHUP, SIGTERM and SIGINT from process start on; a signal that arrives before its handler is set is kept
 * until then. By default the JVM would exit on SIGHUP, and on SIGTERM without answering requests accepted during the
 * start. Handlers run on the JVM's signal thread and must not block.
 */
public final class ProcessSignals {
    private Runnable onHup;
    private Runnable onTerm;
    private boolean hangUpPending;
    private boolean terminated;

    /** Installs the handlers. */
    public static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        Signal.handle(new Signal("HUP"), signal -> signals.hangUp());
        Signal.handle(new Signal("TERM"), signal -> signals.terminate());
        Signal.handle(new Signal("INT"), signal -> signals.terminate());
        return signals;
    }

    private synchronized void hangUp() {
        if (onHup == null) {
            hangUpPending = true;
        } else {
            onHup.run();
        }
    }

    /** Shuts down as on SIGTERM. */
    synchronized void terminate() {
        if (onTerm == null || terminated) {
            terminated = true; // further signals have no effect
        } else {
            terminated = true;
            onTerm.run();
        }
    }

    /** Sets the handler of SIGHUP; a pending signal is handled now. */
    synchronized void onHup(Runnable task) {
        onHup = task;
        if (hangUpPending) {
            hangUpPending = false;
            task.run();
        }
    }

    /** Sets the handler of SIGTERM and SIGINT, which runs once; a pending signal is handled now. */
    synchronized void onTerm(Runnable task) {
        onTerm = task;
        if (terminated) {
            task.run();
        }
    }
}
