package cacheproxy.cli;

import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** Options of every command that calls agents. */
final class AgentOptions extends OutputOptions {
    @Option(
            names = {"-a", "--agent"},
            paramLabel = "[NAME=]FOLDER",
            description = "An agent's state folder, or tls://ADDRESS:PORT?FOLDER, where FOLDER holds client.pem, "
                    + "client.key, agents.pem and optionally token. May be repeated. Default: the agents in "
                    + "CACHEPROXY_AGENTS (comma-separated), else ./.cacheproxy, else the agent that `up` starts.")
    private List<String> agents = new ArrayList<>();

    /** The agents that the command calls. Throws {@link CommandFailure} if an option is invalid. */
    AgentSelection agents() {
        json();
        return new AgentSelection(agents, System.getenv());
    }

    /** The agent of a command that accepts only one agent. */
    AgentClient agent() {
        return agents().single();
    }
}
