package cacheproxy.lab.replication;

import cacheproxy.control.ControlCodec;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A schedule of faults among member processes, drawn from a seed. The same seed gives the same faults; their effect
 * also depends on the machine. After the last fault all copies have to be equal within a stated time, and each
 * acknowledged command has to be known to all members.
 */
public final class ProcessFaultSchedule {
    /** Faster than the defaults, so that a schedule takes seconds. */
    static final Map<String, Object> SETTINGS = Map.of(
            "tickMs",
            50,
            "awayMs",
            4_000,
            "aloneMs",
            1_500,
            "bytesPerS",
            65_536,
            "copyBytesPerS",
            262_144,
            "copies",
            2);
    /** Limit for all copies to be equal after the last fault; includes the start and state transfer of a process. */
    public static final long EQUAL_WITHIN_MS = 20_000;

    private static final int STEPS = 8;

    enum Fault {
        CUT,
        ONE_WAY,
        HALVES,
        DEGRADED,
        HOLD,
        RESET,
        STOP,
        KILL,
        DISK,
        CLOCK
    }

    /** What a schedule did, and what did not hold. */
    public record Outcome(
            long seed,
            List<String> violations,
            List<String> events,
            int acknowledged,
            int given,
            long equalAfterMs,
            long forwardedFrames,
            long droppedFrames) {}

    private record Submitted(int member, String subject, String action, Map<String, Object> reply) {}

    private final SplittableRandom random;
    private final long seed;
    private final MemberProcesses members;
    private final List<String> events = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final ConcurrentLinkedQueue<Submitted> replies = new ConcurrentLinkedQueue<>();
    private final Map<Integer, Long> clockOffsetsMs = new HashMap<>();
    private final Set<Integer> down = new TreeSet<>();
    private final long startedNs = System.nanoTime();
    private boolean diskDamaged;
    private int given;

    private ProcessFaultSchedule(long seed, MemberProcesses members) {
        this.seed = seed;
        this.members = members;
        random = new SplittableRandom(seed);
    }

    /** Runs the schedule of a seed; {@code root}: an empty folder. */
    public static Outcome run(long seed, int many, Path jar, Path root) throws IOException, InterruptedException {
        try (MemberProcesses members = new MemberProcesses(many, jar, root, SETTINGS, seed)) {
            return new ProcessFaultSchedule(seed, members).run();
        }
    }

    private void log(String what) {
        events.add((System.nanoTime() - startedNs) / 1_000_000 + " " + what);
    }

    private Outcome run() throws IOException, InterruptedException {
        if (!MemberProcesses.await(30_000, members::converged)) {
            violations.add("the members did not come together at the start: " + describeStates());
            return ended(-1);
        }
        ExecutorService operators = Executors.newCachedThreadPool();
        try {
            for (int step = 0; step < STEPS; step++) {
                fault(Fault.values()[random.nextInt(Fault.values().length)]);
                for (int o = random.nextInt(3); o >= 0; o--) {
                    submitCommand(operators);
                }
                Thread.sleep(random.nextLong(100, 1_500)); // the duration of a fault is part of the schedule
                restart(false);
            }
            members.links.heal();
            for (int i = 0; i < members.size(); i++) {
                if (!members.isRunning(i) && !down.contains(i)) {
                    members.signal(i, "CONT");
                }
            }
            restart(true);
            log("healed");
            long healed = System.nanoTime();
            boolean equal = MemberProcesses.await(EQUAL_WITHIN_MS, members::converged);
            long after = equal ? (System.nanoTime() - healed) / 1_000_000 : -1;
            operators.shutdown();
            operators.awaitTermination(15, TimeUnit.SECONDS); // waits for pending acknowledgements
            if (!equal || !MemberProcesses.await(EQUAL_WITHIN_MS, members::converged)) {
                violations.add("copies differ " + EQUAL_WITHIN_MS + " ms after the last fault: " + describeStates());
            }
            checkOutcome();
            return ended(after);
        } finally {
            operators.shutdownNow();
        }
    }

    private Outcome ended(long after) {
        long[] frames = members.links.frameCounts();
        int acknowledged = (int) replies.stream()
                .filter(t -> Boolean.TRUE.equals(t.reply.get("ok")))
                .count();
        return new Outcome(seed, violations, events, acknowledged, given, after, frames[0], frames[1]);
    }

    private String describeStates() {
        StringBuilder s = new StringBuilder();
        for (int i = 0; i < members.size(); i++) {
            s.append(' ').append(members.state(i));
        }
        return s.toString();
    }

    private void submitCommand(ExecutorService operators) {
        int by = random.nextInt(members.size());
        String subject = "n" + random.nextInt(5);
        String action = List.of("drain", "close", "clear").get(random.nextInt(3));
        if (!members.isRunning(by)) {
            return;
        }
        given++;
        Map<String, Object> request = ControlCodec.request("order");
        request.put("subject", subject);
        request.put("verb", action);
        request.put("who", "operator " + given);
        request.put("why", "seed " + seed);
        log("m" + by + " is given " + action + " on " + subject);
        operators.execute(() -> {
            try {
                replies.add(new Submitted(by, subject, action, members.call(by, request, 12_000)));
            } catch (IOException e) {
                // without a reply nothing was acknowledged
            }
        });
    }

    private void fault(Fault f) throws IOException, InterruptedException {
        int n = members.size();
        int a = random.nextInt(n);
        int b = (a + 1 + random.nextInt(n - 1)) % n;
        switch (f) {
            case CUT -> {
                members.links.cut("m" + a, "m" + b, true);
                members.links.cut("m" + b, "m" + a, true);
                log("cut m" + a + " and m" + b);
            }
            case ONE_WAY -> {
                for (int i = 0; i < n; i++) {
                    members.links.cut("m" + i, "m" + a, true);
                }
                log("m" + a + " hears nobody");
            }
            case HALVES -> {
                for (int i = 0; i < n; i++) {
                    for (int j = 0; j < n; j++) {
                        members.links.cut("m" + i, "m" + j, i % 2 != j % 2);
                    }
                }
                log("halves");
            }
            case DEGRADED -> {
                members.links.degradeAll(0.2, 0.2, 0.3, random.nextLong(0, 40));
                log("loss, repeats, overtaking");
            }
            case HOLD -> {
                members.links.hold("m" + a, "m" + b, true);
                log("held back from m" + a + " to m" + b);
            }
            case RESET -> {
                for (int i = 0; i < n; i++) {
                    members.links.reset("m" + a, "m" + i);
                }
                log("connections of m" + a + " reset");
            }
            case STOP -> {
                if (members.isRunning(a)) {
                    members.signal(a, "STOP");
                    log("m" + a + " stopped");
                }
            }
            case KILL, DISK, CLOCK -> {
                if (!members.isRunning(a)) {
                    return;
                }
                members.backUp(a);
                members.kill(a);
                down.add(a);
                MemberProcesses.DiskFault diskFault = MemberProcesses.DiskFault.NONE;
                if (f == Fault.DISK && !diskDamaged) {
                    diskDamaged = true; // only once: with two durable copies one disk may be lost
                    diskFault = MemberProcesses.DiskFault.values()[
                            1 + random.nextInt(MemberProcesses.DiskFault.values().length - 1)];
                    members.damageDisk(a, diskFault);
                }
                if (f == Fault.CLOCK) {
                    clockOffsetsMs.put(a, random.nextBoolean() ? 3_600_000L : -3_600_000L);
                }
                log("m" + a + " killed, disk " + diskFault + ", clock off by " + clockOffsetsMs.getOrDefault(a, 0L));
            }
        }
    }

    private void restart(boolean all) throws IOException, InterruptedException {
        for (int i : Set.copyOf(down)) {
            if (all || random.nextBoolean()) {
                members.start(i, clockOffsetsMs.getOrDefault(i, 0L));
                down.remove(i);
                log("m" + i + " started");
            }
        }
        for (int i = 0; i < members.size() && !all; i++) {
            if (!members.isRunning(i) && !down.contains(i) && random.nextBoolean()) {
                members.signal(i, "CONT");
                log("m" + i + " goes on");
            }
        }
    }

    /** Each acknowledged command is known to all members: active, or superseded by one that covers it. */
    private void checkOutcome() throws IOException {
        for (int i = 0; i < members.size(); i++) {
            Map<String, Set<String>> heard = new HashMap<>();
            if (members.call(i, ControlCodec.request("entries"), 2_000).get("entries") instanceof List<?> entries) {
                for (Object e : entries) {
                    if (e instanceof Map<?, ?> entry && entry.get("heard") instanceof List<?> dots) {
                        Set<String> all = new TreeSet<>();
                        dots.forEach(d -> all.add(String.valueOf(d)));
                        heard.put(String.valueOf(entry.get("key")), all);
                    }
                }
            }
            for (Submitted t : replies) {
                if (Boolean.TRUE.equals(t.reply.get("ok")) && !covers(heard.get("order/" + t.subject), t)) {
                    violations.add("m" + i + " knows nothing of " + t.action + " on " + t.subject
                            + ", acknowledged by m" + t.member + " as " + t.reply);
                }
            }
        }
    }

    private static boolean covers(Set<String> heard, Submitted t) {
        if (heard == null) {
            return false;
        }
        long life = ((Number) t.reply.get("life")).longValue();
        long number = ((Number) t.reply.get("number")).longValue();
        return heard.stream()
                .anyMatch(d -> Long.parseLong(d.substring(0, d.indexOf(':'))) == life
                        && Long.parseLong(d.substring(d.indexOf(':') + 1)) >= number);
    }
}
