package cacheproxy.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Waits until instances of one agent reach the goal, and prints each change of their states. */
final class InstanceWaiter {
    /** Interval between two requests to an agent. */
    static final long POLL_INTERVAL_MS = 200;

    /** The state that the waiter waits for. */
    enum Goal {
        /** Instances that are declared to run are ready; the others have ended. */
        READY,
        ENDED
    }

    private final AgentOptions options;
    private final AgentClient agent;
    private final List<String> names;
    private final Goal goal;
    private final Map<String, Long> startsBefore;
    private final Map<String, String> shownStates = new HashMap<>();

    /** @param names the instances to wait for; empty for all */
    InstanceWaiter(AgentOptions options, AgentClient agent, List<String> names, Goal goal) {
        this(options, agent, names, goal, Map.of());
    }

    /**
     * @param startsBefore number of the last start by instance name; an instance counts as ready only after a newer
     *     start
     */
    InstanceWaiter(
            AgentOptions options, AgentClient agent, List<String> names, Goal goal, Map<String, Long> startsBefore) {
        this.options = options;
        this.agent = agent;
        this.names = names;
        this.goal = goal;
        this.startsBefore = startsBefore;
    }

    /** The number of the last start of each instance that an agent lists, by name. */
    static Map<String, Long> starts(AgentClient agent) {
        Map<String, Long> starts = new HashMap<>();
        for (ListedInstance instance : ReplyFields.instances(agent.call(AgentOperation.LIST))) {
            starts.put(instance.name(), instance.start(agent));
        }
        return starts;
    }

    /** Calls {@link #await} unless the options disable waiting. */
    ExitCode awaitUnlessDisabled(WaitOptions wait) throws InterruptedException {
        return wait.noWait ? ExitCode.OK : await(wait.timeoutSeconds);
    }

    /** Returns once all instances reached the goal, one has failed, or the timeout has passed. */
    ExitCode await(int timeoutSeconds) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        while (true) {
            Progress progress = poll();
            if (progress.pending.isEmpty()) {
                return ExitCode.OK;
            }
            if (progress.failed || System.nanoTime() > deadlineNanos) {
                options.printProgress(
                        "cacheproxyctl: not in the desired state: " + String.join(", ", progress.pending));
                return progress.failed ? ExitCode.NOT_IN_DESIRED_STATE : ExitCode.TIMED_OUT;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /**
     * The result of one poll of the instances.
     *
     * @param pending names of the instances that have not reached the goal yet
     * @param failed whether one of them will not reach the goal without intervention
     */
    private record Progress(Set<String> pending, boolean failed) {}

    private Progress poll() {
        Set<String> pending = new TreeSet<>();
        boolean failed = false;
        List<String> unlisted = new ArrayList<>(names);
        for (ListedInstance instance : ReplyFields.instances(agent.call(AgentOperation.LIST))) {
            String name = instance.name();
            if (!names.isEmpty() && !names.contains(name)) {
                continue;
            }
            unlisted.removeIf(name::equals);
            if (!reachedGoal(instance)) {
                pending.add(name);
                failed |= failed(instance);
            }
            showChange(instance);
        }
        if (goal == Goal.READY && !unlisted.isEmpty()) { // removed from the site in the meantime
            pending.addAll(unlisted);
            failed = true;
        }
        return new Progress(pending, failed);
    }

    private boolean reachedGoal(ListedInstance instance) {
        boolean mustBeReady = goal == Goal.READY && (instance.wanted() || names.contains(instance.name()));
        if (!mustBeReady) {
            return instance.hasEnded();
        }
        return instance.ready() && restarted(instance) && !instance.configurationRefused();
    }

    private boolean restarted(ListedInstance instance) {
        Long before = startsBefore.get(instance.name());
        return before == null || instance.start(agent) != before;
    }

    private static boolean failed(ListedInstance instance) {
        // while an instance reloads, the reported refusal is that of the previous configuration
        boolean refused = instance.configurationRefused() && !instance.state().equals("reloading");
        return refused || instance.state().equals("given up");
    }

    private void showChange(ListedInstance instance) {
        String state = instance.state();
        if (!state.equals(shownStates.put(instance.name(), state)) && !options.json()) {
            String remark = instance.remark();
            options.printProgress(instance.name() + " " + state + (remark.isEmpty() ? "" : ": " + remark));
        }
    }
}
