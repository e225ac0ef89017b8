package cacheproxy.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** The identity of this process on its control channel. */
public final class ProcessIdentity {
    /** Index of starttime among the fields of /proc/self/stat behind the program's name (proc(5)). */
    private static final int START_TIME_INDEX = 19;

    private static final int MAX_NONCE_LENGTH = 256;

    private ProcessIdentity() {}

    /** Name, build and pid; start ticks and boot id where there is a /proc. */
    public static Map<String, Object> current(String name) {
        Map<String, Object> identity = new LinkedHashMap<>();
        identity.put("name", name);
        String build = ProcessIdentity.class.getPackage().getImplementationVersion();
        identity.put("build", build == null ? "unknown" : build);
        identity.put("pid", ProcessHandle.current().pid());
        try {
            // the second field, the program's name, may contain spaces and parentheses
            String stat = Files.readString(Path.of("/proc/self/stat"));
            identity.put(
                    "startTicks",
                    Long.parseLong(stat.substring(stat.lastIndexOf(')') + 2).split(" ")[START_TIME_INDEX]));
            identity.put(
                    "bootId",
                    Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip());
        } catch (IOException | RuntimeException e) {
            // without /proc the process is identified by the secret alone
        }
        return identity;
    }

    /** Replies to {@code hello} with the identity, and with a proof for the request's nonce if there is a secret. */
    public static void answerHello(
            Map<String, Object> identity, String secret, Map<String, Object> request, ControlServer.Reply reply) {
        String nonce = request.get("nonce") instanceof String s ? s : "";
        if (nonce.isEmpty() || nonce.length() > MAX_NONCE_LENGTH) {
            reply.fail("nonce: a text of 1 to " + MAX_NONCE_LENGTH + " characters is needed");
            return;
        }
        Map<String, Object> answer = new LinkedHashMap<>(identity);
        if (!secret.isEmpty()) {
            answer.put("proof", Fingerprint.hmac(secret, String.valueOf(identity.get("name")), nonce));
        }
        reply.end(answer);
    }
}
