package cacheproxy.agent;

import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlCodec;
import cacheproxy.control.Fingerprint;
import cacheproxy.supervise.UniqueProcessId;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Map;

/** Queries an instance over its control channel and its client port; calls block up to their timeout. */
final class InstanceClient {
    private static final int REQUEST_TIMEOUT_MS = 1_000;
    private static final int RELOAD_TIMEOUT_MS = 10_000;
    private static final byte[] GREETING = {'m', 'n', '\r', '\n'};

    /** The instance rejected a reload. */
    static final class RejectedException extends IOException {
        private static final long serialVersionUID = 1L;

        RejectedException(String why) {
            super(why);
        }
    }

    private final SecureRandom random = new SecureRandom();

    String secret() {
        byte[] bytes = new byte[16];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Identifies the process that answers on a socket; throws if none does or it does not prove to have the secret. */
    UniqueProcessId identify(Path socket, String name, String secret) throws IOException {
        try (ControlClient client = new ControlClient(socket)) {
            Map<String, Object> hello = authenticate(client, name, secret);
            if (hello.get("pid") instanceof Number pid
                    && hello.get("startTicks") instanceof Number ticks
                    && hello.get("bootId") instanceof String boot) {
                return new UniqueProcessId(pid.longValue(), ticks.longValue(), boot);
            }
            throw new IOException("it does not tell its pid, start and boot");
        }
    }

    private Map<String, Object> authenticate(ControlClient client, String name, String secret) throws IOException {
        String nonce = secret();
        Map<String, Object> request = ControlCodec.request("hello");
        request.put("nonce", nonce);
        client.send(request, REQUEST_TIMEOUT_MS);
        Map<String, Object> hello = requireOk(client.next(REQUEST_TIMEOUT_MS));
        if (!Fingerprint.hmac(secret, name, nonce).equals(hello.get("proof"))) {
            throw new IOException("another process answers on its socket: the proof is wrong");
        }
        return hello;
    }

    private static Map<String, Object> requireOk(Map<String, Object> reply) throws IOException {
        if (!Boolean.TRUE.equals(reply.get("ok"))) {
            throw new IOException(String.valueOf(reply.get("error")));
        }
        return reply;
    }

    /** The status of the instance, after it has proved that it has the secret. */
    Map<String, Object> status(Path socket, String name, String secret) throws IOException {
        try (ControlClient client = new ControlClient(socket)) {
            authenticate(client, name, secret);
            client.send(ControlCodec.request("status"), REQUEST_TIMEOUT_MS);
            return requireOk(client.next(REQUEST_TIMEOUT_MS));
        }
    }

    /**
     * Connects as a client and sends the greeting, the no-op {@code mn}. Returns why the response is not {@code MN};
     * empty if it is.
     */
    String greetingFailure(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(REQUEST_TIMEOUT_MS);
            socket.connect(address, REQUEST_TIMEOUT_MS);
            socket.getOutputStream().write(GREETING);
            InputStream in = socket.getInputStream();
            String answer = new String(in.readNBytes(GREETING.length), StandardCharsets.ISO_8859_1);
            return answer.equals("MN\r\n") ? "" : "its greeting is answered '" + answer.strip() + "'";
        } catch (IOException e) {
            return e.getMessage() == null ? e.toString() : e.getMessage();
        }
    }

    /** Returns the digest of the applied configuration; throws {@link RejectedException} if it was rejected. */
    String reload(Path socket, String name, String secret) throws IOException {
        try (ControlClient client = new ControlClient(socket)) {
            authenticate(client, name, secret);
            client.send(ControlCodec.request("reload"), REQUEST_TIMEOUT_MS);
            Map<String, Object> reply = client.next(RELOAD_TIMEOUT_MS);
            if (!Boolean.TRUE.equals(reply.get("ok"))) {
                throw new RejectedException(String.valueOf(reply.get("error")));
            }
            return String.valueOf(reply.get("digest"));
        }
    }

    static InetSocketAddress parseAddress(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    }
}
