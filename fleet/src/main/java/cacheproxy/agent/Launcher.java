package cacheproxy.agent;

import cacheproxy.site.DeclaredInstance;
import cacheproxy.supervise.UniqueProcessId;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Starts the processes of instances. Each process runs in its own session if setsid is available, so that neither
 * Ctrl-C nor the end of the agent's session or process group affects it. Its output goes to a file, and it inherits
 * only the environment variables it needs.
 */
final class Launcher {
    /** Environment variable that identifies the process of a start until its pid is in the journal. */
    static final String START_VARIABLE = "LB_START";

    private static final List<String> INHERITED_VARIABLES =
            List.of("PATH", "HOME", "TMPDIR", "LANG", "LC_ALL", "JAVA_HOME");

    private final StateFolder stateFolder;
    private final ProcFs procFs;
    private final String java;
    private final String classPath;
    private final boolean setsidAvailable;

    Launcher(StateFolder stateFolder, ProcFs procFs, String java, String classPath) {
        this.stateFolder = stateFolder;
        this.procFs = procFs;
        this.java = java;
        this.classPath = classPath;
        setsidAvailable = Files.isExecutable(Path.of("/usr/bin/setsid")) || Files.isExecutable(Path.of("/bin/setsid"));
    }

    static String startVariable(String name, int start, String secret) {
        return START_VARIABLE + "=" + name + "/" + start + "/" + secret;
    }

    boolean startsNewSession() {
        return setsidAvailable;
    }

    /** Replaces the configuration file atomically, since an instance may read it at any time. */
    void writeConfiguration(DeclaredInstance declared) throws IOException {
        if (declared.configuration() != null) {
            Path file = stateFolder.configuration(declared.name());
            Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
            Files.writeString(temporaryFile, declared.configuration());
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    List<String> command(DeclaredInstance declared) {
        List<String> command = new ArrayList<>();
        if (setsidAvailable) {
            command.add("setsid");
        }
        command.add(java);
        command.addAll(declared.jvm());
        String main = declared.program().equals("serve") ? "cacheproxy.app.Main" : "cacheproxy.fleet.Main";
        command.addAll(List.of("-cp", classPath, main, declared.program()));
        command.addAll(declared.arguments());
        return command;
    }

    private Map<String, String> environment(DeclaredInstance declared, int start, String secret) {
        Map<String, String> environment = new java.util.HashMap<>(declared.environment());
        environment.put("LB_NAME", declared.name());
        environment.put("LB_LISTEN", declared.listen());
        environment.put("LB_DISCOVERY", declared.discovery());
        environment.put("LB_CONFIG", stateFolder.configuration(declared.name()).toString());
        environment.put("LB_CONTROL", stateFolder.socket(declared.name()).toString());
        environment.put("LB_SECRET", secret);
        String startVariable = startVariable(declared.name(), start, secret);
        environment.put(START_VARIABLE, startVariable.substring(START_VARIABLE.length() + 1));
        return environment;
    }

    /** Starts a process. {@code ended} receives the exit code, on any thread. */
    UniqueProcessId launch(DeclaredInstance declared, int start, String secret, IntConsumer ended) throws IOException {
        writeConfiguration(declared);
        ProcessBuilder builder = new ProcessBuilder(command(declared));
        builder.environment().keySet().retainAll(INHERITED_VARIABLES);
        builder.environment().putAll(environment(declared, start, secret));
        File log = stateFolder.log(declared.name()).toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.redirectInput(new File("/dev/null"));
        Process process = builder.start();
        process.onExit().thenAccept(exited -> ended.accept(exited.exitValue()));
        UniqueProcessId identity = procFs.identity(process.pid());
        // if the process has already ended, its exit is reported through the callback
        return identity != null ? identity : new UniqueProcessId(process.pid(), -1, "");
    }

    /** Signals this process, but not another one that has reused its pid. Returns whether the signal was sent. */
    boolean signal(UniqueProcessId identity, boolean kill) {
        if (!procFs.isAlive(identity)) {
            return false;
        }
        return ProcessHandle.of(identity.pid())
                .map(handle -> kill ? handle.destroyForcibly() : handle.destroy())
                .orElse(false);
    }
}
