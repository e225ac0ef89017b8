package cacheproxy.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code rolling-restart}: the agent performs the restart, the command shows its events. */
@Command(
        name = "rolling-restart",
        description = "Restarts instances a few at a time, each after the previous "
                + "ones are ready; stops at the first failure. It continues if this command is interrupted.")
final class RollingRestartCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Mixin
    private WaitOptions wait;

    @Option(
            names = "--max-down",
            paramLabel = "N",
            description = "Number of instances restarted at a time (default: 1).")
    private int maxDown = 1;

    @Parameters(paramLabel = "NAME", description = "Instances, in order of restart (default: all).")
    private List<String> names = new ArrayList<>();

    @Override
    ExitCode run() throws InterruptedException {
        AgentClient agent = options.agent();
        Map<String, Object> last = agent.call(AgentOperation.EVENTS, "from", Long.MAX_VALUE);
        agent.call(AgentOperation.ROLLING_RESTART, "names", names, "mostDown", maxDown);
        return wait.noWait ? ExitCode.OK : follow(agent, ReplyFields.number(agent, last, "next"));
    }

    private ExitCode follow(AgentClient agent, long firstEvent) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(wait.timeoutSeconds);
        long from = firstEvent;
        while (System.nanoTime() < end) {
            Map<String, Object> reply = agent.call(AgentOperation.EVENTS, "from", from);
            from = ReplyFields.number(agent, reply, "next");
            for (ListedEvent event : ListedEvent.of(reply)) {
                options.printProgress(event.name() + " " + event.description());
                ExitCode outcome = event.rollingRestartOutcome();
                if (outcome != null) {
                    return outcome;
                }
            }
            Thread.sleep(InstanceWaiter.POLL_INTERVAL_MS);
        }
        options.printProgress("cacheproxyctl: timed out; the rolling restart continues");
        return ExitCode.TIMED_OUT;
    }
}
