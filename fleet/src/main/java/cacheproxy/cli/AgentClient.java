package cacheproxy.cli;

import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlCodec;
import cacheproxy.control.TlsEndpoint;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Calls one agent, over the socket in its state folder or over TLS. Calls block for at most the time given.
 *
 * @param name the name that the user gave the agent
 * @param folder state folder of a local agent; for a remote agent, the folder with the client's certificates
 * @param remote address and certificates of a remote agent; null for an agent on this machine
 */
record AgentClient(String name, Path folder, TlsEndpoint remote) {
    private static final long CALL_TIMEOUT_MS = 5_000;

    private Path socket() {
        return folder.resolve("agent.sock");
    }

    /** The agent's address, for messages. */
    String address() {
        return remote == null ? socket().toString() : remote.toString();
    }

    /** Distinguishes the agent from other agents that have the same name. */
    String location() {
        return remote == null ? folder.toString() : address();
    }

    /**
     * Throws {@link CommandFailure} unless the agent runs on this machine, so that its process can be started or ended.
     */
    void requireLocal() {
        if (remote != null) {
            throw new CommandFailure(ExitCode.USAGE, "agent " + name + " is not on this machine: " + remote);
        }
    }

    private Map<String, Object> call(Map<String, Object> request, long timeoutMs) throws IOException {
        return remote == null ? ControlClient.call(socket(), request, timeoutMs) : remote.call(request, timeoutMs);
    }

    /** Opens a connection for several replies; the caller closes it. */
    ControlClient open(long timeoutMs) throws IOException {
        return remote == null ? new ControlClient(socket()) : remote.open(timeoutMs);
    }

    /** Whether the agent answers within {@code timeoutMs}. */
    boolean answers(long timeoutMs) {
        try {
            return Boolean.TRUE.equals(
                    call(request(AgentOperation.LIST), timeoutMs).get("ok"));
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns the agent's reply to an operation. {@code fields} are names and values in turn. Throws
     * {@link CommandFailure} if the agent is unreachable, refuses the operation, or sends a malformed reply.
     */
    Map<String, Object> call(AgentOperation operation, Object... fields) {
        Map<String, Object> reply;
        try {
            reply = call(request(operation, fields), CALL_TIMEOUT_MS);
        } catch (IOException e) {
            throw new CommandFailure(
                    ExitCode.UNREACHABLE,
                    "agent " + name + " cannot be reached at " + address() + ": " + e.getMessage());
        }
        if (Boolean.TRUE.equals(reply.get("gate"))) {
            throw new CommandFailure(
                    ExitCode.UNREACHABLE,
                    "agent " + name + " rejects connections at " + address() + ": " + reply.get("error"));
        }
        checkReply(operation, reply);
        return reply;
    }

    /** Throws {@link CommandFailure} if the reply reports a failure or is malformed. */
    void checkReply(AgentOperation operation, Map<String, Object> reply) {
        if (Boolean.FALSE.equals(reply.get("ok"))) {
            throw new CommandFailure(ExitCode.REFUSED, "agent " + name + ": " + reply.get("error"));
        }
        String malformed = operation.describeMalformed(reply);
        if (malformed != null) {
            throw new CommandFailure(ExitCode.UNREACHABLE, "agent " + name + " sent a malformed reply: " + malformed);
        }
    }

    static Map<String, Object> request(AgentOperation operation, Object... fields) {
        Map<String, Object> request = ControlCodec.request(operation.wireName());
        for (int i = 0; i < fields.length; i += 2) {
            request.put(String.valueOf(fields[i]), fields[i + 1]);
        }
        return request;
    }
}
