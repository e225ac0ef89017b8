package cacheproxy.lab.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** A fault of a schedule: its time, kind, target and argument. Has a form as text. */
record ScheduledFault(long atMs, Kind kind, int who, long arg) {
    /** The kinds; {@code arg} is a duration, variant or count. */
    enum Kind {
        NODE_FAULT,
        NODE_FAULT_TWICE,
        NODE_FAULT_ALWAYS,
        NODE_WELL,
        NODE_PAUSE,
        NODE_STOP,
        NODE_RESTART,
        NODE_COLD,
        NODE_NEW_COLD,
        NODE_REFUSE,
        NODE_VANISH,
        NODE_CUT_ALL,
        NODE_SLOW,
        NODE_STALL,
        NODE_FLUSH,
        DRAIN,
        DRAIN_AND_STOP,
        REMOVE,
        SERVE_AGAIN,
        LIST_BACK,
        TELL_TROUBLE,
        CALL_TROUBLE,
        WATCH_KILL,
        WATCH_SILENT,
        WATCH_LATE,
        DISCOVERY_DOWN,
        PROXY_PAUSE,
        PROXY_PAUSE_INSIDE,
        PROXY_KILL,
        PROXY_TERM,
        PROXY_RELOAD,
        PROXY_STALL,
        CLIENT_LEAVES,
        CLIENT_RUSH,
        CLIENT_FLAW,
        CLIENT_HALF,
        CLIENT_SILENT,
        CLIENT_FLOOD,
        CLIENT_GARBAGE,
        CLIENT_BURST,
        CLIENT_WRITES,
        CUT_LINK,
        /** Combinations of two or three faults that rarely meet by chance. */
        DRAIN_IN_PAUSE,
        DRAIN_WHILE_DIALLING,
        STALL_THEN_CUT,
        BUSY_TWICE_THEN_WRITES,
        KEYLESS_WITH_FAULTS,
        COLD_RUSH
    }

    private static final Kind[] KINDS = Kind.values();

    /**
     * Draws faults of a few kinds only: with all kinds in each schedule, two of them rarely meet (swarm testing, Groce
     * et al., ISSTA 2012).
     */
    static List<ScheduledFault> draw(SplittableRandom random, int count, long withinMs) {
        Kind[] some = new Kind[2 + random.nextInt(5)];
        Arrays.setAll(some, i -> KINDS[random.nextInt(KINDS.length)]);
        int victims = random.nextInt(3) == 0 ? 1 : 64;
        List<ScheduledFault> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new ScheduledFault(
                    random.nextLong(withinMs),
                    some[random.nextInt(some.length)],
                    random.nextInt(victims),
                    random.nextLong(1L << 40)));
        }
        return all;
    }

    static ScheduledFault parse(String line) {
        String[] words = line.strip().split(" ");
        return new ScheduledFault(
                Long.parseLong(words[0]), Kind.valueOf(words[1]), Integer.parseInt(words[2]), Long.parseLong(words[3]));
    }

    @Override
    public String toString() {
        return atMs + " " + kind + " " + who + " " + arg;
    }
}
