package cacheproxy.supervise;

/** Updates the state of an instance from the results of its health checks. */
final class HealthCheckResults {
    private final Supervisor supervisor;
    private final SupervisorActions actions;
    private final InstanceRegistry instances;
    private final RollingRestarts rollingRestarts;

    HealthCheckResults(
            Supervisor supervisor,
            SupervisorActions actions,
            InstanceRegistry instances,
            RollingRestarts rollingRestarts) {
        this.supervisor = supervisor;
        this.actions = actions;
        this.instances = instances;
        this.rollingRestarts = rollingRestarts;
    }

    /**
     * Handles an answered health check.
     *
     * @param ready whether the instance reports that it is ready
     * @param notServing why a client connection is not served; empty if it is
     * @param digest digest of the configuration in use
     */
    void probed(long now, String name, int start, boolean ready, String notServing, String digest) {
        Instance instance = instances.withStart(name, start);
        if (instance == null || !instance.state.mayRun()) {
            return;
        }
        instance.probePending = false;
        // An instance opens its control channel only while it holds the name lock, so every earlier process that was
        // seen has ended. A start that was announced but never seen may still create its process.
        instance.unconfirmedStarts.removeIf(s -> s.identity() != null);
        instance.startsWithNameHeld = 0;
        instance.configurationDigest = digest;
        if (ready && notServing.isEmpty()) {
            instance.lastAnswerMs = now;
            boolean hung = instance.state == InstanceState.HUNG;
            boolean remainsHung = hung
                    && instance.terminating
                    && now - instance.sigtermMs > instance.policy().stopWithinMs();
            // the fault stays while the declared configuration is rejected or the stop time is exceeded
            if (instance.refusalReason().isEmpty() && !remainsHung) {
                instance.fault = instance.consecutiveReloadFailures > 0 ? ConfigurationReloads.RELOAD_FAILED : "";
            }
            if (hung && instance.terminating) {
                if (!remainsHung) {
                    instance.enter(InstanceState.STOPPING, now);
                }
            } else if (instance.state != InstanceState.READY
                    && instance.state != InstanceState.RELOADING
                    && !instance.terminating) {
                if (instance.readySinceMs < 0) {
                    instance.readySinceMs = now;
                }
                instance.enter(InstanceState.READY, now);
                actions.logEvent(name, "ready");
            }
        } else if (!ready && notServing.isEmpty()) {
            instance.lastAnswerMs = now; // the instance itself reports that it is starting or draining
            boolean stopOverdue = now - instance.sigtermMs > instance.policy().stopWithinMs();
            if (instance.state == InstanceState.HUNG && instance.terminating && !stopOverdue) {
                instance.enter(InstanceState.STOPPING, now);
            } else if (!instance.terminating && instance.readySinceMs < 0 && instance.state != InstanceState.STARTING) {
                instance.enter(InstanceState.STARTING, now); // adopted before it was ready
            } else if (instance.state == InstanceState.READY
                    || instance.state == InstanceState.HUNG && !instance.terminating) {
                instance.fault = "says that it is not ready";
                instance.enter(InstanceState.UNREADY, now);
                actions.logEvent(name, "unready: " + instance.fault);
            }
        } else {
            notAnswering(instance, now, "answers its channel and serves no client: " + notServing);
        }
        supervisor.step(instance, now);
        rollingRestarts.advance(now);
    }

    void probeFailed(long now, String name, int start, String why) {
        Instance instance = instances.withStart(name, start);
        if (instance == null || !instance.state.mayRun()) {
            return;
        }
        instance.probePending = false;
        notAnswering(instance, now, why);
        supervisor.step(instance, now);
        rollingRestarts.advance(now);
    }

    private void notAnswering(Instance instance, long now, String why) {
        if (instance.state == InstanceState.READY
                || instance.state == InstanceState.RELOADING
                || instance.state == InstanceState.ADOPTED
                || instance.state == InstanceState.UNREADY) {
            instance.fault = why;
            if (instance.state == InstanceState.READY) {
                instance.enter(InstanceState.UNREADY, now);
                actions.logEvent(instance.name, "unready: " + why);
            }
        }
    }
}
