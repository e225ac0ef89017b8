package cacheproxy.cli;

import cacheproxy.control.ControlCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;

/** Caches the last listing of each agent in the user's cache folder, shown while the agent is unreachable. */
final class LastListing {
    private static final String CACHE_FOLDER = "cacheproxyctl";
    /** The name of {@link #CACHE_FOLDER} in earlier versions, read if the current one lacks the file. */
    private static final String EARLIER_CACHE_FOLDER = "hatchctl";

    private LastListing() {}

    /** Replaces the cached listing; a failure to write is ignored, since the cache is a convenience. */
    static void write(AgentClient agent, Map<String, Object> listing) {
        try {
            Path file = file(agent, CACHE_FOLDER);
            Files.createDirectories(file.getParent());
            Path temporary = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(temporary, ControlCodec.encode(listing));
            Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // without the cache, an unreachable agent is shown without its instances
        }
    }

    /** The cached listing with its age, {@code ageMs}; null if none can be read. */
    static Map<String, Object> read(AgentClient agent) {
        try {
            Path file = file(agent, CACHE_FOLDER);
            if (Files.notExists(file)) {
                file = file(agent, EARLIER_CACHE_FOLDER);
            }
            Map<String, Object> listing = ControlCodec.decode(Files.readString(file));
            if (listing != null) {
                long modifiedMs = Files.getLastModifiedTime(file).toMillis();
                listing.put("ageMs", System.currentTimeMillis() - modifiedMs);
            }
            return listing;
        } catch (IOException e) {
            return null;
        }
    }

    private static Path file(AgentClient agent, String cacheFolder) {
        String file = Integer.toHexString(agent.location().hashCode()) + "-"
                + agent.name().replace('/', '_') + ".json";
        return userCache().resolve(cacheFolder).resolve(file);
    }

    /** XDG_CACHE_HOME; an empty or relative value counts as not set, as the XDG specification requires. */
    private static Path userCache() {
        String set = System.getenv().getOrDefault("XDG_CACHE_HOME", "");
        return set.startsWith("/") ? Path.of(set) : Path.of(System.getProperty("user.home"), ".cache");
    }
}
