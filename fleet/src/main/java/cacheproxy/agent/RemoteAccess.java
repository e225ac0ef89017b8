package cacheproxy.agent;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.ControlServer;
import cacheproxy.control.NumericAddress;
import cacheproxy.control.Tls;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Remote access as configured in remote.json: the address to listen on and the clients to accept. Anyone who can send
 * requests to an agent can run any program as its user. Without the file there is therefore no remote access, and with
 * an invalid file the agent does not start.
 */
final class RemoteAccess {
    private static final Set<String> KNOWN_FIELDS = Set.of("listen", "certificate", "key", "clients", "token");
    private static final int HANDSHAKE_TIMEOUT_MS = 5_000;
    private static final String REQUIRED_MODE = "rw-------";

    private final InetSocketAddress listen;
    private final ControlServer.ConnectionGuard guard;

    private RemoteAccess(InetSocketAddress listen, ControlServer.ConnectionGuard guard) {
        this.listen = listen;
        this.guard = guard;
    }

    /** Null if the file does not exist. Throws {@link InvalidInputException} naming the invalid field. */
    static RemoteAccess read(Path file) {
        if (!Files.exists(file, LinkOption.NOFOLLOW_LINKS)) {
            return null;
        }
        try {
            return parse(file);
        } catch (IOException e) {
            throw new InvalidInputException(file + " cannot be read: " + e.getMessage());
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    private static RemoteAccess parse(Path file) throws IOException {
        String mode = PosixFilePermissions.toString(Files.getPosixFilePermissions(file));
        if (!mode.equals(REQUIRED_MODE)) {
            throw new InvalidInputException("its mode is " + mode + ": it must be 600, " + REQUIRED_MODE);
        }
        Map<String, Object> json;
        try {
            json = JSON.std.mapFrom(Files.readString(file));
        } catch (IOException e) {
            throw new InvalidInputException("it is not a JSON object: "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        for (String field : json.keySet()) {
            if (!KNOWN_FIELDS.contains(field)) {
                throw new InvalidInputException(field + ": no such field");
            }
        }
        InetSocketAddress listen = NumericAddress.parse("listen", text(json, "listen"));
        return new RemoteAccess(
                listen,
                Tls.serverGuard(
                        new Tls.Credentials(
                                namedFile(json, "certificate", file),
                                namedFile(json, "key", file),
                                namedFile(json, "clients", file),
                                json.containsKey("token") ? namedFile(json, "token", file) : null),
                        HANDSHAKE_TIMEOUT_MS));
    }

    private static String text(Map<String, Object> json, String field) {
        if (json.get(field) instanceof String string && !string.isBlank()) {
            return string;
        }
        throw new InvalidInputException(field + (json.containsKey(field) ? ": a text is needed" : " is missing"));
    }

    private static Tls.NamedFile namedFile(Map<String, Object> json, String field, Path file) {
        return new Tls.NamedFile(field, file.resolveSibling(text(json, field)));
    }

    /** Uses its own event loop, so that TLS handshakes of unauthenticated clients cannot delay local requests. */
    ControlServer open(Supplier<EventLoop> loop, ControlServer.RequestHandler handler) {
        return ControlServer.open(loop.get(), listen, handler, guard);
    }
}
