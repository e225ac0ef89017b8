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
        /** A process that ignores SIGTERM. */
        IGNORE,
        NEVER_READY,
        /** An operator command. */
        WISH,
        DECLARE,
        ROLL,
        LATE,
        /** A request whose answer is lost. */
        LOST,
        /** An answer that arrives twice. */
        TWICE,
        COMPACT,
        /** A fork that completes after the agent has stopped waiting for it. */
        SLOW,
        /** A running process that a search does not find. */
        UNSEEN
    }

    private static final int MAX_LATENESS_MS = 900;
    private static final int PROBE_TIMEOUT_MS = 300;
    /** Allows for a lost health check, the next one until its timeout, late earlier answers, and ticks. */
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
        /** Since when every health check of the process must fail; -1: health checks can succeed. */
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
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            (a, b) -> a.dueMs != b.dueMs ? Long.compare(a.dueMs, b.dueMs) : Long.compare(a.order, b.order));
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
    /** Processes whose end the present agent notices. */
    private final Set<SimulatedProcess> observedProcesses = new HashSet<>();
    /** The agent dies at the next point whose name contains this text, or at any point; null: it does not. */
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
    /** Instances whose desired state the agent may have changed without a journal record, since the disk was full. */
    private final Set<String> uncertainRequests = new HashSet<>();
    /** The instance that the current operator command is for; empty outside a command. */
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

    private void schedule(long delayMs, Runnable what) {
        queue.add(new ScheduledTask(timeMs + delayMs, order++, what));
    }

    private boolean faultOccurs(FaultKind kind, double chance) {
        return random.nextDouble() < chance && !faultsEnded && enabledFaults.contains(kind);
    }

    private int latencyMs(int typicalMaxMs) {
        return faultOccurs(FaultKind.LATE, 0.06) ? random.nextInt(MAX_LATENESS_MS) : 1 + random.nextInt(typicalMaxMs);
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

    private void scheduleForAgent(long delayMs, Runnable what) {
        int scheduledIncarnation = incarnation;
        schedule(delayMs, () -> {
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
        processes.forEach(process -> process.sigtermSentMs = -1);
        Supervisor supervisor = new Supervisor(this);
        replaying = true;
        for (JournalRecord journalRecord : journal) {
            supervisor.replay(journalRecord);
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
        for (SimulatedProcess process : List.copyOf(processes)) {
            if (!process.forked && random.nextBoolean()) {
                processes.remove(process); // the agent died before the fork
            } else if (!process.forked && faultOccurs(FaultKind.SLOW, 0.5)) {
                process.forkDelayMs = 3000
                        + random.nextInt(3 * (int) policies.get(process.name).forkMs());
                markUntracked(process);
            }
        }
        schedule(random.nextInt(3) == 0 ? 1 : random.nextInt(2500), () -> {
            if (agent == null) {
                startAgent();
            }
        });
    }

    private void markUntracked(SimulatedProcess process) {
        log("lost: " + process.name + " " + process.start);
        process.untracked = true;
        process.everUntracked = true;
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
            if (journalRecord instanceof JournalRecord.DesiredStateSet desired
                    && !desired.name().equals(commandTarget)) {
                uncertainRequests.add(desired.name());
            }
            if (journalRecord instanceof JournalRecord.RollingRestartInstanceDone instanceDone) {
                unrecordedRestarts.add(instanceDone.name());
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
        if (journalRecord instanceof JournalRecord.DesiredStateSet desired) {
            if (desired.running()
                    && declared.containsKey(desired.name())
                    && !requestedRunning.getOrDefault(desired.name(), true)
                    && !commandTarget.equals(desired.name())
                    && !uncertainRequests.contains(desired.name())) {
                throw violation(desired.name() + " was stopped by an operator and is started without a command");
            }
            requestedRunning.put(desired.name(), desired.running());
            uncertainRequests.remove(desired.name());
            lastEndRecord.remove(desired.name());
        } else if (journalRecord instanceof JournalRecord.StartAnnounced announcement
                && secrets.containsValue(announcement.secret())) {
            if (!diskWasFull && lastExitCode.getOrDefault(announcement.name(), 0) != Supervisor.NAME_HELD_EXIT_CODE
                    || announcement.start() <= lastAnnouncedStart.getOrDefault(announcement.name(), 0)) {
                throw violation(announcement + " adopts a lock holder although the name was not found held");
            }
            for (SimulatedProcess process : processes) {
                if (process.name.equals(announcement.name()) && process.secret.equals(announcement.secret())) {
                    process.start = announcement.start();
                    process.untracked = false;
                    // the timeout starts anew for this agent
                    process.unresponsiveSinceMs = process.unresponsiveSinceMs < 0 ? -1 : timeMs;
                }
            }
            holdersAdopted++;
            applyAnnouncement(announcement);
        } else if (journalRecord instanceof JournalRecord.StartAnnounced announcement) {
            if (announcement.start() <= lastAnnouncedStart.getOrDefault(announcement.name(), 0)
                    && runningProcess(announcement.name()) != null) {
                throw violation("start " + announcement.start() + " of " + announcement.name()
                        + " reuses an earlier start number");
            }
            if (!declared.containsKey(announcement.name())) {
                throw violation(announcement.name() + " is started although it is not declared");
            }
            checkBackoff(announcement);
            applyAnnouncement(announcement);
        } else if (journalRecord instanceof JournalRecord.ProcessEnded ended) {
            JournalRecord.ProcessEnded before = lastEndRecord.get(ended.name());
            if (ended.failures() > (before == null ? 0 : before.failures()) + 1 && !diskWasFull && incarnation == 1) {
                throw violation(ended.name() + " counts " + ended.failures() + " crashes after " + before);
            }
            if (ended.code() == Supervisor.NAME_HELD_EXIT_CODE
                    && before != null
                    && !diskWasFull
                    && ended.failures() > before.failures()) {
                throw violation(ended.name() + " counts a held name as a crash: " + ended + " after " + before);
            }
            lastEndRecord.put(ended.name(), ended);
            lastEndMs.put(ended.name(), timeMs);
            lastExitCode.put(ended.name(), ended.code());
        } else if (journalRecord instanceof JournalRecord.RollingRestartBegun begun) {
            rollingRestart = begun;
            restarting.clear();
            unrecordedRestarts.clear();
        } else if (journalRecord instanceof JournalRecord.RollingRestartInstanceBegun instanceBegun) {
            if (rollingRestart == null || rollingRestart.id() != instanceBegun.id()) {
                throw violation("restarts " + instanceBegun.name() + " for a rolling restart that has ended");
            }
            restarting.put(instanceBegun.name(), instanceBegun.start());
            lastEndRecord.remove(instanceBegun.name());
            if (restarting.size() - unrecordedRestarts.size() > rollingRestart.mostDown()) {
                throw violation(restarting.keySet() + " are restarted at once, limit " + rollingRestart.mostDown());
            }
        } else if (journalRecord instanceof JournalRecord.RollingRestartInstanceDone instanceDone) {
            SimulatedProcess process = runningProcess(instanceDone.name());
            Integer before = restarting.remove(instanceDone.name());
            if (before == null
                    || lastAnnouncedStart.get(instanceDone.name()) <= before
                    || process != null && !process.everReady) {
                throw violation(instanceDone.name() + " is recorded as restarted but is not");
            }
        } else if (journalRecord instanceof JournalRecord.RollingRestartEnded rollingRestartEnded) {
            if (rollingRestartEnded.why().isEmpty()) {
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

    private void applyAnnouncement(JournalRecord.StartAnnounced announcement) {
        lastAnnouncedStart.put(announcement.name(), announcement.start());
        announcedSecret.put(announcement.name(), announcement.secret());
        secrets.put(announcement.name() + "/" + announcement.start(), announcement.secret());
    }

    private void checkBackoff(JournalRecord.StartAnnounced announcement) {
        JournalRecord.ProcessEnded lastEnd = lastEndRecord.get(announcement.name());
        if (lastEnd == null || lastEnd.failures() == 0) {
            return;
        }
        SupervisionPolicy policy = policies.get(announcement.name());
        if (lastEnd.failures() >= policy.giveUpAfter()) {
            throw violation(announcement.name() + " is started after it was given up: " + lastEnd);
        }
        long backoffMs = Math.min(policy.backoffMostMs(), policy.backoffMs() * (1L << (lastEnd.failures() - 1)));
        if (lastEnd.code() != UNKNOWN_EXIT_CODE
                && lastEnd.code() != Supervisor.NAME_HELD_EXIT_CODE
                && !wasTerminated(announcement.name())
                && timeMs - lastEndMs.get(announcement.name()) < backoffMs) {
            throw violation(announcement.name() + " is started "
                    + (timeMs - lastEndMs.get(announcement.name())) + " ms after crash " + lastEnd.failures() + ", not "
                    + backoffMs);
        }
    }

    private static final int UNKNOWN_EXIT_CODE = -1;

    private boolean wasTerminated(String name) {
        SimulatedProcess last = null;
        for (SimulatedProcess process : processes) {
            last = process.name.equals(name) ? process : last;
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
        for (SimulatedProcess process : processes) {
            if (process.name.equals(name) && !process.dead && !process.untracked) {
                throw violation("spawn of " + name + " " + start + " while start " + process.start + " exists");
            }
        }
        starts++;
        SimulatedProcess process = new SimulatedProcess();
        process.name = name;
        process.start = start;
        process.secret = secret;
        process.agentIncarnation = incarnation;
        configurationFiles.put(name, declared.get(name).configuration());
        if (faultOccurs(FaultKind.CRASH, 0.02)) {
            scheduleForAgent(latencyMs(30), () -> agent.spawnFailed(now(), name, start, "no memory"));
        } else {
            processes.add(process);
            long fork = faultOccurs(FaultKind.LATE, 0.2)
                    ? random.nextInt((int) policies.get(name).forkMs() - 20)
                    : 1 + random.nextInt(10);
            schedule(fork, () -> fork(process));
        }
        deathPoint("after spawn");
    }

    private void fork(SimulatedProcess process) {
        if (!processes.contains(process)) {
            return;
        }
        if (process.forkDelayMs > 0) {
            schedule(process.forkDelayMs, () -> fork(process));
            process.forkDelayMs = 0;
            return;
        }
        process.identity = new UniqueProcessId(pid(), timeMs, "boot");
        process.forked = true;
        log("forked " + process.name + " " + process.start + ", " + process.identity);
        if (agent != null && incarnation == process.agentIncarnation) {
            observedProcesses.add(process);
            int before = incarnation;
            scheduleForAgent(latencyMs(20), () -> {
                if (before == incarnation) {
                    agent.spawned(now(), process.name, process.start, process.identity);
                }
            });
            if (faultOccurs(FaultKind.TWICE, 0.02)) {
                scheduleForAgent(
                        latencyMs(900), () -> agent.spawned(now(), process.name, process.start, process.identity));
            }
        }
        schedule(5 + random.nextInt(100), () -> lock(process));
        if (faultOccurs(FaultKind.CRASH, crashProbability.get(process.name) / 2)) {
            schedule(random.nextInt(300), () -> crash(process));
        }
        if (faultOccurs(FaultKind.HANG, 0.02)) {
            schedule(random.nextInt(900), () -> suspend(process));
        }
        process.ignoresSigterm = faultOccurs(FaultKind.IGNORE, 0.1);
        if (agent != null && incarnation == process.agentIncarnation) {
            deathPoint("after fork");
        }
    }

    private long pid() {
        Set<Long> used = new HashSet<>();
        processes.stream()
                .filter(process -> process.isRunning() || process.forked && process.identity.startTicks() == timeMs)
                .forEach(process -> used.add(process.identity.pid()));
        long pid = 1;
        while (used.contains(pid)) {
            pid++;
        }
        return pid;
    }

    private void lock(SimulatedProcess process) {
        if (!process.isRunning()) {
            return;
        }
        if (process.suspended) {
            schedule(50, () -> lock(process));
            return;
        }
        for (SimulatedProcess other : processes) {
            if (other != process && other.isRunning() && other.holdsLock && other.name.equals(process.name)) {
                if (process.everUntracked || other.everUntracked) {
                    namesHeld++;
                } else {
                    lockRefusals++;
                }
                exit(process, Supervisor.NAME_HELD_EXIT_CODE);
                return;
            }
        }
        process.holdsLock = true;
        process.digest = configurationFiles.get(process.name);
        if (invalidConfigurations.contains(process.name + process.digest)) {
            schedule(random.nextInt(100), () -> exit(process, 2));
            return;
        }
        schedule(random.nextInt(200), () -> process.controlChannelOpen = true);
        if (!faultOccurs(FaultKind.NEVER_READY, 0.1)) {
            schedule(200 + random.nextInt(random.nextInt(4) == 0 ? 2000 : 300), () -> becomeReady(process));
        }
    }

    private void becomeReady(SimulatedProcess process) {
        if (process.suspended) {
            schedule(50, () -> becomeReady(process));
            return;
        }
        process.controlChannelOpen = true;
        if (process.draining) {
            return;
        }
        process.ready = true;
        if (faultOccurs(FaultKind.CRASH, crashProbability.get(process.name))) {
            schedule(random.nextInt(4000), () -> crash(process));
        }
    }

    private void crash(SimulatedProcess process) {
        if (!faultsEnded && process.isRunning()) {
            int code = 1 + random.nextInt(5);
            exit(process, code == Supervisor.NAME_HELD_EXIT_CODE ? 139 : code);
        }
    }

    private void exit(SimulatedProcess process, int code) {
        if (!process.isRunning()) {
            return;
        }
        log("ends " + process.name + " " + process.start + ", code " + code);
        process.dead = true;
        process.code = code;
        reportEnd(process);
    }

    private void reportEnd(SimulatedProcess process) {
        if (agent != null && observedProcesses.contains(process)) {
            int code = process.agentIncarnation == incarnation ? process.code : -1;
            scheduleForAgent(latencyMs(100), () -> agent.processEnded(now(), process.name, process.start, code));
            if (faultOccurs(FaultKind.TWICE, 0.1)) {
                scheduleForAgent(latencyMs(2500), () -> agent.processEnded(now(), process.name, process.start, code));
            }
        }
    }

    private void suspend(SimulatedProcess process) {
        if (faultsEnded || !process.isRunning()) {
            return;
        }
        log("SIGSTOP " + process.name);
        process.suspended = true;
        markUnresponsive(process);
        if (random.nextBoolean()) {
            schedule(random.nextInt(6000), () -> resume(process));
        }
    }

    private void resume(SimulatedProcess process) {
        if (process.isRunning() && process.suspended) {
            log("SIGCONT " + process.name);
            process.suspended = false;
            markResponsive(process);
            if (process.receivedSigterm && !process.ignoresSigterm) {
                drain(process);
            }
        }
    }

    private void markUnresponsive(SimulatedProcess process) {
        if (process.unresponsiveSinceMs < 0 && process.everReady) {
            process.unresponsiveSinceMs = timeMs;
        }
    }

    private void markResponsive(SimulatedProcess process) {
        if (!process.suspended && process.servesClients) {
            process.unresponsiveSinceMs = -1;
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
            for (SimulatedProcess process : processes) {
                if (process.isRunning()
                        && (identity != null
                                ? process.identity.equals(identity)
                                : process.name.equals(name) && process.secret.equals(secret))) {
                    found = process;
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
        for (SimulatedProcess process : processes) {
            if (process.forked && process.identity.equals(identity)) {
                if (!process.name.equals(name) || process.start != lastAnnouncedStart.get(name)) {
                    throw violation(what + " for " + name + " hits start " + process.start + " of " + process.name);
                }
                return process;
            }
        }
        throw violation(what + " of " + name + ": no process ever had identity " + identity);
    }

    @Override
    public void terminate(String name, UniqueProcessId identity) {
        deathPoint("before terminate");
        log("SIGTERM " + name);
        SimulatedProcess process = processOf(name, identity, "SIGTERM");
        if (process.sigtermSentMs < 0) {
            process.sigtermSentMs = timeMs;
        }
        schedule(random.nextInt(30), () -> {
            if (process.isRunning()) {
                process.receivedSigterm = true;
                if (!process.suspended && !process.ignoresSigterm) {
                    drain(process);
                }
            }
        });
        deathPoint("after terminate");
    }

    private void drain(SimulatedProcess process) {
        process.ready = false;
        process.draining = true;
        schedule(10 + random.nextInt(1000), () -> exitDrained(process));
    }

    private void exitDrained(SimulatedProcess process) {
        if (process.suspended) {
            schedule(50, () -> exitDrained(process));
        } else {
            exit(process, 0);
        }
    }

    @Override
    public void kill(String name, UniqueProcessId identity) {
        deathPoint("before kill");
        log("SIGKILL " + name);
        SimulatedProcess process = processOf(name, identity, "SIGKILL");
        Instance instance = agent.instance(name);
        long after = policies.get(name).killAfterMs();
        if (after < 0 || instance.state() != InstanceState.HUNG || now() - instance.stateSinceMs() < after) {
            throw violation("SIGKILL for " + name + ", " + instance.state() + ", its policy says " + after);
        }
        kills++;
        schedule(random.nextInt(30), () -> exit(process, 137));
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
            SimulatedProcess process = runningProcess(name);
            if (process == null || process.start != start || !process.controlChannelOpen && !process.suspended) {
                scheduleForAgent(latencyMs(10), () -> agent.probeFailed(now(), name, start, "nobody listens"));
            } else if (process.suspended) {
                scheduleForAgent(PROBE_TIMEOUT_MS, () -> agent.probeFailed(now(), name, start, "no answer"));
            } else {
                boolean ready = process.ready;
                String digest = process.digest;
                String notServing = process.servesClients ? "" : "mn is not answered";
                scheduleForAgent(latencyMs(10), () -> {
                    process.everReady |= ready;
                    agent.probed(now(), name, start, ready, notServing, digest);
                });
                if (faultOccurs(FaultKind.TWICE, 0.02)) {
                    scheduleForAgent(latencyMs(900), () -> {
                        process.everReady |= ready;
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
        configurationFiles.put(
                name, declared.get(name) == null ? "" : declared.get(name).configuration());
        scheduleForAgent(latencyMs(60), () -> {
            SimulatedProcess process = runningProcess(name);
            if (process == null || process.start != start || !process.controlChannelOpen || process.suspended) {
                scheduleForAgent(500, () -> agent.reloadFailed(now(), name, start, "no answer"));
                return;
            }
            String file = configurationFiles.get(name);
            boolean taken = !invalidConfigurations.contains(name + file);
            process.digest = taken ? file : process.digest;
            log(name + (taken ? " takes " : " refuses ") + file);
            String digest = process.digest;
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
        SimulatedProcess process = processes.isEmpty() ? null : processes.get(random.nextInt(processes.size()));
        if (process != null && faultOccurs(FaultKind.HANG, 0.06)) {
            suspend(process);
        }
        if (process != null && process.isRunning() && faultOccurs(FaultKind.HANG, 0.06)) {
            log("serves nobody: " + process.name);
            process.servesClients = false;
            markUnresponsive(process);
            if (random.nextBoolean()) {
                schedule(random.nextInt(5000), () -> {
                    process.servesClients = true;
                    markResponsive(process);
                });
            }
        }
        if (process != null && faultOccurs(FaultKind.CRASH, 0.05)) {
            crash(process);
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
        for (SimulatedProcess process : List.copyOf(processes)) {
            process.servesClients = true;
            process.ignoresSigterm = false;
            boolean wasSuspended = process.suspended;
            resume(process);
            markResponsive(process);
            if (process.isRunning() && process.receivedSigterm && !process.draining && !wasSuspended) {
                drain(process);
            }
        }
    }

    // ---- rules ----

    private SimulatedProcess runningProcess(String name) {
        SimulatedProcess found = null;
        for (SimulatedProcess process : processes) {
            if (process.isRunning() && process.name.equals(name) && (found == null || !found.holdsLock)) {
                found = process;
            }
        }
        return found;
    }

    private void checkRules() {
        if (processes.size() > 40) {
            processes.removeIf(process -> process.dead && !observedProcesses.contains(process));
        }
        Set<String> lockedNames = new HashSet<>();
        for (SimulatedProcess process : processes) {
            if (process.dead) {
                continue;
            }
            if (process.holdsLock && !lockedNames.add(process.name)) {
                throw violation("two processes of " + process.name);
            }
            if (agent == null || process.untracked) {
                continue;
            }
            Instance instance = agent.instance(process.name);
            if (instance == null || !instance.state().mayRun()) {
                throw violation(process.name + " is " + (instance == null ? "dropped" : instance.state())
                        + " but its process runs");
            }
            if (!process.forked) {
                continue;
            }
            // an agent started after the removal of an instance does not know its policy
            SupervisionPolicy policy =
                    declared.containsKey(process.name) ? policies.get(process.name) : SupervisionPolicy.DEFAULT;
            if (process.unresponsiveSinceMs >= 0
                    && !process.draining
                    && !instance.searching // a lost search is repeated only after a delay
                    && instance.state() != InstanceState.HUNG
                    && instance.state() != InstanceState.STOPPING
                    && timeMs - Math.max(process.unresponsiveSinceMs, agentStartedMs)
                            > policy.hungAfterMs() * 2 + HUNG_TOLERANCE_MS) {
                throw violation(process.name + " is " + instance.state() + ", unresponsive since "
                        + process.unresponsiveSinceMs);
            }
            if (process.sigtermSentMs >= 0
                    && instance.state() != InstanceState.HUNG
                    && timeMs - process.sigtermSentMs > policy.stopWithinMs() + 2 * TICK_MS) {
                throw violation(
                        process.name + " is " + instance.state() + ", SIGTERM was sent at " + process.sigtermSentMs);
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
            SimulatedProcess process = runningProcess(name);
            Instance instance = agent.instance(name);
            InstanceSpec spec = declared.get(name);
            if (spec == null) {
                if (process != null && !process.untracked) {
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
                if (process != null && !process.untracked
                        || instance.state() != InstanceState.STOPPED && instance.state() != InstanceState.DECLARED) {
                    return name + " should be stopped but is " + instance.state();
                }
            } else if (instance.state() == InstanceState.GIVEN_UP) {
                if (process != null && !process.untracked
                        || instance.consecutiveCrashes() < policies.get(name).giveUpAfter()) {
                    return name + " is given up after " + instance.consecutiveCrashes();
                }
            } else if (instance.state() != InstanceState.READY || process == null || !process.ready) {
                return name + " is " + instance.state() + " " + instance.fault();
            } else if (!process.digest.equals(spec.configuration())
                    && instance.refusalReason().isEmpty()) {
                return name + " has " + process.digest + " instead of " + spec.configuration();
            }
        }
        return "";
    }
}
