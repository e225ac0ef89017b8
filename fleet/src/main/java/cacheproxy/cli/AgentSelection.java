package cacheproxy.cli;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.TlsEndpoint;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The agents that a command calls. */
final class AgentSelection {
    private static final String AGENTS_VARIABLE = "CACHEPROXY_AGENTS";
    /** The name of {@link #AGENTS_VARIABLE} in earlier versions, read if the current one is not set. */
    private static final String EARLIER_AGENTS_VARIABLE = "HATCH_AGENTS";

    private static final String LOCAL_FOLDER = ".cacheproxy";
    /** Used if an earlier version created it and there is no {@link #LOCAL_FOLDER}. */
    private static final String EARLIER_LOCAL_FOLDER = ".hatch";

    private static final String DEFAULT_FOLDER_PREFIX = "cacheproxy-";
    private static final String EARLIER_DEFAULT_FOLDER_PREFIX = "hatch-";

    private static final String TLS_SCHEME = "tls://";

    private final List<AgentClient> all = new ArrayList<>();

    /**
     * The agents {@code given} as NAME=FOLDER, FOLDER or NAME=tls://ADDRESS:PORT?FOLDER. If none is given: those listed
     * in the environment variable CACHEPROXY_AGENTS, else the folder .cacheproxy in the working directory, else
     * {@link #defaultFolder}. Each falls back to its name in earlier versions (HATCH_AGENTS, .hatch).
     */
    AgentSelection(List<String> given, Map<String, String> env) {
        this(given, env, Path.of(""));
    }

    /** @param here the directory in which .cacheproxy is looked up */
    AgentSelection(List<String> given, Map<String, String> env, Path here) {
        List<String> texts = new ArrayList<>(given);
        if (texts.isEmpty()) {
            texts.addAll(listedIn(env));
        }
        if (texts.isEmpty()) {
            texts.add(localFolder(here));
        }
        texts.forEach(text -> all.add(agent(text)));
    }

    private static AgentClient agent(String text) {
        int scheme = text.indexOf(TLS_SCHEME);
        return scheme < 0 ? local(text) : remote(text, scheme);
    }

    private static AgentClient local(String text) {
        int separator = text.indexOf('=');
        String path = text.substring(separator + 1).strip();
        Path folder = Path.of(path).toAbsolutePath().normalize();
        if (path.isEmpty() || folder.getFileName() == null) {
            throw new CommandFailure(ExitCode.USAGE, "expected an agent's state folder, got '" + text + "'");
        }
        String last = folder.getFileName().toString();
        String name = separator >= 0 ? text.substring(0, separator).strip() : isLocalFolder(last) ? "local" : last;
        return new AgentClient(name, folder, null);
    }

    private static AgentClient remote(String text, int scheme) {
        String location = text.substring(scheme + TLS_SCHEME.length()).strip();
        int folder = location.indexOf('?');
        String name = text.substring(0, scheme).strip();
        if (folder < 0 || folder == location.length() - 1 || !name.isEmpty() && !name.matches("[^=/]+=")) {
            throw new CommandFailure(ExitCode.USAGE, "--agent: expected NAME=tls://ADDRESS:PORT?FOLDER, got " + text);
        }
        String address = location.substring(0, folder);
        Path certificates =
                Path.of(location.substring(folder + 1)).toAbsolutePath().normalize();
        try {
            return new AgentClient(
                    name.isEmpty() ? address : name.substring(0, name.length() - 1),
                    certificates,
                    new TlsEndpoint(address, certificates));
        } catch (InvalidInputException e) {
            throw new CommandFailure(ExitCode.USAGE, e.getMessage());
        }
    }

    /** A blank variable counts as not set. */
    private static List<String> listedIn(Map<String, String> env) {
        String listed = env.getOrDefault(AGENTS_VARIABLE, "");
        if (listed.isBlank()) {
            listed = env.getOrDefault(EARLIER_AGENTS_VARIABLE, "");
        }
        return listed.isBlank() ? List.of() : List.of(listed.split(","));
    }

    private static String localFolder(Path here) {
        for (String name : List.of(LOCAL_FOLDER, EARLIER_LOCAL_FOLDER)) {
            Path folder = here.resolve(name);
            if (Files.exists(folder)) {
                return folder.toString();
            }
        }
        return "local=" + defaultFolder(Path.of(System.getProperty("java.io.tmpdir")), System.getProperty("user.name"));
    }

    private static boolean isLocalFolder(String name) {
        return name.equals(LOCAL_FOLDER) || name.equals(EARLIER_LOCAL_FOLDER);
    }

    /**
     * The state folder of the default agent: cacheproxy-USER in the temporary folder, or hatch-USER if an earlier
     * version created that one and the former does not exist. The path is short because the length of socket paths is
     * limited.
     */
    static Path defaultFolder(Path temporary, String user) {
        Path folder = temporary.resolve(DEFAULT_FOLDER_PREFIX + user);
        Path earlier = temporary.resolve(EARLIER_DEFAULT_FOLDER_PREFIX + user);
        return Files.notExists(folder) && Files.exists(earlier) ? earlier : folder;
    }

    List<AgentClient> all() {
        return all;
    }

    /**
     * Throws {@link CommandFailure} unless exactly one agent is selected: commands that change state accept only one.
     */
    AgentClient single() {
        if (all.size() != 1) {
            throw new CommandFailure(ExitCode.USAGE, "several agents selected: choose one with --agent");
        }
        return all.get(0);
    }
}
