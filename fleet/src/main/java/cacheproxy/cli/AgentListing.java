package cacheproxy.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the instance listings of several agents, including those that are unreachable. */
final class AgentListing {
    private AgentListing() {}

    /**
     * Returns one object per agent, as {@code --output json} prints it. Throws {@link CommandFailure} if all agents
     * refuse.
     *
     * @param operation {@link AgentOperation#LIST}, or {@link AgentOperation#STATUS} of the instances named
     * @param names empty for all instances
     */
    static List<Map<String, Object>> of(AgentSelection agents, AgentOperation operation, List<String> names) {
        List<Map<String, Object>> listings = new ArrayList<>();
        CommandFailure firstRefusal = null;
        boolean anyListed = false;
        for (AgentClient agent : agents.all()) {
            try {
                listings.add(listing(agent, operation, names));
                anyListed = true;
            } catch (CommandFailure refusal) {
                firstRefusal = firstRefusal == null ? refusal : firstRefusal;
                listings.add(refusedListing(agent, refusal));
            }
        }
        if (!anyListed && firstRefusal != null) {
            throw firstRefusal;
        }
        return listings;
    }

    private static Map<String, Object> refusedListing(AgentClient agent, CommandFailure refusal) {
        Map<String, Object> listing = new LinkedHashMap<>();
        listing.put("agent", agent.name());
        listing.put("reachable", true);
        listing.put("refused", refusal.getMessage());
        return listing;
    }

    /** For an unreachable agent, returns the cached last listing, marked as unreachable; it never shows as stopped. */
    private static Map<String, Object> listing(AgentClient agent, AgentOperation operation, List<String> names) {
        Map<String, Object> listing = new LinkedHashMap<>();
        listing.put("agent", agent.name());
        try {
            listing.putAll(callAgent(agent, operation, names));
            listing.put("agent", agent.name()); // the reply may hold a field of this name
            listing.put("reachable", true);
        } catch (CommandFailure failure) {
            if (failure.exitCode() != ExitCode.UNREACHABLE) {
                throw failure;
            }
            Map<String, Object> last = LastListing.read(agent);
            if (last != null) {
                listing.putAll(last);
            }
            listing.put("agent", agent.name());
            listing.put("reachable", false);
            listing.put("error", failure.getMessage());
        }
        ReplyFields.removeProtocolFields(listing);
        return listing;
    }

    private static Map<String, Object> callAgent(AgentClient agent, AgentOperation operation, List<String> names) {
        if (operation != AgentOperation.LIST) {
            return agent.call(operation, "names", names);
        }
        Map<String, Object> reply = agent.call(operation);
        LastListing.write(agent, reply);
        return reply;
    }
}
