package cacheproxy.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures the figures about the agent that are given in docs/. Run by hand: {@code AgentMeasurement [INSTANCES [OPTION
 * OF ITS JVM ...]]}.
 */
final class AgentMeasurement {
    private static final long IDLE_MS = 20_000;
    private static final long CPU_TICK_MS = 10;

    private AgentMeasurement() {}

    public static void main(String[] args) throws Exception {
        int count = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        String[] options = args.length > 1 ? Arrays.copyOfRange(args, 1, args.length) : new String[0];
        for (int instances : new int[] {8, count}) {
            try (AgentRig rig = new AgentRig(instances)) {
                rig.policy = "\"killAfterMs\":-1"; // the default policy
                long launchNs = System.nanoTime();
                rig.startAndAwait(options);
                long startupMs = msSince(launchNs);
                long startNs = System.nanoTime();
                rig.callOk("apply", "site", rig.site());
                rig.await("all to be ready", () -> rig.allInState("ready"));
                System.out.println(instances + " ready at once after " + msSince(startNs) + " ms; the agent answers "
                        + startupMs + " ms after its start");
                if (instances == count) {
                    crash(rig);
                    idle(rig);
                    idle(rig); // cheaper, since code is JIT-compiled by now
                    rollingRestart(rig);
                }
            }
        }
    }

    private static long msSince(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    private static void crash(AgentRig rig) throws Exception {
        for (int i = 0; i < 5; i++) {
            String name = "p" + i;
            long pid = rig.pid(name);
            AgentRig.signal("KILL", pid);
            long startNs = System.nanoTime();
            rig.await("the crash to be reported", () -> rig.hasEvent(name + " crashed"));
            long reportedMs = msSince(startNs);
            rig.await("to be ready", () -> rig.isInState("ready", name) && rig.pid(name) != pid);
            System.out.println(
                    name + " told " + reportedMs + " ms after SIGKILL, ready " + msSince(startNs) + " ms after it");
        }
    }

    private static long cpuTicks(long pid) throws Exception {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    static long rssKb(long pid) throws IOException {
        String line = Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(line.replaceAll("\\D", ""));
    }

    private static String memory(long pid) throws Exception {
        List<String> lines = Files.readAllLines(Path.of("/proc/" + pid + "/status"));
        return lines.stream()
                .filter(l -> l.startsWith("VmRSS") || l.startsWith("RssAnon"))
                .map(l -> l.replaceAll("\\s+", " "))
                .toList()
                .toString();
    }

    static void idle(AgentRig rig) throws Exception {
        Map<String, Long> pids = rig.pids();
        long agentTicks = cpuTicks(rig.agent.pid());
        long instanceTicks = 0;
        for (long pid : pids.values()) {
            instanceTicks -= cpuTicks(pid);
        }
        Thread.sleep(IDLE_MS);
        for (long pid : pids.values()) {
            instanceTicks += cpuTicks(pid);
        }
        agentTicks = cpuTicks(rig.agent.pid()) - agentTicks;
        System.out.println("idle for " + IDLE_MS + " ms: agent " + agentTicks * CPU_TICK_MS + " ms of CPU, "
                + memory(rig.agent.pid()) + "; an instance " + instanceTicks * CPU_TICK_MS / pids.size()
                + " ms of CPU, " + memory(pids.get("p7")));
    }

    private static void rollingRestart(AgentRig rig) throws Exception {
        try (SteadyLoad load = new SteadyLoad(rig.ports, rig.node, 6)) {
            long startNs = System.nanoTime();
            rig.callOk("roll", "names", List.of(), "mostDown", 2);
            rig.await("the rolling restart to end", () -> !rig.callOk("list").containsKey("rolling"));
            System.out.println("rolling restart, 2 down at most: " + msSince(startNs) + " ms, "
                    + (rig.hasEvent("is done") ? "done, " : "NOT DONE, ") + load.answered + " answered, "
                    + load.resent + " sent to another instance, failed: " + load.stopAndGetFailures());
        }
    }
}
