package cacheproxy.supervise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Simulates one machine from a seed: its processes, an agent that may die at any point, the journal, and operators who
 * issue commands. Faults are injected for some time; after that the site must reach its declared state. The rules that
 * must always hold are checked after each step, and {@link RuleViolation} reports the first that does not.
 */
final class SimulatedMachine implements SupervisorActions {
    /** Thrown if a rule does not hold. */
    static final class RuleViolation extends RuntimeException {
        private static final long serialVersionUID = 1;

        RuleViolation(String what) {
            super(what);
        }
    }

    /** Thrown where the agent dies, to abandon its current call. */
    private static final class AgentDeath extends RuntimeException {
        private static final long serialVersionUID = 1;

        AgentDeath() {
            super("", null, false, false);
        }
    }

    /** Kinds of faults and commands; each can be disabled to narrow down a failure. */
    enum FaultKind {
        DEATH,
        DISK,
        CRASH,
        HANG,
        IGNORE,
        NEVER_READY,
        WISH,
        DECLARE,
        ROLL,
        LATE,
        LOST,
        TWICE,
        COMPACT,
        /** A fork that completes after the agent has stopped waiting for it. */
        SLOW,
        /** A running process that a search does not find. */
        UNSEEN
    }

    private static final int MAX_LATENESS_MS = 900;
    private static final int PROBE_TIMEOUT_MS = 300;
    /** Allows for a lost probe, the next one until its timeout, late earlier answers, and ticks. */
    private static final int HUNG_TOLERANCE_MS = 3 * MAX_LATENESS_MS + 2 * PROBE_TIMEOUT_MS + 400;

    private static final int TICK_MS = 100;
    /** Bound on how long earlier answers may still arrive after the last fault. */
    private static final int LAST_ANSWER_MS = 3000;
    /** Without faults the site must reach its declared state within this time. */
    static final int SETTLE_TIMEOUT_MS = 45_000;

    private static final class SimulatedProcess {
        String name;
        int start;
        String secret;
        UniqueProcessId identity;
        int agentIncarnation;
        boolean forked;
        boolean dead;
        int code;
        boolean holdsLock;
        boolean controlChannelOpen;
        boolean ready;
        boolean everReady;
        boolean suspended;
        boolean servesClients = true;
        boolean ignoresSigterm;
        boolean receivedSigterm;
        boolean draining;
        String digest = "";
        /** Since when every probe of the process must fail; -1: probes can succeed. */
        long unresponsiveSinceMs = -1;
        /** When the present agent sent SIGTERM; -1: not sent. */
        long sigtermSentMs = -1;
        /** Additional delay before the fork completes. */
        long forkDelayMs;
        /** The agent had to assume that the process ended, and has not adopted it since. */
        boolean untracked;
        boolean everUntracked;

        boolean isRunning() {
            return forked && !dead;
        }
    }

    private record ScheduledTask(long dueMs, long order, Runnable task) {}

    private final Random random;
    private final Set<FaultKind> enabledFaults;
    private final long faultPhaseMs;
    private final StringBuilder record;
    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>((a, b) ->
                    a.dueMs != b.dueMs ? Long.compare(a.dueMs, b.dueMs) : Long.compare(a.order, b.order));
    private long order;
    private long timeMs;
    private boolean faultsEnded;

    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final Map<String, String> configurationFiles = new HashMap<>();
    private final Set<String> invalidConfigurations = new HashSet<>();
    private final Map<String, SupervisionPolicy> policies = new HashMap<>();
    private final Map<String, Double> crashProbability = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private int lastVersion;

    private Supervisor agent;
    private int incarnation;
    private long agentClockStartMs;
    private long agentStartedMs;
    private boolean replaying;
    private final Set<SimulatedProcess> observedProcesses = new HashSet<>();
    private String armedDeathPoint;
    private boolean diskFull;
    private boolean diskWasFull;

    private List<JournalRecord> journal = new ArrayList<>();
    /** The expected state according to the journal: the last announced start by name. */
    private final Map<String, Integer> lastAnnouncedStart = new HashMap<>();

    private final Map<String, String> announcedSecret = new HashMap<>();
    /** Secrets of all starts, by name and start number. */
    private final Map<String, String> secrets = new HashMap<>();

    private final Map<String, JournalRecord.ProcessEnded> lastEndRecord = new HashMap<>();
    private final Map<String, Integer> lastExitCode = new HashMap<>();
    private final Map<String, Long> lastEndMs = new HashMap<>();
    private Map<String, InstanceSpec> declared = new TreeMap<>();
    private final Map<String, Boolean> requestedRunning = new HashMap<>();
    private final Set<String> uncertainRequests = new HashSet<>();
    private String commandTarget = "";
    private JournalRecord.RollingRestartBegun rollingRestart;
    private final Map<String, Integer> restarting = new LinkedHashMap<>();
    /** Instances whose restart is complete but could not be written to the journal. */
    private final Set<String> unrecordedRestarts = new HashSet<>();

    int agentDeaths;
    int lockRefusals;
    int starts;
    int steps;
    int rollingRestartsDone;
    int rollingRestartsStopped;
    int timesGivenUp;
    int timesHung;
    int kills;
    int namesHeld;
    int holdersAdopted;

    SimulatedMachine(long seed, Set<FaultKind> enabledFaults, long faultPhaseMs, boolean keepRecord) {
        this.random = new Random(seed * 0x9E3779B97F4A7C15L + 77);
        this.enabledFaults = enabledFaults;
        this.faultPhaseMs = faultPhaseMs;
        this.record = keepRecord ? new StringBuilder() : null;
        int instanceCount = 1 + random.nextInt(4);
        for (int i = 0; i < instanceCount; i++) {
            String name = "" + (char) ('a' + i);
            names.add(name);
            long[] killDelaysMs = {-1, -1, 0, 400, 2500};
            policies.put(
                    name,
                    new SupervisionPolicy(
                            3000 + random.nextInt(2000),
                            1300 + random.nextInt(500),
                            800 + random.nextInt(600),
                            killDelaysMs[random.nextInt(killDelaysMs.length)],
                            50 + random.nextInt(200),
                            300 + random.nextInt(1500),
                            2 + random.nextInt(4),
                            500 + random.nextInt(2500),
                            100 + random.nextInt(200),
                            400 + random.nextInt(4000)));
            crashProbability.put(name, random.nextInt(3) == 0 ? random.nextDouble() : 0.05);
        }
    }

    String record() {
        return record == null ? "" : record.toString();
    }

    private void log(String what) {
        if (record != null) {
            record.append(timeMs).append(' ').append(what).append('\n');
        }
    }

    private RuleViolation violation(String what) {
        log("BROKEN " + what);
        return new RuleViolation("at " + timeMs + " ms: " + what);
    }

    private void schedule(long delay, Runnable what) {
        queue.add(new ScheduledTask(timeMs + delay, order++, what));
    }

    private boolean faultOccurs(FaultKind kind, double chance) {
        return random.nextDouble() < chance && !faultsEnded && enabledFaults.contains(kind);
    }

    private int latencyMs(int usual) {
        return faultOccurs(FaultKind.LATE, 0.06) ? random.nextInt(MAX_LATENESS_MS) : 1 + random.nextInt(usual);
    }

    // ---- the run ----

    void run() {
        writeDeclaredFiles(randomSite());
        createSite();
        schedule(300, this::injectFaults);
        schedule(500, this::issueCommand);
        while (timeMs < faultPhaseMs) {
            runNextTask();
        }
        endFaults();
        long endMs = timeMs + SETTLE_TIMEOUT_MS;
        String why = "";
        while (timeMs < endMs) {
            runNextTask();
            why = timeMs < endMs - SETTLE_TIMEOUT_MS + LAST_ANSWER_MS
                    ? "earlier answers may still arrive"
                    : differenceFromDeclared();
            if (why.isEmpty()) {
                break;
            }
        }
        if (!why.isEmpty()) {
            throw violation("declared state not reached " + SETTLE_TIMEOUT_MS + " ms after the last fault: " + why);
        }
        long stableUntilMs = timeMs + 1500;
        while (timeMs < stableUntilMs) {
            runNextTask();
            why = differenceFromDeclared();
            if (!why.isEmpty()) {
                throw violation("declared state was reached but not kept: " + why);
            }
        }
        if (lockRefusals > 0) {
            throw violation(lockRefusals + " starts found their name lock held by a known process");
        }
    }

    private void runNextTask() {
        ScheduledTask due = queue.poll();
        timeMs = due.dueMs;
        steps++;
        try {
            due.task.run();
        } catch (AgentDeath e) {
            agentDied();
        }
        checkRules();
    }

    private void scheduleForAgent(long delay, Runnable what) {
        int scheduledIncarnation = incarnation;
        schedule(delay, () -> {
            if (agent != null && incarnation == scheduledIncarnation) {
                what.run();
            }
        });
    }

    private long now() {
        return timeMs - agentClockStartMs;
    }

    // ---- the agent ----

    private void createSite() {
        journal.add(new JournalRecord.SiteDeclared(formatSite(declared)));
        startAgent();
    }

    private void startAgent() {
        incarnation++;
        log("agent " + incarnation + " starts");
        agentClockStartMs = random.nextBoolean() ? timeMs : timeMs - random.nextInt(1_000_000);
        agentStartedMs = timeMs;
        observedProcesses.clear();
        armedDeathPoint = null;
        unrecordedRestarts.clear();
        processes.forEach(p -> p.sigtermSentMs = -1);
        Supervisor supervisor = new Supervisor(this);
        replaying = true;
        for (JournalRecord e : journal) {
            supervisor.replay(e);
        }
        replaying = false;
        agent = supervisor;
        if (faultOccurs(FaultKind.COMPACT, 0.2)) {
            compact();
        }
        supervisor.searchForProcesses(now());
        supervisor.declare(now(), List.copyOf(declared.values()));
        if (agent != null) {
            scheduleForAgent(random.nextInt(TICK_MS), this::tick);
        }
    }

    private void tick() {
        scheduleForAgent(TICK_MS, this::tick);
        agent.tick(now());
        if (faultOccurs(FaultKind.COMPACT, 0.01)) {
            compact();
        }
    }

    private void compact() {
        if (diskFull) {
            return;
        }
        log("compacted");
        List<JournalRecord> compacted = new ArrayList<>();
        compacted.add(new JournalRecord.SiteDeclared(formatSite(declared)));
        compacted.addAll(agent.snapshot());
        journal = compacted;
        restarting.keySet().removeAll(unrecordedRestarts);
        unrecordedRestarts.clear();
        rollingRestart = agent.rollingRestartProgress() == null ? null : rollingRestart;
    }

    private void agentDied() {
        log("agent " + incarnation + " dies" + (armedDeathPoint == null ? "" : ", " + armedDeathPoint));
        agentDeaths++;
        agent = null;
        commandTarget = "";
        armedDeathPoint = null;
        incarnation++;
        for (SimulatedProcess p : List.copyOf(processes)) {
            if (!p.forked && random.nextBoolean()) {
                processes.remove(p); // the agent died before the fork
            } else if (!p.forked && faultOccurs(FaultKind.SLOW, 0.5)) {
                p.forkDelayMs =
                        3000 + random.nextInt(3 * (int) policies.get(p.name).forkMs());
                markUntracked(p);
            }
        }
        schedule(random.nextInt(3) == 0 ? 1 : random.nextInt(2500), () -> {
            if (agent == null) {
                startAgent();
            }
        });
    }

    private void markUntracked(SimulatedProcess p) {
        log("lost: " + p.name + " " + p.start);
        p.untracked = true;
        p.everUntracked = true;
    }

    /** A point in an action at which the agent may die. */
    private void deathPoint(String name) {
        if (armedDeathPoint != null && (armedDeathPoint.equals("any") || name.contains(armedDeathPoint))) {
            armedDeathPoint = name;
            throw new AgentDeath();
        }
    }

    // ---- actions ----

    @Override
    public boolean appendToJournal(JournalRecord journalRecord) {
        if (replaying) {
            throw violation("writes to the journal while replaying it: " + journalRecord);
        }
        String kind = journalRecord.getClass().getSimpleName();
        deathPoint("before note " + kind);
        if (diskFull) {
            log("disk full: " + journalRecord);
            if (journalRecord instanceof JournalRecord.DesiredStateSet w && !w.name().equals(commandTarget)) {
                uncertainRequests.add(w.name());
            }
            if (journalRecord instanceof JournalRecord.RollingRestartInstanceDone d) {
                unrecordedRestarts.add(d.name());
            }
            return false;
        }
        log("note " + journalRecord);
        checkRecord(journalRecord);
        journal.add(journalRecord);
        deathPoint("after note " + kind);
        return true;
    }

    private void checkRecord(JournalRecord journalRecord) {
        if (journalRecord instanceof JournalRecord.DesiredStateSet w) {
            if (w.running()
                    && declared.containsKey(w.name())
                    && !requestedRunning.getOrDefault(w.name(), true)
                    && !commandTarget.equals(w.name())
                    && !uncertainRequests.contains(w.name())) {
                throw violation(w.name() + " was stopped by an operator and is started without a command");
            }
            requestedRunning.put(w.name(), w.running());
            uncertainRequests.remove(w.name());
            lastEndRecord.remove(w.name());
        } else if (journalRecord instanceof JournalRecord.StartAnnounced i && secrets.containsValue(i.secret())) {
            if (!diskWasFull && lastExitCode.getOrDefault(i.name(), 0) != Supervisor.NAME_HELD_EXIT_CODE
                    || i.start() <= lastAnnouncedStart.getOrDefault(i.name(), 0)) {
                throw violation(i + " adopts a lock holder although the name was not found held");
            }
            for (SimulatedProcess p : processes) {
                if (p.name.equals(i.name()) && p.secret.equals(i.secret())) {
                    p.start = i.start();
                    p.untracked = false;
                    // the timeout starts anew for this agent
                    p.unresponsiveSinceMs = p.unresponsiveSinceMs < 0 ? -1 : timeMs;
                }
            }
            holdersAdopted++;
            applyAnnouncement(i);
        } else if (journalRecord instanceof JournalRecord.StartAnnounced i) {
            if (i.start() <= lastAnnouncedStart.getOrDefault(i.name(), 0) && runningProcess(i.name()) != null) {
                throw violation("start " + i.start() + " of " + i.name() + " reuses an earlier start number");
            }
            if (!declared.containsKey(i.name())) {
                throw violation(i.name() + " is started although it is not declared");
            }
            checkBackoff(i);
            applyAnnouncement(i);
        } else if (journalRecord instanceof JournalRecord.ProcessEnded e) {
            JournalRecord.ProcessEnded before = lastEndRecord.get(e.name());
            if (e.failures() > (before == null ? 0 : before.failures()) + 1 && !diskWasFull && incarnation == 1) {
                throw violation(e.name() + " counts " + e.failures() + " crashes after " + before);
            }
            if (e.code() == Supervisor.NAME_HELD_EXIT_CODE
                    && before != null
                    && !diskWasFull
                    && e.failures() > before.failures()) {
                throw violation(e.name() + " counts a held name as a crash: " + e + " after " + before);
            }
            lastEndRecord.put(e.name(), e);
            lastEndMs.put(e.name(), timeMs);
            lastExitCode.put(e.name(), e.code());
        } else if (journalRecord instanceof JournalRecord.RollingRestartBegun r) {
            rollingRestart = r;
            restarting.clear();
            unrecordedRestarts.clear();
        } else if (journalRecord instanceof JournalRecord.RollingRestartInstanceBegun t) {
            if (rollingRestart == null || rollingRestart.id() != t.id()) {
                throw violation("restarts " + t.name() + " for a rolling restart that has ended");
            }
            restarting.put(t.name(), t.start());
            lastEndRecord.remove(t.name());
            if (restarting.size() - unrecordedRestarts.size() > rollingRestart.mostDown()) {
                throw violation(restarting.keySet() + " are restarted at once, limit " + rollingRestart.mostDown());
            }
        } else if (journalRecord instanceof JournalRecord.RollingRestartInstanceDone d) {
            SimulatedProcess p = runningProcess(d.name());
            Integer before = restarting.remove(d.name());
            if (before == null || lastAnnouncedStart.get(d.name()) <= before || p != null && !p.everReady) {
                throw violation(d.name() + " is recorded as restarted but is not");
            }
        } else if (journalRecord instanceof JournalRecord.RollingRestartEnded r) {
            if (r.why().isEmpty()) {
                rollingRestartsDone++;
                if (restarting.size() > unrecordedRestarts.size()) {
                    throw violation("rolling restart is recorded as done, but " + restarting.keySet() + " are not");
                }
            } else {
                rollingRestartsStopped++;
            }
            rollingRestart = null;
        }
    }

    private void applyAnnouncement(JournalRecord.StartAnnounced i) {
        lastAnnouncedStart.put(i.name(), i.start());
        announcedSecret.put(i.name(), i.secret());
        secrets.put(i.name() + "/" + i.start(), i.secret());
    }

    private void checkBackoff(JournalRecord.StartAnnounced i) {
        JournalRecord.ProcessEnded e = lastEndRecord.get(i.name());
        if (e == null || e.failures() == 0) {
            return;
        }
        SupervisionPolicy p = policies.get(i.name());
        if (e.failures() >= p.giveUpAfter()) {
            throw violation(i.name() + " is started after it was given up: " + e);
        }
        long wait = Math.min(p.backoffMostMs(), p.backoffMs() * (1L << (e.failures() - 1)));
        if (e.code() != UNKNOWN_EXIT_CODE
                && e.code() != Supervisor.NAME_HELD_EXIT_CODE
                && !wasTerminated(i.name())
                && timeMs - lastEndMs.get(i.name()) < wait) {
            throw violation(i.name() + " is started " + (timeMs - lastEndMs.get(i.name())) + " ms after crash "
                    + e.failures() + ", not " + wait);
        }
    }

    private static final int UNKNOWN_EXIT_CODE = -1;

    private boolean wasTerminated(String name) {
        SimulatedProcess last = null;
        for (SimulatedProcess p : processes) {
            last = p.name.equals(name) ? p : last;
        }
        return last == null || last.receivedSigterm;
    }

    @Override
    public String secret() {
        return "s" + random.nextInt();
    }

    @Override
    public void spawn(String name, int start, String secret) {
        deathPoint("before spawn");
        log("spawn " + name + " " + start);
        if (lastAnnouncedStart.getOrDefault(name, 0) != start || !secret.equals(announcedSecret.get(name))) {
            throw violation("spawn of " + name + " " + start + " without its announcement");
        }
        for (SimulatedProcess p : processes) {
            if (p.name.equals(name) && !p.dead && !p.untracked) {
                throw violation("spawn of " + name + " " + start + " while start " + p.start + " exists");
            }
        }
        starts++;
        SimulatedProcess p = new SimulatedProcess();
        p.name = name;
        p.start = start;
        p.secret = secret;
        p.agentIncarnation = incarnation;
        configurationFiles.put(name, declared.get(name).configuration());
        if (faultOccurs(FaultKind.CRASH, 0.02)) {
            scheduleForAgent(latencyMs(30), () -> agent.spawnFailed(now(), name, start, "no memory"));
        } else {
            processes.add(p);
            long fork = faultOccurs(FaultKind.LATE, 0.2)
                    ? random.nextInt((int) policies.get(name).forkMs() - 20)
                    : 1 + random.nextInt(10);
            schedule(fork, () -> fork(p));
        }
        deathPoint("after spawn");
    }

    private void fork(SimulatedProcess p) {
        if (!processes.contains(p)) {
            return;
        }
        if (p.forkDelayMs > 0) {
            schedule(p.forkDelayMs, () -> fork(p));
            p.forkDelayMs = 0;
            return;
        }
        p.identity = new UniqueProcessId(pid(), timeMs, "boot");
        p.forked = true;
        log("forked " + p.name + " " + p.start + ", " + p.identity);
        if (agent != null && incarnation == p.agentIncarnation) {
            observedProcesses.add(p);
            int before = incarnation;
            scheduleForAgent(latencyMs(20), () -> {
                if (before == incarnation) {
                    agent.spawned(now(), p.name, p.start, p.identity);
                }
            });
            if (faultOccurs(FaultKind.TWICE, 0.02)) {
                scheduleForAgent(latencyMs(900), () -> agent.spawned(now(), p.name, p.start, p.identity));
            }
        }
        schedule(5 + random.nextInt(100), () -> lock(p));
        if (faultOccurs(FaultKind.CRASH, crashProbability.get(p.name) / 2)) {
            schedule(random.nextInt(300), () -> crash(p));
        }
        if (faultOccurs(FaultKind.HANG, 0.02)) {
            schedule(random.nextInt(900), () -> suspend(p));
        }
        p.ignoresSigterm = faultOccurs(FaultKind.IGNORE, 0.1);
        if (agent != null && incarnation == p.agentIncarnation) {
            deathPoint("after fork");
        }
    }

    private long pid() {
        Set<Long> used = new HashSet<>();
        processes.stream()
                .filter(p -> p.isRunning() || p.forked && p.identity.startTicks() == timeMs)
                .forEach(p -> used.add(p.identity.pid()));
        long pid = 1;
        while (used.contains(pid)) {
            pid++;
        }
        return pid;
    }

    private void lock(SimulatedProcess p) {
        if (!p.isRunning()) {
            return;
        }
        if (p.suspended) {
            schedule(50, () -> lock(p));
            return;
        }
        for (SimulatedProcess other : processes) {
            if (other != p && other.isRunning() && other.holdsLock && other.name.equals(p.name)) {
                if (p.everUntracked || other.everUntracked) {
                    namesHeld++;
                } else {
                    lockRefusals++;
                }
                end(p, Supervisor.NAME_HELD_EXIT_CODE);
                return;
            }
        }
        p.holdsLock = true;
        p.digest = configurationFiles.get(p.name);
        if (invalidConfigurations.contains(p.name + p.digest)) {
            schedule(random.nextInt(100), () -> end(p, 2));
            return;
        }
        schedule(random.nextInt(200), () -> p.controlChannelOpen = true);
        if (!faultOccurs(FaultKind.NEVER_READY, 0.1)) {
            schedule(200 + random.nextInt(random.nextInt(4) == 0 ? 2000 : 300), () -> becomeReady(p));
        }
    }

    private void becomeReady(SimulatedProcess p) {
        if (p.suspended) {
            schedule(50, () -> becomeReady(p));
            return;
        }
        p.controlChannelOpen = true;
        if (p.draining) {
            return;
        }
        p.ready = true;
        if (faultOccurs(FaultKind.CRASH, crashProbability.get(p.name))) {
            schedule(random.nextInt(4000), () -> crash(p));
        }
    }

    private void crash(SimulatedProcess p) {
        if (!faultsEnded && p.isRunning()) {
            int code = 1 + random.nextInt(5);
            end(p, code == Supervisor.NAME_HELD_EXIT_CODE ? 139 : code);
        }
    }

    private void end(SimulatedProcess p, int code) {
        if (!p.isRunning()) {
            return;
        }
        log("ends " + p.name + " " + p.start + ", code " + code);
        p.dead = true;
        p.code = code;
        reportEnd(p);
    }

    private void reportEnd(SimulatedProcess p) {
        if (agent != null && observedProcesses.contains(p)) {
            int code = p.agentIncarnation == incarnation ? p.code : -1;
            scheduleForAgent(latencyMs(100), () -> agent.processEnded(now(), p.name, p.start, code));
            if (faultOccurs(FaultKind.TWICE, 0.1)) {
                scheduleForAgent(latencyMs(2500), () -> agent.processEnded(now(), p.name, p.start, code));
            }
        }
    }

    private void suspend(SimulatedProcess p) {
        if (faultsEnded || !p.isRunning()) {
            return;
        }
        log("SIGSTOP " + p.name);
        p.suspended = true;
        markUnresponsive(p);
        if (random.nextBoolean()) {
            schedule(random.nextInt(6000), () -> resume(p));
        }
    }

    private void resume(SimulatedProcess p) {
        if (p.isRunning() && p.suspended) {
            log("SIGCONT " + p.name);
            p.suspended = false;
            markResponsive(p);
            if (p.receivedSigterm && !p.ignoresSigterm) {
                drain(p);
            }
        }
    }

    private void markUnresponsive(SimulatedProcess p) {
        if (p.unresponsiveSinceMs < 0 && p.everReady) {
            p.unresponsiveSinceMs = timeMs;
        }
    }

    private void markResponsive(SimulatedProcess p) {
        if (!p.suspended && p.servesClients) {
            p.unresponsiveSinceMs = -1;
        }
    }

    @Override
    public void search(String name, int start, UniqueProcessId identity, String secret) {
        deathPoint("before search");
        // otherwise earlier starts may be searched for, too
        if (!diskWasFull && lastExitCode.getOrDefault(name, 0) != Supervisor.NAME_HELD_EXIT_CODE) {
            requireLastStart(name, start, "search");
        }
        if (!secret.equals(secrets.get(name + "/" + start))) {
            throw violation("searches for " + name + " with the wrong secret");
        }
        if (faultOccurs(FaultKind.LOST, 0.05)) {
            return;
        }
        int searchDelayMs = latencyMs(30);
        scheduleForAgent(searchDelayMs, () -> {
            SimulatedProcess found = null;
            for (SimulatedProcess p : processes) {
                if (p.isRunning()
                        && (identity != null
                                ? p.identity.equals(identity)
                                : p.name.equals(name) && p.secret.equals(secret))) {
                    found = p;
                }
            }
            if (found != null && identity != null && faultOccurs(FaultKind.UNSEEN, 0.02)) {
                markUntracked(found);
                found = null;
            }
            SimulatedProcess foundProcess = found;
            scheduleForAgent(latencyMs(30), () -> {
                if (foundProcess != null) {
                    observedProcesses.add(foundProcess);
                }
                agent.searchCompleted(now(), name, start, foundProcess == null ? null : foundProcess.identity);
                if (foundProcess != null && foundProcess.dead) {
                    reportEnd(foundProcess);
                }
            });
        });
        deathPoint("after search");
    }

    private void requireLastStart(String name, int start, String what) {
        if (lastAnnouncedStart.getOrDefault(name, 0) != start) {
            throw violation(what + " of " + name + " " + start + ": the last start is " + lastAnnouncedStart.get(name));
        }
    }

    private SimulatedProcess processOf(String name, UniqueProcessId identity, String what) {
        if (identity == null) {
            throw violation(what + " of " + name + " without a process");
        }
        for (SimulatedProcess p : processes) {
            if (p.forked && p.identity.equals(identity)) {
                if (!p.name.equals(name) || p.start != lastAnnouncedStart.get(name)) {
                    throw violation(what + " for " + name + " hits start " + p.start + " of " + p.name);
                }
                return p;
            }
        }
        throw violation(what + " of " + name + ": no process ever had identity " + identity);
    }

    @Override
    public void terminate(String name, UniqueProcessId identity) {
        deathPoint("before terminate");
        log("SIGTERM " + name);
        SimulatedProcess p = processOf(name, identity, "SIGTERM");
        if (p.sigtermSentMs < 0) {
            p.sigtermSentMs = timeMs;
        }
        schedule(random.nextInt(30), () -> {
            if (p.isRunning()) {
                p.receivedSigterm = true;
                if (!p.suspended && !p.ignoresSigterm) {
                    drain(p);
                }
            }
        });
        deathPoint("after terminate");
    }

    private void drain(SimulatedProcess p) {
        p.ready = false;
        p.draining = true;
        schedule(10 + random.nextInt(1000), () -> endDrained(p));
    }

    private void endDrained(SimulatedProcess p) {
        if (p.suspended) {
            schedule(50, () -> endDrained(p));
        } else {
            end(p, 0);
        }
    }

    @Override
    public void kill(String name, UniqueProcessId identity) {
        deathPoint("before kill");
        log("SIGKILL " + name);
        SimulatedProcess p = processOf(name, identity, "SIGKILL");
        Instance instance = agent.instance(name);
        long after = policies.get(name).killAfterMs();
        if (after < 0 || instance.state() != InstanceState.HUNG || now() - instance.stateSinceMs() < after) {
            throw violation("SIGKILL for " + name + ", " + instance.state() + ", its policy says " + after);
        }
        kills++;
        schedule(random.nextInt(30), () -> end(p, 137));
        deathPoint("after kill");
    }

    @Override
    public void probe(String name, int start) {
        deathPoint("before probe");
        requireLastStart(name, start, "probe");
        if (faultOccurs(FaultKind.LOST, 0.004)) {
            return;
        }
        scheduleForAgent(latencyMs(10), () -> {
            SimulatedProcess p = runningProcess(name);
            if (p == null || p.start != start || !p.controlChannelOpen && !p.suspended) {
                scheduleForAgent(latencyMs(10), () -> agent.probeFailed(now(), name, start, "nobody listens"));
            } else if (p.suspended) {
                scheduleForAgent(PROBE_TIMEOUT_MS, () -> agent.probeFailed(now(), name, start, "no answer"));
            } else {
                boolean ready = p.ready;
                String digest = p.digest;
                String notServing = p.servesClients ? "" : "mn is not answered";
                scheduleForAgent(latencyMs(10), () -> {
                    p.everReady |= ready;
                    agent.probed(now(), name, start, ready, notServing, digest);
                });
                if (faultOccurs(FaultKind.TWICE, 0.02)) {
                    scheduleForAgent(latencyMs(900), () -> {
                        p.everReady |= ready;
                        agent.probed(now(), name, start, ready, notServing, digest);
                    });
                }
            }
        });
        deathPoint("after probe");
    }

    @Override
    public void reload(String name, int start) {
        deathPoint("before reload");
        requireLastStart(name, start, "reload");
        log("reload " + name);
        configurationFiles.put(name, declared.get(name) == null ? "" : declared.get(name).configuration());
        scheduleForAgent(latencyMs(60), () -> {
            SimulatedProcess p = runningProcess(name);
            if (p == null || p.start != start || !p.controlChannelOpen || p.suspended) {
                scheduleForAgent(500, () -> agent.reloadFailed(now(), name, start, "no answer"));
                return;
            }
            String file = configurationFiles.get(name);
            boolean taken = !invalidConfigurations.contains(name + file);
            p.digest = taken ? file : p.digest;
            log(name + (taken ? " takes " : " refuses ") + file);
            String digest = p.digest;
            scheduleForAgent(
                    latencyMs(60), () -> agent.reloaded(now(), name, start, taken, taken ? "" : "line 1", digest));
        });
        deathPoint("after reload");
    }

    @Override
    public void logEvent(String name, String what) {
        log("say " + name + ": " + what);
        timesGivenUp += what.startsWith("given up") ? 1 : 0;
        timesHung += what.startsWith("hung") ? 1 : 0;
    }

    // ---- faults and commands ----

    private void injectFaults() {
        if (faultsEnded) {
            return;
        }
        schedule(100 + random.nextInt(900), this::injectFaults);
        SimulatedProcess p = processes.isEmpty() ? null : processes.get(random.nextInt(processes.size()));
        if (p != null && faultOccurs(FaultKind.HANG, 0.06)) {
            suspend(p);
        }
        if (p != null && p.isRunning() && faultOccurs(FaultKind.HANG, 0.06)) {
            log("serves nobody: " + p.name);
            p.servesClients = false;
            markUnresponsive(p);
            if (random.nextBoolean()) {
                schedule(random.nextInt(5000), () -> {
                    p.servesClients = true;
                    markResponsive(p);
                });
            }
        }
        if (p != null && faultOccurs(FaultKind.CRASH, 0.05)) {
            crash(p);
        }
        if (faultOccurs(FaultKind.DISK, 0.04) && !diskFull) {
            log("disk full");
            diskFull = true;
            diskWasFull = true;
            schedule(random.nextInt(3000), () -> diskFull = false);
        }
        if (agent != null && armedDeathPoint == null && faultOccurs(FaultKind.DEATH, 0.12)) {
            String[] deathPoints = {
                "any",
                "note",
                "before note",
                "after note",
                "spawn",
                "after fork",
                "note ProcessStarted",
                "note StartAnnounced",
                "terminate",
                "note ProcessEnded",
                "RollingRestart",
                "reload",
                "search",
                "note DesiredStateSet",
                "kill"
            };
            armedDeathPoint = deathPoints[random.nextInt(deathPoints.length)];
            int currentIncarnation = incarnation;
            schedule(4000, () -> {
                if (agent != null && incarnation == currentIncarnation && !faultsEnded) {
                    throw new AgentDeath();
                }
            });
        }
    }

    private void issueCommand() {
        if (faultsEnded) {
            return;
        }
        schedule(100 + random.nextInt(2500), this::issueCommand);
        if (agent == null) {
            return;
        }
        String name = names.get(random.nextInt(names.size()));
        int what = random.nextInt(10);
        if (what < 4 && faultOccurs(FaultKind.DECLARE, 1)) {
            Map<String, InstanceSpec> site = randomSite();
            JournalRecord.SiteDeclared journalRecord = new JournalRecord.SiteDeclared(formatSite(site));
            if (appendToJournal(journalRecord)) {
                declare(site);
                agent.declare(now(), List.copyOf(declared.values()));
            }
        } else if (what < 6 && faultOccurs(FaultKind.WISH, 1)) {
            boolean running = random.nextInt(3) > 0;
            runCommand(
                    name, running, "want " + name + " " + running, () -> agent.setDesiredState(now(), name, running));
        } else if (what == 6 && faultOccurs(FaultKind.WISH, 1)) {
            runCommand(name, true, "restart " + name, () -> agent.restart(now(), name));
        } else if (what == 7 && faultOccurs(FaultKind.WISH, 1)) {
            log("command reload " + name + ": " + agent.reload(now(), name));
        } else if (what > 7 && faultOccurs(FaultKind.ROLL, 1)) {
            List<String> selected = new ArrayList<>(names);
            selected.removeIf(n -> random.nextInt(5) == 0);
            log("command roll " + selected);
            log(agent.beginRollingRestart(now(), selected, 1 + random.nextInt(2)));
        }
    }

    private void runCommand(String name, boolean running, String description, Supplier<String> call) {
        log("command " + description);
        commandTarget = name;
        String why = call.get();
        commandTarget = "";
        if (why == null && requestedRunning.getOrDefault(name, true) != running) {
            throw violation("accepted but not written to the journal: " + description);
        }
        if (why == null && !declared.containsKey(name)) {
            throw violation("accepted for a name that is not declared: " + description);
        }
        log(why == null ? "done" : why);
    }

    private Map<String, InstanceSpec> randomSite() {
        Map<String, InstanceSpec> site = new TreeMap<>();
        for (String name : names) {
            InstanceSpec old = declared.get(name);
            if (random.nextInt(6) == 0) {
                continue;
            }
            String launch = old != null && random.nextInt(4) > 0 ? old.launch() : "L" + ++lastVersion;
            String configuration = old != null && random.nextBoolean() ? old.configuration() : "C" + ++lastVersion;
            if (random.nextInt(12) == 0) {
                invalidConfigurations.add(name + "C" + lastVersion);
            }
            site.put(name, new InstanceSpec(name, launch, configuration, policies.get(name)));
        }
        return site;
    }

    /** Applies a declaration once it is in the journal. */
    private void declare(Map<String, InstanceSpec> site) {
        log("declared " + formatSite(site));
        for (String name : names) {
            if (!site.containsKey(name)) {
                requestedRunning.put(name, true);
                lastEndRecord.remove(name);
            }
        }
        writeDeclaredFiles(site);
    }

    private void writeDeclaredFiles(Map<String, InstanceSpec> site) {
        declared = site;
        site.values().forEach(s -> configurationFiles.put(s.name(), s.configuration()));
    }

    private static String formatSite(Map<String, InstanceSpec> site) {
        StringBuilder b = new StringBuilder();
        site.values()
                .forEach(s -> b.append(s.name())
                        .append(' ')
                        .append(s.launch())
                        .append(' ')
                        .append(s.configuration())
                        .append(';'));
        return b.toString();
    }

    private void endFaults() {
        log("no faults from here on");
        faultsEnded = true;
        diskFull = false;
        armedDeathPoint = null;
        for (SimulatedProcess p : List.copyOf(processes)) {
            p.servesClients = true;
            p.ignoresSigterm = false;
            boolean wasSuspended = p.suspended;
            resume(p);
            markResponsive(p);
            if (p.isRunning() && p.receivedSigterm && !p.draining && !wasSuspended) {
                drain(p);
            }
        }
    }

    // ---- rules ----

    private SimulatedProcess runningProcess(String name) {
        SimulatedProcess found = null;
        for (SimulatedProcess p : processes) {
            if (p.isRunning() && p.name.equals(name) && (found == null || !found.holdsLock)) {
                found = p;
            }
        }
        return found;
    }

    private void checkRules() {
        if (processes.size() > 40) {
            processes.removeIf(p -> p.dead && !observedProcesses.contains(p));
        }
        Set<String> lockedNames = new HashSet<>();
        for (SimulatedProcess p : processes) {
            if (p.dead) {
                continue;
            }
            if (p.holdsLock && !lockedNames.add(p.name)) {
                throw violation("two processes of " + p.name);
            }
            if (agent == null || p.untracked) {
                continue;
            }
            Instance instance = agent.instance(p.name);
            if (instance == null || !instance.state().mayRun()) {
                throw violation(
                        p.name + " is " + (instance == null ? "dropped" : instance.state()) + " but its process runs");
            }
            if (!p.forked) {
                continue;
            }
            // an agent started after the removal of an instance does not know its policy
            SupervisionPolicy policy = declared.containsKey(p.name) ? policies.get(p.name) : SupervisionPolicy.USUAL;
            if (p.unresponsiveSinceMs >= 0
                    && !p.draining
                    && !instance.searching // a lost search is repeated only after a delay
                    && instance.state() != InstanceState.HUNG
                    && instance.state() != InstanceState.STOPPING
                    && timeMs - Math.max(p.unresponsiveSinceMs, agentStartedMs)
                            > policy.hungAfterMs() * 2 + HUNG_TOLERANCE_MS) {
                throw violation(p.name + " is " + instance.state() + ", unresponsive since " + p.unresponsiveSinceMs);
            }
            if (p.sigtermSentMs >= 0
                    && instance.state() != InstanceState.HUNG
                    && timeMs - p.sigtermSentMs > policy.stopWithinMs() + 2 * TICK_MS) {
                throw violation(p.name + " is " + instance.state() + ", SIGTERM was sent at " + p.sigtermSentMs);
            }
        }
    }

    /** How the site differs from its declared state; empty if it does not. */
    private String differenceFromDeclared() {
        if (agent == null) {
            return "no agent";
        }
        if (agent.rollingRestartProgress() != null) {
            return "rolling restart: " + agent.rollingRestartProgress();
        }
        for (Instance instance : agent.instances()) {
            if (!declared.containsKey(instance.name)) {
                return instance.name + " is not declared but is " + instance.state();
            }
        }
        for (String name : names) {
            SimulatedProcess p = runningProcess(name);
            Instance instance = agent.instance(name);
            InstanceSpec spec = declared.get(name);
            if (spec == null) {
                if (p != null && !p.untracked) {
                    return name + " runs but is not declared";
                }
                continue;
            }
            if (instance == null) {
                return name + " is declared but unknown";
            }
            boolean running =
                    uncertainRequests.contains(name) ? instance.wanted() : requestedRunning.getOrDefault(name, true);
            if (instance.wanted() != running) {
                return name + " wanted running: " + instance.wanted() + ", requested: " + running;
            }
            if (!running) {
                if (p != null && !p.untracked
                        || instance.state() != InstanceState.STOPPED && instance.state() != InstanceState.DECLARED) {
                    return name + " should be stopped but is " + instance.state();
                }
            } else if (instance.state() == InstanceState.GIVEN_UP) {
                if (p != null && !p.untracked
                        || instance.consecutiveCrashes() < policies.get(name).giveUpAfter()) {
                    return name + " is given up after " + instance.consecutiveCrashes();
                }
            } else if (instance.state() != InstanceState.READY || p == null || !p.ready) {
                return name + " is " + instance.state() + " " + instance.fault();
            } else if (!p.digest.equals(spec.configuration())
                    && instance.refusalReason().isEmpty()) {
                return name + " has " + p.digest + " instead of " + spec.configuration();
            }
        }
        return "";
    }
}
