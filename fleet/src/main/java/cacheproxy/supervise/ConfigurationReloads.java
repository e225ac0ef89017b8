package cacheproxy.supervise;

/** Reloads the configuration of running instances: on request, and whenever it differs from the declared one. */
final class ConfigurationReloads {
    static final String RELOAD_FAILED = "its reload failed, and is asked for again";

    private final Supervisor supervisor;
    private final SupervisorActions actions;
    private final InstanceRegistry instances;

    ConfigurationReloads(Supervisor supervisor, SupervisorActions actions, InstanceRegistry instances) {
        this.supervisor = supervisor;
        this.actions = actions;
        this.instances = instances;
    }

    /**
     * Whether a reload is due now: the instance uses a configuration other than the declared one and has not rejected
     * the declared one, or its last reload failed.
     */
    static boolean due(Instance instance, long now) {
        if (instance.state != InstanceState.READY
                || instance.spec == null
                || instance.configurationDigest.isEmpty()
                || now < instance.nextReloadMs) {
            return false;
        }
        String declared = instance.spec.configuration();
        return instance.consecutiveReloadFailures > 0
                || !instance.configurationDigest.equals(declared) && !instance.refusedDigest.equals(declared);
    }

    /**
     * Requests a reload, even if the configuration has not changed. Returns why the reload cannot be requested; null if
     * it was.
     */
    String reload(long now, String name) {
        Instance instance = instances.get(name);
        if (instance == null || instance.desired == DesiredState.REMOVED) {
            return "no instance is named " + name;
        }
        if (instance.state != InstanceState.READY && instance.state != InstanceState.UNREADY) {
            return name + " is " + instance.state.words() + ": it cannot reload";
        }
        if (!instance.reloadPending) {
            instance.reloadPending = true;
            instance.reloadDigest = instance.spec == null ? "" : instance.spec.configuration();
            instance.enter(InstanceState.RELOADING, now);
            actions.reload(instance.name, instance.lastStart);
        }
        return null;
    }

    void reloaded(long now, String name, int start, boolean applied, String why, String digest) {
        Instance instance = instances.withStart(name, start);
        if (instance == null || !instance.reloadPending) {
            return;
        }
        instance.reloadPending = false;
        instance.consecutiveReloadFailures = 0;
        if (applied) {
            instance.configurationDigest = digest;
            instance.refusalReason = "";
            instance.refusedDigest = "";
            // if it loaded a configuration other than the requested one, retry, but only after a pause
            instance.nextReloadMs = digest.equals(instance.reloadDigest)
                    ? now
                    : now + instance.policy().probeMs();
            instance.fault = "";
            actions.logEvent(name, "configuration taken");
        } else {
            instance.refusalReason = why;
            instance.refusedDigest = instance.reloadDigest;
            instance.fault = "configuration refused: " + why;
            actions.logEvent(name, instance.fault);
        }
        if (instance.state == InstanceState.RELOADING) {
            instance.enter(InstanceState.READY, now);
        }
        supervisor.step(instance, now);
    }

    /** The reload request could not be sent or was not answered, so the validity of the configuration is unknown. */
    void reloadFailed(long now, String name, int start, String why) {
        Instance instance = instances.withStart(name, start);
        if (instance == null || !instance.reloadPending) {
            return;
        }
        instance.reloadPending = false;
        SupervisionPolicy policy = instance.policy();
        long backoffMs = Math.max(policy.probeMs(), policy.backoffMs(instance.consecutiveReloadFailures));
        instance.consecutiveReloadFailures++;
        instance.nextReloadMs = now + backoffMs;
        actions.logEvent(name, "reload failed: " + why + "; is asked again in " + backoffMs + " ms");
        if (instance.state == InstanceState.RELOADING) {
            instance.fault = RELOAD_FAILED;
            instance.enter(InstanceState.READY, now); // the next health check corrects the state if needed
        }
        supervisor.step(instance, now);
    }
}
