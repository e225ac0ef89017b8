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
 * One machine with simulated processes, an agent that dies at any point, its journal, and operators with wishes, by
 * seed. First trouble for a while, then none: the site has to come to what is declared. What must never be is asked
 * after each step; {@link Broken} tells it.
 */
final class SimulatedMachine implements SupervisorActions {
    /** A rule that does not hold. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1;

        Broken(String what) {
            super(what);
        }
    }

    /** The agent's end, at whatever it was about to do. */
    private static final class Died extends RuntimeException {
        private static final long serialVersionUID = 1;

        Died() {
            super("", null, false, false);
        }
    }

    /** Kinds of trouble; each can be left out, to see what it takes. */
    enum Trouble {
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
        /** A fork that comes after all patience; one that lives and is not seen. */
        SLOW,
        UNSEEN
    }

    private static final int LATE_MOST = 900;
    private static final int PROBE_TIMEOUT = 300;
    /** A probe that is lost, one more until it counts, late answers of before, and a tick. */
    private static final int HUNG_SLACK = 3 * LATE_MOST + 2 * PROBE_TIMEOUT + 400;

    private static final int TICK = 100;
    /** After the last trouble no answer of before comes later than this. */
    private static final int LATEST = 3000;
    /** Once there is no trouble any more, all is as declared within this time. */
    static final int SETTLED_WITHIN = 45_000;

    /** A process. */
    private static final class Proc {
        String name;
        int start;
        String secret;
        UniqueProcessId identity;
        int maker;
        boolean forked;
        boolean dead;
        int code;
        boolean locked;
        boolean channel;
        boolean ready;
        boolean everReady;
        boolean stopped;
        boolean serves = true;
        boolean ignores;
        boolean termed;
        boolean draining;
        String digest = "";
        /** Since when no probe of it can go well, and when this agent told it to end; -1: not so. */
        long muteSince = -1;

        long toldAt = -1;
        /** Its fork comes so much later; the agent had to take it for gone, and has not adopted it since. */
        long forkLate;

        boolean lost;
        boolean everLost;

        boolean lives() {
            return forked && !dead;
        }
    }

    private record Due(long at, long order, Runnable what) {}

    private final Random random;
    private final Set<Trouble> kinds;
    private final long troubleMs;
    private final StringBuilder record;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    private long time;
    private boolean calm;

    private final List<Proc> procs = new ArrayList<>();
    private final Map<String, String> files = new HashMap<>();
    private final Set<String> bad = new HashSet<>();
    private final Map<String, SupervisionPolicy> policies = new HashMap<>();
    private final Map<String, Double> weak = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private int versions;

    private Supervisor agent;
    private int life;
    private long clockBase;
    private long begunAt;
    private boolean recalling;
    private final Set<Proc> watched = new HashSet<>();
    private String armed;
    private boolean full;
    private boolean wasFull;

    private List<JournalRecord> journal = new ArrayList<>();
    /** What the journal says, as seen by the one who writes it. */
    private final Map<String, Integer> lastIntent = new HashMap<>();

    private final Map<String, String> intentSecret = new HashMap<>();
    /** Of each start, by name and number. */
    private final Map<String, String> secrets = new HashMap<>();

    private final Map<String, JournalRecord.ProcessEnded> lastEnded = new HashMap<>();
    private final Map<String, Integer> endCode = new HashMap<>();
    private final Map<String, Long> endedAt = new HashMap<>();
    private Map<String, InstanceSpec> declared = new TreeMap<>();
    private final Map<String, Boolean> wish = new HashMap<>();
    private final Set<String> unsure = new HashSet<>();
    private String asked = "";
    private JournalRecord.RollingRestartBegun rollBegun;
    private final Map<String, Integer> rollTaken = new LinkedHashMap<>();
    /** Of those, restarted as this agent knows, and as it could not write down. */
    private final Set<String> doneUnwritten = new HashSet<>();

    int deaths;
    int refusals;
    int starts;
    int steps;
    int rollsDone;
    int rollsStopped;
    int givenUp;
    int hung;
    int kills;
    int held;
    int holders;

    SimulatedMachine(long seed, Set<Trouble> kinds, long troubleMs, boolean keep) {
        this.random = new Random(seed * 0x9E3779B97F4A7C15L + 77);
        this.kinds = kinds;
        this.troubleMs = troubleMs;
        this.record = keep ? new StringBuilder() : null;
        int many = 1 + random.nextInt(4);
        for (int i = 0; i < many; i++) {
            String name = "" + (char) ('a' + i);
            names.add(name);
            long[] kill = {-1, -1, 0, 400, 2500};
            policies.put(
                    name,
                    new SupervisionPolicy(
                            3000 + random.nextInt(2000),
                            1300 + random.nextInt(500),
                            800 + random.nextInt(600),
                            kill[random.nextInt(kill.length)],
                            50 + random.nextInt(200),
                            300 + random.nextInt(1500),
                            2 + random.nextInt(4),
                            500 + random.nextInt(2500),
                            100 + random.nextInt(200),
                            400 + random.nextInt(4000)));
            weak.put(name, random.nextInt(3) == 0 ? random.nextDouble() : 0.05);
        }
    }

    String record() {
        return record == null ? "" : record.toString();
    }

    private void log(String what) {
        if (record != null) {
            record.append(time).append(' ').append(what).append('\n');
        }
    }

    private Broken broken(String what) {
        log("BROKEN " + what);
        return new Broken("at " + time + " ms: " + what);
    }

    private void at(long delay, Runnable what) {
        queue.add(new Due(time + delay, order++, what));
    }

    private boolean trouble(Trouble kind, double chance) {
        return random.nextDouble() < chance && !calm && kinds.contains(kind);
    }

    private int late(int usual) {
        return trouble(Trouble.LATE, 0.06) ? random.nextInt(LATE_MOST) : 1 + random.nextInt(usual);
    }

    // ---- the run ----

    void run() {
        redeclareFiles(draw());
        beginSite();
        at(300, this::mischief);
        at(500, this::operator);
        while (time < troubleMs) {
            next();
        }
        calmDown();
        long end = time + SETTLED_WITHIN;
        String why = "";
        while (time < end) {
            next();
            why = time < end - SETTLED_WITHIN + LATEST ? "late answers are under way" : unsettled();
            if (why.isEmpty()) {
                break;
            }
        }
        if (!why.isEmpty()) {
            throw broken("not as declared " + SETTLED_WITHIN + " ms after the last trouble: " + why);
        }
        long stays = time + 1500;
        while (time < stays) {
            next();
            why = unsettled();
            if (!why.isEmpty()) {
                throw broken("was as declared, and is not any more: " + why);
            }
        }
        if (refusals > 0) {
            throw broken(refusals + " starts were refused by the lock");
        }
    }

    private void next() {
        Due due = queue.poll();
        time = due.at;
        steps++;
        try {
            due.what.run();
        } catch (Died e) {
            died();
        }
        check();
    }

    private void toAgent(long delay, Runnable what) {
        int to = life;
        at(delay, () -> {
            if (agent != null && life == to) {
                what.run();
            }
        });
    }

    private long now() {
        return time - clockBase;
    }

    // ---- the agent ----

    private void beginSite() {
        journal.add(new JournalRecord.SiteDeclared(text(declared)));
        startAgent();
    }

    private void startAgent() {
        life++;
        log("agent " + life + " starts");
        clockBase = random.nextBoolean() ? time : time - random.nextInt(1_000_000);
        begunAt = time;
        watched.clear();
        armed = null;
        doneUnwritten.clear();
        procs.forEach(p -> p.toldAt = -1);
        Supervisor s = new Supervisor(this);
        recalling = true;
        for (JournalRecord e : journal) {
            s.replay(e);
        }
        recalling = false;
        agent = s;
        if (trouble(Trouble.COMPACT, 0.2)) {
            compact();
        }
        s.searchForProcesses(now());
        s.declare(now(), List.copyOf(declared.values()));
        if (agent != null) {
            toAgent(random.nextInt(TICK), this::tick);
        }
    }

    private void tick() {
        toAgent(TICK, this::tick);
        agent.tick(now());
        if (trouble(Trouble.COMPACT, 0.01)) {
            compact();
        }
    }

    private void compact() {
        if (full) {
            return;
        }
        log("compacted");
        List<JournalRecord> anew = new ArrayList<>();
        anew.add(new JournalRecord.SiteDeclared(text(declared)));
        anew.addAll(agent.snapshot());
        journal = anew;
        rollTaken.keySet().removeAll(doneUnwritten);
        doneUnwritten.clear();
        rollBegun = agent.rollingRestartProgress() == null ? null : rollBegun;
    }

    private void died() {
        log("agent " + life + " dies" + (armed == null ? "" : ", " + armed));
        deaths++;
        agent = null;
        asked = "";
        armed = null;
        life++;
        for (Proc p : List.copyOf(procs)) {
            if (!p.forked && random.nextBoolean()) {
                procs.remove(p); // died before its fork
            } else if (!p.forked && trouble(Trouble.SLOW, 0.5)) {
                p.forkLate =
                        3000 + random.nextInt(3 * (int) policies.get(p.name).forkMs());
                lose(p);
            }
        }
        at(random.nextInt(3) == 0 ? 1 : random.nextInt(2500), () -> {
            if (agent == null) {
                startAgent();
            }
        });
    }

    private void lose(Proc p) {
        log("lost: " + p.name + " " + p.start);
        p.lost = true;
        p.everLost = true;
    }

    /** The place of an action at which the agent may end. */
    private void point(String where) {
        if (armed != null && (armed.equals("any") || where.contains(armed))) {
            armed = where;
            throw new Died();
        }
    }

    // ---- actions ----

    @Override
    public boolean appendToJournal(JournalRecord entry) {
        if (recalling) {
            throw broken("notes while it recalls: " + entry);
        }
        String kind = entry.getClass().getSimpleName();
        point("before note " + kind);
        if (full) {
            log("disk full: " + entry);
            if (entry instanceof JournalRecord.DesiredStateSet w && !w.name().equals(asked)) {
                unsure.add(w.name());
            }
            if (entry instanceof JournalRecord.RollingRestartInstanceDone d) {
                doneUnwritten.add(d.name());
            }
            return false;
        }
        log("note " + entry);
        noted(entry);
        journal.add(entry);
        point("after note " + kind);
        return true;
    }

    private void noted(JournalRecord entry) {
        if (entry instanceof JournalRecord.DesiredStateSet w) {
            if (w.running()
                    && declared.containsKey(w.name())
                    && !wish.getOrDefault(w.name(), true)
                    && !asked.equals(w.name())
                    && !unsure.contains(w.name())) {
                throw broken(w.name() + " was stopped by an operator and is started by nobody's wish");
            }
            wish.put(w.name(), w.running());
            unsure.remove(w.name());
            lastEnded.remove(w.name());
        } else if (entry instanceof JournalRecord.StartAnnounced i && secrets.containsValue(i.secret())) {
            if (!wasFull && endCode.getOrDefault(i.name(), 0) != Supervisor.NAME_HELD_EXIT_CODE
                    || i.start() <= lastIntent.getOrDefault(i.name(), 0)) {
                throw broken(i + " for a holder that nobody met");
            }
            for (Proc p : procs) {
                if (p.name.equals(i.name()) && p.secret.equals(i.secret())) {
                    p.start = i.start();
                    p.lost = false;
                    p.muteSince = p.muteSince < 0 ? -1 : time; // for this agent
                }
            }
            holders++;
            intended(i);
        } else if (entry instanceof JournalRecord.StartAnnounced i) {
            if (i.start() <= lastIntent.getOrDefault(i.name(), 0) && alive(i.name()) != null) {
                throw broken("start " + i.start() + " of " + i.name() + " is one of the past");
            }
            if (!declared.containsKey(i.name())) {
                throw broken(i.name() + " is started and is not declared");
            }
            backoffHonoured(i);
            intended(i);
        } else if (entry instanceof JournalRecord.ProcessEnded e) {
            JournalRecord.ProcessEnded before = lastEnded.get(e.name());
            if (e.failures() > (before == null ? 0 : before.failures()) + 1 && !wasFull && life == 1) {
                throw broken(e.name() + " counts " + e.failures() + " crashes after " + before);
            }
            if (e.code() == Supervisor.NAME_HELD_EXIT_CODE && before != null && !wasFull && e.failures() > before.failures()) {
                throw broken(e.name() + " counts a held name as a crash: " + e + " after " + before);
            }
            lastEnded.put(e.name(), e);
            endedAt.put(e.name(), time);
            endCode.put(e.name(), e.code());
        } else if (entry instanceof JournalRecord.RollingRestartBegun r) {
            rollBegun = r;
            rollTaken.clear();
            doneUnwritten.clear();
        } else if (entry instanceof JournalRecord.RollingRestartInstanceBegun t) {
            if (rollBegun == null || rollBegun.id() != t.id()) {
                throw broken("takes " + t.name() + " for a rolling restart that is over");
            }
            rollTaken.put(t.name(), t.start());
            lastEnded.remove(t.name());
            if (rollTaken.size() - doneUnwritten.size() > rollBegun.mostDown()) {
                throw broken(rollTaken.keySet() + " are restarted at once, of " + rollBegun.mostDown());
            }
        } else if (entry instanceof JournalRecord.RollingRestartInstanceDone d) {
            Proc p = alive(d.name());
            Integer before = rollTaken.remove(d.name());
            if (before == null || lastIntent.get(d.name()) <= before || p != null && !p.everReady) {
                throw broken(d.name() + " is said to be restarted, and is not");
            }
        } else if (entry instanceof JournalRecord.RollingRestartEnded r) {
            if (r.why().isEmpty()) {
                rollsDone++;
                if (rollTaken.size() > doneUnwritten.size()) {
                    throw broken("rolling restart is said to be done: " + rollTaken.keySet() + " are not");
                }
            } else {
                rollsStopped++;
            }
            rollBegun = null;
        }
    }

    private void intended(JournalRecord.StartAnnounced i) {
        lastIntent.put(i.name(), i.start());
        intentSecret.put(i.name(), i.secret());
        secrets.put(i.name() + "/" + i.start(), i.secret());
    }

    private void backoffHonoured(JournalRecord.StartAnnounced i) {
        JournalRecord.ProcessEnded e = lastEnded.get(i.name());
        if (e == null || e.failures() == 0) {
            return;
        }
        SupervisionPolicy p = policies.get(i.name());
        if (e.failures() >= p.giveUpAfter()) {
            throw broken(i.name() + " is started after it was given up: " + e);
        }
        long wait = Math.min(p.backoffMostMs(), p.backoffMs() * (1L << (e.failures() - 1)));
        if (e.code() != NEVER_MADE
                && e.code() != Supervisor.NAME_HELD_EXIT_CODE
                && !wasEndedOnPurpose(i.name())
                && time - endedAt.get(i.name()) < wait) {
            throw broken(i.name() + " is started " + (time - endedAt.get(i.name())) + " ms after crash " + e.failures()
                    + ", not " + wait);
        }
    }

    private static final int NEVER_MADE = -1;

    private boolean wasEndedOnPurpose(String name) {
        Proc last = null;
        for (Proc p : procs) {
            last = p.name.equals(name) ? p : last;
        }
        return last == null || last.termed;
    }

    @Override
    public String secret() {
        return "s" + random.nextInt();
    }

    @Override
    public void spawn(String name, int start, String secret) {
        point("before spawn");
        log("spawn " + name + " " + start);
        if (lastIntent.getOrDefault(name, 0) != start || !secret.equals(intentSecret.get(name))) {
            throw broken("spawn of " + name + " " + start + " without its intent");
        }
        for (Proc p : procs) {
            if (p.name.equals(name) && !p.dead && !p.lost) {
                throw broken("spawn of " + name + " " + start + " while start " + p.start + " is there");
            }
        }
        starts++;
        Proc p = new Proc();
        p.name = name;
        p.start = start;
        p.secret = secret;
        p.maker = life;
        files.put(name, declared.get(name).configuration());
        if (trouble(Trouble.CRASH, 0.02)) {
            toAgent(late(30), () -> agent.spawnFailed(now(), name, start, "no memory"));
        } else {
            procs.add(p);
            long fork = trouble(Trouble.LATE, 0.2)
                    ? random.nextInt((int) policies.get(name).forkMs() - 20)
                    : 1 + random.nextInt(10);
            at(fork, () -> fork(p));
        }
        point("after spawn");
    }

    private void fork(Proc p) {
        if (!procs.contains(p)) {
            return;
        }
        if (p.forkLate > 0) {
            at(p.forkLate, () -> fork(p));
            p.forkLate = 0;
            return;
        }
        p.identity = new UniqueProcessId(pid(), time, "boot");
        p.forked = true;
        log("forked " + p.name + " " + p.start + ", " + p.identity);
        if (agent != null && life == p.maker) {
            watched.add(p);
            int before = life;
            toAgent(late(20), () -> {
                if (before == life) {
                    agent.spawned(now(), p.name, p.start, p.identity);
                }
            });
            if (trouble(Trouble.TWICE, 0.02)) {
                toAgent(late(900), () -> agent.spawned(now(), p.name, p.start, p.identity));
            }
        }
        at(5 + random.nextInt(100), () -> lock(p));
        if (trouble(Trouble.CRASH, weak.get(p.name) / 2)) {
            at(random.nextInt(300), () -> crash(p));
        }
        if (trouble(Trouble.HANG, 0.02)) {
            at(random.nextInt(900), () -> stop(p));
        }
        p.ignores = trouble(Trouble.IGNORE, 0.1);
        if (agent != null && life == p.maker) {
            point("after fork");
        }
    }

    private long pid() {
        Set<Long> used = new HashSet<>();
        procs.stream()
                .filter(p -> p.lives() || p.forked && p.identity.startTicks() == time)
                .forEach(p -> used.add(p.identity.pid()));
        long pid = 1;
        while (used.contains(pid)) {
            pid++;
        }
        return pid;
    }

    private void lock(Proc p) {
        if (!p.lives()) {
            return;
        }
        if (p.stopped) {
            at(50, () -> lock(p));
            return;
        }
        for (Proc other : procs) {
            if (other != p && other.lives() && other.locked && other.name.equals(p.name)) {
                if (p.everLost || other.everLost) {
                    held++;
                } else {
                    refusals++;
                }
                end(p, Supervisor.NAME_HELD_EXIT_CODE);
                return;
            }
        }
        p.locked = true;
        p.digest = files.get(p.name);
        if (bad.contains(p.name + p.digest)) {
            at(random.nextInt(100), () -> end(p, 2));
            return;
        }
        at(random.nextInt(200), () -> p.channel = true);
        if (!trouble(Trouble.NEVER_READY, 0.1)) {
            at(200 + random.nextInt(random.nextInt(4) == 0 ? 2000 : 300), () -> ready(p));
        }
    }

    private void ready(Proc p) {
        if (p.stopped) {
            at(50, () -> ready(p));
            return;
        }
        p.channel = true;
        if (p.draining) {
            return;
        }
        p.ready = true;
        if (trouble(Trouble.CRASH, weak.get(p.name))) {
            at(random.nextInt(4000), () -> crash(p));
        }
    }

    private void crash(Proc p) {
        if (!calm && p.lives()) {
            int code = 1 + random.nextInt(5);
            end(p, code == Supervisor.NAME_HELD_EXIT_CODE ? 139 : code);
        }
    }

    private void end(Proc p, int code) {
        if (!p.lives()) {
            return;
        }
        log("ends " + p.name + " " + p.start + ", code " + code);
        p.dead = true;
        p.code = code;
        tellGone(p);
    }

    private void tellGone(Proc p) {
        if (agent != null && watched.contains(p)) {
            int code = p.maker == life ? p.code : -1;
            toAgent(late(100), () -> agent.processEnded(now(), p.name, p.start, code));
            if (trouble(Trouble.TWICE, 0.1)) {
                toAgent(late(2500), () -> agent.processEnded(now(), p.name, p.start, code));
            }
        }
    }

    private void stop(Proc p) {
        if (calm || !p.lives()) {
            return;
        }
        log("SIGSTOP " + p.name);
        p.stopped = true;
        mute(p);
        if (random.nextBoolean()) {
            at(random.nextInt(6000), () -> goOn(p));
        }
    }

    private void goOn(Proc p) {
        if (p.lives() && p.stopped) {
            log("SIGCONT " + p.name);
            p.stopped = false;
            unmute(p);
            if (p.termed && !p.ignores) {
                drain(p);
            }
        }
    }

    private void mute(Proc p) {
        if (p.muteSince < 0 && p.everReady) {
            p.muteSince = time;
        }
    }

    private void unmute(Proc p) {
        if (!p.stopped && p.serves) {
            p.muteSince = -1;
        }
    }

    @Override
    public void search(String name, int start, UniqueProcessId identity, String secret) {
        point("before search");
        if (!wasFull && endCode.getOrDefault(name, 0) != Supervisor.NAME_HELD_EXIT_CODE) { // else also those before it
            current(name, start, "search");
        }
        if (!secret.equals(secrets.get(name + "/" + start))) {
            throw broken("searches " + name + " by another secret");
        }
        if (trouble(Trouble.LOST, 0.05)) {
            return;
        }
        int look = late(30);
        toAgent(look, () -> {
            Proc found = null;
            for (Proc p : procs) {
                if (p.lives()
                        && (identity != null
                                ? p.identity.equals(identity)
                                : p.name.equals(name) && p.secret.equals(secret))) {
                    found = p;
                }
            }
            if (found != null && identity != null && trouble(Trouble.UNSEEN, 0.02)) {
                lose(found);
                found = null;
            }
            Proc it = found;
            toAgent(late(30), () -> {
                if (it != null) {
                    watched.add(it);
                }
                agent.searchCompleted(now(), name, start, it == null ? null : it.identity);
                if (it != null && it.dead) {
                    tellGone(it);
                }
            });
        });
        point("after search");
    }

    private void current(String name, int start, String what) {
        if (lastIntent.getOrDefault(name, 0) != start) {
            throw broken(what + " of " + name + " " + start + ": the last start is " + lastIntent.get(name));
        }
    }

    private Proc of(String name, UniqueProcessId identity, String what) {
        if (identity == null) {
            throw broken(what + " of " + name + " without a process");
        }
        for (Proc p : procs) {
            if (p.forked && p.identity.equals(identity)) {
                if (!p.name.equals(name) || p.start != lastIntent.get(name)) {
                    throw broken(what + " for " + name + " meets start " + p.start + " of " + p.name);
                }
                return p;
            }
        }
        throw broken(what + " of " + name + ": nobody was ever " + identity);
    }

    @Override
    public void terminate(String name, UniqueProcessId identity) {
        point("before terminate");
        log("SIGTERM " + name);
        Proc p = of(name, identity, "SIGTERM");
        if (p.toldAt < 0) {
            p.toldAt = time;
        }
        at(random.nextInt(30), () -> {
            if (p.lives()) {
                p.termed = true;
                if (!p.stopped && !p.ignores) {
                    drain(p);
                }
            }
        });
        point("after terminate");
    }

    private void drain(Proc p) {
        p.ready = false;
        p.draining = true;
        at(10 + random.nextInt(1000), () -> endDrained(p));
    }

    private void endDrained(Proc p) {
        if (p.stopped) {
            at(50, () -> endDrained(p));
        } else {
            end(p, 0);
        }
    }

    @Override
    public void kill(String name, UniqueProcessId identity) {
        point("before kill");
        log("SIGKILL " + name);
        Proc p = of(name, identity, "SIGKILL");
        Instance m = agent.instance(name);
        long after = policies.get(name).killAfterMs();
        if (after < 0 || m.state() != InstanceState.HUNG || now() - m.stateSinceMs() < after) {
            throw broken("SIGKILL for " + name + ", " + m.state() + ", its policy says " + after);
        }
        kills++;
        at(random.nextInt(30), () -> end(p, 137));
        point("after kill");
    }

    @Override
    public void probe(String name, int start) {
        point("before probe");
        current(name, start, "probe");
        if (trouble(Trouble.LOST, 0.004)) {
            return;
        }
        toAgent(late(10), () -> {
            Proc p = alive(name);
            if (p == null || p.start != start || !p.channel && !p.stopped) {
                toAgent(late(10), () -> agent.probeFailed(now(), name, start, "nobody listens"));
            } else if (p.stopped) {
                toAgent(PROBE_TIMEOUT, () -> agent.probeFailed(now(), name, start, "no answer"));
            } else {
                boolean ready = p.ready;
                String digest = p.digest;
                String trouble = p.serves ? "" : "mn is not answered";
                toAgent(late(10), () -> {
                    p.everReady |= ready;
                    agent.probed(now(), name, start, ready, trouble, digest);
                });
                if (trouble(Trouble.TWICE, 0.02)) {
                    toAgent(late(900), () -> {
                        p.everReady |= ready;
                        agent.probed(now(), name, start, ready, trouble, digest);
                    });
                }
            }
        });
        point("after probe");
    }

    @Override
    public void reload(String name, int start) {
        point("before reload");
        current(name, start, "reload");
        log("reload " + name);
        files.put(name, declared.get(name) == null ? "" : declared.get(name).configuration());
        toAgent(late(60), () -> {
            Proc p = alive(name);
            if (p == null || p.start != start || !p.channel || p.stopped) {
                toAgent(500, () -> agent.reloadFailed(now(), name, start, "no answer"));
                return;
            }
            String file = files.get(name);
            boolean taken = !bad.contains(name + file);
            p.digest = taken ? file : p.digest;
            log(name + (taken ? " takes " : " refuses ") + file);
            String digest = p.digest;
            toAgent(late(60), () -> agent.reloaded(now(), name, start, taken, taken ? "" : "line 1", digest));
        });
        point("after reload");
    }

    @Override
    public void logEvent(String name, String what) {
        log("say " + name + ": " + what);
        givenUp += what.startsWith("given up") ? 1 : 0;
        hung += what.startsWith("hung") ? 1 : 0;
    }

    // ---- trouble and wishes ----

    private void mischief() {
        if (calm) {
            return;
        }
        at(100 + random.nextInt(900), this::mischief);
        Proc p = procs.isEmpty() ? null : procs.get(random.nextInt(procs.size()));
        if (p != null && trouble(Trouble.HANG, 0.06)) {
            stop(p);
        }
        if (p != null && p.lives() && trouble(Trouble.HANG, 0.06)) {
            log("serves nobody: " + p.name);
            p.serves = false;
            mute(p);
            if (random.nextBoolean()) {
                at(random.nextInt(5000), () -> {
                    p.serves = true;
                    unmute(p);
                });
            }
        }
        if (p != null && trouble(Trouble.CRASH, 0.05)) {
            crash(p);
        }
        if (trouble(Trouble.DISK, 0.04) && !full) {
            log("disk full");
            full = true;
            wasFull = true;
            at(random.nextInt(3000), () -> full = false);
        }
        if (agent != null && armed == null && trouble(Trouble.DEATH, 0.12)) {
            String[] where = {
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
            armed = where[random.nextInt(where.length)];
            int now = life;
            at(4000, () -> {
                if (agent != null && life == now && !calm) {
                    throw new Died();
                }
            });
        }
    }

    private void operator() {
        if (calm) {
            return;
        }
        at(100 + random.nextInt(2500), this::operator);
        if (agent == null) {
            return;
        }
        String name = names.get(random.nextInt(names.size()));
        int what = random.nextInt(10);
        if (what < 4 && trouble(Trouble.DECLARE, 1)) {
            Map<String, InstanceSpec> site = draw();
            JournalRecord.SiteDeclared entry = new JournalRecord.SiteDeclared(text(site));
            if (appendToJournal(entry)) {
                declare(site);
                agent.declare(now(), List.copyOf(declared.values()));
            }
        } else if (what < 6 && trouble(Trouble.WISH, 1)) {
            boolean running = random.nextInt(3) > 0;
            wished(name, running, "want " + name + " " + running, () -> agent.setDesiredState(now(), name, running));
        } else if (what == 6 && trouble(Trouble.WISH, 1)) {
            wished(name, true, "restart " + name, () -> agent.restart(now(), name));
        } else if (what == 7 && trouble(Trouble.WISH, 1)) {
            log("wish reload " + name + ": " + agent.reload(now(), name));
        } else if (what > 7 && trouble(Trouble.ROLL, 1)) {
            List<String> some = new ArrayList<>(names);
            some.removeIf(n -> random.nextInt(5) == 0);
            log("wish roll " + some);
            log(agent.beginRollingRestart(now(), some, 1 + random.nextInt(2)));
        }
    }

    private void wished(String name, boolean running, String words, Supplier<String> call) {
        log("wish " + words);
        asked = name;
        String why = call.get();
        asked = "";
        if (why == null && wish.getOrDefault(name, true) != running) {
            throw broken("said to be done and not written down: " + words);
        }
        if (why == null && !declared.containsKey(name)) {
            throw broken("done for a name that is not declared: " + words);
        }
        log(why == null ? "done" : why);
    }

    private Map<String, InstanceSpec> draw() {
        Map<String, InstanceSpec> site = new TreeMap<>();
        for (String name : names) {
            InstanceSpec old = declared.get(name);
            if (random.nextInt(6) == 0) {
                continue;
            }
            String launch = old != null && random.nextInt(4) > 0 ? old.launch() : "L" + ++versions;
            String configuration = old != null && random.nextBoolean() ? old.configuration() : "C" + ++versions;
            if (random.nextInt(12) == 0) {
                bad.add(name + "C" + versions);
            }
            site.put(name, new InstanceSpec(name, launch, configuration, policies.get(name)));
        }
        return site;
    }

    /** From the moment at which it is written down. */
    private void declare(Map<String, InstanceSpec> site) {
        log("declared " + text(site));
        for (String name : names) {
            if (!site.containsKey(name)) {
                wish.put(name, true);
                lastEnded.remove(name);
            }
        }
        redeclareFiles(site);
    }

    private void redeclareFiles(Map<String, InstanceSpec> site) {
        declared = site;
        site.values().forEach(s -> files.put(s.name(), s.configuration()));
    }

    private static String text(Map<String, InstanceSpec> site) {
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

    private void calmDown() {
        log("no trouble from here on");
        calm = true;
        full = false;
        armed = null;
        for (Proc p : List.copyOf(procs)) {
            p.serves = true;
            p.ignores = false;
            boolean was = p.stopped;
            goOn(p);
            unmute(p);
            if (p.lives() && p.termed && !p.draining && !was) {
                drain(p);
            }
        }
    }

    // ---- what has to hold ----

    private Proc alive(String name) {
        Proc found = null;
        for (Proc p : procs) {
            if (p.lives() && p.name.equals(name) && (found == null || !found.locked)) {
                found = p;
            }
        }
        return found;
    }

    private void check() {
        if (procs.size() > 40) {
            procs.removeIf(p -> p.dead && !watched.contains(p));
        }
        Set<String> locked = new HashSet<>();
        for (Proc p : procs) {
            if (p.dead) {
                continue;
            }
            if (p.locked && !locked.add(p.name)) {
                throw broken("two processes of " + p.name);
            }
            if (agent == null || p.lost) {
                continue;
            }
            Instance m = agent.instance(p.name);
            if (m == null || !m.state().mayRun()) {
                throw broken(p.name + " is " + (m == null ? "forgotten" : m.state()) + " and lives");
            }
            if (!p.forked) {
                continue;
            }
            // of one that is not declared any more an agent that did not see it declared knows no policy
            SupervisionPolicy policy = declared.containsKey(p.name) ? policies.get(p.name) : SupervisionPolicy.USUAL;
            if (p.muteSince >= 0
                    && !p.draining
                    && !m.searching // a search that is lost takes its time
                    && m.state() != InstanceState.HUNG
                    && m.state() != InstanceState.STOPPING
                    && time - Math.max(p.muteSince, begunAt) > policy.hungAfterMs() * 2 + HUNG_SLACK) {
                throw broken(p.name + " is " + m.state() + ", mute since " + p.muteSince);
            }
            if (p.toldAt >= 0
                    && m.state() != InstanceState.HUNG
                    && time - p.toldAt > policy.stopWithinMs() + 2 * TICK) {
                throw broken(p.name + " is " + m.state() + ", told to end at " + p.toldAt);
            }
        }
    }

    /** What is not yet as declared; empty: all is. */
    private String unsettled() {
        if (agent == null) {
            return "no agent";
        }
        if (agent.rollingRestartProgress() != null) {
            return "rolling restart: " + agent.rollingRestartProgress();
        }
        for (Instance m : agent.instances()) {
            if (!declared.containsKey(m.name)) {
                return m.name + " is not declared and is " + m.state();
            }
        }
        for (String name : names) {
            Proc p = alive(name);
            Instance m = agent.instance(name);
            InstanceSpec spec = declared.get(name);
            if (spec == null) {
                if (p != null && !p.lost) {
                    return name + " lives and is not declared";
                }
                continue;
            }
            if (m == null) {
                return name + " is declared and not there";
            }
            boolean running = unsure.contains(name) ? m.wanted() : wish.getOrDefault(name, true);
            if (m.wanted() != running) {
                return name + " wanted running: " + m.wanted() + ", wished: " + running;
            }
            if (!running) {
                if (p != null && !p.lost || m.state() != InstanceState.STOPPED && m.state() != InstanceState.DECLARED) {
                    return name + " is to be stopped and is " + m.state();
                }
            } else if (m.state() == InstanceState.GIVEN_UP) {
                if (p != null && !p.lost
                        || m.consecutiveCrashes() < policies.get(name).giveUpAfter()) {
                    return name + " is given up after " + m.consecutiveCrashes();
                }
            } else if (m.state() != InstanceState.READY || p == null || !p.ready) {
                return name + " is " + m.state() + " " + m.fault();
            } else if (!p.digest.equals(spec.configuration())
                    && m.refusalReason().isEmpty()) {
                return name + " has " + p.digest + " and not " + spec.configuration();
            }
        }
        return "";
    }
}
