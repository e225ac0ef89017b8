package cacheproxy.agent;

import cacheproxy.cli.LocalAgent;
import cacheproxy.control.ControlClient;
import cacheproxy.control.ControlCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs a real agent process on its own state folder, with real instances and a stand-in cache node behind them. */
final class AgentRig implements AutoCloseable {
    static final int CALL_TIMEOUT_MS = 15_000;
    static final long WAIT_TIMEOUT_MS = 120_000;
    /** Each JVM logs this exactly once, right after its start. */
    private static final String JVM_START_LINE = "CPUs: ";

    private static final String SETTINGS = """
        {"index":0,"balancers":1,"az":0,"domainType":"cache","familyInfo":{"mode":"through","originKind":-1},
         "caps":{"dialTimeoutMs":400.0,"idleCloseMs":30000.0,"maxAttempts":4,"maxRetryAfterMs":2000.0,
          "mayCancel":true,"multiplex":1,"openCap":20000,"peers":false,"probing":true,"retryAfter":true,
          "secondCopies":false},
         "grades":[
          {"name":"lookup","effect":"pure","group":"all","targetMs":750.0,"deadlineMs":5000.0,"lateWorth":0.5,
           "repeatWindowMs":5000.0,"stream":false,"value":1.0},
          {"name":"charge","effect":"side_effect","group":"all","targetMs":750.0,"deadlineMs":5000.0,
           "lateWorth":0.5,"repeatWindowMs":5000.0,"stream":false,"value":1.0}],
         "kinds":["full"],"localities":["east","west"],"registryMode":"subscribe",
         "reporting":{"fields":["busy"],"source":"inline"},
         "rules":{"askWithinMs":100.0,"coldFrom":0.17,"coldMs":24000.0,"drainGraceMs":1000.0,"fallMs":2000.0,
          "graceToAnswerMs":20.0,"tipMultiple":4.0},
         "tenants":[{"name":"acme","quotaPerS":5000.0,"share":1.0}],"tickMs":5.0,"weights":"rough"}
        """;

    final Path folder;
    final int[] ports;
    final StandInCacheNode node = new StandInCacheNode();
    final ProcessObserver observer;
    Process agent;
    /** The policy in the site file. */
    String policy = "\"probeMs\":400,\"forkMs\":1500,\"readyWithinMs\":60000,\"stopWithinMs\":15000";

    String extraJvmOptions = "";
    int socketLimit = 1024;
    private final List<Process> agents = new ArrayList<>();
    private final Thread shutdownHook = new Thread(this::killAll);

    AgentRig(int instances) throws IOException {
        folder = Files.createTempDirectory("hatch"); // created with mode 700
        ports = freePorts(instances);
        observer = new ProcessObserver(folder);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Free ports below the range that the system assigns to client connections. */
    private static int[] freePorts(int count) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(10_000, 20_000 - count);
            int[] ports = new int[count];
            Arrays.setAll(ports, i -> first + i);
            if (Arrays.stream(ports).allMatch(AgentRig::isFree)) {
                return ports;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return s.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    // ---- the site ----

    String group(String name, int first, int count, String extraFields) {
        return "{\"name\":\"" + name + "\",\"first\":" + first + ",\"count\":" + count
                + ",\"listen\":\"127.0.0.1:{" + ports[0] + "+i}\",\"jvm\":[\"-XX:+UseSerialGC\","
                + "\"-XX:TieredStopAtLevel=1\",\"-Xshare:auto\",\"-Xmx48m\",\"-XX:-UsePerfData\","
                + "\"-Xlog:gc+init\"" + extraJvmOptions + "]" + extraFields
                + ",\"configuration\":{\"limits\":{\"sockets\":" + socketLimit
                + "},\"known\":{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-0\",\"addr\":\"" + node.address()
                + "\",\"zone\":\"east\",\"kind\":\"full\",\"cell\":1,\"state\":\"SERVING\",\"weight\":1.0,"
                + "\"started_ms\":0}]},\"settings\":" + SETTINGS + "}}";
    }

    String site(String... groups) {
        return "{\"version\":1,\"name\":\"test\",\"policy\":{" + policy + "},\"instances\":[" + String.join(",", groups)
                + "]}";
    }

    /** The site with all instances, named p0 and on. */
    String site() {
        return site(group("p{i}", 0, ports.length, ""));
    }

    // ---- the agent ----

    /** Starts agents with SIGINT ignored, as for a background job of a script. */
    boolean sigintIgnored;

    Process startAgent(String... options) throws IOException {
        return startAgent(":", options);
    }

    /** {@code before}: shell commands to run before the shell is replaced by the agent. */
    Process startAgent(String before, String[] options) throws IOException {
        // an ignored SIGINT is inherited and stays ignored in the JVM, so the disposition is set explicitly
        ProcessBuilder builder = new ProcessBuilder(
                "env",
                (sigintIgnored ? "--ignore" : "--default") + "-signal=INT",
                "sh",
                "-c",
                before + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString());
        builder.command().addAll(LocalAgent.AGENT_JVM);
        builder.command().addAll(List.of(options));
        builder.command()
                .addAll(List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cacheproxy.fleet.Main",
                        "agent",
                        folder.toString()));
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("agent.out").toFile()));
        agent = builder.start();
        agents.add(agent);
        return agent;
    }

    /** Starts an agent and waits until it answers. */
    void startAndAwait(String... options) throws Exception {
        startAgent(options);
        awaitAnswer();
    }

    void awaitAnswer() throws Exception {
        await("the agent to answer", () -> {
            if (!agent.isAlive()) {
                throw new AssertionError("the agent ended with code " + agent.exitValue());
            }
            return call("list") != null;
        });
    }

    int awaitExit() throws Exception {
        if (!agent.waitFor(WAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the agent does not exit; " + diagnostics());
        }
        return agent.exitValue();
    }

    void kill() throws Exception {
        agent.destroyForcibly();
        awaitExit();
    }

    static void signal(String name, long pid) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    String output() throws IOException {
        return Files.readString(folder.resolve("agent.out"));
    }

    // ---- requests to the agent ----

    Map<String, Object> call(String op, Object... fields) throws IOException {
        Map<String, Object> request = ControlCodec.request(op);
        for (int i = 0; i < fields.length; i += 2) {
            request.put((String) fields[i], fields[i + 1]);
        }
        return ControlClient.call(folder.resolve("agent.sock"), request, CALL_TIMEOUT_MS);
    }

    Map<String, Object> callOk(String op, Object... fields) throws IOException {
        Map<String, Object> reply = call(op, fields);
        if (!Boolean.TRUE.equals(reply.get("ok"))) {
            throw new AssertionError(op + ": " + reply);
        }
        return reply;
    }

    /** The reply to {@code list}, by instance name. */
    @SuppressWarnings("unchecked") // JSON objects in a reply have strings as keys
    Map<String, Map<String, Object>> list() throws IOException {
        Map<String, Map<String, Object>> named = new TreeMap<>();
        ((List<Map<String, Object>>) callOk("list").get("instances"))
                .forEach(instance -> named.put((String) instance.get("name"), instance));
        return named;
    }

    Map<String, Object> instance(String name) throws IOException {
        return list().get(name);
    }

    long pid(String name) throws IOException {
        return ((Number) instance(name).get("pid")).longValue();
    }

    boolean isInState(String state, String name) throws IOException {
        Map<String, Object> instance = instance(name);
        return instance != null && state.equals(instance.get("state"));
    }

    boolean allInState(String state) throws IOException {
        Map<String, Map<String, Object>> list = list();
        return list.size() == ports.length && list.values().stream().allMatch(i -> state.equals(i.get("state")));
    }

    Map<String, Long> pids() throws IOException {
        Map<String, Long> pids = new TreeMap<>();
        list().forEach((name, instance) -> {
            if (instance.get("pid") instanceof Number pid) {
                pids.put(name, pid.longValue());
            }
        });
        return pids;
    }

    List<String> events() throws IOException {
        return Files.readAllLines(folder.resolve("events.log"));
    }

    boolean hasEvent(String text) throws IOException {
        return events().stream().anyMatch(l -> l.contains(text));
    }

    void await(String what, Callable<Boolean> condition) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MS);
        for (Exception lastError = null; ; Thread.sleep(5)) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                lastError = e; // the agent does not listen yet, or has died
            } catch (AssertionError e) {
                throw new AssertionError(what + ": " + e.getMessage() + "; " + diagnostics(), e);
            }
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError(what + ": timed out, last error " + lastError + "; " + diagnostics());
            }
        }
    }

    /** The output, events and instances of the agent, for the message of a failed test. */
    String diagnostics() {
        StringBuilder all = new StringBuilder();
        try {
            all.append("agent output: ")
                    .append(output())
                    .append("\nevents:\n")
                    .append(String.join("\n", events()))
                    .append("\nobserved: ")
                    .append(observer.observedPids())
                    .append("\nlist: ");
            all.append(list());
        } catch (IOException e) {
            all.append(e);
        }
        return all.toString();
    }

    // ---- logs of the instances ----

    String log(String name) throws IOException {
        Path file = folder.resolve("log").resolve(name + ".log");
        return Files.exists(file) ? Files.readString(file, StandardCharsets.ISO_8859_1) : "";
    }

    /** How many processes of this instance have started, according to its log. */
    long startCount(String name) throws IOException {
        return log(name).lines().filter(l -> l.contains(JVM_START_LINE)).count();
    }

    /** Asserts that each instance was started this often and never had two processes at once. */
    void assertStarts(int times) throws IOException {
        for (int i = 0; i < ports.length; i++) {
            String name = "p" + i;
            if (startCount(name) != times || log(name).contains("is held by")) {
                throw new AssertionError(name + " was started " + startCount(name) + " times; " + diagnostics());
            }
        }
        Map<String, Set<Long>> observed = observer.observedPids();
        if (!observer.simultaneousProcesses().isEmpty()
                || observed.size() != ports.length
                || observed.values().stream().anyMatch(pids -> pids.size() != times)) {
            throw new AssertionError("observed " + observed + ", at the same time " + observer.simultaneousProcesses()
                    + "; " + diagnostics());
        }
    }

    // ---- cleanup ----

    private void killAll() {
        try {
            for (Process p : agents) {
                p.destroyForcibly().waitFor();
            }
            observer.killAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        Thread.interrupted(); // clears the interrupt of a test that timed out, so that cleanup can finish
        killAll();
        observer.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        node.close();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(p);
            }
        }
    }
}
