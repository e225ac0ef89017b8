package cacheproxy.agent;

import cacheproxy.common.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;

/** The layout of an agent's state folder, which only its owner may access. */
record StateFolder(Path folder) {

    Path agentSocket() {
        return folder.resolve("agent.sock");
    }

    Path agentLock() {
        return folder.resolve("agent.lock");
    }

    /** The configuration of remote access; absent unless the owner enables it. */
    Path remote() {
        return folder.resolve("remote.json");
    }

    Path journal() {
        return folder.resolve("journal");
    }

    Path events() {
        return folder.resolve("events.log"); // not in the log folder, since an instance may be named "events"
    }

    Path socket(String name) {
        return folder.resolve("run").resolve(name + ".sock");
    }

    Path configuration(String name) {
        return folder.resolve("conf").resolve(name + ".json");
    }

    Path log(String name) {
        return folder.resolve("log").resolve(name + ".log");
    }

    /**
     * Creates missing folders; throws {@link InvalidInputException} if that fails or other users can access the folder.
     */
    void createMissing() {
        try {
            var ownerOnly = PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------"));
            if (Files.notExists(folder)) {
                Files.createDirectories(folder.toAbsolutePath().getParent());
                Files.createDirectory(folder, ownerOnly);
            }
            String actualMode = PosixFilePermissions.toString(Files.getPosixFilePermissions(folder));
            if (!actualMode.endsWith("------")) {
                throw new InvalidInputException("the state folder " + folder + " is accessible to other users ("
                        + actualMode + "): it must have mode 700");
            }
            String owner = Files.getOwner(folder).getName();
            if (!owner.equals(System.getProperty("user.name"))) {
                throw new InvalidInputException("the state folder " + folder + " belongs to " + owner);
            }
            for (String subfolder : new String[] {"run", "conf", "log"}) {
                if (Files.notExists(folder.resolve(subfolder))) {
                    Files.createDirectory(folder.resolve(subfolder), ownerOnly);
                }
            }
        } catch (IOException e) {
            throw new InvalidInputException("the state folder " + folder + " cannot be created or read: " + e);
        }
    }
}
