package cacheproxy.agent;

import cacheproxy.control.ControlCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Measures {@code list} and {@code status} for 20 real instances and for many stand-ins, both by direct calls to the
 * agent and through the command line tool including its start, and the time to start real instances one by one. Run by
 * hand, once the jar is built: {@code ListMeasurement [REAL [STAND-INS [OPTION OF THE AGENT'S JVM ...]]]}.
 *
 * <p>Real in both cases are the agent, a process with its default policy, journal, sockets and health checks; the tool,
 * run through bin/cacheproxyctl; and each instance as a process in its own session that proves its identity by its
 * secret, has a configuration digest and answers a client greeting on TCP. Only the program of the stand-ins is not
 * real: instead of a JVM each runs a small script, which the agent finds in place of setsid(1). It reports the status
 * of a real instance under this agent, with its own name, pid and digest. The resources that as many JVMs would need,
 * and their start time, are therefore not measured.
 */
final class ListMeasurement {
    private static final int CALLS = 300;
    private static final int TOOL_CALLS = 60;
    private static final int WARM_UP_CALLS = 20;
    private static final long CALL_INTERVAL_MS = 10;
    private static final String SCRIPT = """
        #!/usr/bin/python3 -IS
        import hashlib, hmac, json, os, selectors, socket, sys
        os.setsid()
        env, own = os.environ, os.path.dirname(sys.argv[0])
        name, boot = env["LB_NAME"], open("/proc/sys/kernel/random/boot_id").read().strip()
        ticks = int(open("/proc/self/stat").read().rpartition(")")[2].split()[19])
        conf = hashlib.sha256(open(env["LB_CONFIG"], "rb").read()).hexdigest()[:16]
        told = json.load(open(own + "/told.json"))
        told.update(name=name, pid=os.getpid())
        told["configuration"]["digest"] = conf
        all = selectors.DefaultSelector()

        def listen(kind, at, backlog, answer):
            s = socket.socket(kind)
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            s.bind(at)
            s.listen(backlog)
            all.register(s, selectors.EVENT_READ, lambda: accept(s, answer))

        def accept(s, answer):
            c, _ = s.accept()
            all.register(c, selectors.EVENT_READ, lambda: read(c, answer))

        def read(c, answer):
            try:
                got = c.recv(65536)
                if got:
                    return c.sendall(answer(got))
            except OSError:
                pass
            all.unregister(c)
            c.close()

        def control(line):
            ask = json.loads(line)
            reply = {"v": 1, "ok": True}
            if ask["op"] == "hello":
                said = (name + "\\n" + ask["nonce"]).encode()
                reply.update(name=name, build="stand-in", pid=os.getpid(), startTicks=ticks, bootId=boot,
                    proof=hmac.new(env["LB_SECRET"].encode(), said, "sha256").hexdigest())
            else:
                reply.update(told)
            reply["end"] = True
            return json.dumps(reply, separators=(",", ":")).encode() + b"\\n"

        host, _, port = env["LB_LISTEN"].rpartition(":")
        listen(socket.AF_INET, (host, int(port)), 64, lambda got: b"MN\\r\\n")
        listen(socket.AF_UNIX, env["LB_CONTROL"], 64, control)
        while True:
            for key, _ in all.select():
                key.data()
        """;

    private ListMeasurement() {}

    public static void main(String[] args) throws Exception {
        int realInstances = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        int standInInstances = args.length > 1 ? Integer.parseInt(args[1]) : 500;
        String[] options = args.length > 2 ? Arrays.copyOfRange(args, 2, args.length) : new String[0];
        Map<String, Object> reportedStatus;
        try (AgentRig rig = new AgentRig(realInstances)) {
            rig.policy = "\"killAfterMs\":-1"; // the default policy
            rig.startAndAwait(options);
            applyAndAwaitReady(rig, realInstances + " real");
            reportedStatus = reportedStatus(rig);
            measureListAndStatus(rig);
            startOneByOne(rig);
        }
        try (AgentRig rig = new AgentRig(standInInstances)) {
            startStandIns(rig, reportedStatus, options);
            applyAndAwaitReady(rig, standInInstances + " stand-ins");
            measureListAndStatus(rig);
        }
    }

    /** Starts an agent whose instances all run the script. */
    private static void startStandIns(AgentRig rig, Map<String, Object> reportedStatus, String... options)
            throws Exception {
        rig.observer.close(); // it would scan this many processes continuously
        rig.policy = "\"killAfterMs\":-1";
        Path bin = Files.createDirectory(rig.folder.resolve("bin"));
        Files.writeString(bin.resolve("told.json"), ControlCodec.encode(reportedStatus));
        Path script = Files.writeString(bin.resolve("setsid"), SCRIPT);
        Files.setPosixFilePermissions(script, PosixFilePermissions.fromString("rwx------"));
        rig.startAgent("export PATH=" + bin + ":$PATH", options);
        rig.awaitAnswer();
    }

    private static void applyAndAwaitReady(AgentRig rig, String what) throws Exception {
        long startNs = System.nanoTime();
        rig.callOk("apply", "site", rig.site());
        rig.await("all to be ready", () -> rig.allInState("ready"));
        System.out.printf(
                "%s: ready at once after %d ms%n", what, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
        Thread.sleep(3_000);
    }

    @SuppressWarnings("unchecked") // JSON objects in a reply have strings as keys
    private static Map<String, Object> reportedStatus(AgentRig rig) throws IOException {
        List<?> instances =
                (List<?>) rig.callOk("status", "names", List.of("p0")).get("instances");
        Map<String, Object> reportedStatus = (Map<String, Object>) ((Map<?, ?>) instances.get(0)).get("told");
        System.out.println(
                "one tells of itself " + ControlCodec.encode(reportedStatus).length() + " bytes");
        return reportedStatus;
    }

    // ---- list and status ----

    private static void measureListAndStatus(AgentRig rig) throws Exception {
        AgentMeasurement.idle(rig);
        AgentMeasurement.idle(rig); // cheaper, since code is JIT-compiled by now
        for (String op : List.of("list", "status")) {
            Object[] fields = op.equals("list") ? new Object[0] : new Object[] {"names", List.of()};
            int bytes = ControlCodec.encode(rig.callOk(op, fields)).length();
            for (int i = 0; i < WARM_UP_CALLS; i++) {
                rig.callOk(op, fields);
            }
            measure(op + " by the agent, " + bytes + " bytes", CALLS, () -> rig.callOk(op, fields));
        }
        for (String op : List.of("list", "status")) {
            measure(op + " by the tool", TOOL_CALLS, () -> runTool(rig, op));
        }
        System.out.println("the agent after that: " + AgentMeasurement.rssKb(rig.agent.pid()) + " kB");
    }

    private static void measure(String what, int calls, Callable<?> call) throws Exception {
        double[] durationsMs = new double[calls];
        for (int i = 0; i < calls; i++) {
            long startNs = System.nanoTime();
            call.call();
            durationsMs[i] = (System.nanoTime() - startNs) / 1e6;
            Thread.sleep(CALL_INTERVAL_MS);
        }
        Arrays.sort(durationsMs);
        System.out.printf(
                "%s: p50 %.1f ms, p99 %.1f ms, most %.1f ms of %d%n",
                what,
                durationsMs[calls / 2],
                durationsMs[(int) Math.ceil(calls * 0.99) - 1],
                durationsMs[calls - 1],
                calls);
    }

    private static int runTool(AgentRig rig, String... arguments) throws Exception {
        List<String> command =
                new ArrayList<>(List.of(Path.of("bin", "cacheproxyctl").toString()));
        command.addAll(List.of(arguments));
        command.addAll(List.of("--agent", rig.folder.toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("XDG_CACHE_HOME", rig.folder.toString());
        Path output = rig.folder.resolve("tool.out");
        int code = builder.redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start()
                .waitFor();
        if (code != 0) {
            throw new AssertionError(command + " ended with " + code + ": " + Files.readString(output));
        }
        return code;
    }

    // ---- starts one by one ----

    private static void stopAll(AgentRig rig) throws Exception {
        rig.callOk("stop", "names", List.of());
        rig.await("all to be stopped", () -> rig.allInState("stopped"));
    }

    private static void startOneByOne(AgentRig rig) throws Exception {
        int count = rig.ports.length;
        stopAll(rig);
        long startNs = System.nanoTime();
        for (int i = 0; i < count; i++) {
            String name = "p" + i;
            rig.callOk("start", "names", List.of(name));
            rig.await("the instance to be ready", () -> rig.isInState("ready", name));
        }
        System.out.printf(
                "%d ready one by one after %d ms by the agent%n",
                count, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
        stopAll(rig);
        startNs = System.nanoTime();
        for (int i = 0; i < count; i++) {
            runTool(rig, "start", "p" + i);
        }
        System.out.printf(
                "%d ready one by one after %d ms by the tool%n",
                count, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
    }
}
