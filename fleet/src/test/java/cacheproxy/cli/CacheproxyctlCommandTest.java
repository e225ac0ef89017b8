package cacheproxy.cli;

import static cacheproxy.cli.ScriptedAgent.instance;
import static cacheproxy.cli.ScriptedAgent.listed;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.control.ControlCodec;
import cacheproxy.control.ControlServer;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs every command against a scripted agent and checks exit codes, JSON fields and error messages. Guards against a
 * failed command that exits with 0, and against an unreachable agent whose instances are shown as stopped.
 */
@Timeout(60)
class CacheproxyctlCommandTest {
    private static final String SITE = "{\"version\":1,\"name\":\"s\",\"instances\":[{\"name\":\"n{i}\","
            + "\"count\":2,\"listen\":\"127.0.0.1:{12000+i}\",\"configuration\":{}}]}";
    private static final List<String> COMMANDS = List.of(
            "check",
            "diff",
            "apply",
            "list",
            "status",
            "start",
            "stop",
            "restart",
            "reload",
            "rolling-restart",
            "logs",
            "events",
            "wait",
            "completion",
            "up",
            "down");
    private static final String CONTROL_CHARACTERS = "\u001b[2Jx\u009b31m\r\u0007\u007f\u202eend";

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final String home = System.getProperty("user.home");
    private Path folder;
    private Path file;

    /** The exit code and output of a command. */
    private record Result(int code, String out, String err) {
        Map<String, Object> json() {
            Map<String, Object> object = ControlCodec.decode(out);
            assertNotNull(object, out);
            assertEquals(1, out.lines().count(), out);
            return object;
        }

        List<Map<String, Object>> agents() {
            assertEquals(Set.of("agents"), json().keySet());
            return objects(json().get("agents"));
        }

        Result code(int expected) {
            assertEquals(expected, code, this::toString);
            return this;
        }

        Result prints(String... words) {
            for (String word : words) {
                assertTrue(out.contains(word) || err.contains(word), () -> "without '" + word + "': " + this);
            }
            return this;
        }
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> objects(Object value) {
        return (List<Map<String, Object>>) value;
    }

    @BeforeEach
    void folder() throws IOException {
        folder = Files.createTempDirectory("ctl"); // with mode 700
        file = Files.writeString(folder.resolve("site.json"), SITE);
        System.setProperty("user.home", folder.toString()); // the tool caches listings below it
    }

    @AfterEach
    void close() throws Exception {
        System.setProperty("user.home", home);
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(path);
            }
        }
    }

    private ScriptedAgent agent(String name) {
        ScriptedAgent agent = new ScriptedAgent(folder.resolve(name));
        opened.add(agent);
        return agent;
    }

    private ScriptedAgent agent() {
        return agent("a").listsInTurn(List.of(instance("n0", "ready"), instance("n1", "ready")));
    }

    private static Result run(Object... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int code = CacheproxyctlCommand.run(
                new PrintWriter(out),
                new PrintWriter(err),
                Stream.of(args).map(String::valueOf).toArray(String[]::new));
        return new Result(code, out.toString(), err.toString());
    }

    /** A command for the agent named a. */
    private Result ctl(Object... args) {
        return run(Stream.concat(Stream.of(args), Stream.of("-a", folder.resolve("a")))
                .toArray());
    }

    private ProcessBuilder child(Object... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "cacheproxy.fleet.Main",
                "ctl"));
        Stream.of(arguments).forEach(argument -> command.add(String.valueOf(argument)));
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile());
        builder.environment().keySet().removeAll(Set.of("CACHEPROXY_AGENTS", "HATCH_AGENTS", "JAVA_TOOL_OPTIONS"));
        builder.environment().put("XDG_CACHE_HOME", folder.resolve("cache").toString());
        builder.redirectInput(new File("/dev/null"));
        return builder;
    }

    private Result runChild(ProcessBuilder builder) throws Exception {
        File err = folder.resolve("err").toFile();
        Process process = builder.redirectError(err).start();
        opened.add(process::destroyForcibly);
        try (InputStream in = process.getInputStream()) {
            String out = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return new Result(process.waitFor(), out, Files.readString(err.toPath()));
        }
    }

    // ---- without an agent ----

    @Test
    void checkReportsWhetherSiteFileIsValid() throws Exception {
        run("check", file).code(0).prints("s: 2 instances, valid");
        run("check", Path.of("..", "deploy", "local-site.json")).code(0).prints("instances, valid");
        assertEquals(
                Map.of("site", "s", "instances", 2),
                run("check", "-o", "json", file).code(0).json());
        Files.writeString(file, SITE.replace("\"count\"", "\"cuont\""));
        Result bad = run("check", "-o", "json", file).code(4);
        bad.prints("cacheproxyctl: instances[0].cuont is not known; meant is perhaps count");
        assertEquals("", bad.out());
        assertEquals(
                "cacheproxyctl: " + folder.resolve("none") + " does not exist\n",
                run("check", folder.resolve("none")).code(4).err());
        run("check", folder).code(4).prints(folder + " cannot be read: ");
        run("check").code(2).prints("FILE");
        run("check", "-o", "yaml", file).code(2).prints("--output: expected table or json, got yaml");
    }

    @Test
    void checkReadsStandardInput() throws Exception {
        ProcessBuilder builder = child("check", "-").redirectInput(file.toFile());
        runChild(builder).code(0).prints("s: 2 instances");
    }

    @Test
    void helpListsEveryCommandAndExitCode() {
        Result help = run("--help").code(0);
        help.prints(COMMANDS.toArray(String[]::new));
        help.prints(
                "Exit codes:",
                "0   done",
                "1   done, but something is not in its desired state",
                "2   invalid usage",
                "3   an agent is unreachable",
                "4   refused, nothing was changed",
                "5   timed out");
        run("--version").code(0).prints("cacheproxyctl 0.1.0");
        run().code(2).prints("Usage: cacheproxyctl");
        run("lits").code(2).prints("lits");
        run("list", "--colour").code(2).prints("--colour");
        run("list", "-a", "/").code(2).prints("expected an agent's state folder, got '/'");
        run("list", "-a", "x=").code(2).prints("expected an agent's state folder, got 'x='");
    }

    @Test
    void completionScriptContainsEveryCommand() throws Exception {
        Result result = run("completion").code(0);
        result.prints("complete -F", "--max-down", "--no-wait");
        result.prints(COMMANDS.toArray(String[]::new));
        Path script = Files.writeString(folder.resolve("script"), result.out());
        Process process =
                new ProcessBuilder("bash", "-n", script.toString()).inheritIO().start();
        assertEquals(0, process.waitFor());
    }

    // ---- list and status ----

    @Test
    void listShowsEachInstanceAndExitsWithZeroIfAllAreInDesiredState() {
        ScriptedAgent a = agent("a")
                .listsInTurn(List.of(
                        instance("n0", "ready", "pid", 77, "listen", "127.0.0.1:1"),
                        instance("n1", "stopped", "wanted", false, "exitCode", "0")));
        Result table = ctl("list").code(0);
        List<String> lines =
                table.out().lines().map(l -> l.replaceAll(" {2,}", "|")).toList();
        assertEquals(
                List.of(
                        "AGENT|NAME|STATE|FOR|PID|STARTS|LISTEN|REMARK",
                        "a|n0|ready|1500 ms|77|1|127.0.0.1:1",
                        "a|n1|stopped|1500 ms|1|not declared to run; exit code 0"),
                lines);
        assertEquals("", table.err());
        Map<String, Object> listing = ctl("list", "-o", "json").code(0).agents().get(0);
        assertEquals(Set.of("agent", "reachable", "site", "agentPid", "instances"), listing.keySet());
        assertEquals("a", listing.get("agent"));
        assertEquals(true, listing.get("reachable"));
        assertEquals(
                Map.of(
                        "name",
                        "n0",
                        "state",
                        "ready",
                        "wanted",
                        true,
                        "forMs",
                        1500,
                        "start",
                        1,
                        "pid",
                        77,
                        "listen",
                        "127.0.0.1:1"),
                objects(listing.get("instances")).get(0));
        assertEquals(Set.of("list"), Set.copyOf(a.operations()));
    }

    @Test
    void listExitsWithOneIfAnInstanceIsNotInDesiredState() {
        ScriptedAgent a = agent("a");
        for (String state : List.of(
                "starting",
                "unready",
                "hung",
                "crashed",
                "backing off",
                "given up",
                "stopped",
                "adopted",
                "reloading",
                "draining",
                "stopping",
                "declared")) {
            a.listsInTurn(List.of(instance("n0", "ready"), instance("n1", state, "crashes", 3)));
            ctl("list").code(1).prints(state, "crashes in a row: 3");
        }
        for (String state : List.of("ready", "hung", "stopping", "adopted")) {
            a.listsInTurn(List.of(instance("n0", state, "wanted", false)));
            ctl("list").code(1).prints(state, "not declared to run");
        }
        a.listsInTurn(List.of(
                instance("n0", "ready", "refused", "tenants: no", "trouble", "configuration refused: tenants: no")));
        ctl("list").code(1).prints("configuration refused: tenants: no");
        a.listsInTurn(List.of(instance("n0", "ready", "needRestart", true)));
        ctl("list").code(0).prints("needs a restart to apply the declared settings");
        Map<String, Object> more = listed(List.of());
        more.put("trouble", "the journal cannot be written");
        more.put("rolling", "1 of 3");
        a.replies("list", more);
        ctl("list").code(0).prints("trouble", "the journal cannot be written", "rolling", "1 of 3");
    }

    @Test
    void statusShowsFieldsReportedByInstances() {
        Map<String, Object> status = new LinkedHashMap<>(Map.of("v", 1, "ok", true, "clients", 12));
        ScriptedAgent a = agent().replies(
                        "status", Map.of("site", "s", "instances", List.of(instance("n0", "ready", "told", status))));
        Result table = ctl("status", "n0").code(0);
        table.prints("\nn0:\n", "\n  clients: 12\n");
        assertFalse(table.out().contains("ok:"), table.out());
        assertEquals(List.of("n0"), a.last("status").get("names"));
        Map<String, Object> json = ctl("status", "-o", "json").code(0).agents().get(0);
        Map<String, Object> listedInstance = objects(json.get("instances")).get(0);
        assertEquals(12, ((Map<?, ?>) listedInstance.get("told")).get("clients"));
        assertEquals(List.of(), a.last("status").get("names"));
        a.refuses("status", "no instance is named n9");
        assertEquals(
                "cacheproxyctl: agent a: no instance is named n9\n",
                ctl("status", "n9").code(4).err());
    }

    // ---- several agents ----

    @Test
    void listShowsInstancesOfSeveralAgents() {
        ScriptedAgent a = agent();
        ScriptedAgent b = agent("b").listsInTurn(List.of(instance("n0", "ready")));
        Object[] both = {"list", "-o", "json", "-a", "x=" + a.folder, "-a", b.folder};
        List<Map<String, Object>> agents = run(both).code(0).agents();
        assertEquals(List.of("x", "b"), agents.stream().map(o -> o.get("agent")).toList());
        assertEquals(
                List.of(2, 1),
                agents.stream().map(o -> objects(o.get("instances")).size()).toList());

        b.refuses("list", "too many connections");
        Result result = run("list", "-a", "x=" + a.folder, "-a", b.folder).code(4);
        result.prints("x      n0    ready", "b      -     refused", "agent b: too many connections");
        b.close();
        run("list", "-a", "x=" + a.folder, "-a", b.folder).code(3).prints("x      n0    ready", "unreachable");
    }

    @Test
    void statusShowsInstanceKnownToOnlyOneAgent() {
        ScriptedAgent a = agent().replies("status", Map.of("site", "s", "instances", List.of(instance("n0", "ready"))));
        ScriptedAgent b = agent("b").refuses("status", "no instance is named n0");
        Result result = run("status", "n0", "-a", a.folder, "-a", b.folder).code(4);
        result.prints("a      n0    ready", "agent b: no instance is named n0");
    }

    @Test
    void commandsForOneAgentRejectSeveralAgents() {
        ScriptedAgent a = agent();
        ScriptedAgent b = agent("b").listsInTurn(List.of());
        for (List<Object> args : List.<List<Object>>of(
                List.of("apply", file),
                List.of("diff", file),
                List.of("stop", "n0"),
                List.of("rolling-restart"),
                List.of("wait"),
                List.of("logs", "n0"),
                List.of("events"))) {
            List<Object> both = new ArrayList<>(args);
            both.addAll(List.of("-a", a.folder, "-a", b.folder));
            run(both.toArray()).code(2).prints("several agents selected: choose one with --agent");
        }
        assertEquals(List.of(), a.operations());
    }

    @Test
    void readsAgentsFromEnvironment() throws Exception {
        agent();
        agent("b").listsInTurn(List.of());
        ProcessBuilder two = child("list", "-o", "json");
        two.environment().put("CACHEPROXY_AGENTS", "x=a, b");
        List<Map<String, Object>> agents = runChild(two).code(0).agents();
        assertEquals(List.of("x", "b"), agents.stream().map(o -> o.get("agent")).toList());
        ProcessBuilder earlier = child("list", "-o", "json");
        earlier.environment().put("HATCH_AGENTS", "x=a, b");
        assertEquals(agents, runChild(earlier).code(0).agents());
        ProcessBuilder both = child("list", "-o", "json");
        both.environment().put("HATCH_AGENTS", "x=a, b");
        both.environment().put("CACHEPROXY_AGENTS", "y=b");
        agents = runChild(both).code(0).agents();
        assertEquals(List.of("y"), agents.stream().map(o -> o.get("agent")).toList());
        runChild(child("list")).code(3).prints("local", "unreachable", "its instances are unknown");
    }

    // ---- unreachable agents ----

    @Test
    void listShowsLastListingAndItsAgeForUnreachableAgent() throws Exception {
        ScriptedAgent a = agent("a").listsInTurn(List.of(instance("n0", "ready", "pid", 77)));
        runChild(child("list", "-a", "a")).code(0);
        a.close();
        Result table = runChild(child("list", "-a", "a")).code(3);
        table.prints("unreachable", "below: last listing, ", " ago", "unknown (ready)");
        assertFalse(table.out().contains("stopped"), table.out());
        Map<String, Object> listing = runChild(child("list", "-a", "a", "-o", "json"))
                .code(3)
                .agents()
                .get(0);
        assertEquals(false, listing.get("reachable"));
        assertTrue(((Number) listing.get("ageMs")).longValue() > 0, listing.toString());
        String error = String.valueOf(listing.get("error"));
        assertTrue(error.startsWith("agent a cannot be reached at "), error);
        assertEquals("ready", objects(listing.get("instances")).get(0).get("state"));

        Path cacheFolder = folder.resolve("cache").resolve("cacheproxyctl");
        Path earlierCacheFolder = folder.resolve("cache").resolve("hatchctl");
        Files.move(cacheFolder, earlierCacheFolder);
        runChild(child("list", "-a", "a")).code(3).prints("unreachable", "below: last listing, ", "unknown (ready)");
        Files.move(earlierCacheFolder, cacheFolder);
        try (Stream<Path> cachedFiles = Files.list(cacheFolder)) {
            for (Path cachedFile : cachedFiles.toList()) {
                Files.writeString(cachedFile, "{\"instances\":"); // torn
            }
        }
        runChild(child("list", "-a", "a")).code(3).prints("unreachable", "its instances are unknown");
        ProcessBuilder empty = child("list", "-a", "a");
        empty.environment().put("XDG_CACHE_HOME", "");
        empty.environment().put("JDK_JAVA_OPTIONS", "-Duser.home=" + folder);
        runChild(empty).code(3);
        assertFalse(Files.exists(folder.resolve("cacheproxyctl")), "an empty XDG_CACHE_HOME must count as not set");
    }

    @Test
    void replyFieldsDoNotOverrideAgentNameOrReachability() {
        Map<String, Object> listing = listed(List.of(instance("n0", "ready")));
        listing.put("agent", "b");
        listing.put("reachable", true);
        ScriptedAgent a = agent("a").replies("list", listing);
        ctl("list").code(0).prints("a      n0");
        a.close();
        Result result = ctl("list").code(3).prints("unreachable", "unknown (ready)");
        assertFalse(result.out().contains("\nb "), result.out());
    }

    @Test
    void everyOtherCommandReportsUnreachableAgent() {
        for (List<Object> args : commands()) {
            Result result = ctl(args.toArray()).code(3);
            result.prints("agent a");
            assertEquals("", result.out());
        }
    }

    private List<List<Object>> commands() {
        return List.of(
                List.of("diff", file),
                List.of("apply", file),
                List.of("start", "n0"),
                List.of("stop", "n0"),
                List.of("restart", "n0"),
                List.of("reload", "n0"),
                List.of("rolling-restart"),
                List.of("logs", "n0"),
                List.of("logs", "-f", "n0"),
                List.of("events"),
                List.of("events", "-f"),
                List.of("wait"));
    }

    /** Sends these bytes on each connection, and closes it unless {@code hang} is set. */
    private void serveRawReplies(String bytes, boolean hang) throws IOException {
        Path socket = Files.createDirectories(folder.resolve("a")).resolve("agent.sock");
        Files.deleteIfExists(socket);
        ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        server.bind(UnixDomainSocketAddress.of(socket));
        opened.add(server);
        Thread thread = new Thread(
                () -> {
                    try {
                        while (true) {
                            SocketChannel connection = server.accept();
                            opened.add(connection);
                            ByteBuffer request = ByteBuffer.allocate(1 << 16);
                            while (request.position() == 0 || request.get(request.position() - 1) != '\n') {
                                if (connection.read(request) < 0) {
                                    break;
                                }
                            }
                            connection.write(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.UTF_8)));
                            if (!hang) {
                                connection.close();
                            }
                        }
                    } catch (IOException e) {
                        // closed by the test
                    }
                },
                "raw agent");
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void reportsMalformedReply() throws IOException {
        Map<String, String> messagesByReply = new LinkedHashMap<>();
        messagesByReply.put("", "the other side has ended the connection");
        messagesByReply.put("{\"v\":1,\"ok\":tr", "the other side has ended the connection");
        messagesByReply.put("HTTP/1.1 400 Bad Request\r\n", "a reply that is no JSON object");
        messagesByReply.put("[1,2]\n", "a reply that is no JSON object");
        messagesByReply.put("null\n", "a reply that is no JSON object");
        messagesByReply.put("{}\n", "sent a malformed reply");
        messagesByReply.put("{\"v\":1,\"ok\":true,\"end\":true}\n", "sent a malformed reply");
        messagesByReply.put("{\"v\":1,\"ok\":\"yes\",\"instances\":[],\"end\":true}\n", "sent a malformed reply");
        messagesByReply.put(
                "{\"v\":1,\"ok\":true,\"instances\":7,\"events\":{},\"results\":1,\"unchanged\":\"\","
                        + "\"text\":9,\"end\":true}\n",
                "sent a malformed reply");
        for (Map.Entry<String, String> entry : messagesByReply.entrySet()) {
            serveRawReplies(entry.getKey(), false);
            for (List<Object> args : commands()) {
                ctl(args.toArray()).code(3).prints("cacheproxyctl: agent a", entry.getValue());
            }
            Result list = ctl("list", "-o", "json").code(3);
            assertEquals(false, list.agents().get(0).get("reachable"));
            list.prints(entry.getValue());
        }
    }

    @Test
    void handlesReplyFieldsOfWrongType() throws IOException {
        serveRawReplies(
                "{\"v\":1,\"ok\":true,\"instances\":[7,{\"name\":null,\"start\":\"x\"}],\"events\":[1,{}],"
                        + "\"results\":{},\"unchanged\":0,\"text\":\"t\",\"rolling\":\"r\",\"end\":true}\n",
                false);
        ctl("list").code(1);
        ctl("status").code(1);
        ctl("events").code(0).prints("null");
        ctl("logs", "n0").code(3).prints("sent a reply without a number in next");
        ctl("rolling-restart").code(3).prints("sent a reply without a number in next");
        ctl("start", "n0").code(3).prints("sent a reply without a number in start");
    }

    @Test
    void silentAgentTimesOutAfterFiveSeconds() throws IOException {
        serveRawReplies("", true);
        long begin = System.nanoTime();
        Result result = ctl("list").code(3).prints("unreachable", "its instances are unknown");
        assertFalse(result.out().contains("stopped"), result.out());
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
        assertTrue(ms >= 4_900 && ms < 20_000, ms + " ms");
    }

    // ---- diff and apply ----

    private static Map<String, Object> plan(List<String> added, List<String> reload) {
        return new LinkedHashMap<>(Map.of(
                "site",
                "s",
                "added",
                added,
                "removed",
                List.of(),
                "reload",
                reload,
                "needRestart",
                List.of(),
                "unchanged",
                1));
    }

    @Test
    void diffShowsChangesWithoutApplyingThem() {
        ScriptedAgent a = agent().replies("apply", plan(List.of("n2"), List.of("n1")));
        assertEquals(
                "added n2\nreload n1\n1 unchanged\n", ctl("diff", file).code(1).out());
        assertEquals(
                plan(List.of("n2"), List.of("n1")),
                ctl("diff", "-o", "json", file).code(1).json());
        assertEquals(true, a.last("apply").get("dry"));
        assertEquals(SITE, a.last("apply").get("site"));
        for (String part : List.of("added", "removed", "reload", "needRestart")) {
            Map<String, Object> plan = plan(List.of(), List.of());
            plan.put(part, List.of("n7"));
            a.replies("apply", plan);
            ctl("diff", file).code(1).prints(part + " n7");
        }
        a.replies("apply", plan(List.of(), List.of()));
        assertEquals("1 unchanged\n", ctl("diff", file).code(0).out());
        assertTrue(a.requests.stream().allMatch(r -> Boolean.TRUE.equals(r.get("dry"))));
        a.refuses("apply", "instances[0].name is missing");
        assertEquals(
                "cacheproxyctl: agent a: instances[0].name is missing\n",
                ctl("diff", file).code(4).err());
        ctl("diff", folder.resolve("none")).code(4).prints("does not exist");
    }

    @Test
    void applyWaitsForDeclaredStateAndPrintsProgress() {
        ScriptedAgent a = agent("a")
                .replies("apply", plan(List.of("n0"), List.of()))
                .listsInTurn(
                        List.of(instance("n0", "starting")),
                        List.of(instance("n0", "starting")),
                        List.of(instance("n0", "ready"), instance("n1", "stopped", "wanted", false)));
        Result result = ctl("apply", file).code(0);
        assertEquals("added n0\n1 unchanged\n", result.out());
        assertEquals("n0 starting\nn0 ready\nn1 stopped: not declared to run\n", result.err());
        assertEquals(List.of("apply", "list", "list", "list"), a.operations());
        assertFalse(a.last("apply").containsKey("dry"));
        assertEquals(SITE, a.last("apply").get("site"));
        Result json = ctl("apply", "-o", "json", file).code(0);
        assertEquals(plan(List.of("n0"), List.of()), json.json());
        assertEquals("", json.err());
    }

    @Test
    void applyExitsWithCodeOfOutcome() {
        ScriptedAgent a = agent("a")
                .replies("apply", plan(List.of("n0"), List.of()))
                .listsInTurn(List.of(instance("n0", "given up", "crashes", 5), instance("n1", "ready")));
        ctl("apply", file)
                .code(1)
                .prints("n0 given up: crashes in a row: 5", "cacheproxyctl: not in the desired state: n0\n");
        a.listsInTurn(List.of(instance("n0", "starting"), instance("n1", "backing off")));
        ctl("apply", "--timeout", 0, file).code(5).prints("cacheproxyctl: not in the desired state: n0, n1\n");
        a.listsInTurn(List.of(instance("n0", "ready", "refused", "no", "trouble", "configuration refused: no")));
        ctl("apply", file).code(1).prints("n0 ready: configuration refused: no", "not in the desired state: n0");
        a.requests.clear();
        ctl("apply", "--no-wait", file).code(0);
        assertEquals(List.of("apply"), a.operations());
        a.requests.clear();
        a.refuses("apply", "the journal cannot be written: nothing is changed");
        Result no = ctl("apply", file).code(4);
        assertEquals("cacheproxyctl: agent a: the journal cannot be written: nothing is changed\n", no.err());
        assertEquals(List.of("apply"), a.operations());
    }

    // ---- operations on instances ----

    @Test
    void operationsSendInstanceNames() {
        ScriptedAgent a = agent();
        for (String op : List.of("start", "stop", "restart", "reload")) {
            a.replies(op, Map.of("results", Map.of("n0", "", "n1", "")));
            ctl(op, "--no-wait", "n0", "n1").code(0);
            assertEquals(List.of("n0", "n1"), a.last(op).get("names"));
            ctl(op, "--no-wait", "--all").code(0);
            assertEquals(List.of(), a.last(op).get("names"));
            a.requests.clear();
            ctl(op).code(2).prints("name instances or use --all");
            ctl(op, "--all", "n0").code(2).prints("name instances or use --all");
            assertEquals(List.of(), a.operations());
            a.replies(op, Map.of("results", Map.of("n0", "", "n9", "no instance is named n9")));
            Result some = ctl(op, "n0", "n9").code(1);
            assertEquals("cacheproxyctl: n9: no instance is named n9\n", some.err());
            a.refuses(op, "names: a list is needed, empty for all");
            ctl(op, "n0").code(4).prints("agent a: names: a list is needed");
        }
    }

    @Test
    void operationsWaitForTheirEffect() {
        Map<String, Object> reply = Map.of("results", Map.of("n0", ""));
        ScriptedAgent a =
                agent("a").replies("start", reply).replies("stop", reply).replies("reload", reply);
        List<Map<String, Object>> other = List.of(instance("n0", "ready"), instance("n1", "crashed"));
        a.listsInTurn(other);
        ctl("start", "n0").code(0); // the state of n1 does not matter
        ctl("stop", "--timeout", 0, "n0").code(5).prints("not in the desired state: n0");
        a.listsInTurn(List.of(instance("n0", "stopped", "wanted", false)));
        ctl("stop", "n0").code(0).prints("n0 stopped: not declared to run");
        a.listsInTurn(List.of());
        ctl("stop", "n0").code(0); // a removed instance counts as ended
        ctl("start", "n0").code(1).prints("not in the desired state: n0");
        a.listsInTurn(List.of(instance("n0", "hung", "wanted", false)));
        ctl("stop", "--timeout", 0, "n0").code(5).prints("n0 hung");
        a.listsInTurn(List.of(instance("n0", "given up")));
        ctl("start", "n0").code(1).prints("n0 given up");
    }

    @Test
    void reloadSucceedsOnlyIfNewConfigurationIsAccepted() {
        ScriptedAgent a = agent("a").replies("reload", Map.of("results", Map.of("n0", "")));
        Object[] old = {"refused", "old", "trouble", "configuration refused: old"};
        Object[] now = {"refused", "new", "trouble", "configuration refused: new"};
        a.listsInTurn(
                List.of(instance("n0", "ready", old)),
                List.of(instance("n0", "reloading", old)),
                List.of(instance("n0", "ready")));
        ctl("reload", "n0").code(0);
        ScriptedAgent b = agent("b").replies("reload", Map.of("results", Map.of("n0", "")));
        b.listsInTurn(
                List.of(instance("n0", "ready")),
                List.of(instance("n0", "reloading")),
                List.of(instance("n0", "ready", now)));
        run("reload", "n0", "-a", b.folder)
                .code(1)
                .prints("n0 ready: configuration refused: new", "not in the desired state: n0");
    }

    @Test
    void restartWaitsUntilNewStartIsReady() {
        ScriptedAgent a = agent("a").replies("restart", Map.of("results", Map.of("n0", "", "n1", "")));
        a.listsInTurn(
                List.of(instance("n0", "ready"), instance("n1", "ready", "start", 11)),
                List.of(instance("n0", "ready"), instance("n1", "ready", "start", 12)),
                List.of(instance("n0", "ready", "start", 2), instance("n1", "starting", "start", 12)),
                List.of(instance("n0", "ready", "start", 2), instance("n1", "ready", "start", 12)));
        ctl("restart", "--all").code(0);
        assertEquals(List.of("list", "restart", "list", "list", "list"), a.operations());
        a.listsInTurn(List.of(instance("n0", "ready", "start", 2)));
        ctl("restart", "--timeout", 0, "n0").code(5).prints("not in the desired state: n0");
    }

    @Test
    void waitExitsOnSuccessFailureOrTimeout() {
        ScriptedAgent a = agent("a")
                .listsInTurn(
                        List.of(instance("n0", "starting")),
                        List.of(instance("n0", "starting")),
                        List.of(instance("n0", "ready")));
        assertEquals("n0 starting\nn0 ready\n", ctl("wait", "n0").code(0).err());
        assertEquals(Set.of("list"), Set.copyOf(a.operations()));
        ctl("wait").code(0);
        ctl("wait", "--for", "stopped", "--timeout", 0).code(5).prints("not in the desired state: n0");
        a.listsInTurn(List.of(instance("n0", "stopped", "wanted", false), instance("n1", "ready")));
        ctl("wait", "--for", "stopped", "n0").code(0);
        ctl("wait", "--timeout", 0, "n0").code(5); // an instance that is named must be ready
        ctl("wait").code(0);
        a.listsInTurn(List.of(instance("n0", "given up")));
        ctl("wait").code(1).prints("not in the desired state: n0");
        for (String what : List.of("ready", "stopped")) {
            assertEquals(
                    "cacheproxyctl: agent a: no instance is named n9\n",
                    ctl("wait", "--for", what, "n9").code(4).err());
        }
        ctl("wait", "--for", "good").code(2).prints("--for: expected ready or stopped, got good");
        ctl("wait", "--timeout", "x").code(2).prints("--timeout");
    }

    private static Map<String, Object> events(long next, String... namesAndDescriptions) {
        List<Object> events = new ArrayList<>();
        for (String event : namesAndDescriptions) {
            String[] nameAndDescription = event.split(":", 2);
            events.add(Map.of(
                    "number",
                    next - namesAndDescriptions.length + events.size(),
                    "time",
                    "t",
                    "name",
                    nameAndDescription[0],
                    "what",
                    nameAndDescription[1]));
        }
        return Map.of("events", events, "next", next);
    }

    @Test
    void rollingRestartPrintsEventsUntilItEnds() {
        ScriptedAgent a = agent("a").replies("roll", Map.of("rolling", "0 of 2"));
        a.on(
                "events",
                (nth, request, responder) -> responder.end(
                        switch (nth) {
                            case 0 -> events(8);
                            case 1 -> events(10, ":rolling restart 1 of 2 begins, 2 at once", "n0:stopping");
                            case 2 -> events(10);
                            default -> events(11, ":rolling restart 1 is done");
                        }));
        Result result = ctl("rolling-restart", "--max-down", 2, "n1", "n0").code(0);
        assertEquals(
                " rolling restart 1 of 2 begins, 2 at once\nn0 stopping\n rolling restart 1 is done\n", result.err());
        assertEquals(List.of("n1", "n0"), a.last("roll").get("names"));
        assertEquals(2, a.last("roll").get("mostDown"));
        assertEquals(List.of("events", "roll", "events", "events", "events"), a.operations());
        List<Object> fromValues = a.requests.stream()
                .filter(recorded -> recorded.get("op").equals("events"))
                .map(recorded -> recorded.get("from"))
                .toList();
        assertEquals(List.of(Long.MAX_VALUE, 8, 10, 10), fromValues);
    }

    @Test
    void rollingRestartExitsWithCodeOfOutcome() {
        ScriptedAgent a = agent("a").replies("roll", Map.of("rolling", "0 of 2"));
        a.on(
                "events",
                (nth, request, responder) -> responder.end(
                        nth == 0
                                ? events(8)
                                : events(
                                        9,
                                        "n0:rolling restart 1 is done",
                                        ":rolling restart 1 stopped: n0 has crashed")));
        ctl("rolling-restart").code(1).prints("rolling restart 1 stopped: n0 has crashed");
        a.replies("events", events(9));
        ctl("rolling-restart", "--timeout", 0)
                .code(5)
                .prints("cacheproxyctl: timed out; the rolling restart continues");
        a.requests.clear();
        ctl("rolling-restart", "--no-wait").code(0);
        assertEquals(List.of("events", "roll"), a.operations());
        assertEquals(1, a.last("roll").get("mostDown"));
        a.refuses("roll", "a rolling restart is under way");
        ctl("rolling-restart").code(4).prints("agent a: a rolling restart is under way");
        ctl("rolling-restart", "--max-down", "x").code(2).prints("--max-down");
    }

    // ---- logs and events ----

    @Test
    void logsShowsEndOfLogAndFollowsIt() {
        ScriptedAgent a = agent("a").replies("log", Map.of("text", "one\n\ttwo\n", "next", 9));
        assertEquals("one\n\ttwo\n", ctl("logs", "-c", 100, "n0").code(0).out());
        assertEquals(Map.of("v", 1, "op", "log", "name", "n0", "from", -1, "bytes", 100), a.last("log"));
        ScriptedAgent b = agent("b");
        b.on("log", (nth, request, responder) -> {
            if (nth < 3) {
                responder.end(Map.of("text", nth + "\n", "next", 10 + nth));
            } else {
                responder.fail("no instance is named n0"); // removed
            }
        });
        Result result = run("logs", "-f", "n0", "-a", b.folder).code(4);
        assertEquals("0\n1\n2\n", result.out());
        assertEquals("cacheproxyctl: agent b: no instance is named n0\n", result.err());
        assertEquals(
                List.of(-1, 10, 11, 12),
                b.requests.stream().map(r -> r.get("from")).toList());
        ctl("logs").code(2).prints("NAME");
    }

    @Test
    void eventsShowsAndFollowsEvents() throws Exception {
        ScriptedAgent a = agent("a");
        a.on("events", (nth, request, responder) -> {
            responder.part(events(3, ":agent begins", "n0:starting"));
            responder.end(events(4, "n0:ready"));
        });
        assertEquals(
                "t  agent  agent begins\nt  n0  starting\nt  n0  ready\n",
                ctl("events").code(0).out());
        assertEquals(Map.of("v", 1, "op", "events", "from", 1, "follow", false), a.last("events"));
        List<Object> lines = JSON.std.listOfFrom(
                Object.class,
                "["
                        + String.join(
                                ",",
                                ctl("events", "-o", "json", "--from", 7)
                                        .code(0)
                                        .out()
                                        .lines()
                                        .toList()) + "]");
        assertEquals(Map.of("number", 2, "time", "t", "name", "n0", "what", "starting"), lines.get(1));
        assertEquals(3, lines.size());
        assertEquals(7, a.last("events").get("from"));
        a.refuses("events", "too many connections");
        assertEquals(
                "cacheproxyctl: agent a: too many connections\n",
                ctl("events").code(4).err());

        CompletableFuture<ControlServer.Reply> reply = new CompletableFuture<>();
        a.on("events", (nth, request, responder) -> {
            responder.part(events(2, "n0:ready"));
            reply.complete(responder);
        });
        Process process =
                child("events", "-f", "-a", "a").redirectErrorStream(true).start();
        opened.add(process::destroyForcibly);
        BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
        assertEquals("t  n0  ready", output.readLine());
        assertEquals(true, a.last("events").get("follow"));
        reply.get(20, TimeUnit.SECONDS).part(events(3, "n0:hung"));
        assertEquals("t  n0  hung", output.readLine());
        reply.get().fail("for the test");
        assertEquals("cacheproxyctl: agent a: for the test", output.readLine());
        assertEquals(4, process.waitFor());
    }

    // ---- interrupted commands ----

    @Test
    void interruptedCommandMakesNoFurtherRequests() throws Exception {
        Map<String, Object> reply = Map.of("results", Map.of("n0", ""));
        for (boolean kill : new boolean[] {true, false}) {
            ScriptedAgent a = agent(kill ? "k" : "t")
                    .replies("apply", plan(List.of("n0"), List.of()))
                    .replies("stop", reply)
                    .replies("roll", Map.of("rolling", "0 of 1"))
                    .replies("events", events(1));
            a.listsInTurn(List.of(instance("n0", "starting")));
            for (List<Object> args :
                    List.<List<Object>>of(List.of("apply", file), List.of("stop", "n0"), List.of("rolling-restart"))) {
                a.requests.clear();
                String poll = args.get(0).equals("rolling-restart") ? "events" : "list";
                CountDownLatch polls = a.countRequests(poll, 4); // the command is polling
                List<Object> argumentsWithAgent = new ArrayList<>(args);
                argumentsWithAgent.addAll(List.of("-a", a.folder));
                Process process = child(argumentsWithAgent.toArray())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
                opened.add(process::destroyForcibly);
                assertTrue(polls.await(20, TimeUnit.SECONDS), a.operations()::toString);
                if (kill) {
                    process.destroyForcibly();
                } else {
                    process.destroy();
                }
                assertEquals(kill ? 137 : 143, process.waitFor());
                String op = args.get(0).equals("rolling-restart") ? "roll" : String.valueOf(args.get(0));
                assertEquals(1, a.operations().stream().filter(op::equals).count());
                assertEquals(Set.of(op, poll), Set.copyOf(a.operations()));
                run("list", "-a", a.folder).code(1).prints("n0"); // the agent still answers the next command
            }
        }
    }

    // ---- terminal output ----

    @Test
    void controlCharactersDoNotReachTheTerminal() {
        Map<String, Object> listedInstance = instance(
                CONTROL_CHARACTERS,
                CONTROL_CHARACTERS,
                "listen",
                CONTROL_CHARACTERS,
                "trouble",
                CONTROL_CHARACTERS,
                "exitCode",
                CONTROL_CHARACTERS,
                "told",
                Map.of(
                        CONTROL_CHARACTERS,
                        CONTROL_CHARACTERS,
                        "nodes",
                        Map.of(CONTROL_CHARACTERS, List.of(CONTROL_CHARACTERS))));
        Map<String, Object> listing = listed(List.of(listedInstance));
        listing.put("trouble", CONTROL_CHARACTERS);
        listing.put("rolling", CONTROL_CHARACTERS);
        Map<String, Object> plan = plan(List.of(CONTROL_CHARACTERS), List.of(CONTROL_CHARACTERS));
        ScriptedAgent a =
                agent("a").replies("list", listing).replies("status", listing).replies("apply", plan);
        a.replies("log", Map.of("text", "a\n\tb" + CONTROL_CHARACTERS, "next", 1));
        a.replies(
                "events",
                events(
                        3,
                        CONTROL_CHARACTERS + ":" + CONTROL_CHARACTERS,
                        ":rolling restart " + CONTROL_CHARACTERS + " stopped: "));
        a.replies("roll", Map.of("rolling", CONTROL_CHARACTERS))
                .replies("start", Map.of("results", Map.of(CONTROL_CHARACTERS, CONTROL_CHARACTERS)));
        List<List<Object>> commands = List.of(
                List.of("list"),
                List.of("status"),
                List.of("diff", file),
                List.of("apply", "--timeout", 0, file),
                List.of("logs", "n0"),
                List.of("events"),
                List.of("rolling-restart"),
                List.of("start", "n0"),
                List.of("wait", "--timeout", 0));
        for (List<Object> args : commands) {
            Result result = ctl(args.toArray());
            assertNoControlCharacters(result);
            result.prints("?[2Jx?31m????end");
            assertTrue(result.code() < 2 || result.code() == 5, result.toString());
            Result jsonResult =
                    ctl(Stream.concat(args.stream(), Stream.of("-o", "json")).toArray());
            assertNoControlCharacters(jsonResult);
            if (Set.of("list", "status", "diff").contains(args.get(0))) {
                assertTrue(
                        jsonResult.json().toString().contains(CONTROL_CHARACTERS),
                        "JSON output must contain the text, escaped");
            }
        }
        for (String op : List.of("list", "status", "apply", "log", "events", "roll", "start")) {
            a.refuses(op, CONTROL_CHARACTERS);
        }
        for (List<Object> args : commands) {
            assertNoControlCharacters(ctl(args.toArray()).code(4).prints("agent a: ?[2Jx?31m????end"));
        }
    }

    private static void assertNoControlCharacters(Result result) {
        String output = result.out() + result.err();
        output.chars()
                .forEach(character -> assertTrue(
                        character == '\n' || character == '\t' || !Character.isISOControl(character),
                        () -> "character " + character + ": " + result));
    }
}
