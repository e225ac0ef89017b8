package cacheproxy.lab.experiment;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;

/** Identifies the build that produced a result, since another one may give another result for the same seed. */
final class Build {
    private Build() {}

    /**
     * A digest of the classes of the proxy and the lab, wherever they were loaded from, and of Java's major version.
     */
    static String id() {
        try {
            MessageDigest sha = sha();
            sha.update(Integer.toString(Runtime.version().feature()).getBytes(java.nio.charset.StandardCharsets.UTF_8));
            for (Class<?> of : List.of(
                    cacheproxy.lab.scenario.SiteSimulation.class, Class.forName("cacheproxy.routing.RequestRouter"))) {
                Path from = Path.of(
                        of.getProtectionDomain().getCodeSource().getLocation().toURI());
                try (Stream<Path> all = Files.walk(from)) {
                    for (Path p : all.filter(Files::isRegularFile).sorted().toList()) {
                        sha.update(Files.readAllBytes(p));
                    }
                }
            }
            return HexFormat.of().formatHex(sha.digest(), 0, 8);
        } catch (IOException | URISyntaxException | ClassNotFoundException e) {
            throw new IllegalStateException("the program's own classes cannot be read", e);
        }
    }

    static MessageDigest sha() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
