package cacheproxy.cli;

import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** Calls one member of the replicated state, over the socket in its folder. */
record MemberClient(Path folder) {
    private static final long QUERY_TIMEOUT_MS = 3_000;
    /** Longer than a member waits for other members to write to disk. */
    private static final long OPERATOR_COMMAND_TIMEOUT_MS = 15_000;

    String folderName() {
        return folder.getFileName().toString();
    }

    /** The state of the member and of its replica. */
    Map<String, Object> state() {
        return call(ControlCodec.request("state"), QUERY_TIMEOUT_MS);
    }

    /** The member's entries by key. */
    Map<String, Map<String, Object>> entries() {
        Map<String, Map<String, Object>> byKey = new TreeMap<>();
        Object entries = call(ControlCodec.request("entries"), QUERY_TIMEOUT_MS).get("entries");
        for (Map<String, Object> entry : ReplyFields.objects(entries)) {
            byKey.put(String.valueOf(entry.get("key")), entry);
        }
        return byKey;
    }

    /** Submits an operator command; returns the reply once it is on as many disks as the settings require. */
    Map<String, Object> operatorCommand(String subject, String verb, String who, String why) {
        Map<String, Object> request = ControlCodec.request("order");
        request.put("subject", subject);
        request.put("verb", verb);
        request.put("who", who);
        request.put("why", why);
        return call(request, OPERATOR_COMMAND_TIMEOUT_MS);
    }

    private Map<String, Object> call(Map<String, Object> request, long timeoutMs) {
        Path socket = folder.resolve("member.sock");
        if (!Files.exists(socket)) {
            throw new CommandFailure(ExitCode.UNREACHABLE, folder + " has no member.sock: no member has run there");
        }
        Map<String, Object> reply;
        try {
            reply = ControlClient.call(socket, request, timeoutMs);
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.UNREACHABLE, folder + " does not answer: " + e.getMessage());
        }
        if (!Boolean.TRUE.equals(reply.get("ok"))) {
            throw new CommandFailure(ExitCode.REFUSED, String.valueOf(reply.get("error")));
        }
        return reply;
    }
}
