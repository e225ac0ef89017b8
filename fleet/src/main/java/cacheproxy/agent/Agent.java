package cacheproxy.agent;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.ControlServer;
import cacheproxy.control.InstanceLock;
import cacheproxy.site.DeclaredInstance;
import cacheproxy.site.SiteFile;
import cacheproxy.supervise.Instance;
import cacheproxy.supervise.JournalRecord;
import cacheproxy.supervise.Supervisor;
import cacheproxy.supervise.SupervisorActions;
import cacheproxy.supervise.UniqueProcessId;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs the instances of a declared site on this machine. One thread runs the {@link Supervisor} and writes the journal.
 * Blocking work (starting processes, health checks, searches) runs on worker threads, which post their results to that
 * thread. Instances keep running after the agent has ended.
 */
public final class Agent implements SupervisorActions {
    private static final int WORKERS = 16;
    private static final int MAX_QUEUED_TASKS = 8_192;
    private static final long TICK_INTERVAL_MS = 100;
    private static final long EXIT_CHECK_INTERVAL_MS = 250;
    private static final long HOUSEKEEPING_INTERVAL_MS = 10_000;
    private static final int MIN_LINES_TO_COMPACT = 2_000;
    /** Exit codes from here on mean that a signal ended the process, so its log holds no reason. */
    private static final int FIRST_SIGNAL_EXIT_CODE = 128;

    private final StateFolder stateFolder;
    private final InstanceLock lock;
    private final ProcFs procFs = new ProcFs(Path.of("/proc"));
    private final Launcher launcher;
    private final InstanceClient instanceClient = new InstanceClient();
    private final EventLog events;
    private final Journal journal;
    private final Supervisor supervisor;
    private final ScheduledExecutorService supervisorThread =
            Executors.newSingleThreadScheduledExecutor(r -> thread(r, "agent"));
    private final ThreadPoolExecutor workers = new ThreadPoolExecutor(
            WORKERS, WORKERS, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_TASKS), r -> thread(r, "work"));
    private final ControlServer server;
    /** Null if remote access is not configured. */
    private final ControlServer remoteServer;

    private final CountDownLatch listening = new CountDownLatch(1);
    /** Also read by worker threads; the map is immutable and replaced as a whole. */
    private volatile Map<String, DeclaredInstance> declared = Map.of();

    private String siteText;
    private String siteName = "";
    /** Start numbers of child processes of this agent; the JVM reports their exit codes. */
    private final Map<String, Integer> children = new ConcurrentHashMap<>();
    /** The last status reported by each instance. */
    private final Map<String, Map<String, Object>> lastStatus = new ConcurrentHashMap<>();

    private boolean journalFails;
    /** Number of lines in the journal after the last compaction. */
    private int linesAfterCompaction;

    private final long startedNs = System.nanoTime();

    private Agent(Path folder, String java, String classPath) throws IOException {
        procFs.requireOwnProcessVisible(ProcessHandle.current().pid());
        stateFolder = new StateFolder(folder.toAbsolutePath());
        stateFolder.createMissing();
        lock = InstanceLock.acquire("agent", stateFolder.agentLock());
        RemoteAccess remote = RemoteAccess.read(stateFolder.remote());
        launcher = new Launcher(stateFolder, procFs, java, classPath);
        events = new EventLog(stateFolder.events());
        supervisor = new Supervisor(this);
        journal = Journal.open(stateFolder.journal(), journalRecord -> {
            if (journalRecord instanceof JournalRecord.SiteDeclared siteDeclared) {
                siteText = siteDeclared.site();
            } else {
                supervisor.replay(journalRecord);
            }
        });
        events.add("", "agent begins, pid " + ProcessHandle.current().pid());
        if (!launcher.startsNewSession()) {
            events.add("", "setsid is not there: instances stay in the agent's session and end with it");
        }
        supervisorThread.submit(this::startSupervision);
        schedulePeriodically(TICK_INTERVAL_MS, () -> supervisor.tick(now()));
        schedulePeriodically(EXIT_CHECK_INTERVAL_MS, this::checkAdoptedProcesses);
        schedulePeriodically(HOUSEKEEPING_INTERVAL_MS, this::housekeeping);
        AgentApi api = new AgentApi(this);
        server = ControlServer.open(loop("api"), stateFolder.agentSocket(), api);
        remoteServer = remote == null ? null : remote.open(() -> loop("far"), api);
        if (remoteServer != null) {
            events.add(
                    "", "remote access at " + remoteServer.address().toString().replace("/", ""));
        }
        listening.countDown();
    }

    private static EventLoop loop(String name) {
        ThreadFactory threads = r -> thread(r, name);
        return new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory()).next();
    }

    /**
     * Starts an agent, which runs until SIGTERM or SIGINT; instances keep running. If the agent was started with SIGINT
     * ignored, as for a background job of a script, SIGINT stays ignored. Throws {@link InvalidInputException} if it
     * cannot start.
     */
    public static void run(Path folder) {
        try {
            String java =
                    Path.of(System.getProperty("java.home"), "bin", "java").toString();
            Agent agent = new Agent(folder, java, System.getProperty("java.class.path"));
            Runtime.getRuntime().addShutdownHook(new Thread(agent::ended, "end"));
        } catch (IOException e) {
            throw new InvalidInputException("the agent cannot start: " + e);
        }
    }

    private static Thread thread(Runnable r, String name) {
        Thread t = new Thread(r, name);
        t.setDaemon(!name.equals("agent"));
        return t;
    }

    private void ended() {
        events.add("", "agent ends; instances go on");
        server.close();
        if (remoteServer != null) {
            remoteServer.close();
        }
    }

    /** Milliseconds since this agent started. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
    }

    private void runLoggingFaults(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            StackTraceElement[] trace = e.getStackTrace();
            events.add("", "fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    /** Runs a task on the supervisor's thread. */
    void onSupervisorThread(Runnable task) {
        supervisorThread.execute(() -> runLoggingFaults(task));
    }

    private void schedulePeriodically(long ms, Runnable task) {
        supervisorThread.scheduleWithFixedDelay(() -> runLoggingFaults(task), ms, ms, TimeUnit.MILLISECONDS);
    }

    void scheduleOnce(long delay, TimeUnit unit, Runnable task) {
        supervisorThread.schedule(() -> runLoggingFaults(task), delay, unit);
    }

    private void onWorker(Runnable task, Runnable onRejected) {
        try {
            workers.execute(() -> runLoggingFaults(task));
        } catch (RejectedExecutionException e) {
            onSupervisorThread(onRejected);
        }
    }

    /** Waits until the agent listens, so that an agent whose address is in use exits without starting instances. */
    private void startSupervision() {
        try {
            listening.await();
        } catch (InterruptedException e) {
            return;
        }
        runLoggingFaults(() -> {
            supervisor.searchForProcesses(now());
            if (siteText != null) {
                declare(SiteFile.parse(siteText));
            }
        });
    }

    private void declare(SiteFile site) {
        Map<String, DeclaredInstance> named = new LinkedHashMap<>();
        site.instances().forEach(i -> named.put(i.name(), i));
        declared = Map.copyOf(named);
        siteName = site.name();
        supervisor.declare(now(), site.specs());
    }

    // ---- for the API, on the supervisor's thread ----

    Supervisor supervisor() {
        return supervisor;
    }

    EventLog events() {
        return events;
    }

    StateFolder stateFolder() {
        return stateFolder;
    }

    String siteName() {
        return siteName;
    }

    int journalLines() {
        return journal.lines();
    }

    boolean journalFails() {
        return journalFails;
    }

    boolean holdsLock() {
        return lock.isHeld();
    }

    DeclaredInstance declared(String name) {
        return declared.get(name);
    }

    Map<String, Object> lastStatus(String name) {
        return lastStatus.get(name);
    }

    /** Applies a site. Returns why it was rejected; null if it was applied. */
    String apply(SiteFile site, String text) {
        if (!appendToJournal(new JournalRecord.SiteDeclared(text))) {
            return "the journal cannot be written: nothing is changed";
        }
        siteText = text;
        events.add("", "site " + site.name() + " applied: " + site.instances().size() + " instances");
        declare(site);
        return null;
    }

    // ---- actions of the supervisor ----

    @Override
    public boolean appendToJournal(JournalRecord journalRecord) {
        Failpoint.pass("before-" + journalRecord.getClass().getSimpleName());
        try {
            journal.append(journalRecord);
            if (journalFails) {
                journalFails = false;
                events.add("", "the journal is written again");
            }
            Failpoint.pass("after-" + journalRecord.getClass().getSimpleName());
            return true;
        } catch (IOException e) {
            if (!journalFails) {
                journalFails = true;
                events.add("", "the journal cannot be written: " + e.getMessage());
            }
            return false;
        }
    }

    @Override
    public String secret() {
        return instanceClient.secret();
    }

    @Override
    public void spawn(String name, int start, String secret) {
        DeclaredInstance instanceDeclaration = declared.get(name);
        children.put(name, start);
        onWorker(
                () -> {
                    Failpoint.pass("before-fork");
                    try {
                        UniqueProcessId process =
                                launcher.launch(instanceDeclaration, start, secret, code -> ended(name, start, code));
                        Failpoint.pass("after-fork");
                        onSupervisorThread(() -> supervisor.spawned(now(), name, start, process));
                    } catch (IOException e) {
                        onSupervisorThread(
                                () -> supervisor.spawnFailed(now(), name, start, String.valueOf(e.getMessage())));
                    }
                },
                () -> supervisor.spawnFailed(now(), name, start, "too much to do"));
    }

    /** Handles the end of a child process. If it exited with an error, the last line of its log holds the reason. */
    private void ended(String name, int start, int code) {
        String lastLogLine =
                code > 0 && code < FIRST_SIGNAL_EXIT_CODE ? LogRotation.lastLine(stateFolder.log(name)) : "";
        String why = lastLogLine.isEmpty() ? "" : "its log ends with '" + lastLogLine + "'";
        onSupervisorThread(() -> supervisor.processEnded(now(), name, start, code, why));
    }

    @Override
    public void search(String name, int start, UniqueProcessId identity, String secret) {
        onWorker(
                () -> {
                    UniqueProcessId process = null;
                    if (identity != null) {
                        process = procFs.isAlive(identity) ? identity : null;
                    } else {
                        process = procFs.findByEnvironmentVariable(Launcher.startVariable(name, start, secret));
                        if (process == null) {
                            process = identifyBySocket(name, secret);
                        }
                    }
                    UniqueProcessId found = process;
                    onSupervisorThread(() -> supervisor.searchCompleted(now(), name, start, found));
                },
                () -> supervisor.searchFailed(now(), name, start));
    }

    private UniqueProcessId identifyBySocket(String name, String secret) {
        try {
            return instanceClient.identify(stateFolder.socket(name), name, secret);
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void terminate(String name, UniqueProcessId identity) {
        Failpoint.pass("before-terminate");
        if (!launcher.signal(identity, false)) {
            events.add(name, "SIGTERM found no process " + identity.pid());
        }
        Failpoint.pass("after-terminate");
    }

    @Override
    public void kill(String name, UniqueProcessId identity) {
        launcher.signal(identity, true);
    }

    @Override
    public void probe(String name, int start) {
        Instance instance = supervisor.instance(name);
        DeclaredInstance instanceDeclaration = declared.get(name);
        String secret = instance.secret();
        UniqueProcessId identity = instance.identity();
        onWorker(
                () -> {
                    try {
                        if (procFs.isStopped(identity.pid())) {
                            throw new IOException("stopped: no need to ask");
                        }
                        Map<String, Object> status = instanceClient.status(stateFolder.socket(name), name, secret);
                        lastStatus.put(name, status);
                        String phase = String.valueOf(status.get("phase"));
                        if (phase.equals("stalled")) {
                            throw new IOException("its loop stands still for " + status.get("stalledMs") + " ms");
                        }
                        boolean ready = phase.equals("ready");
                        String greetingFailure = ready && instanceDeclaration != null && instanceDeclaration.greet()
                                ? instanceClient.greetingFailure(
                                        InstanceClient.parseAddress(instanceDeclaration.listen()))
                                : "";
                        if (!greetingFailure.isEmpty() && procFs.isStopped(identity.pid())) {
                            throw new IOException("stopped between its answer and its greeting");
                        }
                        String digest = status.get("configuration") instanceof Map<?, ?> c && c.get("digest") != null
                                ? String.valueOf(c.get("digest"))
                                : "";
                        onSupervisorThread(() -> supervisor.probed(now(), name, start, ready, greetingFailure, digest));
                    } catch (IOException e) {
                        String why = procFs.isStopped(identity.pid()) // the more precise reason, whichever step failed
                                ? "its process is stopped (SIGSTOP)"
                                : String.valueOf(e.getMessage());
                        onSupervisorThread(() -> supervisor.probeFailed(now(), name, start, why));
                    }
                },
                () -> supervisor.probeFailed(now(), name, start, "the agent has too much to do"));
    }

    @Override
    public void reload(String name, int start) {
        DeclaredInstance instanceDeclaration = declared.get(name);
        String secret = supervisor.instance(name).secret();
        onWorker(
                () -> {
                    try {
                        if (instanceDeclaration != null) {
                            launcher.writeConfiguration(instanceDeclaration);
                        }
                        Failpoint.pass("mid-reload");
                        String digest = instanceClient.reload(stateFolder.socket(name), name, secret);
                        onSupervisorThread(() -> supervisor.reloaded(now(), name, start, true, "", digest));
                    } catch (InstanceClient.RejectedException e) {
                        onSupervisorThread(() -> supervisor.reloaded(now(), name, start, false, e.getMessage(), ""));
                    } catch (IOException e) {
                        String why = e.getMessage() == null ? e.toString() : e.getMessage();
                        onSupervisorThread(() -> supervisor.reloadFailed(now(), name, start, why));
                    }
                },
                () -> supervisor.reloadFailed(now(), name, start, "the agent has too much to do"));
    }

    @Override
    public void logEvent(String name, String what) {
        events.add(name, what);
    }

    // ---- periodic tasks ----

    /** Detects the end of processes started by an earlier agent, since the JVM reports only its own children. */
    private void checkAdoptedProcesses() {
        for (Instance instance : List.copyOf(supervisor.instances())) {
            Integer childStart = children.get(instance.name);
            if (instance.identity() != null
                    && (childStart == null || childStart != instance.lastStart())
                    && !procFs.isAlive(instance.identity())) {
                supervisor.processEnded(now(), instance.name, instance.lastStart(), -1);
            }
        }
    }

    private void housekeeping() {
        List<String> names =
                supervisor.instances().stream().map(instance -> instance.name).toList();
        lastStatus.keySet().retainAll(names);
        children.keySet().retainAll(names);
        onWorker(
                () -> {
                    for (String name : names) {
                        try {
                            if (LogRotation.rotate(stateFolder.log(name), LogRotation.MAX_BYTES)) {
                                events.add(name, "its log was over " + LogRotation.MAX_BYTES + " bytes: rotated");
                            }
                        } catch (IOException e) {
                            events.add(name, "its log cannot be rotated: " + e.getMessage());
                        }
                    }
                },
                () -> {});
        if (journal.lines() > MIN_LINES_TO_COMPACT + Math.max(6 * names.size(), 2 * linesAfterCompaction)) {
            try {
                List<JournalRecord> snapshot = new ArrayList<>();
                if (siteText != null) {
                    snapshot.add(new JournalRecord.SiteDeclared(siteText));
                }
                snapshot.addAll(supervisor.snapshot());
                journal.compact(snapshot);
                linesAfterCompaction = journal.lines();
            } catch (IOException e) {
                events.add("", "the journal cannot be compacted: " + e.getMessage());
            }
        }
    }
}
